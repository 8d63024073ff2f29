package sched

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// crasher is the fingerprint of the request that crashes every upstream that runs it.
const crashingRequest = 1

// crashTest runs requests that share upstreams with one that crashes them. Callers repeat
// a request whose connection broke, before or after the sign of the restart.
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

func (r *crashTest) submit(fp byte, avoid string) {
	id, code := r.h.submit("a", withFingerprint(fp), func(t *wire.Ticket) { t.Avoid = avoid })
	if code != "" {
		r.refused[fp] = code
		return
	}
	r.fingerprints[id] = fp
}

// takeGrants adds the grants and checks that no upstream runs two marked fingerprints.
func (r *crashTest) takeGrants() {
	r.running = append(r.running, r.h.grantAll()...)
	marked := map[string]byte{}
	for _, g := range r.running {
		fp := r.fingerprints[g.ID]
		if r.h.p.fingerprints[wire.Digest{fp}].markCount == 0 {
			continue
		}
		other := marked[g.Upstream]
		r.c.Assert(other == 0 || other == fp, qt.IsTrue, qt.Commentf("%s runs %d and %d", g.Upstream, fp, other))
		marked[g.Upstream] = fp
	}
}

// crash breaks every connection of an upstream and restarts it.
func (r *crashTest) crash(name string, resubmitFirst bool) {
	r.crashes++
	r.restarts[name]++
	var kept, broken []Grant
	for _, g := range r.running {
		if g.Upstream != name {
			kept = append(kept, g)
			continue
		}
		broken = append(broken, g)
		r.h.finish(g, wire.OutcomeBroken, 1)
	}
	r.running = kept
	r.h.now += time.Millisecond
	resubmit := func() {
		for _, g := range broken {
			r.submit(r.fingerprints[g.ID], name)
		}
		r.takeGrants()
	}
	if resubmitFirst {
		resubmit()
	}
	r.h.now += time.Millisecond
	r.h.report(name, fmt.Sprint("start", r.restarts[name]), 0, 0)
	if !resubmitFirst {
		resubmit()
	}
}

// step crashes the upstream of the crashing request, or ends the oldest other request.
func (r *crashTest) step(resubmitFirst bool) {
	r.takeGrants()
	for _, g := range r.running {
		if r.fingerprints[g.ID] == crashingRequest {
			r.crash(g.Upstream, resubmitFirst)
			return
		}
	}
	if len(r.running) > 0 {
		g := r.running[0]
		r.running = r.running[1:]
		r.h.finish(g, wire.OutcomeDone, 1)
		r.served[r.fingerprints[g.ID]] = true
	}
}

// Guards against the quarantine of innocent requests that ran beside one that crashes
// upstreams, and against repeats of them that never run.
func TestOnlyTheCrashingRequestIsQuarantined(t *testing.T) {
	const harmless = 6
	for _, upstreams := range []int{2, 3, 4} {
		for _, resubmitFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("upstreams=%d,repeatFirst=%v", upstreams, resubmitFirst), func(t *testing.T) {
				r := &crashTest{c: qt.New(t), h: newHarness(fixedLimit(harmless+1), upstreams), fingerprints: map[wire.TicketID]byte{},
					served: map[byte]bool{}, refused: map[byte]fault.Code{}, restarts: map[string]int{}}
				for _, u := range r.h.p.sortedUpstreams {
					r.h.report(u.name, "start0", 0, 0)
					u.out = u.name != "u0" // all requests share the first upstream
				}
				for fp := byte(crashingRequest); fp <= crashingRequest+harmless; fp++ {
					r.submit(fp, "")
				}
				r.takeGrants()
				r.c.Assert(r.running, qt.HasLen, harmless+1)
				r.h.p.Configure(r.h.now, r.h.cfg)
				for range 20 * harmless {
					r.step(resubmitFirst)
					r.h.now += avoidWait / 10
					for _, f := range r.h.p.Expire(r.h.now, nil) {
						r.refused[r.fingerprints[f.ID]] = f.Code
					}
				}
				for fp := byte(crashingRequest + 1); fp <= crashingRequest+harmless; fp++ {
					r.c.Check(r.served[fp], qt.IsTrue, qt.Commentf("request %d", fp))
				}
				r.c.Check(r.refused, qt.DeepEquals, map[byte]fault.Code{crashingRequest: fault.CrashesUpstreams})
				r.c.Check(r.crashes, qt.Equals, 2)
				r.c.Check(r.h.p.Status(r.h.now).Quarantined, qt.Equals, 1)
			})
		}
	}
}
