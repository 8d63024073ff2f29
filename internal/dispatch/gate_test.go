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

func ask(seq uint64, tokens, nowMs, aimMs int, rank Rank) Ask {
	return Ask{ID: AskID{"h", seq}, Tokens: tokens, Aim: at(nowMs + aimMs), End: at(nowMs + 4*aimMs), Rank: rank}
}

func newTestGate() *Gate { return NewGate(64, 200_000, NewSpeedometer()) }

// Guards against prompts that are sent while the engine reads others, which lengthens the
// pauses of all running streams.
func TestGatePacesPrompts(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	c.Assert(g.Ask(ask(1, 9_000, 0, 800, WithinContract), at(0)).Granted, qt.IsTrue)
	v := g.Ask(ask(2, 9_000, 0, 800, WithinContract), at(0))
	c.Assert(v.Queued && !v.Granted, qt.IsTrue)
	// A repeated ask neither waits twice nor is refused.
	c.Assert(g.Ask(ask(2, 9_000, 1, 800, WithinContract), at(1)).Queued, qt.IsTrue)
	c.Assert(g.Ask(ask(1, 9_000, 1, 800, WithinContract), at(1)).Granted, qt.IsTrue)
	g.FirstEvent(AskID{"h", 1}, at(225))
	granted, refused := g.Next(at(225))
	c.Assert(granted, qt.DeepEquals, []AskID{{"h", 2}})
	c.Assert(refused, qt.HasLen, 0)
}

// Guards against a refusal that comes only after a wait, and against one while the engine
// is idle.
func TestGateRefusesAtOnce(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	c.Assert(g.Ask(ask(1, 60_000, 0, 800, WithinContract), at(0)).Granted, qt.IsTrue)
	v := g.Ask(ask(2, 3_000, 1, 800, WithinContract), at(1))
	c.Assert(v.Granted || v.Queued, qt.IsFalse)
	c.Assert(v.Wait > time.Second, qt.IsTrue)
}

// Guards against short questions behind a flood of long prompts with a later aim, and
// against requests beyond their account's share before those within.
func TestGateOrder(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	g.Ask(ask(1, 4_000, 0, 2_000, WithinContract), at(0))
	for seq, a := range []Ask{
		ask(2, 4_000, 0, 2_000, WithinContract), ask(3, 500, 0, 500, WithinContract),
		ask(4, 500, 0, 1_800, WithinCapacity), ask(5, 4_000, 0, 1_000, WithinContract),
	} {
		c.Assert(g.Ask(a, at(0)).Queued, qt.IsTrue, qt.Commentf("%d", seq))
	}
	var order []uint64
	now, last := 0, uint64(1)
	for len(order) < 4 {
		now += 100
		g.FirstEvent(AskID{"h", last}, at(now))
		granted, _ := g.Next(at(now))
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

// Guards against a gate that stays closed after a request whose host has died, or that
// counts a withdrawn request.
func TestGateForgets(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	g.Ask(ask(1, 9_000, 0, 800, WithinContract), at(0))
	c.Assert(g.Ask(ask(2, 100, 0, 800, WithinContract), at(0)).Queued, qt.IsTrue)
	g.Done(AskID{"h", 2}, at(1))
	g.Sweep(at(int(lostAfter.Milliseconds()) + 1))
	tokens, running := g.Backlog(at(int(lostAfter.Milliseconds()) + 1))
	c.Assert([]int{tokens, running}, qt.DeepEquals, []int{0, 0})
	c.Assert(g.Ask(ask(3, 100, 20_000, 800, WithinContract), at(20_000)).Granted, qt.IsTrue)
}

// Guards against a waiting request that is kept past its end without an answer.
func TestGateEndsExpiredWaits(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	g.Ask(ask(1, 9_000, 0, 800, WithinContract), at(0))
	c.Assert(g.Ask(ask(2, 100, 0, 300, WithinContract), at(0)).Queued, qt.IsTrue)
	granted, refused := g.Next(at(1_300))
	c.Assert(granted, qt.HasLen, 0)
	c.Assert(refused, qt.DeepEquals, []AskID{{"h", 2}})
}

// Guards against a request that is held although others with an earlier aim have made it
// hopeless.
func TestGateExpiresHopelessWaits(t *testing.T) {
	c := qt.New(t)
	g := newTestGate()
	g.Ask(ask(1, 9_000, 0, 1_500, WithinContract), at(0))
	c.Assert(g.Ask(ask(2, 4_000, 0, 1_500, WithinContract), at(0)).Queued, qt.IsTrue)
	for seq := uint64(3); seq < 30; seq++ {
		g.Ask(ask(seq, 4_000, 10, 1_400, WithinContract), at(10))
	}
	c.Assert(g.Expire(at(20)), qt.HasLen, 0)
	// The engine needs three times as long as expected for its first prompt.
	refused := g.Expire(at(750))
	c.Assert(len(refused) > 0, qt.IsTrue)
	tokens, _ := g.Backlog(at(750))
	c.Assert(g.speed.time(tokens) <= 750*time.Millisecond, qt.IsTrue, qt.Commentf("%d tokens still wait", tokens))
}

// Guards against a wrong estimate of what is kept: a part behind one that is missing does
// not count, and the least recently used parts yield.
func TestPartCache(t *testing.T) {
	c := qt.New(t)
	p := newPartCache(1_000 * 100 / cachePercent)
	a := []Part{{1, 300}, {2, 200}, {100, 50}}
	c.Assert(p.missing(a, at(0)), qt.Equals, 550)
	p.use(a, at(0))
	c.Assert(p.missing(a, at(1)), qt.Equals, 50)
	c.Assert(p.missing([]Part{{9, 10}, {2, 200}, {101, 5}}, at(1)), qt.Equals, 215)
	p.use([]Part{{3, 400}, {4, 400}, {102, 1}}, at(2))
	c.Assert(p.missing(a, at(3)), qt.Equals, 550)
}

// Guards against a speed that a few odd samples carry away.
func TestSpeedometer(t *testing.T) {
	c := qt.New(t)
	s := NewSpeedometer()
	rng := rand.New(rand.NewSource(1))
	for i := range 400 {
		took := time.Duration(float64(8_000+rng.Intn(8_000)) / 90 * float64(time.Millisecond))
		if i%10 == 0 {
			took *= 20
		}
		s.learn(12_000, took)
	}
	c.Assert(s.PerMs() > 70 && s.PerMs() < 110, qt.IsTrue, qt.Commentf("%v", s.PerMs()))
}

// player plays a load of prompts against a gate and an engine that reads them one after
// the other at perMs tokens. It returns the answers in time and the refusals.
func play(load float64, perMs float64, seed int64) (inTime, late, refused int) {
	rng := rand.New(rand.NewSource(seed))
	g := newTestGate()
	type job struct {
		id  AskID
		aim time.Time
		end time.Time
	}
	var engineFree time.Time
	running := []job{}
	admit := func(id AskID, tokens int, aim, now time.Time) {
		begin := now
		if engineFree.After(begin) {
			begin = engineFree
		}
		engineFree = begin.Add(time.Duration(float64(tokens) / perMs * float64(time.Millisecond)))
		running = append(running, job{id, aim, engineFree})
	}
	size := map[AskID]int{}
	aims := map[AskID]time.Time{}
	next := 0.0
	for ms := 0; ms < 30_000; ms++ {
		now := at(ms)
		for len(running) > 0 && !running[0].end.After(now) {
			j := running[0]
			running = running[1:]
			g.FirstEvent(j.id, now)
			g.Done(j.id, now)
			if j.end.After(j.aim) {
				late++
			} else {
				inTime++
			}
		}
		granted, dropped := g.Next(now)
		for _, id := range granted {
			admit(id, size[id], aims[id], now)
		}
		refused += len(dropped)
		for next <= float64(ms) {
			id := AskID{"h", uint64(len(size) + 1)}
			tokens := 1_000 + rng.Intn(6_000)
			a := Ask{ID: id, Tokens: tokens, Aim: now.Add(800 * time.Millisecond), End: now.Add(4 * time.Second)}
			size[id], aims[id] = tokens, a.Aim
			switch v := g.Ask(a, now); {
			case v.Granted:
				admit(id, tokens, a.Aim, now)
			case !v.Queued:
				refused++
			}
			next += rng.ExpFloat64() * 4_000 / (load * perMs)
		}
	}
	return inTime, late, refused
}

// Guards against an overload in which everything comes late: at twice the load an engine
// bears, four fifths of what it can read is answered in time and the rest is refused.
func TestOverloadIsServedInTime(t *testing.T) {
	for _, load := range []float64{0.5, 1, 2, 4} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			c := qt.New(t)
			inTime, late, refused := play(load, 44, 7)
			bearable := 30_000 * 44 / 4_000
			want := int(0.8 * min(load, 1) * float64(bearable))
			c.Assert(inTime >= want, qt.IsTrue, qt.Commentf("in time %d of %d, late %d, refused %d", inTime, want, late, refused))
			c.Assert(late*10 <= inTime, qt.IsTrue, qt.Commentf("late %d", late))
		})
	}
}
