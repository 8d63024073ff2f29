// Package state is the replicated state machine of the control group: configuration,
// leases, claims of non-idempotent requests, orders to upstreams and crash marks.
//
// It is deterministic: all replicas apply the same commands at the same log indexes and
// hold equal states. Time enters only through the timestamps of batches.
package state

import (
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// Limits of the replicated state. They bound memory and the size of snapshots.
const (
	// MaxOperatorAnswers is the number of answers to operator requests that are kept. All
	// other limits of answers are for claims.
	MaxOperatorAnswers = 10_000
	// MaxClaims and MaxClaimsPerAccount bound the claims within the retention period.
	// The limit per account keeps one account from using up the space of all others.
	MaxClaims           = 400_000
	MaxClaimsPerAccount = 100_000
	// MaxClaimAnswerBytes is the size of the largest answer that is kept for a claim.
	MaxClaimAnswerBytes = 16 << 10
	// MaxClaimAnswersBytes and MaxClaimAnswersBytesPerAccount bound the total size of the
	// answers kept for claims.
	MaxClaimAnswersBytes           = 64 << 20
	MaxClaimAnswersBytesPerAccount = 8 << 20
	// MaxReleasedAttempts is the number of released attempts that are remembered. It has to
	// cover the proposals that may still arrive late.
	MaxReleasedAttempts = 10_000
	// MaxCrashMarks bounds the number of crash marks; CrashMarkRetention is how long one is
	// kept, which is the length of a quarantine.
	MaxCrashMarks      = 512
	CrashMarkRetention = time.Hour
	// MaxStreams bounds the streams whose beginning is remembered, MaxStreamsOfChange those of one
	// change, MaxListedServices the services and MaxStreamOrigins their versions. StreamRetention is how long the beginning of a
	// stream is remembered, so that its caller can resume it.
	MaxStreams         = 200_000
	MaxStreamsOfChange = 8_192
	MaxListedServices  = 1_024
	MaxStreamOrigins   = 4_096
	StreamRetention    = 2 * time.Minute
	// MaxOrders and MaxOrdersPerUpstream bound the orders that wait to be sent.
	MaxOrders            = 1_024
	MaxOrdersPerUpstream = 16
	// MaxKeyAhead is how far the time of an idempotency key may lie in the future.
	MaxKeyAhead = 5 * time.Minute

	maxIDBytes      = 64
	maxChanges      = 20_000
	maxMessageBytes = 512
)

// Command is one change of the state. Exactly one field is set.
type Command struct {
	Config    *ConfigChange
	Acquire   *LeaseAcquire
	Release   *LeaseRelease
	Claim     *ClaimRequest
	Finish    *ClaimFinish
	Unclaim   *ClaimRelease
	Mark      *CrashMark
	Order     *OrderIssue
	OrderDone *OrderDone
	// CrashMarks is the extension of the command.
	CrashMarks *CrashMarkChange `msgpack:"-"`
}

// StreamCommand returns the command that applies a change of streams.
func StreamCommand(c *wire.StreamChange) Command {
	return Command{CrashMarks: &CrashMarkChange{streams: c}}
}

// Extension returns the extension of the command, nil if there is nothing to add.
func (c Command) Extension() any {
	if c.CrashMarks == nil {
		return nil
	}
	return c.CrashMarks
}

// ExtensionTarget returns what the extension of the command is decoded into.
func (c *Command) ExtensionTarget() any {
	c.CrashMarks = &CrashMarkChange{}
	return c.CrashMarks
}

// Encode returns the bytes of the command.
func (c Command) Encode() ([]byte, error) { return wire.Marshal(c) }

// Batch is the content of one log entry: commands that are made durable together.
type Batch struct {
	// Time is the leader's wall clock in Unix milliseconds.
	Time     int64
	Commands [][]byte
}

// Encode returns the bytes of the batch.
func (b Batch) Encode() ([]byte, error) { return wire.Marshal(b) }

// ConfigChange changes one or several objects atomically. A resend with the same
// operator and request id returns the first answer.
type ConfigChange struct {
	RequestID string
	Operator  string
	Changes   []config.Change
}

// LeaseAcquire assigns a pool to a host. Previous is the fence of the lease that it
// replaces, 0 when the pool has none; the command has no effect if the pool has another
// lease by then.
type LeaseAcquire struct {
	Pool     string
	Host     string
	Boot     uint64
	Previous uint64
}

// LeaseRelease gives back a lease whose holder has stopped using it.
type LeaseRelease struct{ Lease wire.Lease }

// ClaimRequest claims an idempotency key for one attempt to run a request.
type ClaimRequest struct {
	Account string
	// Key is the caller's idempotency key, a UUID version 7.
	Key  string
	Body wire.Digest
	// Attempt is unique for the attempt; only its holder may run the request.
	Attempt string
}

// ClaimFinish records that the claimed request ran, with its answer. The answer is kept
// only within MaxClaimAnswerBytes, MaxClaimAnswersBytes and MaxClaimAnswersBytesPerAccount;
// TooLarge says that the sender left it out because of its size.
type ClaimFinish struct {
	Account, Key, Attempt string
	Answer                []byte
	TooLarge              bool
}

// ClaimRelease records that the claimed request did not run and will not run under
// this attempt.
type ClaimRelease struct{ Account, Key, Attempt string }

// ClaimAnswer is the answer to a ClaimRequest.
type ClaimAnswer struct {
	// Granted means that the attempt may run the request.
	Granted bool
	// Answer is the kept answer of the earlier run when Granted is false.
	Answer []byte
}

// OrderKind is what an upstream is asked to do.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderLoadVersion OrderKind = "load_version"
	OrderChangeRole  OrderKind = "change_role"
	OrderDrain       OrderKind = "drain"
)

// IsLoad reports whether the order uses the weight store.
func (k OrderKind) IsLoad() bool {
	return k == OrderLoadModel || k == OrderLoadAdapter || k == OrderLoadVersion
}

// Order asks an upstream to load something, to change its role or to drain. Name is the
// model, adapter, version or role; it is empty for OrderDrain.
type Order struct {
	Upstream string
	Kind     OrderKind
	Name     string
	// Operator is who gave the order.
	Operator string
}

// OrderIssue puts an order into the log.
type OrderIssue struct {
	RequestID string
	Order     Order
}

// OrderStatus is the progress of an order.
type OrderStatus string

// States of an order.
const (
	// OrderPending means that the order is committed and not yet confirmed.
	OrderPending OrderStatus = "pending"
	// OrderAccepted means that the upstream accepted the order.
	OrderAccepted OrderStatus = "accepted"
	// OrderFailed means that the upstream refused the order or could not be reached.
	OrderFailed OrderStatus = "failed"
)

// OrderResult describes an order. A resend of the request returns the current status.
type OrderResult struct {
	// Fence is the fencing number, the log index of the order.
	Fence   uint64
	Status  OrderStatus
	Message string
}

// OrderDone records the outcome of sending an order.
type OrderDone struct {
	Fence   uint64
	Status  OrderStatus
	Message string
}

// PendingOrder is an order whose outcome is not recorded yet.
type PendingOrder struct {
	Fence     uint64
	Order     Order
	answerKey string
}

// Result is the answer to one command.
type Result struct {
	// Code is empty on success.
	Code    fault.Code
	Run     fault.RunState
	Message string
	// Revision is the configuration revision after a change, or the object's revision
	// for RevisionConflict.
	Revision uint64
	Claim    *ClaimAnswer
	Order    *OrderResult
	// Streams is the extension of the result.
	Streams *wire.StreamAnswer `msgpack:"-"`
}

// Extension returns the extension of the result, nil if there is nothing to add.
func (r Result) Extension() any {
	if r.Streams == nil {
		return nil
	}
	return r.Streams
}

// ExtensionTarget returns what the extension of the result is decoded into.
func (r *Result) ExtensionTarget() any {
	r.Streams = &wire.StreamAnswer{}
	return r.Streams
}

// Err returns the failure that the result describes, or nil.
func (r Result) Err() error {
	if r.Code == "" {
		return nil
	}
	e := fault.New(r.Code, r.Run, "%s", r.Message)
	e.Revision = r.Revision
	return e
}

func refuse(code fault.Code, run fault.RunState, message string) Result {
	return Result{Code: code, Run: run, Message: message}
}

func errorResult(err error) Result {
	f := fault.As(err)
	return Result{Code: f.Code, Run: f.RunState, Message: f.Message(), Revision: f.Revision}
}

// IsOrder reports whether an encoded command is an OrderIssue, without decoding it. The
// leader uses it to put at most one order into a log entry.
func IsOrder(cmd []byte) bool {
	// An encoded command is an array of 9 elements, and all but one of them are nil.
	const arrayHeader, nilValue, orderIndex = 0x99, 0xc0, 8
	if len(cmd) <= orderIndex || cmd[0] != arrayHeader || cmd[orderIndex] == nilValue {
		return false
	}
	for _, b := range cmd[1:orderIndex] {
		if b != nilValue {
			return false
		}
	}
	return true
}
