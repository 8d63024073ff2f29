package control

import (
	"slices"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/raft"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wire"
)

// onRaft handles a message of another replica. A blank replica starts raft when a message
// is addressed to its id, which only a group that has it as a member sends.
func (n *Node) onRaft(e event) {
	var m raft.Message
	if !n.decode(e, &m) || m.To != n.opts.Storage.ReplicaID() {
		return
	}
	if n.raft == nil {
		if err := n.startRaft(raft.Restored{}); err != nil {
			n.opts.Log.WithError(err).Error("Failed to start a blank replica.")
			return
		}
	}
	if len(n.senderHosts) >= maxSenderHosts {
		clear(n.senderHosts)
	}
	n.senderHosts[m.From] = e.from
	n.heardReplica(m.From)
	if err := n.raft.Step(m); err != nil {
		n.opts.Log.WithError(err).WithField("from", e.from).Debug("Raft message rejected.")
	}
	n.refreshRaftStatus()
}

// process does all work that the handled events have caused: it proposes, saves, sends,
// applies and answers. It returns an error when saving, applying or compacting failed.
func (n *Node) process() error {
	for {
		for len(n.selfMessages) > 0 {
			e := n.selfMessages[0]
			n.selfMessages = n.selfMessages[1:]
			n.handleEvent(e)
		}
		if n.raft == nil {
			break
		}
		n.proposeQueued()
		n.startReads()
		if !n.raft.HasReady() {
			break
		}
		rd := n.raft.Ready()
		if err := n.save(rd); err != nil {
			n.opts.Log.WithError(err).Error("Control role stopped.")
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
		n.refreshRaftStatus()
		if err := n.compact(); err != nil {
			n.shutdown(err)
			return err
		}
	}
	n.answerRenews()
	n.pushChanges()
	n.publishStatus()
	return nil
}

// save makes the snapshot, the hard state and the entries of a Ready durable.
func (n *Node) save(rd raft.Ready) error {
	if rd.Snapshot != nil {
		if err := n.opts.Storage.SaveSnapshot(*rd.Snapshot); err != nil {
			return storageFault(err)
		}
	}
	if rd.Hard != nil || len(rd.Entries) > 0 {
		if err := n.opts.Storage.Save(rd.Hard, rd.Entries); err != nil {
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
	to := n.senderHosts[m.To]
	for _, member := range n.members {
		if member.ID == m.To {
			to = member.Host
		}
	}
	if to == "" {
		return
	}
	n.send(to, wire.KindRaft, m)
}

// apply restores the snapshot of a Ready and applies its committed entries.
func (n *Node) apply(rd raft.Ready) error {
	if s := rd.Snapshot; s != nil {
		if err := n.state.Restore(s.Data); err != nil {
			return err
		}
		n.applied, n.snapshotIndex, n.snapshotBytes, n.logBytes = s.Index, s.Index, len(s.Data), 0
		n.state.AdvanceIndex(s.Index)
	}
	for _, e := range rd.Committed {
		var results []state.Result
		if e.Kind == raft.EntryCommand {
			results = n.state.ApplyBatch(e.Index, e.Data)
			n.trackNewLeases()
		} else {
			n.state.AdvanceIndex(e.Index)
		}
		n.applied, n.appliedTerm = e.Index, e.Term
		n.answerBatch(e.Index, e.Term, results)
	}
	for _, r := range rd.Reads {
		if waiting, ok := n.pendingReads[r.Seq]; ok {
			delete(n.pendingReads, r.Seq)
			n.confirmedReads = append(n.confirmedReads, confirmedRead{index: r.Index, renews: waiting})
		}
	}
	return nil
}

// snapshotDue reports whether to take a snapshot. One is due after MinSnapshotEntries entries
// if the log since the last snapshot is at least as large as that snapshot, which keeps the
// cost of snapshots in proportion to the log. In any case one is due after maxSnapshotFactor
// times as many entries or MaxLogBytes.
func (n *Node) snapshotDue() bool {
	entries := n.applied - n.snapshotIndex
	switch {
	case entries == 0:
		return false
	case n.logBytes >= n.opts.MaxLogBytes || entries >= maxSnapshotFactor*n.opts.MinSnapshotEntries:
		return true
	}
	return entries >= n.opts.MinSnapshotEntries && n.logBytes >= n.snapshotBytes
}

// compact takes a snapshot when one is due and drops the log entries that it covers.
func (n *Node) compact() error {
	if !n.snapshotDue() {
		return nil
	}
	data, err := n.state.Snapshot()
	if err != nil {
		return err
	}
	s, err := n.raft.NewSnapshot(n.applied, data)
	if err != nil {
		return err
	}
	if err := n.opts.Storage.SaveSnapshot(s); err != nil {
		return storageFault(err)
	}
	if err := n.raft.Compact(s); err != nil {
		return err
	}
	if err := n.opts.Storage.TruncateFront(s.Index); err != nil {
		return storageFault(err)
	}
	n.snapshotIndex, n.snapshotBytes, n.logBytes = s.Index, len(s.Data), 0
	return nil
}

// refreshRaftStatus copies the role, term, leader and members from raft and handles a gain
// or loss of leadership.
func (n *Node) refreshRaftStatus() {
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
		n.opts.Log.WithField("term", n.term).Info("leads the control group")
	}
}

// stepDown aborts everything that needs leadership. Proposals that were appended may
// still be committed by the next leader, so their outcome is unknown.
func (n *Node) stepDown() {
	for index, p := range n.pending {
		delete(n.pending, index)
		n.openProposals -= len(p.proposers)
		for _, c := range p.proposers {
			n.answerUnknown(c)
		}
	}
	for _, p := range n.queue {
		n.refuseProposal(p.proposer)
	}
	n.queue, n.openProposals = nil, 0
	for _, r := range n.pendingRenews {
		n.redirectRenew(r.from, r.msg.Seq)
	}
	for _, waiting := range n.pendingReads {
		for _, r := range waiting {
			n.redirectRenew(r.from, r.msg.Seq)
		}
	}
	for _, read := range n.confirmedReads {
		for _, r := range read.renews {
			n.redirectRenew(r.from, r.msg.Seq)
		}
	}
	n.pendingRenews, n.confirmedReads = nil, nil
	clear(n.pendingReads)
	n.lead.orders.stop()
	n.endReplace(n.notLeader())
	n.resetLeadership()
}

func (n *Node) notLeader() error {
	return fault.New(fault.NotLeader, fault.NotRun, "the leader of the control group is %q", n.leader)
}
