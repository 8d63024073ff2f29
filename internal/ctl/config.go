package ctl

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/valyala/fasthttp"

	"marigoldshunt/internal/admin"
	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
)

func (a *app) configCommand() *ffcli.Command {
	return a.group("config", "Show or change the configuration of the fleet", a.configGet(), a.configApply())
}

// fetchConfig returns the configuration of the first host that answers, or of another
// host if that one has none.
func fetchConfig(ctx context.Context, c *client) (*config.Config, error) {
	cfg := config.New()
	if err := c.get(ctx, "/v1/config", cfg); err != nil {
		return nil, err
	}
	if cfg.Revision > 0 {
		return cfg, nil
	}
	// A restarted host has no configuration until the control group confirms it; another
	// host may have one.
	for _, address := range c.addresses {
		other := config.New()
		if c.attempt(ctx, address, fasthttp.MethodGet, "/v1/config", nil, other) == nil && other.Revision > 0 {
			return other, nil
		}
	}
	return cfg, nil
}

// fetchConfigNoArgs checks that a command has no arguments and fetches the configuration.
func (a *app) fetchConfigNoArgs(ctx context.Context, fs *flag.FlagSet, args []string) (*config.Config, error) {
	_, c, err := a.argsAndClient(fs, args)
	if err != nil {
		return nil, err
	}
	return fetchConfig(ctx, c)
}

func (a *app) configGet() *ffcli.Command {
	fs := a.flags("get")
	kind := fs.String("kind", "", "only objects of this kind, for example upstream")
	return &ffcli.Command{
		Name: "get", ShortHelp: "List the objects of the configuration", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			cfg, err := a.fetchConfigNoArgs(ctx, fs, args)
			if err != nil {
				return err
			}
			var rows [][]string
			var selected []config.Change
			for _, change := range cfg.Objects() {
				ref, err := change.Ref()
				if err != nil {
					return err
				}
				if *kind != "" && ref.Kind != *kind {
					continue
				}
				selected = append(selected, change)
				revision, _ := cfg.RevisionOf(ref)
				rows = append(rows, []string{ref.Kind, ref.Name, fmt.Sprint(revision), summary(objectFields(change))})
			}
			if *kind != "" {
				return a.show(selected, "KIND NAME REVISION VALUES", rows)
			}
			return a.show(cfg, "KIND NAME REVISION VALUES", rows)
		},
	}
}

func (a *app) configApply() *ffcli.Command {
	fs := a.flags("apply")
	id := requestIDFlag(fs)
	dryRun := dryRunFlag(fs)
	return &ffcli.Command{
		Name: "apply", ShortUsage: "marigoldshuntctl config apply [flags] FILE",
		ShortHelp: "Apply a TOML file of objects as one change", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			names, err := exactArgs(fs, args, "FILE")
			if err != nil {
				return err
			}
			data, err := os.ReadFile(names[0])
			if err != nil {
				return usageError(err.Error())
			}
			changes, err := config.ParseFile(names[0], data)
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
			p, err := planChanges(cfg, changes)
			if err != nil {
				return err
			}
			return a.commit(ctx, c, p, requestID(*id), *dryRun)
		},
	}
}

// plan holds the differences between the configuration and a list of wanted objects.
type plan struct {
	RequestID string          `json:"request_id"`
	Lines     []string        `json:"differences"`
	Changes   []config.Change `json:"-"`
	Unchanged int             `json:"unchanged"`
	Revision  uint64          `json:"revision"`
}

// planChanges finds the objects that differ. A change without an expected revision gets
// the revision that was compared, so that it replaces only what was shown.
func planChanges(cfg *config.Config, wanted []config.Change) (*plan, error) {
	current := map[config.ObjectRef]config.Change{}
	for _, change := range cfg.Objects() {
		ref, err := change.Ref()
		if err != nil {
			return nil, err
		}
		current[ref] = change
	}
	p := &plan{Revision: cfg.Revision}
	for _, change := range wanted {
		ref, err := change.Ref()
		if err != nil {
			return nil, err
		}
		revision, _ := cfg.RevisionOf(ref)
		if change.IfRevision == 0 {
			change.IfRevision = revision
		}
		// An object that is absent although a revision was given may have been deleted by
		// an earlier attempt. The change is sent anyway, because only the control group
		// can recognise a resend.
		old, exists := current[ref]
		switch {
		case change.Delete != nil && !exists && revision == change.IfRevision:
			return nil, fault.New(fault.NotFound, fault.NotRun, "%s %q is not in the configuration", ref.Kind, ref.Name)
		case change.Delete != nil:
			p.Lines = append(p.Lines, fmt.Sprintf("- %s %s", ref.Kind, ref.Name))
		case !exists:
			p.Lines = append(p.Lines, fmt.Sprintf("+ %s %s: %s", ref.Kind, ref.Name, summary(objectFields(change))))
		default:
			d := difference(objectFields(old), objectFields(change))
			if d == "" {
				p.Unchanged++
				continue
			}
			p.Lines = append(p.Lines, fmt.Sprintf("~ %s %s: %s", ref.Kind, ref.Name, d))
		}
		p.Changes = append(p.Changes, change)
	}
	return p, nil
}

// commit prints a plan and sends its changes as one request.
func (a *app) commit(ctx context.Context, c *client, p *plan, id string, dryRun bool) error {
	p.RequestID = id
	if !a.json {
		for _, line := range p.Lines {
			fmt.Fprintln(a.out, line)
		}
		fmt.Fprintf(a.out, "%d objects differ, %d are unchanged.\n", len(p.Changes), p.Unchanged)
	}
	if dryRun || len(p.Changes) == 0 {
		if a.json {
			return a.printJSON(p)
		}
		return nil
	}
	var response admin.RevisionResponse
	err := c.post(ctx, "/v1/config", admin.ChangeRequest{RequestID: id, Changes: p.Changes}, &response, retryAlways)
	if err != nil {
		if len(p.Changes) == 1 {
			return a.reportUnknownOutcome(err, id, p.Changes[0].IfRevision)
		}
		return a.reportUnknownOutcome(err, id, 0)
	}
	p.Revision = response.Revision
	if a.json {
		return a.printJSON(p)
	}
	_, err = fmt.Fprintf(a.out, "Accepted as revision %d.\n", response.Revision)
	return outputError(err)
}
