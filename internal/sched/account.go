package sched

import (
	"math"
	"time"

	"marigoldshunt/internal/config"
)

// meanCostWeight is the weight of the newest request in the moving mean of an account's
// cost. With one eighth the mean follows a change of request sizes within about ten
// requests.
const meanCostWeight = 1.0 / 8

// minEstimateFraction is the smallest estimate as a fraction of the maximum cost. It makes
// every grant raise the tag; otherwise one account could take every slot before its first
// request ends.
const minEstimateFraction = 1.0 / 1024

// phase says whether an account is in the heap and, if not, why.
type phase uint8

const (
	// phaseIdle: no ticket is waiting.
	phaseIdle phase = iota
	// phaseReady: in the heap.
	phaseReady
	// phaseAtLimit: at the contract's concurrency limit. AccountStatus.Blocked covers this
	// phase and phaseParked.
	phaseAtLimit
	// phaseParked: none of the account's first tickets may use a free slot, because of the
	// quarantine limits of their fingerprints or because the tickets avoid an upstream.
	phaseParked
)

// account is the state of one client account in the pool.
type account struct {
	name     string
	contract config.Contract
	removed  bool

	// tag is the account's normalised service, in cost units per weight.
	tag float64
	// publishedTag is the highest tag that this scheduler has sent to routers or accepted
	// from them. A higher tag in a Sync comes from another scheduler.
	publishedTag float64
	// blockedAtVirtual is the pool's virtual time when the account reached its concurrency
	// limit or was parked.
	blockedAtVirtual float64
	phase            phase
	heapIndex        int

	queue   ring
	waiting int
	running int

	// meanExtraCost is the moving mean of the cost beyond the part known from the request's
	// size.
	meanExtraCost float64
	hasMeanCost   bool
	service       float64

	rateTokens float64
	refilledAt time.Duration
}

// weight returns the contract's weight. The configuration accepts only positive weights;
// any other value counts as 1, so that tags stay finite.
func (a *account) weight() float64 {
	if w := a.contract.Weight; w > 0 && !math.IsInf(w, 1) {
		return w
	}
	return 1
}

// burst returns the capacity of the account's token bucket.
func (a *account) burst() float64 { return float64(max(a.contract.Burst, 1)) }

// refill adds the tokens for the time since the last call.
func (a *account) refill(now time.Duration) {
	if now > a.refilledAt {
		a.rateTokens += (now - a.refilledAt).Seconds() * a.contract.RequestsPerSecond
		a.refilledAt = now
	}
	a.rateTokens = min(a.rateTokens, a.burst())
}

// takeToken takes the token for one request. When the bucket is empty it returns the time
// until the next token. A contract with rate 0 admits no request.
func (a *account) takeToken(now time.Duration) (wait time.Duration, ok bool) {
	const rounding = 1e-9
	rate := a.contract.RequestsPerSecond
	if !(rate > 0) {
		return time.Minute, false
	}
	a.refill(now)
	if a.rateTokens >= 1-rounding {
		a.rateTokens = max(a.rateTokens-1, 0)
		return 0, true
	}
	return time.Duration(min((1-a.rateTokens)/rate, 3600) * float64(time.Second)), false
}

// updateMeanCost adds the true cost of a complete answer to the moving mean.
func (a *account) updateMeanCost(cost, knownCost float64) {
	extra := max(cost-knownCost, 0)
	if !a.hasMeanCost {
		a.meanExtraCost, a.hasMeanCost = extra, true
		return
	}
	a.meanExtraCost += (extra - a.meanExtraCost) * meanCostWeight
}

// estimate returns the expected cost of a request, of which knownCost follows from its
// size.
func (p *Pool) estimate(a *account, knownCost float64) float64 {
	cost := max(p.pool.DefaultCost, knownCost)
	if a.hasMeanCost {
		cost = knownCost + a.meanExtraCost
	}
	maxCost := p.maxCost()
	return min(max(cost, maxCost*minEstimateFraction), maxCost)
}

// maxCost returns the most that one request is charged.
func (p *Pool) maxCost() float64 {
	if c := p.pool.MaxCost; c > 0 && !math.IsInf(c, 1) {
		return c
	}
	return max(p.pool.DefaultCost, 1)
}

// clampCost limits a reported cost to the range that the fairness bound assumes. For NaN it
// returns the estimate.
func (p *Pool) clampCost(reported, estimate float64) float64 {
	if math.IsNaN(reported) {
		return estimate
	}
	return min(max(reported, 0), p.maxCost())
}

// updatePhase sets the account's phase from its queue and its limits, and is called after
// every change of either. wake makes a parked account ready again.
func (p *Pool) updatePhase(a *account, wake bool) {
	want := phaseReady
	switch {
	case a.waiting == 0:
		want = phaseIdle
	case a.running >= a.contract.Concurrency:
		want = phaseAtLimit
	case a.phase == phaseParked && !wake:
		want = phaseParked
	}
	if want == a.phase {
		return
	}
	p.leavePhase(a)
	a.phase = want
	switch want {
	case phaseAtLimit:
		a.blockedAtVirtual = p.virtualTime
	case phaseReady:
		p.heap.push(a)
	}
}

// park takes a ready account out of the heap until a slot or a fingerprint changes.
func (p *Pool) park(a *account) {
	p.leavePhase(a)
	a.phase = phaseParked
	a.blockedAtVirtual = p.virtualTime
	p.parked = append(p.parked, a)
}

// leavePhase adjusts the tag, the heap and the parked list at the end of the account's
// current phase. Idle time earns no credit. The tag of an account at its limit or parked
// follows the virtual time at the distance below it that it had when the phase began;
// refunds since then add to the distance. So waiting earns no credit, and refunds are kept.
func (p *Pool) leavePhase(a *account) {
	switch a.phase {
	case phaseIdle:
		a.tag = max(a.tag, p.virtualTime)
	case phaseReady:
		p.heap.remove(a)
	case phaseAtLimit, phaseParked:
		a.tag = max(a.tag, p.virtualTime-max(0, a.blockedAtVirtual-a.tag))
	}
	if a.phase == phaseParked {
		last := len(p.parked) - 1
		for i := last; i >= 0; i-- {
			if p.parked[i] == a {
				p.parked[i], p.parked[last] = p.parked[last], nil
				p.parked = p.parked[:last]
				break
			}
		}
	}
}

// wakeParked makes every parked account ready again, unless it is at its concurrency limit.
func (p *Pool) wakeParked() {
	for len(p.parked) > 0 {
		p.updatePhase(p.parked[len(p.parked)-1], true)
	}
}

// charge adds a cost, divided by the weight, to the account's tag. The cost may be
// negative.
func (p *Pool) charge(a *account, cost, weight float64) {
	a.tag += cost / weight
	a.service += cost
	if a.phase == phaseReady {
		p.heap.fix(a)
	}
}
