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

// maxHostsPerColdInstance is the number of hosts that send to a cold instance. Each of
// them may send one request immediately, so that their number adds to the requests within
// a second.
const maxHostsPerColdInstance = 4

func coldLimitApplies(s *routing.Service, x *instance, now time.Time) bool {
	return s.ColdPerSecond > 0 && now.Before(x.coldUntil)
}

// coldLimitAllows reports whether the cold-start limit lets this host send a request to x
// now. The rate of a cold instance is divided among a few hosts, which all hosts derive
// from the same list.
func (d *Dispatcher) coldLimitAllows(s *routing.Service, x *instance, now time.Time) bool {
	if !coldLimitApplies(s, x, now) {
		return true
	}
	if d.hosts.Rank(x.hash+uint64(x.Born), d.opts.Host) >= maxHostsPerColdInstance {
		return false
	}
	x.coldBucket.fill(s.ColdPerSecond/float64(min(d.hosts.Len(), maxHostsPerColdInstance)), 1, now)
	return x.coldBucket.tokens >= 1
}

// Parameters of the retry budget. The fleet may retry a fifth of its requests and a few
// more. Each host uses only half of its share of that, since the hosts' counts differ:
// retryRatio of its own requests, and its share of spareRetries.
const (
	retryWindow  = 10 * time.Second
	retryRatio   = 0.1
	spareRetries = 30.0
)

// retryBudget counts requests and retries of one service in two half windows.
type retryBudget struct {
	startedAt         time.Time
	requests, retries [2]int
}

func (b *retryBudget) roll(now time.Time) {
	half := retryWindow / 2
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
	b.roll(now)
	return b
}

// CountRequest counts a caller's request to a service.
func (d *Dispatcher) CountRequest(service string, now time.Time) {
	d.budget(service, now).requests[0]++
}

// TakeRetry reports whether the budget allows a retry of a request, and counts it.
func (d *Dispatcher) TakeRetry(service string, now time.Time) bool {
	b := d.budget(service, now)
	limit := retryRatio*float64(b.requests[0]+b.requests[1]) + spareRetries/float64(d.hosts.Len())
	if float64(b.retries[0]+b.retries[1]+1) > limit {
		return false
	}
	b.retries[0]++
	return true
}
