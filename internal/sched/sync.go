package sched

import (
	"math"
	"time"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// DropRouter forgets a lost router: its tickets of this and earlier boots go, and its
// grants stay occupied until a load report or the longest run time shows otherwise.
func (p *Pool) DropRouter(now time.Duration, router string, boot uint64) {
	for _, it := range p.items {
		if it.ticket.ID.Host != router || it.ticket.ID.Boot > boot {
			continue
		}
		if it.upstream == nil {
			p.withdraw(it)
		} else {
			p.orphan(now, it)
		}
	}
}

// Sync replaces what the pool knows about a router with the router's own view, and
// continues from the highest tags, the virtual time and the limits that the router has seen. Tickets of
// earlier boots of the router go as in DropRouter; a Sync of an earlier boot than the
// pool knows is ignored.
func (p *Pool) Sync(now time.Duration, router string, boot uint64, s *wire.Sync) {
	listed := make(map[wire.TicketID]bool, len(s.Waiting)+len(s.Running))
	for i := range s.Waiting {
		listed[s.Waiting[i].ID] = true
	}
	for i := range s.Running {
		listed[s.Running[i].Ticket.ID] = true
	}
	for id := range p.items {
		if id.Host == router && id.Boot > boot {
			return
		}
	}
	if boot > 0 {
		p.DropRouter(now, router, boot-1)
	}
	p.continueFrom(s)
	p.inherit(now, s.Limits)
	for id, it := range p.items {
		if id.Host == router && id.Boot == boot && !listed[id] {
			p.lost(it)
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
	p.wakeHeld()
}

// lost drops an item that its router no longer knows. A grant's charge stays, since the
// true cost was in a message that did not arrive.
func (p *Pool) lost(it *item) {
	if it.upstream == nil {
		p.withdraw(it)
	} else {
		p.release(it, false)
	}
}

// readmit queues a waiting ticket that an earlier scheduler admitted, without charging
// its rate or the retry budget again. A ticket granted here has not reached the router
// yet, so its grant is sent again.
func (p *Pool) readmit(now time.Duration, t *wire.Ticket) {
	if it := p.items[t.ID]; it != nil {
		if it.upstream != nil {
			p.adoptOrphan(it)
			p.resend = append(p.resend, t.ID)
		}
		return
	}
	a := p.accounts[t.Account]
	f := p.fingerprints[t.Fingerprint]
	var r *wire.Refuse
	switch {
	case a == nil || a.removed:
		r = p.refusal(t.ID, fault.PoolNotAllowed, 0)
	case f != nil && f.quarantined():
		r = p.refusal(t.ID, crashesUpstreams, f.until-now)
	case a.waiting >= 2*a.contract.QueueLength:
		// Tickets that arrived here first do not displace admitted ones, within a bound.
		r = p.refusal(t.ID, fault.QueueFull, queueFullRetry)
	}
	if r != nil {
		p.refused = append(p.refused, *r)
		return
	}
	p.enqueue(now, a, t)
}

// adopt takes over a running request that an earlier scheduler granted.
func (p *Pool) adopt(now time.Duration, r *wire.Running) {
	it := p.items[r.Ticket.ID]
	if it != nil && it.upstream != nil {
		p.adoptOrphan(it)
		return
	}
	u := p.upstreams[r.Upstream]
	if u == nil {
		u = p.addUpstream(r.Upstream)
		u.removed, u.out = true, true
	}
	if it != nil {
		p.dequeue(it)
	} else {
		a := p.accounts[r.Ticket.Account]
		if a == nil {
			a = &account{name: r.Ticket.Account, removed: true}
			p.accounts[a.name] = a
		}
		it = p.newItem(&r.Ticket, a)
	}
	// The tag already contains the estimate, which another scheduler charged. Zero comes
	// from a host that does not know it. Service has no such charge, so it starts here.
	it.estimate, it.weight = p.trueCost(r.Estimate, 0), it.account.weight()
	it.uncharged = it.estimate == 0
	it.account.service += it.estimate
	p.run(now, it, u)
	// The start is unknown, so a success does not warm the upstream, and a crash counts as
	// the one of a mark that is already known.
	it.epoch, it.instance, it.granted = u.epoch-1, "", 0
	u.other = max(u.other-1, 0)
	p.update(it.account, true)
}

// adoptOrphan gives a grant back to its router.
func (p *Pool) adoptOrphan(it *item) {
	if !it.orphan {
		return
	}
	it.orphan = false
	it.upstream.orphans--
	it.upstream.live++
	p.orphans--
}

// continueFrom raises the virtual time and the tags to the values that another scheduler
// gave out. Values of this scheduler are known here and change nothing, which keeps
// later refunds.
func (p *Pool) continueFrom(s *wire.Sync) {
	if finite(s.Virtual) && s.Virtual > p.virtual {
		p.virtual = s.Virtual
		// Raising all tags to one value keeps the order of the heap but for equal tags.
		for _, a := range p.heap.items {
			a.tag = max(a.tag, p.virtual)
		}
		for i := len(p.heap.items)/2 - 1; i >= 0; i-- {
			p.heap.down(i)
		}
	}
	for _, t := range s.Tags {
		a := p.accounts[t.Account]
		if a == nil || !finite(t.Tag) || t.Tag <= a.issued {
			continue
		}
		// A tag is at most one dispatch and the corrections ahead of the virtual time.
		// The limit keeps a faulty value from locking the account out.
		a.issued = min(t.Tag, p.virtual+p.share(a)+p.maxCost()/a.weight())
		a.tag = max(a.tag, a.issued)
		if a.phase == phaseReady {
			p.heap.fix(a)
		}
	}
}

func finite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }

// share is the account's part of the fairness bound, (2K+1) c / w: each of the K
// outstanding estimates may be too low at one end of an interval and too high at the
// other. Requests that run on after their upstream left or the concurrency was lowered
// count too.
func (p *Pool) share(a *account) float64 {
	k := max(min(a.contract.Concurrency, p.slots()), a.running)
	return float64(2*k+1) * p.maxCost() / a.weight()
}

// slots is the number of slots of the pool when all upstreams in service are warm.
func (p *Pool) slots() int { return p.inService * p.maxLimit() }
