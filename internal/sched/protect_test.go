package sched

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

var rampProfile = config.Profile{ColdConcurrency: 2, MaxConcurrency: 10, WarmAfter: 3}

// warmUp brings every upstream to the warm state.
func (h *harness) warmUp(c *qt.C) {
	h.submitN("c", 100)
	for range 100 {
		gs := h.grantAll()
		if len(gs) == 0 {
			break
		}
		for _, g := range gs {
			h.finish(g, wire.OutcomeDone, 1, withInstance("i1"), func(f *wire.Finish) { f.FirstByte = 10 * time.Millisecond })
		}
	}
	for name := range h.cfg.Upstreams {
		c.Assert(h.upstreamStatus(name).State, qt.Equals, UpstreamWarm)
	}
}

// A cold upstream gets no more requests than its profile allows; the limit doubles with its
// successes.
func TestColdStartDoubles(t *testing.T) {
	c, h := newTest(t, rampProfile, 1)
	h.submitN("a", 100)
	running := h.grantAll()
	var limits []int
	for range 12 {
		limits = append(limits, len(running))
		h.finish(running[0], wire.OutcomeDone, 1)
		running = append(running[1:], h.grantAll()...)
	}
	c.Check(limits, qt.DeepEquals, []int{2, 2, 2, 4, 4, 4, 8, 8, 8, 10, 10, 10})
	c.Check(h.upstreamStatus("u0").State, qt.Equals, UpstreamWarm)
}

// An upstream returns to cold start after signs of a restart or overload, and successes of
// grants from before the restart do not raise its limit.
func TestReturnToColdStart(t *testing.T) {
	slow := func(f *wire.Finish) { f.FirstByte = 45 * time.Millisecond }
	for _, tc := range []struct {
		name string
		run  func(h *harness, gs []Grant)
		want UpstreamState
	}{
		{"instance in a report", func(h *harness, gs []Grant) { h.report("u0", "i2", 0, 0) }, UpstreamCold},
		{"instance in a reply", func(h *harness, gs []Grant) { h.finish(gs[0], wire.OutcomeDone, 1, withInstance("i2")) }, UpstreamCold},
		{"answer 503", func(h *harness, gs []Grant) { h.finish(gs[0], wire.OutcomeRefused, 1) }, UpstreamCold},
		{"connection refused", func(h *harness, gs []Grant) {
			h.finish(gs[0], wire.OutcomeUnreachable, 1)
			h.now += time.Second
			h.report("u0", "i1", 9, 0)
		}, UpstreamCold},
		{"three slow answers", func(h *harness, gs []Grant) {
			for i := range 3 {
				h.finish(gs[i], wire.OutcomeDone, 1, slow)
			}
		}, UpstreamCold},
		{"two slow answers and a fast one", func(h *harness, gs []Grant) {
			for i, e := range []func(*wire.Finish){slow, slow, func(f *wire.Finish) { f.FirstByte = time.Millisecond }, slow} {
				h.finish(gs[i], wire.OutcomeDone, 1, e)
			}
		}, UpstreamWarm},
		{"late answer of the old instance", func(h *harness, gs []Grant) {
			h.report("u0", "i2", 0, 0)
			for i := range 6 {
				h.finish(gs[i], wire.OutcomeDone, 1, withInstance("i1"))
			}
		}, UpstreamCold},
		{"same instance", func(h *harness, gs []Grant) { h.report("u0", "i1", 10, 0) }, UpstreamWarm},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, h := newTest(t, rampProfile, 1)
			h.warmUp(c)
			h.submitN("a", 50)
			gs := h.grantN(c, 10)
			tc.run(h, gs)
			c.Check(h.upstreamStatus("u0").State, qt.Equals, tc.want)
			if tc.want == UpstreamCold {
				c.Check(h.upstreamStatus("u0").Limit, qt.Equals, 2)
			}
		})
	}
}

// An upstream whose connection failed or that is out of service gets no grants, and it
// returns to service with a cold start.
func TestSuspectAndOutOfService(t *testing.T) {
	c, h := newTest(t, rampProfile, 2)
	h.warmUp(c)
	h.submitN("a", 100)
	gs := h.grantN(c, 20)
	var broken Grant
	for _, g := range gs {
		if g.Upstream == "u0" {
			broken = g
		}
	}
	h.finish(broken, wire.OutcomeBroken, 1)
	c.Check(h.upstreamStatus("u0").State, qt.Equals, UpstreamSuspect)
	c.Check(h.grantAll(), qt.HasLen, 0)
	h.p.ApplyLoadReport(h.now, LoadReport{Upstream: "u0", Instance: "i1", Running: 9, SampledAt: h.now - time.Millisecond})
	c.Check(h.grantAll(), qt.HasLen, 0)
	h.report("u0", "i1", 9, 0)
	c.Check(h.upstreamStatus("u0").State, qt.Equals, UpstreamWarm)
	c.Check(h.grantAll(), qt.HasLen, 1)

	setOut := func(out bool) {
		h.cfg.DataCentres["d0"] = config.DataCentre{Name: "d0", Out: out}
		h.p.Configure(h.now, h.cfg)
	}
	setOut(true)
	c.Check(h.upstreamStatus("u0").State, qt.Equals, UpstreamOut)
	for _, g := range gs[:15] {
		h.finish(g, wire.OutcomeDone, 1)
	}
	for _, g := range h.grantAll() {
		c.Check(g.Upstream, qt.Equals, "u1")
	}
	setOut(false)
	c.Check(h.upstreamStatus("u0").State, qt.Equals, UpstreamCold)
	c.Check(h.upstreamStatus("u0").Limit, qt.Equals, 2)
	delete(h.cfg.Upstreams, "u0")
	h.p.Configure(h.now, h.cfg)
	c.Check(h.upstreamStatus("u0").State, qt.Equals, UpstreamOut)
}

// An answer without a load report, as a plain service gives, ends the suspect state and
// changes neither slots nor limit. Otherwise a service without load reports would stay
// suspect forever.
func TestAnswerWithoutReport(t *testing.T) {
	c, h := newTest(t, rampProfile, 1)
	h.warmUp(c)
	h.now += 10 * time.Second
	h.report("u0", "i1", 3, 0)
	h.submitN("a", 20, withFingerprint(1))
	gs := h.grantN(c, 7)
	h.finish(gs[0], wire.OutcomeBroken, 1)
	before := h.upstreamStatus("u0")
	c.Assert(before.State, qt.Equals, UpstreamSuspect)
	none := LoadReport{Upstream: "u0", Running: -1, Queued: -1, SampledAt: h.now - time.Millisecond}
	h.p.ApplyLoadReport(h.now, none)
	c.Check(h.upstreamStatus("u0"), qt.Equals, before)
	none.SampledAt = h.now
	c.Check(h.p.ApplyLoadReport(h.now, none).Marks, qt.HasLen, 0)
	before.State = UpstreamWarm
	c.Check(h.upstreamStatus("u0"), qt.Equals, before)
	c.Check(h.p.fingerprints[wire.Digest{1}].crashCandidate(), qt.IsFalse)
	c.Check(h.grantAll(), qt.HasLen, 1)
}

// The limit of a warm upstream follows the length of the engine's queue, and outdated
// reports are ignored.
func TestLimitAdaptation(t *testing.T) {
	c, h := newTest(t, config.Profile{ColdConcurrency: 4, MaxConcurrency: 40, WarmAfter: 1}, 1)
	h.warmUp(c)
	h.submitN("a", 100)
	gs := h.grantN(c, 40)
	h.report("u0", "i1", 36, 4)
	c.Check(h.upstreamStatus("u0").Limit, qt.Equals, 36)
	h.p.ApplyLoadReport(h.now+3*time.Second, LoadReport{Upstream: "u0", Running: 36, Queued: 4, SampledAt: h.now})
	c.Check(h.upstreamStatus("u0").Limit, qt.Equals, 36)
	h.report("u0", "i1", 40, 0)
	c.Check(h.upstreamStatus("u0").Limit, qt.Equals, 37)
	h.now += time.Second
	for i := range 10 {
		h.finish(gs[i], wire.OutcomeDone, 1, func(f *wire.Finish) { f.Queued = 1 })
	}
	c.Check(h.upstreamStatus("u0").Limit, qt.Equals, 34)
	for range 100 {
		h.report("u0", "i1", 0, 1)
	}
	c.Check(h.upstreamStatus("u0").Limit, qt.Equals, 4)
}

// The choice of an upstream follows prefix affinity, data centre and load, and leaves no
// slot in the other data centre idle.
func TestChoiceOfUpstream(t *testing.T) {
	c, h := newTest(t, fixedLimit(2), 4) // u0 and u2 are in the router's data centre, u1 and u3 are not
	h.p.ApplyCacheEvent(h.now, "u2", 1, []wire.Digest{{7}}, nil)
	h.p.ApplyCacheEvent(h.now, "u1", 1, []wire.Digest{{8}}, nil)
	grantOne := func(edits ...func(*wire.Ticket)) string {
		h.submit("a", edits...)
		gs := h.grantN(c, 1)
		return gs[0].Upstream
	}
	c.Check(grantOne(withPrefix(7)), qt.Equals, "u2")
	c.Check(grantOne(withPrefix(8)), qt.Equals, "u0")
	c.Check(grantOne(withPrefix(8)), qt.Equals, "u0") // cached there by the previous grant
	c.Check(grantOne(withPrefix(8)), qt.Equals, "u2") // u0 is full
	first, second := grantOne(), grantOne()
	c.Check(first != second && first != "u0" && first != "u2", qt.IsTrue)
	grantOne()
	grantOne()
	h.submit("a")
	c.Check(h.grantAll(), qt.HasLen, 0)
}

// Cached prefixes are dropped after a gap in the events, a restart of the upstream or their
// removal from the cache, and late events are ignored.
func TestCacheEvents(t *testing.T) {
	c, h := newTest(t, fixedLimit(2), 1)
	u := h.p.upstreams["u0"]
	d := func(n byte) []wire.Digest { return []wire.Digest{{n}} }
	h.p.ApplyCacheEvent(h.now, "u0", 5, d(1), nil)
	h.p.ApplyCacheEvent(h.now, "u0", 6, d(2), d(1))
	c.Check([]bool{u.prefixes.has(wire.Digest{1}), u.prefixes.has(wire.Digest{2})}, qt.DeepEquals, []bool{false, true})
	h.p.ApplyCacheEvent(h.now, "u0", 6, d(3), nil)
	c.Check(u.prefixes.has(wire.Digest{3}), qt.IsFalse)
	h.p.ApplyCacheEvent(h.now, "u0", 8, d(4), nil)
	c.Check([]bool{u.prefixes.has(wire.Digest{2}), u.prefixes.has(wire.Digest{4})}, qt.DeepEquals, []bool{false, true})
	h.report("u0", "i1", 0, 0)
	h.report("u0", "i2", 0, 0)
	c.Check(u.prefixes.has(wire.Digest{4}), qt.IsFalse)
	h.p.ApplyCacheEvent(h.now, "u0", 1, d(5), nil)
	c.Check(u.prefixes.has(wire.Digest{5}), qt.IsTrue)
	for i := range 100000 {
		u.prefixes.add(wire.Digest{byte(i), byte(i >> 8), byte(i >> 16), 1})
	}
	c.Check(len(u.prefixes.digests), qt.Equals, prefixSets*prefixWays)
}

// A request may crash at most two upstreams, whether its connection breaks before or after
// the restart is known.
func TestCrashQuarantine(t *testing.T) {
	restart := func(h *harness, name string) Effects { return h.report(name, "after", 0, 0) }
	for _, tc := range []struct {
		name  string
		crash func(h *harness, g Grant) []CrashMark
	}{
		{"broken connection, then new instance", func(h *harness, g Grant) []CrashMark {
			e := h.finish(g, wire.OutcomeBroken, 1)
			return append(e.Marks, restart(h, g.Upstream).Marks...)
		}},
		{"new instance, then broken connection", func(h *harness, g Grant) []CrashMark {
			e := restart(h, g.Upstream)
			return append(e.Marks, h.finish(g, wire.OutcomeBroken, 1).Marks...)
		}},
		{"broken connection, then refused connections", func(h *harness, g Grant) []CrashMark {
			e := h.finish(g, wire.OutcomeBroken, 1)
			h.submit("b", func(t *wire.Ticket) { t.Fingerprint = wire.Digest{99} })
			u := h.p.upstreams[g.Upstream]
			u.suspect = false // a grant that was already sent when the connection broke
			for _, other := range h.grantAll() {
				if other.Account == "b" && other.Upstream == g.Upstream {
					return append(e.Marks, h.finish(other, wire.OutcomeUnreachable, 0).Marks...)
				}
			}
			other := &ticketState{upstream: u}
			h.p.applyOutcome(h.now, other, &wire.Finish{Outcome: wire.OutcomeUnreachable}, &e)
			return h.writeMarks(e).Marks
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, h := newTest(t, fixedLimit(2), 4)
			h.reportAll("before")
			used := map[string]bool{}
			for range 2 {
				h.submit("a", withFingerprint(1))
				gs := h.grantN(c, 1)
				c.Assert(used[gs[0].Upstream], qt.IsFalse)
				used[gs[0].Upstream] = true
				h.now += 10 * time.Millisecond
				marks := tc.crash(h, gs[0])
				c.Assert(marks, qt.DeepEquals, []CrashMark{{Fingerprint: wire.Digest{1}, Upstream: gs[0].Upstream, Until: h.now + time.Hour}})
			}
			h.submitExpect(c, fault.CrashesUpstreams, "a", withFingerprint(1))
			h.submitExpect(c, fault.Code(""), "a", withFingerprint(2))
			c.Check(h.p.Status(h.now).Quarantined, qt.Equals, 1)
			h.now += time.Hour
			h.submitExpect(c, fault.Code(""), "a", withFingerprint(1))
		})
	}
}

// Harmless requests do not stay limited: a broken connection without a restart is not a
// crash, and a success clears a mark and the limit to two upstreams.
func TestHarmlessRequestsAreNotLimited(t *testing.T) {
	c, h := newTest(t, fixedLimit(1), 4)
	h.reportAll("i")
	h.submitN("a", 4, withFingerprint(1))
	gs := h.grantN(c, 2) // unproven: two upstreams at the same time
	c.Check(h.finish(gs[0], wire.OutcomeBroken, 1).Marks, qt.HasLen, 0)
	c.Check(h.report(gs[0].Upstream, "i", 0, 0).Marks, qt.HasLen, 0)
	h.finish(gs[1], wire.OutcomeDone, 1)
	gs = h.grantN(c, 2)
	h.submitN("a", 2, withFingerprint(1))
	c.Assert(h.grantAll(), qt.HasLen, 2) // proven: no limit
	h.submit("b", withFingerprint(3))
	h.finish(gs[0], wire.OutcomeBroken, 1)
	c.Check(h.report(gs[0].Upstream, "j", 0, 0).Marks, qt.HasLen, 1)
	c.Check(h.p.fingerprints[wire.Digest{1}].proven, qt.IsFalse)
	h.finish(gs[1], wire.OutcomeDone, 1)
	c.Check(h.p.fingerprints[wire.Digest{1}].markCount, qt.Equals, 0)
}

// The number of stored fingerprints is bounded, and many successful ones do not evict crash
// marks.
func TestFingerprintsAreBounded(t *testing.T) {
	c, h := newTest(t, fixedLimit(1), 1)
	digest := func(kind byte, i int) wire.Digest { return wire.Digest{kind, byte(i), byte(i >> 8)} }
	h.p.RestoreMark(wire.Digest{200}, "u7", h.now+time.Hour)
	h.p.RestoreMark(wire.Digest{200}, "u8", h.now+time.Hour)
	for i := range 20000 {
		h.submit("a", func(t *wire.Ticket) { t.Fingerprint = digest(1, i) })
		h.finish(h.grantAll()[0], wire.OutcomeDone, 1)
	}
	c.Check(len(h.p.fingerprints), qt.Equals, maxProven+1)
	h.submitExpect(c, fault.CrashesUpstreams, "a", withFingerprint(200))
	for i := range 20000 {
		h.p.RestoreMark(digest(2, i), "u7", h.now+time.Hour)
	}
	c.Check(len(h.p.fingerprints), qt.Equals, maxProven+maxMarked)
}

// A request does not wait behind an earlier one that its quarantine limits hold back. An
// upstream to avoid is not used while another one has a slot, and does not block a request
// forever.
func TestHeadOfLineBlockingAndAvoidedUpstream(t *testing.T) {
	c, h := newTest(t, fixedLimit(2), 3)
	h.submitN("a", 5, withFingerprint(1))
	behind, _ := h.submit("a")
	gs := h.grantN(c, 5) // four on two upstreams, and the one without a fingerprint on the third
	c.Check(gs[4].ID, qt.Equals, behind)
	c.Check(h.accountStatus("a").Blocked, qt.IsTrue)
	h.submit("b")
	c.Check(h.grantAll(), qt.HasLen, 1)

	h = newHarness(fixedLimit(1), 2)
	avoid := func(t *wire.Ticket) { t.Avoid = "u0" }
	h.submit("a", avoid)
	c.Check(h.grantAll()[0].Upstream, qt.Equals, "u1")
	h.submit("a", avoid)
	c.Check(h.grantAll(), qt.HasLen, 0)
	h.now += avoidWait
	h.p.Expire(h.now, nil)
	gs = h.grantN(c, 1)
	c.Check(gs[0].Upstream, qt.Equals, "u0")

	h = newHarness(fixedLimit(1), 1)
	h.submit("a", avoid)
	c.Check(h.grantAll(), qt.HasLen, 1)

	// The end of another account's request wakes a parked account.
	h = newHarness(fixedLimit(1), 2)
	h.submit("b", avoid)
	busy := h.grantAll()
	h.submit("a", avoid)
	c.Assert(h.grantAll(), qt.HasLen, 0)
	h.finish(busy[0], wire.OutcomeDone, 1)
	c.Check(h.grantAll(), qt.HasLen, 1)
}

// A fingerprint gets no third upstream while the cause of its broken connections is
// unknown, nor when it is marked and ran elsewhere without success.
func TestNoThirdUpstream(t *testing.T) {
	c, h := newTest(t, fixedLimit(1), 4)
	h.reportAll("i")
	// No upstream is in the ticket's data centre, so that the choice among them is random.
	far := func(t *wire.Ticket) { t.DataCentre = "elsewhere" }
	var used []string
	for range 2 {
		h.submit("a", withFingerprint(1), far)
		g := h.grantAll()[0]
		used = append(used, g.Upstream)
		h.finish(g, wire.OutcomeBroken, 1)
	}
	c.Assert(used[0] != used[1], qt.IsTrue)
	h.submit("a", withFingerprint(1), far)
	c.Check(h.grantAll(), qt.HasLen, 0)
	h.now += time.Millisecond
	c.Assert(h.report(used[0], "restarted", 0, 0).Marks, qt.HasLen, 1)
	c.Assert(h.report(used[1], "i", 0, 0).Marks, qt.HasLen, 0)
	other := ""
	for range 8 {
		gs := h.grantN(c, 1)
		c.Assert(gs[0].Upstream != used[0], qt.IsTrue)
		if other == "" {
			other = gs[0].Upstream
		}
		c.Assert(gs[0].Upstream, qt.Equals, other)
		h.finish(gs[0], wire.OutcomeFailed, 1)
		h.submit("a", withFingerprint(1), far)
	}
}
