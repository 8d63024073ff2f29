package wire

import (
	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
)

// CrashMark says that a request with this fingerprint crashed an upstream.
type CrashMark struct {
	Pool        string
	Fingerprint Digest
	Upstream    string
	// At is the leader's wall clock in Unix milliseconds when the mark was committed.
	At int64
}

// FormOp is a step in the formation of the control group.
type FormOp uint8

// Steps of the formation.
const (
	// FormIdentify asks for the replica id and changes nothing.
	FormIdentify FormOp = iota + 1
	// FormPromise asks a replica that has no group yet for its id and binds it to this
	// request.
	FormPromise
	// FormCommit sends the membership to a replica that accepted FormPromise.
	FormCommit
	// FormJoin asks the leader to add the sender's replica to the group.
	FormJoin
)

// FormMember is one replica of a new group.
type FormMember struct {
	ID   uint64
	Host string
}

// Form asks a control host to take part in the formation of the group.
type Form struct {
	Seq       uint64
	Op        FormOp
	RequestID string
	Hosts     []string
	Members   []FormMember
	// Replica is the sender's replica id in FormJoin.
	Replica uint64
}

// FormAck answers a Form.
type FormAck struct {
	Seq     uint64
	Replica uint64
	// Formed is true when the replica belongs to a group. RequestID is then the request
	// that formed the group, if the replica knows it.
	Formed    bool
	RequestID string
	// Code is empty when the step was accepted.
	Code    fault.Code
	Message string
	// Members are the voters of the group if Formed is true.
	Members []FormMember
}

// LeaderAnnouncement names the leader of the control group to a host from which the leader
// has had no recent heartbeat.
type LeaderAnnouncement struct{ Host string }

// Chunk carries one part of a message that is too large for a frame. The receiver
// answers each part with a Chunk that has Ack set.
type Chunk struct {
	// Inner is the kind of the complete message.
	Inner Kind
	// ID distinguishes the transfers of one sender that have the same Inner.
	ID    uint64
	Part  int
	Parts int
	Ack   bool
	Data  []byte
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
	DataCentre   string
	Capabilities `msgpack:"-"`
}

// Capabilities are what a host understands beyond the first version of the protocol. They are the
// extension of a Renew.
type Capabilities struct {
	// RoutingPatches is true if the host applies the patches of a RenewAck.
	RoutingPatches bool
	// Compression is true if the host takes a KindCompressedRenewAck.
	Compression bool
}

// Extension returns the extension of the message, nil if there is nothing to add.
func (m Renew) Extension() any {
	if m.Capabilities == (Capabilities{}) {
		return nil
	}
	return m.Capabilities
}

// ExtensionTarget returns what the extension of the message is decoded into.
func (m *Renew) ExtensionTarget() any { return &m.Capabilities }

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
	// Patches take the place of the routing documents in Delta, in order, for hosts that have an
	// earlier document. They are the extension of the message.
	Patches []*config.RoutingPatch `msgpack:"-"`
}

// Extension returns the extension of the message, nil if there is nothing to add.
func (m RenewAck) Extension() any {
	if len(m.Patches) == 0 {
		return nil
	}
	return m.Patches
}

// ExtensionTarget returns what the extension of the message is decoded into.
func (m *RenewAck) ExtensionTarget() any { return &m.Patches }

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
