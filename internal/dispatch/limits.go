package dispatch

import (
	"time"

	"marigoldshunt/internal/routing"
)

// bucket is a token bucket.
type bucket struct {
	tokens float64
	at     time.Time
}

// fill adds the tokens of the time since the last call, up to burst.
func (b *bucket) fill(rate, burst float64, now time.Time) {
	b.tokens = min(burst, b.tokens+rate*now.Sub(b.at).Seconds())
	b.at = now
}

// Limits are what the installation allows of retries, and of requests to cold instances. A field
// that is 0 names no limit. They only tighten DefaultLimits, above which retries gain little.
type Limits struct {
	// RetryRatio is the number of retries of a service in RetryWindow as a share of its requests,
	// SpareRetries what is allowed beyond it, both over all hosts.
	RetryRatio   float64
	RetryWindow  time.Duration
	SpareRetries float64
	// SpareColdRequests is the number of requests that a cold instance may get in a second beyond
	// its rate.
	SpareColdRequests float64
}

// DefaultLimits hold where the installation names none.
var DefaultLimits = Limits{RetryRatio: 0.2, RetryWindow: 10 * time.Second, SpareRetries: 60, SpareColdRequests: 4}

// tightened returns the smaller of each limit and its default.
func (l Limits) tightened() Limits {
	d := DefaultLimits
	if l.RetryRatio > 0 {
		d.RetryRatio = min(d.RetryRatio, l.RetryRatio)
	}
	if l.RetryWindow > 0 {
		// The ratio and the spare retries hold in each window, so it counts as it is, also if it is longer.
		d.RetryWindow = l.RetryWindow
	}
	if l.SpareRetries > 0 {
		d.SpareRetries = min(d.SpareRetries, l.SpareRetries)
	}
	if l.SpareColdRequests > 0 {
		d.SpareColdRequests = min(d.SpareColdRequests, l.SpareColdRequests)
	}
	return d
}

// maxHostsPerColdInstance returns the number of hosts that send to a cold instance. Each of
// them may send one request immediately, so that their number adds to the requests within
// a second.
func (l Limits) maxHostsPerColdInstance() int { return max(int(l.SpareColdRequests), 1) }

func (d *Dispatcher) coldLimitApplies(s *routing.Service, x *instance, now time.Time) bool {
	switch {
	case s.ColdPerSecond <= 0:
		return false
	case now.Before(x.coldUntil):
		return true
	case s.Engine != nil || x.mayBeColdUntil.IsZero():
		return false // the gate of an engine notices its restart
	}
	return now.Before(x.mayBeColdUntil.Add(d.returnDelay(s, x)))
}

// returnRateFraction is the part of the cold-start rate at which hosts return to an instance that may have
// started again. The rest is for the few hosts that send to it meanwhile.
const returnRateFraction = 0.5

// maxReturnDelay bounds how long a host that has lost only its own link keeps away.
const maxReturnDelay = 10 * time.Second

// returnDelay spreads the times at which the hosts return to an instance that all of them could not reach.
func (d *Dispatcher) returnDelay(s *routing.Service, x *instance) time.Duration {
	rank := d.hosts.Rank(x.hash+uint64(x.Born), d.opts.Host)
	return min(time.Duration(float64(rank)/(returnRateFraction*s.ColdPerSecond)*float64(time.Second)), maxReturnDelay)
}

// rateLimitOf returns the requests per second that the instance takes from all hosts, as far as this host knows;
// 0 means no limit. It includes the cold-start limit of an engine that may have started again, for requests that
// its gate doesn't pace.
func (x *instance) rateLimitOf(s *routing.Service, now time.Time) float64 {
	if s.Engine == nil || s.ColdPerSecond <= 0 || !now.Before(x.mayBeColdUntil) {
		return x.rateLimit
	}
	if x.rateLimit > 0 {
		return min(x.rateLimit, s.ColdPerSecond)
	}
	return s.ColdPerSecond
}

// coldLimitAllows reports whether the cold-start limit lets this host send a request to x
// now. The rate of a cold instance is divided among a few hosts, which all hosts derive
// from the same list.
func (d *Dispatcher) coldLimitAllows(s *routing.Service, x *instance, now time.Time) bool {
	if !d.coldLimitApplies(s, x, now) {
		return true
	}
	hosts := d.opts.Limits.maxHostsPerColdInstance()
	if d.hosts.Rank(x.hash+uint64(x.Born), d.opts.Host) >= hosts {
		return false
	}
	x.coldBucket.fill(s.ColdPerSecond/float64(min(d.hosts.Len(), hosts)), 1, now)
	return x.coldBucket.tokens >= 1
}

// retryShare is the part of the fleet's retry budget that the hosts use: of its own requests, and of
// its share of the spare retries. The rest is left because the counts of the hosts differ.
const retryShare = 0.5

// retryBudget counts requests and retries of one service in two half windows.
type retryBudget struct {
	startedAt         time.Time
	requests, retries [2]int
}

func (b *retryBudget) roll(window time.Duration, now time.Time) {
	half := window / 2
	if b.startedAt.IsZero() || now.Sub(b.startedAt) >= 2*half {
		*b = retryBudget{startedAt: now}
		return
	}
	for now.Sub(b.startedAt) >= half {
		b.startedAt = b.startedAt.Add(half)
		b.requests[1], b.retries[1] = b.requests[0], b.retries[0]
		b.requests[0], b.retries[0] = 0, 0
	}
}

func (d *Dispatcher) budget(service string, now time.Time) *retryBudget {
	b := d.retryBudgets[service]
	if b == nil {
		b = &retryBudget{}
		d.retryBudgets[service] = b
	}
	b.roll(d.opts.Limits.RetryWindow, now)
	return b
}

// CountRequest counts a caller's request to a service.
func (d *Dispatcher) CountRequest(service string, now time.Time) {
	d.budget(service, now).requests[0]++
}

// TakeRetry reports whether the budget allows a retry of a request, and counts it.
func (d *Dispatcher) TakeRetry(service string, now time.Time) bool {
	b := d.budget(service, now)
	limits := &d.opts.Limits
	limit := retryShare * (limits.RetryRatio*float64(b.requests[0]+b.requests[1]) + limits.SpareRetries/float64(d.hosts.Len()))
	if float64(b.retries[0]+b.retries[1]+1) > limit {
		return false
	}
	b.retries[0]++
	return true
}
