package gateway

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/overload"
	"marigoldshunt/internal/wait"
)

// overloadRetryAfter is the Retry-After of an overloaded host, which adjusts its limits a few
// times in that period.
const overloadRetryAfter = 400 * time.Millisecond

// lockedLimiter makes overload.Limiter safe for concurrent use.
type lockedLimiter struct {
	sync.Mutex
	*overload.Limiter
}

// overloadLogInterval is the least time between two log lines about an overloaded host.
const overloadLogInterval = time.Second

// WatchLag measures how late timers fire and feeds the overload limiter, until ctx ends.
func (s *Server) WatchLag(ctx context.Context) {
	var logged time.Time
	overloaded := false
	for sampleStart := time.Now(); wait.For(ctx, overload.SampleInterval); sampleStart = time.Now() {
		now := time.Now()
		lag := now.Sub(sampleStart) - overload.SampleInterval
		s.limiter.Lock()
		s.limiter.Observe(lag, now)
		limit := s.limiter.RateLimit()
		s.limiter.Unlock()
		limited := !math.IsInf(limit, 1)
		switch {
		case limited && now.Sub(logged) >= overloadLogInterval:
			logged = now
			s.logLag(lag).WithField("per_second", math.Round(limit)).Warn("Host is overloaded. Limiting the accounts with the most requests.")
		case overloaded && !limited:
			s.logLag(lag).Info("Host is no longer overloaded.")
		}
		overloaded = limited
	}
}

func (s *Server) logLag(lag time.Duration) *logrus.Entry {
	return s.log.WithField("lag_ms", lag.Milliseconds()).WithField("running", s.Running()).WithFields(s.Connections().LogFields()).WithFields(s.shedFields())
}

// Each level of priority below the highest may use levelReservePercent less of a host's
// places for requests than the level above it, down to maxReservedLevels levels.
const (
	levelReservePercent = 10
	maxReservedLevels   = 5
)

// The last accountReservePercent of the places are for accounts that hold at most as many, so
// that slow requests of one account don't take all places.
const accountReservePercent = 10

// places counts the running requests by account.
type places struct {
	sync.Mutex
	byAccount map[string]int
}

// take takes a place for an account, unless the account holds more than most.
func (p *places) take(account string, most int) bool {
	p.Lock()
	defer p.Unlock()
	if p.byAccount[account] > most {
		return false
	}
	p.byAccount[account]++
	return true
}

// held returns the number of places that an account holds.
func (p *places) held(account string) int {
	p.Lock()
	defer p.Unlock()
	return p.byAccount[account]
}

func (p *places) release(account string) {
	p.Lock()
	defer p.Unlock()
	if p.byAccount[account]--; p.byAccount[account] <= 0 {
		delete(p.byAccount, account)
	}
}

// checkLoad refuses a request if the host is too busy, before it spends more time on it. A
// host that is nearly full refuses requests of lower priority first. The caller releases the
// account's place if err is nil.
func (s *Server) checkLoad(account string, priorityLevel int) error {
	limit := s.opts.MaxRunning * (100 - min(priorityLevel, maxReservedLevels)*levelReservePercent) / 100
	most, reserved := math.MaxInt, limit*accountReservePercent/100
	running := s.Running()
	if s.opts.MaxRunning > 0 && running > limit-reserved {
		most = reserved
	}
	if s.opts.MaxRunning > 0 && running > limit || !s.places.take(account, most) {
		s.loads.refuse(account, causeNoPlace)
		return fault.New(fault.HostOverloaded, fault.NotRun, "the host serves %d requests already", running).WithRetryAfter(overloadRetryAfter)
	}
	s.limiter.Lock()
	defer s.limiter.Unlock()
	if s.limiter.Admit(account, time.Now()) {
		return nil
	}
	s.places.release(account)
	s.loads.refuse(account, causeRateLimited)
	return rateLimited(s.limiter.RateLimit())
}

// rateLimited is the failure of a request beyond the rate limit of its account.
func rateLimited(limit float64) *fault.Error {
	return fault.New(fault.HostOverloaded, fault.NotRun, "each account may send %.0f requests per second to this host now", limit).WithRetryAfter(overloadRetryAfter)
}

// leavingFailure is the failure of a request that an overloaded host refuses while it leaves. Another host can take it
// at once.
func leavingFailure() *fault.Error {
	return fault.New(fault.HostLeaving, fault.NotRun, "the host leaves and has no time for the request").WithRetryAfter(shortRetryAfter)
}

// Busy reports whether the host is, or recently was, short of CPU time.
func (s *Server) Busy() bool {
	s.limiter.Lock()
	defer s.limiter.Unlock()
	return s.limiter.Busy()
}

// AccountRateLimit returns the limit in requests per second of each account on this host.
// It is infinite while the host is not overloaded.
func (s *Server) AccountRateLimit() float64 {
	s.limiter.Lock()
	defer s.limiter.Unlock()
	return s.limiter.RateLimit()
}

// Connections returns the numbers of the callers' connections.
func (s *Server) Connections() ConnectionCounts {
	counts := s.conns.counts()
	counts.Refusing = int(s.refusing.Load())
	return counts
}
