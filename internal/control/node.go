package control

import (
	"context"
	"math/rand"
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
	// Storage holds the log; Restored is what it held when it was opened.
	Storage   Storage
	Restored  raft.Restored
	Transport Transport
	Clock     Clock
	// Wall is the wall clock for the times of claims; nil means time.Now.
	Wall func() time.Time
	// Ticks fires every TickInterval.
	Ticks <-chan time.Time
	Rand  *rand.Rand
	// Orders sends orders to upstreams; nil leaves them pending.
	Orders OrderSender
	// Membership tells the presumed leader, whether the members of the group are known,
	// and whether this host is listed among them. With it the node joins the group by
	// itself; nil leaves that to operators.
	Membership func() (leader string, known, listed bool)
	// SnapshotEntries is the number of entries between snapshots; 0 means 4,096.
	SnapshotEntries uint64
	Log             logrus.FieldLogger
	// Seeds lists the hosts of the settings. A leader tells those that it does not hear
	// who leads, since they may be asked by hosts that know no other; nil means none.
	Seeds func() []string

	// spawn starts a function that may block; nil means a goroutine. Tests replace it.
	spawn func(func())
}

// Node is one control host's part in the replicated log.
type Node struct {
	o     NodeOptions
	inbox chan event
	// queued is the number of payload bytes in the inbox.
	queued atomic.Int64
	// dropped counts events that found the inbox full.
	dropped atomic.Uint64
	status  atomic.Pointer[Status]
	// stopped is closed when Run has ended and failure says why.
	stopped chan struct{}

	// The fields below belong to the goroutine of Run.
	raft    *raft.Node
	st      *state.State
	now     time.Duration
	chunks  *chunker
	local   []event
	failure error

	members []raft.Member
	// memberChanges counts the changes of members, for the version of the host list.
	memberChanges uint64
	seen          map[raft.ReplicaID]string
	role          raft.Role
	term          uint64
	leader        string

	applied     uint64
	appliedTerm uint64
	snapIndex   uint64
	// snapBytes is the size of the last snapshot, logBytes that of the log since.
	snapBytes int
	logBytes  int

	queue   []proposal
	pending map[uint64]pendingBatch
	waiting int

	renews  []renewal
	readSeq uint64
	reads   map[uint64][]renewal
	ready   []confirmedRead
	// configsGiven counts the whole configurations sent since the last tick.
	configsGiven int

	lead leadership
	// leasesSeen and fences tell which leases are new since the last applied entry.
	leasesSeen uint64
	fences     map[string]uint64

	form    *formJob
	promise *wire.Form
	replace *replaceJob
	// joinSent is when this replica last asked to join.
	joinSent time.Duration
}

// event is a message from a host or a function to run on the node's goroutine.
type event struct {
	from    string
	boot    uint64
	kind    wire.Kind
	payload []byte
	run     func()
}

// leadership is what only a leader knows. It starts anew with each term.
type leadership struct {
	// nextRead is the earliest time of the next read.
	nextRead  time.Duration
	since     time.Duration
	hosts     *membership.Tracker
	known     map[string]*knownHost
	until     map[string]time.Duration
	acquiring map[string]string
	orders    orderBook
	pushed    pushed
	// heard is when a message of each replica last arrived; joining holds the hosts that
	// ask to be members.
	heard   map[raft.ReplicaID]time.Duration
	joining map[string]joinRequest
	// announced is when the seeds were last told who leads.
	announced time.Duration
}

// NewNode returns a node with the restored state. It returns the error of the restored
// snapshot when that cannot be read.
func NewNode(o NodeOptions) (*Node, error) {
	if o.Wall == nil {
		o.Wall = time.Now
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = defaultSnapEntries
	}
	if o.spawn == nil {
		o.spawn = func(f func()) { go f() }
	}
	n := &Node{
		o:       o,
		inbox:   make(chan event, inboxLength),
		stopped: make(chan struct{}),
		st:      state.New(""),
		seen:    map[raft.ReplicaID]string{},
		pending: map[uint64]pendingBatch{},
		reads:   map[uint64][]renewal{},
	}
	n.chunks = newChunker(o.Boot<<20, o.Transport.Send)
	n.now = o.Clock.Now()
	n.resetLeadership()
	if o.Restored.Snapshot.Index > 0 || len(o.Restored.Entries) > 0 || o.Restored.Hard.Term > 0 {
		if err := n.open(o.Restored); err != nil {
			return nil, err
		}
	}
	n.publish()
	return n, nil
}

// open starts raft with a durable state.
func (n *Node) open(r raft.Restored) error {
	if len(r.Snapshot.Data) > 0 {
		if err := n.st.Restore(r.Snapshot.Data); err != nil {
			return err
		}
	}
	node, err := raft.New(raft.Config{
		ID:             n.o.Storage.ReplicaID(),
		HeartbeatTicks: heartbeatTicks,
		ElectionTicks:  electionTicks,
		Rand:           n.o.Rand,
	}, r)
	if err != nil {
		return err
	}
	n.raft = node
	n.applied, n.snapIndex, n.snapBytes = r.Snapshot.Index, r.Snapshot.Index, len(r.Snapshot.Data)
	for _, e := range r.Entries {
		n.logBytes += len(e.Data)
	}
	n.st.Skip(n.applied)
	n.observe()
	return nil
}

// Handle accepts a message. It does not block: when the queue is full the message is
// dropped, and its sender repeats it.
func (n *Node) Handle(from string, boot uint64, kind wire.Kind, payload []byte) {
	n.post(event{from: from, boot: boot, kind: kind, payload: payload})
}

func (n *Node) post(e event) bool {
	if postEvent(n.inbox, &n.queued, e) {
		return true
	}
	n.dropped.Add(1)
	return false
}

// postEvent adds an event to a queue that is bounded in length and in bytes.
func postEvent(inbox chan<- event, queued *atomic.Int64, e event) bool {
	size := int64(len(e.payload))
	if queued.Add(size) <= inboxBytes {
		select {
		case inbox <- e:
			return true
		default:
		}
	}
	queued.Add(-size)
	return false
}

// Run works until ctx ends. It returns a StorageFailed or StorageCorrupt error when the
// log can no longer be written; the host then has no control role until it restarts.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.stopped)
	for {
		select {
		case <-ctx.Done():
			n.shutdown(fault.New(fault.HostLeaving, fault.NotRun, "the control role ends"))
			return nil
		case <-n.o.Ticks:
			n.tick()
		case e := <-n.inbox:
			n.take(e)
		}
		n.drain()
		if err := n.process(); err != nil {
			return err
		}
	}
}

// drain handles the events that are already waiting.
func (n *Node) drain() {
	for range maxDrain {
		select {
		case e := <-n.inbox:
			n.take(e)
		default:
			return
		}
	}
}

func (n *Node) take(e event) {
	n.queued.Add(-int64(len(e.payload)))
	n.event(e)
}

// shutdown answers everything that waits and leaves a final status.
func (n *Node) shutdown(cause error) {
	n.failure = cause
	n.leader = ""
	n.stepDown()
	n.endForm(cause)
	n.publish()
}

func (n *Node) tick() {
	n.now = n.o.Clock.Now()
	n.configsGiven = 0
	n.chunks.tick(n.now)
	if n.raft != nil {
		n.raft.Tick()
		n.observe()
	}
	n.tickForm()
	n.tickJoin()
	if n.leading() {
		n.lead.hosts.Tick(n.now)
		n.assignLeases()
		n.sendOrders()
		n.tickReplace()
		n.tickRepair()
		n.announce()
	}
}

func (n *Node) event(e event) {
	if n.failure != nil {
		return
	}
	n.now = n.o.Clock.Now()
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
	case wire.KindSnapshotChunk:
		n.onChunk(e)
	}
}

func (n *Node) onChunk(e event) {
	var m wire.Chunk
	if !n.decode(e, &m) {
		return
	}
	switch toNode := m.Inner == wire.KindRaft || m.Inner == wire.KindPropose; {
	case m.Ack && m.Inner != wire.KindPropose:
		n.chunks.acknowledged(e.from, m, n.now)
	case !m.Ack && toNode:
		if whole := n.chunks.received(e.from, m, n.now); whole != nil {
			n.event(event{from: e.from, boot: e.boot, kind: m.Inner, payload: whole})
		}
	}
}

func (n *Node) decode(e event, v any) bool {
	if err := wire.Unmarshal(e.payload, v); err != nil {
		n.o.Log.WithError(err).WithField("from", e.from).Warn("message not readable")
		return false
	}
	return true
}

// send gives a message to the transport. A failure is not an error here: every message
// of the control group is repeated or superseded.
func (n *Node) send(to string, kind wire.Kind, msg any) {
	if to == n.o.Host && (kind == wire.KindForm || kind == wire.KindFormAck) {
		if payload, err := wire.Marshal(msg); err == nil {
			n.local = append(n.local, event{from: to, boot: n.o.Boot, kind: kind, payload: payload})
		}
		return
	}
	if err := n.o.Transport.Send(to, kind, msg); err != nil {
		n.o.Log.WithError(err).WithField("to", to).Debug("message not sent")
	}
}

// sendLarge sends a message that may exceed a frame.
func (n *Node) sendLarge(to string, kind wire.Kind, msg any) {
	payload, err := wire.Marshal(msg)
	if err != nil {
		n.o.Log.WithError(err).Error("message not encoded")
		return
	}
	if len(payload) < maxInline {
		n.send(to, kind, msg)
		return
	}
	n.chunks.start(to, kind, payload, n.now)
}

// leading reports whether this node leads and has applied an entry of its own term.
// Before that, its state may lack commands that an earlier leader acknowledged.
func (n *Node) leading() bool {
	return n.failure == nil && n.role == raft.Leader && n.appliedTerm == n.term
}
