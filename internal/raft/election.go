package raft

import "marigoldshunt/internal/fault"

// Step handles a message. It returns BadRequest for a message that is addressed to
// another replica; messages that are late, repeated or from replicas outside the group
// are ignored.
func (n *Node) Step(m Message) error {
	if m.To != n.cfg.ID || m.From == 0 || m.From == n.cfg.ID {
		return fault.New(fault.BadRequest, "", "message from replica %d to %d reached replica %d", m.From, m.To, n.cfg.ID)
	}
	// A leader accepts messages only from members, so that a removed replica or one of
	// another group cannot depose it with a higher term. If that term has a real leader,
	// this one loses its majority and steps down by check-quorum.
	known := findMember(n.members(), m.From) != nil
	if n.role == Leader && !known {
		return nil
	}
	switch m.Kind {
	case MsgPreVote, MsgVote:
		n.handleVoteRequest(m)
	case MsgPreVoteResp, MsgVoteResp, MsgAppendResp, MsgHeartbeatResp:
		if known {
			n.handleResponse(m)
		}
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		return n.handleLeaderMessage(m)
	default:
		return fault.New(fault.BadRequest, "", "message kind %d is unknown", m.Kind)
	}
	return nil
}

// hasLiveLeader reports whether a leader was heard from within the minimum election
// timeout. If so, vote requests are ignored, so that a replica that was partitioned or
// removed cannot disrupt the group.
func (n *Node) hasLiveLeader() bool {
	return n.role == Leader || (n.leader != 0 && n.now-n.timerStart < uint64(n.cfg.ElectionTicks))
}

func (n *Node) handleVoteRequest(m Message) {
	self := findMember(n.members(), n.cfg.ID)
	if self == nil || n.hasLiveLeader() {
		return
	}
	lastTerm, lastIndex := n.log.lastTerm(), n.log.lastIndex()
	upToDate := m.LogTerm > lastTerm || (m.LogTerm == lastTerm && m.Index >= lastIndex)
	// A candidate asks only the voters in its membership. If this replica is a learner in
	// its own log and is asked all the same, the candidate's log holds the promotion, so it
	// is ahead. Rejecting such a candidate can leave the group without a leader forever:
	// with voters 1, 2 (lost), 3, and 4 promoted only in the log of replica 1, replica 1
	// needs the vote of 4, and 3 cannot win against the longer log of 1.
	if self.Learner && (!upToDate || (m.LogTerm == lastTerm && m.Index == lastIndex)) {
		return
	}
	if m.Kind == MsgPreVote {
		// A pre-vote changes no state. A response that grants it carries the requested term.
		if m.Term > n.term && upToDate {
			n.send(Message{Kind: MsgPreVoteResp, To: m.From, Term: m.Term})
		} else {
			n.send(Message{Kind: MsgPreVoteResp, To: m.From, Reject: true})
		}
		return
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, 0)
	}
	grant := m.Term == n.term && upToDate && n.leader == 0 && (n.vote == 0 || n.vote == m.From)
	if grant {
		n.vote = m.From
		n.resetElectionTimer()
	}
	n.send(Message{Kind: MsgVoteResp, To: m.From, Reject: !grant})
}

func (n *Node) handleResponse(m Message) {
	preVoteGrant := m.Kind == MsgPreVoteResp && !m.Reject
	if m.Term > n.term && !preVoteGrant {
		n.becomeFollower(m.Term, 0)
		return
	}
	switch m.Kind {
	case MsgPreVoteResp:
		if n.role == PreCandidate && (m.Reject || m.Term == n.term+1) {
			n.recordVote(m)
		}
	case MsgVoteResp:
		if n.role == Candidate && m.Term == n.term {
			n.recordVote(m)
		}
	default:
		if n.role == Leader && m.Term == n.term {
			n.handlePeerResponse(m)
		}
	}
}

func (n *Node) recordVote(m Message) {
	if _, duplicate := n.votes[m.From]; !duplicate {
		n.votes[m.From] = !m.Reject
	}
	n.tallyVotes()
}

func (n *Node) tallyVotes() {
	quorumGranted := n.quorumValue(func(id ReplicaID) uint64 {
		if n.votes[id] {
			return 1
		}
		return 0
	})
	if quorumGranted == 0 {
		return
	}
	if n.role == PreCandidate {
		n.campaign(Candidate)
	} else {
		n.becomeLeader()
	}
}

// campaign asks all other voters for a vote or, as PreCandidate, for a pre-vote, which
// shows whether an election can be won, without raising any term.
func (n *Node) campaign(role Role) {
	n.role, n.leader, n.peers = role, 0, nil
	n.votes = map[ReplicaID]bool{n.cfg.ID: true}
	kind, term := MsgPreVote, n.term+1
	if role == Candidate {
		n.term, n.vote = term, n.cfg.ID
		kind = MsgVote
		n.resetElectionTimer()
	}
	for _, m := range n.members() {
		if !m.Learner && m.ID != n.cfg.ID {
			n.send(Message{Kind: kind, To: m.ID, Term: term, LogTerm: n.log.lastTerm(), Index: n.log.lastIndex()})
		}
	}
	n.tallyVotes()
}

func (n *Node) becomeFollower(term uint64, leader ReplicaID) {
	if term > n.term {
		n.term, n.vote = term, 0
	}
	n.role, n.leader, n.peers, n.votes = Follower, leader, nil, nil
	n.reads = readQueue{done: n.reads.done}
	n.resetElectionTimer()
}

func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.cfg.ID, nil
	n.peers, n.reads = map[ReplicaID]*peer{}, readQueue{done: n.reads.done}
	n.updatePeers()
	n.currentTermStart = n.appendEntry(Entry{Kind: EntryNoop}).Index
	n.heartbeat()
}

// handleLeaderMessage handles the messages that only a leader sends.
func (n *Node) handleLeaderMessage(m Message) error {
	if m.Term < n.term {
		// The response carries the higher term. It tells a stale leader of the new term, and
		// it deposes a leader whose messages this replica would otherwise reject forever.
		n.send(Message{Kind: MsgAppendResp, To: m.From, Reject: true, Index: m.Index, Hint: n.log.commit})
		return nil
	}
	if n.role == Leader && m.Term == n.term {
		return fault.New(fault.Internal, "", "replica %d also leads term %d", m.From, m.Term)
	}
	if m.Term > n.term || n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.resetElectionTimer()
	switch m.Kind {
	case MsgAppend:
		return n.handleAppend(m)
	case MsgSnapshot:
		n.handleSnapshot(m)
	default:
		n.commitTo(m.Commit)
		n.send(Message{Kind: MsgHeartbeatResp, To: m.From, ReadSeq: m.ReadSeq})
	}
	return nil
}
