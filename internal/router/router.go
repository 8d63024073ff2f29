// Package router runs the life of one caller's request: it claims non-idempotent
// work, asks the pool scheduler for an upstream slot, sends the request when the slot
// is granted, and reports the true cost.
//
// Request bodies stay here; the scheduler sees only tickets.
package router

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wire"
)

const (
	// GrantMaxAge is the longest time between the router's clock value echoed in a
	// grant and the start of the request. With the lease of the scheduler it bounds
	// the time until a data centre that was taken out gets no new work.
	GrantMaxAge = time.Second
	// beatInterval is the time between heartbeats to a scheduler with open requests.
	beatInterval = 250 * time.Millisecond
	// runningBeats thins out the heartbeats to a scheduler where requests only run. One
	// in 750 ms leaves two before the scheduler drops a router that was silent for 2 s.
	runningBeats = 3
	// maxAttempts bounds the attempts of one request, the first one included.
	maxAttempts = 4
	// claimTimeout bounds the wait for a claim to be committed.
	claimTimeout = 5 * time.Second
	// finishTimeout bounds the wait for the end of a claim to be committed before the
	// caller gets the answer.
	finishTimeout = 2 * time.Second
	// refusedPause is the wait before another attempt after an upstream refused work.
	refusedPause = 20 * time.Millisecond
)

// Sender sends a message to a host without blocking.
type Sender interface {
	Send(to string, kind wire.Kind, msg any) error
}

// Engine sends requests to upstreams.
type Engine interface {
	Do(ctx context.Context, r *engine.Request, s engine.Sink) engine.Result
}

// Control is the view of the replicated state that the router needs.
type Control interface {
	Config() *config.Config
	Current() bool
	Claim(ctx context.Context, r state.ClaimRequest) (state.ClaimAnswer, error)
	FinishClaim(ctx context.Context, r state.ClaimFinish) error
	ReleaseClaim(ctx context.Context, r state.ClaimRelease) error
}

// Clock is the process's monotonic clock.
type Clock interface {
	Now() time.Duration
}

// Options configures a Router.
type Options struct {
	Host       string
	Boot       uint64
	DataCentre string
	Sender     Sender
	Engine     Engine
	Control    Control
	Clock      Clock
	Log        *logrus.Entry
	Registry   metrics.Registry
}

// Router serves the requests of the callers of one host.
type Router struct {
	o        Options
	counters counters

	// mu is the lock router.table. It is never held over I/O; Sender does not block.
	mu    sync.Mutex
	seq   uint64
	beats uint64
	pools map[string]*poolView
	open  map[uint64]*request
}

type counters struct {
	requests, rateLimited, grants, staleGrants, retries, claims, replays, resumes, dropped metrics.Counter
}

// New returns a Router that has no scheduler yet; see LeasesChanged.
func New(o Options) *Router {
	r := &Router{o: o, pools: map[string]*poolView{}, open: map[uint64]*request{}}
	r.counters = counters{
		requests:    metrics.GetOrRegisterCounter("router.requests", o.Registry),
		rateLimited: metrics.GetOrRegisterCounter("router.rate_limited_here", o.Registry),
		grants:      metrics.GetOrRegisterCounter("router.grants", o.Registry),
		staleGrants: metrics.GetOrRegisterCounter("router.grants_rejected", o.Registry),
		retries:     metrics.GetOrRegisterCounter("router.retries", o.Registry),
		claims:      metrics.GetOrRegisterCounter("router.claims", o.Registry),
		replays:     metrics.GetOrRegisterCounter("router.claims_replayed", o.Registry),
		resumes:     metrics.GetOrRegisterCounter("router.streams_resumed", o.Registry),
		dropped:     metrics.GetOrRegisterCounter("router.messages_ignored", o.Registry),
	}
	return r
}

// Open returns the number of requests that have not ended.
func (r *Router) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open)
}

// Run sends heartbeats to the schedulers until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	t := time.NewTicker(beatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			r.beat()
		}
	}
}

// Status describes the router's open requests.
type Status struct {
	Waiting    int
	Running    int
	ByUpstream map[string]int
}

// Status returns the number of open requests, and of running ones per upstream.
func (r *Router) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := Status{ByUpstream: map[string]int{}}
	for _, q := range r.open {
		if q.upstream == "" {
			st.Waiting++
			continue
		}
		st.Running++
		st.ByUpstream[q.upstream]++
	}
	return st
}
