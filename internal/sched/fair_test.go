package sched

import (
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// Guards against shares that do not follow the weights.
func TestSharesFollowWeights(t *testing.T) {
	c, w := begin(t, fixed(1), 1)
	w.edit("a", func(ct *config.Contract) { ct.Weight = 3 })
	w.submitN("a", 400)
	w.submitN("b", 400)
	order := ""
	for range 400 {
		gs := w.drainN(c, 1)
		order += gs[0].Account
		w.finish(gs[0], wire.OutcomeDone, 10)
	}
	c.Check(strings.Count(order, "a"), qt.Equals, 300)
	c.Check(strings.Count(order, "b"), qt.Equals, 100)
}

// Guards against an account that gets ahead because its requests cost more than estimated.
func TestCorrectionAtTheEnd(t *testing.T) {
	c, w := begin(t, fixed(1), 1)
	w.submitN("a", 1000)
	w.submitN("b", 1000)
	service := map[string]float64{}
	for range 1000 {
		g := w.drain()[0]
		cost := 90.0
		if g.Account == "b" {
			cost = 5
		}
		service[g.Account] += cost
		w.finish(g, wire.OutcomeDone, cost)
	}
	c.Check(math.Abs(service["a"]-service["b"]) <= 400, qt.IsTrue, qt.Commentf("service %v", service))
	c.Check(w.account("a").Service, qt.Equals, service["a"])
}

// Guards against credit for idle time: an account that was idle while another one was
// served shares equally from then on and gets no burst.
func TestIdleTimeEarnsNoCredit(t *testing.T) {
	c, w := begin(t, fixed(1), 1)
	w.submitN("b", 1000)
	for range 500 {
		w.finish(w.drain()[0], wire.OutcomeDone, 10)
	}
	w.submitN("a", 100)
	order := ""
	for range 20 {
		g := w.drain()[0]
		order += g.Account
		w.finish(g, wire.OutcomeDone, 10)
	}
	// The account starts level with the start tag of the running request, one request
	// behind the other account's tag, and the tie after its first request is its too.
	c.Check(order, qt.Equals, "aa"+strings.Repeat("ba", 9))
}

// Guards against credit for time at the account's own concurrency limit, and against
// a refund that is lost while the account is blocked.
func TestBlockedAccountKeepsItsDistance(t *testing.T) {
	c, w := begin(t, fixed(2), 1)
	w.edit("a", func(ct *config.Contract) { ct.Concurrency = 1 })
	w.submitN("a", 50)
	w.submitN("b", 500)
	gs := w.drain()
	c.Assert(accounts(gs), qt.Equals, "ab")
	c.Check(w.account("a").Blocked, qt.IsTrue)
	long, other := gs[0], gs[1]
	for range 100 {
		w.finish(other, wire.OutcomeDone, 10)
		other = w.drain()[0]
		c.Assert(other.Account, qt.Equals, "b")
	}
	before := w.p.virtual
	w.finish(long, wire.OutcomeDone, 0)
	tag := w.account("a").Tag
	// The tag was 10 ahead of the virtual time 0 when blocked; the refund of 10 brings it
	// to 0, level with the virtual time, and it stays level.
	c.Check(tag, qt.Equals, before)

	w.p.accounts["a"].blockedAt, w.p.accounts["a"].tag = 0, 0
	gs = w.drain()
	c.Assert(accounts(gs), qt.Equals, "a")
	a := w.p.accounts["a"]
	a.blockedAt, a.tag = w.p.virtual, w.p.virtual-30
	w.p.virtual += 1000
	w.finish(gs[0], wire.OutcomeCancelled, gs0Estimate(w, gs[0]))
	c.Check(math.Abs(w.p.virtual-w.account("a").Tag-30) < 1e-9, qt.IsTrue,
		qt.Commentf("distance %v", w.p.virtual-w.account("a").Tag))
}

func gs0Estimate(w *world, g Grant) float64 { return w.p.items[g.ID].estimate }

// Guards against limits of a contract that are not enforced or have the wrong code.
func TestContractLimits(t *testing.T) {
	for _, tc := range []struct {
		name string
		edit func(*config.Contract)
		run  func(c *qt.C, w *world)
	}{
		{"rate with burst", func(ct *config.Contract) { ct.RequestsPerSecond, ct.Burst = 2, 3 }, func(c *qt.C, w *world) {
			for range 3 {
				w.submitWant(c, fault.Code(""), "a")
			}
			tk := w.ticket("a")
			r := w.p.Submit(w.now, &tk)
			c.Assert(r.Code, qt.Equals, fault.RateLimited)
			c.Check(r.RetryAfter, qt.Equals, 500*time.Millisecond)
			w.now += 500 * time.Millisecond
			w.submitWant(c, fault.Code(""), "a")
			w.submitWant(c, fault.RateLimited, "a")
			// A ticket that follows a void grant has paid already.
			w.submitWant(c, fault.Code(""), "a", func(t *wire.Ticket) { t.Again = true })
		}},
		{"rate 0", func(ct *config.Contract) { ct.RequestsPerSecond = 0 }, func(c *qt.C, w *world) {
			w.submitWant(c, fault.RateLimited, "a")
		}},
		{"concurrency", func(ct *config.Contract) { ct.Concurrency = 2 }, func(c *qt.C, w *world) {
			w.submitN("a", 5)
			gs := w.drainN(c, 2)
			w.finish(gs[0], wire.OutcomeDone, 1)
			c.Check(w.drain(), qt.HasLen, 1)
			w.edit("a", func(ct *config.Contract) { ct.Concurrency = 3 })
			c.Check(w.drain(), qt.HasLen, 1)
		}},
		{"queue length", func(ct *config.Contract) { ct.QueueLength = 2 }, func(c *qt.C, w *world) {
			w.submitN("a", 2)
			w.submitWant(c, fault.QueueFull, "a")
			w.drain()
			w.submitWant(c, fault.Code(""), "a")
		}},
		{"wait", func(ct *config.Contract) { ct.MaxWait, ct.Concurrency = time.Second, 0 }, func(c *qt.C, w *world) {
			short, _ := w.submit("a", func(t *wire.Ticket) { t.MaxWait = 100 * time.Millisecond })
			long, _ := w.submit("a", func(t *wire.Ticket) { t.MaxWait = time.Hour })
			c.Check(w.p.Expire(w.now+99*time.Millisecond, nil), qt.HasLen, 0)
			out := w.p.Expire(w.now+100*time.Millisecond, nil)
			c.Check(out, qt.DeepEquals, []wire.Refuse{{ID: short, Pool: "m", Code: fault.WaitExpired}})
			w.edit("a", func(ct *config.Contract) { ct.MaxWait = 500 * time.Millisecond })
			out = w.p.Expire(w.now+500*time.Millisecond, nil)
			c.Check(out, qt.DeepEquals, []wire.Refuse{{ID: long, Pool: "m", Code: fault.WaitExpired}})
			c.Check(w.p.Status(w.now).Waiting, qt.Equals, 0)
		}},
		{"pool not allowed", func(ct *config.Contract) { ct.Pools = nil }, func(c *qt.C, w *world) {
			w.submitWant(c, fault.PoolNotAllowed, "a")
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(fixed(8), 1)
			w.edit("a", tc.edit)
			tc.run(qt.New(t), w)
		})
	}
}

// Guards against a repeated ticket that runs twice, and against repeated ends that free
// more slots than were taken.
func TestRepeatsAreHarmless(t *testing.T) {
	c, w := begin(t, fixed(1), 1)
	tk := w.ticket("a")
	c.Check(w.p.Submit(w.now, &tk), qt.IsNil)
	c.Check(w.p.Submit(w.now, &tk), qt.IsNil)
	gs := w.drainN(c, 1)
	c.Check(w.p.Submit(w.now, &tk), qt.IsNil)
	w.submitN("b", 3)
	for range 3 {
		w.finish(gs[0], wire.OutcomeDone, 10)
		w.p.Return(w.now, gs[0].ID)
		w.p.Cancel(w.now, gs[0].ID)
	}
	w.p.Finish(w.now, &wire.Finish{ID: wire.TicketID{Host: "x"}, Outcome: wire.OutcomeUnreachable, Upstream: "u0"})
	c.Check(w.drain(), qt.HasLen, 1)
	c.Check(w.upstream("u0").State, qt.Equals, StateWarm)
	c.Check(w.account("a").Service, qt.Equals, 10.0)
}

// Guards against a charge for work that did not run, and against costs outside the range
// of the fairness bound.
func TestCharges(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(w *world, g Grant)
		want float64
	}{
		{"returned grant", func(w *world, g Grant) { w.p.Return(w.now, g.ID) }, 0},
		{"refused by the upstream", func(w *world, g Grant) { w.finish(g, wire.OutcomeRefused, 50) }, 0},
		{"cost above the maximum", func(w *world, g Grant) { w.finish(g, wire.OutcomeDone, 1e9) }, 100},
		{"negative cost", func(w *world, g Grant) { w.finish(g, wire.OutcomeDone, -5) }, 0},
		{"cost that is not a number", func(w *world, g Grant) { w.finish(g, wire.OutcomeDone, math.NaN()) }, 10},
		{"cancelled after some output", func(w *world, g Grant) { w.finish(g, wire.OutcomeCancelled, 7) }, 7},
	} {
		w := newWorld(fixed(1), 1)
		w.submit("a")
		tc.end(w, w.drain()[0])
		qt.Check(t, w.account("a").Service, qt.Equals, tc.want, qt.Commentf(tc.name))
		qt.Check(t, w.account("a").Tag, qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// Guards against estimates that ignore the known input or grow past the maximum.
func TestEstimates(t *testing.T) {
	c, w := begin(t, fixed(1), 1)
	a := w.p.accounts["a"]
	c.Check(w.p.estimate(a, 0), qt.Equals, 10.0)
	c.Check(w.p.estimate(a, 25), qt.Equals, 25.0)
	for range 200 {
		a.learn(45, 5)
	}
	c.Check(w.p.estimate(a, 20), qt.Equals, 60.0)
	c.Check(w.p.estimate(a, 95), qt.Equals, 100.0)
	for range 200 {
		a.learn(0, 0)
	}
	c.Check(w.p.estimate(a, 0) > 0, qt.IsTrue)
}

// Guards against tickets that are lost silently when their account is removed, and
// against a concurrency limit that forgets running requests when the account returns.
func TestAccountRemovedAndBack(t *testing.T) {
	c, w := begin(t, fixed(2), 1)
	w.edit("a", func(ct *config.Contract) { ct.Concurrency = 1 })
	w.submitN("a", 3)
	gs := w.drainN(c, 1)
	kept := w.cfg.Contracts["a"]
	delete(w.cfg.Contracts, "a")
	w.p.Configure(w.now, w.cfg)
	out := w.p.Expire(w.now, nil)
	c.Assert(out, qt.HasLen, 2)
	c.Check(out[0].Code, qt.Equals, fault.PoolNotAllowed)
	w.cfg.Contracts["a"] = kept
	w.p.Configure(w.now, w.cfg)
	w.submit("a")
	c.Check(w.drain(), qt.HasLen, 0)
	w.finish(gs[0], wire.OutcomeDone, 10)
	c.Check(w.drain(), qt.HasLen, 1)
	delete(w.cfg.Contracts, "a")
	delete(w.cfg.Contracts, "b")
	w.p.Configure(w.now, w.cfg)
	c.Check(len(w.p.accounts), qt.Equals, 2)
}

// Guards against retries beyond the budget.
func TestRetryBudget(t *testing.T) {
	c, w := begin(t, fixed(1), 1)
	again := func(t *wire.Ticket) { t.Retry = true }
	w.submitWant(c, fault.RetryBudgetSpent, "a", again)
	w.submitN("a", 10)
	w.submitWant(c, fault.Code(""), "a", again)
	w.submitWant(c, fault.RetryBudgetSpent, "a", again)
}
