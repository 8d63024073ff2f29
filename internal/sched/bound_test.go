package sched

import (
	"fmt"
	"testing"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/wire"
)

// gapTest drives three accounts, a, b and c. The requests of a and b alternate between a
// cost equal to (exactEstimate), below (overestimate) and above (underestimate) their
// estimate.
type gapTest struct {
	t       *testing.T
	h       *harness
	waiting map[string][]wire.TicketID
	fillers []Grant
	service map[string]float64
	// highestTags holds each account's highest tag in a grant.
	highestTags map[string]float64
	// minGap and maxGap are the extremes of the service gap between a and b.
	minGap, maxGap float64
}

const (
	exactEstimate = "exact"
	underestimate = "under"
	overestimate  = "over"
)

// replaceWaiting replaces the waiting tickets of an account by tickets of the kind, without
// a moment at which the account is idle.
func (gt *gapTest) replaceWaiting(account, kind string) {
	old := gt.waiting[account]
	gt.waiting[account] = nil
	for range 2 {
		id, code := gt.h.submit(account, func(t *wire.Ticket) {
			if kind != underestimate {
				t.InputCost = 100
			}
		})
		if code != "" {
			gt.t.Fatalf("refused: %s", code)
		}
		gt.waiting[account] = append(gt.waiting[account], id)
	}
	for _, id := range old {
		gt.h.p.Cancel(gt.h.now, id)
	}
}

// grant takes the next grant and counts its true cost at once.
func (gt *gapTest) grant(kinds map[string]string) (Grant, string) {
	g, ok := gt.h.p.Next(gt.h.now)
	if !ok {
		gt.t.Fatal("no grant")
	}
	gt.highestTags[g.Account] = max(gt.highestTags[g.Account], g.Tag)
	kind := kinds[g.Account]
	if kind != overestimate {
		gt.service[g.Account] += 100
	}
	gt.replaceWaiting(g.Account, kind)
	for _, n := range []string{"a", "b"} {
		if s := gt.h.accountStatus(n); s.Waiting == 0 || s.Blocked {
			gt.t.Fatalf("account %s is not eligible all the time", n)
		}
	}
	gap := gt.service["a"] - gt.service["b"]
	gt.minGap, gt.maxGap = min(gt.minGap, gap), max(gt.maxGap, gap)
	return g, kind
}

// end finishes a request as cancelled, which does not change the account's mean cost.
func (gt *gapTest) end(g Grant, kind string) {
	cost := 100.0
	if kind == overestimate {
		cost = 0
	}
	gt.h.finish(g, wire.OutcomeCancelled, cost)
}

// startMany takes grants until the account has n running requests of the kind. All other
// requests end at once.
func (gt *gapTest) startMany(account, kind string, n int) []Grant {
	var started []Grant
	for len(started) < n {
		gt.replaceWaiting(account, kind)
		g, k := gt.grant(map[string]string{"a": exactEstimate, "b": exactEstimate, "c": exactEstimate, account: kind})
		if g.Account != account {
			gt.end(g, k)
			continue
		}
		started = append(started, g)
		gt.end(gt.fillers[0], exactEstimate)
		gt.fillers = gt.fillers[1:]
	}
	gt.replaceWaiting(account, exactEstimate)
	return started
}

// misleadThenLevel runs n requests of account cheap that cost less than estimated and n of
// account expensive that cost more, and then serves all accounts until the tags are equal.
func (gt *gapTest) misleadThenLevel(cheap, expensive string, n int) {
	gt.mislead(cheap, expensive, n)
	gt.levelTags()
}

// mislead is the first half of misleadThenLevel.
func (gt *gapTest) mislead(cheap, expensive string, n int) {
	overestimated := gt.startMany(cheap, overestimate, n)
	underestimated := gt.startMany(expensive, underestimate, n)
	gt.t.Logf("%s runs %d requests above and %s %d below their estimate: gap %.0f",
		expensive, n, cheap, n, gt.service["a"]-gt.service["b"])
	for i := range n {
		gt.end(overestimated[i], overestimate)
		gt.end(underestimated[i], underestimate)
	}
}

// levelTags serves all accounts until the tags are equal, and then fills the pool with
// requests of c.
func (gt *gapTest) levelTags() {
	all := map[string]string{"a": exactEstimate, "b": exactEstimate, "c": exactEstimate}
	for range 100 {
		g, k := gt.grant(all)
		gt.end(g, k)
	}
	gt.t.Logf("tags are equal: gap %.0f", gt.service["a"]-gt.service["b"])
	for len(gt.fillers) < 15 {
		if g, k := gt.grant(all); g.Account == "c" {
			gt.fillers = append(gt.fillers, g)
		} else {
			gt.end(g, k)
		}
	}
}

// changeScheduler replaces the scheduler. The routers have seen the tags of all grants, but
// no message carries the corrections since each account's last grant.
func (gt *gapTest) changeScheduler() {
	ticket := func(account string, id wire.TicketID) wire.Ticket {
		return wire.Ticket{ID: id, Pool: "m", Account: account, DataCentre: "d0", InputCost: 100}
	}
	s := &wire.Sync{Virtual: gt.h.p.virtualTime}
	for _, n := range []string{"a", "b", "c"} {
		s.Tags = append(s.Tags, wire.AccountTag{Account: n, Tag: gt.highestTags[n]})
		for _, id := range gt.waiting[n] {
			s.Waiting = append(s.Waiting, ticket(n, id))
		}
	}
	for _, g := range gt.fillers {
		s.Running = append(s.Running, wire.RunningRequest{Ticket: ticket("c", g.ID), Upstream: g.Upstream, Estimate: g.Estimate})
	}
	gt.h.replacePool()
	gt.h.p.Sync(gt.h.now, "r", 1, s)
}

func newGapTest(t *testing.T) *gapTest {
	gt := &gapTest{t: t, h: newHarness(fixedLimit(16), 1), waiting: map[string][]wire.TicketID{}, service: map[string]float64{}, highestTags: map[string]float64{}}
	pool := gt.h.cfg.Pools["m"]
	pool.DefaultCost = 0
	gt.h.cfg.Pools["m"], gt.h.opts.Pool = pool, pool
	for _, n := range []string{"a", "b"} {
		gt.h.editContract(n, func(ct *config.Contract) { ct.Concurrency = 8 })
	}
	gt.h.submitN("c", 15, func(t *wire.Ticket) { t.InputCost = 100 })
	gt.fillers = gt.h.grantAll()
	for _, n := range []string{"a", "b", "c"} {
		gt.replaceWaiting(n, exactEstimate)
	}
	return gt
}

// misleadingGap returns how far the gap between a and b moved, and the contract of both.
func misleadingGap(t *testing.T) (float64, config.Contract) {
	gt := newGapTest(t)
	gt.misleadThenLevel("b", "a", 6)
	gt.misleadThenLevel("a", "b", 6)
	return gt.maxGap - gt.minGap, gt.h.cfg.Contracts["a"]
}

// The fairness gap must stay within the bound of the design page, (2K + 1) c / w per
// account over any interval, when estimates are too low and too high in turn. It must also
// exceed the (K + 1) c / w per account that constant estimates allow, since a smaller gap
// would not test the bound.
func TestFairnessBoundWithMisleadingEstimates(t *testing.T) {
	gap, ct := misleadingGap(t)
	constant := 2 * float64(ct.Concurrency+1) * 100 / ct.Weight
	if bound := pairBound(ct, ct); gap > bound || gap <= constant {
		t.Fatalf("gap moved by %.0f within one interval, want more than %.0f and at most %.0f", gap, constant, bound)
	}
}

// Each change of the scheduler may widen the gap by at most (K + 1) c / w per account. No
// message carries a correction after an account's last grant, so the tag that the next
// scheduler continues from is up to K c / w too low or (K + 1) c / w too high.
func TestFairnessGapWithLostCorrections(t *testing.T) {
	for _, changes := range []int{1, 2, 4} {
		gt := newGapTest(t)
		gt.misleadThenLevel("a", "b", 6)
		for range changes {
			gt.mislead("b", "a", 6)
			gt.changeScheduler()
			gt.levelTags()
		}
		ct := gt.h.cfg.Contracts["a"]
		bound := pairBound(ct, ct) + float64(changes)*2*float64(ct.Concurrency+1)*100/ct.Weight
		t.Logf("%d changes: gap moved by %.0f, bound %.0f", changes, gt.maxGap-gt.minGap, bound)
		if gt.maxGap-gt.minGap > bound {
			t.Errorf("%d changes: gap moved by %.0f, bound %.0f", changes, gt.maxGap-gt.minGap, bound)
		}
	}
}

// The fairness gap must stay within the bound over an interval with a change of the
// scheduler. It would not if, for example, the estimates of adopted requests were not
// corrected when they end.
func TestFairnessGapAcrossSchedulerChanges(t *testing.T) {
	for _, seed := range []uint64{0, 1, 2, 3, 156, 501, 559} {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			m := newModel(t, seed)
			m.acrossSchedulers = true
			m.run(seed)
		})
	}
}
