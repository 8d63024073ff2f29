package ctl

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/peterbourgon/ff/v3/ffcli"

	"marigoldshunt/internal/admin"
	"marigoldshunt/internal/fault"
)

// hostMetricsValues are the fields of a host's metrics, by metric and field.
type hostMetricsValues map[string]map[string]any

// hostMetrics is the JSON output for one host.
type hostMetrics struct {
	Host    string            `json:"host"`
	Address string            `json:"address"`
	Error   string            `json:"error,omitempty"`
	Metrics hostMetricsValues `json:"metrics,omitempty"`
}

func (a *app) metricsCommand() *ffcli.Command {
	fs := a.flags("metrics")
	all := fs.Bool("all", false, "show the metrics of all hosts of the configuration and of -hosts")
	return &ffcli.Command{
		Name: "metrics", ShortUsage: "marigoldshuntctl metrics [flags] [HOST ...]",
		ShortHelp: "Show the metrics of the first host that answers, of all hosts or of those named", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			names, err := positionalArgs(fs, args)
			if err != nil {
				return err
			}
			if *all && len(names) > 0 {
				return usagef("-all and names of hosts exclude each other")
			}
			c, err := a.clientFromFlags()
			if err != nil {
				return err
			}
			if *all || len(names) > 0 {
				return a.showMetricsOfHosts(ctx, c, names)
			}
			var values hostMetricsValues
			if err := c.get(ctx, "/metrics", &values); err != nil {
				return err
			}
			return a.show(values, "METRIC FIELD VALUE", metricRows(values))
		},
	}
}

func metricRows(values hostMetricsValues) (rows [][]string) {
	for _, name := range slices.Sorted(maps.Keys(values)) {
		for _, k := range slices.Sorted(maps.Keys(values[name])) {
			rows = append(rows, []string{name, k, formatNumber(values[name][k])})
		}
	}
	return rows
}

// showMetricsOfHosts shows the metrics of the named hosts, or of all without names. It reports
// each host that does not answer, and then fails.
func (a *app) showMetricsOfHosts(ctx context.Context, c *client, names []string) error {
	endpoints, err := namedEndpoints(ctx, c, names)
	if err != nil {
		return err
	}
	answers := queryAll[hostMetricsValues](ctx, c, endpoints, "/metrics")
	var all []hostMetrics
	var rows [][]string
	var firstErr error
	failed := 0
	for _, m := range answers {
		out := hostMetrics{Host: m.host, Address: m.address}
		if m.err != nil {
			failed++
			if firstErr == nil {
				firstErr = m.err
			}
			out.Error = string(fault.CodeOf(m.err))
			fmt.Fprintf(a.errOut, "marigoldshuntctl: %s: %s\n", m.name(), m.err)
		} else {
			out.Metrics = *m.value
			for _, r := range metricRows(out.Metrics) {
				rows = append(rows, append([]string{m.name()}, r...))
			}
		}
		all = append(all, out)
	}
	if err := a.show(all, "HOST METRIC FIELD VALUE", rows); err != nil {
		return err
	}
	if failed > 0 {
		return fault.New(fault.CodeOf(firstErr), fault.NotRun, "%d of %d hosts gave no metrics", failed, len(answers))
	}
	return nil
}

// namedEndpoints returns the hosts with some names or addresses, or all hosts without names, each
// once. Hosts that only -hosts gives are asked for their names.
func namedEndpoints(ctx context.Context, c *client, names []string) ([]endpoint, error) {
	known, err := fleetEndpoints(ctx, c)
	if err != nil {
		return nil, err
	}
	var all []endpoint
	for _, s := range distinctHosts(queryAll[admin.Status](ctx, c, known, "/v1/status")) {
		if s.err == nil {
			s.host = s.value.Host
		}
		all = append(all, s.endpoint)
	}
	if len(names) == 0 {
		return all, nil
	}
	var out []endpoint
	for _, name := range names {
		i := slices.IndexFunc(all, func(e endpoint) bool { return e.host == name || e.address == name })
		if i < 0 {
			return nil, usagef("unknown host %q; the configuration and -hosts name none", name)
		}
		if !slices.Contains(out, all[i]) {
			out = append(out, all[i])
		}
	}
	return out, nil
}
