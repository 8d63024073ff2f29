package sched

import (
	"fmt"
	"testing"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/wire"
)

// boundTrial drives three accounts, two of which alternate between requests that cost
// their estimate, less (over) and more (under) than it.
type boundTrial struct {
	t       *testing.T
	w       *world
	next    map[string][]wire.TicketID
	filler  []Grant
	service map[string]float64
	// seen are the highest tags in grants.
	seen map[string]float64
	// least and most are the extremes of the gap between a and b.
	least, most float64
}

const (
	exact = "exact"
	under = "under"
	over  = "over"
)

// want replaces the waiting tickets of an account without leaving it idle.
func (b *boundTrial) want(account, kind string) {
	old := b.next[account]
	b.next[account] = nil
	for range 2 {
		id, code := b.w.submit(account, func(t *wire.Ticket) {
			if kind != under {
				t.InputCost = 100
			}
		})
		if code != "" {
			b.t.Fatalf("refused: %s", code)
		}
		b.next[account] = append(b.next[account], id)
	}
	for _, id := range old {
		b.w.p.Cancel(b.w.now, id)
	}
}

// grant takes the next grant and counts its true cost at dispatch.
func (b *boundTrial) grant(kinds map[string]string) (Grant, string) {
	g, ok := b.w.p.Next(b.w.now)
	if !ok {
		b.t.Fatal("no grant")
	}
	b.seen[g.Account] = max(b.seen[g.Account], g.Tag)
	kind := kinds[g.Account]
	if kind != over {
		b.service[g.Account] += 100
	}
	b.want(g.Account, kind)
	for _, n := range []string{"a", "b"} {
		if s := b.w.account(n); s.Waiting == 0 || s.Blocked {
			b.t.Fatalf("account %s is not eligible all the time", n)
		}
	}
	gap := b.service["a"] - b.service["b"]
	b.least, b.most = min(b.least, gap), max(b.most, gap)
	return g, kind
}

// end finishes a request without an effect on the account's mean.
func (b *boundTrial) end(g Grant, kind string) {
	cost := 100.0
	if kind == over {
		cost = 0
	}
	b.w.finish(g, wire.OutcomeCancelled, cost)
}

// collect runs until the account holds n requests of the kind. All others end at once.
func (b *boundTrial) collect(account, kind string, n int) []Grant {
	var held []Grant
	for len(held) < n {
		b.want(account, kind)
		g, k := b.grant(map[string]string{"a": exact, "b": exact, "c": exact, account: kind})
		if g.Account != account {
			b.end(g, k)
			continue
		}
		held = append(held, g)
		b.end(b.filler[0], exact)
		b.filler = b.filler[1:]
	}
	b.want(account, exact)
	return held
}

// phase lets one account run n requests that cost more than estimated while another one
// runs n that cost less, and then serves everybody until the tags are level.
func (b *boundTrial) phase(cheap, dear string, n int) {
	b.mislead(cheap, dear, n)
	b.level()
}

// mislead is the first half of phase.
func (b *boundTrial) mislead(cheap, dear string, n int) {
	overs := b.collect(cheap, over, n)
	unders := b.collect(dear, under, n)
	b.t.Logf("%s runs %d requests above and %s %d below their estimate: gap %.0f",
		dear, n, cheap, n, b.service["a"]-b.service["b"])
	for i := range n {
		b.end(overs[i], over)
		b.end(unders[i], under)
	}
}

// level serves everybody until the tags are level, and fills the pool with requests of c.
func (b *boundTrial) level() {
	all := map[string]string{"a": exact, "b": exact, "c": exact}
	for range 100 {
		g, k := b.grant(all)
		b.end(g, k)
	}
	b.t.Logf("tags level: gap %.0f", b.service["a"]-b.service["b"])
	for len(b.filler) < 15 {
		if g, k := b.grant(all); g.Account == "c" {
			b.filler = append(b.filler, g)
		} else {
			b.end(g, k)
		}
	}
}

// changeScheduler replaces the scheduler. Its routers have seen the tags of all grants, but
// no message carries the corrections since each account's last grant.
func (b *boundTrial) changeScheduler() {
	ticket := func(account string, id wire.TicketID) wire.Ticket {
		return wire.Ticket{ID: id, Pool: "m", Account: account, DataCentre: "d0", InputCost: 100}
	}
	s := &wire.Sync{Virtual: b.w.p.virtual}
	for _, n := range []string{"a", "b", "c"} {
		s.Tags = append(s.Tags, wire.AccountTag{Account: n, Tag: b.seen[n]})
		for _, id := range b.next[n] {
			s.Waiting = append(s.Waiting, ticket(n, id))
		}
	}
	for _, g := range b.filler {
		s.Running = append(s.Running, wire.Running{Ticket: ticket("c", g.ID), Upstream: g.Upstream, Estimate: g.Estimate})
	}
	b.w.restart()
	b.w.p.Sync(b.w.now, "r", 1, s)
}

func newBoundTrial(t *testing.T) *boundTrial {
	b := &boundTrial{t: t, w: newWorld(fixed(16), 1), next: map[string][]wire.TicketID{}, service: map[string]float64{}, seen: map[string]float64{}}
	pool := b.w.cfg.Pools["m"]
	pool.DefaultCost = 0
	b.w.cfg.Pools["m"], b.w.opts.Pool = pool, pool
	for _, n := range []string{"a", "b"} {
		b.w.edit(n, func(ct *config.Contract) { ct.Concurrency = 8 })
	}
	b.w.submitN("c", 15, func(t *wire.Ticket) { t.InputCost = 100 })
	b.filler = b.w.drain()
	for _, n := range []string{"a", "b", "c"} {
		b.want(n, exact)
	}
	return b
}

// misleadingGap returns how far the gap between a and b moved, and the contract of both.
func misleadingGap(t *testing.T) (float64, config.Contract) {
	b := newBoundTrial(t)
	b.phase("b", "a", 6)
	b.phase("a", "b", 6)
	return b.most - b.least, b.w.cfg.Contracts["a"]
}

// Guards against a fairness gap beyond the bound of the design page, (2K + 1) c / w per
// account over any interval, and against a trial that does not mislead: a gap within the
// (K + 1) c / w per account of constant estimates would not test the bound.
func TestPageBoundWithMisleadingEstimates(t *testing.T) {
	gap, ct := misleadingGap(t)
	constant := 2 * float64(ct.Concurrency+1) * 100 / ct.Weight
	if bound := pairBound(ct, ct); gap > bound || gap <= constant {
		t.Fatalf("gap moved by %.0f within one interval, want more than %.0f and at most %.0f", gap, constant, bound)
	}
}

// Guards against a gap that grows by more than (K + 1) c / w per account and change of the
// scheduler. A correction after an account's last grant is in no message, so the tag that
// the next scheduler continues from is up to K c / w too low or (K + 1) c / w too high.
func TestGapWithLostCorrections(t *testing.T) {
	for _, changes := range []int{1, 2, 4} {
		b := newBoundTrial(t)
		b.phase("a", "b", 6)
		for range changes {
			b.mislead("b", "a", 6)
			b.changeScheduler()
			b.level()
		}
		ct := b.w.cfg.Contracts["a"]
		bound := pairBound(ct, ct) + float64(changes)*2*float64(ct.Concurrency+1)*100/ct.Weight
		t.Logf("%d changes: gap moved by %.0f, bound %.0f", changes, b.most-b.least, bound)
		if b.most-b.least > bound {
			t.Errorf("%d changes: gap moved by %.0f, bound %.0f", changes, b.most-b.least, bound)
		}
	}
}

// Guards against a fairness gap that exceeds the bound over an interval with a change of
// the scheduler, for example because adopted requests are not corrected at their end.
func TestGapAcrossSchedulerChanges(t *testing.T) {
	for _, seed := range []uint64{0, 1, 2, 3, 156, 501, 559} {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			m := newModel(t, seed)
			m.acrossTerms = true
			m.run(seed)
		})
	}
}
