package sched

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// harness drives one Pool with a clock that only the test advances.
type harness struct {
	p    *Pool
	now  time.Duration
	cfg  *config.Config
	seq  uint64
	opts Options
}

// contract returns a contract with limits that no test reaches unless it lowers them.
func contract(name string, weight float64) config.Contract {
	return config.Contract{
		Account: name, Weight: weight, RequestsPerSecond: 1e6, Burst: 1 << 20,
		Concurrency: 1 << 20, QueueLength: 1 << 20,
		MaxRun: time.Minute, MaxWait: time.Hour, Pools: []string{"m"},
	}
}

// newHarness returns a harness with the accounts a, b and c of weight 1 and the upstreams
// u0, u1, ... in the data centres d0 and d1 in turn.
func newHarness(profile config.Profile, upstreams int) *harness {
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
	h := &harness{cfg: cfg, now: time.Second, opts: Options{Pool: cfg.Pools["m"], Policy: cfg.Policy, Seed: 1}}
	h.replacePool()
	return h
}

// newTest returns a checker and a new harness.
func newTest(t *testing.T, profile config.Profile, upstreams int) (*qt.C, *harness) {
	return qt.New(t), newHarness(profile, upstreams)
}

// replacePool replaces the pool by a new one without any state.
func (h *harness) replacePool() {
	h.p = New(h.opts)
	h.p.Configure(h.now, h.cfg)
}

// editContract changes one contract and applies the configuration.
func (h *harness) editContract(account string, f func(*config.Contract)) {
	ct := h.cfg.Contracts[account]
	f(&ct)
	h.cfg.Contracts[account] = ct
	h.p.Configure(h.now, h.cfg)
}

func (h *harness) ticket(account string) wire.Ticket {
	h.seq++
	return wire.Ticket{ID: wire.TicketID{Host: "r", Boot: 1, Seq: h.seq}, Pool: "m", Account: account, DataCentre: "d0"}
}

// submit queues a ticket and returns its id and the code of a refusal.
func (h *harness) submit(account string, edits ...func(*wire.Ticket)) (wire.TicketID, fault.Code) {
	t := h.ticket(account)
	for _, e := range edits {
		e(&t)
	}
	if r := h.p.Submit(h.now, &t); r != nil {
		return t.ID, r.Code
	}
	return t.ID, ""
}

// submitExpect submits a ticket and requires the code of the refusal, empty when the ticket
// is queued.
func (h *harness) submitExpect(c *qt.C, want fault.Code, account string, edits ...func(*wire.Ticket)) {
	_, code := h.submit(account, edits...)
	c.Assert(code, qt.Equals, want)
}

func (h *harness) submitN(account string, n int, edits ...func(*wire.Ticket)) {
	for range n {
		h.submit(account, edits...)
	}
}

func (h *harness) grantAll() []Grant {
	var out []Grant
	for {
		g, ok := h.p.Next(h.now)
		if !ok {
			return out
		}
		out = append(out, g)
	}
}

// grantN is grantAll that requires n grants.
func (h *harness) grantN(c *qt.C, n int) []Grant {
	gs := h.grantAll()
	c.Assert(gs, qt.HasLen, n)
	return gs
}

// grantAccounts returns the accounts of the grants in order, joined.
func grantAccounts(gs []Grant) string {
	s := ""
	for _, g := range gs {
		s += g.Account
	}
	return s
}

func (h *harness) finish(g Grant, o wire.Outcome, cost float64, edits ...func(*wire.Finish)) Effects {
	f := wire.Finish{ID: g.ID, Pool: "m", Upstream: g.Upstream, Outcome: o, Cost: cost, Queued: -1}
	for _, e := range edits {
		e(&f)
	}
	return h.writeMarks(h.p.Finish(h.now, &f))
}

// writeMarks tells the pool that the crash marks are written.
func (h *harness) writeMarks(e Effects) Effects {
	for _, m := range e.Marks {
		h.p.MarkWritten(h.now, m.Fingerprint)
	}
	return e
}

func (h *harness) report(upstream, instance string, running, queued int) Effects {
	return h.writeMarks(h.p.ApplyLoadReport(h.now, LoadReport{Upstream: upstream, Instance: instance, Running: running, Queued: queued, SampledAt: h.now}))
}

// reportAll reports every upstream as idle and running the instance.
func (h *harness) reportAll(instance string) {
	for name := range h.cfg.Upstreams {
		h.report(name, instance, 0, 0)
	}
}

func (h *harness) upstreamStatus(name string) UpstreamStatus {
	for _, u := range h.p.Status(h.now).Upstreams {
		if u.Name == name {
			return u
		}
	}
	return UpstreamStatus{}
}

func (h *harness) accountStatus(name string) AccountStatus {
	for _, a := range h.p.Status(h.now).Accounts {
		if a.Account == name {
			return a
		}
	}
	return AccountStatus{}
}

func withFingerprint(n byte) func(*wire.Ticket) {
	return func(t *wire.Ticket) { t.Fingerprint = wire.Digest{n} }
}

func withPrefix(n byte) func(*wire.Ticket) {
	return func(t *wire.Ticket) { t.Prefix = wire.Digest{n} }
}

func withInstance(s string) func(*wire.Finish) {
	return func(f *wire.Finish) { f.Instance = s }
}

// fixedLimit returns a profile whose upstreams have n slots from the start.
func fixedLimit(n int) config.Profile {
	return config.Profile{ColdConcurrency: n, MaxConcurrency: n, WarmAfter: 1}
}
