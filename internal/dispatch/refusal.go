package dispatch

import (
	"strconv"
	"time"
)

// RefusalReason says why a gate refused a request.
type RefusalReason uint8

// Reasons of refusals. Hosts tell them to each other, so their numbers stay.
const (
	// UnknownReason is that of a refusal by an owner that does not tell it.
	UnknownReason RefusalReason = iota
	// RefusedLate is for requests whose first event was expected too late when they arrived.
	RefusedLate
	// RefusedFull is for requests that found maxWaiting others in the queue.
	RefusedFull
	// RefusedFromQueue is for queued requests whose first event can't be in time any more.
	RefusedFromQueue
	// RefusedPastDeadline is for queued requests whose deadline has passed.
	RefusedPastDeadline
	// RefusedUnreachable is for requests to an engine to which hosts can't connect.
	RefusedUnreachable
)

// String returns the name of the reason in logs.
func (r RefusalReason) String() string {
	switch r {
	case UnknownReason:
		return "unknown"
	case RefusedLate:
		return "would_be_late"
	case RefusedFull:
		return "queue_full"
	case RefusedFromQueue:
		return "dropped_from_queue"
	case RefusedPastDeadline:
		return "past_deadline"
	case RefusedUnreachable:
		return "engine_unreachable"
	}
	return "reason_" + strconv.Itoa(int(r))
}

// Refusal holds what decided that a gate refused a request, for the log.
type Refusal struct {
	Reason RefusalReason
	// Expected is the expected time until the first event, Limit the longest that would have
	// been accepted.
	Expected, Limit time.Duration
	// UnreadTokens counts the prompt tokens in progress at the engine, QueuedTokens those that
	// are queued before the request, and Tokens its own.
	UnreadTokens, QueuedTokens, Tokens int
	// Waiting and Running count the queued and the admitted requests.
	Waiting, Running int
	// PerMs is the estimated speed of the engine in prompt tokens per ms.
	PerMs float64
	// RateLimit is the number of requests per second that the upstream last said it takes. Only
	// the owner of the gate knows it.
	RateLimit float64
}

// refused tells OnRefusal why a request was refused.
func (g *Gate) refused(r AdmissionRequest, reason RefusalReason, expected time.Duration, queuedTokens, tokens int, limit time.Duration, now time.Time) {
	if g.OnRefusal == nil {
		return
	}
	g.OnRefusal(r, Refusal{
		Reason: reason, Expected: expected, Limit: limit, RateLimit: g.rateLimit.perSecond,
		UnreadTokens: g.unreadTokens(now), QueuedTokens: queuedTokens, Tokens: tokens, Waiting: len(g.waiting), Running: len(g.running), PerMs: g.speed.PerMs(),
	})
}

// Waiting returns the number of queued requests.
func (g *Gate) Waiting() int { return len(g.waiting) }
