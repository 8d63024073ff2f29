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
const crasher = 1

// crashTrial runs requests that share upstreams with one that crashes them. Callers repeat
// a request whose connection broke, before or after the sign of the restart.
type crashTrial struct {
	c       *qt.C
	w       *world
	fps     map[wire.TicketID]byte
	served  map[byte]bool
	refused map[byte]fault.Code
	starts  map[string]int
	running []Grant
	crashes int
}

func (r *crashTrial) submit(fp byte, avoid string) {
	id, code := r.w.submit("a", withFP(fp), func(t *wire.Ticket) { t.Avoid = avoid })
	if code != "" {
		r.refused[fp] = code
		return
	}
	r.fps[id] = fp
}

// take adds the grants and checks that no upstream runs two marked fingerprints.
func (r *crashTrial) take() {
	r.running = append(r.running, r.w.drain()...)
	marked := map[string]byte{}
	for _, g := range r.running {
		fp := r.fps[g.ID]
		if r.w.p.fingerprints[wire.Digest{fp}].crashes == 0 {
			continue
		}
		other := marked[g.Upstream]
		r.c.Assert(other == 0 || other == fp, qt.IsTrue, qt.Commentf("%s runs %d and %d", g.Upstream, fp, other))
		marked[g.Upstream] = fp
	}
}

// crash breaks every connection of an upstream and restarts it.
func (r *crashTrial) crash(name string, repeatFirst bool) {
	r.crashes++
	r.starts[name]++
	var kept, broken []Grant
	for _, g := range r.running {
		if g.Upstream != name {
			kept = append(kept, g)
			continue
		}
		broken = append(broken, g)
		r.w.finish(g, wire.OutcomeBroken, 1)
	}
	r.running = kept
	r.w.now += time.Millisecond
	repeat := func() {
		for _, g := range broken {
			r.submit(r.fps[g.ID], name)
		}
		r.take()
	}
	if repeatFirst {
		repeat()
	}
	r.w.now += time.Millisecond
	r.w.report(name, fmt.Sprint("start", r.starts[name]), 0, 0)
	if !repeatFirst {
		repeat()
	}
}

// step crashes the upstream of the crashing request, or ends the oldest other request.
func (r *crashTrial) step(repeatFirst bool) {
	r.take()
	for _, g := range r.running {
		if r.fps[g.ID] == crasher {
			r.crash(g.Upstream, repeatFirst)
			return
		}
	}
	if len(r.running) > 0 {
		g := r.running[0]
		r.running = r.running[1:]
		r.w.finish(g, wire.OutcomeDone, 1)
		r.served[r.fps[g.ID]] = true
	}
}

// Guards against the quarantine of innocent requests that ran beside one that crashes
// upstreams, and against repeats of them that never run.
func TestOnlyTheCrashingRequestIsQuarantined(t *testing.T) {
	const innocents = 6
	for _, upstreams := range []int{2, 3, 4} {
		for _, repeatFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("upstreams=%d,repeatFirst=%v", upstreams, repeatFirst), func(t *testing.T) {
				r := &crashTrial{c: qt.New(t), w: newWorld(fixed(innocents+1), upstreams), fps: map[wire.TicketID]byte{},
					served: map[byte]bool{}, refused: map[byte]fault.Code{}, starts: map[string]int{}}
				for _, u := range r.w.p.order {
					r.w.report(u.name, "start0", 0, 0)
					u.out = u.name != "u0" // all requests share the first upstream
				}
				for fp := byte(crasher); fp <= crasher+innocents; fp++ {
					r.submit(fp, "")
				}
				r.take()
				r.c.Assert(r.running, qt.HasLen, innocents+1)
				r.w.p.Configure(r.w.now, r.w.cfg)
				for range 20 * innocents {
					r.step(repeatFirst)
					r.w.now += avoidHold / 10
					for _, f := range r.w.p.Expire(r.w.now, nil) {
						r.refused[r.fps[f.ID]] = f.Code
					}
				}
				for fp := byte(crasher + 1); fp <= crasher+innocents; fp++ {
					r.c.Check(r.served[fp], qt.IsTrue, qt.Commentf("request %d", fp))
				}
				r.c.Check(r.refused, qt.DeepEquals, map[byte]fault.Code{crasher: fault.CrashesUpstreams})
				r.c.Check(r.crashes, qt.Equals, 2)
				r.c.Check(r.w.p.Status(r.w.now).Quarantined, qt.Equals, 1)
			})
		}
	}
}
