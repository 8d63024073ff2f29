package sched

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// world drives one Pool with a clock that only the test moves.
type world struct {
	p    *Pool
	now  time.Duration
	cfg  *config.Config
	seq  uint64
	opts Options
}

// contract returns limits that no test meets by accident.
func contract(name string, weight float64) config.Contract {
	return config.Contract{
		Account: name, Weight: weight, RequestsPerSecond: 1e6, Burst: 1 << 20,
		Concurrency: 1 << 20, QueueLength: 1 << 20,
		MaxRun: time.Minute, MaxWait: time.Hour, Pools: []string{"m"},
	}
}

// newWorld has the accounts a, b and c of weight 1 and upstreams u0, u1, ... in the data
// centres d0 and d1 in turn.
func newWorld(profile config.Profile, upstreams int) *world {
	cfg := config.New()
	cfg.Policy.RetryPercent = 10
	cfg.Pools["m"] = config.Pool{Name: "m", Kind: config.KindModel, Profile: profile, MaxCost: 100, DefaultCost: 10}
	for i := range upstreams {
		name := "u" + string(rune('0'+i))
		cfg.Upstreams[name] = config.Upstream{Name: name, Pool: "m", DataCentre: "d" + string(rune('0'+i%2)), Address: "127.0.0.1:" + name}
	}
	for _, d := range []string{"d0", "d1"} {
		cfg.DataCentres[d] = config.DataCentre{Name: d}
	}
	for _, a := range []string{"a", "b", "c"} {
		cfg.Contracts[a] = contract(a, 1)
	}
	w := &world{cfg: cfg, now: time.Second, opts: Options{Pool: cfg.Pools["m"], Policy: cfg.Policy, Seed: 1}}
	w.restart()
	return w
}

// begin returns a checker and a newWorld.
func begin(t *testing.T, profile config.Profile, upstreams int) (*qt.C, *world) {
	return qt.New(t), newWorld(profile, upstreams)
}

// restart replaces the pool by one with empty memory.
func (w *world) restart() {
	w.p = New(w.opts)
	w.p.Configure(w.now, w.cfg)
}

// edit changes one contract and applies the configuration.
func (w *world) edit(account string, f func(*config.Contract)) {
	ct := w.cfg.Contracts[account]
	f(&ct)
	w.cfg.Contracts[account] = ct
	w.p.Configure(w.now, w.cfg)
}

func (w *world) ticket(account string) wire.Ticket {
	w.seq++
	return wire.Ticket{ID: wire.TicketID{Host: "r", Boot: 1, Seq: w.seq}, Pool: "m", Account: account, DataCentre: "d0"}
}

// submit queues a ticket and returns its id and the code of a refusal.
func (w *world) submit(account string, edits ...func(*wire.Ticket)) (wire.TicketID, fault.Code) {
	t := w.ticket(account)
	for _, e := range edits {
		e(&t)
	}
	if r := w.p.Submit(w.now, &t); r != nil {
		return t.ID, r.Code
	}
	return t.ID, ""
}

// submitWant requires the code of the refusal, empty when the ticket is queued.
func (w *world) submitWant(c *qt.C, want fault.Code, account string, edits ...func(*wire.Ticket)) {
	_, code := w.submit(account, edits...)
	c.Assert(code, qt.Equals, want)
}

func (w *world) submitN(account string, n int, edits ...func(*wire.Ticket)) {
	for range n {
		w.submit(account, edits...)
	}
}

func (w *world) drain() []Grant {
	var out []Grant
	for {
		g, ok := w.p.Next(w.now)
		if !ok {
			return out
		}
		out = append(out, g)
	}
}

// drainN requires n grants.
func (w *world) drainN(c *qt.C, n int) []Grant {
	gs := w.drain()
	c.Assert(gs, qt.HasLen, n)
	return gs
}

// accounts lists whom the grants went to.
func accounts(gs []Grant) string {
	s := ""
	for _, g := range gs {
		s += g.Account
	}
	return s
}

func (w *world) finish(g Grant, o wire.Outcome, cost float64, edits ...func(*wire.Finish)) Effects {
	f := wire.Finish{ID: g.ID, Pool: "m", Upstream: g.Upstream, Outcome: o, Cost: cost, Queued: -1}
	for _, e := range edits {
		e(&f)
	}
	return w.p.Finish(w.now, &f)
}

func (w *world) report(upstream, instance string, running, queued int) Effects {
	return w.p.Report(w.now, LoadReport{Upstream: upstream, Instance: instance, Running: running, Queued: queued, At: w.now})
}

// reportAll reports every upstream as empty and running the instance.
func (w *world) reportAll(instance string) {
	for name := range w.cfg.Upstreams {
		w.report(name, instance, 0, 0)
	}
}

func (w *world) upstream(name string) UpstreamStatus {
	for _, u := range w.p.Status(w.now).Upstreams {
		if u.Name == name {
			return u
		}
	}
	return UpstreamStatus{}
}

func (w *world) account(name string) AccountStatus {
	for _, a := range w.p.Status(w.now).Accounts {
		if a.Account == name {
			return a
		}
	}
	return AccountStatus{}
}

func withFP(n byte) func(*wire.Ticket) {
	return func(t *wire.Ticket) { t.Fingerprint = wire.Digest{n} }
}

func withPrefix(n byte) func(*wire.Ticket) {
	return func(t *wire.Ticket) { t.Prefix = wire.Digest{n} }
}

func withInstance(s string) func(*wire.Finish) {
	return func(f *wire.Finish) { f.Instance = s }
}

// fixed is a profile whose upstreams have n slots from the start.
func fixed(n int) config.Profile {
	return config.Profile{ColdConcurrency: n, MaxConcurrency: n, WarmAfter: 1}
}
