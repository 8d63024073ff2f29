package sched

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// crashingRequest is the fingerprint of the request that crashes every upstream that runs
// it.
const crashingRequest = 1

// crashTest runs requests that share upstreams with one that crashes them. Clients repeat
// a request whose connection broke, before or after a report shows the restart.
type crashTest struct {
	c            *qt.C
	h            *harness
	fingerprints map[wire.TicketID]byte
	served       map[byte]bool
	refused      map[byte]fault.Code
	restarts     map[string]int
	running      []Grant
	crashes      int
}

func (ct *crashTest) submit(fp byte, avoid string) {
	id, code := ct.h.submit("a", withFingerprint(fp), func(t *wire.Ticket) { t.Avoid = avoid })
	if code != "" {
		ct.refused[fp] = code
		return
	}
	ct.fingerprints[id] = fp
}

// takeGrants takes all grants and checks that no upstream runs two marked fingerprints.
func (ct *crashTest) takeGrants() {
	ct.running = append(ct.running, ct.h.grantAll()...)
	marked := map[string]byte{}
	for _, g := range ct.running {
		fp := ct.fingerprints[g.ID]
		if ct.h.p.fingerprints[wire.Digest{fp}].markCount == 0 {
			continue
		}
		other := marked[g.Upstream]
		ct.c.Assert(other == 0 || other == fp, qt.IsTrue, qt.Commentf("%s runs the marked fingerprints %d and %d", g.Upstream, fp, other))
		marked[g.Upstream] = fp
	}
}

// crash breaks every connection of an upstream and restarts it.
func (ct *crashTest) crash(name string, repeatFirst bool) {
	ct.crashes++
	ct.restarts[name]++
	var kept, broken []Grant
	for _, g := range ct.running {
		if g.Upstream != name {
			kept = append(kept, g)
			continue
		}
		broken = append(broken, g)
		ct.h.finish(g, wire.OutcomeBroken, 1)
	}
	ct.running = kept
	ct.h.now += time.Millisecond
	repeat := func() {
		for _, g := range broken {
			ct.submit(ct.fingerprints[g.ID], name)
		}
		ct.takeGrants()
	}
	if repeatFirst {
		repeat()
	}
	ct.h.now += time.Millisecond
	ct.h.report(name, fmt.Sprint("start", ct.restarts[name]), 0, 0)
	if !repeatFirst {
		repeat()
	}
}

// step crashes the upstream of the crashing request, or ends the oldest other request.
func (ct *crashTest) step(repeatFirst bool) {
	ct.takeGrants()
	for _, g := range ct.running {
		if ct.fingerprints[g.ID] == crashingRequest {
			ct.crash(g.Upstream, repeatFirst)
			return
		}
	}
	if len(ct.running) > 0 {
		g := ct.running[0]
		ct.running = ct.running[1:]
		ct.h.finish(g, wire.OutcomeDone, 1)
		ct.served[ct.fingerprints[g.ID]] = true
	}
}

// Harmless requests that run on the same upstream as one that crashes it must not be
// quarantined, and their repeats must run. A crash breaks the connections of all requests
// there, so each is a candidate for the cause.
func TestOnlyTheCrashingRequestIsQuarantined(t *testing.T) {
	const harmless = 6
	for _, upstreams := range []int{2, 3, 4} {
		for _, repeatFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("upstreams=%d,repeatFirst=%v", upstreams, repeatFirst), func(t *testing.T) {
				ct := &crashTest{c: qt.New(t), h: newHarness(fixedLimit(harmless+1), upstreams), fingerprints: map[wire.TicketID]byte{},
					served: map[byte]bool{}, refused: map[byte]fault.Code{}, restarts: map[string]int{}}
				for _, u := range ct.h.p.sortedUpstreams {
					ct.h.report(u.name, "start0", 0, 0)
					u.out = u.name != "u0" // all requests share the first upstream
				}
				for fp := byte(crashingRequest); fp <= crashingRequest+harmless; fp++ {
					ct.submit(fp, "")
				}
				ct.takeGrants()
				ct.c.Assert(ct.running, qt.HasLen, harmless+1)
				ct.h.p.Configure(ct.h.now, ct.h.cfg)
				for range 20 * harmless {
					ct.step(repeatFirst)
					ct.h.now += avoidWait / 10
					for _, f := range ct.h.p.Expire(ct.h.now, nil) {
						ct.refused[ct.fingerprints[f.ID]] = f.Code
					}
				}
				for fp := byte(crashingRequest + 1); fp <= crashingRequest+harmless; fp++ {
					ct.c.Check(ct.served[fp], qt.IsTrue, qt.Commentf("request %d", fp))
				}
				ct.c.Check(ct.refused, qt.DeepEquals, map[byte]fault.Code{crashingRequest: fault.CrashesUpstreams})
				ct.c.Check(ct.crashes, qt.Equals, 2)
				ct.c.Check(ct.h.p.Status(ct.h.now).Quarantined, qt.Equals, 1)
			})
		}
	}
}

// Guards against a wrong count of crashes after a change of the scheduler. The crash of an
// adopted request that was granted before a mark is the crash that set the mark, and one
// granted after it is another crash, however long this process runs.
func TestCrashOfAdoptedRequestCountsByItsGrantTime(t *testing.T) {
	const markAge = 30 * time.Minute
	for _, processAge := range []time.Duration{time.Second, 2 * time.Hour} {
		for _, tc := range []struct {
			age         time.Duration
			quarantined int
		}{{markAge + time.Minute, 0}, {markAge - time.Minute, 1}, {0, 0}} {
			c, h := newTest(t, fixedLimit(2), 1)
			h.now = processAge
			h.report("u0", "i1", 0, 0)
			h.p.RestoreMark(wire.Digest{crashingRequest}, "u0", h.now-markAge+CrashMarkDuration)
			tk := h.ticket("a")
			tk.Fingerprint = wire.Digest{crashingRequest}
			h.p.Sync(h.now, "r", 1, &wire.Sync{Running: []wire.RunningRequest{{Ticket: tk, Upstream: "u0", Age: tc.age}}})
			h.finish(Grant{ID: tk.ID, Upstream: "u0"}, wire.OutcomeBroken, 1)
			h.now += time.Millisecond
			h.report("u0", "i2", 0, 0)
			c.Check(h.p.Status(h.now).Quarantined, qt.Equals, tc.quarantined, qt.Commentf("process runs for %s, granted %s ago", processAge, tc.age))
		}
	}
}

// Guards against a crash mark for an adopted request that was granted after its upstream was
// unreachable.
func TestAdoptedRequestIsNotBlamedForAnEarlierFailure(t *testing.T) {
	c, h := newTest(t, fixedLimit(3), 1)
	h.submitN("a", 2)
	gs := h.grantN(c, 2)
	h.finish(gs[0], wire.OutcomeUnreachable, 0)
	h.now += 10 * time.Second
	h.report("u0", "", 1, 0)
	tk := h.ticket("a")
	tk.Fingerprint = wire.Digest{crashingRequest}
	tk.ID.Host = "r2"
	h.p.Sync(h.now, "r2", 1, &wire.Sync{Running: []wire.RunningRequest{{Ticket: tk, Upstream: "u0", Age: time.Second}}})
	h.finish(gs[1], wire.OutcomeBroken, 1)
	c.Check(h.finish(Grant{ID: tk.ID, Upstream: "u0"}, wire.OutcomeBroken, 1).Marks, qt.HasLen, 0)
}

// Guards against refusing a request that an earlier scheduler admitted while a crash mark of
// this one is not written.
func TestSyncedRequestWaitsForUnwrittenMark(t *testing.T) {
	c, h := newTest(t, fixedLimit(2), 3)
	h.reportAll("i")
	crash := func() {
		h.submit("a", withFingerprint(crashingRequest))
		g := h.grantN(c, 1)[0]
		h.p.Finish(h.now, &wire.Finish{ID: g.ID, Pool: "m", Upstream: g.Upstream, Outcome: wire.OutcomeBroken, Queued: -1})
		c.Assert(h.p.ApplyLoadReport(h.now, LoadReport{Upstream: g.Upstream, Instance: "j", SampledAt: h.now}).Marks, qt.HasLen, 1)
	}
	crash()
	h.p.MarkWritten(h.now, wire.Digest{crashingRequest})
	crash()
	waiting := h.ticket("a")
	waiting.Fingerprint = wire.Digest{crashingRequest}
	h.p.Sync(h.now, "r", 1, &wire.Sync{Pool: "m", Waiting: []wire.Ticket{waiting}})
	c.Assert(h.p.Expire(h.now, nil), qt.HasLen, 0)
	c.Assert(h.grantAll(), qt.HasLen, 0)
	h.p.MarkWritten(h.now, wire.Digest{crashingRequest})
	refused := h.p.Expire(h.now, nil)
	c.Assert(refused, qt.HasLen, 1)
	c.Assert(refused[0].Code, qt.Equals, fault.CrashesUpstreams)
}
