package raft

// peer is the leader's view of another replica.
type peer struct {
	// match is the highest index known to be saved there; entries up to next-1 are sent.
	match, next uint64
	// probing is true until an append was accepted; then appends are sent ahead of their
	// answers. waiting is true while an answer to a probe is outstanding.
	probing, waiting bool
	// snapshot is the index of a snapshot that is being sent, sent at snapshotAt.
	snapshot, snapshotAt uint64
	// commit is the commit index last sent.
	commit uint64
	// heard is the time of the last answer in this term.
	heard uint64
	// round is the highest confirmation round that was answered.
	round uint64
}

const (
	// maxInFlight bounds the entries sent ahead of their answers, and so the memory of
	// the send queues.
	maxInFlight = 4096
	// snapshotRetry is the time, in election timeouts, after which a snapshot without an
	// answer is sent again. Sending it in chunks takes longer than a heartbeat.
	snapshotRetry = 4
)

func (n *Node) active(p *peer) bool { return n.now-p.heard < uint64(n.cfg.ElectionTicks) }

// syncPeers keeps one peer for each other member. A new one counts as heard from now,
// which gives it one election timeout to answer.
func (n *Node) syncPeers() {
	for id := range n.peers {
		if find(n.members(), id) == nil {
			delete(n.peers, id)
		}
	}
	for _, m := range n.members() {
		if n.peers[m.ID] == nil && m.ID != n.cfg.ID {
			n.peers[m.ID] = &peer{next: n.log.last() + 1, probing: true, heard: n.now}
		}
	}
}

// flush queues what the leader can send now. Proposals made since the last Ready go out
// in the same messages.
func (n *Node) flush() {
	if n.role != Leader {
		return
	}
	n.flushReads()
	// The order of the membership, not of the map, keeps runs repeatable.
	for _, m := range n.members() {
		if p := n.peers[m.ID]; p != nil {
			n.flushPeer(m.ID, p)
		}
	}
}

func (n *Node) flushPeer(id ReplicaID, p *peer) {
	for !p.waiting && p.snapshot == 0 {
		if p.next <= n.log.snap.Index {
			n.sendSnapshot(id, p)
			return
		}
		more := p.next <= n.log.last() && p.next-p.match <= maxInFlight
		if !more && !p.probing && p.commit >= n.log.commit {
			return
		}
		n.sendAppend(id, p, more)
		if !more {
			return
		}
	}
}

func (n *Node) sendAppend(id ReplicaID, p *peer, withEntries bool) {
	prev := p.next - 1
	prevTerm, _ := n.log.term(prev)
	m := Message{Kind: MsgAppend, To: id, Index: prev, LogTerm: prevTerm, Commit: n.log.commit}
	if withEntries {
		m.Entries = n.log.batch(prev, n.cfg.MaxBatchBytes)
	}
	p.commit = n.log.commit
	if p.probing {
		p.waiting = true
	} else {
		p.next += uint64(len(m.Entries))
	}
	n.send(m)
}

func (n *Node) sendSnapshot(id ReplicaID, p *peer) {
	s := n.log.snap
	p.snapshot, p.snapshotAt = s.Index, n.now
	n.send(Message{Kind: MsgSnapshot, To: id, Index: s.Index, LogTerm: s.Term, Commit: n.log.commit, Snapshot: &s})
}

// heartbeat asks all members whether this replica still leads.
func (n *Node) heartbeat() {
	n.nextBeat = n.now + uint64(n.cfg.HeartbeatTicks)
	n.reads.sent = n.reads.round
	for _, m := range n.members() {
		if p := n.peers[m.ID]; p != nil {
			// A commit index above match could point at entries of another term there.
			n.send(Message{Kind: MsgHeartbeat, To: m.ID, Commit: min(n.log.commit, p.match), ReadSeq: n.reads.round})
		}
	}
}

// stepPeer handles an answer of this term to the leader.
func (n *Node) stepPeer(m Message) {
	p := n.peers[m.From]
	p.heard = n.now
	if m.Kind == MsgHeartbeatResp {
		p.round = max(p.round, min(m.ReadSeq, n.reads.sent))
		n.confirmReads()
		n.repeatLost(p, m.From)
		return
	}
	if m.Reject {
		n.handleReject(p, m)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		n.advanceCommit()
	}
	if p.snapshot != 0 && p.match < p.snapshot {
		return
	}
	p.snapshot = 0
	p.next = max(p.next, p.match+1)
	p.probing, p.waiting = false, false
}

// repeatLost sends again what may have been lost: a probe, a snapshot, or appends whose
// loss shows when the replica rejects an append after them.
func (n *Node) repeatLost(p *peer, id ReplicaID) {
	switch {
	case p.snapshot != 0:
		if n.now-p.snapshotAt >= uint64(snapshotRetry*n.cfg.ElectionTicks) {
			p.snapshot, p.waiting = 0, false
		}
	case p.probing:
		p.waiting = false
	case p.match < n.log.last() && p.next > n.log.snap.Index:
		n.sendAppend(id, p, false)
	}
}

func (n *Node) handleReject(p *peer, m Message) {
	// A late rejection names an entry that has matched since, or an old probe.
	if m.Index <= p.match || p.snapshot != 0 || (p.probing && m.Index != p.next-1) {
		return
	}
	// A hint before the snapshot cannot be compared any more; flushPeer then sends the
	// snapshot, as it does when the entry at the snapshot index itself is rejected.
	hint, _ := n.log.conflictHint(m.Hint, m.LogTerm)
	p.next = max(p.match, min(hint, m.Index-1)) + 1
	p.probing, p.waiting = true, false
}

func (n *Node) ownTermCommitted() bool { return n.log.commit >= n.ownTermFrom }

// advanceCommit commits what a majority has saved. Entries of earlier terms are
// committed only together with one of the own term, since until then a later leader
// may still replace them.
func (n *Node) advanceCommit() {
	index := n.quorumValue(func(id ReplicaID) uint64 {
		if id == n.cfg.ID {
			return n.log.stable
		}
		return n.peers[id].match
	})
	if index <= n.log.commit || index < n.ownTermFrom {
		return
	}
	n.log.commit = index
	n.startReads()
	at := n.memberships[len(n.memberships)-1].index
	if at <= index && !isVoter(n.members(), n.cfg.ID) {
		// The leader has committed its own removal: the others learn it and elect.
		n.flush()
		n.becomeFollower(n.term, 0)
	}
}

func (n *Node) commitTo(index uint64) {
	n.log.commit = max(n.log.commit, min(index, n.log.last()))
}

func (n *Node) handleAppend(m Message) error {
	answer := Message{Kind: MsgAppendResp, To: m.From, Index: n.log.commit}
	// Committed entries match every leader's log, so an old append needs no comparison.
	if m.Index < n.log.commit {
		n.send(answer)
		return nil
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		answer.Reject, answer.Index = true, m.Index
		answer.Hint, answer.LogTerm = n.log.conflictHint(m.Index, m.LogTerm)
		n.send(answer)
		return nil
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 || e.Term > m.Term {
			return errBadAppend(m, e)
		}
	}
	first, err := n.log.append(m.Entries)
	if err != nil {
		return err
	}
	if first != 0 {
		n.noteMembers(m.Entries[first-m.Index-1:])
	}
	answer.Index = m.Index + uint64(len(m.Entries))
	// Only entries known to match the leader's may be committed.
	n.commitTo(min(m.Commit, answer.Index))
	n.send(answer)
	return nil
}

func (n *Node) handleSnapshot(m Message) {
	s := m.Snapshot
	if s == nil {
		return
	}
	switch {
	case s.Index <= n.log.commit:
		// Everything in the snapshot is here already.
	case n.log.matches(s.Index, s.Term):
		n.commitTo(s.Index)
	default:
		n.log.install(*s)
		n.resetMemberships()
	}
	n.send(Message{Kind: MsgAppendResp, To: m.From, Index: n.log.commit})
}
