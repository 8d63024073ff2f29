package ctl

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"marigoldshunt/internal/admin"
	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
)

// target is a kind of object that can be taken out of service and brought back.
type target struct {
	command, path, noun string
	// find returns the revision of an object and whether it is out.
	find func(cfg *config.Config, name string) (revision uint64, out, ok bool)
	// runningAt counts the requests of one host's router that run at an object.
	runningAt func(cfg *config.Config, name string, s *admin.Status) int
}

var dataCentreTarget = target{
	command: "datacentre", path: "data-centres", noun: "data centre",
	find: func(cfg *config.Config, name string) (uint64, bool, bool) {
		o, ok := cfg.DataCentres[name]
		return o.Revision, o.Out, ok
	},
	// A request runs in a data centre if its upstream or its router is there.
	runningAt: func(cfg *config.Config, name string, s *admin.Status) int {
		if cfg.Hosts[s.Host].DataCentre == name {
			return s.Running
		}
		n := 0
		for upstream, count := range s.RunningByUpstream {
			if cfg.Upstreams[upstream].DataCentre == name {
				n += count
			}
		}
		return n
	},
}

var hostTarget = target{
	command: "host", path: "hosts", noun: "host",
	find: func(cfg *config.Config, name string) (uint64, bool, bool) {
		o, ok := cfg.Hosts[name]
		return o.Revision, o.Out, ok
	},
	runningAt: func(_ *config.Config, name string, s *admin.Status) int {
		if s.Host == name {
			return s.Running
		}
		return 0
	},
}

var upstreamTarget = target{
	command: "upstream", path: "upstreams", noun: "upstream",
	find: func(cfg *config.Config, name string) (uint64, bool, bool) {
		o, ok := cfg.Upstreams[name]
		return o.Revision, o.Out, ok
	},
	runningAt: func(_ *config.Config, name string, s *admin.Status) int { return s.RunningByUpstream[name] },
}

func (a *app) serviceStateCommand(t target) *ffcli.Command {
	return a.group(t.command, "Take out of service or bring back: "+t.noun,
		a.serviceStateSubcommand(t, true), a.serviceStateSubcommand(t, false))
}

func (a *app) serviceStateSubcommand(t target, out bool) *ffcli.Command {
	verb, help := "back", "Bring the "+t.noun+" back into service"
	if out {
		verb, help = "out", "Take the "+t.noun+" out of service and wait until no request runs there"
	}
	fs := a.flags(verb)
	id := fs.String("request-id", "", "request id of an earlier attempt whose answer was lost")
	ifRevision := fs.Uint64("if-revision", 0, "expected revision; 0 means the current one")
	noWait := false
	if out {
		fs.BoolVar(&noWait, "no-wait", false, "don't wait until no request runs there")
	}
	return &ffcli.Command{
		Name: verb, ShortUsage: "marigoldshuntctl " + t.command + " " + verb + " NAME [flags]",
		ShortHelp: help, FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			names, err := exactArgs(fs, args, "NAME")
			if err != nil {
				return err
			}
			c, err := a.clientFromFlags()
			if err != nil {
				return err
			}
			r, err := a.changeServiceState(ctx, c, t, names[0], out, *id, *ifRevision)
			if err != nil {
				return err
			}
			if !out || noWait {
				return a.show(r, "", [][]string{{fmt.Sprintf("%s %s is %s at revision %d.", t.noun, names[0], verb, r.Revision)}})
			}
			return a.waitIdle(ctx, c, t, names[0], r)
		},
	}
}

// serviceStateResult is the JSON output of out and back.
type serviceStateResult struct {
	RequestID string `json:"request_id"`
	Revision  uint64 `json:"revision"`
	// Running is the number of requests that still run at the object.
	Running int `json:"running"`
}

func (a *app) changeServiceState(ctx context.Context, c *client, t target, name string, out bool, id string, ifRevision uint64) (*serviceStateResult, error) {
	cfg, err := fetchConfig(ctx, c)
	if err != nil {
		return nil, err
	}
	revision, isOut, ok := t.find(cfg, name)
	if !ok && len(cfg.DataCentres) == 0 {
		return nil, fault.New(fault.HostIsolated, fault.NotRun, "no host has a configuration yet")
	}
	if !ok {
		return nil, fault.New(fault.NotFound, fault.NotRun, "%s %q is not in the configuration", t.noun, name)
	}
	r := &serviceStateResult{RequestID: requestID(id), Revision: cfg.Revision}
	if id != "" && ifRevision == 0 && isOut == out {
		// The earlier attempt succeeded.
		return r, nil
	}
	if ifRevision == 0 {
		ifRevision = revision
	}
	verb := map[bool]string{true: "out", false: "back"}[out]
	var response admin.RevisionResponse
	err = c.post(ctx, "/v1/"+t.path+"/"+pathSegment(name)+"/"+verb,
		admin.ServiceStateRequest{RequestID: r.RequestID, IfRevision: ifRevision}, &response, retryAlways)
	r.Revision = response.Revision
	return r, a.reportUnknownOutcome(err, r.RequestID, ifRevision)
}

// waitIdle prints how many requests run at an object until there are none.
func (a *app) waitIdle(ctx context.Context, c *client, t target, name string, r *serviceStateResult) error {
	shown := ""
	for {
		p, err := a.queryIdleProgress(ctx, c, t, name, r.Revision)
		if err != nil {
			return err
		}
		if line := p.String(); line != shown && !a.json {
			shown = line
			fmt.Fprintf(a.out, "%s %s: %s\n", t.noun, name, line)
		}
		if p.idle() {
			return a.show(r, "", nil)
		}
		select {
		case <-time.After(a.pollInterval):
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.Timeout, fault.NotRun,
				"%s %s is out at revision %d, but not idle: %s", t.noun, name, r.Revision, p)
		}
	}
}

// idleProgress holds what keeps an object from being known as idle: running requests,
// hosts with an older configuration and hosts that do not answer.
type idleProgress struct {
	running  int
	behind   []string
	noAnswer []string
}

func (p idleProgress) idle() bool { return p.running == 0 && len(p.behind)+len(p.noAnswer) == 0 }

func (p idleProgress) String() string {
	parts := []string{fmt.Sprintf("%d requests running", p.running)}
	if len(p.behind) > 0 {
		parts = append(parts, "not yet in force on "+strings.Join(p.behind, ", "))
	}
	if len(p.noAnswer) > 0 {
		parts = append(parts, "no answer from "+strings.Join(p.noAnswer, ", "))
	}
	return strings.Join(parts, "; ")
}

// queryIdleProgress queries every host. The state of a host that does not answer is unknown
// unless the others report it as dead: the requests of a dead host have ended with its
// connections.
func (a *app) queryIdleProgress(ctx context.Context, c *client, t target, name string, revision uint64) (idleProgress, error) {
	var p idleProgress
	cfg, err := fetchConfig(ctx, c)
	if err != nil {
		return p, err
	}
	answers := distinctHosts(queryAll[admin.Status](ctx, c, endpoints(c, cfg), "/v1/status"))
	dead := deadHosts(answers)
	for _, s := range answers {
		switch {
		case s.err != nil:
			if !dead[s.host] {
				p.noAnswer = append(p.noAnswer, s.name())
			}
		case s.value.Revision < revision:
			p.behind = append(p.behind, s.name())
			p.running += t.runningAt(cfg, name, s.value)
		default:
			p.running += t.runningAt(cfg, name, s.value)
		}
	}
	return p, nil
}

// deadHosts returns the hosts that at least one host reports as dead and none as alive.
func deadHosts(answers []hostAnswer[admin.Status]) map[string]bool {
	dead, alive := map[string]bool{}, map[string]bool{}
	for _, s := range answers {
		if s.err != nil {
			continue
		}
		for _, h := range s.value.Hosts {
			if h.Alive {
				alive[h.Host] = true
			} else {
				dead[h.Host] = true
			}
		}
	}
	for h := range alive {
		delete(dead, h)
	}
	return dead
}
