package raft

// peer is the leader's view of another replica.
type peer struct {
	// match is the highest index known to be saved on the replica; entries up to next-1
	// have been sent.
	match, next uint64
	// probing is true until an append is accepted; then appends are pipelined, that is,
	// sent without waiting for responses. probeInFlight is true while the response to a
	// probe is outstanding.
	probing, probeInFlight bool
	// snapshotIndex is the index of the snapshot that is being sent, 0 for none;
	// snapshotSentAt is the tick at which it was sent.
	snapshotIndex, snapshotSentAt uint64
	// sentCommit is the commit index last sent in an append.
	sentCommit uint64
	// lastContact is the tick of the last response in this term.
	lastContact uint64
	// ackedRound is the highest confirmation round that the replica has acknowledged.
	ackedRound uint64
}

const (
	// maxInFlightEntries bounds the entries that are sent but not acknowledged, and so
	// the memory of the send queues.
	maxInFlightEntries = 4096
	// snapshotRetryTimeouts is the number of election timeouts after which a snapshot
	// without a response is sent again. Sending it in chunks takes longer than a heartbeat.
	snapshotRetryTimeouts = 4
)

func (n *Node) recentlyActive(p *peer) bool { return n.now-p.lastContact < uint64(n.cfg.ElectionTicks) }

// updatePeers keeps one peer for each other member. A new one counts as active now, which
// gives it one election timeout to respond.
func (n *Node) updatePeers() {
	for id := range n.peers {
		if findMember(n.members(), id) == nil {
			delete(n.peers, id)
		}
	}
	for _, m := range n.members() {
		if n.peers[m.ID] == nil && m.ID != n.cfg.ID {
			n.peers[m.ID] = &peer{next: n.log.lastIndex() + 1, probing: true, lastContact: n.now}
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
	// Iterating in the order of the membership, not of the map, keeps runs deterministic.
	for _, m := range n.members() {
		if p := n.peers[m.ID]; p != nil {
			n.flushPeer(m.ID, p)
		}
	}
}

func (n *Node) flushPeer(id ReplicaID, p *peer) {
	for !p.probeInFlight && p.snapshotIndex == 0 {
		if p.next <= n.log.snap.Index {
			n.sendSnapshot(id, p)
			return
		}
		hasEntries := p.next <= n.log.lastIndex() && p.next-p.match <= maxInFlightEntries
		if !hasEntries && !p.probing && p.sentCommit >= n.log.commit {
			return
		}
		n.sendAppend(id, p, hasEntries)
		if !hasEntries {
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
	p.sentCommit = n.log.commit
	if p.probing {
		p.probeInFlight = true
	} else {
		p.next += uint64(len(m.Entries))
	}
	n.send(m)
}

func (n *Node) sendSnapshot(id ReplicaID, p *peer) {
	s := n.log.snap
	p.snapshotIndex, p.snapshotSentAt = s.Index, n.now
	n.send(Message{Kind: MsgSnapshot, To: id, Index: s.Index, LogTerm: s.Term, Commit: n.log.commit, Snapshot: &s})
}

// heartbeat asks all other members to confirm that this replica still leads.
func (n *Node) heartbeat() {
	n.nextHeartbeat = n.now + uint64(n.cfg.HeartbeatTicks)
	n.reads.sentRound = n.reads.round
	for _, m := range n.members() {
		if p := n.peers[m.ID]; p != nil {
			// Above match, the commit index could cover entries of another term on that member.
			n.send(Message{Kind: MsgHeartbeat, To: m.ID, Commit: min(n.log.commit, p.match), ReadSeq: n.reads.round})
		}
	}
}

// handlePeerResponse handles a response of the current term on the leader.
func (n *Node) handlePeerResponse(m Message) {
	p := n.peers[m.From]
	p.lastContact = n.now
	if m.Kind == MsgHeartbeatResp {
		p.ackedRound = max(p.ackedRound, min(m.ReadSeq, n.reads.sentRound))
		n.confirmReads()
		n.retransmit(p, m.From)
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
	if p.snapshotIndex != 0 && p.match < p.snapshotIndex {
		return
	}
	p.snapshotIndex = 0
	p.next = max(p.next, p.match+1)
	p.probing, p.probeInFlight = false, false
}

// retransmit sends again what may have been lost: a probe, a snapshot, or appends. The
// loss of appends shows when the replica rejects an empty append after them.
func (n *Node) retransmit(p *peer, id ReplicaID) {
	switch {
	case p.snapshotIndex != 0:
		if n.now-p.snapshotSentAt >= uint64(snapshotRetryTimeouts*n.cfg.ElectionTicks) {
			p.snapshotIndex, p.probeInFlight = 0, false
		}
	case p.probing:
		p.probeInFlight = false
	case p.match < n.log.lastIndex() && p.next > n.log.snap.Index:
		n.sendAppend(id, p, false)
	}
}

func (n *Node) handleReject(p *peer, m Message) {
	// Ignore a late rejection: its entry has matched since, or it is for an old probe.
	if m.Index <= p.match || p.snapshotIndex != 0 || (p.probing && m.Index != p.next-1) {
		return
	}
	// A hint before the snapshot can no longer be compared; flushPeer then sends the
	// snapshot, as it does when the entry at the snapshot index itself is rejected.
	hint, _ := n.log.conflictHint(m.Hint, m.LogTerm)
	p.next = max(p.match, min(hint, m.Index-1)) + 1
	p.probing, p.probeInFlight = true, false
}

func (n *Node) committedInCurrentTerm() bool { return n.log.commit >= n.currentTermStart }

// advanceCommit commits what a majority has saved. Entries of earlier terms are
// committed only together with one of the current term, since until then a later leader
// may still replace them.
func (n *Node) advanceCommit() {
	quorumIndex := n.quorumValue(func(id ReplicaID) uint64 {
		if id == n.cfg.ID {
			return n.log.stable
		}
		return n.peers[id].match
	})
	if quorumIndex <= n.log.commit || quorumIndex < n.currentTermStart {
		return
	}
	n.log.commit = quorumIndex
	n.enqueueDeferredReads()
	membershipIndex := n.memberships[len(n.memberships)-1].index
	if membershipIndex <= quorumIndex && !isVoter(n.members(), n.cfg.ID) {
		// The leader has committed its own removal: it tells the others, which then elect a
		// new leader, and steps down.
		n.flush()
		n.becomeFollower(n.term, 0)
	}
}

func (n *Node) commitTo(index uint64) {
	n.log.commit = max(n.log.commit, min(index, n.log.lastIndex()))
}

func (n *Node) handleAppend(m Message) error {
	response := Message{Kind: MsgAppendResp, To: m.From, Index: n.log.commit}
	// Committed entries match every leader's log, so an append that starts before the
	// commit index needs no comparison.
	if m.Index < n.log.commit {
		n.send(response)
		return nil
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		response.Reject, response.Index = true, m.Index
		response.Hint, response.LogTerm = n.log.conflictHint(m.Index, m.LogTerm)
		n.send(response)
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
		n.updateMemberships(m.Entries[first-m.Index-1:])
	}
	response.Index = m.Index + uint64(len(m.Entries))
	// Only entries known to match the leader's may be committed.
	n.commitTo(min(m.Commit, response.Index))
	n.send(response)
	return nil
}

func (n *Node) handleSnapshot(m Message) {
	s := m.Snapshot
	if s == nil {
		return
	}
	switch {
	case s.Index <= n.log.commit:
		// The log already holds everything in the snapshot.
	case n.log.matches(s.Index, s.Term):
		n.commitTo(s.Index)
	default:
		n.log.install(*s)
		n.rebuildMemberships()
	}
	n.send(Message{Kind: MsgAppendResp, To: m.From, Index: n.log.commit})
}
