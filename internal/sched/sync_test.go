package sched

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/wire"
)

func running(gs []Grant, tickets map[uint64]wire.Ticket) []wire.Running {
	var out []wire.Running
	for _, g := range gs {
		out = append(out, wire.Running{Ticket: tickets[g.ID.Seq], Upstream: g.Upstream, Estimate: g.Estimate})
	}
	return out
}

// Guards against shares that start anew, slots that are counted as free, and estimates
// that are not corrected or corrected by a wrong value, after a change of the scheduler.
// The first request comes from a host that does not state its estimate.
func TestSyncIntoFreshPool(t *testing.T) {
	c, w := begin(t, fixed(2), 1)
	tickets := map[uint64]wire.Ticket{}
	keep := func(t *wire.Ticket) { tickets[t.ID.Seq] = *t }
	w.submitN("a", 30, keep)
	var gs []Grant
	for range 20 {
		gs = append(gs, w.drain()...)
		w.finish(gs[0], wire.OutcomeDone, 10)
		gs = gs[1:]
	}
	gs = append(gs, w.drain()...)
	c.Assert(gs, qt.HasLen, 2)
	tag, virtual := w.account("a").Tag, w.p.virtual
	waiting, _ := w.submit("b", keep)
	w.restart()
	s := &wire.Sync{
		Waiting: []wire.Ticket{tickets[waiting.Seq]}, Running: running(gs, tickets),
		Tags: []wire.AccountTag{{Account: "a", Tag: tag}}, Virtual: virtual,
	}
	s.Running[0].Estimate = 0
	for range 2 {
		w.p.Sync(w.now, "r", 1, s)
		c.Check(w.drain(), qt.HasLen, 0)
		c.Check(w.account("a").Running, qt.Equals, 2)
	}
	c.Check(w.account("a").Tag, qt.Equals, tag)
	c.Check(w.account("b").Tag, qt.Equals, virtual)
	w.finish(gs[0], wire.OutcomeDone, 55)
	c.Check(w.account("a").Tag, qt.Equals, tag)
	c.Check(w.account("a").Service, qt.Equals, 65.0)
	c.Check(accounts(w.drain()), qt.Equals, "b")
	c.Check(gs[1].Estimate, qt.Equals, 10.0)
	w.finish(gs[1], wire.OutcomeDone, 55)
	c.Check(w.account("a").Tag, qt.Equals, tag+45)
	c.Check(w.account("a").Service, qt.Equals, 110.0)
	for _, bad := range []float64{math.NaN(), math.Inf(-1), -1} {
		w.restart()
		s.Running[0].Estimate = bad
		w.p.Sync(w.now, "r", 1, s)
		w.finish(gs[0], wire.OutcomeDone, 55)
		c.Check(w.account("a").Tag, qt.Equals, tag, qt.Commentf("estimate %v", bad))
	}
}

// Guards against a faulty Sync that locks an account out or breaks the arithmetic, and
// against refunds that a Sync to the same scheduler takes back.
func TestSyncTagsAreBounded(t *testing.T) {
	c, w := begin(t, fixed(1), 1)
	w.edit("a", func(ct *config.Contract) { ct.Concurrency = 1 })
	w.p.Sync(w.now, "r", 1, &wire.Sync{Virtual: math.NaN(), Tags: []wire.AccountTag{
		{Account: "a", Tag: 1e300}, {Account: "b", Tag: math.Inf(1)}, {Account: "c", Tag: math.NaN()}, {Account: "x", Tag: 1}}})
	c.Check(w.account("a").Tag, qt.Equals, 400.0)
	c.Check(w.account("b").Tag, qt.Equals, 0.0)
	c.Check(w.account("c").Tag, qt.Equals, 0.0)
	w.submit("b")
	g := w.drain()[0]
	w.finish(g, wire.OutcomeDone, 0)
	w.p.Sync(w.now, "r", 1, &wire.Sync{Tags: []wire.AccountTag{{Account: "b", Tag: g.Tag}}})
	c.Check(w.account("b").Tag, qt.Equals, 0.0)
}

// Guards against grants that are lost with a connection: the grant of a ticket that the
// router still holds waiting is sent again, and one that the router does not know frees
// its slot.
func TestSyncAfterReconnect(t *testing.T) {
	c, w := begin(t, fixed(2), 1)
	tickets := map[uint64]wire.Ticket{}
	keep := func(t *wire.Ticket) { tickets[t.ID.Seq] = *t }
	w.submitN("a", 4, keep)
	gs := w.drainN(c, 2)
	w.p.Sync(w.now, "r", 1, &wire.Sync{Waiting: []wire.Ticket{tickets[gs[0].ID.Seq], tickets[3]}})
	again := w.drain()
	c.Assert(again, qt.HasLen, 2)
	c.Check(again[0].ID, qt.Equals, gs[0].ID)
	c.Check(again[0].Upstream, qt.Equals, gs[0].Upstream)
	c.Check(again[1].ID.Seq, qt.Equals, uint64(3))
	c.Check(w.p.Status(w.now).Waiting, qt.Equals, 0)
}

// Guards against slots of a lost router's requests that are used twice or never again.
func TestDropRouter(t *testing.T) {
	setup := func() (*world, []Grant) {
		w := newWorld(fixed(2), 1)
		w.submitN("a", 4)
		gs := w.drain()
		w.now += 10 * time.Second
		w.p.DropRouter(w.now, "r", 1)
		w.seq = 100
		w.submitN("b", 1, func(t *wire.Ticket) { t.ID.Host = "other" })
		w.drain()
		return w, gs
	}
	for _, tc := range []struct {
		name string
		run  func(w *world, gs []Grant)
		want int
	}{
		{"nothing known", func(w *world, gs []Grant) { w.p.Expire(w.now+59*time.Second, nil) }, 0},
		{"report with both", func(w *world, gs []Grant) { w.report("u0", "", 2, 0) }, 0},
		{"report with none", func(w *world, gs []Grant) { w.report("u0", "", 0, 0) }, 1},
		{"longest run", func(w *world, gs []Grant) { w.p.Expire(w.now+time.Minute, nil) }, 1},
		{"router reports the end", func(w *world, gs []Grant) { w.finish(gs[0], wire.OutcomeDone, 1) }, 1},
		{"router comes back with one", func(w *world, gs []Grant) {
			w.p.Sync(w.now, "r", 1, &wire.Sync{Running: []wire.Running{{Ticket: wire.Ticket{ID: gs[1].ID, Account: "a"}, Upstream: "u0"}}})
		}, 1},
		{"router restarted", func(w *world, gs []Grant) { w.p.Sync(w.now, "r", 2, &wire.Sync{}) }, 0},
	} {
		c := qt.New(t)
		w, gs := setup()
		c.Assert(w.p.Status(w.now).Waiting, qt.Equals, 1)
		tc.run(w, gs)
		c.Check(w.drain(), qt.HasLen, tc.want, qt.Commentf(tc.name))
	}
}

// Guards against reported requests of unknown routers that are ignored, and against a
// lagging report that takes or frees a slot by its lag.
func TestReportedRunning(t *testing.T) {
	c, w := begin(t, fixed(4), 1)
	w.report("u0", "", 3, 0)
	c.Check(w.upstream("u0").Other, qt.Equals, 3)
	w.submitN("a", 20)
	gs := w.drainN(c, 1)
	w.now += 250 * time.Millisecond
	w.report("u0", "", 3, 0) // the new request has not arrived yet, or one of three ended
	c.Check(w.drain(), qt.HasLen, 0)
	w.now += 3 * time.Second
	w.report("u0", "", 1, 0)
	gs = append(gs, w.drain()...)
	c.Assert(gs, qt.HasLen, 4)
	w.now += 3 * time.Second
	sampled := w.now
	for _, g := range gs {
		w.finish(g, wire.OutcomeDone, 1)
	}
	c.Assert(w.drain(), qt.HasLen, 4)
	w.now += 100 * time.Millisecond
	w.p.Report(w.now, LoadReport{Upstream: "u0", Running: 4, At: sampled})
	c.Check(w.upstream("u0").Other, qt.Equals, 0)
}

// Guards against warm upstreams that a change of the scheduler starts cold, and against
// limits that are taken over for another instance, by their age, from an own grant, or
// before a load report confirms the instance.
func TestLimitsOutliveTheScheduler(t *testing.T) {
	limit := func(instance string, limit int, age time.Duration) wire.Sync {
		return wire.Sync{Limits: []wire.UpstreamLimit{{Upstream: "u0", Instance: instance, Limit: limit, Age: age}}}
	}
	sync := func(w *world, router string, s wire.Sync) { w.p.Sync(w.now, router, 1, &s) }
	for _, tc := range []struct {
		name string
		run  func(w *world, g Grant)
		want int
	}{
		{"same instance", func(w *world, g Grant) { w.report("u0", "i1", 0, 0) }, 10},
		{"no report", func(w *world, g Grant) {}, 2},
		{"report without instance", func(w *world, g Grant) { w.report("u0", "", 0, 0) }, 2},
		{"answer only", func(w *world, g Grant) { w.finish(g, wire.OutcomeDone, 1, withInstance("i1")) }, 2},
		{"other instance", func(w *world, g Grant) { w.report("u0", "i2", 0, 0) }, 2},
		{"other instance, then the old one late", func(w *world, g Grant) {
			w.report("u0", "i2", 0, 0)
			w.report("u0", "i1", 0, 0)
		}, 2},
		{"report too late", func(w *world, g Grant) { w.now += limitMaxAge; w.report("u0", "i1", 0, 0) }, 2},
		{"refused before the report", func(w *world, g Grant) {
			w.finish(g, wire.OutcomeRefused, 0)
			w.report("u0", "i1", 0, 0)
		}, 2},
		{"younger and lower limit", func(w *world, g Grant) {
			w.report("u0", "i1", 0, 0)
			sync(w, "r2", limit("i1", 7, 0))
			sync(w, "r3", limit("i1", 9, 5*time.Second))
		}, 7},
		{"younger limit of another instance", func(w *world, g Grant) {
			sync(w, "r2", limit("i0", 7, 0))
			w.report("u0", "i1", 0, 0)
		}, 2},
		{"too old, absurd or unknown", func(w *world, g Grant) {
			w.restart()
			sync(w, "r1", limit("i1", 9, limitMaxAge+1))
			sync(w, "r2", limit("i1", 9, -1))
			sync(w, "r3", limit("i1", -1, 0))
			sync(w, "r4", limit("", 9, 0))
			w.report("u0", "i1", 0, 0)
		}, 2},
		{"above the maximum", func(w *world, g Grant) { sync(w, "r2", limit("i1", 99, 0)); w.report("u0", "i1", 0, 0) }, 10},
		{"own grant after a cold start", func(w *world, g Grant) {
			w.report("u0", "i1", 0, 0)
			w.submit("a")
			w.drain()
			w.finish(g, wire.OutcomeRefused, 0)
			w.now += time.Second
			sync(w, "r2", limit("i1", 10, time.Second))
		}, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, w := begin(t, ramp, 1)
			w.warmUp(c)
			tk := w.ticket("a")
			c.Assert(w.p.Submit(w.now, &tk), qt.IsNil)
			g := w.drain()[0]
			c.Assert([]any{g.Instance, g.Limit}, qt.DeepEquals, []any{"i1", 10})
			w.restart()
			w.now += 300 * time.Millisecond
			s := limit(g.Instance, g.Limit, 300*time.Millisecond)
			s.Running = []wire.Running{{Ticket: tk, Upstream: "u0"}}
			sync(w, "r", s)
			c.Check(w.upstream("u0").Limit, qt.Equals, 2)
			tc.run(w, g)
			c.Check(w.upstream("u0").Limit, qt.Equals, tc.want)
			w.submitN("b", 30)
			w.drain()
			u := w.upstream("u0")
			c.Check(u.Running+u.Other, qt.Equals, tc.want)
		})
	}
}
