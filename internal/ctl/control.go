package ctl

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/peterbourgon/ff/v3/ffcli"

	"marigoldshunt/internal/admin"
)

func (a *app) controlCommand() *ffcli.Command {
	return a.group("control", "Form, show or repair the control group",
		a.controlInit(), a.controlStatus(), a.controlReplace())
}

// controlAction returns a command that sends a request without a request ID. The request
// is sent again only if no earlier attempt can have run.
func (a *app) controlAction(name, usage, help, path, done string, want []string, body func([]string) any) *ffcli.Command {
	fs := a.flags(name)
	return &ffcli.Command{
		Name: name, ShortUsage: "marigoldshuntctl control " + usage, ShortHelp: help, FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			names, c, err := a.argsAndClient(fs, args, want...)
			if err != nil {
				return err
			}
			var answer map[string]any
			if err := c.post(ctx, path, body(names), &answer, retryIfNotRun); err != nil {
				return err
			}
			return a.show(answer, "", [][]string{{done}})
		},
	}
}

func (a *app) controlInit() *ffcli.Command {
	return a.controlAction("init", "init HOST,HOST,HOST", "Form the control group of these hosts, once",
		"/v1/control/init", "The control group is formed.", []string{"HOST,HOST,HOST"},
		func(names []string) any { return admin.InitRequest{Hosts: splitList(names[0])} })
}

func (a *app) controlReplace() *ffcli.Command {
	return a.controlAction("replace", "replace HOST", "Let a repaired control host join with its new replica id",
		"/v1/control/replace", "The host joins the control group; see control status.", []string{"HOST"},
		func(names []string) any { return admin.ReplaceRequest{Host: names[0]} })
}

func (a *app) controlStatus() *ffcli.Command {
	fs := a.flags("status")
	return &ffcli.Command{
		Name: "status", ShortHelp: "Show the members of the control group", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			answers, err := a.queryStatus(ctx, func() error { _, err := exactArgs(fs, args); return err })
			if err != nil {
				return err
			}
			members := map[string]*admin.ControlStatus{}
			var rows [][]string
			for _, s := range answers {
				if s.err == nil && s.value.Control != nil {
					members[s.value.Host] = s.value.Control
				}
			}
			for _, host := range slices.Sorted(maps.Keys(members)) {
				m := members[host]
				rows = append(rows, []string{host, m.Role, fmt.Sprint(m.Formed), fmt.Sprint(m.Replica), fmt.Sprint(m.Term),
					fmt.Sprint(m.Commit), fmt.Sprint(m.Applied), m.Failure})
			}
			return a.show(members, "HOST ROLE FORMED REPLICA TERM COMMIT APPLIED FAILURE", rows)
		},
	}
}
