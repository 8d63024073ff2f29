package sched

import (
	"math"
	"time"

	"marigoldshunt/internal/config"
)

// estimateWeight is the share of the newest request in an account's mean cost. With one
// eighth the mean follows a change of request sizes within some ten requests.
const estimateWeight = 1.0 / 8

// minEstimateShare keeps a dispatch from leaving the tag where it was, which would let
// one account take every slot before its first request ends.
const minEstimateShare = 1.0 / 1024

// phase says why an account is or is not in the heap.
type phase uint8

const (
	// phaseIdle: no ticket waits.
	phaseIdle phase = iota
	// phaseReady: in the heap.
	phaseReady
	// phaseBlocked: at the concurrency limit of its contract.
	phaseBlocked
	// phaseHeld: none of its first tickets may use the free slots, because of its own
	// quarantine limits or because the tickets avoid an upstream.
	phaseHeld
)

// account is the state of one client account in the pool.
type account struct {
	name     string
	contract config.Contract
	removed  bool

	tag float64
	// issued is the highest tag that this scheduler has given to routers or has taken
	// from them. A higher one in a Sync comes from another scheduler.
	issued float64
	// blockedAt is the pool's virtual time when the account became blocked or held.
	blockedAt float64
	phase     phase
	heapIndex int

	queue   ring
	waiting int
	running int

	// meanRest is the mean cost beyond the part known from the request's size.
	meanRest float64
	hasMean  bool
	service  float64

	tokens   float64
	tokensAt time.Duration
}

// weight returns the contract's weight. The configuration admits only positive weights;
// 1 stands in for anything else so that a tag stays finite.
func (a *account) weight() float64 {
	if w := a.contract.Weight; w > 0 && !math.IsInf(w, 1) {
		return w
	}
	return 1
}

// burst returns the size of the account's token bucket.
func (a *account) burst() float64 { return float64(max(a.contract.Burst, 1)) }

// refill adds the tokens earned since the last call.
func (a *account) refill(now time.Duration) {
	if now > a.tokensAt {
		a.tokens += (now - a.tokensAt).Seconds() * a.contract.RequestsPerSecond
		a.tokensAt = now
	}
	a.tokens = min(a.tokens, a.burst())
}

// takeToken pays for one request. When the bucket is empty it returns the time until
// the next token; a contract with rate 0 admits nothing.
func (a *account) takeToken(now time.Duration) (wait time.Duration, ok bool) {
	const rounding = 1e-9
	rate := a.contract.RequestsPerSecond
	if !(rate > 0) {
		return time.Minute, false
	}
	a.refill(now)
	if a.tokens >= 1-rounding {
		a.tokens = max(a.tokens-1, 0)
		return 0, true
	}
	return time.Duration(min((1-a.tokens)/rate, 3600) * float64(time.Second)), false
}

// learn updates the mean with the true cost of a complete answer.
func (a *account) learn(cost, known float64) {
	rest := max(cost-known, 0)
	if !a.hasMean {
		a.meanRest, a.hasMean = rest, true
		return
	}
	a.meanRest += (rest - a.meanRest) * estimateWeight
}

// estimate returns the expected cost of a request with the known part.
func (p *Pool) estimate(a *account, known float64) float64 {
	e := max(p.pool.DefaultCost, known)
	if a.hasMean {
		e = known + a.meanRest
	}
	c := p.maxCost()
	return min(max(e, c*minEstimateShare), c)
}

// maxCost returns the largest cost that one request is charged.
func (p *Pool) maxCost() float64 {
	if c := p.pool.MaxCost; c > 0 && !math.IsInf(c, 1) {
		return c
	}
	return max(p.pool.DefaultCost, 1)
}

// trueCost brings a reported cost into the range that the fairness bound allows. A cost
// that is not a number says nothing and leaves the estimate in force.
func (p *Pool) trueCost(reported, estimate float64) float64 {
	if math.IsNaN(reported) {
		return estimate
	}
	return min(max(reported, 0), p.maxCost())
}

// update moves the account to the phase that its queue and its limits call for. It is
// called after every change of either. wake is true when a held account is to be tried
// again.
func (p *Pool) update(a *account, wake bool) {
	want := phaseReady
	switch {
	case a.waiting == 0:
		want = phaseIdle
	case a.running >= a.contract.Concurrency:
		want = phaseBlocked
	case a.phase == phaseHeld && !wake:
		want = phaseHeld
	}
	if want == a.phase {
		return
	}
	p.leave(a)
	a.phase = want
	switch want {
	case phaseBlocked:
		a.blockedAt = p.virtual
	case phaseReady:
		p.heap.push(a)
	}
}

// hold takes a ready account out of the heap until a slot or a fingerprint changes.
func (p *Pool) hold(a *account) {
	p.leave(a)
	a.phase = phaseHeld
	a.blockedAt = p.virtual
	p.held = append(p.held, a)
}

// leave applies the rule for the end of the account's present phase. Idle time earns no
// credit. A blocked or held account keeps the distance below the virtual time that it
// had when it was blocked, so it gains nothing and a refund is not lost.
func (p *Pool) leave(a *account) {
	switch a.phase {
	case phaseIdle:
		a.tag = max(a.tag, p.virtual)
	case phaseReady:
		p.heap.remove(a)
	case phaseBlocked, phaseHeld:
		a.tag = max(a.tag, p.virtual-max(0, a.blockedAt-a.tag))
	}
	if a.phase == phaseHeld {
		last := len(p.held) - 1
		for i := last; i >= 0; i-- {
			if p.held[i] == a {
				p.held[i], p.held[last] = p.held[last], nil
				p.held = p.held[:last]
				break
			}
		}
	}
}

// wakeHeld makes every held account ready again.
func (p *Pool) wakeHeld() {
	for len(p.held) > 0 {
		p.update(p.held[len(p.held)-1], true)
	}
}

// charge moves the account's tag by a cost at a weight.
func (p *Pool) charge(a *account, cost, weight float64) {
	a.tag += cost / weight
	a.service += cost
	if a.phase == phaseReady {
		p.heap.fix(a)
	}
}
