package control

import (
	"context"
	"math/rand"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/membership"
	"marigoldshunt/internal/raft"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wire"
)

// NodeOptions configure a Node.
type NodeOptions struct {
	Host string
	Boot uint64
	// LastTransfer is the LastTransfer of the node that this one replaces in the same boot, 0 if
	// it is the first one. Two messages in chunks never have the same id.
	LastTransfer uint64
	// Storage holds the log. Restored is its content when it was opened; the node does not keep it.
	Storage   Storage
	Restored  raft.Restored
	Transport Transport
	Clock     Clock
	// WallClock is the wall clock for the times of claims; nil means time.Now.
	WallClock func() time.Time
	// Ticks fires every TickInterval.
	Ticks <-chan time.Time
	Rand  *rand.Rand
	// Orders sends orders to upstreams; nil leaves them pending.
	Orders OrderSender
	// GroupView returns the presumed leader, whether the voters of the group are known,
	// and whether this host is one of them. If set, the node joins the group automatically;
	// if nil, operators have to add it.
	GroupView func() (leader string, known, listed bool)
	// MaxLogBytes is the size of the entries since the last snapshot that forces the next one; 0 means
	// DefaultMaxLogBytes.
	MaxLogBytes int
	// MinSnapshotEntries is the least number of entries between two snapshots unless the log
	// grows beyond MaxLogBytes; 0 means 4,096. Up to maxSnapshotFactor times as many entries
	// may lie between two snapshots of a large state, see snapshotDue.
	MinSnapshotEntries uint64
	Log                logrus.FieldLogger
	// Seeds returns the hosts listed in the settings; nil means none. The leader announces
	// itself to those that send it no Renew, because hosts that know only the seeds may ask
	// them for the leader.
	Seeds func() []string

	// spawn starts a function that may block; nil means in a new goroutine. Tests replace it.
	spawn func(func())
}

// Node is the replica of the control group's log and state on one control host.
type Node struct {
	opts  NodeOptions
	inbox chan event
	// queuedBytes is the number of payload bytes in the inbox.
	queuedBytes atomic.Int64
	// dropped counts events that were dropped because the inbox was full.
	dropped atomic.Uint64
	status  atomic.Pointer[Status]
	// stopped is closed when Run has ended; failure then holds the reason.
	stopped chan struct{}

	// The fields below belong to the goroutine of Run.
	raft         *raft.Node
	state        *state.State
	now          time.Duration
	chunks       *chunker
	selfMessages []event
	failure      error

	members []raft.Member
	// memberChanges counts the changes of members, for the version of the host list.
	memberChanges uint64
	// senderHosts maps replicas to the hosts that last sent their messages.
	senderHosts map[raft.ReplicaID]string
	role        raft.Role
	term        uint64
	leader      string

	applied       uint64
	appliedTerm   uint64
	snapshotIndex uint64
	// snapshotBytes is the size of the last snapshot, logBytes that of the log since.
	snapshotBytes int
	logBytes      int

	queue         []proposal
	pending       map[uint64]pendingBatch
	openProposals int

	pendingRenews  []pendingRenew
	readSeq        uint64
	pendingReads   map[uint64][]pendingRenew
	confirmedReads []confirmedRead
	// configsSent counts the full configurations sent since the last tick.
	configsSent int

	lead leadership
	// seenLeasesVersion and fences identify the leases that are new since the last
	// applied entry.
	seenLeasesVersion uint64
	fences            map[string]uint64

	formation   *formJob
	promise     *wire.Form
	replacement *replaceJob
	// joinSentAt is when this replica last asked to join.
	joinSentAt time.Duration
}

// event is a message from a host, or a function to run on the goroutine of Run.
type event struct {
	from    string
	boot    uint64
	kind    wire.Kind
	payload []byte
	run     func()
}

// leadership is the state that only a leader keeps. It is reset with each term.
type leadership struct {
	// nextRead is the earliest time of the next ReadIndex request.
	nextRead      time.Duration
	since         time.Duration
	hosts         *membership.Tracker
	answeredHosts map[string]*answeredHost
	leaseEnds     map[string]time.Duration
	// proposedHolders maps a pool to the host whose acquisition of the lease is proposed.
	proposedHolders map[string]string
	orders          orderDispatch
	pushed          pushedVersions
	configMessages  configMessages
	// lastHeard is when a message of each replica last arrived; joinRequests holds the
	// hosts that ask to be members.
	lastHeard    map[raft.ReplicaID]time.Duration
	joinRequests map[string]joinRequest
	// announcedAt is when the leader last announced itself to the seeds.
	announcedAt time.Duration
}

// NewNode returns a node with the restored state. It returns an error when the restored
// snapshot cannot be decoded or raft rejects the restored log.
func NewNode(opts NodeOptions) (*Node, error) {
	if opts.WallClock == nil {
		opts.WallClock = time.Now
	}
	if opts.MinSnapshotEntries == 0 {
		opts.MinSnapshotEntries = defaultMinSnapshotEntries
	}
	if opts.MaxLogBytes == 0 {
		opts.MaxLogBytes = DefaultMaxLogBytes
	}
	if opts.spawn == nil {
		opts.spawn = func(f func()) { go f() }
	}
	n := &Node{
		opts:         opts,
		inbox:        make(chan event, inboxLength),
		stopped:      make(chan struct{}),
		state:        state.New(""),
		senderHosts:  map[raft.ReplicaID]string{},
		pending:      map[uint64]pendingBatch{},
		pendingReads: map[uint64][]pendingRenew{},
	}
	// The log that was read belongs to raft from here on, which drops what snapshots cover.
	n.opts.Restored = raft.Restored{}
	n.chunks = newChunker(max(opts.Boot<<20, opts.LastTransfer), opts.Transport.Send)
	n.now = opts.Clock.Now()
	n.resetLeadership()
	if opts.Restored.Snapshot.Index > 0 || len(opts.Restored.Entries) > 0 || opts.Restored.Hard.Term > 0 {
		if err := n.startRaft(opts.Restored); err != nil {
			return nil, err
		}
	}
	n.publishStatus()
	return n, nil
}

// startRaft starts raft from durable state.
func (n *Node) startRaft(r raft.Restored) error {
	if len(r.Snapshot.Data) > 0 {
		if err := n.state.Restore(r.Snapshot.Data); err != nil {
			return err
		}
	}
	node, err := raft.New(raft.Config{
		ID:             n.opts.Storage.ReplicaID(),
		HeartbeatTicks: heartbeatTicks,
		ElectionTicks:  electionTicks,
		Rand:           n.opts.Rand,
	}, r)
	if err != nil {
		return err
	}
	n.raft = node
	n.applied, n.snapshotIndex, n.snapshotBytes = r.Snapshot.Index, r.Snapshot.Index, len(r.Snapshot.Data)
	for _, e := range r.Entries {
		n.logBytes += len(e.Data)
	}
	n.state.AdvanceIndex(n.applied)
	n.refreshRaftStatus()
	return nil
}

// LastTransfer returns the id of the last message that the node has sent in chunks. It may be called
// when Run has ended.
func (n *Node) LastTransfer() uint64 { return n.chunks.lastID }

// Handle queues a message without blocking. When the queue is full, the message is
// dropped and its sender repeats it.
func (n *Node) Handle(from string, boot uint64, kind wire.Kind, payload []byte) {
	n.post(event{from: from, boot: boot, kind: kind, payload: payload})
}

func (n *Node) post(e event) bool {
	if postEvent(n.inbox, &n.queuedBytes, e) {
		return true
	}
	n.dropped.Add(1)
	return false
}

// postEvent adds an event to a queue that is bounded in length and in bytes.
func postEvent(inbox chan<- event, queuedBytes *atomic.Int64, e event) bool {
	size := int64(len(e.payload))
	if queuedBytes.Add(size) <= inboxBytes {
		select {
		case inbox <- e:
			return true
		default:
		}
	}
	queuedBytes.Add(-size)
	return false
}

// Run handles events until ctx ends. It returns a StorageFailed or StorageCorrupt error
// when the log can no longer be written; the host then has no control role until it
// restarts.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.stopped)
	for {
		select {
		case <-ctx.Done():
			n.shutdown(fault.New(fault.HostLeaving, fault.NotRun, "the control role ends"))
			return nil
		case <-n.opts.Ticks:
			n.tick()
		case e := <-n.inbox:
			n.handleQueued(e)
		}
		n.drainInbox()
		if err := n.process(); err != nil {
			return err
		}
	}
}

// drainInbox handles the events that are already queued, at most maxEventsPerSync.
func (n *Node) drainInbox() {
	for range maxEventsPerSync {
		select {
		case e := <-n.inbox:
			n.handleQueued(e)
		default:
			return
		}
	}
}

func (n *Node) handleQueued(e event) {
	n.queuedBytes.Add(-int64(len(e.payload)))
	n.handleEvent(e)
}

// shutdown answers all waiting requests and publishes a final status.
func (n *Node) shutdown(cause error) {
	n.failure = cause
	n.leader = ""
	n.stepDown()
	n.endForm(cause)
	n.publishStatus()
}

func (n *Node) tick() {
	n.now = n.opts.Clock.Now()
	n.configsSent = 0
	n.chunks.tick(n.now)
	if n.raft != nil {
		n.raft.Tick()
		n.refreshRaftStatus()
	}
	n.tickForm()
	n.tickJoin()
	if n.isActiveLeader() {
		n.lead.hosts.Tick(n.now)
		n.assignLeases()
		n.sendOrders()
		n.tickReplace()
		n.tickRepair()
		n.announceLeader()
	}
}

func (n *Node) handleEvent(e event) {
	if n.failure != nil {
		return
	}
	n.now = n.opts.Clock.Now()
	if e.run != nil {
		e.run()
		return
	}
	switch e.kind {
	case wire.KindRaft:
		n.onRaft(e)
	case wire.KindRenew:
		n.onRenew(e)
	case wire.KindPropose:
		n.onPropose(e)
	case wire.KindForm:
		n.onForm(e)
	case wire.KindFormAck:
		n.onFormAck(e)
	case wire.KindChunk:
		n.onChunk(e)
	}
}

func (n *Node) onChunk(e event) {
	var m wire.Chunk
	if !n.decode(e, &m) {
		return
	}
	switch {
	case m.Ack && !sentByClients(m.Inner):
		if n.chunks.onAck(e.from, m, n.now) && slices.Contains(pushKinds, m.Inner) {
			n.pushRest(e.from)
		}
	case !m.Ack && handledByNodes(m.Inner):
		if whole := n.chunks.receiveChunk(e.from, m, n.now); whole != nil {
			n.handleEvent(event{from: e.from, boot: e.boot, kind: m.Inner, payload: whole})
		}
	}
}

func (n *Node) decode(e event, v any) bool {
	if err := wire.Unmarshal(e.payload, v); err != nil {
		n.opts.Log.WithError(err).WithField("from", e.from).Warn("Failed to decode a message.")
		return false
	}
	return true
}

// send sends a message. A failure is only logged, since every message of the control group is
// repeated or superseded.
func (n *Node) send(to string, kind wire.Kind, msg any) {
	payload, err := wire.Marshal(msg)
	if err != nil {
		n.opts.Log.WithError(err).Error("Failed to encode a message.")
		return
	}
	if to == n.opts.Host && (kind == wire.KindForm || kind == wire.KindFormAck) {
		n.selfMessages = append(n.selfMessages, event{from: to, boot: n.opts.Boot, kind: kind, payload: payload})
		return
	}
	n.sendEncoded(to, kind, payload)
}

// sendEncoded sends an encoded message, in chunks if it is too large for one frame.
func (n *Node) sendEncoded(to string, kind wire.Kind, payload []byte) {
	var err error
	if len(payload) < maxInlineBytes {
		err = n.opts.Transport.Send(to, kind, wire.Encoded(payload))
	} else {
		err = n.chunks.start(to, kind, payload, n.now)
	}
	if err != nil {
		n.opts.Log.WithError(err).WithField("to", to).WithField("kind", kind).WithField("bytes", len(payload)).Warn("Message was not sent.")
	}
}

// isActiveLeader reports whether this node leads and has applied an entry of its own term.
// Before that, its state may lack commands that an earlier leader acknowledged.
func (n *Node) isActiveLeader() bool {
	return n.failure == nil && n.role == raft.Leader && n.appliedTerm == n.term
}
