package control

import (
	"marigoldshunt/internal/raft"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wire"
)

// proposer receives the result of a command: a host, or a callback of this node. The
// callback gets ok = false when the outcome is unknown or the command was not proposed.
type proposer struct {
	host     string
	seq      uint64
	callback func(r state.Result, ok bool)
}

type proposal struct {
	proposer proposer
	command  []byte
}

type pendingBatch struct {
	term      uint64
	proposers []proposer
}

func (n *Node) onPropose(e event) {
	var m wire.Propose
	if !n.decode(e, &m) {
		return
	}
	c := proposer{host: e.from, seq: m.Seq}
	if n.role != raft.Leader {
		n.refuseProposal(c)
		return
	}
	// A dropped proposal is resent by its client.
	if len(m.Command) <= maxCommandBytes {
		n.enqueue(proposal{c, m.Command})
	}
}

func (n *Node) enqueue(p proposal) bool {
	if n.openProposals >= maxOpenProposals {
		return false
	}
	n.openProposals++
	n.queue = append(n.queue, p)
	return true
}

// proposeLocal proposes a command of the leader itself.
func (n *Node) proposeLocal(c state.Command, done func(state.Result, bool)) {
	data, err := c.Encode()
	if err != nil || !n.enqueue(proposal{proposer{callback: done}, data}) {
		done(state.Result{}, false)
	}
}

// proposeQueued turns the queue into log entries. An entry holds many commands, but at most
// one order, since the log index is the order's fencing number.
func (n *Node) proposeQueued() {
	if n.role != raft.Leader {
		return
	}
	for len(n.queue) > 0 {
		count, size, orders := 0, 0, 0
		for _, p := range n.queue {
			if state.IsOrder(p.command) {
				orders++
			}
			size += len(p.command)
			if count > 0 && (count >= batchCommands || size > batchBytes || orders > 1) {
				break
			}
			count++
		}
		n.proposeBatch(n.queue[:count])
		n.queue = n.queue[count:]
	}
	n.queue = nil
}

func (n *Node) proposeBatch(ps []proposal) {
	b := state.Batch{Time: n.opts.WallClock().UnixMilli()}
	entry := pendingBatch{}
	for _, p := range ps {
		b.Commands = append(b.Commands, p.command)
		entry.proposers = append(entry.proposers, p.proposer)
	}
	data, err := b.Encode()
	var index uint64
	if err == nil {
		index, entry.term, err = n.raft.Propose(data)
	}
	if err != nil {
		n.openProposals -= len(ps)
		for _, c := range entry.proposers {
			n.refuseProposal(c)
		}
		return
	}
	n.pending[index] = entry
}

// answerBatch answers the proposers of an applied entry. If the index holds an entry of
// another term, it has replaced the pending one. Copies of the pending commands may still
// be committed, so their outcome is reported as unknown.
func (n *Node) answerBatch(index, term uint64, results []state.Result) {
	p, ok := n.pending[index]
	if !ok {
		return
	}
	delete(n.pending, index)
	n.openProposals -= len(p.proposers)
	for i, c := range p.proposers {
		if p.term != term || i >= len(results) {
			n.answerUnknown(c)
			continue
		}
		n.answerResult(c, results[i])
	}
}

func (n *Node) answerResult(c proposer, r state.Result) {
	if c.callback != nil {
		c.callback(r, true)
		return
	}
	data, err := wire.Marshal(r)
	if err != nil {
		n.answerUnknown(c)
		return
	}
	n.send(c.host, wire.KindProposeAck, wire.ProposeAck{Seq: c.seq, Leader: n.opts.Host, Result: data})
}

func (n *Node) answerUnknown(c proposer) {
	if c.callback != nil {
		c.callback(state.Result{}, false)
		return
	}
	n.send(c.host, wire.KindProposeAck, wire.ProposeAck{Seq: c.seq, Leader: n.leader, Unknown: true})
}

func (n *Node) refuseProposal(c proposer) {
	if c.callback != nil {
		c.callback(state.Result{}, false)
		return
	}
	n.send(c.host, wire.KindProposeAck, wire.ProposeAck{Seq: c.seq, NotLeader: true, Leader: n.leader})
}
