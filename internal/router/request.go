package router

import (
	"context"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/frontend"
	"marigoldshunt/internal/retry"
	"marigoldshunt/internal/wait"
	"marigoldshunt/internal/wire"
)

// decision is a scheduler's decision on a ticket.
type decision struct {
	grant   *wire.Grant
	refusal *wire.Refusal
}

// openRequest is a request with an open ticket, waiting or running. The fields below the
// ticket are guarded by Router.mu.
type openRequest struct {
	ticket wire.Ticket
	// waitUntil is the router clock at which the ticket's wait expires.
	waitUntil time.Duration
	// contractRate, in requests per second, and contractRevision are those of the
	// account's contract.
	contractRate     float64
	contractRevision uint64
	// decided is true once the scheduler's decision was passed to the request.
	decided bool
	// upstream is set from the moment the request is sent.
	upstream string
	// estimate is the cost that was charged for the grant, grantedAt the router clock at which
	// the request took it.
	estimate  float64
	grantedAt time.Duration
	decisions chan decision
}

// ticketAt returns the ticket with the given router clock and its remaining wait.
func (req *openRequest) ticketAt(now time.Duration) wire.Ticket {
	t := req.ticket
	t.RouterClock = now
	t.MaxWait = max(req.waitUntil-now, 0)
	return t
}

// callState is the state of one caller's request over all its attempts.
type callState struct {
	call     *frontend.Call
	contract config.Contract
	pool     config.Pool
	sink     *sink
	// waitUntil is the router clock at which the wait of all attempts expires.
	waitUntil time.Duration
	avoid     string
	// claimAttempt identifies the holder of the claim of a non-idempotent request.
	claimAttempt string
	resumeOffset int
	// mayHaveRun is true once an upstream may have run an attempt.
	mayHaveRun bool
}

// Serve processes a request until it is answered or fails. It implements
// frontend.CallHandler. Errors are of type *fault.Error and carry the run state.
func (r *Router) Serve(ctx context.Context, call *frontend.Call, w frontend.ResponseWriter) error {
	r.counters.requests.Inc(1)
	if !r.opts.Control.ConfigCurrent() {
		return fault.New(fault.HostIsolated, fault.NotRun, "configuration of this host is not confirmed").WithRetryAfter(time.Second)
	}
	cs, err := r.prepare(call, w)
	if err != nil {
		return err
	}
	if call.Idempotent {
		return r.runAttempts(ctx, cs)
	}
	return r.serveClaimed(ctx, cs)
}

func (r *Router) prepare(call *frontend.Call, w frontend.ResponseWriter) (*callState, error) {
	c := r.opts.Control.Config()
	contract, ok := c.Contracts[call.Account]
	if !ok {
		return nil, fault.New(fault.Unauthenticated, fault.NotRun, "account has no contract")
	}
	pool, ok := c.Pools[call.Pool]
	if !ok {
		return nil, fault.New(fault.PoolUnknown, fault.NotRun, "no model or service named %q", call.Pool)
	}
	cs := &callState{call: call, contract: contract, pool: pool, sink: newSink(w, !call.Idempotent)}
	cs.waitUntil = r.opts.Clock.Now() + contract.MaxWait
	if left := time.Until(call.Deadline); !call.Deadline.IsZero() && left < contract.MaxWait {
		cs.waitUntil = r.opts.Clock.Now() + left
	}
	return cs, nil
}

// runAttempts tries a request until it is answered or may not be retried.
func (r *Router) runAttempts(ctx context.Context, cs *callState) error {
	for n := 1; ; n++ {
		res, err := r.runAttempt(ctx, cs, n > 1)
		if err != nil {
			return cs.withRunState(err)
		}
		if res.Outcome == wire.OutcomeDone || res.Outcome == wire.OutcomeFailed && cs.sink.began {
			return r.deliver(cs)
		}
		cs.mayHaveRun = cs.mayHaveRun || mayHaveRun(res.Outcome)
		if !r.mayRetry(cs, res, n) {
			return cs.failure(res)
		}
		cs.avoid = res.upstream
		cs.resumeOffset += res.DeliveredEvents
		r.counters.retries.Inc(1)
		if res.Outcome == wire.OutcomeRefused {
			if !wait.For(ctx, refusedRetryDelay) {
				return cs.withRunState(fault.New(fault.CallerGone, fault.NotRun, "caller closed the connection"))
			}
		}
	}
}

// deliver ends a request whose upstream gave a complete answer.
func (r *Router) deliver(cs *callState) error {
	if !cs.call.Idempotent {
		r.recordAnswer(cs)
	}
	return cs.sink.flush()
}

// mayHaveRun reports whether an attempt with this outcome may have run at the upstream.
func mayHaveRun(o wire.Outcome) bool {
	return retry.RunStateOf(o) != fault.NotRun
}

// mayRetry reports whether another attempt is allowed. A request that may have run is
// retried only if it is idempotent. Once any of the answer was passed on, it must also
// be a stream of a pool that resumes streams.
func (r *Router) mayRetry(cs *callState, res attemptResult, n int) bool {
	if n >= maxAttempts || !retry.Retryable(res.Outcome, cs.call.Idempotent) {
		return false
	}
	if !mayHaveRun(res.Outcome) {
		return r.opts.Clock.Now() < cs.waitUntil
	}
	return !cs.sink.began || cs.pool.Resume && cs.call.Stream
}

// withRunState corrects the run state when a later attempt did not run: an earlier one
// may have.
func (cs *callState) withRunState(err error) error {
	f := fault.As(err)
	if cs.mayHaveRun && f.RunState == fault.NotRun {
		c := *f
		c.RunState = fault.MayHaveRun
		return &c
	}
	return f
}

// failure returns the error for a request whose last attempt failed.
func (cs *callState) failure(res attemptResult) error {
	if cs.sink.began {
		return fault.Wrap(resultError(res), fault.StreamCut, fault.MayHaveRun, "answer of upstream %s ended early", res.upstream)
	}
	switch res.Outcome {
	case wire.OutcomeRefused, wire.OutcomeUnreachable:
		return cs.withRunState(fault.New(fault.UpstreamRefused, fault.NotRun, "upstream %s took no work", res.upstream).WithRetryAfter(time.Second))
	case wire.OutcomeFailed:
		return fault.Wrap(resultError(res), fault.UpstreamFailed, fault.RanAndFailed, "upstream %s failed", res.upstream)
	case wire.OutcomeCancelled:
		return fault.As(resultError(res))
	}
	return fault.Wrap(resultError(res), fault.UpstreamFailed, fault.MayHaveRun, "connection to upstream %s broke", res.upstream)
}

func resultError(res attemptResult) error {
	if res.Err != nil {
		return res.Err
	}
	return fault.New(fault.UpstreamFailed, fault.MayHaveRun, "no further detail")
}

// attemptResult is the result of one granted attempt.
type attemptResult struct {
	engine.Result
	upstream string
}
