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
	// memberships holds the membership at the snapshot and those in the log, by index.
	memberships []membership

	// now counts ticks. timerStart is the tick at which the election timer last started,
	// for example because of a message from the leader or a granted vote.
	// electionTimeout is the timeout drawn at that time.
	now, timerStart, electionTimeout uint64
	// votes holds the responses to the current vote or pre-vote.
	votes map[ReplicaID]bool

	peers            map[ReplicaID]*peer
	nextHeartbeat    uint64
	reads            readQueue
	messages         []Message
	savedHardState   HardState
	awaitingAdvance  bool
	quorumScratch    []uint64
	currentTermStart uint64
}

// New returns a follower with the restored state. It returns InvalidSettings for a
// configuration that cannot work and StorageCorrupt for a state that no replica can
// have saved.
func New(cfg Config, r Restored) (*Node, error) {
	if cfg.ID == 0 || cfg.HeartbeatTicks <= 0 || cfg.ElectionTicks <= cfg.HeartbeatTicks || cfg.Rand == nil {
		return nil, fault.New(fault.InvalidSettings, "", "invalid configuration: replica %d, heartbeat %d ticks, election %d ticks, or no source of randomness", cfg.ID, cfg.HeartbeatTicks, cfg.ElectionTicks)
	}
	if cfg.MaxBatchBytes <= 0 {
		cfg.MaxBatchBytes = DefaultMaxBatchBytes
	}
	hard := r.Hard
	if hard.Term < r.Snapshot.Term {
		// The snapshot was saved, but not the hard state of the same Ready. This replica
		// did not vote in the snapshot's term: the vote would have been saved earlier.
		hard = HardState{Term: r.Snapshot.Term}
	}
	r.Hard = hard
	log, err := newEntryLog(r)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, rand: cfg.Rand, term: hard.Term, vote: hard.Vote, log: log, savedHardState: r.Hard}
	n.rebuildMemberships()
	n.resetElectionTimer()
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
	e := n.appendEntry(Entry{Kind: EntryCommand, Data: data})
	return e.Index, e.Term, nil
}

func (n *Node) appendEntry(e Entry) Entry {
	e.Index, e.Term = n.log.lastIndex()+1, n.term
	n.log.entries = append(n.log.entries, e)
	n.updateMemberships([]Entry{e})
	return e
}

// Tick advances the replica's clock by one tick.
func (n *Node) Tick() {
	n.now++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now-n.timerStart < n.electionTimeout {
		return
	}
	n.resetElectionTimer()
	n.leader = 0
	// A learner, a removed replica and one without a membership never campaign.
	if isVoter(n.members(), n.cfg.ID) {
		n.campaign(PreCandidate)
	}
}

func (n *Node) tickLeader() {
	// Check-quorum: if no majority has responded within one election timeout, another
	// leader may exist, so this one steps down.
	if n.now-n.quorumLastContact() >= uint64(n.cfg.ElectionTicks) {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.now >= n.nextHeartbeat {
		n.heartbeat()
	}
}

func (n *Node) quorumLastContact() uint64 {
	return n.quorumValue(func(id ReplicaID) uint64 {
		if id == n.cfg.ID {
			return n.now
		}
		return n.peers[id].lastContact
	})
}

// resetElectionTimer draws a new election timeout, so that two candidates that collided
// are unlikely to collide again.
func (n *Node) resetElectionTimer() {
	n.timerStart = n.now
	n.electionTimeout = uint64(n.cfg.ElectionTicks + n.rand.Intn(n.cfg.ElectionTicks))
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
	if n.awaitingAdvance {
		return false
	}
	n.flush()
	l := n.log
	return len(n.messages) > 0 || l.snapshotPending || l.stable < l.lastIndex() || l.applied < l.commit ||
		len(n.reads.done) > 0 || n.unsavedHardState() != nil
}

func (n *Node) unsavedHardState() *HardState {
	h := HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
	changed := h.Term != n.savedHardState.Term || h.Vote != n.savedHardState.Vote
	if !changed && (h == n.savedHardState || (n.log.stable == n.log.lastIndex() && !n.log.snapshotPending)) {
		return nil
	}
	return &h
}

// Ready returns the work for the caller, which must call Advance with it before the
// next Ready. Other calls may come in between. The returned entries do not count as
// saved before Advance.
func (n *Node) Ready() Ready {
	n.flush()
	l := n.log
	rd := Ready{
		Hard:      n.unsavedHardState(),
		Entries:   l.slice(l.stable, l.lastIndex()),
		Messages:  n.messages,
		Committed: l.slice(l.applied, l.commit),
		Reads:     n.reads.done,
	}
	if l.snapshotPending {
		s := l.snap
		rd.Snapshot = &s
		l.snapshotPending = false
	}
	n.messages, n.reads.done, n.awaitingAdvance = nil, nil, true
	return rd
}

// Advance records that the caller has saved, sent and applied rd.
func (n *Node) Advance(rd Ready) {
	n.awaitingAdvance = false
	if rd.Hard != nil {
		n.savedHardState = *rd.Hard
	}
	if k := len(rd.Committed); k > 0 {
		n.log.applied = max(n.log.applied, rd.Committed[k-1].Index)
	}
	n.log.markStable(rd.Entries)
	if n.role == Leader {
		n.advanceCommit()
	}
}

// NewSnapshot returns a snapshot with data, the encoded state after the entry at index. The
// index must be applied and at least that of the current snapshot. The caller saves the
// snapshot and then calls Compact.
func (n *Node) NewSnapshot(index uint64, data []byte) (Snapshot, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied {
		return Snapshot{}, fault.New(fault.Internal, "", "cannot take a snapshot at index %d: latest snapshot at %d, applied up to %d", index, n.log.snap.Index, n.log.applied)
	}
	return Snapshot{Index: index, Term: term, Members: n.membersAt(index), Data: data}, nil
}

// Compact drops the entries up to s.Index. The caller has obtained s from NewSnapshot
// and saved it. A snapshot that is not newer than the current one is ignored.
func (n *Node) Compact(s Snapshot) error {
	if s.Index <= n.log.snap.Index {
		return nil
	}
	if s.Index > n.log.applied || !n.log.matches(s.Index, s.Term) {
		return fault.New(fault.Internal, "", "snapshot at index %d of term %d does not match an applied entry", s.Index, s.Term)
	}
	n.log.compact(s)
	n.rebuildMemberships()
	return nil
}

// Status describes the replica.
func (n *Node) Status() Status {
	l := n.log
	s := Status{
		Role: n.role, Term: n.term, Leader: n.leader, Commit: l.commit, Applied: l.applied,
		Last: l.lastIndex(), SnapshotIndex: l.snap.Index, Members: append([]Member(nil), n.members()...),
	}
	if m := findMember(s.Members, n.leader); m != nil {
		s.LeaderHost = m.Host
	}
	if n.role == Leader {
		s.Match = map[ReplicaID]uint64{n.cfg.ID: l.stable}
		s.RecentlyActive = map[ReplicaID]bool{n.cfg.ID: true}
		for id, p := range n.peers {
			s.Match[id], s.RecentlyActive[id] = p.match, n.recentlyActive(p)
		}
	}
	return s
}
