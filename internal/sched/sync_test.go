package sched

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/wire"
)

func runningOf(gs []Grant, tickets map[uint64]wire.Ticket) []wire.RunningRequest {
	var out []wire.RunningRequest
	for _, g := range gs {
		out = append(out, wire.RunningRequest{Ticket: tickets[g.ID.Seq], Upstream: g.Upstream, Estimate: g.Estimate})
	}
	return out
}

// After a change of the scheduler, tags continue, slots of running requests stay occupied,
// and each estimate is corrected by its own value. The first request comes from a host that
// does not state its estimate.
func TestSyncIntoNewScheduler(t *testing.T) {
	c, h := newTest(t, fixedLimit(2), 1)
	tickets := map[uint64]wire.Ticket{}
	keep := func(t *wire.Ticket) { tickets[t.ID.Seq] = *t }
	h.submitN("a", 30, keep)
	var gs []Grant
	for range 20 {
		gs = append(gs, h.grantAll()...)
		h.finish(gs[0], wire.OutcomeDone, 10)
		gs = gs[1:]
	}
	gs = append(gs, h.grantAll()...)
	c.Assert(gs, qt.HasLen, 2)
	tag, virtual := h.accountStatus("a").Tag, h.p.virtualTime
	waiting, _ := h.submit("b", keep)
	h.replacePool()
	s := &wire.Sync{
		Waiting: []wire.Ticket{tickets[waiting.Seq]}, Running: runningOf(gs, tickets),
		Tags: []wire.AccountTag{{Account: "a", Tag: tag}}, Virtual: virtual,
	}
	s.Running[0].Estimate = 0
	for range 2 {
		h.p.Sync(h.now, "r", 1, s)
		c.Check(h.grantAll(), qt.HasLen, 0)
		c.Check(h.accountStatus("a").Running, qt.Equals, 2)
	}
	c.Check(h.accountStatus("a").Tag, qt.Equals, tag)
	c.Check(h.accountStatus("b").Tag, qt.Equals, virtual)
	h.finish(gs[0], wire.OutcomeDone, 55)
	c.Check(h.accountStatus("a").Tag, qt.Equals, tag)
	c.Check(h.accountStatus("a").Service, qt.Equals, 65.0)
	c.Check(grantAccounts(h.grantAll()), qt.Equals, "b")
	c.Check(gs[1].Estimate, qt.Equals, 10.0)
	h.finish(gs[1], wire.OutcomeDone, 55)
	c.Check(h.accountStatus("a").Tag, qt.Equals, tag+45)
	c.Check(h.accountStatus("a").Service, qt.Equals, 110.0)
	for _, bad := range []float64{math.NaN(), math.Inf(-1), -1} {
		h.replacePool()
		s.Running[0].Estimate = bad
		h.p.Sync(h.now, "r", 1, s)
		h.finish(gs[0], wire.OutcomeDone, 55)
		c.Check(h.accountStatus("a").Tag, qt.Equals, tag, qt.Commentf("estimate %v", bad))
	}
}

// A faulty Sync must not starve an account or break the arithmetic, and a Sync to the same
// scheduler must not cancel refunds.
func TestSyncTagsAreBounded(t *testing.T) {
	c, h := newTest(t, fixedLimit(1), 1)
	h.editContract("a", func(ct *config.Contract) { ct.Concurrency = 1 })
	h.p.Sync(h.now, "r", 1, &wire.Sync{Virtual: math.NaN(), Tags: []wire.AccountTag{
		{Account: "a", Tag: 1e300}, {Account: "b", Tag: math.Inf(1)}, {Account: "c", Tag: math.NaN()}, {Account: "x", Tag: 1}}})
	c.Check(h.accountStatus("a").Tag, qt.Equals, 400.0)
	c.Check(h.accountStatus("b").Tag, qt.Equals, 0.0)
	c.Check(h.accountStatus("c").Tag, qt.Equals, 0.0)
	h.submit("b")
	g := h.grantAll()[0]
	h.finish(g, wire.OutcomeDone, 0)
	h.p.Sync(h.now, "r", 1, &wire.Sync{Tags: []wire.AccountTag{{Account: "b", Tag: g.Tag}}})
	c.Check(h.accountStatus("b").Tag, qt.Equals, 0.0)
}

// Grants that were lost with a connection leave no slot unused: the grant of a ticket that
// the router lists as waiting is sent again, and a grant that the router does not list
// frees its slot.
func TestSyncAfterReconnect(t *testing.T) {
	c, h := newTest(t, fixedLimit(2), 1)
	tickets := map[uint64]wire.Ticket{}
	keep := func(t *wire.Ticket) { tickets[t.ID.Seq] = *t }
	h.submitN("a", 4, keep)
	gs := h.grantN(c, 2)
	h.p.Sync(h.now, "r", 1, &wire.Sync{Waiting: []wire.Ticket{tickets[gs[0].ID.Seq], tickets[3]}})
	again := h.grantAll()
	c.Assert(again, qt.HasLen, 2)
	c.Check(again[0].ID, qt.Equals, gs[0].ID)
	c.Check(again[0].Upstream, qt.Equals, gs[0].Upstream)
	c.Check(again[1].ID.Seq, qt.Equals, uint64(3))
	c.Check(h.p.Status(h.now).Waiting, qt.Equals, 0)
}

// Guards against sending a grant twice, because the router sent two Syncs before the scheduler
// could grant again.
func TestGrantIsResentOnceAfterTwoSyncs(t *testing.T) {
	c, h := newTest(t, fixedLimit(1), 1)
	tk := h.ticket("a")
	c.Assert(h.p.Submit(h.now, &tk), qt.IsNil)
	h.grantN(c, 1)
	for range 2 {
		h.p.Sync(h.now, "r", 1, &wire.Sync{Waiting: []wire.Ticket{tk}})
	}
	h.grantN(c, 1)
	h.p.Sync(h.now, "r", 1, &wire.Sync{Waiting: []wire.Ticket{tk}})
	h.grantN(c, 1)
}

// Guards against sending the grant of a request that runs by now.
func TestGrantIsNotResentOnceItsRequestRuns(t *testing.T) {
	c, h := newTest(t, fixedLimit(1), 1)
	tk := h.ticket("a")
	c.Assert(h.p.Submit(h.now, &tk), qt.IsNil)
	h.grantN(c, 1)
	h.p.Sync(h.now, "r", 1, &wire.Sync{Waiting: []wire.Ticket{tk}})
	h.p.Sync(h.now, "r", 1, &wire.Sync{Running: []wire.RunningRequest{{Ticket: tk, Upstream: "u0"}}})
	h.grantN(c, 0)
}

// Guards against never resending a grant whose router was lost before it could be sent again.
func TestGrantIsResentAfterItsRouterReturns(t *testing.T) {
	c, h := newTest(t, fixedLimit(1), 1)
	tk := h.ticket("a")
	c.Assert(h.p.Submit(h.now, &tk), qt.IsNil)
	h.grantN(c, 1)
	sync := &wire.Sync{Waiting: []wire.Ticket{tk}}
	h.p.Sync(h.now, "r", 1, sync)
	h.p.DropRouter(h.now, "r", 1)
	h.grantN(c, 0)
	h.p.Sync(h.now, "r", 1, sync)
	h.grantN(c, 1)
}

// The slots of a lost router's requests are neither granted while these may still run nor
// kept forever.
func TestDropRouter(t *testing.T) {
	setup := func() (*harness, []Grant) {
		h := newHarness(fixedLimit(2), 1)
		h.submitN("a", 4)
		gs := h.grantAll()
		h.now += 10 * time.Second
		h.p.DropRouter(h.now, "r", 1)
		h.seq = 100
		h.submitN("b", 1, func(t *wire.Ticket) { t.ID.Host = "other" })
		h.grantAll()
		return h, gs
	}
	for _, tc := range []struct {
		name string
		run  func(h *harness, gs []Grant)
		want int
	}{
		{"nothing known", func(h *harness, gs []Grant) { h.p.Expire(h.now+59*time.Second, nil) }, 0},
		{"report with both", func(h *harness, gs []Grant) { h.report("u0", "", 2, 0) }, 0},
		{"report with none", func(h *harness, gs []Grant) { h.report("u0", "", 0, 0) }, 1},
		{"longest run", func(h *harness, gs []Grant) { h.p.Expire(h.now+time.Minute, nil) }, 1},
		{"router reports the end", func(h *harness, gs []Grant) { h.finish(gs[0], wire.OutcomeDone, 1) }, 1},
		{"router comes back with one", func(h *harness, gs []Grant) {
			h.p.Sync(h.now, "r", 1, &wire.Sync{Running: []wire.RunningRequest{{Ticket: wire.Ticket{ID: gs[1].ID, Account: "a"}, Upstream: "u0"}}})
		}, 1},
		{"router restarted", func(h *harness, gs []Grant) { h.p.Sync(h.now, "r", 2, &wire.Sync{}) }, 0},
	} {
		c := qt.New(t)
		h, gs := setup()
		c.Assert(h.p.Status(h.now).Waiting, qt.Equals, 1)
		tc.run(h, gs)
		c.Check(h.grantAll(), qt.HasLen, tc.want, qt.Commentf(tc.name))
	}
}

// Guards against listing a removed upstream forever, because its last slot was occupied by
// reported requests without a known grant.
func TestRemovedUpstreamIsForgottenWithItsLastSlot(t *testing.T) {
	for name, free := range map[string]func(h *harness){
		"the longest run time has passed": func(h *harness) { h.p.Expire(h.now+time.Minute, nil) },
		"a report shows that they ended":  func(h *harness) { h.now += time.Second; h.report("u0", "", 0, 0) },
	} {
		c, h := newTest(t, fixedLimit(4), 2)
		h.report("u0", "", 3, 0)
		delete(h.cfg.Upstreams, "u0")
		h.p.Configure(h.now, h.cfg)
		c.Check(h.upstreamStatus("u0").Other, qt.Equals, 3)
		free(h)
		c.Check(h.p.Status(h.now).Upstreams, qt.HasLen, 1, qt.Commentf(name))
	}
}

// Reported requests of unknown routers occupy slots, and the delay of a report alone
// neither takes nor frees a slot.
func TestReportedRequestsOccupySlots(t *testing.T) {
	c, h := newTest(t, fixedLimit(4), 1)
	h.report("u0", "", 3, 0)
	c.Check(h.upstreamStatus("u0").Other, qt.Equals, 3)
	h.submitN("a", 20)
	gs := h.grantN(c, 1)
	h.now += 250 * time.Millisecond
	h.report("u0", "", 3, 0) // the new request has not arrived yet, or one of three ended
	c.Check(h.grantAll(), qt.HasLen, 0)
	h.now += 3 * time.Second
	h.report("u0", "", 1, 0)
	gs = append(gs, h.grantAll()...)
	c.Assert(gs, qt.HasLen, 4)
	h.now += 3 * time.Second
	sampled := h.now
	for _, g := range gs {
		h.finish(g, wire.OutcomeDone, 1)
	}
	c.Assert(h.grantAll(), qt.HasLen, 4)
	h.now += 100 * time.Millisecond
	h.p.ApplyLoadReport(h.now, LoadReport{Upstream: "u0", Running: 4, SampledAt: sampled})
	c.Check(h.upstreamStatus("u0").Other, qt.Equals, 0)
}

// Warm upstreams keep their limit after a change of the scheduler. A limit is not taken
// over if it belongs to another instance, is too old, comes from the scheduler's own grant,
// or no load report has confirmed the instance.
func TestLimitsCarryOverToNextScheduler(t *testing.T) {
	limit := func(instance string, limit int, age time.Duration) wire.Sync {
		return wire.Sync{Limits: []wire.UpstreamLimit{{Upstream: "u0", Instance: instance, Limit: limit, Age: age}}}
	}
	sync := func(h *harness, router string, s wire.Sync) { h.p.Sync(h.now, router, 1, &s) }
	for _, tc := range []struct {
		name string
		run  func(h *harness, g Grant)
		want int
	}{
		{"same instance", func(h *harness, g Grant) { h.report("u0", "i1", 0, 0) }, 10},
		{"no report", func(h *harness, g Grant) {}, 2},
		{"report without instance", func(h *harness, g Grant) { h.report("u0", "", 0, 0) }, 2},
		{"answer only", func(h *harness, g Grant) { h.finish(g, wire.OutcomeDone, 1, withInstance("i1")) }, 2},
		{"other instance", func(h *harness, g Grant) { h.report("u0", "i2", 0, 0) }, 2},
		{"other instance, then the old one late", func(h *harness, g Grant) {
			h.report("u0", "i2", 0, 0)
			h.report("u0", "i1", 0, 0)
		}, 2},
		{"report too late", func(h *harness, g Grant) { h.now += limitMaxAge; h.report("u0", "i1", 0, 0) }, 2},
		{"refused before the report", func(h *harness, g Grant) {
			h.finish(g, wire.OutcomeRefused, 0)
			h.report("u0", "i1", 0, 0)
		}, 2},
		{"more recent and lower limit", func(h *harness, g Grant) {
			h.report("u0", "i1", 0, 0)
			sync(h, "r2", limit("i1", 7, 0))
			sync(h, "r3", limit("i1", 9, 5*time.Second))
		}, 7},
		{"more recent limit of another instance", func(h *harness, g Grant) {
			sync(h, "r2", limit("i0", 7, 0))
			h.report("u0", "i1", 0, 0)
		}, 2},
		{"too old, invalid or unknown", func(h *harness, g Grant) {
			h.replacePool()
			sync(h, "r1", limit("i1", 9, limitMaxAge+1))
			sync(h, "r2", limit("i1", 9, -1))
			sync(h, "r3", limit("i1", -1, 0))
			sync(h, "r4", limit("", 9, 0))
			h.report("u0", "i1", 0, 0)
		}, 2},
		{"above the maximum", func(h *harness, g Grant) { sync(h, "r2", limit("i1", 99, 0)); h.report("u0", "i1", 0, 0) }, 10},
		{"own grant after a cold start", func(h *harness, g Grant) {
			h.report("u0", "i1", 0, 0)
			h.submit("a")
			h.grantAll()
			h.finish(g, wire.OutcomeRefused, 0)
			h.now += time.Second
			sync(h, "r2", limit("i1", 10, time.Second))
		}, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, h := newTest(t, rampProfile, 1)
			h.warmUp(c)
			tk := h.ticket("a")
			c.Assert(h.p.Submit(h.now, &tk), qt.IsNil)
			g := h.grantAll()[0]
			c.Assert([]any{g.Instance, g.Limit}, qt.DeepEquals, []any{"i1", 10})
			h.replacePool()
			h.now += 300 * time.Millisecond
			s := limit(g.Instance, g.Limit, 300*time.Millisecond)
			s.Running = []wire.RunningRequest{{Ticket: tk, Upstream: "u0"}}
			sync(h, "r", s)
			c.Check(h.upstreamStatus("u0").Limit, qt.Equals, 2)
			tc.run(h, g)
			c.Check(h.upstreamStatus("u0").Limit, qt.Equals, tc.want)
			h.submitN("b", 30)
			h.grantAll()
			u := h.upstreamStatus("u0")
			c.Check(u.Running+u.Other, qt.Equals, tc.want)
		})
	}
}
