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
	KindRouterHeartbeat
	KindSync
	KindGrant
	KindRefusal
	KindRenew
	KindRenewAck
	KindPropose
	KindProposeAck
	KindRaft
	KindGrantReturn
	KindForm
	KindFormAck
	KindChunk
	KindSyncRequest
	KindLoads
	KindLeaderAnnouncement
	KindAdmissionRequest
	KindAdmissionReply
	KindAdmissionProgress
	KindLoadSums
	KindCatalog
	KindCatalogRequest
	KindCatalogCheck
	KindCatalogState
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

// TicketID identifies a request uniquely in the fleet, also across restarts.
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
	// DataCentre is the data centre of the host.
	DataCentre string
	// Voter is true for hosts with a vote in the control group.
	Voter bool
}

// Renew is a host's heartbeat to the control leader.
type Renew struct {
	Seq uint64
	// Revision is the configuration revision that the host has applied.
	Revision uint64
	// Held lists the leases that the host renews, with their fencing numbers.
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
	// DataCentre is the data centre of the host.
	DataCentre string
}

// RenewAck answers a Renew.
type RenewAck struct {
	// Seq is the sequence number of the Renew, 0 for an unsolicited push.
	Seq uint64
	// NotLeader is true when the receiver of the Renew is not the leader. Leader names the
	// leader if it is known.
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

// InstanceLoad is the load that one host has on one upstream instance.
type InstanceLoad struct {
	// ID and Born identify the instance. Born is its start time in Unix milliseconds, 0 if
	// unknown. The same holds for the other messages with ID and Born.
	ID   string
	Born int64
	// Running is the number of requests in progress.
	Running int
	// Reading is the number of prompt tokens of the requests that still wait for their first
	// event.
	Reading int
}

// GateLoad is the load of one engine as seen by the host that owns its admission gate.
type GateLoad struct {
	ID   string
	Born int64
	// Backlog is the number of prompt tokens that the engine reads or that wait for
	// admission. Running is the number of admitted requests.
	Backlog int
	Running int
	// PerMs is the estimated speed of the engine in prompt tokens per millisecond.
	PerMs float64
}

// Loads reports the load of a host to other hosts.
type Loads struct {
	Instances []InstanceLoad
	Gates     []GateLoad
	// Rates are the token rates of the host's callers, by account.
	Rates map[string]AccountRate
	// Failures are recent results of instances of which some host has seen failures. They
	// stay in the host's data centre. They are the extension of the message.
	Failures []InstanceFailures `msgpack:"-"`
}

// Extension returns the extension of the message, nil if there is nothing to add.
func (m Loads) Extension() any { return failuresExtension(m.Failures) }

// ExtensionTarget returns what the extension of the message is decoded into.
func (m *Loads) ExtensionTarget() any { return &m.Failures }

func failuresExtension(list []InstanceFailures) any {
	if len(list) == 0 {
		return nil
	}
	return list
}

// InstanceFailures says how many of the latest requests to an instance failed. Both counts
// decay with time.
type InstanceFailures struct {
	ID              string
	Born            int64
	Failed, Results float32
}

// AccountRate is the rate that callers of one account request and the rate that they are
// served, in tokens per second.
type AccountRate struct{ Asked, Served float32 }

// LoadSum is the sum of the loads of all hosts in a data centre.
type LoadSum struct {
	DataCentre string
	Loads      Loads
}

// LoadSums are load sums sent by a relay, the host that adds up the loads of its data
// centre.
type LoadSums struct {
	List []LoadSum
	// Failures are those of the relay's data centre, for its members. They are the extension of
	// the message, because the extension of a nested Loads isn't encoded.
	Failures []InstanceFailures `msgpack:"-"`
}

// Extension returns the extension of the message, nil if there is nothing to add.
func (m LoadSums) Extension() any { return failuresExtension(m.Failures) }

// ExtensionTarget returns what the extension of the message is decoded into.
func (m *LoadSums) ExtensionTarget() any { return &m.Failures }

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

// Catalog identifies the list of instances that the sender read last and says how long
// ago. The list itself is omitted for hosts that are expected to have it.
type Catalog struct {
	// Digest identifies the content of the list.
	Digest    uint64
	Age       time.Duration
	HasList   bool
	Instances []Instance
	// Versions are the software versions of the instances. They are the extension of the message.
	Versions []string `msgpack:"-"`
}

// Extension returns the extension of the message, nil if there is nothing to add.
func (m Catalog) Extension() any {
	if len(m.Versions) == 0 {
		return nil
	}
	return m.Versions
}

// ExtensionTarget returns what the extension of the message is decoded into.
func (m *Catalog) ExtensionTarget() any { return &m.Versions }

// CatalogRequest asks for a Catalog with the list of instances.
type CatalogRequest struct{}

// CatalogCheck asks another host whether it has the same list of instances.
type CatalogCheck struct {
	// Seq is returned with the answer.
	Seq uint64
	// Digest identifies the sender's list, and is 0 if it has none.
	Digest uint64
}

// CatalogState answers a CatalogCheck. It has the list if the sender's differs.
type CatalogState struct {
	Seq     uint64
	Catalog Catalog
	// Versions are those of the Catalog, because the extension of a nested message isn't encoded.
	Versions []string
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// AdmissionRequest asks the owner of an engine's admission gate to admit a request.
type AdmissionRequest struct {
	Seq uint64
	// ID and Born identify the engine.
	ID      string
	Born    int64
	Service string
	// Slots and MemoryTokens are the capacity of the engine.
	Slots, MemoryTokens int
	Parts               []PromptPart
	Tokens              int
	// AimLeft is the time until the first event is due. EndLeft is the time until the
	// deadline of the request.
	AimLeft, EndLeft time.Duration
	// Rank is the urgency of the request. It depends on how much of its share the account has
	// received. 0 is the most urgent.
	Rank uint8
	// Admitted is true when the engine has the request already. The message then informs a
	// new owner of the gate or confirms that the request still runs, and there is no
	// AdmissionReply. Read is true when the engine
	// has read the prompt.
	Admitted, Read          bool
	AdmissionRequestDetails `msgpack:"-"`
}

// AdmissionRequestDetails are the extension of an AdmissionRequest.
type AdmissionRequestDetails struct {
	// RequestID is the caller's id for the owner's log line about a refusal, empty without one.
	RequestID string
	// LastAttempt is true when a refusal ends the request, because it asks no other engine.
	LastAttempt bool
}

// Extension returns the extension of the message, nil if there is nothing to add.
func (m AdmissionRequest) Extension() any {
	if m.AdmissionRequestDetails == (AdmissionRequestDetails{}) {
		return nil
	}
	return m.AdmissionRequestDetails
}

// ExtensionTarget returns what the extension of the message is decoded into.
func (m *AdmissionRequest) ExtensionTarget() any { return &m.AdmissionRequestDetails }

// AdmissionReply answers an AdmissionRequest. After a reply with Queued set, a second one
// follows.
type AdmissionReply struct {
	Seq             uint64
	Granted, Queued bool
	Wait            time.Duration
	// Refusal is nil unless the request was refused, and for refusals by older hosts. It is
	// the extension of the message.
	Refusal *GateRefusal `msgpack:"-"`
}

// Extension returns the extension of the message, nil if there is nothing to add.
func (m AdmissionReply) Extension() any {
	if m.Refusal == nil {
		return nil
	}
	return m.Refusal
}

// ExtensionTarget returns what the extension of the message is decoded into.
func (m *AdmissionReply) ExtensionTarget() any {
	m.Refusal = &GateRefusal{}
	return m.Refusal
}

// GateRefusal is what decided that a request was refused. See dispatch.Refusal.
type GateRefusal struct {
	Reason                             uint8
	Expected, Limit                    time.Duration
	UnreadTokens, QueuedTokens, Tokens int
	Waiting, Running                   int
	PerMs                              float64
}

// AdmissionProgress tells the owner of a gate that an admitted or waiting request has had
// its first event or has ended.
type AdmissionProgress struct {
	Seq  uint64
	ID   string
	Born int64
	// Done is false for the first event and true for the end of the request.
	Done bool
	// RateLimit is nil unless the response to the request said something new about the rate
	// limit. It is the extension of the message.
	RateLimit *RateLimit `msgpack:"-"`
}

// RateLimit is the number of requests per second that an upstream takes from all hosts, 0 for no
// limit.
type RateLimit struct{ PerSecond float64 }

// Extension returns the extension of the message, nil if there is nothing to add.
func (m AdmissionProgress) Extension() any {
	if m.RateLimit == nil {
		return nil
	}
	return m.RateLimit
}

// ExtensionTarget returns what the extension of the message is decoded into.
func (m *AdmissionProgress) ExtensionTarget() any {
	m.RateLimit = &RateLimit{}
	return m.RateLimit
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
	// Unknown is true when it is not known whether the command will be applied.
	Unknown bool
	Result  []byte
}
