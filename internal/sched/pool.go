package sched

import (
	"math/rand/v2"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/retry"
	"marigoldshunt/internal/wire"
)

const (
	crashesUpstreams = fault.CrashesUpstreams

	// lookAhead is how many of an account's first tickets are tried when quarantine limits
	// or an upstream to avoid prevent the start of the first one.
	lookAhead = 8
	// avoidWait is how long a ticket waits for an upstream other than the one to avoid
	// while the others in service are full.
	avoidWait = time.Second
	// wakeInterval is the minimum time between two calls of wakeParked by Expire. They are
	// needed because avoidWait and crash marks expire without an event. A freed slot wakes
	// parked accounts at once.
	wakeInterval = 20 * time.Millisecond
	// defaultMaxWait and defaultMaxRun apply when neither the ticket nor the contract sets
	// a limit.
	defaultMaxWait = 30 * time.Second
	defaultMaxRun  = 10 * time.Minute
	// queueFullRetry is the retry delay suggested to a client whose account's queue is full.
	queueFullRetry = 250 * time.Millisecond
)

// Pool is the scheduler state of one pool. It is not safe for concurrent use.
//
// Invariants between calls: a ready account is in the heap exactly once; a ready account's
// running count is below its concurrency limit; a grant never raises an upstream's limit;
// the virtual time never decreases.
type Pool struct {
	pool config.Pool
	rng  *rand.Rand

	virtualTime float64
	accounts    map[string]*account
	heap        accountHeap
	parked      []*account

	upstreams map[string]*upstream
	// sortedUpstreams lists the upstreams by name, including removed ones with running
	// requests.
	sortedUpstreams []*upstream
	// inService counts the upstreams that are not out of service.
	inService  int
	longestRun time.Duration

	tickets     map[wire.TicketID]*ticketState
	freeTickets []*ticketState
	deadlines   deadlineHeap
	waiting     int
	running     int
	orphans     int
	// resend lists the tickets whose grants a router has not received.
	resend  []wire.TicketID
	refused []wire.Refusal
	// nextWake is when Expire next makes the parked accounts ready.
	nextWake time.Duration

	fingerprints     map[wire.Digest]*fingerprint
	provenLRU        lruList
	markedLRU        lruList
	freeFingerprints *fingerprint

	budget retry.Budget
}

// New returns a Pool without accounts or upstreams; Configure supplies them.
func New(opts Options) *Pool {
	return &Pool{
		pool:         opts.Pool,
		rng:          rand.New(rand.NewPCG(uint64(opts.Seed), 0)),
		accounts:     map[string]*account{},
		upstreams:    map[string]*upstream{},
		tickets:      map[wire.TicketID]*ticketState{},
		fingerprints: map[wire.Digest]*fingerprint{},
		budget:       retry.NewBudget(opts.Policy.RetryPercent),
		longestRun:   defaultMaxRun,
	}
}

// Submit queues a ticket. It returns nil when the ticket is queued or already known, and
// otherwise a refusal with one of the codes pool_not_allowed, request_crashes_upstreams,
// queue_full, retry_budget_spent and rate_limited. A retry takes no rate token, since the
// first attempt took one.
func (p *Pool) Submit(now time.Duration, t *wire.Ticket) *wire.Refusal {
	if p.tickets[t.ID] != nil {
		return nil
	}
	a := p.accounts[t.Account]
	if a == nil || a.removed {
		return p.refusal(t.ID, fault.PoolNotAllowed, 0)
	}
	if f := p.fingerprints[t.Fingerprint]; f != nil {
		f.expireCrashMarks(now)
		if f.refusable() {
			return p.refusal(t.ID, crashesUpstreams, f.markedUntil-now)
		}
	}
	if a.waiting >= a.contract.QueueLength {
		return p.refusal(t.ID, fault.QueueFull, queueFullRetry)
	}
	if t.Again {
		p.enqueue(now, a, t)
		return nil
	}
	if t.Retry {
		if !p.budget.Take() {
			return p.refusal(t.ID, fault.RetryBudgetSpent, 0)
		}
	} else {
		if wait, ok := a.takeToken(now); !ok {
			return p.refusal(t.ID, fault.RateLimited, wait)
		}
		p.budget.AddFirstAttempt()
	}
	p.enqueue(now, a, t)
	return nil
}

func (p *Pool) refusal(id wire.TicketID, code fault.Code, after time.Duration) *wire.Refusal {
	return &wire.Refusal{ID: id, Pool: p.pool.Name, Code: code, RetryAfter: max(after, 0)}
}

// newTicketState adds a ticket that the pool does not know yet.
func (p *Pool) newTicketState(t *wire.Ticket, a *account) *ticketState {
	var ts *ticketState
	if n := len(p.freeTickets); n > 0 {
		ts = p.freeTickets[n-1]
		p.freeTickets = p.freeTickets[:n-1]
	} else {
		ts = &ticketState{}
	}
	*ts = ticketState{ticket: *t, account: a, deadlineIndex: -1}
	if c := ts.ticket.InputCost; !(c >= 0) {
		ts.ticket.InputCost = 0
	}
	ts.fp = p.ref(t.Fingerprint)
	p.tickets[t.ID] = ts
	return ts
}

// drop removes a ticket that neither waits nor runs.
func (p *Pool) drop(ts *ticketState) {
	delete(p.tickets, ts.ticket.ID)
	p.unref(ts.fp)
	*ts = ticketState{}
	p.freeTickets = append(p.freeTickets, ts)
}

func (p *Pool) enqueue(now time.Duration, a *account, t *wire.Ticket) {
	ts := p.newTicketState(t, a)
	ts.submittedAt = now
	ts.deadline = now + a.maxWait(t)
	a.queue.push(ts)
	p.deadlines.push(ts)
	a.waiting++
	p.waiting++
	p.updatePhase(a, true)
}

// maxWait returns how long a ticket may wait for a slot.
func (a *account) maxWait(t *wire.Ticket) time.Duration {
	wait := a.contract.MaxWait
	if wait <= 0 {
		wait = defaultMaxWait
	}
	if t.MaxWait > 0 {
		wait = min(wait, t.MaxWait)
	}
	return wait
}

// dequeue takes a waiting ticket out of its account's queue. The caller then updates the
// account's phase.
func (p *Pool) dequeue(ts *ticketState) {
	ts.account.queue.remove(ts)
	p.deadlines.remove(ts)
	ts.account.waiting--
	p.waiting--
}

// withdraw removes a waiting ticket.
func (p *Pool) withdraw(ts *ticketState) {
	a := ts.account
	p.dequeue(ts)
	p.drop(ts)
	p.updatePhase(a, true)
}

// refuse withdraws a waiting ticket and stores its refusal, which Expire returns.
func (p *Pool) refuse(ts *ticketState, code fault.Code, after time.Duration) {
	p.refused = append(p.refused, *p.refusal(ts.ticket.ID, code, after))
	p.withdraw(ts)
}

// Cancel withdraws a waiting ticket. A granted one ends only with Finish or Return.
func (p *Pool) Cancel(now time.Duration, id wire.TicketID) {
	if ts := p.tickets[id]; ts != nil && ts.upstream == nil {
		p.withdraw(ts)
	}
}

// Next refuses expired tickets and returns the next grant: first the grants that a router
// has not received, then, of the ready account with the lowest tag, the first ticket that
// may use a free slot. Callers repeat it until it returns false. In steady state it
// allocates no memory.
func (p *Pool) Next(now time.Duration) (Grant, bool) {
	p.expireWaiting(now)
	for len(p.resend) > 0 {
		id := p.resend[len(p.resend)-1]
		p.resend = p.resend[:len(p.resend)-1]
		ts := p.tickets[id]
		if ts == nil || !ts.resend {
			continue
		}
		ts.resend = false
		if !ts.orphan {
			return p.grantOf(ts), true
		}
	}
	for len(p.heap.items) > 0 && p.anyFreeSlot() {
		a := p.heap.items[0]
		ts, u := p.findPlacement(now, a)
		if u == nil {
			p.park(a)
			continue
		}
		p.startTicket(now, ts, u)
		return p.grantOf(ts), true
	}
	p.recordLive(now)
	return Grant{}, false
}

func (p *Pool) anyFreeSlot() bool {
	for _, u := range p.sortedUpstreams {
		if u.hasFreeSlot() {
			return true
		}
	}
	return false
}

func (p *Pool) grantOf(ts *ticketState) Grant {
	return Grant{
		ID: ts.ticket.ID, Account: ts.account.name,
		Upstream: ts.upstream.name, Address: ts.upstream.address,
		Tag: ts.account.tag, Virtual: p.virtualTime, Estimate: ts.estimate,
		Instance: ts.upstream.instance, Limit: ts.upstream.limit,
	}
}

// startTicket grants a waiting ticket. It advances the virtual time to the account's tag
// and charges the estimate to the account.
func (p *Pool) startTicket(now time.Duration, ts *ticketState, u *upstream) {
	a := ts.account
	p.virtualTime = max(p.virtualTime, a.tag)
	p.dequeue(ts)
	ts.estimate = p.estimate(a, ts.ticket.InputCost)
	ts.weight = a.weight()
	if !u.hasGranted {
		u.hasGranted, u.firstGrantAt = true, now
	}
	p.occupySlot(now, ts, u)
	p.charge(a, ts.estimate, ts.weight)
	a.publishedTag = max(a.publishedTag, a.tag)
	u.prefixes.add(ts.ticket.Prefix)
	p.updatePhase(a, false)
}

// occupySlot records that a ticket occupies a slot of an upstream.
func (p *Pool) occupySlot(now time.Duration, ts *ticketState, u *upstream) {
	ts.upstream, ts.grantedAt = u, now
	ts.epoch, ts.instance = u.epoch, u.instance
	ts.account.running++
	p.running++
	u.live++
	u.attach(ts)
	p.startTrial(ts, u)
}

// findPlacement returns the first ticket within the look-ahead that may use a free slot,
// and the upstream.
func (p *Pool) findPlacement(now time.Duration, a *account) (*ticketState, *upstream) {
	tried := 0
	for i := a.queue.head; i != a.queue.tail && tried < lookAhead; i++ {
		ts := *a.queue.at(i)
		if ts == nil {
			continue
		}
		if u := p.chooseUpstream(now, ts); u != nil {
			return ts, u
		}
		tried++
	}
	return nil, nil
}

// chooseUpstream returns the upstream for a ticket, nil if none may take it now. It prefers
// an upstream in the router's data centre that has the prefix cached, then any there, then
// any elsewhere. Among these the lowest occupied fraction of the limit wins, and ties are
// broken at random.
func (p *Pool) chooseUpstream(now time.Duration, ts *ticketState) *upstream {
	var best *upstream
	bestRank, equalCount := 0, 0
	avoided := (*upstream)(nil)
	hasAlternative := false
	for _, u := range p.sortedUpstreams {
		if !u.usable() || !p.allows(now, ts.fp, u) {
			continue
		}
		if u.name == ts.ticket.Avoid {
			avoided = u
			continue
		}
		hasAlternative = true
		if !u.hasFreeSlot() {
			continue
		}
		rank := 2
		if u.dataCentre == ts.ticket.DataCentre {
			rank = 1
			if u.prefixes.has(ts.ticket.Prefix) {
				rank = 0
			}
		}
		loadOrder := 0
		if best != nil {
			loadOrder = compareLoad(rank, bestRank, u, best)
		}
		switch {
		case best == nil || loadOrder < 0:
			best, bestRank, equalCount = u, rank, 1
		case loadOrder == 0:
			equalCount++
			if p.rng.IntN(equalCount) == 0 {
				best = u
			}
		}
	}
	if best == nil && avoided != nil && avoided.hasFreeSlot() && (!hasAlternative || now-ts.submittedAt >= avoidWait) {
		return avoided
	}
	return best
}

// compareLoad orders upstreams by rank, then by occupied fraction of the limit.
func compareLoad(rank, otherRank int, u, other *upstream) int {
	if rank != otherRank {
		return rank - otherRank
	}
	return u.occupied()*other.limit - other.occupied()*u.limit
}

// expireWaiting refuses tickets whose wait deadline has passed.
func (p *Pool) expireWaiting(now time.Duration) {
	for len(p.deadlines.items) > 0 && p.deadlines.items[0].deadline <= now {
		p.refuse(p.deadlines.items[0], fault.WaitExpired, 0)
	}
}

// Expire appends the refusals of tickets whose wait deadline has passed or that can no
// longer be served, for example because their account was removed or their fingerprint
// quarantined. It also frees the slots of lost routers' grants and of unattributed requests
// whose longest run time has passed, and wakes parked accounts. Call it several times per
// second.
func (p *Pool) Expire(now time.Duration, out []wire.Refusal) []wire.Refusal {
	p.expireWaiting(now)
	p.expireSlots(now)
	if now >= p.nextWake {
		p.nextWake = now + wakeInterval
		p.wakeParked()
	}
	out = append(out, p.refused...)
	p.refused = p.refused[:0]
	return out
}
