// Package wire defines the messages between the hosts of the fleet.
package wire

import (
	"encoding/hex"
	"time"

	"marigoldshunt/internal/fault"
)

// Envelope carries one message between two hosts.
type Envelope struct {
	Kind Kind
	From string
	Boot uint64
	// HLC is the sender's hybrid logical clock.
	HLC     uint64
	Payload []byte
}

// Fragment is a part of a message that does not fit into a frame. The fragments of a message follow
// one another on a connection.
type Fragment struct {
	// Kind is the kind of the whole message.
	Kind Kind
	// Part counts the fragments of the message from 0.
	Part int
	Last bool
	Data []byte
}

// TicketID identifies a request uniquely in the fleet, also across restarts.
type TicketID struct {
	Host string
	Boot uint64
	Seq  uint64
}

// Digest identifies a request body or a prompt prefix.
type Digest [16]byte

// String returns the digest in hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses what String returns.
func ParseDigest(text string) (d Digest, err error) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(d) {
		return d, fault.New(fault.BadRequest, fault.NotRun, "%q is not a digest of %d hexadecimal digits", text, 2*len(d))
	}
	copy(d[:], data)
	return d, nil
}

// Ticket asks the pool scheduler for an upstream slot.
type Ticket struct {
	ID         TicketID
	Pool       string
	Account    string
	DataCentre string
	// InputCost is the part of the cost known from the request's size.
	InputCost   float64
	Fingerprint Digest
	Prefix      Digest
	Idempotent  bool
	// Retry is true for a repeated attempt, which is charged to the retry budget.
	Retry bool
	// Avoid names the upstream that failed the earlier attempt.
	Avoid string
	// MaxWait is the remaining time that the request may wait for a slot.
	MaxWait time.Duration
	// RouterClock is the router's monotonic clock when it sent the ticket.
	RouterClock time.Duration
	// Again is true for a second ticket of the same attempt: the earlier one was granted, but
	// the router could not use the grant. The earlier one was already charged to the account's
	// rate limit or to the retry budget.
	Again bool
}

// Cancel withdraws a ticket.
type Cancel struct {
	ID   TicketID
	Pool string
}

// Grant gives a ticket a slot at an upstream.
type Grant struct {
	ID       TicketID
	Pool     string
	Upstream string
	Address  string
	// Fence is the fencing number of the scheduler's lease.
	Fence uint64
	// Echo is the latest RouterClock that the scheduler received from this router.
	Echo time.Duration
	// Tag is the account's fair queueing tag and Virtual the pool's virtual time. The router
	// passes them to the pool's next scheduler, which continues fair queueing from them.
	Tag     float64
	Virtual float64
	// Estimate is the cost that the account was charged at dispatch.
	Estimate float64
	// Instance and Limit are the upstream's instance identity and concurrency limit. The
	// router passes them to the pool's next scheduler.
	Instance string
	Limit    int
}

// GrantReturn returns a grant that the router did not use.
type GrantReturn struct {
	ID    TicketID
	Pool  string
	Fence uint64
}

// Refusal says that a ticket will not be served.
type Refusal struct {
	ID         TicketID
	Pool       string
	Code       fault.Code
	RetryAfter time.Duration
}

// Outcome is how an attempt at an upstream ended.
type Outcome uint8

// Outcomes of attempts.
const (
	// OutcomeDone means that the upstream sent its complete answer.
	OutcomeDone Outcome = iota + 1
	// OutcomeRefused means that the upstream provably did not start the request.
	OutcomeRefused
	// OutcomeUnreachable means that no connection could be made.
	OutcomeUnreachable
	// OutcomeBroken means that the connection ended before the answer was complete.
	OutcomeBroken
	// OutcomeCancelled means that the caller disconnected or the time limit of the run was
	// reached.
	OutcomeCancelled
	// OutcomeFailed means that the upstream sent a response that reports a failure or exceeds
	// the size limit.
	OutcomeFailed
)

// Finish reports the end of a granted attempt.
type Finish struct {
	ID       TicketID
	Pool     string
	Upstream string
	Outcome  Outcome
	// Cost is the actual cost in the pool's cost unit.
	Cost      float64
	FirstByte time.Duration
	Run       time.Duration
	// Instance is the upstream's instance identity, empty when unknown.
	Instance string
	// Queued is the queue length that the engine reported in its reply, -1 when unknown.
	Queued int
}

// RouterHeartbeat is the router's heartbeat to a scheduler.
type RouterHeartbeat struct {
	Pool        string
	Fence       uint64
	RouterClock time.Duration
}

// RunningRequest describes a granted request that has not ended.
type RunningRequest struct {
	Ticket   Ticket
	Upstream string
	// Estimate is the cost that the account was charged at dispatch.
	Estimate float64
	// Age is the time since the grant, 0 from a host that does not know it.
	Age time.Duration
}

// UpstreamLimit is the concurrency limit of an upstream in the latest grant that a router
// received for it.
type UpstreamLimit struct {
	Upstream string
	Instance string
	Limit    int
	// Age is the time since the grant.
	Age time.Duration
}

// AccountTag is the highest fair queueing tag that a router has received for an account.
type AccountTag struct {
	Account string
	Tag     float64
}

// Sync sends a router's complete state of a pool to the scheduler: the waiting and the
// running requests, and what the scheduler needs to continue fair queueing.
type Sync struct {
	Pool        string
	Fence       uint64
	RouterClock time.Duration
	Waiting     []Ticket
	Running     []RunningRequest
	Tags        []AccountTag
	Virtual     float64
	// Limits are the concurrency limits of the pool's upstreams, at most 10 s old.
	Limits []UpstreamLimit
}

// SyncRequest asks a router for a Sync, because the scheduler lacks the router's state.
type SyncRequest struct {
	Pool  string
	Fence uint64
}
