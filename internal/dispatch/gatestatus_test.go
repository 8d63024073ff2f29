package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a gate that stands still without a sign of which requests it waits for.
func TestStalledGateNamesThePromptsItWaitsFor(t *testing.T) {
	c := qt.New(t)
	g := NewGate(0, 100_000, NewSpeedEstimator())
	due := at(60_000)
	g.Request(AdmissionRequest{ID: AdmissionID{Host: "a", Seq: 1}, Tokens: maxReadingTokens, FirstEventDue: due, Deadline: due}, at(0))
	_, ok := g.Stalled(time.Second, at(5_000))
	c.Assert(ok, qt.IsFalse, qt.Commentf("nothing waits"))
	g.Request(AdmissionRequest{ID: AdmissionID{Host: "b", Seq: 1}, Tokens: 10, FirstEventDue: due, Deadline: due}, at(50))
	_, ok = g.Stalled(time.Second, at(1_000))
	c.Assert(ok, qt.IsFalse)
	s, ok := g.Stalled(time.Second, at(3_000))
	c.Assert(ok, qt.IsTrue)
	c.Check(s, qt.DeepEquals, Stall{Overdue: 2_900 * time.Millisecond, Waiting: 1, Running: 1, Reading: []ReadingPrompt{{"a", maxReadingTokens, 3 * time.Second}}})
	g.FirstEvent(AdmissionID{Host: "a", Seq: 1}, at(3_000))
	_, ok = g.Stalled(0, at(3_000))
	c.Assert(ok, qt.IsFalse)
}

// Guards against requests that a gate drops without a sign of whose they were.
func TestDroppedRequestsAreNamed(t *testing.T) {
	c := qt.New(t)
	g := NewGate(0, 100_000, NewSpeedEstimator())
	due := at(60_000)
	g.Request(AdmissionRequest{ID: AdmissionID{Host: "a", Seq: 1}, Tokens: 10, FirstEventDue: due, Deadline: due}, at(0))
	g.Request(AdmissionRequest{ID: AdmissionID{Host: "b", Seq: 1}, Tokens: 20, FirstEventDue: due, Deadline: due}, at(0))
	g.FirstEvent(AdmissionID{Host: "b", Seq: 1}, at(1))
	c.Assert(g.DropLost(at(1)), qt.HasLen, 0)
	dropped := g.DropLost(at(0).Add(admittedTimeout + time.Millisecond))
	c.Assert(dropped, qt.ContentEquals, []LostRequest{{Host: "a", Tokens: 10, Reading: true}, {Host: "b", Tokens: 20}})
}
