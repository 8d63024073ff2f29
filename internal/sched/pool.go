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

	// lookAhead bounds how many of an account's first tickets are tried when its own
	// quarantine limits or an upstream to avoid keep the first one back.
	lookAhead = 8
	// avoidHold bounds how long a ticket waits for an upstream other than the one to
	// avoid while another one is in service but full.
	avoidHold = time.Second
	// wakeInterval bounds how often Expire tries held accounts again for the sake of
	// avoidHold and lapsed marks. Freed slots are tried at once.
	wakeInterval = 20 * time.Millisecond
	// defaultMaxWait and defaultMaxRun stand in for limits that neither the ticket nor the
	// contract states.
	defaultMaxWait = 30 * time.Second
	defaultMaxRun  = 10 * time.Minute
	// queueFullRetry is the delay suggested to a caller whose account's queue is full.
	queueFullRetry = 250 * time.Millisecond
)

// Pool is the scheduler state of one pool. It is not safe for concurrent use.
//
// Invariants between calls: a ready account is in the heap exactly once; an account's
// running count is below its concurrency while it is ready; an upstream's limit is never
// raised by a grant; the virtual time never decreases.
type Pool struct {
	pool config.Pool
	rng  *rand.Rand

	virtual  float64
	accounts map[string]*account
	heap     accountHeap
	held     []*account

	upstreams map[string]*upstream
	// order lists the upstreams by name, including removed ones with running requests.
	order []*upstream
	// inService counts the upstreams that are not out.
	inService  int
	longestRun time.Duration

	items     map[wire.TicketID]*item
	freeItems []*item
	due       dueHeap
	waiting   int
	running   int
	orphans   int
	// resend lists grants that a router has not received.
	resend  []wire.TicketID
	refused []wire.Refuse
	// nextWake is when Expire tries the held accounts again.
	nextWake time.Duration

	fingerprints map[wire.Digest]*fingerprint
	proven       fpList
	marked       fpList
	freeFP       *fingerprint

	budget retry.Budget
}

// New returns a Pool without accounts or upstreams; Configure supplies them.
func New(o Options) *Pool {
	return &Pool{
		pool:         o.Pool,
		rng:          rand.New(rand.NewPCG(uint64(o.Seed), 0)),
		accounts:     map[string]*account{},
		upstreams:    map[string]*upstream{},
		items:        map[wire.TicketID]*item{},
		fingerprints: map[wire.Digest]*fingerprint{},
		budget:       retry.NewBudget(o.Policy.RetryPercent),
		longestRun:   defaultMaxRun,
	}
}

// Submit queues a ticket. It returns nil when the ticket is queued or already known, and
// otherwise a refusal with one of the codes pool_not_allowed, request_crashes_upstreams,
// queue_full, retry_budget_spent and rate_limited. A retry takes no rate token, since its
// first attempt took one.
func (p *Pool) Submit(now time.Duration, t *wire.Ticket) *wire.Refuse {
	if p.items[t.ID] != nil {
		return nil
	}
	a := p.accounts[t.Account]
	if a == nil || a.removed {
		return p.refusal(t.ID, fault.PoolNotAllowed, 0)
	}
	if f := p.fingerprints[t.Fingerprint]; f != nil {
		f.lapse(now)
		if f.quarantined() {
			return p.refusal(t.ID, crashesUpstreams, f.until-now)
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
		p.budget.First()
	}
	p.enqueue(now, a, t)
	return nil
}

func (p *Pool) refusal(id wire.TicketID, code fault.Code, after time.Duration) *wire.Refuse {
	return &wire.Refuse{ID: id, Pool: p.pool.Name, Code: code, RetryAfter: max(after, 0)}
}

// newItem returns an item for a ticket that is not in the table yet.
func (p *Pool) newItem(t *wire.Ticket, a *account) *item {
	var it *item
	if n := len(p.freeItems); n > 0 {
		it = p.freeItems[n-1]
		p.freeItems = p.freeItems[:n-1]
	} else {
		it = &item{}
	}
	*it = item{ticket: *t, account: a, dueIndex: -1}
	if c := it.ticket.InputCost; !(c >= 0) {
		it.ticket.InputCost = 0
	}
	it.fp = p.ref(t.Fingerprint)
	p.items[t.ID] = it
	return it
}

// drop removes an item from the table. It must neither wait nor run.
func (p *Pool) drop(it *item) {
	delete(p.items, it.ticket.ID)
	p.unref(it.fp)
	*it = item{}
	p.freeItems = append(p.freeItems, it)
}

func (p *Pool) enqueue(now time.Duration, a *account, t *wire.Ticket) {
	it := p.newItem(t, a)
	it.submitted = now
	it.deadline = now + a.wait(t)
	a.queue.push(it)
	p.due.push(it)
	a.waiting++
	p.waiting++
	p.update(a, true)
}

// wait returns how long a ticket may wait for a slot.
func (a *account) wait(t *wire.Ticket) time.Duration {
	w := a.contract.MaxWait
	if w <= 0 {
		w = defaultMaxWait
	}
	if t.MaxWait > 0 {
		w = min(w, t.MaxWait)
	}
	return w
}

// dequeue takes a waiting item out of its queue; the caller then updates the account.
func (p *Pool) dequeue(it *item) {
	it.account.queue.remove(it)
	p.due.remove(it)
	it.account.waiting--
	p.waiting--
}

// withdraw forgets a waiting item.
func (p *Pool) withdraw(it *item) {
	a := it.account
	p.dequeue(it)
	p.drop(it)
	p.update(a, true)
}

// reject withdraws a waiting item and leaves its refusal for Expire.
func (p *Pool) reject(it *item, code fault.Code, after time.Duration) {
	p.refused = append(p.refused, *p.refusal(it.ticket.ID, code, after))
	p.withdraw(it)
}

// Cancel withdraws a waiting ticket. A granted one ends by Finish or Return.
func (p *Pool) Cancel(now time.Duration, id wire.TicketID) {
	if it := p.items[id]; it != nil && it.upstream == nil {
		p.withdraw(it)
	}
}

// Next returns the next grant: the first ticket that can be placed of the ready account
// with the least tag. Callers repeat it until it returns false. It allocates nothing.
func (p *Pool) Next(now time.Duration) (Grant, bool) {
	p.expireDue(now)
	for len(p.resend) > 0 {
		id := p.resend[len(p.resend)-1]
		p.resend = p.resend[:len(p.resend)-1]
		if it := p.items[id]; it != nil && it.upstream != nil && !it.orphan {
			return p.grantOf(it), true
		}
	}
	for len(p.heap.items) > 0 && p.anyFree() {
		a := p.heap.items[0]
		it, u := p.place(now, a)
		if u == nil {
			p.hold(a)
			continue
		}
		p.start(now, it, u)
		return p.grantOf(it), true
	}
	p.record(now)
	return Grant{}, false
}

func (p *Pool) anyFree() bool {
	for _, u := range p.order {
		if u.free() {
			return true
		}
	}
	return false
}

func (p *Pool) grantOf(it *item) Grant {
	return Grant{
		ID: it.ticket.ID, Account: it.account.name,
		Upstream: it.upstream.name, Address: it.upstream.address,
		Tag: it.account.tag, Virtual: p.virtual, Estimate: it.estimate,
		Instance: it.upstream.instance, Limit: it.upstream.limit,
	}
}

// start dispatches a waiting item: the virtual time follows the least tag, and the
// account is charged the estimate.
func (p *Pool) start(now time.Duration, it *item, u *upstream) {
	a := it.account
	p.virtual = max(p.virtual, a.tag)
	p.dequeue(it)
	it.estimate = p.estimate(a, it.ticket.InputCost)
	it.weight = a.weight()
	if !u.granted {
		u.granted, u.grantedAt = true, now
	}
	p.run(now, it, u)
	p.charge(a, it.estimate, it.weight)
	a.issued = max(a.issued, a.tag)
	u.cache.add(it.ticket.Prefix)
	p.update(a, false)
}

// run records that an item occupies a slot.
func (p *Pool) run(now time.Duration, it *item, u *upstream) {
	it.upstream, it.granted = u, now
	it.epoch, it.instance = u.epoch, u.instance
	it.account.running++
	p.running++
	u.live++
	u.attach(it)
	p.occupy(it, u)
}

// place finds the first ticket within the look-ahead that some free slot may take.
func (p *Pool) place(now time.Duration, a *account) (*item, *upstream) {
	tried := 0
	for i := a.queue.head; i != a.queue.tail && tried < lookAhead; i++ {
		it := *a.queue.at(i)
		if it == nil {
			continue
		}
		if u := p.choose(now, it); u != nil {
			return it, u
		}
		tried++
	}
	return nil, nil
}

// choose picks the upstream for a ticket: one that knows the prefix in the router's data
// centre, then any there, then any elsewhere, each by least loaded fraction. Equal ones
// are chosen at random.
func (p *Pool) choose(now time.Duration, it *item) *upstream {
	var best *upstream
	bestRank, equal := 0, 0
	avoided := (*upstream)(nil)
	alternative := false
	for _, u := range p.order {
		if !u.usable() || !p.allows(now, it.fp, u) {
			continue
		}
		if u.name == it.ticket.Avoid {
			avoided = u
			continue
		}
		alternative = true
		if !u.free() {
			continue
		}
		rank := 2
		if u.dataCentre == it.ticket.DataCentre {
			rank = 1
			if u.cache.has(it.ticket.Prefix) {
				rank = 0
			}
		}
		order := 0
		if best != nil {
			order = compareLoad(rank, bestRank, u, best)
		}
		switch {
		case best == nil || order < 0:
			best, bestRank, equal = u, rank, 1
		case order == 0:
			equal++
			if p.rng.IntN(equal) == 0 {
				best = u
			}
		}
	}
	if best == nil && avoided != nil && avoided.free() && (!alternative || now-it.submitted >= avoidHold) {
		return avoided
	}
	return best
}

// compareLoad orders by rank, then by occupied fraction of the limit.
func compareLoad(rank, otherRank int, u, other *upstream) int {
	if rank != otherRank {
		return rank - otherRank
	}
	return u.occupied()*other.limit - other.occupied()*u.limit
}

// expireDue refuses tickets whose wait ended.
func (p *Pool) expireDue(now time.Duration) {
	for len(p.due.items) > 0 && p.due.items[0].deadline <= now {
		p.reject(p.due.items[0], fault.WaitExpired, 0)
	}
}

// Expire appends refusals of tickets whose wait ended or that can no longer be served.
// It also releases slots whose request must have ended by its longest run time. It is
// called at least a few times per second.
func (p *Pool) Expire(now time.Duration, out []wire.Refuse) []wire.Refuse {
	p.expireDue(now)
	p.expireSlots(now)
	if now >= p.nextWake {
		p.nextWake = now + wakeInterval
		p.wakeHeld()
	}
	out = append(out, p.refused...)
	p.refused = p.refused[:0]
	return out
}
