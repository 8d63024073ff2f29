package ctl

import (
	"context"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"marigoldshunt/internal/admin"
	"marigoldshunt/internal/fault"
)

// hostStatus is the JSON output for one host.
type hostStatus struct {
	Host    string        `json:"host"`
	Address string        `json:"address"`
	Error   string        `json:"error,omitempty"`
	Status  *admin.Status `json:"status,omitempty"`
}

// queryStatus calls check, which checks the arguments, and then queries the status of all
// hosts. It fails if no host answers.
func (a *app) queryStatus(ctx context.Context, check func() error) ([]hostAnswer[admin.Status], error) {
	if err := check(); err != nil {
		return nil, err
	}
	c, err := a.clientFromFlags()
	if err != nil {
		return nil, err
	}
	endpoints, err := fleetEndpoints(ctx, c)
	if err != nil {
		return nil, err
	}
	answers := distinctHosts(queryAll[admin.Status](ctx, c, endpoints, "/v1/status"))
	for _, s := range answers {
		if s.err == nil {
			return answers, nil
		}
	}
	return nil, answers[0].err
}

func (a *app) statusCommand() *ffcli.Command {
	fs := a.flags("status")
	return &ffcli.Command{
		Name: "status", ShortHelp: "Show the status of all hosts and pools", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			answers, err := a.queryStatus(ctx, func() error { _, err := exactArgs(fs, args); return err })
			if err != nil {
				return err
			}
			var all []hostStatus
			var rows, pools [][]string
			for _, s := range answers {
				if s.err != nil {
					code := string(fault.CodeOf(s.err))
					all = append(all, hostStatus{Host: s.host, Address: s.address, Error: code})
					rows = append(rows, []string{s.name(), "-", code})
					continue
				}
				all = append(all, hostStatus{Host: s.value.Host, Address: s.address, Status: s.value})
				rows = append(rows, statusRow(s.value))
				pools = append(pools, poolRows(s.value)...)
			}
			if a.json {
				return a.printJSON(all)
			}
			if err := a.show(nil, "HOST DATA_CENTRE STATE REVISION CONFIG_AGE LEADER WAITING RUNNING", rows); err != nil {
				return err
			}
			if len(pools) == 0 {
				return nil
			}
			fmt.Fprintln(a.out)
			return a.show(nil, "POOL SCHEDULER FENCE WAITING RUNNING UPSTREAMS", pools)
		},
	}
}

func statusRow(s *admin.Status) []string {
	state := "serving"
	if s.Leaving {
		state = "leaving"
	}
	return []string{s.Host, s.DataCentre, state, fmt.Sprint(s.Revision), fmt.Sprintf("%d ms", s.ConfigAgeMS),
		s.Leader, fmt.Sprint(s.Waiting), fmt.Sprint(s.Running)}
}

func poolRows(s *admin.Status) [][]string {
	var rows [][]string
	for _, p := range s.Pools {
		var upstreams []string
		for _, u := range p.Upstreams {
			upstreams = append(upstreams, fmt.Sprintf("%s:%s:%d/%d", u.Name, u.State, u.Running, u.Limit))
		}
		rows = append(rows, []string{p.Pool, s.Host, fmt.Sprint(p.Fence), fmt.Sprint(p.Waiting), fmt.Sprint(p.Running), strings.Join(upstreams, " ")})
	}
	return rows
}
