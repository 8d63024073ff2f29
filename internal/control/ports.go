// Package control runs the replicated log on the control hosts (Node) and connects
// hosts to the control group (Client).
//
// One goroutine owns the raft state machine, the log and the replicated state of a
// Node. All other code reaches it through a bounded queue of events.
package control

import (
	"context"
	"slices"
	"time"

	"marigoldshunt/internal/raft"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wire"
)

// Times of the protocol between hosts and the control leader.
const (
	// TickInterval is the interval at which the Ticks channels of the options must fire.
	TickInterval = 50 * time.Millisecond
	// RenewInterval is the interval of Renew messages.
	RenewInterval = 400 * time.Millisecond
	// LeaseDuration is the length of a pool lease. The holder counts it from just before
	// the sending of its Renew.
	LeaseDuration = 2 * time.Second
	// LeaseMargin is how much longer than the holder the leader counts a lease. It covers
	// clock rates that differ by up to 5 %.
	LeaseMargin = 100 * time.Millisecond
	// ConfigMaxAge is how long a host serves without confirmation of its configuration.
	ConfigMaxAge = 3500 * time.Millisecond
	// assignGrace is how long a new leader collects Renews before it assigns leases.
	// Without it, the first host to send one would get every pool.
	assignGrace = time.Second
	// hostsGrace is how long a new leader collects Renews before it publishes its host list.
	// Until then hosts keep the list of the previous leader.
	hostsGrace = 3*RenewInterval + RenewInterval/2
	// fenceWait is how long a new leader waits before it sends orders to an upstream
	// that does not check fences.
	fenceWait = 2 * time.Second
	// orderTimeout bounds one order. It is shorter than fenceWait, so that an order of
	// an old leader has ended before the new leader's first.
	orderTimeout = time.Second
	// orderRetryDelay and maxOrderAttempts apply to orders that provably did not arrive.
	orderRetryDelay  = time.Second
	maxOrderAttempts = 5
	// resendInterval is how long a client waits for an answer before it resends a proposal.
	resendInterval = 500 * time.Millisecond
	// redirectDelay limits how often a redirected client sends again. It keeps clients from
	// looping between hosts that know no leader.
	redirectDelay = TickInterval
	// formResendInterval is the interval at which formation messages are resent.
	formResendInterval = 500 * time.Millisecond

	// maxConfigsPerTick bounds the full configurations that the leader sends per tick of 50 ms,
	// which is enough for 80 restarted hosts per second. Without a limit, the answers to the first
	// Renews of many hosts would delay the leader's heartbeats.
	maxConfigsPerTick = 4

	heartbeatTicks = 2
	electionTicks  = 10
)

// Bounds of queues and messages.
const (
	inboxLength = 8_192
	inboxBytes  = 64 << 20
	// maxEventsPerSync is the number of events handled before the log is written, so that
	// one sync serves many proposals.
	maxEventsPerSync          = 2_048
	maxOpenProposals          = 32_768
	maxPendingRenews          = 8_192
	maxCommandBytes           = 8 << 20
	batchCommands             = 512
	batchBytes                = 256 << 10
	maxTrackedHosts           = 4_096
	maxSenderHosts            = 64
	maxOrdersInFlight         = 64
	defaultMinSnapshotEntries = 4_096
	// maxSnapshotFactor times MinSnapshotEntries is the most entries between two snapshots.
	maxSnapshotFactor = 16
	// DefaultMaxLogBytes forces a snapshot before the entries of large commands fill the disk or the
	// memory of a host that sets no limit to them.
	DefaultMaxLogBytes = 32 << 20
	// maxInlineBytes is the size from which messages are sent in chunks. Below it, the
	// message and its envelope fit into a frame of 1 MiB.
	maxInlineBytes = 512 << 10
)

// Transport sends messages to other hosts without blocking.
type Transport interface {
	Send(to string, kind wire.Kind, msg any) error
}

// Clock is the monotonic clock.
type Clock interface{ Now() time.Duration }

// Storage keeps the log and its snapshots. Save and SaveSnapshot return after the data
// is durable.
type Storage interface {
	ReplicaID() raft.ReplicaID
	Save(h *raft.HardState, entries []raft.Entry) error
	SaveSnapshot(s raft.Snapshot) error
	TruncateFront(index uint64) error
	Syncs() uint64
}

// OrderSender delivers an order to an upstream. It returns a fault with run state NotRun
// when the order provably did not arrive.
type OrderSender interface {
	SendOrder(ctx context.Context, address string, o state.Order, fence uint64) error
}

// NodeKinds and ClientKinds are the kinds of messages that a Node and a Client handle.
// On a control host both get every KindChunk and ignore the chunks of the other.
var (
	NodeKinds   = []wire.Kind{wire.KindRaft, wire.KindRenew, wire.KindPropose, wire.KindForm, wire.KindFormAck, wire.KindChunk}
	ClientKinds = []wire.Kind{wire.KindRenewAck, wire.KindCompressedRenewAck, wire.KindProposeAck, wire.KindLeaderAnnouncement, wire.KindChunk}
)

// pushKinds are the kinds of messages that the leader may send to all hosts at once.
var pushKinds = []wire.Kind{wire.KindRenewAck, wire.KindCompressedRenewAck}

// handledByNodes reports whether a Node, and not a Client, handles a message that came in chunks. No
// message of chunks is a chunk itself.
func handledByNodes(k wire.Kind) bool { return k != wire.KindChunk && slices.Contains(NodeKinds, k) }

func handledByClients(k wire.Kind) bool {
	return k != wire.KindChunk && slices.Contains(ClientKinds, k)
}

// sentByClients reports whether clients send this kind of message, and so get the
// acknowledgements of its chunks.
func sentByClients(k wire.Kind) bool { return k == wire.KindRenew || k == wire.KindPropose }
