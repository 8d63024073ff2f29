package raft

import (
	"math/rand"

	"marigoldshunt/internal/fault"
)

// Node is one replica. Its methods must not be called concurrently.
type Node struct {
	cfg  Config
	rand *rand.Rand

	term   uint64
	vote   ReplicaID
	leader ReplicaID
	role   Role
	log    *entryLog
	// memberships holds the one at the snapshot and those in the log, by index.
	memberships []membership

	// now counts ticks; heard is the time of the last sign of a live leader or granted
	// vote; timeout is the current election timeout.
	now, heard, timeout uint64
	// votes holds the answers to the current (pre-)vote.
	votes map[ReplicaID]bool

	peers       map[ReplicaID]*peer
	nextBeat    uint64
	reads       readQueue
	messages    []Message
	savedHard   HardState
	handedOut   bool
	scratch     []uint64
	ownTermFrom uint64
}

// New returns a follower with the restored state. It returns InvalidSettings for a
// configuration that cannot work and StorageCorrupt for a state that no replica can
// have saved.
func New(cfg Config, r Restored) (*Node, error) {
	if cfg.ID == 0 || cfg.HeartbeatTicks <= 0 || cfg.ElectionTicks <= cfg.HeartbeatTicks || cfg.Rand == nil {
		return nil, fault.New(fault.InvalidSettings, "", "replica %d, heartbeat %d, election %d ticks, or no source of randomness", cfg.ID, cfg.HeartbeatTicks, cfg.ElectionTicks)
	}
	if cfg.MaxBatchBytes <= 0 {
		cfg.MaxBatchBytes = DefaultMaxBatchBytes
	}
	hard := r.Hard
	if hard.Term < r.Snapshot.Term {
		// The snapshot was saved, but not the hard state of the same Ready. No vote was
		// given in the snapshot's term, since it would have been saved before.
		hard = HardState{Term: r.Snapshot.Term}
	}
	r.Hard = hard
	log, err := newEntryLog(r)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, rand: cfg.Rand, term: hard.Term, vote: hard.Vote, log: log, savedHard: r.Hard}
	n.resetMemberships()
	n.restartTimer()
	return n, nil
}

func (n *Node) notLeader() error {
	return fault.New(fault.NotLeader, fault.NotRun, "replica %d is %s in term %d, the leader is replica %d", n.cfg.ID, n.role, n.term, n.leader)
}

// Propose appends a command on the leader. The returned index and term identify it: the
// command is accepted if the entry committed at index has this term, and lost if
// another term is committed there. It returns NotLeader on other replicas.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, n.notLeader()
	}
	e := n.appendOwn(Entry{Kind: EntryCommand, Data: data})
	return e.Index, e.Term, nil
}

func (n *Node) appendOwn(e Entry) Entry {
	e.Index, e.Term = n.log.last()+1, n.term
	n.log.entries = append(n.log.entries, e)
	n.noteMembers([]Entry{e})
	return e
}

// Tick advances the replica's clock by one tick.
func (n *Node) Tick() {
	n.now++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now-n.heard < n.timeout {
		return
	}
	n.restartTimer()
	n.leader = 0
	// A blank replica, a learner and a removed replica never campaign.
	if isVoter(n.members(), n.cfg.ID) {
		n.campaign(PreCandidate)
	}
}

func (n *Node) tickLeader() {
	// Check-quorum: without a majority heard from within one election timeout, another
	// leader may exist, so this one steps down.
	if n.now-n.quorumHeard() >= uint64(n.cfg.ElectionTicks) {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.now >= n.nextBeat {
		n.heartbeat()
	}
}

func (n *Node) quorumHeard() uint64 {
	return n.quorumValue(func(id ReplicaID) uint64 {
		if id == n.cfg.ID {
			return n.now
		}
		return n.peers[id].heard
	})
}

// restartTimer draws a new election timeout, so that two candidates that collided are
// unlikely to collide again.
func (n *Node) restartTimer() {
	n.heard = n.now
	n.timeout = uint64(n.cfg.ElectionTicks + n.rand.Intn(n.cfg.ElectionTicks))
}

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// HasReady reports whether Ready has work. It is false between Ready and Advance.
func (n *Node) HasReady() bool {
	if n.handedOut {
		return false
	}
	n.flush()
	l := n.log
	return len(n.messages) > 0 || l.installed || l.stable < l.last() || l.applied < l.commit ||
		len(n.reads.done) > 0 || n.hardToSave() != nil
}

func (n *Node) hardToSave() *HardState {
	h := HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
	changed := h.Term != n.savedHard.Term || h.Vote != n.savedHard.Vote
	if !changed && (h == n.savedHard || (n.log.stable == n.log.last() && !n.log.installed)) {
		return nil
	}
	return &h
}

// Ready returns the work for the caller, which must call Advance with it before the
// next Ready. Other calls may come between. Entries that are handed out are not counted
// before Advance.
func (n *Node) Ready() Ready {
	n.flush()
	l := n.log
	rd := Ready{
		Hard:      n.hardToSave(),
		Entries:   l.slice(l.stable, l.last()),
		Messages:  n.messages,
		Committed: l.slice(l.applied, l.commit),
		Reads:     n.reads.done,
	}
	if l.installed {
		s := l.snap
		rd.Snapshot = &s
		l.installed = false
	}
	n.messages, n.reads.done, n.handedOut = nil, nil, true
	return rd
}

// Advance says that rd is saved, sent and applied.
func (n *Node) Advance(rd Ready) {
	n.handedOut = false
	if rd.Hard != nil {
		n.savedHard = *rd.Hard
	}
	if k := len(rd.Committed); k > 0 {
		n.log.applied = max(n.log.applied, rd.Committed[k-1].Index)
	}
	n.log.saved(rd.Entries)
	if n.role == Leader {
		n.advanceCommit()
	}
}

// NewSnapshot returns a snapshot of the state after index, which must be applied and
// not before the current snapshot. The caller saves it and then calls Compact.
func (n *Node) NewSnapshot(index uint64, data []byte) (Snapshot, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied {
		return Snapshot{}, fault.New(fault.Internal, "", "no snapshot at index %d: snapshot %d, applied %d", index, n.log.snap.Index, n.log.applied)
	}
	return Snapshot{Index: index, Term: term, Members: n.membersAt(index), Data: data}, nil
}

// Compact drops entries up to s.Index after the caller has saved s, which it has from
// NewSnapshot. A snapshot that is not newer than the current one is ignored.
func (n *Node) Compact(s Snapshot) error {
	if s.Index <= n.log.snap.Index {
		return nil
	}
	if s.Index > n.log.applied || !n.log.matches(s.Index, s.Term) {
		return fault.New(fault.Internal, "", "snapshot at index %d of term %d is not of the applied state", s.Index, s.Term)
	}
	n.log.compact(s)
	n.resetMemberships()
	return nil
}

// Status describes the replica.
func (n *Node) Status() Status {
	l := n.log
	s := Status{
		Role: n.role, Term: n.term, Leader: n.leader, Commit: l.commit, Applied: l.applied,
		Last: l.last(), SnapshotIndex: l.snap.Index, Members: append([]Member(nil), n.members()...),
	}
	if m := find(s.Members, n.leader); m != nil {
		s.LeaderHost = m.Host
	}
	if n.role == Leader {
		s.Match = map[ReplicaID]uint64{n.cfg.ID: l.stable}
		s.RecentlyActive = map[ReplicaID]bool{n.cfg.ID: true}
		for id, p := range n.peers {
			s.Match[id], s.RecentlyActive[id] = p.match, n.active(p)
		}
	}
	return s
}
