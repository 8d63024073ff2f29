package sched

import (
	"slices"
	"time"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/retry"
	"marigoldshunt/internal/wire"
)

// Finish ends a grant: it frees the slot, replaces the estimate by the true cost, and
// updates the upstream from the outcome. Repeated and unknown ids have no effect. A Finish
// for a ticket that is waiting here withdraws the ticket, since another scheduler granted
// it.
func (p *Pool) Finish(now time.Duration, f *wire.Finish) Effects {
	var eff Effects
	ts := p.tickets[f.ID]
	if ts == nil {
		return eff
	}
	if ts.upstream == nil {
		p.withdraw(ts)
		return eff
	}
	notRun := retry.RunStateOf(f.Outcome) == fault.NotRun
	cost := 0.0
	if !notRun {
		cost = p.clampCost(f.Cost, ts.estimate)
	}
	if f.Outcome == wire.OutcomeDone {
		ts.account.updateMeanCost(cost, ts.ticket.InputCost)
	}
	p.applyOutcome(now, ts, f, &eff)
	p.endGrant(ts, cost, notRun)
	return eff
}

// applyOutcome updates the upstream and the fingerprint from the outcome of an attempt.
func (p *Pool) applyOutcome(now time.Duration, ts *ticketState, f *wire.Finish, eff *Effects) {
	u := ts.upstream
	p.updateInstance(now, u, f.Instance, eff)
	current := ts.epoch == u.epoch
	switch f.Outcome {
	case wire.OutcomeDone:
		p.recordSuccess(ts.fp)
		if current {
			p.countSuccess(u)
			p.recordLatency(u, f.FirstByte)
		}
	case wire.OutcomeRefused:
		p.resetToCold(u)
	case wire.OutcomeUnreachable:
		p.resetToCold(u)
		u.unreachableAt = now
		u.setSuspect(now)
		p.confirmCrash(now, u, eff)
	case wire.OutcomeBroken:
		p.recordBroken(now, ts, eff)
	}
	if answered := f.Outcome == wire.OutcomeDone || f.Outcome == wire.OutcomeFailed; answered &&
		f.Queued >= 0 && now-u.adaptedAt >= adaptInterval {
		p.adaptLimit(now, u, f.Queued)
	}
}

// Return ends a grant that the router did not use and refunds the estimate. A router that
// still needs a slot submits the ticket again.
func (p *Pool) Return(now time.Duration, id wire.TicketID) {
	if ts := p.tickets[id]; ts != nil && ts.upstream != nil {
		p.endGrant(ts, 0, true)
	}
}

// endGrant frees the slot of a granted ticket and charges the difference between cost and
// estimate.
func (p *Pool) endGrant(ts *ticketState, cost float64, notRun bool) {
	a := ts.account
	if ts.estimateUnknown {
		// An earlier scheduler charged the tag with an estimate that this one does not know.
		a.service += cost
	} else {
		p.charge(a, cost-ts.estimate, ts.weight)
	}
	p.releaseSlot(ts, notRun)
	p.wakeParked()
}

// releaseSlot frees the slot of a granted ticket and removes the ticket.
func (p *Pool) releaseSlot(ts *ticketState, notRun bool) {
	a, u := ts.account, ts.upstream
	p.endTrial(ts, notRun)
	u.detach(ts)
	if ts.orphan {
		u.orphans--
		p.orphans--
	} else {
		u.live--
	}
	a.running--
	p.running--
	p.drop(ts)
	p.updatePhase(a, true)
	if a.removed && a.running == 0 {
		delete(p.accounts, a.name)
	}
	p.forgetIfUnused(u)
}

// makeOrphan keeps the slot of a grant occupied after its router was lost, at most for the
// contract's longest run time.
func (p *Pool) makeOrphan(now time.Duration, ts *ticketState) {
	if ts.orphan {
		return
	}
	run := ts.account.contract.MaxRun
	if run <= 0 {
		run = defaultMaxRun
	}
	ts.orphan, ts.orphanUntil = true, now+run
	ts.upstream.live--
	ts.upstream.orphans++
	p.orphans++
}

// releaseOrphans frees n slots of lost routers at an upstream, oldest grants first. The
// accounts stay charged with the estimates.
func (p *Pool) releaseOrphans(n int, u *upstream) {
	for ; n > 0; n-- {
		var oldest *ticketState
		for _, ts := range p.tickets {
			if ts.orphan && ts.upstream == u && (oldest == nil || grantedBefore(ts, oldest)) {
				oldest = ts
			}
		}
		if oldest == nil {
			return
		}
		p.releaseSlot(oldest, false)
	}
}

// grantedBefore orders grants by time, then id, so that the result does not depend on map
// order.
func grantedBefore(a, b *ticketState) bool {
	if a.grantedAt != b.grantedAt {
		return a.grantedAt < b.grantedAt
	}
	if a.ticket.ID.Host != b.ticket.ID.Host {
		return a.ticket.ID.Host < b.ticket.ID.Host
	}
	return a.ticket.ID.Seq < b.ticket.ID.Seq
}

// expireSlots frees slots of lost routers' grants and of unattributed requests whose
// longest run time has passed.
func (p *Pool) expireSlots(now time.Duration) {
	freed := false
	for _, u := range slices.Backward(p.sortedUpstreams) { // forgetIfUnused removes u from the list
		if u.unattributed > 0 && now >= u.unattributedUntil {
			u.unattributed = 0
			p.forgetIfUnused(u)
			freed = true
		}
	}
	if p.orphans > 0 {
		for _, ts := range p.tickets {
			if ts.orphan && now >= ts.orphanUntil {
				p.releaseSlot(ts, false)
				freed = true
			}
		}
	}
	if freed {
		p.wakeParked()
	}
}
