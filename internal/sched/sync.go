package sched

import (
	"math"
	"time"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// DropRouter handles the loss of a router. It withdraws the router's waiting tickets of
// this and earlier boots. The slots of its grants stay occupied until a load report shows
// otherwise or the longest run time has passed.
func (p *Pool) DropRouter(now time.Duration, router string, boot uint64) {
	for _, ts := range p.tickets {
		if ts.ticket.ID.Host != router || ts.ticket.ID.Boot > boot {
			continue
		}
		if ts.upstream == nil {
			p.withdraw(ts)
		} else {
			p.makeOrphan(now, ts)
		}
	}
}

// Sync replaces what the pool knows about a router by the router's own view, and continues
// from the highest tags, the virtual time and the limits that the router has seen. Tickets
// of earlier boots of the router are handled as in DropRouter. A Sync of an earlier boot
// than the pool knows is ignored.
func (p *Pool) Sync(now time.Duration, router string, boot uint64, s *wire.Sync) {
	listed := make(map[wire.TicketID]bool, len(s.Waiting)+len(s.Running))
	for i := range s.Waiting {
		listed[s.Waiting[i].ID] = true
	}
	for i := range s.Running {
		listed[s.Running[i].Ticket.ID] = true
	}
	for id := range p.tickets {
		if id.Host == router && id.Boot > boot {
			return
		}
	}
	if boot > 0 {
		p.DropRouter(now, router, boot-1)
	}
	p.resumeTags(s)
	p.recordInheritedLimits(now, s.Limits)
	for id, ts := range p.tickets {
		if id.Host == router && id.Boot == boot && !listed[id] {
			p.dropUnlisted(ts)
		}
	}
	for i := range s.Running {
		if id := s.Running[i].Ticket.ID; id.Host == router && id.Boot == boot {
			p.adopt(now, &s.Running[i])
		}
	}
	for i := range s.Waiting {
		if id := s.Waiting[i].ID; id.Host == router && id.Boot == boot {
			p.readmit(now, &s.Waiting[i])
		}
	}
	p.wakeParked()
}

// dropUnlisted removes a ticket that its router no longer lists. The charge of a grant
// stays, since the true cost was in a message that did not arrive.
func (p *Pool) dropUnlisted(ts *ticketState) {
	if ts.upstream == nil {
		p.withdraw(ts)
	} else {
		p.releaseSlot(ts, false)
	}
}

// readmit queues a waiting ticket that an earlier scheduler admitted, without taking from
// the rate limit or the retry budget again. If this scheduler has granted the ticket, the
// router has not received the grant, so it is sent again.
func (p *Pool) readmit(now time.Duration, t *wire.Ticket) {
	if ts := p.tickets[t.ID]; ts != nil {
		if ts.upstream != nil {
			p.adoptOrphan(ts)
			if !ts.resend {
				ts.resend = true
				p.resend = append(p.resend, t.ID)
			}
		}
		return
	}
	a := p.accounts[t.Account]
	f := p.fingerprints[t.Fingerprint]
	var r *wire.Refusal
	switch {
	case a == nil || a.removed:
		r = p.refusal(t.ID, fault.PoolNotAllowed, 0)
	case f != nil && f.refusable():
		r = p.refusal(t.ID, crashesUpstreams, f.markedUntil-now)
	case a.waiting >= 2*a.contract.QueueLength:
		// The queue may grow to twice its length, so that tickets submitted here before the
		// Sync do not cause the refusal of tickets that an earlier scheduler admitted.
		r = p.refusal(t.ID, fault.QueueFull, queueFullRetry)
	}
	if r != nil {
		p.refused = append(p.refused, *r)
		return
	}
	p.enqueue(now, a, t)
}

// unknownGrantTime is before all times, so a crash of the request adds no mark if the upstream
// already has one for the fingerprint.
const unknownGrantTime = time.Duration(math.MinInt64)

// adopt takes over a running request that an earlier scheduler granted.
func (p *Pool) adopt(now time.Duration, r *wire.RunningRequest) {
	ts := p.tickets[r.Ticket.ID]
	if ts != nil && ts.upstream != nil {
		p.adoptOrphan(ts)
		ts.resend = false
		return
	}
	u := p.upstreams[r.Upstream]
	if u == nil {
		u = p.addUpstream(r.Upstream)
		u.removed, u.out = true, true
	}
	if ts != nil {
		p.dequeue(ts)
	} else {
		a := p.accounts[r.Ticket.Account]
		if a == nil {
			a = &account{name: r.Ticket.Account, removed: true}
			p.accounts[a.name] = a
		}
		ts = p.newTicketState(&r.Ticket, a)
	}
	// The tag already contains the estimate, charged by another scheduler. An estimate of 0
	// comes from a host that does not know it. The service of this scheduler does not
	// contain the estimate yet.
	ts.estimate, ts.weight = p.clampCost(r.Estimate, 0), ts.account.weight()
	ts.estimateUnknown = ts.estimate == 0
	ts.account.service += ts.estimate
	p.occupySlot(now, ts, u)
	// The grant is from an earlier epoch, so a success does not raise the upstream's limit.
	ts.epoch, ts.instance, ts.grantedAt = u.epoch-1, "", unknownGrantTime
	if r.Age > 0 {
		ts.grantedAt = now - r.Age
	}
	u.unattributed = max(u.unattributed-1, 0)
	p.updatePhase(ts.account, true)
}

// adoptOrphan returns an orphaned grant to its router.
func (p *Pool) adoptOrphan(ts *ticketState) {
	if !ts.orphan {
		return
	}
	ts.orphan = false
	ts.upstream.orphans--
	ts.upstream.live++
	p.orphans--
}

// resumeTags raises the virtual time and the tags to the values that another scheduler
// sent. Values that this scheduler sent itself change nothing, so refunds since then are
// kept.
func (p *Pool) resumeTags(s *wire.Sync) {
	if isFinite(s.Virtual) && s.Virtual > p.virtualTime {
		p.virtualTime = s.Virtual
		// Raising all tags to a common minimum keeps the heap order except among equal tags.
		for _, a := range p.heap.items {
			a.tag = max(a.tag, p.virtualTime)
		}
		for i := len(p.heap.items)/2 - 1; i >= 0; i-- {
			p.heap.down(i)
		}
	}
	for _, t := range s.Tags {
		a := p.accounts[t.Account]
		if a == nil || !isFinite(t.Tag) || t.Tag <= a.publishedTag {
			continue
		}
		// A tag is ahead of the virtual time by at most one grant and the corrections. The
		// limit keeps a faulty value from starving the account.
		a.publishedTag = min(t.Tag, p.virtualTime+p.boundShare(a)+p.maxCost()/a.weight())
		a.tag = max(a.tag, a.publishedTag)
		if a.phase == phaseReady {
			p.heap.fix(a)
		}
	}
}

func isFinite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }

// boundShare returns the account's part of the fairness bound, (2K+1) c / w: each of the K
// outstanding estimates may be too low at one end of an interval and too high at the
// other. Requests that still run after their upstream left or the concurrency limit was
// lowered count too.
func (p *Pool) boundShare(a *account) float64 {
	k := max(min(a.contract.Concurrency, p.slots()), a.running)
	return float64(2*k+1) * p.maxCost() / a.weight()
}

// slots returns the number of slots of the pool when all upstreams in service are warm.
func (p *Pool) slots() int { return p.inService * p.maxLimit() }
