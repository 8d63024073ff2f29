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

// event is a scheduler's decision on a ticket.
type event struct {
	grant  *wire.Grant
	refuse *wire.Refuse
}

// request is one open ticket. The fields below the ticket are guarded by Router.mu.
type request struct {
	ticket wire.Ticket
	// waitUntil is the router clock at which the ticket's wait ends.
	waitUntil time.Duration
	// rate and revision are those of the account's contract.
	rate     float64
	revision uint64
	// granted is true once a decision was handed to the request.
	granted bool
	// upstream is set from the moment the request is sent.
	upstream string
	// estimate is the cost that the grant was charged.
	estimate float64
	events   chan event
}

// ticketAt returns the ticket with its remaining wait at the given router clock.
func (q *request) ticketAt(now time.Duration) wire.Ticket {
	t := q.ticket
	t.RouterClock = now
	t.MaxWait = max(q.waitUntil-now, 0)
	return t
}

// run is the state of one caller's request over all its attempts.
type run struct {
	call     *frontend.Call
	contract config.Contract
	pool     config.Pool
	sink     *sink
	// waitUntil is the router clock at which waiting ends, over all attempts.
	waitUntil time.Duration
	avoid     string
	// attempt identifies the holder of the claim of a non-idempotent request.
	attempt string
	offset  int
	// mayHaveRun is true once an attempt may have been run by an upstream.
	mayHaveRun bool
}

// Serve runs a request to its end. It implements frontend.Service. Errors are of type
// *fault.Error and carry the run state.
func (r *Router) Serve(ctx context.Context, call *frontend.Call, a frontend.Answer) error {
	r.counters.requests.Inc(1)
	if !r.o.Control.Current() {
		return fault.New(fault.HostIsolated, fault.NotRun, "configuration of this host is not confirmed").After(time.Second)
	}
	u, err := r.prepare(call, a)
	if err != nil {
		return err
	}
	if call.Idempotent {
		return r.attempts(ctx, u)
	}
	return r.serveClaimed(ctx, u)
}

func (r *Router) prepare(call *frontend.Call, a frontend.Answer) (*run, error) {
	c := r.o.Control.Config()
	contract, ok := c.Contracts[call.Account]
	if !ok {
		return nil, fault.New(fault.Unauthenticated, fault.NotRun, "account has no contract")
	}
	pool, ok := c.Pools[call.Pool]
	if !ok {
		return nil, fault.New(fault.PoolUnknown, fault.NotRun, "no model or service named %q", call.Pool)
	}
	u := &run{call: call, contract: contract, pool: pool, sink: newSink(a, !call.Idempotent)}
	u.waitUntil = r.o.Clock.Now() + contract.MaxWait
	if left := time.Until(call.Deadline); !call.Deadline.IsZero() && left < contract.MaxWait {
		u.waitUntil = r.o.Clock.Now() + left
	}
	return u, nil
}

// attempts repeats a request for as long as a repeat is allowed.
func (r *Router) attempts(ctx context.Context, u *run) error {
	for n := 1; ; n++ {
		res, err := r.attempt(ctx, u, n > 1)
		if err != nil {
			return u.withRunState(err)
		}
		if res.Outcome == wire.OutcomeDone || res.Outcome == wire.OutcomeFailed && u.sink.began {
			return r.deliver(u)
		}
		u.mayHaveRun = u.mayHaveRun || started(res.Outcome)
		if !r.mayRepeat(u, res, n) {
			return u.failure(res)
		}
		u.avoid = res.upstream
		r.counters.retries.Inc(1)
		if res.Outcome == wire.OutcomeRefused {
			if !wait.For(ctx, refusedPause) {
				return u.withRunState(fault.New(fault.CallerGone, fault.NotRun, "caller closed the connection"))
			}
		}
	}
}

// deliver ends a request whose upstream gave its whole answer.
func (r *Router) deliver(u *run) error {
	if !u.call.Idempotent {
		r.recordAnswer(u)
	}
	return u.sink.finish()
}

// started says whether an attempt with this outcome may have run at the upstream.
func started(o wire.Outcome) bool {
	return retry.RunStateOf(o) != fault.NotRun
}

// mayRepeat decides on another attempt. A request that may have started is repeated
// only if it is idempotent, and after part of the answer was passed on only if the
// engine resumes streams.
func (r *Router) mayRepeat(u *run, res attemptResult, n int) bool {
	if n >= maxAttempts || !retry.Repeatable(res.Outcome, u.call.Idempotent) {
		return false
	}
	if !started(res.Outcome) {
		return r.o.Clock.Now() < u.waitUntil
	}
	if !u.sink.began {
		return true
	}
	if u.pool.Resume && u.call.Stream {
		u.offset += res.Delivered
		r.counters.resumes.Inc(1)
		return true
	}
	return false
}

// withRunState corrects the run state of a refusal of a later attempt: an earlier
// attempt may have run.
func (u *run) withRunState(err error) error {
	f := fault.As(err)
	if u.mayHaveRun && f.Run == fault.NotRun {
		c := *f
		c.Run = fault.MayHaveRun
		return &c
	}
	return f
}

// failure is the error of a request whose last attempt failed.
func (u *run) failure(res attemptResult) error {
	if u.sink.began {
		return fault.Wrap(errOf(res), fault.StreamCut, fault.MayHaveRun, "answer of upstream %s ended early", res.upstream)
	}
	switch res.Outcome {
	case wire.OutcomeRefused, wire.OutcomeUnreachable:
		return u.withRunState(fault.New(fault.UpstreamRefused, fault.NotRun, "upstream %s took no work", res.upstream).After(time.Second))
	case wire.OutcomeFailed:
		return fault.Wrap(errOf(res), fault.UpstreamFailed, fault.RanAndFailed, "upstream %s failed", res.upstream)
	case wire.OutcomeCancelled:
		return fault.As(errOf(res))
	}
	return fault.Wrap(errOf(res), fault.UpstreamFailed, fault.MayHaveRun, "connection to upstream %s broke", res.upstream)
}

func errOf(res attemptResult) error {
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
