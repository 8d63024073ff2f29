package ctl

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
)

func (a *app) contractCommand() *ffcli.Command {
	return a.group("contract", "Show or change the contract of a client account",
		a.contractGet(), a.contractSet(), a.contractDelete())
}

func (a *app) contractGet() *ffcli.Command {
	fs := a.flags("get")
	return &ffcli.Command{
		Name: "get", ShortUsage: "marigoldshuntctl contract get ACCOUNT",
		ShortHelp: "Show the contract of an account", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			names, err := exactArgs(fs, args, "ACCOUNT")
			if err != nil {
				return err
			}
			c, err := a.clientFromFlags()
			if err != nil {
				return err
			}
			cfg, err := fetchConfig(ctx, c)
			if err != nil {
				return err
			}
			o, ok := cfg.Contracts[names[0]]
			if !ok {
				return fault.New(fault.NotFound, fault.NotRun, "account %q has no contract", names[0])
			}
			rows := [][]string{{"revision", fmt.Sprint(o.Revision)}}
			for _, part := range strings.Split(summary(objectFields(config.Change{Contract: &o})), " ") {
				k, v, _ := strings.Cut(part, "=")
				rows = append(rows, []string{k, v})
			}
			return a.show(o, "FIELD VALUE", rows)
		},
	}
}

func (a *app) contractSet() *ffcli.Command {
	fs := a.flags("set")
	id := fs.String("request-id", "", "request id of an earlier attempt whose answer was lost")
	dryRun := fs.Bool("dry-run", false, "only show what would change")
	ifRevision := fs.Uint64("if-revision", 0, "expected revision; 0 means the current one")
	set := contractFlags(fs)
	return &ffcli.Command{
		Name: "set", ShortUsage: "marigoldshuntctl contract set ACCOUNT [flags]",
		ShortHelp: "Create a contract or change the given fields of it", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			names, err := exactArgs(fs, args, "ACCOUNT")
			if err != nil {
				return err
			}
			c, err := a.clientFromFlags()
			if err != nil {
				return err
			}
			cfg, err := fetchConfig(ctx, c)
			if err != nil {
				return err
			}
			o := cfg.Contracts[names[0]]
			o.Account, o.Revision = names[0], 0
			set(&o)
			p, err := planChanges(cfg, []config.Change{{Contract: &o, IfRevision: *ifRevision}})
			if err != nil {
				return err
			}
			return a.commit(ctx, c, p, requestID(*id), *dryRun)
		},
	}
}

// contractFlags declares a flag for each field of a contract and returns a function
// that copies the given flags to a contract.
func contractFlags(fs *flag.FlagSet) func(*config.Contract) {
	var v config.Contract
	var hashes, pools string
	fs.StringVar(&hashes, "key-hashes", "", "SHA-256 hashes of credentials, separated by commas")
	fs.Float64Var(&v.Weight, "weight", 0, "share relative to other accounts")
	fs.Float64Var(&v.RequestsPerSecond, "requests-per-second", 0, "rate per pool")
	fs.IntVar(&v.Burst, "burst", 0, "requests above the rate")
	fs.IntVar(&v.Concurrency, "concurrency", 0, "running requests per pool")
	fs.IntVar(&v.QueueLength, "queue-length", 0, "waiting requests per pool")
	fs.IntVar(&v.MaxBodyBytes, "max-body-bytes", 0, "bytes of a request body")
	fs.DurationVar(&v.MaxRun, "max-run", 0, "run time of a request")
	fs.DurationVar(&v.MaxWait, "max-wait", 0, "wait of a request")
	fs.StringVar(&pools, "pools", "", "allowed pools, separated by commas")
	copies := map[string]func(*config.Contract){
		"key-hashes":          func(o *config.Contract) { o.KeyHashes = splitList(hashes) },
		"weight":              func(o *config.Contract) { o.Weight = v.Weight },
		"requests-per-second": func(o *config.Contract) { o.RequestsPerSecond = v.RequestsPerSecond },
		"burst":               func(o *config.Contract) { o.Burst = v.Burst },
		"concurrency":         func(o *config.Contract) { o.Concurrency = v.Concurrency },
		"queue-length":        func(o *config.Contract) { o.QueueLength = v.QueueLength },
		"max-body-bytes":      func(o *config.Contract) { o.MaxBodyBytes = v.MaxBodyBytes },
		"max-run":             func(o *config.Contract) { o.MaxRun = v.MaxRun },
		"max-wait":            func(o *config.Contract) { o.MaxWait = v.MaxWait },
		"pools":               func(o *config.Contract) { o.Pools = splitList(pools) },
	}
	return func(o *config.Contract) {
		fs.Visit(func(f *flag.Flag) {
			if c := copies[f.Name]; c != nil {
				c(o)
			}
		})
	}
}

// splitList splits a list separated by commas. An empty string is an empty list.
func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

func (a *app) contractDelete() *ffcli.Command {
	fs := a.flags("delete")
	id := fs.String("request-id", "", "request id of an earlier attempt whose answer was lost")
	ifRevision := fs.Uint64("if-revision", 0, "expected revision; 0 means the current one")
	return &ffcli.Command{
		Name: "delete", ShortUsage: "marigoldshuntctl contract delete ACCOUNT [flags]",
		ShortHelp: "Delete the contract of an account", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			names, err := exactArgs(fs, args, "ACCOUNT")
			if err != nil {
				return err
			}
			c, err := a.clientFromFlags()
			if err != nil {
				return err
			}
			cfg, err := fetchConfig(ctx, c)
			if err != nil {
				return err
			}
			ref := &config.ObjectRef{Kind: config.ObjContract, Name: names[0]}
			p, err := planChanges(cfg, []config.Change{{Delete: ref, IfRevision: *ifRevision}})
			if err != nil {
				return err
			}
			return a.commit(ctx, c, p, requestID(*id), false)
		},
	}
}
