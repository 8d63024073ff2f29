package router

import (
	"context"
	"errors"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// attempt waits for a slot and runs the request once. An error means that this
// attempt was not sent to an upstream.
func (r *Router) attempt(ctx context.Context, u *run, retry bool) (attemptResult, error) {
	if err := r.checkRate(u, retry); err != nil {
		return attemptResult{}, err
	}
	for again := false; ; again = true {
		q := r.openTicket(u, retry, again)
		g, err := r.awaitGrant(ctx, q)
		if err != nil {
			return attemptResult{}, err
		}
		if !r.start(q, g) {
			// The grant was too old or its upstream is out: it is given back and the
			// request asks again, without paying the account's rate a second time.
			continue
		}
		return r.runAt(ctx, u, q, g), nil
	}
}

// openTicket registers a new ticket and sends it to the scheduler, if one is known.
// Otherwise the Sync to the next scheduler carries it.
func (r *Router) openTicket(u *run, retry, again bool) *request {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	q := &request{
		waitUntil: u.waitUntil, rate: u.contract.RequestsPerSecond, revision: u.contract.Revision,
		events: make(chan event, 1),
	}
	q.ticket = wire.Ticket{
		ID:          wire.TicketID{Host: r.o.Host, Boot: r.o.Boot, Seq: r.seq},
		Pool:        u.call.Pool,
		Account:     u.call.Account,
		DataCentre:  r.o.DataCentre,
		InputCost:   u.call.InputCost,
		Fingerprint: u.call.Fingerprint,
		Prefix:      u.call.Prefix,
		Idempotent:  u.call.Idempotent,
		Retry:       retry,
		Again:       again,
		Avoid:       u.avoid,
	}
	r.open[r.seq] = q
	if p := r.pool(u.call.Pool); p.scheduler != "" {
		r.send(p.scheduler, wire.KindTicket, q.ticketAt(r.o.Clock.Now()))
	}
	return q
}

// awaitGrant waits for the scheduler's decision, the end of the wait or the caller's
// departure. Once it returns an error, the ticket is withdrawn and a late grant is
// given back, so the request does not run later.
func (r *Router) awaitGrant(ctx context.Context, q *request) (wire.Grant, error) {
	timer := time.NewTimer(max(q.waitUntil-r.o.Clock.Now(), 0))
	defer timer.Stop()
	select {
	case e := <-q.events:
		if e.grant != nil {
			return *e.grant, nil
		}
		r.closeTicket(q)
		return wire.Grant{}, refusal(e.refuse)
	case <-timer.C:
		r.withdraw(q)
		return wire.Grant{}, fault.New(fault.WaitExpired, fault.NotRun, "no upstream was free within the longest wait").After(time.Second)
	case <-ctx.Done():
		r.withdraw(q)
		return wire.Grant{}, fault.New(fault.CallerGone, fault.NotRun, "caller closed the connection")
	}
}

func refusal(f *wire.Refuse) error {
	e := fault.New(f.Code, fault.NotRun, "scheduler refused the request")
	return e.After(f.RetryAfter)
}

func (r *Router) closeTicket(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, q.ticket.ID.Seq)
}

// withdraw removes a ticket here and at the scheduler. A grant that arrived at the
// same moment is given back.
func (r *Router) withdraw(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, q.ticket.ID.Seq)
	p := r.pool(q.ticket.Pool)
	if q.granted {
		if e := <-q.events; e.grant != nil {
			r.giveBack(p, *e.grant)
		}
		return
	}
	if p.scheduler != "" {
		r.send(p.scheduler, wire.KindCancel, wire.Cancel{ID: q.ticket.ID, Pool: q.ticket.Pool})
	}
}

// giveBack returns an unused grant. r.mu is held.
func (r *Router) giveBack(p *poolView, g wire.Grant) {
	r.send(p.scheduler, wire.KindGrantReturn, wire.GrantReturn{ID: g.ID, Pool: g.Pool, Fence: g.Fence})
}

// start marks a request as running if its grant is still valid at this moment.
func (r *Router) start(q *request, g wire.Grant) bool {
	c := r.o.Control.Config()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(g.Pool)
	fresh := r.o.Clock.Now()-g.Echo <= GrantMaxAge
	if !fresh || g.Fence < p.fence || g.Echo < p.syncedAt || !inService(c, g.Upstream) {
		r.counters.staleGrants.Inc(1)
		delete(r.open, q.ticket.ID.Seq)
		r.giveBack(p, g)
		return false
	}
	r.counters.grants.Inc(1)
	q.upstream, q.estimate = g.Upstream, g.Estimate
	if t, ok := p.tags[q.ticket.Account]; !ok || g.Tag > t {
		p.tags[q.ticket.Account] = g.Tag
	}
	return true
}

// inService says whether an upstream and its data centre are in service.
func inService(c *config.Config, upstream string) bool {
	u, ok := c.Upstreams[upstream]
	return ok && !u.Out && !c.DataCentres[u.DataCentre].Out
}

// runAt sends the request to the granted upstream and reports its end.
func (r *Router) runAt(ctx context.Context, u *run, q *request, g wire.Grant) attemptResult {
	limit := u.contract.MaxRun
	if left := time.Until(u.call.Deadline); !u.call.Deadline.IsZero() && left < limit {
		limit = left
	}
	if !u.call.Idempotent {
		// The answer is recorded even if the caller leaves, so that a resend gets it.
		ctx = context.WithoutCancel(ctx)
	}
	runCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	res := r.o.Engine.Do(runCtx, &engine.Request{
		Pool: u.pool, Upstream: g.Upstream, Address: g.Address,
		Method: u.call.Method, Path: u.call.Path, Query: u.call.Query,
		ContentType: u.call.ContentType, Body: u.call.Body, Header: u.call.Header,
		ID: u.call.ID, Key: u.call.Key, Prefix: u.call.Prefix, Offset: u.offset, Stream: u.call.Stream,
	}, u.sink)
	if res.Outcome == wire.OutcomeCancelled {
		res.Err = cancelReason(ctx, runCtx, res.Err)
	}
	r.end(q, g, res)
	return attemptResult{Result: res, upstream: g.Upstream}
}

// cancelReason tells a caller that left from a run that took too long.
func cancelReason(ctx, runCtx context.Context, err *fault.Error) *fault.Error {
	if ctx.Err() == nil && errors.Is(runCtx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.RunExpired, fault.MayHaveRun, "request exceeded its longest run time")
	}
	if err != nil {
		return err
	}
	return fault.New(fault.CallerGone, fault.MayHaveRun, "caller closed the connection")
}

// end reports an attempt to the pool's scheduler, which may be another one than the
// scheduler that granted it.
func (r *Router) end(q *request, g wire.Grant, res engine.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, q.ticket.ID.Seq)
	p := r.pool(g.Pool)
	r.send(p.scheduler, wire.KindFinish, wire.Finish{
		ID: g.ID, Pool: g.Pool, Upstream: g.Upstream, Outcome: res.Outcome,
		Cost: res.Cost, FirstByte: res.FirstByte, Run: res.Run,
		Instance: res.Instance, Queued: res.Queued,
	})
}
