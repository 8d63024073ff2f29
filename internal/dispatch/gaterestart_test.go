package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/routing"
)

var testColdStart = ColdStart{PerSecond: 4, WarmUpTime: 3 * time.Second}

// Guards against a gate that closes for all hosts because one of them has lost its own link to the engine.
func TestOneHostThatCannotConnectDoesNotCloseTheGate(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	for ms := range 100 {
		g.Unreachable("h1", 10, testColdStart, at(ms))
	}
	c.Assert(g.Phase(at(100)), qt.Equals, EngineRuns)
	g.Unreachable("h2", 10, testColdStart, at(101))
	c.Assert(g.Phase(at(101)), qt.Equals, EngineUnreachable)
	single := newTestGate()
	single.Unreachable("h1", 1, testColdStart, at(0))
	c.Assert(single.Phase(at(0)), qt.Equals, EngineUnreachable)
}

// Guards against an engine that is kept to its cold-start limit although its process has gone on running.
func TestPromptThatWasAdmittedBeforeShowsThatTheEngineRunsOn(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	c.Assert(g.Request(newAdmissionRequest(1, 100, 0, 800, WithinConfiguredShare), at(0)).Granted, qt.IsTrue)
	g.Unreachable("h1", 10, testColdStart, at(1))
	g.Unreachable("h2", 10, testColdStart, at(1))
	c.Assert(g.Phase(at(2)), qt.Equals, EngineUnreachable)
	g.FirstEvent(AdmissionID{"h", 1}, at(5))
	c.Assert(g.Phase(at(5)), qt.Equals, EngineRuns)
	for seq := uint64(2); seq < 20; seq++ {
		c.Assert(g.Request(newAdmissionRequest(seq, 10, 5, 800, WithinConfiguredShare), at(5)).Granted, qt.IsTrue)
	}
}

// Guards against requests that wait at, or are sent one by one to, an engine that no host can reach.
func TestRequestsToAnUnreachableEngineAreRefusedAtOnceButForTrials(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	var refused []RefusalReason
	g.OnRefusal = func(_ AdmissionRequest, r Refusal) { refused = append(refused, r.Reason) }
	g.Request(newAdmissionRequest(1, 9_000, 0, 800, WithinConfiguredShare), at(0))
	c.Assert(g.Request(newAdmissionRequest(2, 100, 0, 800, WithinConfiguredShare), at(0)).Queued, qt.IsTrue)
	g.Unreachable("h1", 10, testColdStart, at(1))
	g.Unreachable("h2", 10, testColdStart, at(1))
	c.Assert(refused, qt.DeepEquals, []RefusalReason{RefusedUnreachable})
	granted := 0
	for ms := 2; ms < 2_002; ms++ {
		if g.Request(newAdmissionRequest(uint64(ms+1), 100, ms, 800, BeyondShare), at(ms)).Granted {
			granted++
			g.Unreachable("h1", 10, testColdStart, at(ms))
		}
	}
	c.Assert(granted >= 6 && granted <= 8, qt.IsTrue, qt.Commentf("%d trials in 2 s", granted))
}

// Guards against an engine that gets no trial any more, because all hosts prefer others for good, and against hosts that
// prefer it meanwhile.
func TestUnreachableEngineLooksBusyUntilItsNextTrial(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	g.Unreachable("h1", 10, testColdStart, at(0))
	g.Unreachable("h2", 10, testColdStart, at(0))
	backlog, _ := g.Backlog(at(249))
	c.Assert(g.speed.readTime(backlog) > time.Second, qt.IsTrue, qt.Commentf("%d tokens", backlog))
	backlog, _ = g.Backlog(at(250))
	c.Assert(backlog, qt.Equals, 0)
	c.Assert(g.Request(newAdmissionRequest(1, 100, 250, 800, BeyondShare), at(250)).Granted, qt.IsTrue)
	backlog, _ = g.Backlog(at(251))
	c.Assert(g.speed.readTime(backlog) > time.Second, qt.IsTrue, qt.Commentf("%d tokens", backlog))
}

// Guards against an engine that stays limited, or whose limit is too low or too high, after it has started again.
func TestRestartedEngineGetsItsColdRateUntilItIsWarm(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	g.Unreachable("h1", 10, testColdStart, at(0))
	g.Unreachable("h2", 10, testColdStart, at(0))
	granted := func(fromMs, toMs int) (n int) {
		for ms := fromMs; ms < toMs; ms++ {
			id := uint64(ms + 1)
			if g.Request(newAdmissionRequest(id, 10, ms, 800, BeyondShare), at(ms)).Granted {
				n++
				g.FirstEvent(AdmissionID{"h", id}, at(ms))
				g.Done(AdmissionID{"h", id}, at(ms))
			}
		}
		return n
	}
	c.Assert(granted(250, 251), qt.Equals, 1)
	for second := range 2 {
		n := granted(251+1_000*second, 1_251+1_000*second)
		c.Assert(n >= 3 && n <= 5, qt.IsTrue, qt.Commentf("%d in second %d", n, second))
	}
	c.Assert(g.Phase(at(3_249)), qt.Equals, EngineRestarted)
	c.Assert(granted(3_251, 3_351), qt.Equals, 100)
}

// Guards against hosts that flood a restarted engine while its gate gives no reply.
func TestHostThatCouldNotConnectKnowsTheColdLimitWithoutAGate(t *testing.T) {
	c := qt.New(t)
	d := New(Options{Host: "h", DataCentre: "dc"})
	d.SetServices([]routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 8}, ColdPerSecond: 4, WarmUpTime: 3 * time.Second}}, 0)
	d.SetInstances([]catalog.Instance{{ID: "i", Service: "s", Address: "a:1", DataCentre: "dc"}}, at(0))
	pick := func(ms int) *Placement {
		p, err := d.Pick(&Job{Service: "s", Remaining: 100 * time.Second}, at(ms))
		c.Assert(err, qt.IsNil)
		return p
	}
	running := pick(0)
	c.Assert(running.RateLimit, qt.Equals, 0.0)
	pick(1).Done(Unreachable, at(2))
	c.Assert(pick(3).RateLimit, qt.Equals, 4.0)
	pick(2_000).Done(Answered, at(2_001))
	c.Assert(pick(5_000).RateLimit, qt.Equals, 4.0)
	c.Assert(pick(5_002).RateLimit, qt.Equals, 0.0)
	pick(6_000).Done(Unreachable, at(6_001))
	running.Done(Answered, at(6_002))
	c.Assert(pick(6_003).RateLimit, qt.Equals, 0.0)
}

// Guards against prompts that are placed and paced as if a restarted engine still had their parts.
func TestRestartedEngineHasNoPartsOfBefore(t *testing.T) {
	c := qt.New(t)
	parts := []Part{{ID: 1, Tokens: 3_000}, {ID: 2, Tokens: 100}}
	g := newTestGate()
	request := func(seq uint64, ms int) AdmissionRequest {
		r := newAdmissionRequest(seq, 0, ms, 800, WithinConfiguredShare)
		r.Parts = parts
		return r
	}
	g.Request(request(1, 0), at(0))
	g.FirstEvent(AdmissionID{"h", 1}, at(80))
	g.Done(AdmissionID{"h", 1}, at(90))
	c.Assert(g.tokensToRead(request(2, 100), at(100)), qt.Equals, 100)
	g.Unreachable("h1", 10, testColdStart, at(400))
	g.Unreachable("h2", 10, testColdStart, at(400))
	g.Request(newAdmissionRequest(2, 10, 700, 800, WithinConfiguredShare), at(700))
	g.FirstEvent(AdmissionID{"h", 2}, at(710))
	c.Assert(g.tokensToRead(request(3, 720), at(720)), qt.Equals, 3_100)

	d := New(Options{Host: "h", DataCentre: "dc"})
	d.SetServices([]routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 8}}}, 0)
	d.SetInstances([]catalog.Instance{{ID: "i", Service: "s", Address: "a:1", DataCentre: "dc"}}, at(0))
	job := &Job{Service: "s", Parts: parts, Remaining: 100 * time.Second}
	pick := func(ms int) *Placement {
		p, err := d.Pick(&Job{Service: "s", Parts: parts, Remaining: 100 * time.Second}, at(ms))
		c.Assert(err, qt.IsNil)
		return p
	}
	pick(0).Done(Answered, at(1))
	x := d.instances[catalog.Key{ID: "i"}]
	c.Assert(x.uncachedTokens(job, false, at(2)), qt.Equals, 100)
	pick(2).Done(Unreachable, at(3))
	pick(600).Done(Answered, at(610))
	c.Assert(x.uncachedTokens(job, false, at(620)), qt.Equals, 3_100)
}

// Guards against an engine that is refused to all hosts because some of them, of one data centre, have lost their links to it.
func TestHostsThatLoseTheirLinksDoNotCloseTheGateOfAnEngineThatServesOthers(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	for ms := 0; ms < 5_000; ms += 10 {
		seq := uint64(ms + 1)
		c.Assert(g.Request(newAdmissionRequest(seq, 100, ms, 800, WithinConfiguredShare), at(ms)).Granted, qt.IsTrue, qt.Commentf("after %d ms", ms))
		if ms%100 == 0 {
			g.FirstEvent(AdmissionID{"h", seq}, at(ms))
		}
		g.Done(AdmissionID{"h", seq}, at(ms))
		for _, host := range []string{"h1", "h2", "h3"} {
			g.Unreachable(host, 10, testColdStart, at(ms))
		}
	}
}
