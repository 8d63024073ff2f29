package ctl

import (
	"cmp"
	"context"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/routing"
)

// routingCommand shows the routing document. Operators change it with "config apply" and
// a file with the table [routing].
func (a *app) routingCommand() *ffcli.Command {
	fs := a.flags("routing")
	return &ffcli.Command{
		Name: "routing", ShortHelp: "Show the routing document in force, without credentials", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			cfg, err := a.fetchConfigNoArgs(ctx, fs, args)
			if err != nil {
				return err
			}
			if cfg.Routing == nil {
				return fault.New(fault.NotFound, fault.NotRun, "there is no routing document yet")
			}
			d := cfg.Routing.Document
			if a.json {
				return a.printJSON(d)
			}
			fmt.Fprintf(a.out, "Version %d, %d services, %d accounts.\n", d.Version, len(d.Services), len(d.Accounts))
			return a.show(nil, "ROUTE HOST PREFIX KIND ATTEMPTS TIMEOUT TO", routeRows(&d))
		},
	}
}

func routeRows(d *routing.Document) [][]string {
	var rows [][]string
	for _, r := range d.Routes {
		var to []string
		for _, s := range r.Split {
			to = append(to, fmt.Sprintf("%s:%d", s.Service, s.Weight))
		}
		rows = append(rows, []string{r.Name, r.Host, r.PathPrefix, string(r.Kind), fmt.Sprint(r.Attempts), r.Timeout.String(), strings.Join(to, " ")})
	}
	return rows
}

// instancesCommand shows the upstream instances as each host sees them.
func (a *app) instancesCommand() *ffcli.Command {
	fs := a.flags("instances")
	return &ffcli.Command{
		Name: "instances", ShortHelp: "Show the upstream instances of routed services as each host sees them", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			answers, err := a.queryStatus(ctx, func() error { _, err := exactArgs(fs, args); return err })
			if err != nil {
				return err
			}
			all := map[string]any{}
			var rows [][]string
			for _, s := range answers {
				if s.err != nil || s.value.Edge == nil {
					continue
				}
				all[s.value.Host] = s.value.Edge
				for _, i := range s.value.Edge.Instances {
					rows = append(rows, []string{s.value.Host, i.Service, i.ID, cmp.Or(i.Version, "-"), i.Address, i.DataCentre, i.State,
						fmt.Sprint(i.Running), fmt.Sprint(i.Backlog), fmt.Sprintf("%.2f", i.Failing), fmt.Sprintf("%g", i.RateLimit)})
				}
			}
			return a.show(all, "HOST SERVICE INSTANCE VERSION ADDRESS DATA_CENTRE STATE RUNNING BACKLOG FAILING RATE_LIMIT", rows)
		},
	}
}

// routingSummary returns the fields that represent a routing document in lists and
// differences. The document itself would show credentials and hundreds of routes.
func routingSummary(r *config.Routing) map[string]any {
	return map[string]any{
		"version": float64(r.Version), "routes": float64(len(r.Document.Routes)),
		"services": float64(len(r.Document.Services)), "accounts": float64(len(r.Document.Accounts)),
	}
}
