package raft

import "marigoldshunt/internal/fault"

// read is a read request that waits until its confirmation round completes.
type read struct{ seq, index, round uint64 }

// readQueue holds the reads of the current term. A read is confirmed when a majority
// has responded to a heartbeat that was sent after the read was requested: then no other
// leader had committed anything before the request, and index covers all committed
// entries.
type readQueue struct {
	// round is the latest confirmation round that is needed; sentRound is the latest one
	// sent in a heartbeat.
	round, sentRound uint64
	// deferred holds reads requested before an entry of the current term was committed.
	// Until then the leader does not know the commit index of the group.
	deferred []uint64
	pending  []read
	done     []ReadResult
}

// ReadIndex requests the index that a linearizable read has to wait for. The result is
// in a later Ready. When the replica stops leading, the read is dropped without a
// result, so the caller fails its reads when the role or term in Status changes. It
// returns NotLeader on other replicas.
func (n *Node) ReadIndex(seq uint64) error {
	if n.role != Leader {
		return n.notLeader()
	}
	if !n.committedInCurrentTerm() {
		n.reads.deferred = append(n.reads.deferred, seq)
		return nil
	}
	n.enqueueRead(seq)
	return nil
}

// enqueueRead adds the read to the round that the next heartbeat confirms. Reads
// requested between two calls of Ready share a round.
func (n *Node) enqueueRead(seq uint64) {
	if n.reads.round == n.reads.sentRound {
		n.reads.round++
	}
	n.reads.pending = append(n.reads.pending, read{seq, n.log.commit, n.reads.round})
}

func (n *Node) enqueueDeferredReads() {
	for _, seq := range n.reads.deferred {
		n.enqueueRead(seq)
	}
	n.reads.deferred = nil
}

func (n *Node) flushReads() {
	if n.reads.round != n.reads.sentRound {
		n.heartbeat()
	}
	// A leader that is the only voter needs no response, and a membership change can
	// complete a majority.
	n.confirmReads()
}

func (n *Node) confirmReads() {
	confirmedRound := n.quorumValue(func(id ReplicaID) uint64 {
		if id == n.cfg.ID {
			return n.reads.sentRound
		}
		return n.peers[id].ackedRound
	})
	for len(n.reads.pending) > 0 && n.reads.pending[0].round <= confirmedRound {
		r := n.reads.pending[0]
		n.reads.pending = n.reads.pending[1:]
		n.reads.done = append(n.reads.done, ReadResult{Seq: r.seq, Index: r.index})
	}
}

func errBadAppend(m Message, e Entry) error {
	return fault.New(fault.BadRequest, "", "append after index %d contains unexpected entry %d of term %d", m.Index, e.Index, e.Term)
}
