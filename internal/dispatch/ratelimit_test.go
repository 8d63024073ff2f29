package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// limitedGate returns a gate whose upstream takes a number of requests per second since at(0).
func limitedGate(perSecond float64) *Gate {
	g := newTestGate()
	g.SetRateLimit(perSecond, at(0))
	return g
}

// Guards against more requests to an upstream than its limit allows in any 4 s, and against
// leaving it idle while requests wait.
func TestGateKeepsTheRateLimit(t *testing.T) {
	c := qt.New(t)
	const perSecond, windowMs = 6, 4_000
	g := limitedGate(perSecond)
	var sentMs []int
	seq := uint64(0)
	for ms := 0; ms < 3*windowMs; ms += 20 {
		seq++
		if g.Request(newAdmissionRequest(seq, 10, ms, 300, WithinConfiguredShare), at(ms)).Granted {
			sentMs = append(sentMs, ms)
		}
		granted, _ := g.AdmitWaiting(at(ms))
		for range granted {
			sentMs = append(sentMs, ms)
		}
		for _, id := range granted {
			g.Done(id, at(ms))
		}
		g.RefuseLate(at(ms))
		g.SetRateLimit(perSecond, at(ms))
	}
	for i, from := range sentMs {
		n := 0
		for _, ms := range sentMs[i:] {
			if ms < from+windowMs {
				n++
			}
		}
		c.Assert(n <= perSecond*windowMs/1000+2, qt.IsTrue, qt.Commentf("%d requests from %d ms", n, from))
	}
	c.Assert(len(sentMs) >= 3*perSecond*windowMs/1000-2, qt.IsTrue, qt.Commentf("%d requests", len(sentMs)))
}

// Guards against a request that waits for the rate limit until its first event is too late,
// although that is known when it arrives.
func TestGateRefusesWhatTheRateLimitMakesLate(t *testing.T) {
	c := qt.New(t)
	g := limitedGate(2)
	c.Assert(g.Request(newAdmissionRequest(1, 10, 0, 800, WithinConfiguredShare), at(0)).Queued, qt.IsTrue)
	reply := g.Request(newAdmissionRequest(2, 10, 0, 800, WithinConfiguredShare), at(0))
	c.Assert(reply.Granted || reply.Queued, qt.IsFalse)
	c.Assert(reply.Wait > 900*time.Millisecond, qt.IsTrue)
	tokens, _ := g.Backlog(at(0))
	c.Assert(tokens >= 900*readTokensPerMs, qt.IsTrue, qt.Commentf("other upstreams are not preferred: %d tokens", tokens))
	// A request beyond its account's share is only sent when nothing has to wait.
	c.Assert(g.Request(newAdmissionRequest(3, 10, 0, 800, BeyondShare), at(0)).Queued, qt.IsFalse)
}

// Guards against a limit that lasts for good because no answer told of its end, and against
// one that an answer ended and that still holds.
func TestRateLimitEnds(t *testing.T) {
	c := qt.New(t)
	g := limitedGate(0.5)
	wait := func(ms int) bool { return g.rateLimit.Wait(2, at(ms)) > 0 }
	c.Check(wait(100), qt.IsTrue)
	g.SetRateLimit(0, at(200))
	c.Check(wait(200), qt.IsFalse)
	g.SetRateLimit(0.5, at(300))
	c.Check(wait(300+int(rateLimitLifetime.Milliseconds())-1), qt.IsTrue)
	c.Check(wait(300+int(rateLimitLifetime.Milliseconds())), qt.IsFalse)
}

// Guards against not counting requests that hosts sent without this gate.
func TestAdoptedRequestsCountForTheRateLimit(t *testing.T) {
	c := qt.New(t)
	g := limitedGate(2)
	for seq := range uint64(4) {
		g.Adopt(newAdmissionRequest(seq, 10, 0, 800, WithinConfiguredShare), true, at(0))
	}
	c.Check(g.rateLimit.Wait(0, at(0)), qt.Equals, 2500*time.Millisecond)
}

// Guards against choosing a plain upstream at whose rate limit requests wait, while another one
// takes more.
func TestPlainUpstreamAtItsRateLimitIsAvoided(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher("h1")
	first, err := d.Pick(&Job{Service: "plain", Remaining: time.Second}, at(0))
	c.Assert(err, qt.IsNil)
	first.SetRateLimit(2)
	first.Done(Answered, at(0))
	d.SetGate(first.Instance.Key(), GateLoad{Backlog: 20_000}, at(0))
	for range 4 {
		p, err := d.Pick(&Job{Service: "plain", Remaining: time.Second}, at(1))
		c.Assert(err, qt.IsNil)
		c.Check(p.Instance.ID, qt.Not(qt.Equals), first.Instance.ID)
	}
}
