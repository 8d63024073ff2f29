package wire

import "marigoldshunt/internal/fault"

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
