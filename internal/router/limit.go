package router

import (
	"time"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

const (
	// maxThrottle bounds how long a router refuses requests locally after one refusal by
	// the scheduler, which may have applied an older revision of the contract.
	maxThrottle = 250 * time.Millisecond
	// maxRetryAfter bounds the retry delay that is sent to a caller.
	maxRetryAfter = time.Minute
)

// throttle records that an account has exceeded its rate limit in a pool. The scheduler
// would refuse every ticket until the account has a token again, so the router refuses
// requests locally. A flood from one account then causes no message per request.
type throttle struct {
	until time.Duration
	// revision is the contract's revision; a changed contract ends the throttle.
	revision uint64
	// refused counts the requests refused since the throttle began.
	refused int
}

// nextRetryAfter returns the retry delay for one more refused request and counts it. Each
// caller is sent the time of the next token that no earlier caller was promised, so that
// they do not all retry at once.
func (t *throttle) nextRetryAfter(now time.Duration, rate float64) time.Duration {
	d := max(t.until-now, 0)
	if rate > 0 {
		d += time.Duration(min(float64(t.refused)/rate, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	t.refused++
	return min(d, maxRetryAfter)
}

// checkThrottle returns an error for a request of a throttled account. A retry takes no
// token and is never refused here.
func (r *Router) checkThrottle(cs *callState, retry bool) error {
	if retry {
		return nil
	}
	now := r.opts.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(cs.call.Pool)
	t := p.throttles[cs.call.Account]
	if t == nil {
		return nil
	}
	if now >= t.until || t.revision != cs.contract.Revision {
		delete(p.throttles, cs.call.Account)
		return nil
	}
	r.counters.rateLimited.Inc(1)
	return fault.New(fault.RateLimited, fault.NotRun, "the account has spent its rate").WithRetryAfter(t.nextRetryAfter(now, cs.contract.RequestsPerSecond))
}

// throttleAccount throttles an account that the scheduler refused for its rate, and
// staggers the retry delays of the refused callers. r.mu must be held.
func (r *Router) throttleAccount(p *poolView, req *openRequest, f *wire.Refusal) {
	if f.Code != fault.RateLimited || f.RetryAfter <= 0 {
		return
	}
	now := r.opts.Clock.Now()
	t := p.throttles[req.ticket.Account]
	if t == nil || now >= t.until || t.revision != req.contractRevision {
		t = &throttle{until: now + min(f.RetryAfter, maxThrottle), revision: req.contractRevision}
		p.throttles[req.ticket.Account] = t
	}
	f.RetryAfter = max(f.RetryAfter, t.nextRetryAfter(now, req.contractRate))
}
