// Package router processes the requests of callers: it claims non-idempotent requests,
// asks the pool's scheduler for an upstream slot, sends the request when the slot is
// granted, and reports the actual cost.
//
// Request bodies stay on the router's host; the scheduler sees only tickets.
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
	// grant and the start of the request. Together with the scheduler's lease it bounds
	// the time until a data centre that was taken out of service gets no new requests.
	GrantMaxAge = time.Second
	// heartbeatInterval is the time between two rounds of heartbeats to the schedulers of
	// pools with open requests.
	heartbeatInterval = 250 * time.Millisecond
	// runningHeartbeatRounds is the number of rounds per heartbeat for a pool whose open
	// requests are all running. With one every 750 ms, two are due before the scheduler drops
	// a router that was silent for 2 s.
	runningHeartbeatRounds = 3
	// maxAttempts bounds the attempts of one request, the first one included.
	maxAttempts = 4
	// claimTimeout bounds the wait for a claim to be committed.
	claimTimeout = 5 * time.Second
	// finishTimeout bounds the wait for the end of a claim to be committed before the
	// caller gets the answer.
	finishTimeout = 2 * time.Second
	// refusedRetryDelay is the delay before a retry after an upstream refused a request.
	refusedRetryDelay = 20 * time.Millisecond
)

// Sender sends a message to a host without blocking.
type Sender interface {
	Send(to string, kind wire.Kind, msg any) error
}

// UpstreamClient sends requests to upstreams.
type UpstreamClient interface {
	Do(ctx context.Context, r *engine.Request, s engine.Sink) engine.Result
}

// Control gives access to the replicated state.
type Control interface {
	Config() *config.Config
	ConfigCurrent() bool
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
	Host           string
	Boot           uint64
	DataCentre     string
	Sender         Sender
	UpstreamClient UpstreamClient
	Control        Control
	Clock          Clock
	Log            *logrus.Entry
	Registry       metrics.Registry
}

// Router serves the requests of the callers of one host.
type Router struct {
	opts     Options
	counters counters

	// mu guards the fields below. It is never held during I/O; Sender does not block.
	mu              sync.Mutex
	lastSeq         uint64
	heartbeatRounds uint64
	pools           map[string]*poolView
	openRequests    map[uint64]*openRequest
}

type counters struct {
	requests, rateLimited, grants, rejectedGrants, retries, claims, replays, resumes, ignoredMessages metrics.Counter
}

// New returns a Router that knows no scheduler yet; see LeasesChanged.
func New(opts Options) *Router {
	r := &Router{opts: opts, pools: map[string]*poolView{}, openRequests: map[uint64]*openRequest{}}
	r.counters = counters{
		requests:        metrics.GetOrRegisterCounter("router.requests", opts.Registry),
		rateLimited:     metrics.GetOrRegisterCounter("router.rate_limited_here", opts.Registry),
		grants:          metrics.GetOrRegisterCounter("router.grants", opts.Registry),
		rejectedGrants:  metrics.GetOrRegisterCounter("router.grants_rejected", opts.Registry),
		retries:         metrics.GetOrRegisterCounter("router.retries", opts.Registry),
		claims:          metrics.GetOrRegisterCounter("router.claims", opts.Registry),
		replays:         metrics.GetOrRegisterCounter("router.claims_replayed", opts.Registry),
		resumes:         metrics.GetOrRegisterCounter("router.streams_resumed", opts.Registry),
		ignoredMessages: metrics.GetOrRegisterCounter("router.messages_ignored", opts.Registry),
	}
	return r
}

// OpenRequests returns the number of requests that have not ended.
func (r *Router) OpenRequests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.openRequests)
}

// Run sends heartbeats to the schedulers until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			r.sendHeartbeats()
		}
	}
}

// Status describes the router's open requests.
type Status struct {
	Waiting    int
	Running    int
	ByUpstream map[string]int
}

// Status returns the numbers of waiting and running requests, and of running ones per
// upstream.
func (r *Router) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := Status{ByUpstream: map[string]int{}}
	for _, req := range r.openRequests {
		if req.upstream == "" {
			st.Waiting++
			continue
		}
		st.Running++
		st.ByUpstream[req.upstream]++
	}
	return st
}
