package sched

import (
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/wire"
)

// Pool is the scheduler state of one pool. It is not safe for concurrent use.
type Pool struct {
	o Options
}

// New returns a Pool without accounts or upstreams; Configure supplies them.
func New(o Options) *Pool { return &Pool{o: o} }

// Configure applies a configuration revision.
func (p *Pool) Configure(now time.Duration, c *config.Config) {}

// Submit queues a ticket. It returns nil when the ticket is queued or already known.
func (p *Pool) Submit(now time.Duration, t *wire.Ticket) *wire.Refuse { return nil }

// Cancel withdraws a waiting ticket.
func (p *Pool) Cancel(now time.Duration, id wire.TicketID) {}

// Next returns the next grant. Callers repeat it until it returns false.
func (p *Pool) Next(now time.Duration) (Grant, bool) { return Grant{}, false }

// Finish ends a grant.
func (p *Pool) Finish(now time.Duration, f *wire.Finish) Effects { return Effects{} }

// Return ends a grant that the router did not use.
func (p *Pool) Return(now time.Duration, id wire.TicketID) {}

// Sync replaces what the pool knows about a router with the router's own view.
func (p *Pool) Sync(now time.Duration, router string, boot uint64, s *wire.Sync) {}

// DropRouter forgets a lost router.
func (p *Pool) DropRouter(now time.Duration, router string, boot uint64) {}

// Report applies a load report.
func (p *Pool) Report(now time.Duration, r LoadReport) Effects { return Effects{} }

// CacheEvent records prefixes that an upstream's cache gained and lost.
func (p *Pool) CacheEvent(now time.Duration, upstream string, seq uint64, added, removed []wire.Digest) {
}

// RestoreMark records a crash mark from the replicated state.
func (p *Pool) RestoreMark(fingerprint wire.Digest, upstream string, until time.Duration) {}

// Expire appends refusals of tickets whose wait ended or that can no longer be served.
func (p *Pool) Expire(now time.Duration, out []wire.Refuse) []wire.Refuse { return out }

// Status describes the pool.
func (p *Pool) Status(now time.Duration) Status { return Status{Pool: p.o.Pool.Name} }
