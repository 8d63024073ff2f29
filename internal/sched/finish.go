package sched

import (
	"time"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/retry"
	"marigoldshunt/internal/wire"
)

// Finish ends a grant: the slot is freed, the estimate is replaced by the true cost, and
// the outcome updates the upstream. Repeated and unknown ids have no effect. A Finish
// for a ticket that waits here ends the ticket, since another scheduler granted it.
func (p *Pool) Finish(now time.Duration, f *wire.Finish) Effects {
	var eff Effects
	it := p.items[f.ID]
	if it == nil {
		return eff
	}
	if it.upstream == nil {
		p.withdraw(it)
		return eff
	}
	notRun := retry.RunStateOf(f.Outcome) == fault.NotRun
	cost := 0.0
	if !notRun {
		cost = p.trueCost(f.Cost, it.estimate)
	}
	if f.Outcome == wire.OutcomeDone {
		it.account.learn(cost, it.ticket.InputCost)
	}
	p.outcome(now, it, f, &eff)
	p.end(it, cost, notRun)
	return eff
}

// outcome applies what the end of an attempt says about its upstream and fingerprint.
func (p *Pool) outcome(now time.Duration, it *item, f *wire.Finish, eff *Effects) {
	u := it.upstream
	p.noteInstance(now, u, f.Instance, eff)
	current := it.epoch == u.epoch
	switch f.Outcome {
	case wire.OutcomeDone:
		p.prove(it.fp)
		if current {
			p.warm(u)
			p.observe(u, f.FirstByte)
		}
	case wire.OutcomeRefused:
		p.cool(u)
	case wire.OutcomeUnreachable:
		p.cool(u)
		u.refusedAt = now
		u.markSuspect(now)
		p.crashed(now, u, eff)
	case wire.OutcomeBroken:
		p.broke(now, it, eff)
	}
	if answered := f.Outcome == wire.OutcomeDone || f.Outcome == wire.OutcomeFailed; answered &&
		f.Queued >= 0 && now-u.adaptedAt >= adaptInterval {
		p.adapt(now, u, f.Queued)
	}
}

// Return ends a grant that the router did not use. The account gets the estimate back;
// a router that still wants a slot submits the ticket again.
func (p *Pool) Return(now time.Duration, id wire.TicketID) {
	if it := p.items[id]; it != nil && it.upstream != nil {
		p.end(it, 0, true)
	}
}

// end frees the slot of a granted item and charges the difference to the estimate.
func (p *Pool) end(it *item, cost float64, notRun bool) {
	a := it.account
	if it.uncharged {
		// An earlier scheduler charged the tag with an estimate that is unknown here.
		a.service += cost
	} else {
		p.charge(a, cost-it.estimate, it.weight)
	}
	p.release(it, notRun)
	p.wakeHeld()
}

// release frees the slot of a granted item and forgets the item.
func (p *Pool) release(it *item, notRun bool) {
	a, u := it.account, it.upstream
	p.vacate(it, notRun)
	u.detach(it)
	if it.orphan {
		u.orphans--
		p.orphans--
	} else {
		u.live--
	}
	a.running--
	p.running--
	p.drop(it)
	p.update(a, true)
	if a.removed && a.running == 0 {
		delete(p.accounts, a.name)
	}
	if u.removed && u.occupied() == 0 {
		p.forgetUpstream(u)
	}
}

// orphan keeps the slot of a grant whose router was lost.
func (p *Pool) orphan(now time.Duration, it *item) {
	if it.orphan {
		return
	}
	run := it.account.contract.MaxRun
	if run <= 0 {
		run = defaultMaxRun
	}
	it.orphan, it.orphanEnd = true, now+run
	it.upstream.live--
	it.upstream.orphans++
	p.orphans++
}

// releaseOrphans frees n slots of lost routers at an upstream, oldest grants first. The
// accounts stay charged with the estimates.
func (p *Pool) releaseOrphans(n int, u *upstream) {
	for ; n > 0; n-- {
		var oldest *item
		for _, it := range p.items {
			if it.orphan && it.upstream == u && (oldest == nil || earlier(it, oldest)) {
				oldest = it
			}
		}
		if oldest == nil {
			return
		}
		p.release(oldest, false)
	}
}

// earlier orders grants by time, then id, so that map order does not matter.
func earlier(a, b *item) bool {
	if a.granted != b.granted {
		return a.granted < b.granted
	}
	if a.ticket.ID.Host != b.ticket.ID.Host {
		return a.ticket.ID.Host < b.ticket.ID.Host
	}
	return a.ticket.ID.Seq < b.ticket.ID.Seq
}

// expireSlots frees slots whose request must have ended by the longest run time.
func (p *Pool) expireSlots(now time.Duration) {
	freed := false
	for _, u := range p.order {
		if u.other > 0 && now >= u.otherUntil {
			u.other = 0
			freed = true
		}
	}
	if p.orphans > 0 {
		for _, it := range p.items {
			if it.orphan && now >= it.orphanEnd {
				p.release(it, false)
				freed = true
			}
		}
	}
	if freed {
		p.wakeHeld()
	}
}
