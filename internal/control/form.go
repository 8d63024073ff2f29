package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/raft"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wire"
)

// formJob is the formation of a control group that this node coordinates. All hosts first
// promise to take part, then all get the same membership. A promise binds a blank replica
// to the hosts of one request, so that two requests with different, overlapping hosts
// cannot both form a group.
type formJob struct {
	requestID string
	hosts     []string
	members   []wire.FormMember
	promises  map[string]wire.FormAck
	committed map[string]bool
	seq       uint64
	sentAt    time.Duration
	waiters   []chan error
}

// Form creates the control group from blank replicas on the given hosts, which must include
// this one. It is idempotent by request id. It returns AlreadyFormed when a host belongs to
// another group, MembershipConflict when a host takes part in another formation, and
// Timeout when a host did not answer before ctx ended; the same request may then be
// repeated.
func (n *Node) Form(ctx context.Context, requestID string, hosts []string) error {
	hosts = slices.Sorted(slices.Values(hosts))
	if requestID == "" || len(hosts) == 0 || len(hosts) > 7 || len(slices.Compact(slices.Clone(hosts))) != len(hosts) {
		return fault.New(fault.BadRequest, fault.NotRun, "a formation needs a request id and 1 to 7 different hosts")
	}
	if !slices.Contains(hosts, n.opts.Host) {
		return fault.New(fault.BadRequest, fault.NotRun, "host %q is not among the hosts of the formation", n.opts.Host)
	}
	return n.runAndWait(ctx, func(done chan error) { n.startForm(requestID, hosts, done) })
}

// runAndWait runs a function on the goroutine of Run and waits for the error it reports.
func (n *Node) runAndWait(ctx context.Context, f func(done chan error)) error {
	done := make(chan error, 1)
	if !n.post(event{run: func() { f(done) }}) {
		return fault.New(fault.QueueFull, fault.NotRun, "the control host is overloaded")
	}
	select {
	case err := <-done:
		return err
	case <-n.stopped:
		return fault.Wrap(n.failure, fault.CodeOf(n.failure), fault.MayHaveRun, "the control role has ended")
	case <-ctx.Done():
		return fault.New(fault.Timeout, fault.MayHaveRun, "not all control hosts answered in time")
	}
}

func (n *Node) startForm(requestID string, hosts []string, done chan error) {
	if n.formation != nil && (n.formation.requestID != requestID || !slices.Equal(n.formation.hosts, hosts)) {
		n.endForm(fault.New(fault.Timeout, fault.MayHaveRun, "replaced by another formation"))
	}
	if n.formation == nil {
		n.formation = &formJob{requestID: requestID, hosts: hosts, promises: map[string]wire.FormAck{}, committed: map[string]bool{}}
	}
	n.formation.waiters = append(n.formation.waiters, done)
	n.sendForm()
}

// formed reports whether this replica belongs to a group.
func (n *Node) formed() bool { return n.raft != nil && len(n.members) > 0 }

func (n *Node) sendForm() {
	j := n.formation
	j.sentAt = n.now
	j.seq++
	for _, host := range j.hosts {
		m := wire.Form{Seq: j.seq, Op: wire.FormPromise, RequestID: j.requestID, Hosts: j.hosts}
		if j.members != nil {
			m.Op, m.Members = wire.FormCommit, j.members
		}
		if _, promised := j.promises[host]; m.Op == wire.FormPromise && promised || j.committed[host] {
			continue
		}
		n.send(host, wire.KindForm, m)
	}
}

func (n *Node) tickForm() {
	if n.formation != nil && n.now-n.formation.sentAt >= formResendInterval {
		n.sendForm()
	}
}

func (n *Node) endForm(err error) {
	if n.formation == nil {
		return
	}
	for _, waiter := range n.formation.waiters {
		waiter <- err
	}
	n.formation = nil
}

func (n *Node) onForm(e event) {
	var m wire.Form
	if !n.decode(e, &m) {
		return
	}
	if m.Op == wire.FormJoin {
		n.onJoin(e.from, m)
		return
	}
	ack := wire.FormAck{Seq: m.Seq, Replica: uint64(n.opts.Storage.ReplicaID())}
	var err error
	switch m.Op {
	case wire.FormPromise:
		err = n.promiseForm(m)
	case wire.FormCommit:
		err = n.commitForm(m)
	}
	if err != nil {
		ack.Code, ack.Message = fault.CodeOf(err), fault.As(err).Message()
	}
	if ack.Formed = n.formed(); ack.Formed {
		ack.RequestID = n.state.FormedBy()
		ack.Members = formMembers(n.members)
	}
	n.send(e.from, wire.KindFormAck, ack)
}

func formMembers(members []raft.Member) []wire.FormMember {
	var out []wire.FormMember
	for _, m := range members {
		if !m.Learner {
			out = append(out, wire.FormMember{ID: uint64(m.ID), Host: m.Host})
		}
	}
	slices.SortFunc(out, func(a, b wire.FormMember) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

func (n *Node) checkFormedBy(requestID string) error {
	if n.formed() && n.state.FormedBy() != requestID {
		return fault.New(fault.AlreadyFormed, fault.NotRun, "host %q belongs to a group already", n.opts.Host)
	}
	return nil
}

func (n *Node) promiseForm(m wire.Form) error {
	if err := n.checkFormedBy(m.RequestID); err != nil || n.formed() {
		return err
	}
	if n.raft != nil && (n.promise == nil || n.promise.RequestID != m.RequestID) {
		return fault.New(fault.AlreadyFormed, fault.NotRun, "host %q is joining a group", n.opts.Host)
	}
	// Another request for the same hosts forms the same group, so it may take over.
	if p := n.promise; p != nil && !slices.Equal(p.Hosts, m.Hosts) {
		return fault.New(fault.MembershipConflict, fault.NotRun, "host %q takes part in another formation", n.opts.Host)
	}
	n.promise = &m
	return nil
}

func (n *Node) commitForm(m wire.Form) error {
	if err := n.checkFormedBy(m.RequestID); err != nil || n.formed() {
		return err
	}
	if p := n.promise; p == nil || p.RequestID != m.RequestID || !slices.Equal(p.Hosts, m.Hosts) {
		return fault.New(fault.MembershipConflict, fault.NotRun, "host %q has not promised this formation", n.opts.Host)
	}
	if n.raft != nil {
		// The other replicas have already formed the group and send their log. Starting
		// again from the initial snapshot would drop entries that this replica acknowledged.
		return nil
	}
	if !slices.Contains(m.Members, wire.FormMember{ID: uint64(n.opts.Storage.ReplicaID()), Host: n.opts.Host}) {
		return fault.New(fault.MembershipConflict, fault.NotRun, "the membership lacks the replica of host %q", n.opts.Host)
	}
	var members []raft.Member
	for _, f := range m.Members {
		members = append(members, raft.Member{ID: raft.ReplicaID(f.ID), Host: f.Host})
	}
	s := raft.Bootstrap(members)
	initial := state.New(m.RequestID)
	initial.AdvanceIndex(s.Index)
	var err error
	if s.Data, err = initial.Snapshot(); err != nil {
		return err
	}
	if err := n.opts.Storage.SaveSnapshot(s); err != nil {
		return storageFault(err)
	}
	return n.startRaft(raft.Restored{Snapshot: s})
}

func (n *Node) onFormAck(e event) {
	var m wire.FormAck
	if !n.decode(e, &m) {
		return
	}
	if n.replacement != nil && e.from == n.replacement.newHost {
		n.onReplacementIdentified(m)
	}
	j := n.formation
	if j == nil || !slices.Contains(j.hosts, e.from) {
		return
	}
	if m.Code != "" {
		n.endForm(fault.New(m.Code, fault.NotRun, "%s", m.Message))
		return
	}
	if j.members != nil {
		if m.Formed {
			j.committed[e.from] = true
		}
		if len(j.committed) == len(j.hosts) {
			n.endForm(nil)
		}
		return
	}
	j.promises[e.from] = m
	if len(j.promises) < len(j.hosts) {
		return
	}
	for host, ack := range j.promises {
		j.members = append(j.members, wire.FormMember{ID: ack.Replica, Host: host})
	}
	slices.SortFunc(j.members, func(a, b wire.FormMember) int { return cmp.Compare(a.Host, b.Host) })
	for host, ack := range j.promises {
		if ack.Formed && !slices.Equal(ack.Members, j.members) {
			n.endForm(fault.New(fault.MembershipConflict, fault.NotRun,
				"host %q belongs to the group with other replicas; a lost disk needs a replacement", host))
			return
		}
	}
	n.sendForm()
}
