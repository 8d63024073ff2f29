package control

import (
	"slices"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/raft"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wire"
)

// onRaft handles a message of another replica. A blank replica starts to follow when it
// is addressed by its id, which only a group that has it as a member does.
func (n *Node) onRaft(e event) {
	var m raft.Message
	if !n.decode(e, &m) || m.To != n.o.Storage.ReplicaID() {
		return
	}
	if n.raft == nil {
		if err := n.open(raft.Restored{}); err != nil {
			n.o.Log.WithError(err).Error("blank replica not started")
			return
		}
	}
	if len(n.seen) >= maxTransfers {
		clear(n.seen)
	}
	n.seen[m.From] = e.from
	n.heardReplica(m.From)
	if err := n.raft.Step(m); err != nil {
		n.o.Log.WithError(err).WithField("from", e.from).Debug("raft message refused")
	}
	n.observe()
}

// process does all work that the events have made possible: it proposes, saves, sends,
// applies and answers. It returns an error when the storage failed.
func (n *Node) process() error {
	for {
		for len(n.local) > 0 {
			e := n.local[0]
			n.local = n.local[1:]
			n.event(e)
		}
		if n.raft == nil {
			break
		}
		n.propose()
		n.startReads()
		if !n.raft.HasReady() {
			break
		}
		rd := n.raft.Ready()
		if err := n.save(rd); err != nil {
			n.o.Log.WithError(err).Error("control role stopped")
			n.shutdown(err)
			return err
		}
		for _, m := range rd.Messages {
			n.sendRaft(m)
		}
		if err := n.apply(rd); err != nil {
			n.shutdown(err)
			return err
		}
		n.raft.Advance(rd)
		n.observe()
		if err := n.compact(); err != nil {
			n.shutdown(err)
			return err
		}
	}
	n.answerReads()
	n.push()
	n.publish()
	return nil
}

// save makes a Ready durable.
func (n *Node) save(rd raft.Ready) error {
	if rd.Snapshot != nil {
		if err := n.o.Storage.SaveSnapshot(*rd.Snapshot); err != nil {
			return storageFault(err)
		}
	}
	if rd.Hard != nil || len(rd.Entries) > 0 {
		if err := n.o.Storage.Save(rd.Hard, rd.Entries); err != nil {
			return storageFault(err)
		}
	}
	for _, e := range rd.Entries {
		n.logBytes += len(e.Data)
	}
	return nil
}

func storageFault(err error) error {
	switch fault.CodeOf(err) {
	case fault.StorageFailed, fault.StorageCorrupt:
		return err
	}
	return fault.Wrap(err, fault.StorageFailed, fault.MayHaveRun, "the log cannot be written")
}

func (n *Node) sendRaft(m raft.Message) {
	to := n.seen[m.To]
	for _, member := range n.members {
		if member.ID == m.To {
			to = member.Host
		}
	}
	if to == "" {
		return
	}
	size := 0
	for _, e := range m.Entries {
		size += len(e.Data)
	}
	if m.Snapshot != nil || size > chunkBytes {
		n.sendLarge(to, wire.KindRaft, m)
		return
	}
	n.send(to, wire.KindRaft, m)
}

// apply restores the snapshot of a Ready and applies its committed entries.
func (n *Node) apply(rd raft.Ready) error {
	if s := rd.Snapshot; s != nil {
		if err := n.st.Restore(s.Data); err != nil {
			return err
		}
		n.applied, n.snapIndex, n.snapBytes, n.logBytes = s.Index, s.Index, len(s.Data), 0
		n.st.Skip(s.Index)
	}
	for _, e := range rd.Committed {
		var results []state.Result
		if e.Kind == raft.EntryCommand {
			results = n.st.ApplyBatch(e.Index, e.Data)
			n.watchLeases()
		} else {
			n.st.Skip(e.Index)
		}
		n.applied, n.appliedTerm = e.Index, e.Term
		n.settle(e.Index, e.Term, results)
	}
	for _, r := range rd.Reads {
		if waiting, ok := n.reads[r.Seq]; ok {
			delete(n.reads, r.Seq)
			n.ready = append(n.ready, confirmedRead{index: r.Index, renews: waiting})
		}
	}
	return nil
}

// snapshotDue spaces snapshots so that their cost stays in proportion to the log: the
// log has to reach the size of the last snapshot, or 16 times the usual entries.
func (n *Node) snapshotDue() bool {
	entries := n.applied - n.snapIndex
	switch {
	case entries == 0:
		return false
	case n.logBytes >= maxLogBytes || entries >= 16*n.o.SnapshotEntries:
		return true
	}
	return entries >= n.o.SnapshotEntries && n.logBytes >= n.snapBytes
}

// compact takes a snapshot when enough entries were applied since the last one.
func (n *Node) compact() error {
	if !n.snapshotDue() {
		return nil
	}
	data, err := n.st.Snapshot()
	if err != nil {
		return err
	}
	s, err := n.raft.NewSnapshot(n.applied, data)
	if err != nil {
		return err
	}
	if err := n.o.Storage.SaveSnapshot(s); err != nil {
		return storageFault(err)
	}
	if err := n.raft.Compact(s); err != nil {
		return err
	}
	if err := n.o.Storage.Release(s.Index); err != nil {
		return storageFault(err)
	}
	n.snapIndex, n.snapBytes, n.logBytes = s.Index, len(s.Data), 0
	return nil
}

// observe follows changes of role, term and membership.
func (n *Node) observe() {
	s := n.raft.Status()
	if !slices.Equal(n.members, s.Members) {
		n.memberChanges++
	}
	n.members = s.Members
	n.leader = s.LeaderHost
	if s.Role == n.role && s.Term == n.term {
		return
	}
	wasLeader := n.role == raft.Leader
	n.role, n.term = s.Role, s.Term
	if wasLeader {
		n.stepDown()
	}
	if n.role == raft.Leader {
		n.resetLeadership()
		n.o.Log.WithField("term", n.term).Info("leads the control group")
	}
}

// stepDown ends everything that needs leadership. Proposals that were appended may
// still be committed by the next leader, so their outcome is unknown.
func (n *Node) stepDown() {
	for index, p := range n.pending {
		delete(n.pending, index)
		n.waiting -= len(p.callers)
		for _, c := range p.callers {
			n.unknown(c)
		}
	}
	for _, p := range n.queue {
		n.refuseProposal(p.caller)
	}
	n.queue, n.waiting = nil, 0
	for _, r := range n.renews {
		n.redirectRenew(r.from, r.msg.Seq)
	}
	for _, waiting := range n.reads {
		for _, r := range waiting {
			n.redirectRenew(r.from, r.msg.Seq)
		}
	}
	for _, read := range n.ready {
		for _, r := range read.renews {
			n.redirectRenew(r.from, r.msg.Seq)
		}
	}
	n.renews, n.ready = nil, nil
	clear(n.reads)
	n.lead.orders.stop()
	n.endReplace(n.notLeader())
	n.resetLeadership()
}

func (n *Node) notLeader() error {
	return fault.New(fault.NotLeader, fault.NotRun, "the leader of the control group is %q", n.leader)
}
