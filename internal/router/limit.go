package router

import (
	"time"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

const (
	// maxRateHold bounds how long a router refuses by itself after one refusal of the
	// scheduler. The scheduler may have refused by an older revision of the contract.
	maxRateHold = 250 * time.Millisecond
	// maxRetryAfter bounds the delay that a caller is told.
	maxRetryAfter = time.Minute
)

// rateHold remembers that an account has spent its rate in a pool. Until the scheduler
// has a token again it would refuse every ticket, so the router refuses by itself. An
// account that floods then costs no control traffic per request.
type rateHold struct {
	until time.Duration
	// revision is the contract's revision; a changed contract ends the hold.
	revision uint64
	// refused counts the requests refused since it began.
	refused int
}

// after returns the delay for one more refused caller. Each caller is told to come when
// the token after those of the earlier ones is due, so that they do not all come at once.
func (g *rateHold) after(now time.Duration, rate float64) time.Duration {
	d := max(g.until-now, 0)
	if rate > 0 {
		d += time.Duration(min(float64(g.refused)/rate, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	g.refused++
	return min(d, maxRetryAfter)
}

// checkRate refuses a request whose account has spent its rate, or returns nil. A retry
// takes no token and is never refused here.
func (r *Router) checkRate(u *run, retry bool) error {
	if retry {
		return nil
	}
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(u.call.Pool)
	g := p.rateHolds[u.call.Account]
	if g == nil {
		return nil
	}
	if now >= g.until || g.revision != u.contract.Revision {
		delete(p.rateHolds, u.call.Account)
		return nil
	}
	r.counters.rateLimited.Inc(1)
	return fault.New(fault.RateLimited, fault.NotRun, "the account has spent its rate").After(g.after(now, u.contract.RequestsPerSecond))
}

// noteLimit begins the hold of an account that the scheduler refused for its rate, and
// spreads the delays of the refused callers. r.mu is held.
func (r *Router) noteLimit(p *poolView, q *request, f *wire.Refuse) {
	if f.Code != fault.RateLimited || f.RetryAfter <= 0 {
		return
	}
	now := r.o.Clock.Now()
	g := p.rateHolds[q.ticket.Account]
	if g == nil || now >= g.until || g.revision != q.revision {
		g = &rateHold{until: now + min(f.RetryAfter, maxRateHold), revision: q.revision}
		p.rateHolds[q.ticket.Account] = g
	}
	f.RetryAfter = max(f.RetryAfter, g.after(now, q.rate))
}
