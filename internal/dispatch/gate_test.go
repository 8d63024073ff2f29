package dispatch

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newAdmissionRequest(seq uint64, tokens, nowMs, dueMs int, rank Rank) AdmissionRequest {
	return AdmissionRequest{ID: AdmissionID{"h", seq}, Tokens: tokens, FirstEventDue: at(nowMs + dueMs), Deadline: at(nowMs + 4*dueMs), Rank: rank}
}

func newTestGate() *Gate { return NewGate(64, 200_000, NewSpeedEstimator()) }

// Guards against sending a prompt while the engine reads another one, which lengthens the
// pauses between the events of all running streams.
func TestGatePacesPrompts(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	c.Assert(g.Request(newAdmissionRequest(1, 9_000, 0, 800, WithinConfiguredShare), at(0)).Granted, qt.IsTrue)
	reply := g.Request(newAdmissionRequest(2, 9_000, 0, 800, WithinConfiguredShare), at(0))
	c.Assert(reply.Queued && !reply.Granted, qt.IsTrue)
	// A repeated request is neither queued twice nor refused.
	c.Assert(g.Request(newAdmissionRequest(2, 9_000, 1, 800, WithinConfiguredShare), at(1)).Queued, qt.IsTrue)
	c.Assert(g.Request(newAdmissionRequest(1, 9_000, 1, 800, WithinConfiguredShare), at(1)).Granted, qt.IsTrue)
	g.FirstEvent(AdmissionID{"h", 1}, at(225))
	granted, refused := g.AdmitWaiting(at(225))
	c.Assert(granted, qt.DeepEquals, []AdmissionID{{"h", 2}})
	c.Assert(refused, qt.HasLen, 0)
}

// Guards against refusing a request only after it has waited, and against refusing one
// while the engine is idle.
func TestGateRefusesAtOnce(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	c.Assert(g.Request(newAdmissionRequest(1, 60_000, 0, 800, WithinConfiguredShare), at(0)).Granted, qt.IsTrue)
	reply := g.Request(newAdmissionRequest(2, 3_000, 1, 800, WithinConfiguredShare), at(1))
	c.Assert(reply.Granted || reply.Queued, qt.IsFalse)
	c.Assert(reply.Wait > time.Second, qt.IsTrue)
}

// Guards against admitting requests in another order than by rank and then by due time: a
// short prompt must not wait behind long ones that are due later, nor a request within its
// account's share behind one beyond it.
func TestGateOrder(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	g.Request(newAdmissionRequest(1, 4_000, 0, 2_000, WithinConfiguredShare), at(0))
	for seq, r := range []AdmissionRequest{
		newAdmissionRequest(2, 4_000, 0, 2_000, WithinConfiguredShare), newAdmissionRequest(3, 500, 0, 500, WithinConfiguredShare),
		newAdmissionRequest(4, 500, 0, 1_800, WithinCurrentShare), newAdmissionRequest(5, 4_000, 0, 1_000, WithinConfiguredShare),
	} {
		c.Assert(g.Request(r, at(0)).Queued, qt.IsTrue, qt.Commentf("%d", seq))
	}
	var order []uint64
	now, last := 0, uint64(1)
	for len(order) < 4 {
		now += 100
		g.FirstEvent(AdmissionID{"h", last}, at(now))
		granted, _ := g.AdmitWaiting(at(now))
		for _, id := range granted {
			order = append(order, id.Seq)
			last = id.Seq
		}
		for _, id := range granted[:max(len(granted)-1, 0)] {
			g.FirstEvent(id, at(now))
		}
	}
	c.Assert(order, qt.DeepEquals, []uint64{3, 5, 2, 4})
}

// Guards against a request whose first event is overdue that makes others of its rank late,
// and against refusing it before its deadline.
func TestLateRequestsWaitBehindThoseInTime(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	g.Request(newAdmissionRequest(1, 4_000, 0, 800, WithinConfiguredShare), at(0))
	late := newAdmissionRequest(2, 500, 0, -100, WithinConfiguredShare)
	late.Deadline = at(3_000)
	c.Assert(g.Request(late, at(0)).Queued, qt.IsTrue)
	c.Assert(g.Request(newAdmissionRequest(3, 4_000, 0, 800, WithinConfiguredShare), at(0)).Queued, qt.IsTrue)
	c.Assert(g.RefuseLate(at(310)), qt.HasLen, 0)
	g.FirstEvent(AdmissionID{"h", 1}, at(320))
	granted, _ := g.AdmitWaiting(at(320))
	c.Assert(granted, qt.DeepEquals, []AdmissionID{{"h", 3}})
	c.Assert(g.RefuseLate(at(3_001)), qt.DeepEquals, []AdmissionID{{"h", 2}})
}

// Guards against a gate that stays blocked by a request whose host has died, and against
// counting a cancelled request.
func TestGateDropsLostAndCancelledRequests(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	g.Request(newAdmissionRequest(1, 9_000, 0, 800, WithinConfiguredShare), at(0))
	c.Assert(g.Request(newAdmissionRequest(2, 100, 0, 800, WithinConfiguredShare), at(0)).Queued, qt.IsTrue)
	g.Done(AdmissionID{"h", 2}, at(1))
	g.DropLost(at(int(admittedTimeout.Milliseconds()) + 1))
	tokens, running := g.Backlog(at(int(admittedTimeout.Milliseconds()) + 1))
	c.Assert([]int{tokens, running}, qt.DeepEquals, []int{0, 0})
	c.Assert(g.Request(newAdmissionRequest(3, 100, 20_000, 800, WithinConfiguredShare), at(20_000)).Granted, qt.IsTrue)
}

// Guards against admitting more requests than an engine has slots while its streams last long,
// and against counting those of a host that has died forever.
func TestGateCountsLongStreams(t *testing.T) {
	c := qt.New(t)
	g := NewGate(2, 200_000, NewSpeedEstimator())
	const minute = 60_000
	for seq := uint64(1); seq <= 2; seq++ {
		c.Assert(g.Request(newAdmissionRequest(seq, 100, 0, minute, WithinConfiguredShare), at(0)).Granted, qt.IsTrue)
		g.FirstEvent(AdmissionID{"h", seq}, at(50))
	}
	for now := 0; now < minute; now += 1_000 {
		if now%5_000 == 0 {
			g.Adopt(newAdmissionRequest(1, 100, 0, minute, WithinConfiguredShare), true, at(now))
			if now < minute/2 {
				g.Adopt(newAdmissionRequest(2, 100, 0, minute, WithinConfiguredShare), true, at(now))
			}
		}
		g.DropLost(at(now))
		_, running := g.Backlog(at(now))
		switch {
		case now <= minute/2:
			c.Assert(running, qt.Equals, 2, qt.Commentf("after %d ms", now))
		case now > minute/2+int(admittedTimeout.Milliseconds()):
			c.Assert(running, qt.Equals, 1, qt.Commentf("after %d ms", now))
		}
	}
	c.Assert(g.Request(newAdmissionRequest(3, 100, minute, minute, WithinConfiguredShare), at(minute)).Granted, qt.IsTrue)
	c.Assert(g.Request(newAdmissionRequest(4, 100, minute, minute, WithinConfiguredShare), at(minute)).Granted, qt.IsFalse)
}

// Guards against keeping a waiting request past its end instead of refusing it.
func TestGateRefusesRequestsPastTheirDeadline(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	g.Request(newAdmissionRequest(1, 9_000, 0, 800, WithinConfiguredShare), at(0))
	c.Assert(g.Request(newAdmissionRequest(2, 100, 0, 300, WithinConfiguredShare), at(0)).Queued, qt.IsTrue)
	granted, refused := g.AdmitWaiting(at(1_300))
	c.Assert(granted, qt.HasLen, 0)
	c.Assert(refused, qt.DeepEquals, []AdmissionID{{"h", 2}})
}

// Guards against keeping a request in the queue that can't have its first event in time any
// more, because others that are due earlier arrived or the engine is slower than expected.
func TestGateRefusesRequestsThatWillBeLate(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	g.Request(newAdmissionRequest(1, 9_000, 0, 1_500, WithinConfiguredShare), at(0))
	c.Assert(g.Request(newAdmissionRequest(2, 4_000, 0, 1_500, WithinConfiguredShare), at(0)).Queued, qt.IsTrue)
	for seq := uint64(3); seq < 30; seq++ {
		g.Request(newAdmissionRequest(seq, 4_000, 10, 1_400, WithinConfiguredShare), at(10))
	}
	c.Assert(g.RefuseLate(at(20)), qt.HasLen, 0)
	// The engine needs three times as long as expected for its first prompt.
	refused := g.RefuseLate(at(750))
	c.Assert(len(refused) > 0, qt.IsTrue)
	tokens, _ := g.Backlog(at(750))
	c.Assert(g.speed.readTime(tokens) <= 750*time.Millisecond, qt.IsTrue, qt.Commentf("%d tokens are still queued", tokens))
}

// Guards against a wrong estimate of what is cached. A part counts only if all parts before
// it are cached, and the least recently used parts are evicted first.
func TestPartCache(t *testing.T) {
	c := qt.New(t)
	p := newPartCache(1_000 * 100 / partCachePercent)
	a := []Part{{1, 300}, {2, 200}, {100, 50}}
	c.Assert(p.uncachedTokens(a, at(0)), qt.Equals, 550)
	p.markUsed(a, at(0))
	c.Assert(p.uncachedTokens(a, at(1)), qt.Equals, 50)
	c.Assert(p.uncachedTokens([]Part{{9, 10}, {2, 200}, {101, 5}}, at(1)), qt.Equals, 215)
	p.markUsed([]Part{{3, 400}, {4, 400}, {102, 1}}, at(2))
	c.Assert(p.uncachedTokens(a, at(3)), qt.Equals, 550)
}

// Guards against a speed estimate that a few outliers distort.
func TestSpeedEstimator(t *testing.T) {
	c := qt.New(t)
	s := NewSpeedEstimator()
	rng := rand.New(rand.NewSource(1))
	for i := range 400 {
		took := time.Duration(float64(8_000+rng.Intn(8_000)) / 90 * float64(time.Millisecond))
		if i%10 == 0 {
			took *= 20
		}
		s.addSample(12_000, took)
	}
	c.Assert(s.PerMs() > 70 && s.PerMs() < 110, qt.IsTrue, qt.Commentf("%v", s.PerMs()))
}

// simulateLoad sends prompts to a gate and an engine that reads them one after the other
// at perMs tokens per ms. It returns the numbers of first events in time, late first events
// and refusals.
func simulateLoad(load float64, perMs float64, seed int64) (inTime, late, refused int) {
	rng := rand.New(rand.NewSource(seed))
	g := newTestGate()
	type job struct {
		id            AdmissionID
		firstEventDue time.Time
		end           time.Time
	}
	var engineFree time.Time
	running := []job{}
	admit := func(id AdmissionID, tokens int, firstEventDue, now time.Time) {
		begin := now
		if engineFree.After(begin) {
			begin = engineFree
		}
		engineFree = begin.Add(time.Duration(float64(tokens) / perMs * float64(time.Millisecond)))
		running = append(running, job{id, firstEventDue, engineFree})
	}
	size := map[AdmissionID]int{}
	dueTimes := map[AdmissionID]time.Time{}
	next := 0.0
	for ms := 0; ms < 30_000; ms++ {
		now := at(ms)
		for len(running) > 0 && !running[0].end.After(now) {
			j := running[0]
			running = running[1:]
			g.FirstEvent(j.id, now)
			g.Done(j.id, now)
			if j.end.After(j.firstEventDue) {
				late++
			} else {
				inTime++
			}
		}
		granted, dropped := g.AdmitWaiting(now)
		for _, id := range granted {
			admit(id, size[id], dueTimes[id], now)
		}
		refused += len(dropped)
		for next <= float64(ms) {
			id := AdmissionID{"h", uint64(len(size) + 1)}
			tokens := 1_000 + rng.Intn(6_000)
			r := AdmissionRequest{ID: id, Tokens: tokens, FirstEventDue: now.Add(800 * time.Millisecond), Deadline: now.Add(4 * time.Second)}
			size[id], dueTimes[id] = tokens, r.FirstEventDue
			switch reply := g.Request(r, now); {
			case reply.Granted:
				admit(id, tokens, r.FirstEventDue, now)
			case !reply.Queued:
				refused++
			}
			next += rng.ExpFloat64() * 4_000 / (load * perMs)
		}
	}
	return inTime, late, refused
}

// Guards against an overload in which every response is late. At twice the load that an
// engine can serve, four fifths of what it can read must be served in time and the rest
// refused.
func TestOverloadIsServedInTime(t *testing.T) {
	for _, load := range []float64{0.5, 1, 2, 4} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			c := qt.New(t)
			inTime, late, refused := simulateLoad(load, 44, 7)
			capacity := 30_000 * 44 / 4_000
			want := int(0.8 * min(load, 1) * float64(capacity))
			c.Assert(inTime >= want, qt.IsTrue, qt.Commentf("in time %d of %d, late %d, refused %d", inTime, want, late, refused))
			c.Assert(late*10 <= inTime, qt.IsTrue, qt.Commentf("late %d", late))
		})
	}
}
