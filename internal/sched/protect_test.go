package sched

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

var ramp = config.Profile{ColdConcurrency: 2, MaxConcurrency: 10, WarmAfter: 3}

// warmUp brings every upstream of the world to warm.
func (w *world) warmUp(c *qt.C) {
	w.submitN("c", 100)
	for range 100 {
		gs := w.drain()
		if len(gs) == 0 {
			break
		}
		for _, g := range gs {
			w.finish(g, wire.OutcomeDone, 1, withInstance("i1"), func(f *wire.Finish) { f.FirstByte = 10 * time.Millisecond })
		}
	}
	for name := range w.cfg.Upstreams {
		c.Assert(w.upstream(name).State, qt.Equals, StateWarm)
	}
}

// Guards against a cold upstream that gets more than its profile allows.
func TestColdStartDoubles(t *testing.T) {
	c, w := begin(t, ramp, 1)
	w.submitN("a", 100)
	running := w.drain()
	var limits []int
	for range 12 {
		limits = append(limits, len(running))
		w.finish(running[0], wire.OutcomeDone, 1)
		running = append(running[1:], w.drain()...)
	}
	c.Check(limits, qt.DeepEquals, []int{2, 2, 2, 4, 4, 4, 8, 8, 8, 10, 10, 10})
	c.Check(w.upstream("u0").State, qt.Equals, StateWarm)
}

// Guards against signs of a restart or overload that do not lead to a cold start, and
// against a success of an earlier grant that warms the restarted upstream.
func TestReturnsToCold(t *testing.T) {
	slow := func(f *wire.Finish) { f.FirstByte = 45 * time.Millisecond }
	for _, tc := range []struct {
		name string
		run  func(w *world, gs []Grant)
		want State
	}{
		{"instance in a report", func(w *world, gs []Grant) { w.report("u0", "i2", 0, 0) }, StateCold},
		{"instance in a reply", func(w *world, gs []Grant) { w.finish(gs[0], wire.OutcomeDone, 1, withInstance("i2")) }, StateCold},
		{"answer 503", func(w *world, gs []Grant) { w.finish(gs[0], wire.OutcomeRefused, 1) }, StateCold},
		{"connection refused", func(w *world, gs []Grant) {
			w.finish(gs[0], wire.OutcomeUnreachable, 1)
			w.now += time.Second
			w.report("u0", "i1", 9, 0)
		}, StateCold},
		{"three slow answers", func(w *world, gs []Grant) {
			for i := range 3 {
				w.finish(gs[i], wire.OutcomeDone, 1, slow)
			}
		}, StateCold},
		{"two slow answers and a fast one", func(w *world, gs []Grant) {
			for i, e := range []func(*wire.Finish){slow, slow, func(f *wire.Finish) { f.FirstByte = time.Millisecond }, slow} {
				w.finish(gs[i], wire.OutcomeDone, 1, e)
			}
		}, StateWarm},
		{"late answer of the old instance", func(w *world, gs []Grant) {
			w.report("u0", "i2", 0, 0)
			for i := range 6 {
				w.finish(gs[i], wire.OutcomeDone, 1, withInstance("i1"))
			}
		}, StateCold},
		{"same instance", func(w *world, gs []Grant) { w.report("u0", "i1", 10, 0) }, StateWarm},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, w := begin(t, ramp, 1)
			w.warmUp(c)
			w.submitN("a", 50)
			gs := w.drainN(c, 10)
			tc.run(w, gs)
			c.Check(w.upstream("u0").State, qt.Equals, tc.want)
			if tc.want == StateCold {
				c.Check(w.upstream("u0").Limit, qt.Equals, 2)
			}
		})
	}
}

// Guards against new work on an upstream whose connection failed or that is out of
// service, and against a return that is not cold.
func TestSuspectAndOut(t *testing.T) {
	c, w := begin(t, ramp, 2)
	w.warmUp(c)
	w.submitN("a", 100)
	gs := w.drainN(c, 20)
	var mine Grant
	for _, g := range gs {
		if g.Upstream == "u0" {
			mine = g
		}
	}
	w.finish(mine, wire.OutcomeBroken, 1)
	c.Check(w.upstream("u0").State, qt.Equals, StateSuspect)
	c.Check(w.drain(), qt.HasLen, 0)
	w.p.Report(w.now, LoadReport{Upstream: "u0", Instance: "i1", Running: 9, At: w.now - time.Millisecond})
	c.Check(w.drain(), qt.HasLen, 0)
	w.report("u0", "i1", 9, 0)
	c.Check(w.upstream("u0").State, qt.Equals, StateWarm)
	c.Check(w.drain(), qt.HasLen, 1)

	setOut := func(out bool) {
		w.cfg.DataCentres["d0"] = config.DataCentre{Name: "d0", Out: out}
		w.p.Configure(w.now, w.cfg)
	}
	setOut(true)
	c.Check(w.upstream("u0").State, qt.Equals, StateOut)
	for _, g := range gs[:15] {
		w.finish(g, wire.OutcomeDone, 1)
	}
	for _, g := range w.drain() {
		c.Check(g.Upstream, qt.Equals, "u1")
	}
	setOut(false)
	c.Check(w.upstream("u0").State, qt.Equals, StateCold)
	c.Check(w.upstream("u0").Limit, qt.Equals, 2)
	delete(w.cfg.Upstreams, "u0")
	w.p.Configure(w.now, w.cfg)
	c.Check(w.upstream("u0").State, qt.Equals, StateOut)
}

// Guards against a plain service without load reports that stays suspect for ever, or
// whose slots or limit change by an answer that says nothing about them.
func TestAnswerWithoutReport(t *testing.T) {
	c, w := begin(t, ramp, 1)
	w.warmUp(c)
	w.now += 10 * time.Second
	w.report("u0", "i1", 3, 0)
	w.submitN("a", 20, withFP(1))
	gs := w.drainN(c, 7)
	w.finish(gs[0], wire.OutcomeBroken, 1)
	before := w.upstream("u0")
	c.Assert(before.State, qt.Equals, StateSuspect)
	none := LoadReport{Upstream: "u0", Running: -1, Queued: -1, At: w.now - time.Millisecond}
	w.p.Report(w.now, none)
	c.Check(w.upstream("u0"), qt.Equals, before)
	none.At = w.now
	c.Check(w.p.Report(w.now, none).Marks, qt.HasLen, 0)
	before.State = StateWarm
	c.Check(w.upstream("u0"), qt.Equals, before)
	c.Check(w.p.fingerprints[wire.Digest{1}].suspected(), qt.IsFalse)
	c.Check(w.drain(), qt.HasLen, 1)
}

// Guards against a warm limit that does not follow the engine's queue, and against
// reports that are too old to mean anything.
func TestLimitAdaptation(t *testing.T) {
	c, w := begin(t, config.Profile{ColdConcurrency: 4, MaxConcurrency: 40, WarmAfter: 1}, 1)
	w.warmUp(c)
	w.submitN("a", 100)
	gs := w.drainN(c, 40)
	w.report("u0", "i1", 36, 4)
	c.Check(w.upstream("u0").Limit, qt.Equals, 36)
	w.p.Report(w.now+3*time.Second, LoadReport{Upstream: "u0", Running: 36, Queued: 4, At: w.now})
	c.Check(w.upstream("u0").Limit, qt.Equals, 36)
	w.report("u0", "i1", 40, 0)
	c.Check(w.upstream("u0").Limit, qt.Equals, 37)
	w.now += time.Second
	for i := range 10 {
		w.finish(gs[i], wire.OutcomeDone, 1, func(f *wire.Finish) { f.Queued = 1 })
	}
	c.Check(w.upstream("u0").Limit, qt.Equals, 34)
	for range 100 {
		w.report("u0", "i1", 0, 1)
	}
	c.Check(w.upstream("u0").Limit, qt.Equals, 4)
}

// Guards against a choice that ignores affinity, distance or load, or that leaves a far
// slot idle.
func TestChoiceOfUpstream(t *testing.T) {
	c, w := begin(t, fixed(2), 4) // u0 and u2 are near, u1 and u3 far
	w.p.CacheEvent(w.now, "u2", 1, []wire.Digest{{7}}, nil)
	w.p.CacheEvent(w.now, "u1", 1, []wire.Digest{{8}}, nil)
	one := func(edits ...func(*wire.Ticket)) string {
		w.submit("a", edits...)
		gs := w.drainN(c, 1)
		return gs[0].Upstream
	}
	c.Check(one(withPrefix(7)), qt.Equals, "u2")
	c.Check(one(withPrefix(8)), qt.Equals, "u0")
	c.Check(one(withPrefix(8)), qt.Equals, "u0") // known there from the grant before
	c.Check(one(withPrefix(8)), qt.Equals, "u2") // u0 is full
	first, second := one(), one()
	c.Check(first != second && first != "u0" && first != "u2", qt.IsTrue)
	one()
	one()
	w.submit("a")
	c.Check(w.drain(), qt.HasLen, 0)
}

// Guards against cache knowledge that survives a gap in the events, a restart of the
// upstream or its removal from the cache, and against late events.
func TestCacheEvents(t *testing.T) {
	c, w := begin(t, fixed(2), 1)
	u := w.p.upstreams["u0"]
	d := func(n byte) []wire.Digest { return []wire.Digest{{n}} }
	w.p.CacheEvent(w.now, "u0", 5, d(1), nil)
	w.p.CacheEvent(w.now, "u0", 6, d(2), d(1))
	c.Check([]bool{u.cache.has(wire.Digest{1}), u.cache.has(wire.Digest{2})}, qt.DeepEquals, []bool{false, true})
	w.p.CacheEvent(w.now, "u0", 6, d(3), nil)
	c.Check(u.cache.has(wire.Digest{3}), qt.IsFalse)
	w.p.CacheEvent(w.now, "u0", 8, d(4), nil)
	c.Check([]bool{u.cache.has(wire.Digest{2}), u.cache.has(wire.Digest{4})}, qt.DeepEquals, []bool{false, true})
	w.report("u0", "i1", 0, 0)
	w.report("u0", "i2", 0, 0)
	c.Check(u.cache.has(wire.Digest{4}), qt.IsFalse)
	w.p.CacheEvent(w.now, "u0", 1, d(5), nil)
	c.Check(u.cache.has(wire.Digest{5}), qt.IsTrue)
	for i := range 100000 {
		u.cache.add(wire.Digest{byte(i), byte(i >> 8), byte(i >> 16), 1})
	}
	c.Check(len(u.cache.digests), qt.Equals, prefixSets*prefixWays)
}

// Guards against a request that crashes more than two upstreams, in either order of the
// broken connection and the sign of the restart.
func TestCrashQuarantine(t *testing.T) {
	restart := func(w *world, name string) Effects { return w.report(name, "after", 0, 0) }
	for _, tc := range []struct {
		name  string
		crash func(w *world, g Grant) []CrashMark
	}{
		{"break, then new instance", func(w *world, g Grant) []CrashMark {
			e := w.finish(g, wire.OutcomeBroken, 1)
			return append(e.Marks, restart(w, g.Upstream).Marks...)
		}},
		{"new instance, then break", func(w *world, g Grant) []CrashMark {
			e := restart(w, g.Upstream)
			return append(e.Marks, w.finish(g, wire.OutcomeBroken, 1).Marks...)
		}},
		{"break, then refused connections", func(w *world, g Grant) []CrashMark {
			e := w.finish(g, wire.OutcomeBroken, 1)
			w.submit("b", func(t *wire.Ticket) { t.Fingerprint = wire.Digest{99} })
			u := w.p.upstreams[g.Upstream]
			u.suspect = false // a grant that was already on its way when the connection broke
			for _, other := range w.drain() {
				if other.Account == "b" && other.Upstream == g.Upstream {
					return append(e.Marks, w.finish(other, wire.OutcomeUnreachable, 0).Marks...)
				}
			}
			other := &item{upstream: u}
			w.p.outcome(w.now, other, &wire.Finish{Outcome: wire.OutcomeUnreachable}, &e)
			return e.Marks
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, w := begin(t, fixed(2), 4)
			w.reportAll("before")
			used := map[string]bool{}
			for range 2 {
				w.submit("a", withFP(1))
				gs := w.drainN(c, 1)
				c.Assert(used[gs[0].Upstream], qt.IsFalse)
				used[gs[0].Upstream] = true
				w.now += 10 * time.Millisecond
				marks := tc.crash(w, gs[0])
				c.Assert(marks, qt.DeepEquals, []CrashMark{{Fingerprint: wire.Digest{1}, Upstream: gs[0].Upstream, Until: w.now + time.Hour}})
			}
			w.submitWant(c, fault.CrashesUpstreams, "a", withFP(1))
			w.submitWant(c, fault.Code(""), "a", withFP(2))
			c.Check(w.p.Status(w.now).Quarantined, qt.Equals, 1)
			w.now += time.Hour
			w.submitWant(c, fault.Code(""), "a", withFP(1))
		})
	}
}

// Guards against innocent requests that stay limited: a break without a restart is no
// crash, and a success clears a mark and the limit of two upstreams.
func TestInnocentRequests(t *testing.T) {
	c, w := begin(t, fixed(1), 4)
	w.reportAll("i")
	w.submitN("a", 4, withFP(1))
	gs := w.drainN(c, 2) // unproven: two upstreams at the same time
	c.Check(w.finish(gs[0], wire.OutcomeBroken, 1).Marks, qt.HasLen, 0)
	c.Check(w.report(gs[0].Upstream, "i", 0, 0).Marks, qt.HasLen, 0)
	w.finish(gs[1], wire.OutcomeDone, 1)
	gs = w.drainN(c, 2)
	w.submitN("a", 2, withFP(1))
	c.Assert(w.drain(), qt.HasLen, 2) // proven: no limit
	w.submit("b", withFP(3))
	w.finish(gs[0], wire.OutcomeBroken, 1)
	c.Check(w.report(gs[0].Upstream, "j", 0, 0).Marks, qt.HasLen, 1)
	c.Check(w.p.fingerprints[wire.Digest{1}].proven, qt.IsFalse)
	w.finish(gs[1], wire.OutcomeDone, 1)
	c.Check(w.p.fingerprints[wire.Digest{1}].crashes, qt.Equals, 0)
}

// Guards against a flood of fingerprints that takes memory without bound or pushes out
// crash marks.
func TestFingerprintsAreBounded(t *testing.T) {
	c, w := begin(t, fixed(1), 1)
	digest := func(kind byte, i int) wire.Digest { return wire.Digest{kind, byte(i), byte(i >> 8)} }
	w.p.RestoreMark(wire.Digest{200}, "u7", w.now+time.Hour)
	w.p.RestoreMark(wire.Digest{200}, "u8", w.now+time.Hour)
	for i := range 20000 {
		w.submit("a", func(t *wire.Ticket) { t.Fingerprint = digest(1, i) })
		w.finish(w.drain()[0], wire.OutcomeDone, 1)
	}
	c.Check(len(w.p.fingerprints), qt.Equals, maxProven+1)
	w.submitWant(c, fault.CrashesUpstreams, "a", withFP(200))
	for i := range 20000 {
		w.p.RestoreMark(digest(2, i), "u7", w.now+time.Hour)
	}
	c.Check(len(w.p.fingerprints), qt.Equals, maxProven+maxMarked)
}

// Guards against a request behind one that waits for its own quarantine limits, and
// against an upstream to avoid that is used although another one has a slot, or that
// holds a request back for ever.
func TestHeadOfLineAndAvoid(t *testing.T) {
	c, w := begin(t, fixed(2), 3)
	w.submitN("a", 5, withFP(1))
	behind, _ := w.submit("a")
	gs := w.drainN(c, 5) // four on two upstreams, and the plain one on the third
	c.Check(gs[4].ID, qt.Equals, behind)
	c.Check(w.account("a").Blocked, qt.IsTrue)
	w.submit("b")
	c.Check(w.drain(), qt.HasLen, 1)

	w = newWorld(fixed(1), 2)
	avoid := func(t *wire.Ticket) { t.Avoid = "u0" }
	w.submit("a", avoid)
	c.Check(w.drain()[0].Upstream, qt.Equals, "u1")
	w.submit("a", avoid)
	c.Check(w.drain(), qt.HasLen, 0)
	w.now += avoidHold
	w.p.Expire(w.now, nil)
	gs = w.drainN(c, 1)
	c.Check(gs[0].Upstream, qt.Equals, "u0")

	w = newWorld(fixed(1), 1)
	w.submit("a", avoid)
	c.Check(w.drain(), qt.HasLen, 1)

	// The end of another account's request is enough to try a held ticket again.
	w = newWorld(fixed(1), 2)
	w.submit("b", avoid)
	busy := w.drain()
	w.submit("a", avoid)
	c.Assert(w.drain(), qt.HasLen, 0)
	w.finish(busy[0], wire.OutcomeDone, 1)
	c.Check(w.drain(), qt.HasLen, 1)
}

// Guards against a third upstream for a fingerprint whose broken connections have no
// verdict yet, and for a marked one that ran elsewhere without success.
func TestNoThirdUpstream(t *testing.T) {
	c, w := begin(t, fixed(1), 4)
	w.reportAll("i")
	// All upstreams are equally far, so that the choice among them is random.
	far := func(t *wire.Ticket) { t.DataCentre = "elsewhere" }
	var used []string
	for range 2 {
		w.submit("a", withFP(1), far)
		g := w.drain()[0]
		used = append(used, g.Upstream)
		w.finish(g, wire.OutcomeBroken, 1)
	}
	c.Assert(used[0] != used[1], qt.IsTrue)
	w.submit("a", withFP(1), far)
	c.Check(w.drain(), qt.HasLen, 0)
	w.now += time.Millisecond
	c.Assert(w.report(used[0], "restarted", 0, 0).Marks, qt.HasLen, 1)
	c.Assert(w.report(used[1], "i", 0, 0).Marks, qt.HasLen, 0)
	other := ""
	for range 8 {
		gs := w.drainN(c, 1)
		c.Assert(gs[0].Upstream != used[0], qt.IsTrue)
		if other == "" {
			other = gs[0].Upstream
		}
		c.Assert(gs[0].Upstream, qt.Equals, other)
		w.finish(gs[0], wire.OutcomeFailed, 1)
		w.submit("a", withFP(1), far)
	}
}
