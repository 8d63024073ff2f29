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

// runAttempt waits for a slot and sends the request once. An error means that this
// attempt was not sent to an upstream.
func (r *Router) runAttempt(ctx context.Context, cs *callState, retry bool) (attemptResult, error) {
	if err := r.checkThrottle(cs, retry); err != nil {
		return attemptResult{}, err
	}
	for again := false; ; again = true {
		req := r.openTicket(cs, retry, again)
		g, err := r.awaitGrant(ctx, req)
		if err != nil {
			return attemptResult{}, err
		}
		if !r.acceptGrant(req, g) {
			// The grant was too old or its upstream is out of service. It was returned, and
			// the request opens a new ticket that is not charged to the account's rate again.
			continue
		}
		return r.execute(ctx, cs, req, g), nil
	}
}

// openTicket registers a new ticket and sends it to the pool's scheduler. If none is
// known, the Sync to the next scheduler includes the ticket.
func (r *Router) openTicket(cs *callState, retry, again bool) *openRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSeq++
	req := &openRequest{
		waitUntil: cs.waitUntil, contractRate: cs.contract.RequestsPerSecond, contractRevision: cs.contract.Revision,
		decisions: make(chan decision, 1),
	}
	req.ticket = wire.Ticket{
		ID:          wire.TicketID{Host: r.opts.Host, Boot: r.opts.Boot, Seq: r.lastSeq},
		Pool:        cs.call.Pool,
		Account:     cs.call.Account,
		DataCentre:  r.opts.DataCentre,
		InputCost:   cs.call.InputCost,
		Fingerprint: cs.call.Fingerprint,
		Prefix:      cs.call.PrefixDigest,
		Idempotent:  cs.call.Idempotent,
		Retry:       retry,
		Again:       again,
		Avoid:       cs.avoid,
	}
	r.openRequests[r.lastSeq] = req
	if p := r.pool(cs.call.Pool); p.scheduler != "" {
		r.send(p.scheduler, wire.KindTicket, req.ticketAt(r.opts.Clock.Now()))
	}
	return req
}

// awaitGrant waits until the scheduler decides, the wait expires or the caller
// disconnects. Once it returns an error, the ticket is withdrawn and a late grant is
// returned, so the request does not run later.
func (r *Router) awaitGrant(ctx context.Context, req *openRequest) (wire.Grant, error) {
	timer := time.NewTimer(max(req.waitUntil-r.opts.Clock.Now(), 0))
	defer timer.Stop()
	select {
	case d := <-req.decisions:
		if d.grant != nil {
			return *d.grant, nil
		}
		r.closeTicket(req)
		return wire.Grant{}, refusalError(d.refusal)
	case <-timer.C:
		r.withdraw(req)
		return wire.Grant{}, fault.New(fault.WaitExpired, fault.NotRun, "no upstream was free within the longest wait").WithRetryAfter(time.Second)
	case <-ctx.Done():
		r.withdraw(req)
		return wire.Grant{}, fault.New(fault.CallerGone, fault.NotRun, "caller closed the connection")
	}
}

func refusalError(f *wire.Refusal) error {
	e := fault.New(f.Code, fault.NotRun, "scheduler refused the request")
	return e.WithRetryAfter(f.RetryAfter)
}

func (r *Router) closeTicket(req *openRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.openRequests, req.ticket.ID.Seq)
}

// withdraw removes a ticket from the router and cancels it at the scheduler. If a grant
// has just arrived, it is returned instead.
func (r *Router) withdraw(req *openRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.openRequests, req.ticket.ID.Seq)
	p := r.pool(req.ticket.Pool)
	if req.decided {
		if d := <-req.decisions; d.grant != nil {
			r.returnGrant(p, *d.grant)
		}
		return
	}
	if p.scheduler != "" {
		r.send(p.scheduler, wire.KindCancel, wire.Cancel{ID: req.ticket.ID, Pool: req.ticket.Pool})
	}
}

// returnGrant returns an unused grant to the scheduler. r.mu must be held.
func (r *Router) returnGrant(p *poolView, g wire.Grant) {
	r.send(p.scheduler, wire.KindGrantReturn, wire.GrantReturn{ID: g.ID, Pool: g.Pool, Fence: g.Fence})
}

// acceptGrant marks a request as running if its grant is still valid. Otherwise it
// returns the grant to the scheduler.
func (r *Router) acceptGrant(req *openRequest, g wire.Grant) bool {
	c := r.opts.Control.Config()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(g.Pool)
	now := r.opts.Clock.Now()
	fresh := now-g.Echo <= GrantMaxAge
	if !fresh || g.Fence < p.fence || g.Echo < p.syncedAt || !inService(c, g.Upstream) {
		r.counters.rejectedGrants.Inc(1)
		delete(r.openRequests, req.ticket.ID.Seq)
		r.returnGrant(p, g)
		return false
	}
	r.counters.grants.Inc(1)
	req.upstream, req.estimate, req.grantedAt = g.Upstream, g.Estimate, now
	if t, ok := p.shareTags[req.ticket.Account]; !ok || g.Tag > t {
		p.shareTags[req.ticket.Account] = g.Tag
	}
	return true
}

// inService reports whether an upstream and its data centre are in service.
func inService(c *config.Config, upstream string) bool {
	u, ok := c.Upstreams[upstream]
	return ok && !u.Out && !c.DataCentres[u.DataCentre].Out
}

// execute sends the request to the granted upstream and reports the outcome to the
// scheduler.
func (r *Router) execute(ctx context.Context, cs *callState, req *openRequest, g wire.Grant) attemptResult {
	if cs.sink.began {
		r.counters.resumes.Inc(1)
	}
	limit := cs.contract.MaxRun
	if left := time.Until(cs.call.Deadline); !cs.call.Deadline.IsZero() && left < limit {
		limit = left
	}
	if !cs.call.Idempotent {
		// The answer is recorded even if the caller disconnects, so that a resend gets it.
		ctx = context.WithoutCancel(ctx)
	}
	runCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	res := r.opts.UpstreamClient.Do(runCtx, &engine.Request{
		Pool: cs.pool, Upstream: g.Upstream, Address: g.Address,
		Method: cs.call.Method, Path: cs.call.Path, Query: cs.call.Query,
		ContentType: cs.call.ContentType, Body: cs.call.Body, Header: cs.call.Header,
		ID: cs.call.ID, IdempotencyKey: cs.call.IdempotencyKey, PrefixDigest: cs.call.PrefixDigest, Offset: cs.resumeOffset, Stream: cs.call.Stream,
		Repeatable: cs.call.Idempotent,
	}, cs.sink)
	if res.Outcome == wire.OutcomeCancelled {
		res.Err = cancelReason(ctx, runCtx, res.Err)
	}
	r.reportFinish(req, g, res)
	return attemptResult{Result: res, upstream: g.Upstream}
}

// cancelReason distinguishes a run that exceeded its time limit from a caller that
// disconnected.
func cancelReason(ctx, runCtx context.Context, err *fault.Error) *fault.Error {
	if ctx.Err() == nil && errors.Is(runCtx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.RunExpired, fault.MayHaveRun, "request exceeded its longest run time")
	}
	if err != nil {
		return err
	}
	return fault.New(fault.CallerGone, fault.MayHaveRun, "caller closed the connection")
}

// reportFinish reports the end of an attempt to the pool's present scheduler, which may
// not be the one that granted it.
func (r *Router) reportFinish(req *openRequest, g wire.Grant, res engine.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.openRequests, req.ticket.ID.Seq)
	p := r.pool(g.Pool)
	r.send(p.scheduler, wire.KindFinish, wire.Finish{
		ID: g.ID, Pool: g.Pool, Upstream: g.Upstream, Outcome: res.Outcome,
		Cost: res.Cost, FirstByte: res.TimeToFirstByte, Run: res.RunTime,
		Instance: res.Instance, Queued: res.Queued,
	})
}
