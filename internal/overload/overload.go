// Package overload keeps a host usable when its callers ask for more than its processor
// can serve.
//
// A host that is short of processor time answers everything late: requests reach upstreams
// after their callers have left, and the host loses touch with the fleet. The Guard notes
// how late the host's own timers fire, and while they are late it limits the accounts that
// ask for most, each to the same rate. It answers loads in which few accounts send most of
// the fleet's requests to one host. Where even refusing takes too long, the Guard has a
// part of the new connections refused before their requests are looked at.
//
// The package does no I/O and reads no clock.
package overload

import (
	"math"
	"time"
)

// Parameters of a Guard.
const (
	// lagWeight is the weight of a new lag in the mean.
	lagWeight = 0.25
	// againWithin is the time in which a second timer has to be late. One alone follows a
	// pause of the whole machine and changes nothing.
	againWithin = time.Second
	// lateTimer is the mean lag above which the host is overloaded: a small part of the shortest
	// objectives, and far above what a busy but healthy host shows.
	lateTimer = 40 * time.Millisecond
	// calmTimer is the lag below which the level rises again.
	calmTimer = 15 * time.Millisecond
	// adjustInterval is the time between two changes of the level.
	adjustInterval = 100 * time.Millisecond
	// lower and raise are the factors of a change. Lowering is faster, because an overloaded
	// host harms requests that it has accepted already.
	lower = 0.7
	raise = 1.1
	// shedTimer is the mean lag above which new connections are refused. Each change leaves
	// shedKeep of those that were taken, down to minTaken, and a calm host takes takeMore
	// more of all. Going back is slow, because the flood is still there when the host has
	// become calm.
	shedTimer = 2 * lateTimer
	shedKeep  = 0.6
	minTaken  = 0.05
	takeMore  = 0.01
	// falling is the part of the lag at the last change below which the lag falls by itself:
	// the host works off what it had taken.
	falling = 0.95
	// minLevel in requests per second keeps every account served a little.
	minLevel = 5.0
	// rateLife is the time over which the rate of an account is averaged.
	rateLife = time.Second
	// burstTime is the time's worth of requests that an account may send at once,
	// with minBurst as the least.
	burstTime = 100 * time.Millisecond
	minBurst  = 3.0
	// maxAccounts bounds the accounts remembered.
	maxAccounts = 16_384
)

// SampleInterval is the time between two samples of the lag.
const SampleInterval = 20 * time.Millisecond

// Guard decides which requests a host accepts. It is not safe for concurrent use.
type Guard struct {
	// level is the rate in requests per second that each account may have; it is infinite
	// while the host is not overloaded.
	level float64
	// taken is the part of the new connections that is not refused.
	taken float64
	// lag is the mean lag, lagThen what it was at the last change.
	lag, lagThen time.Duration
	// lates are the times of the last two late timers.
	lates [2]time.Time

	changed  time.Time
	accounts map[string]*account
}

// account is what one account asks of this host.
type account struct {
	rate    float64
	at      time.Time
	allowed float64
}

// New returns a Guard that accepts everything.
func New() *Guard { return &Guard{level: math.Inf(1), taken: 1, accounts: map[string]*account{}} }

// Observe takes how late a timer of the host fired. It is called every SampleInterval.
func (g *Guard) Observe(lag time.Duration, now time.Time) {
	g.lag += time.Duration(lagWeight * float64(lag-g.lag))
	if lag > lateTimer {
		g.lates = [2]time.Time{g.lates[1], now}
	}
	if now.Sub(g.changed) < adjustInterval {
		return
	}
	worse := float64(g.lag) > falling*float64(g.lagThen)
	again := !g.lates[0].IsZero() && now.Sub(g.lates[0]) < againWithin
	g.changed, g.lagThen = now, g.lag
	switch {
	case g.lag > lateTimer && worse && again:
		g.level = max(min(g.level, g.highest(now))*lower, minLevel)
		if g.lag > shedTimer {
			g.taken = max(g.taken*shedKeep, minTaken)
		}
	case g.lag < calmTimer && !math.IsInf(g.level, 1):
		g.taken = min(g.taken+takeMore, 1)
		// Above twice the highest rate the level limits nobody.
		enough := max(2*g.highest(now), minLevel)
		if g.level = min(g.level*raise, enough); g.taken == 1 && g.level == enough {
			g.level = math.Inf(1)
		}
	}
}

// highest is the rate of the account that asks most. Accounts that have gone are forgotten.
func (g *Guard) highest(now time.Time) (rate float64) {
	for name, a := range g.accounts {
		if a.decay(now); a.rate < 1/rateLife.Seconds()/8 {
			delete(g.accounts, name)
			continue
		}
		rate = max(rate, a.rate)
	}
	return rate
}

func (a *account) decay(now time.Time) {
	a.rate *= math.Exp(-now.Sub(a.at).Seconds() / rateLife.Seconds())
	a.at = now
}

// Admit notes a request of an account and reports whether the host takes it.
func (g *Guard) Admit(name string, now time.Time) bool {
	a := g.accounts[name]
	if a == nil {
		if len(g.accounts) >= maxAccounts {
			clear(g.accounts)
		}
		a = &account{at: now, allowed: minBurst}
		g.accounts[name] = a
	}
	since := now.Sub(a.at).Seconds()
	a.decay(now)
	a.rate += 1 / rateLife.Seconds()
	if math.IsInf(g.level, 1) {
		a.allowed = minBurst
		return true
	}
	a.allowed = min(a.allowed+since*g.level, max(g.level*burstTime.Seconds(), minBurst))
	if a.allowed < 1 {
		return false
	}
	a.allowed--
	return true
}

// Shed reports whether a new connection is refused at once. u is a random number from 0 up
// to 1.
func (g *Guard) Shed(u float64) bool { return u >= g.taken }

// Busy reports whether the host is, or lately was, short of processor time.
func (g *Guard) Busy() bool { return !math.IsInf(g.level, 1) }

// Level returns the rate in requests per second that each account may have, infinite while
// the host is not overloaded.
func (g *Guard) Level() float64 { return g.level }
