package dispatch

import (
	"time"

	"marigoldshunt/internal/routing"
)

// bucket is a token bucket that holds at most one token.
type bucket struct {
	tokens float64
	at     time.Time
}

func (b *bucket) fill(rate float64, now time.Time) {
	b.tokens = min(1, b.tokens+rate*now.Sub(b.at).Seconds())
	b.at = now
}

// maxWarmingHosts is the number of hosts that send to a cold instance. Each of them may
// send one request at once, so their number adds to the rate of a second.
const maxWarmingHosts = 4

// mayWarm reports whether this host may send a request to x now, as far as cold start
// limits it. The rate of a cold instance is divided among a few hosts, which all hosts
// derive from the same list.
func (d *Dispatcher) mayWarm(s *routing.Service, x *instance, now time.Time) bool {
	if s.ColdPerSecond <= 0 || !now.Before(x.coldUntil) {
		return true
	}
	if d.hosts.Rank(x.hash+uint64(x.Born), d.o.Host) >= maxWarmingHosts {
		return false
	}
	x.cold.fill(s.ColdPerSecond/float64(min(d.hosts.Len(), maxWarmingHosts)), now)
	return x.cold.tokens >= 1
}

// Parameters of the budget of repeats. The fleet may repeat a fifth of its requests and
// some more; a host uses half of its part, since hosts differ in what they count.
const (
	repeatWindow = 10 * time.Second
	repeatRatio  = 0.1
	repeatSpare  = 30.0
)

// repeatBudget counts requests and repeats of one service in two half windows.
type repeatBudget struct {
	began             time.Time
	requests, repeats [2]int
}

func (b *repeatBudget) roll(now time.Time) {
	half := repeatWindow / 2
	if b.began.IsZero() || now.Sub(b.began) >= 2*half {
		*b = repeatBudget{began: now}
		return
	}
	for now.Sub(b.began) >= half {
		b.began = b.began.Add(half)
		b.requests[1], b.repeats[1] = b.requests[0], b.repeats[0]
		b.requests[0], b.repeats[0] = 0, 0
	}
}

func (d *Dispatcher) budget(service string, now time.Time) *repeatBudget {
	b := d.repeats[service]
	if b == nil {
		b = &repeatBudget{}
		d.repeats[service] = b
	}
	b.roll(now)
	return b
}

// CountRequest notes a request of a caller to a service.
func (d *Dispatcher) CountRequest(service string, now time.Time) {
	d.budget(service, now).requests[0]++
}

// TakeRepeat reports whether a request may be sent once more, and counts it.
func (d *Dispatcher) TakeRepeat(service string, now time.Time) bool {
	b := d.budget(service, now)
	limit := repeatRatio*float64(b.requests[0]+b.requests[1]) + repeatSpare/float64(d.hosts.Len())
	if float64(b.repeats[0]+b.repeats[1]+1) > limit {
		return false
	}
	b.repeats[0]++
	return true
}
