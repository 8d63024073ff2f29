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

// Backlogged accounts get service in proportion to their weights.
func TestSharesFollowWeights(t *testing.T) {
	c, h := newTest(t, fixedLimit(1), 1)
	h.editContract("a", func(ct *config.Contract) { ct.Weight = 3 })
	h.submitN("a", 400)
	h.submitN("b", 400)
	order := ""
	for range 400 {
		gs := h.grantN(c, 1)
		order += gs[0].Account
		h.finish(gs[0], wire.OutcomeDone, 10)
	}
	c.Check(strings.Count(order, "a"), qt.Equals, 300)
	c.Check(strings.Count(order, "b"), qt.Equals, 100)
}

// An account whose requests cost more than estimated must not get more service: the tag is
// corrected when a request ends.
func TestEstimateIsCorrectedAtTheEnd(t *testing.T) {
	c, h := newTest(t, fixedLimit(1), 1)
	h.submitN("a", 1000)
	h.submitN("b", 1000)
	service := map[string]float64{}
	for range 1000 {
		g := h.grantAll()[0]
		cost := 90.0
		if g.Account == "b" {
			cost = 5
		}
		service[g.Account] += cost
		h.finish(g, wire.OutcomeDone, cost)
	}
	c.Check(math.Abs(service["a"]-service["b"]) <= 400, qt.IsTrue, qt.Commentf("service %v", service))
	c.Check(h.accountStatus("a").Service, qt.Equals, service["a"])
}

// Idle time earns no credit: an account that was idle while another one was served gets an
// equal share from then on, without a burst.
func TestIdleTimeEarnsNoCredit(t *testing.T) {
	c, h := newTest(t, fixedLimit(1), 1)
	h.submitN("b", 1000)
	for range 500 {
		h.finish(h.grantAll()[0], wire.OutcomeDone, 10)
	}
	h.submitN("a", 100)
	order := ""
	for range 20 {
		g := h.grantAll()[0]
		order += g.Account
		h.finish(g, wire.OutcomeDone, 10)
	}
	// The account starts at the start tag of the running request, one request behind the
	// other account's tag. It also wins the tie after its first request.
	c.Check(order, qt.Equals, "aa"+strings.Repeat("ba", 9))
}

// Time at the account's own concurrency limit earns no credit, and a refund during that
// time is not lost.
func TestBlockedAccountKeepsDistanceToVirtualTime(t *testing.T) {
	c, h := newTest(t, fixedLimit(2), 1)
	h.editContract("a", func(ct *config.Contract) { ct.Concurrency = 1 })
	h.submitN("a", 50)
	h.submitN("b", 500)
	gs := h.grantAll()
	c.Assert(grantAccounts(gs), qt.Equals, "ab")
	c.Check(h.accountStatus("a").Blocked, qt.IsTrue)
	long, other := gs[0], gs[1]
	for range 100 {
		h.finish(other, wire.OutcomeDone, 10)
		other = h.grantAll()[0]
		c.Assert(other.Account, qt.Equals, "b")
	}
	before := h.p.virtualTime
	h.finish(long, wire.OutcomeDone, 0)
	tag := h.accountStatus("a").Tag
	// The tag was 10 ahead of the virtual time 0 when the account was blocked. The refund of
	// 10 reduces the distance to 0, and it stays 0.
	c.Check(tag, qt.Equals, before)

	h.p.accounts["a"].blockedAtVirtual, h.p.accounts["a"].tag = 0, 0
	gs = h.grantAll()
	c.Assert(grantAccounts(gs), qt.Equals, "a")
	a := h.p.accounts["a"]
	a.blockedAtVirtual, a.tag = h.p.virtualTime, h.p.virtualTime-30
	h.p.virtualTime += 1000
	h.finish(gs[0], wire.OutcomeCancelled, chargedEstimate(h, gs[0]))
	c.Check(math.Abs(h.p.virtualTime-h.accountStatus("a").Tag-30) < 1e-9, qt.IsTrue,
		qt.Commentf("distance %v", h.p.virtualTime-h.accountStatus("a").Tag))
}

func chargedEstimate(h *harness, g Grant) float64 { return h.p.tickets[g.ID].estimate }

// Every contract limit is enforced, and a refusal has the code of the limit.
func TestContractLimits(t *testing.T) {
	for _, tc := range []struct {
		name string
		edit func(*config.Contract)
		run  func(c *qt.C, h *harness)
	}{
		{"rate with burst", func(ct *config.Contract) { ct.RequestsPerSecond, ct.Burst = 2, 3 }, func(c *qt.C, h *harness) {
			for range 3 {
				h.submitExpect(c, fault.Code(""), "a")
			}
			tk := h.ticket("a")
			r := h.p.Submit(h.now, &tk)
			c.Assert(r.Code, qt.Equals, fault.RateLimited)
			c.Check(r.RetryAfter, qt.Equals, 500*time.Millisecond)
			h.now += 500 * time.Millisecond
			h.submitExpect(c, fault.Code(""), "a")
			h.submitExpect(c, fault.RateLimited, "a")
			// A ticket submitted again after an unused grant has taken its token already.
			h.submitExpect(c, fault.Code(""), "a", func(t *wire.Ticket) { t.Again = true })
		}},
		{"rate 0", func(ct *config.Contract) { ct.RequestsPerSecond = 0 }, func(c *qt.C, h *harness) {
			h.submitExpect(c, fault.RateLimited, "a")
		}},
		{"concurrency", func(ct *config.Contract) { ct.Concurrency = 2 }, func(c *qt.C, h *harness) {
			h.submitN("a", 5)
			gs := h.grantN(c, 2)
			h.finish(gs[0], wire.OutcomeDone, 1)
			c.Check(h.grantAll(), qt.HasLen, 1)
			h.editContract("a", func(ct *config.Contract) { ct.Concurrency = 3 })
			c.Check(h.grantAll(), qt.HasLen, 1)
		}},
		{"queue length", func(ct *config.Contract) { ct.QueueLength = 2 }, func(c *qt.C, h *harness) {
			h.submitN("a", 2)
			h.submitExpect(c, fault.QueueFull, "a")
			h.grantAll()
			h.submitExpect(c, fault.Code(""), "a")
		}},
		{"wait", func(ct *config.Contract) { ct.MaxWait, ct.Concurrency = time.Second, 0 }, func(c *qt.C, h *harness) {
			short, _ := h.submit("a", func(t *wire.Ticket) { t.MaxWait = 100 * time.Millisecond })
			long, _ := h.submit("a", func(t *wire.Ticket) { t.MaxWait = time.Hour })
			c.Check(h.p.Expire(h.now+99*time.Millisecond, nil), qt.HasLen, 0)
			out := h.p.Expire(h.now+100*time.Millisecond, nil)
			c.Check(out, qt.DeepEquals, []wire.Refusal{{ID: short, Pool: "m", Code: fault.WaitExpired}})
			h.editContract("a", func(ct *config.Contract) { ct.MaxWait = 500 * time.Millisecond })
			out = h.p.Expire(h.now+500*time.Millisecond, nil)
			c.Check(out, qt.DeepEquals, []wire.Refusal{{ID: long, Pool: "m", Code: fault.WaitExpired}})
			c.Check(h.p.Status(h.now).Waiting, qt.Equals, 0)
		}},
		{"pool not allowed", func(ct *config.Contract) { ct.Pools = nil }, func(c *qt.C, h *harness) {
			h.submitExpect(c, fault.PoolNotAllowed, "a")
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(fixedLimit(8), 1)
			h.editContract("a", tc.edit)
			tc.run(qt.New(t), h)
		})
	}
}

// A ticket submitted twice runs once, and repeated Finish, Return and Cancel calls free
// only the slot that was taken.
func TestRepeatedCallsHaveNoEffect(t *testing.T) {
	c, h := newTest(t, fixedLimit(1), 1)
	tk := h.ticket("a")
	c.Check(h.p.Submit(h.now, &tk), qt.IsNil)
	c.Check(h.p.Submit(h.now, &tk), qt.IsNil)
	gs := h.grantN(c, 1)
	c.Check(h.p.Submit(h.now, &tk), qt.IsNil)
	h.submitN("b", 3)
	for range 3 {
		h.finish(gs[0], wire.OutcomeDone, 10)
		h.p.Return(h.now, gs[0].ID)
		h.p.Cancel(h.now, gs[0].ID)
	}
	h.p.Finish(h.now, &wire.Finish{ID: wire.TicketID{Host: "x"}, Outcome: wire.OutcomeUnreachable, Upstream: "u0"})
	c.Check(h.grantAll(), qt.HasLen, 1)
	c.Check(h.upstreamStatus("u0").State, qt.Equals, UpstreamWarm)
	c.Check(h.accountStatus("a").Service, qt.Equals, 10.0)
}

// A request that did not run costs nothing, and reported costs are limited to the range
// that the fairness bound assumes.
func TestCharges(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(h *harness, g Grant)
		want float64
	}{
		{"returned grant", func(h *harness, g Grant) { h.p.Return(h.now, g.ID) }, 0},
		{"refused by the upstream", func(h *harness, g Grant) { h.finish(g, wire.OutcomeRefused, 50) }, 0},
		{"cost above the maximum", func(h *harness, g Grant) { h.finish(g, wire.OutcomeDone, 1e9) }, 100},
		{"negative cost", func(h *harness, g Grant) { h.finish(g, wire.OutcomeDone, -5) }, 0},
		{"cost that is not a number", func(h *harness, g Grant) { h.finish(g, wire.OutcomeDone, math.NaN()) }, 10},
		{"cancelled after some output", func(h *harness, g Grant) { h.finish(g, wire.OutcomeCancelled, 7) }, 7},
	} {
		h := newHarness(fixedLimit(1), 1)
		h.submit("a")
		tc.end(h, h.grantAll()[0])
		qt.Check(t, h.accountStatus("a").Service, qt.Equals, tc.want, qt.Commentf(tc.name))
		qt.Check(t, h.accountStatus("a").Tag, qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// An estimate includes the known input cost and does not exceed the maximum.
func TestEstimates(t *testing.T) {
	c, h := newTest(t, fixedLimit(1), 1)
	a := h.p.accounts["a"]
	c.Check(h.p.estimate(a, 0), qt.Equals, 10.0)
	c.Check(h.p.estimate(a, 25), qt.Equals, 25.0)
	for range 200 {
		a.updateMeanCost(45, 5)
	}
	c.Check(h.p.estimate(a, 20), qt.Equals, 60.0)
	c.Check(h.p.estimate(a, 95), qt.Equals, 100.0)
	for range 200 {
		a.updateMeanCost(0, 0)
	}
	c.Check(h.p.estimate(a, 0) > 0, qt.IsTrue)
}

// Waiting tickets are refused when their account is removed. When the account is restored,
// requests that still run count towards its concurrency limit.
func TestAccountRemovedAndRestored(t *testing.T) {
	c, h := newTest(t, fixedLimit(2), 1)
	h.editContract("a", func(ct *config.Contract) { ct.Concurrency = 1 })
	h.submitN("a", 3)
	gs := h.grantN(c, 1)
	kept := h.cfg.Contracts["a"]
	delete(h.cfg.Contracts, "a")
	h.p.Configure(h.now, h.cfg)
	out := h.p.Expire(h.now, nil)
	c.Assert(out, qt.HasLen, 2)
	c.Check(out[0].Code, qt.Equals, fault.PoolNotAllowed)
	h.cfg.Contracts["a"] = kept
	h.p.Configure(h.now, h.cfg)
	h.submit("a")
	c.Check(h.grantAll(), qt.HasLen, 0)
	h.finish(gs[0], wire.OutcomeDone, 10)
	c.Check(h.grantAll(), qt.HasLen, 1)
	delete(h.cfg.Contracts, "a")
	delete(h.cfg.Contracts, "b")
	h.p.Configure(h.now, h.cfg)
	c.Check(len(h.p.accounts), qt.Equals, 2)
}

// Retries beyond the budget are refused.
func TestRetryBudget(t *testing.T) {
	c, h := newTest(t, fixedLimit(1), 1)
	retry := func(t *wire.Ticket) { t.Retry = true }
	h.submitExpect(c, fault.RetryBudgetSpent, "a", retry)
	h.submitN("a", 10)
	h.submitExpect(c, fault.Code(""), "a", retry)
	h.submitExpect(c, fault.RetryBudgetSpent, "a", retry)
}
