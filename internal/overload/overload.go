// Package overload keeps a host usable when its callers send more requests than it has
// CPU time for.
//
// A host that is short of CPU time responds late to everything: requests reach upstreams
// after their callers have disconnected, and the host loses contact with the fleet. The
// Limiter measures how late the host's own timers fire, and while they are late it limits
// the accounts with the highest request rates, each to the same rate. This handles loads in
// which few accounts send most of the fleet's requests to one host. What is above the limit is
// passed on to other hosts, which costs a fraction of serving it, or refused. Where even that
// takes too long, the Limiter has a fraction of the new connections refused before their
// requests are processed.
//
// The package does no I/O and reads no clock.
package overload

import (
	"math"
	"time"
)

// Parameters of a Limiter.
const (
	// lagWeight is the weight of a new sample in the mean lag.
	lagWeight = 0.25
	// repeatWithin is the time within which two timers must be late before the host counts
	// as overloaded. A single late timer follows a pause of the whole machine and changes
	// nothing.
	repeatWithin = time.Second
	// overloadLag is the mean lag above which the host is overloaded: a small fraction of
	// the shortest objectives, and far above the lag of a busy but healthy host.
	overloadLag = 40 * time.Millisecond
	// calmLag is the mean lag below which the rate limit rises again.
	calmLag = 15 * time.Millisecond
	// adjustInterval is the time between two checks of the limits.
	adjustInterval = 100 * time.Millisecond
	// limitDecrease is the factor of a decrease of the rate limit. It applies to the rate at
	// which the host accepted requests in the last second, since the events of their responses
	// keep the host busy for about that long after the limit has fallen. Above deepLag the
	// limit itself falls by deepDecrease at each check.
	limitDecrease = 0.8
	deepDecrease  = 0.7
	deepLag       = 6 * overloadLag
	// limitIncrease is the factor of an increase. It is small, because the work that it admits
	// shows only about a second later; after calmTime without lag it is calmIncrease.
	limitIncrease = 1.05
	calmIncrease  = 1.1
	calmTime      = time.Second
	// shedLag is the mean lag above which new connections are refused. Each check then
	// multiplies the accepted fraction by acceptDecrease, down to minAccepted, and below
	// overloadLag adds acceptIncrease to it. Recovery is slow, because the flood is still there
	// when the host has become calm.
	shedLag        = 2 * overloadLag
	acceptDecrease = 0.6
	minAccepted    = 0.05
	acceptIncrease = 0.01
	// offloadingAcceptIncrease takes its place while requests are passed on, since other hosts then
	// take the flood.
	offloadingAcceptIncrease = 0.05
	// fallingRatio is the ratio to the mean lag at the last check below which the lag counts
	// as falling by itself, because the host works off requests that it had accepted. The
	// limits are then not tightened further.
	fallingRatio = 0.95
	// minLimit, in requests per second, keeps every account served a little.
	minLimit = 5.0
	// rateTimeConstant is the time over which the rate of an account is averaged.
	rateTimeConstant = time.Second
	// burstTime times the rate limit is the number of requests that an account may send at
	// once; it is at least minBurst.
	burstTime = 100 * time.Millisecond
	minBurst  = 3.0
	// offloadCost is what passing a request on to another host counts for against the rate limit,
	// in requests that are served: about the ratio of the CPU times.
	offloadCost = 0.125
	// offloadHeadroom bounds the rate limit, relative to the rate that is used of it, while
	// requests are passed on. A limit above the rate of an account would have all its requests
	// served here again, and the host overloaded again.
	offloadHeadroom = 1.25
	// offloadRecently is the time after the last request that was passed on for which that holds.
	offloadRecently = time.Second
	// maxAccounts bounds the accounts tracked.
	maxAccounts = 16_384
)

// SampleInterval is the time between two samples of the lag.
const SampleInterval = 20 * time.Millisecond

// Limiter decides which requests a host accepts. It is not safe for concurrent use.
type Limiter struct {
	// limit is the rate limit of each account in requests per second; it is infinite while
	// the host is not overloaded.
	limit float64
	// acceptedFraction is the fraction of the new connections that is not refused.
	acceptedFraction float64
	// calmSince is the time of the last check at which the lag was not below calmLag.
	calmSince time.Time
	// lag is the mean lag, lagAtCheck its value when the limits were last checked, at
	// checkedAt.
	lag, lagAtCheck time.Duration
	// lateTimes are the times of the last two late timers.
	lateTimes [2]time.Time

	checkedAt time.Time
	// offloadedAt and refusedAt are the times of the last requests that were passed on and that
	// DecideEarly refused.
	offloadedAt, refusedAt time.Time
	accounts               map[string]*account
}

// Action is what a host does with a request.
type Action int

// The actions.
const (
	// Serve leaves the decision to Admit.
	Serve Action = iota
	// Offload passes the request on to another host.
	Offload
	// Refuse refuses the request.
	Refuse
)

// account is the request rate and the token bucket of one account at this host.
type account struct {
	// rate is the mean rate of its requests, acceptedRate that of those that were accepted, where
	// one that is passed on counts for offloadCost.
	rate, acceptedRate float64
	at                 time.Time
	// tokens is the content of the bucket at refilledAt.
	tokens     float64
	refilledAt time.Time
}

// New returns a Limiter that accepts everything.
func New() *Limiter {
	return &Limiter{limit: math.Inf(1), acceptedFraction: 1, accounts: map[string]*account{}}
}

// Observe records how late a timer of the host fired. It is called every SampleInterval.
func (l *Limiter) Observe(lag time.Duration, now time.Time) {
	l.lag += time.Duration(lagWeight * float64(lag-l.lag))
	if lag > overloadLag {
		l.lateTimes = [2]time.Time{l.lateTimes[1], now}
	}
	if now.Sub(l.checkedAt) < adjustInterval {
		return
	}
	rate, acceptedRate := l.highestRates(now)
	notFalling := float64(l.lag) > fallingRatio*float64(l.lagAtCheck)
	repeated := !l.lateTimes[0].IsZero() && now.Sub(l.lateTimes[0]) < repeatWithin
	l.checkedAt, l.lagAtCheck = now, l.lag
	if l.lag >= calmLag {
		l.calmSince = now
	}
	switch {
	case l.lag > overloadLag && notFalling && repeated:
		l.limit = max(l.decreased(acceptedRate), minLimit)
		if l.lag > shedLag {
			l.acceptedFraction = max(l.acceptedFraction*acceptDecrease, minAccepted)
		}
	case l.lag < overloadLag && !math.IsInf(l.limit, 1):
		l.acceptedFraction = min(l.acceptedFraction+l.acceptIncrease(now), 1)
		if l.lag >= calmLag {
			return
		}
		if now.Sub(l.offloadedAt) < offloadRecently {
			l.increaseOffloading(acceptedRate, now)
			return
		}
		// Above twice the highest rate the limit affects no account.
		unlimited := max(2*rate, minLimit)
		if l.limit = min(l.limit*l.increase(now), unlimited); l.acceptedFraction == 1 && l.limit == unlimited {
			l.limit = math.Inf(1)
		}
	}
}

// acceptIncrease returns the increase of the accepted fraction of new connections.
func (l *Limiter) acceptIncrease(now time.Time) float64 {
	if now.Sub(l.offloadedAt) < offloadRecently {
		return offloadingAcceptIncrease
	}
	return acceptIncrease
}

// increase returns the factor of an increase of the rate limit.
func (l *Limiter) increase(now time.Time) float64 {
	if now.Sub(l.calmSince) < calmTime {
		return limitIncrease
	}
	return calmIncrease
}

// increaseOffloading increases the limit while requests are passed on. A limit that refuses requests
// is far below the rate of their account and may rise; another one stays near the rate that is used.
func (l *Limiter) increaseOffloading(acceptedRate float64, now time.Time) {
	most := acceptedRate * offloadHeadroom
	if now.Sub(l.refusedAt) < adjustInterval {
		most = math.Inf(1)
	}
	l.limit = max(l.limit, min(l.limit*l.increase(now), most))
}

// decreased returns the rate limit after a decrease; acceptedRate is the highest rate at which
// the requests of an account were accepted.
func (l *Limiter) decreased(acceptedRate float64) float64 {
	if l.lag > deepLag {
		return min(l.limit, acceptedRate) * deepDecrease
	}
	return min(l.limit, acceptedRate*limitDecrease)
}

// highestRates returns the highest rate of an account and the highest rate at which the
// requests of an account were accepted, and drops accounts that have become inactive.
func (l *Limiter) highestRates(now time.Time) (rate, acceptedRate float64) {
	for name, a := range l.accounts {
		if a.decay(now); a.rate < 1/rateTimeConstant.Seconds()/8 {
			delete(l.accounts, name)
			continue
		}
		rate, acceptedRate = max(rate, a.rate), max(acceptedRate, a.acceptedRate)
	}
	return rate, acceptedRate
}

func (a *account) decay(now time.Time) {
	left := math.Exp(-now.Sub(a.at).Seconds() / rateTimeConstant.Seconds())
	a.rate, a.acceptedRate, a.at = a.rate*left, a.acceptedRate*left, now
}

// Admit records a request of an account and reports whether the host accepts it.
func (l *Limiter) Admit(name string, now time.Time) bool {
	a := l.refilled(name, now)
	a.rate += 1 / rateTimeConstant.Seconds()
	if !math.IsInf(l.limit, 1) {
		if a.tokens < 1 {
			return false
		}
		a.tokens--
	}
	a.acceptedRate += 1 / rateTimeConstant.Seconds()
	return true
}

// DecideEarly decides about a request before it is parsed. Unless the action is Serve, it records
// the request. mayOffload is false if the request can't be passed on. crowded is true if many
// requests of the account run here already; it then passes on others before the host is overloaded,
// because the requests that it has accepted by then keep it late for seconds.
//
// All requests of an account above the limit are passed on, not only those beyond it: serving the
// others here would take most of the CPU time that passing on needs.
func (l *Limiter) DecideEarly(name string, mayOffload, crowded bool, now time.Time) Action {
	crowded = crowded && mayOffload
	if math.IsInf(l.limit, 1) && !crowded {
		return Serve
	}
	a := l.refilled(name, now)
	action := l.decide(a, mayOffload, crowded)
	l.record(a, action, now)
	return action
}

// RefusesAtOnce reports whether DecideEarly would refuse a request, and then records it. It records
// nothing else: a request that is not refused at once is decided about when it is read.
func (l *Limiter) RefusesAtOnce(name string, mayOffload bool, now time.Time) bool {
	if math.IsInf(l.limit, 1) {
		return false
	}
	a := l.refilled(name, now)
	if l.decide(a, mayOffload, false) != Refuse {
		return false
	}
	l.record(a, Refuse, now)
	return true
}

// decide decides about a request of an account.
func (l *Limiter) decide(a *account, mayOffload, crowded bool) Action {
	aboveLimit := crowded || a.rate > l.limit || a.tokens < 1
	switch {
	case !aboveLimit || !mayOffload && a.tokens >= 1:
		return Serve
	case !mayOffload || a.tokens < offloadCost:
		return Refuse
	}
	return Offload
}

// record records a request unless it is served: Admit does that.
func (l *Limiter) record(a *account, action Action, now time.Time) {
	switch action {
	case Serve:
		return
	case Refuse:
		l.refusedAt = now
	case Offload:
		a.tokens -= offloadCost
		a.acceptedRate += offloadCost / rateTimeConstant.Seconds()
		l.offloadedAt = now
	}
	a.rate += 1 / rateTimeConstant.Seconds()
}

// refilled returns the rates and the token bucket of an account as they are now.
func (l *Limiter) refilled(name string, now time.Time) *account {
	a := l.accounts[name]
	if a == nil {
		if len(l.accounts) >= maxAccounts {
			clear(l.accounts)
		}
		a = &account{at: now, tokens: minBurst, refilledAt: now}
		l.accounts[name] = a
	}
	since := now.Sub(a.refilledAt).Seconds()
	a.refilledAt = now
	a.decay(now)
	if math.IsInf(l.limit, 1) {
		a.tokens = minBurst
	} else {
		a.tokens = min(a.tokens+since*l.limit, max(l.limit*burstTime.Seconds(), minBurst))
	}
	return a
}

// Shed reports whether a new connection is refused at once. u is a random number, at
// least 0 and below 1.
func (l *Limiter) Shed(u float64) bool { return u >= l.acceptedFraction }

// Busy reports whether the host is, or recently was, short of CPU time.
func (l *Limiter) Busy() bool { return !math.IsInf(l.limit, 1) }

// RateLimit returns the rate limit of each account in requests per second, infinite while
// the host is not overloaded.
func (l *Limiter) RateLimit() float64 { return l.limit }
