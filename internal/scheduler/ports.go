// Package scheduler runs the decision core of one pool (package sched) on one host while
// the host holds the pool's lease. It turns messages from routers into calls to the core,
// sends grants and refusals, and polls the upstreams for load and cache events.
package scheduler

import (
	"context"
	"time"

	"marigoldshunt/internal/wire"
)

// Sender queues messages for other hosts. It must not block for long.
type Sender interface {
	Send(to string, kind wire.Kind, msg any) error
}

// LeaseSource tells until when, on the process's monotonic clock, this host holds a pool's
// lease. HeldUntil is called with Scheduler.mu held, so it must not take a lock that is
// held during calls of the Scheduler.
type LeaseSource interface {
	HeldUntil(pool string) (fence uint64, until time.Duration, ok bool)
}

// LoadReport is an upstream's answer to a load poll. Counts are -1 if the answer had no
// load report.
type LoadReport struct {
	Instance string
	Running  int
	Queued   int
	// Age is how old the values were when the upstream answered, 0 if unknown.
	Age time.Duration
}

// CacheEvent lists the prompt prefixes added to and removed from an upstream's cache.
type CacheEvent struct {
	Seq            uint64
	Added, Removed []wire.Digest
}

// CacheBatch is a list of cache events in order of their sequence numbers.
type CacheBatch struct {
	Events []CacheEvent
}

// LoadSource asks an upstream for its load and for the cache events after a sequence
// number.
type LoadSource interface {
	FetchLoad(ctx context.Context, address string) (LoadReport, error)
	CacheEvents(ctx context.Context, address string, since uint64) (CacheBatch, error)
}

// CrashStore writes a crash mark to the replicated state. MarkCrash returns when the mark is
// written or the write has failed.
type CrashStore interface {
	MarkCrash(ctx context.Context, pool string, fingerprint wire.Digest, upstream string)
}

// Clock is the process's monotonic clock.
type Clock interface {
	Now() time.Duration
}
