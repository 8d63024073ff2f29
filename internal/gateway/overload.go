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

// retryOverloaded is the delay for callers of an overloaded host: a few of its adjustments.
const retryOverloaded = 400 * time.Millisecond

// guard gives concurrent requests access to the decisions about an overloaded host.
type guard struct {
	sync.Mutex
	*overload.Guard
}

// overloadLogInterval is the time between two lines about a host that is overloaded.
const overloadLogInterval = time.Second

// WatchLag notes how late timers fire until ctx ends.
func (s *Server) WatchLag(ctx context.Context) {
	var logged time.Time
	overloaded := false
	for began := time.Now(); wait.For(ctx, overload.SampleInterval); began = time.Now() {
		now := time.Now()
		lag := now.Sub(began) - overload.SampleInterval
		s.guard.Lock()
		s.guard.Observe(lag, now)
		level := s.guard.Level()
		s.guard.Unlock()
		limited := !math.IsInf(level, 1)
		switch {
		case limited && now.Sub(logged) >= overloadLogInterval:
			logged = now
			s.logLag(lag).WithField("per_second", math.Round(level)).Warn("Host is overloaded. The accounts that ask most are limited.")
		case overloaded && !limited:
			s.logLag(lag).Info("Host is not overloaded any more.")
		}
		overloaded = limited
	}
}

func (s *Server) logLag(lag time.Duration) *logrus.Entry {
	return s.log.WithField("lag_ms", lag.Milliseconds()).WithField("running", s.Running()).WithField("connections", s.Connections())
}

// accept refuses requests that the host is too busy for, before it spends more on them.
func (s *Server) accept(account string) error {
	if s.o.MaxRunning > 0 && s.Running() > s.o.MaxRunning {
		return fault.New(fault.HostOverloaded, fault.NotRun, "the host serves %d requests already", s.o.MaxRunning).After(retryOverloaded)
	}
	s.guard.Lock()
	defer s.guard.Unlock()
	if s.guard.Admit(account, time.Now()) {
		return nil
	}
	return fault.New(fault.HostOverloaded, fault.NotRun, "each account may send %.0f requests per second to this host now", s.guard.Level()).After(retryOverloaded)
}

// Busy reports whether the host is, or lately was, short of processor time.
func (s *Server) Busy() bool {
	s.guard.Lock()
	defer s.guard.Unlock()
	return s.guard.Busy()
}

// OverloadLevel returns the rate in requests per second that each account may send to this
// host, infinite while the host is not overloaded.
func (s *Server) OverloadLevel() float64 {
	s.guard.Lock()
	defer s.guard.Unlock()
	return s.guard.Level()
}

// Connections returns the number of open connections of callers.
func (s *Server) Connections() int { return s.conns.count() }
