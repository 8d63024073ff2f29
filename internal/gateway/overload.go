package gateway

import (
	"context"
	"sync"
	"time"

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

// WatchLag notes how late timers fire until ctx ends.
func (s *Server) WatchLag(ctx context.Context) {
	for began := time.Now(); wait.For(ctx, overload.SampleInterval); began = time.Now() {
		s.guard.Lock()
		now := time.Now()
		s.guard.Observe(now.Sub(began)-overload.SampleInterval, now)
		s.guard.Unlock()
	}
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

// OverloadLevel returns the rate in requests per second that each account may send to this
// host, infinite while the host is not overloaded.
func (s *Server) OverloadLevel() float64 {
	s.guard.Lock()
	defer s.guard.Unlock()
	return s.guard.Level()
}

// Connections returns the number of open connections of callers.
func (s *Server) Connections() int { return s.conns.count() }
