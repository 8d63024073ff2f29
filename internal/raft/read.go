package raft

import "marigoldshunt/internal/fault"

// read is a read that waits for the confirmation of its round.
type read struct{ seq, index, round uint64 }

// readQueue holds the reads of the current term. A read is confirmed when a majority
// has answered a heartbeat that was sent after the read was asked: then no other leader
// had committed anything before the read was asked, and index covers it.
type readQueue struct {
	// round numbers the confirmations asked for; sent is the last one in a heartbeat.
	round, sent uint64
	// early holds reads asked before an entry of the own term was committed. Until then
	// the leader does not know the commit index of the group.
	early   []uint64
	waiting []read
	done    []ReadResult
}

// ReadIndex asks for the index that a linearizable read has to wait for. The result is
// in a later Ready. When the replica stops leading the read is dropped without a
// result, so the caller fails its reads when the role or term in Status changes. It
// returns NotLeader on other replicas.
func (n *Node) ReadIndex(seq uint64) error {
	if n.role != Leader {
		return n.notLeader()
	}
	if !n.ownTermCommitted() {
		n.reads.early = append(n.reads.early, seq)
		return nil
	}
	n.startRead(seq)
	return nil
}

// startRead puts the read into the round that the next heartbeat asks for. Reads asked
// between two Readys share a round.
func (n *Node) startRead(seq uint64) {
	if n.reads.round == n.reads.sent {
		n.reads.round++
	}
	n.reads.waiting = append(n.reads.waiting, read{seq, n.log.commit, n.reads.round})
}

func (n *Node) startReads() {
	for _, seq := range n.reads.early {
		n.startRead(seq)
	}
	n.reads.early = nil
}

func (n *Node) flushReads() {
	if n.reads.round != n.reads.sent {
		n.heartbeat()
	}
	// A leader that is the only voter needs no answer, and a change of the membership
	// can complete a majority.
	n.confirmReads()
}

func (n *Node) confirmReads() {
	confirmed := n.quorumValue(func(id ReplicaID) uint64 {
		if id == n.cfg.ID {
			return n.reads.sent
		}
		return n.peers[id].round
	})
	for len(n.reads.waiting) > 0 && n.reads.waiting[0].round <= confirmed {
		r := n.reads.waiting[0]
		n.reads.waiting = n.reads.waiting[1:]
		n.reads.done = append(n.reads.done, ReadResult{Seq: r.seq, Index: r.index})
	}
}

func errBadAppend(m Message, e Entry) error {
	return fault.New(fault.BadRequest, "", "append after index %d holds entry %d of term %d", m.Index, e.Index, e.Term)
}
