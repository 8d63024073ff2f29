package ctl

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"marigoldshunt/internal/admin"
)

func (a *app) quarantineCommand() *ffcli.Command {
	return a.group("quarantine", "Show or lift what is refused because it crashed upstreams", a.quarantineList(), a.quarantineLift())
}

func (a *app) quarantineList() *ffcli.Command {
	fs := a.flags("list")
	return &ffcli.Command{
		Name: "list", ShortUsage: "marigoldshuntctl quarantine list [flags]",
		ShortHelp: "List the quarantined requests and prompt parts of routed services", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			answers, err := a.queryStatus(ctx, func() error { _, err := exactArgs(fs, args); return err })
			if err != nil {
				return err
			}
			list := quarantineOf(answers)
			var rows [][]string
			for _, q := range list {
				rows = append(rows, quarantineRow(q))
			}
			return a.show(list, "FINGERPRINT SERVICE PROMPT_PART SINCE NEXT_TRIAL CRASHES INSTANCES", rows)
		},
	}
}

func (a *app) quarantineLift() *ffcli.Command {
	fs := a.flags("lift")
	return &ffcli.Command{
		Name: "lift", ShortUsage: "marigoldshuntctl quarantine lift FINGERPRINT [flags]",
		ShortHelp: "Let all hosts admit a quarantined request or prompt part again", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			names, c, err := a.argsAndClient(fs, args, "FINGERPRINT")
			if err != nil {
				return err
			}
			var answer struct{}
			if err := c.post(ctx, "/v1/quarantine/lift", admin.LiftRequest{Fingerprint: names[0]}, &answer, retryIfNotRun); err != nil {
				return err
			}
			return a.show(answer, "", [][]string{{"The quarantine is lifted."}})
		},
	}
}

// quarantineOf returns what at least one host refuses. Hosts know the same crashes but for a moment, so that the
// first answer about each stands for all.
func quarantineOf(answers []hostAnswer[admin.Status]) []admin.QuarantineStatus {
	list := []admin.QuarantineStatus{}
	for _, s := range answers {
		if s.err != nil || s.value.Edge == nil {
			continue
		}
		for _, q := range s.value.Edge.Quarantined {
			if !slices.ContainsFunc(list, func(known admin.QuarantineStatus) bool { return known.Fingerprint == q.Fingerprint }) {
				list = append(list, q)
			}
		}
	}
	slices.SortFunc(list, func(a, b admin.QuarantineStatus) int { return a.Since.Compare(b.Since) })
	return list
}

func quarantineRow(q admin.QuarantineStatus) []string {
	part := q.PromptPart
	if part == "" {
		part = "-"
	}
	var instances []string
	for _, crash := range q.Crashes {
		instances = append(instances, crash.Instance)
	}
	return []string{
		q.Fingerprint, q.Service, part, q.Since.Format(time.RFC3339), q.NextTrial.Format(time.RFC3339), fmt.Sprint(len(q.Crashes)), strings.Join(instances, " "),
	}
}
