package loadgen

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wait"
)

// Causes of failed tries that carry no code of a host.
const (
	// CauseNoConnection means that no connection took the whole request.
	CauseNoConnection = "no_connection"
	// CauseNoAnswer means that the connection ended without an answer or a refusal.
	CauseNoAnswer = "no_answer"
	// CauseTimeout means that the caller's timeout passed.
	CauseTimeout = "timeout"
	// CauseBroken means that the connection ended inside the answer.
	CauseBroken = "broken"
)

// FailureCause says why a request brought nothing new, empty if it did or if the caller cancelled it.
func (r *RoutedResult) FailureCause() string {
	switch {
	case !r.First.IsZero() || r.CallerCancelled:
		return ""
	case r.TimedOut:
		return CauseTimeout
	case r.Unanswered():
		return CauseNoAnswer
	case r.Cut && r.Status == 0:
		return CauseNoConnection
	case r.Cut:
		return CauseBroken
	case r.FailureCode != "":
		return r.FailureCode
	case r.Status == http.StatusOK:
		return "" // the rest of a resumed stream may be empty
	}
	return fmt.Sprint("status_", r.Status)
}

// StreamTry is one request of a caller for a stream.
type StreamTry struct {
	RoutedResult
	// Resumption is 0 for a request for a new stream, and otherwise the number of times that the
	// stream has been broken. Last means that no further try of the same resumption follows.
	Resumption int
	Last       bool
}

// Succeeded reports whether the try brought an event, or the end of a stream that had only that left.
func (t *StreamTry) Succeeded() bool {
	return t.FailureCause() == "" && t.Fault == "" && !t.CallerCancelled
}

// minTryDelay is the pause between two tries of a caller whose refusal names none.
const minTryDelay = 100 * time.Millisecond

// maxTries bounds the requests of one resumption, also while no host serves.
const maxTries = 100

// reachedFleet reports whether a host answered that has a valid configuration.
func (t *StreamTry) reachedFleet() bool {
	cause := t.FailureCause()
	return cause != CauseNoConnection && cause != string(fault.HostIsolated)
}

// maxResumptions bounds how often one stream is resumed.
const maxResumptions = 10

// FollowStream requests a stream and resumes it after each break of its connection until it is
// complete. It makes at most tries requests to begin the stream, and as many for each resumption, with
// the pause that the host names. Those that find no host that serves don't count, so that callers come
// back after the hosts. It passes each try to record. timeout bounds each try.
func (c *RoutedCaller) FollowStream(ctx context.Context, q RoutedRequest, tries int, timeout time.Duration, record func(StreamTry)) {
	first, received := q.ID, 0
	for resumption := 0; resumption <= maxResumptions; resumption++ {
		t := c.tryStream(ctx, q, resumption, tries, timeout, record)
		if !t.Cut || !t.Succeeded() || t.Events >= q.Events || ctx.Err() != nil {
			return
		}
		if received == 0 {
			first = t.ID
		}
		received = t.Events
		q.LastEvent, q.Resumes = received, first
		wait.For(ctx, minTryDelay)
	}
}

// tryStream sends a request until it succeeds or no try is left, and returns the last try.
func (c *RoutedCaller) tryStream(ctx context.Context, q RoutedRequest, resumption, tries int, timeout time.Duration, record func(StreamTry)) (t StreamTry) {
	id := q.ID
	for n := 0; ; n++ {
		if resumption > 0 || n > 0 {
			q.ID = fmt.Sprintf("%s.%d.%d", id, resumption, n)
		}
		t = StreamTry{Resumption: resumption}
		t.RoutedResult = c.tryOnce(ctx, q, timeout)
		if t.reachedFleet() {
			tries--
		}
		t.Last = tries <= 0 || n == maxTries || t.Succeeded() || t.Fault != "" || ctx.Err() != nil
		record(t)
		if t.Last {
			break
		}
		if t.Cut {
			c.ExpireAddresses()
		}
		wait.For(ctx, max(t.RetryAfter, minTryDelay))
	}
	return t
}

// tryOnce sends a request to one of the addresses that discovery names. Without an address the result
// is that of a request that found no connection.
func (c *RoutedCaller) tryOnce(ctx context.Context, q RoutedRequest, timeout time.Duration) RoutedResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if c.Discover(ctx) != nil {
		return RoutedResult{ID: q.ID, Sent: time.Now(), Ended: time.Now(), Cut: true}
	}
	return c.Send(ctx, c.Address(), q)
}
