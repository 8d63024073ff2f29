package dispatch

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an engine that gets next to nothing for many seconds because the end of one prompt was lost.
func TestLostProgressDoesNotHoldAGateForSeconds(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	c.Assert(g.Request(newAdmissionRequest(1, 4_000, 0, 800, WithinConfiguredShare), at(0)).Granted, qt.IsTrue)
	for ms := 100; ms < 3_000; ms += 100 {
		g.DropLost(at(ms))
		g.RefuseLate(at(ms))
		g.AdmitWaiting(at(ms))
	}
	c.Assert(g.Request(newAdmissionRequest(2, 100, 3_000, 800, WithinConfiguredShare), at(3_000)).Granted, qt.IsTrue)
}

// Guards against a confirmation that says that a prompt was read, and that the gate doesn't believe.
func TestConfirmationThatAPromptWasReadOpensTheGate(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	c.Assert(g.Request(newAdmissionRequest(1, 4_000, 0, 800, WithinConfiguredShare), at(0)).Granted, qt.IsTrue)
	g.Adopt(newAdmissionRequest(1, 4_000, 0, 800, WithinConfiguredShare), true, at(150))
	c.Assert(g.Request(newAdmissionRequest(2, 4_000, 150, 800, WithinConfiguredShare), at(150)).Granted, qt.IsTrue)
}

// Guards against an engine that stopped answering and therefore looks like one that has read everything.
func TestSilentEngineDoesNotLookIdle(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	c.Assert(g.Request(newAdmissionRequest(1, 4_000, 0, 800, WithinConfiguredShare), at(0)).Granted, qt.IsTrue)
	tokens, _ := g.Backlog(at(1_200))
	c.Assert(tokens >= 4_000, qt.IsTrue, qt.Commentf("a backlog of %d tokens", tokens))
	r := g.Request(newAdmissionRequest(2, 100, 1_200, 800, WithinConfiguredShare), at(1_200))
	c.Assert(r.Queued || r.Granted, qt.IsFalse)
}

// Guards against an engine that still counts as late after it has read the prompt that was late.
func TestEngineIsNoLongerLateOnceItHasReadItsOldestPrompt(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	c.Assert(g.Request(newAdmissionRequest(1, 1_000, 0, 4_000, WithinConfiguredShare), at(0)).Granted, qt.IsTrue)
	c.Assert(g.Request(newAdmissionRequest(2, 1_000, 900, 4_000, WithinConfiguredShare), at(900)).Granted, qt.IsTrue)
	late, _ := g.Backlog(at(1_000))
	c.Assert(late > 30_000, qt.IsTrue, qt.Commentf("a backlog of %d tokens", late))
	g.FirstEvent(AdmissionID{"h", 1}, at(1_000))
	tokens, _ := g.Backlog(at(1_000))
	c.Assert(tokens, qt.Equals, 1_000)
}

// Guards against a request that its host sent without the grant, and that then counts twice because it still waits.
func TestAdoptedRequestWaitsNoLonger(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	c.Assert(g.Request(newAdmissionRequest(1, 4_000, 0, 800, WithinConfiguredShare), at(0)).Granted, qt.IsTrue)
	c.Assert(g.Request(newAdmissionRequest(2, 4_000, 0, 800, WithinConfiguredShare), at(0)).Queued, qt.IsTrue)
	g.Adopt(newAdmissionRequest(2, 4_000, 0, 800, WithinConfiguredShare), false, at(50))
	g.FirstEvent(AdmissionID{"h", 1}, at(100))
	g.AdmitWaiting(at(100))
	g.FirstEvent(AdmissionID{"h", 2}, at(200))
	tokens, running := g.Backlog(at(200))
	c.Assert([]int{tokens, running, g.readingTokens}, qt.DeepEquals, []int{0, 2, 0})
}

// Guards against an upstream without an engine that counts as late while it works on a long request.
func TestUpstreamWithoutAnEngineIsNotLate(t *testing.T) {
	c := qt.New(t)
	g := NewGate(0, 0, NewSpeedEstimator())
	g.SetRateLimit(100, at(0))
	c.Assert(g.Request(newAdmissionRequest(1, 1, 100, 800, WithinConfiguredShare), at(100)).Granted, qt.IsTrue)
	c.Assert(g.DropLost(at(2_000)), qt.HasLen, 0)
	c.Assert(g.Request(newAdmissionRequest(2, 1, 2_000, 800, WithinConfiguredShare), at(2_000)).Granted, qt.IsTrue)
}

// Guards against speeds that are measured with prompts in progress which the engine has read long ago.
func TestLostProgressDoesNotMakeAnEngineLookFaster(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	before := g.speed.PerMs()
	c.Assert(g.Request(newAdmissionRequest(1, 3_900, 0, 800, WithinConfiguredShare), at(0)).Granted, qt.IsTrue)
	now := 0
	for seq := uint64(2); seq < 60; seq++ {
		g.Request(newAdmissionRequest(seq, 100, now, 800, WithinConfiguredShare), at(now))
		now += 10
		g.FirstEvent(AdmissionID{"h", seq}, at(now))
	}
	c.Assert(g.speed.PerMs() < 1.25*before, qt.IsTrue, qt.Commentf("%v tokens/ms, %v before", g.speed.PerMs(), before))
}
