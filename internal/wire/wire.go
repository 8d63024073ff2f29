// Package wire defines the messages between the hosts of the fleet.
package wire

import (
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
)

// Kind names the type of a message's payload.
type Kind uint8

// Kinds of messages.
const (
	KindTicket Kind = iota + 1
	KindCancel
	KindFinish
	KindBeat
	KindSync
	KindGrant
	KindRefuse
	KindRenew
	KindRenewAck
	KindPropose
	KindProposeAck
	KindRaft
	KindGrantReturn
	KindForm
	KindFormAck
	KindSnapshotChunk
	KindSyncRequest
	KindLoads
	KindLeader
	KindAsk
	KindVerdict
	KindProgress
	KindLoadSums
	KindCatalog
	KindCatalogAsk
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

// TicketID identifies a request over the whole fleet and all restarts.
type TicketID struct {
	Host string
	Boot uint64
	Seq  uint64
}

// Digest identifies a request body or a prompt prefix.
type Digest [16]byte

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
	// Again is true when an earlier ticket of the same attempt was granted and the
	// grant was void. It has paid the account's rate and the retry budget.
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
	// Echo is the latest RouterClock that the scheduler had from this router.
	Echo time.Duration
	// Tag and Virtual let a later scheduler continue the account's share.
	Tag     float64
	Virtual float64
	// Estimate is the cost that was charged at dispatch.
	Estimate float64
	// Instance and Limit are the upstream's identity and concurrency limit, which a
	// later scheduler takes over.
	Instance string
	Limit    int
}

// GrantReturn gives back a grant that the router did not use.
type GrantReturn struct {
	ID    TicketID
	Pool  string
	Fence uint64
}

// Refuse says that a ticket will not be served.
type Refuse struct {
	ID         TicketID
	Pool       string
	Code       fault.Code
	RetryAfter time.Duration
}

// Outcome is how an attempt at an upstream ended.
type Outcome uint8

// Outcomes of attempts.
const (
	// OutcomeDone means that the upstream gave its whole answer.
	OutcomeDone Outcome = iota + 1
	// OutcomeRefused means that the upstream provably did not start the request.
	OutcomeRefused
	// OutcomeUnreachable means that no connection could be made.
	OutcomeUnreachable
	// OutcomeBroken means that the connection ended before the answer did.
	OutcomeBroken
	// OutcomeCancelled means that the caller went away or the run time ended.
	OutcomeCancelled
	// OutcomeFailed means that the upstream answered with a failure of its own.
	OutcomeFailed
)

// Finish reports the end of a granted attempt.
type Finish struct {
	ID       TicketID
	Pool     string
	Upstream string
	Outcome  Outcome
	// Cost is the true cost in the pool's cost unit.
	Cost      float64
	FirstByte time.Duration
	Run       time.Duration
	// Instance is the upstream's instance identity, empty when unknown.
	Instance string
	// Queued is the engine's queue length as carried in the reply, -1 when unknown.
	Queued int
}

// Beat is the router's heartbeat to a scheduler.
type Beat struct {
	Pool        string
	Fence       uint64
	RouterClock time.Duration
}

// Running describes a granted request that has not ended.
type Running struct {
	Ticket   Ticket
	Upstream string
	// Estimate is the cost that the account was charged at dispatch.
	Estimate float64
}

// UpstreamLimit is the latest limit of an upstream that a router has seen in a grant.
type UpstreamLimit struct {
	Upstream string
	Instance string
	Limit    int
	// Age is the time since the grant.
	Age time.Duration
}

// AccountTag is the highest share tag that a router has seen for an account.
type AccountTag struct {
	Account string
	Tag     float64
}

// Sync gives a scheduler a router's whole view of a pool.
type Sync struct {
	Pool        string
	Fence       uint64
	RouterClock time.Duration
	Waiting     []Ticket
	Running     []Running
	Tags        []AccountTag
	Virtual     float64
	// Limits are the limits of the pool's upstreams, at most 10 s old.
	Limits []UpstreamLimit
}

// SyncRequest asks a router for a Sync, because the scheduler does not know its view.
type SyncRequest struct {
	Pool  string
	Fence uint64
}

// Lease is the right of one host to schedule one pool.
type Lease struct {
	Pool  string
	Host  string
	Boot  uint64
	Fence uint64
}

// HostStatus is a host's liveness as the control leader sees it.
type HostStatus struct {
	Host    string
	Boot    uint64
	Alive   bool
	Leaving bool
	// DataCentre is where the host stands.
	DataCentre string
	// Voter is true for hosts with a vote in the control group.
	Voter bool
}

// Renew is a host's heartbeat to the control leader.
type Renew struct {
	Seq uint64
	// Revision is the configuration revision that the host has applied.
	Revision uint64
	// Held lists the fences of the leases that the host renews.
	Held    []Lease
	Leaving bool
	// Ready is true when the host can take leases.
	Ready bool
	// HostsVersion is the version of the host list that the host has.
	HostsVersion uint64
	// LeasesVersion is the version of the lease table that the host has.
	LeasesVersion uint64
	// MarksVersion is the version of the crash marks that the host has.
	MarksVersion uint64
	// DataCentre is where the host stands.
	DataCentre string
}

// RenewAck answers a Renew.
type RenewAck struct {
	// Seq is the sequence number of the Renew, 0 for an unsolicited push.
	Seq uint64
	// NotLeader is true when the receiver is not the leader; Leader names it if known.
	NotLeader bool
	Leader    string
	Term      uint64
	// Revision is the configuration revision at the time of the answer.
	Revision uint64
	Delta    *config.Delta
	Snapshot *config.Config
	// Renewed lists the held leases that the leader extended.
	Renewed       []Lease
	Leases        []Lease
	LeasesVersion uint64
	HasLeases     bool
	Hosts         []HostStatus
	HostsVersion  uint64
	HasHosts      bool
	// Revoked lists held leases that the host must stop using and release.
	Revoked      []Lease
	Marks        []CrashMark
	MarksVersion uint64
	HasMarks     bool
}

// InstanceLoad is what one host has under way at one upstream instance.
type InstanceLoad struct {
	ID      string
	Born    int64
	Running int
	// Reading are the prompt tokens of requests without a first event.
	Reading int
}

// GateLoad is the load of one engine as the owner of its gate sees it.
type GateLoad struct {
	ID   string
	Born int64
	// Backlog are the prompt tokens under way and waiting; Running are admitted requests.
	Backlog int
	Running int
	// PerMs is the learnt speed of the engine in prompt tokens per ms.
	PerMs float64
}

// Loads tells other hosts what a host has under way.
type Loads struct {
	Instances []InstanceLoad
	Gates     []GateLoad
	// Rates are what the host's callers ask for and are served, by account.
	Rates map[string]AccountRate
}

// AccountRate is what callers of one account ask for and are served in tokens per second.
type AccountRate struct{ Asked, Served float32 }

// LoadSum is the sum of the loads of all hosts in a data centre.
type LoadSum struct {
	DataCentre string
	Loads      Loads
}

// LoadSums are the sums that a relay of loads tells.
type LoadSums struct{ List []LoadSum }

// Instance is one entry of the list of upstream instances.
type Instance struct {
	ID         string
	Born       int64
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Draining   bool
	ColdFor    time.Duration
}

// Catalog tells the hosts which list of instances was read last, and how long ago. The
// list is left out for hosts that are expected to have it.
type Catalog struct {
	// Digest identifies the content of the list.
	Digest    uint64
	Age       time.Duration
	HasList   bool
	Instances []Instance
}

// CatalogAsk asks for the whole list.
type CatalogAsk struct{}

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Ask asks the owner of an engine's gate for admission.
type Ask struct {
	Seq uint64
	// ID and Born name the engine.
	ID      string
	Born    int64
	Service string
	// Slots and MemoryTokens describe the engine.
	Slots, MemoryTokens int
	Parts               []PromptPart
	Tokens              int
	// AimLeft is the time until the first event should be delivered; EndLeft the time
	// until the request has no use any more.
	AimLeft, EndLeft time.Duration
	// Rank says how the request stands to its account's share, 0 is the most urgent.
	Rank uint8
	// Admitted tells a new owner of the gate about a request that is at the engine already;
	// Read means that its prompt was read. There is no verdict.
	Admitted, Read bool
}

// Verdict answers an Ask. A queued one gets a second verdict.
type Verdict struct {
	Seq             uint64
	Granted, Queued bool
	Wait            time.Duration
}

// Progress tells the owner of a gate about an admitted or waiting request.
type Progress struct {
	Seq  uint64
	ID   string
	Born int64
	// Done is false for the first event.
	Done bool
}

// Propose carries a command for the replicated state to the leader.
type Propose struct {
	Seq     uint64
	Command []byte
}

// ProposeAck answers a Propose after the command was applied.
type ProposeAck struct {
	Seq       uint64
	NotLeader bool
	Leader    string
	// Unknown is true when the command may or may not be applied later.
	Unknown bool
	Result  []byte
}
