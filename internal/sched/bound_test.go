package sched

import (
	"fmt"
	"testing"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/wire"
)

// gapTest drives three accounts, two of which alternate between requests that cost
// their estimate, less (over) and more (under) than it.
type gapTest struct {
	t       *testing.T
	h       *harness
	waiting map[string][]wire.TicketID
	fillers []Grant
	service map[string]float64
	// highestTags are the highest tags in grants.
	highestTags map[string]float64
	// minGap and most are the extremes of the gap between a and b.
	minGap, maxGap float64
}

const (
	costEqual = "exact"
	costAbove = "under"
	costBelow = "over"
)

// replaceWaiting replaces the waiting tickets of an account without leaving it idle.
func (b *gapTest) replaceWaiting(account, kind string) {
	old := b.waiting[account]
	b.waiting[account] = nil
	for range 2 {
		id, code := b.h.submit(account, func(t *wire.Ticket) {
			if kind != costAbove {
				t.InputCost = 100
			}
		})
		if code != "" {
			b.t.Fatalf("refused: %s", code)
		}
		b.waiting[account] = append(b.waiting[account], id)
	}
	for _, id := range old {
		b.h.p.Cancel(b.h.now, id)
	}
}

// grant takes the next grant and counts its true cost at dispatch.
func (b *gapTest) grant(kinds map[string]string) (Grant, string) {
	g, ok := b.h.p.Next(b.h.now)
	if !ok {
		b.t.Fatal("no grant")
	}
	b.highestTags[g.Account] = max(b.highestTags[g.Account], g.Tag)
	kind := kinds[g.Account]
	if kind != costBelow {
		b.service[g.Account] += 100
	}
	b.replaceWaiting(g.Account, kind)
	for _, n := range []string{"a", "b"} {
		if s := b.h.accountStatus(n); s.Waiting == 0 || s.Blocked {
			b.t.Fatalf("account %s is not eligible all the time", n)
		}
	}
	gap := b.service["a"] - b.service["b"]
	b.minGap, b.maxGap = min(b.minGap, gap), max(b.maxGap, gap)
	return g, kind
}

// end finishes a request without an effect on the account's mean.
func (b *gapTest) end(g Grant, kind string) {
	cost := 100.0
	if kind == costBelow {
		cost = 0
	}
	b.h.finish(g, wire.OutcomeCancelled, cost)
}

// startMany runs until the account holds n requests of the kind. All others end at once.
func (b *gapTest) startMany(account, kind string, n int) []Grant {
	var held []Grant
	for len(held) < n {
		b.replaceWaiting(account, kind)
		g, k := b.grant(map[string]string{"a": costEqual, "b": costEqual, "c": costEqual, account: kind})
		if g.Account != account {
			b.end(g, k)
			continue
		}
		held = append(held, g)
		b.end(b.fillers[0], costEqual)
		b.fillers = b.fillers[1:]
	}
	b.replaceWaiting(account, costEqual)
	return held
}

// misleadThenLevel lets one account run n requests that cost more than estimated while another one
// runs n that cost less, and then serves everybody until the tags are level.
func (b *gapTest) misleadThenLevel(cheap, dear string, n int) {
	b.mislead(cheap, dear, n)
	b.levelTags()
}

// mislead is the first half of phase.
func (b *gapTest) mislead(cheap, dear string, n int) {
	below := b.startMany(cheap, costBelow, n)
	above := b.startMany(dear, costAbove, n)
	b.t.Logf("%s runs %d requests above and %s %d below their estimate: gap %.0f",
		dear, n, cheap, n, b.service["a"]-b.service["b"])
	for i := range n {
		b.end(below[i], costBelow)
		b.end(above[i], costAbove)
	}
}

// levelTags serves everybody until the tags are level, and fills the pool with requests of c.
func (b *gapTest) levelTags() {
	all := map[string]string{"a": costEqual, "b": costEqual, "c": costEqual}
	for range 100 {
		g, k := b.grant(all)
		b.end(g, k)
	}
	b.t.Logf("tags level: gap %.0f", b.service["a"]-b.service["b"])
	for len(b.fillers) < 15 {
		if g, k := b.grant(all); g.Account == "c" {
			b.fillers = append(b.fillers, g)
		} else {
			b.end(g, k)
		}
	}
}

// changeScheduler replaces the scheduler. Its routers have seen the tags of all grants, but
// no message carries the corrections since each account's last grant.
func (b *gapTest) changeScheduler() {
	ticket := func(account string, id wire.TicketID) wire.Ticket {
		return wire.Ticket{ID: id, Pool: "m", Account: account, DataCentre: "d0", InputCost: 100}
	}
	s := &wire.Sync{Virtual: b.h.p.virtualTime}
	for _, n := range []string{"a", "b", "c"} {
		s.Tags = append(s.Tags, wire.AccountTag{Account: n, Tag: b.highestTags[n]})
		for _, id := range b.waiting[n] {
			s.Waiting = append(s.Waiting, ticket(n, id))
		}
	}
	for _, g := range b.fillers {
		s.Running = append(s.Running, wire.Running{Ticket: ticket("c", g.ID), Upstream: g.Upstream, Estimate: g.Estimate})
	}
	b.h.replacePool()
	b.h.p.Sync(b.h.now, "r", 1, s)
}

func newGapTest(t *testing.T) *gapTest {
	b := &gapTest{t: t, h: newHarness(fixedLimit(16), 1), waiting: map[string][]wire.TicketID{}, service: map[string]float64{}, highestTags: map[string]float64{}}
	pool := b.h.cfg.Pools["m"]
	pool.DefaultCost = 0
	b.h.cfg.Pools["m"], b.h.options.Pool = pool, pool
	for _, n := range []string{"a", "b"} {
		b.h.editContract(n, func(ct *config.Contract) { ct.Concurrency = 8 })
	}
	b.h.submitN("c", 15, func(t *wire.Ticket) { t.InputCost = 100 })
	b.fillers = b.h.grantAll()
	for _, n := range []string{"a", "b", "c"} {
		b.replaceWaiting(n, costEqual)
	}
	return b
}

// misleadingGap returns how far the gap between a and b moved, and the contract of both.
func misleadingGap(t *testing.T) (float64, config.Contract) {
	b := newGapTest(t)
	b.misleadThenLevel("b", "a", 6)
	b.misleadThenLevel("a", "b", 6)
	return b.maxGap - b.minGap, b.h.cfg.Contracts["a"]
}

// Guards against a fairness gap beyond the bound of the design page, (2K + 1) c / w per
// account over any interval, and against a trial that does not mislead: a gap within the
// (K + 1) c / w per account of constant estimates would not test the bound.
func TestFairnessBoundWithMisleadingEstimates(t *testing.T) {
	gap, ct := misleadingGap(t)
	constant := 2 * float64(ct.Concurrency+1) * 100 / ct.Weight
	if bound := pairBound(ct, ct); gap > bound || gap <= constant {
		t.Fatalf("gap moved by %.0f within one interval, want more than %.0f and at most %.0f", gap, constant, bound)
	}
}

// Guards against a gap that grows by more than (K + 1) c / w per account and change of the
// scheduler. A correction after an account's last grant is in no message, so the tag that
// the next scheduler continues from is up to K c / w too low or (K + 1) c / w too high.
func TestFairnessGapWithLostCorrections(t *testing.T) {
	for _, changes := range []int{1, 2, 4} {
		b := newGapTest(t)
		b.misleadThenLevel("a", "b", 6)
		for range changes {
			b.mislead("b", "a", 6)
			b.changeScheduler()
			b.levelTags()
		}
		ct := b.h.cfg.Contracts["a"]
		bound := pairBound(ct, ct) + float64(changes)*2*float64(ct.Concurrency+1)*100/ct.Weight
		t.Logf("%d changes: gap moved by %.0f, bound %.0f", changes, b.maxGap-b.minGap, bound)
		if b.maxGap-b.minGap > bound {
			t.Errorf("%d changes: gap moved by %.0f, bound %.0f", changes, b.maxGap-b.minGap, bound)
		}
	}
}

// Guards against a fairness gap that exceeds the bound over an interval with a change of
// the scheduler, for example because adopted requests are not corrected at their end.
func TestFairnessGapAcrossSchedulerChanges(t *testing.T) {
	for _, seed := range []uint64{0, 1, 2, 3, 156, 501, 559} {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			m := newModel(t, seed)
			m.acrossSchedulers = true
			m.run(seed)
		})
	}
}
