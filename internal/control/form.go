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

// formJob is a formation that this node coordinates. All hosts first promise, then all
// get the same membership. A promise binds a blank replica to one request, so that two
// requests with overlapping hosts cannot both form a group.
type formJob struct {
	request string
	hosts   []string
	members []wire.FormMember
	acks    map[string]wire.FormAck
	done    map[string]bool
	seq     uint64
	sent    time.Duration
	waiters []chan error
}

// Form creates the group from blank replicas on the given hosts, this one included. It
// is idempotent by request id. It returns AlreadyFormed when a host belongs to another
// group, MembershipConflict when a host takes part in another formation, and Timeout
// when a host did not answer before ctx ended; the same request may then be repeated.
func (n *Node) Form(ctx context.Context, requestID string, hosts []string) error {
	hosts = slices.Sorted(slices.Values(hosts))
	if requestID == "" || len(hosts) == 0 || len(hosts) > 7 || len(slices.Compact(slices.Clone(hosts))) != len(hosts) {
		return fault.New(fault.BadRequest, fault.NotRun, "a formation needs a request id and 1 to 7 different hosts")
	}
	if !slices.Contains(hosts, n.o.Host) {
		return fault.New(fault.BadRequest, fault.NotRun, "host %q is not among the hosts of the formation", n.o.Host)
	}
	return n.call(ctx, func(done chan error) { n.startForm(requestID, hosts, done) })
}

// call runs a function on the node's goroutine and waits for the error it reports.
func (n *Node) call(ctx context.Context, f func(done chan error)) error {
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
	if n.form != nil && (n.form.request != requestID || !slices.Equal(n.form.hosts, hosts)) {
		n.endForm(fault.New(fault.Timeout, fault.MayHaveRun, "replaced by another formation"))
	}
	if n.form == nil {
		n.form = &formJob{request: requestID, hosts: hosts, acks: map[string]wire.FormAck{}, done: map[string]bool{}}
	}
	n.form.waiters = append(n.form.waiters, done)
	n.sendForm()
}

// formed reports whether this replica belongs to a group.
func (n *Node) formed() bool { return n.raft != nil && len(n.members) > 0 }

func (n *Node) sendForm() {
	j := n.form
	j.sent = n.now
	j.seq++
	for _, host := range j.hosts {
		m := wire.Form{Seq: j.seq, Op: wire.FormPromise, RequestID: j.request, Hosts: j.hosts}
		if j.members != nil {
			m.Op, m.Members = wire.FormCommit, j.members
		}
		if _, promised := j.acks[host]; m.Op == wire.FormPromise && promised || j.done[host] {
			continue
		}
		n.send(host, wire.KindForm, m)
	}
}

func (n *Node) tickForm() {
	if n.form != nil && n.now-n.form.sent >= formResend {
		n.sendForm()
	}
}

func (n *Node) endForm(err error) {
	if n.form == nil {
		return
	}
	for _, w := range n.form.waiters {
		w <- err
	}
	n.form = nil
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
	ack := wire.FormAck{Seq: m.Seq, Replica: uint64(n.o.Storage.ReplicaID())}
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
		ack.RequestID = n.st.FormedBy()
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

func (n *Node) checkFormed(requestID string) error {
	if n.formed() && n.st.FormedBy() != requestID {
		return fault.New(fault.AlreadyFormed, fault.NotRun, "host %q belongs to a group already", n.o.Host)
	}
	return nil
}

func (n *Node) promiseForm(m wire.Form) error {
	if err := n.checkFormed(m.RequestID); err != nil || n.formed() {
		return err
	}
	if n.raft != nil && (n.promise == nil || n.promise.RequestID != m.RequestID) {
		return fault.New(fault.AlreadyFormed, fault.NotRun, "host %q is joining a group", n.o.Host)
	}
	// Another request for the same hosts forms the same group, so it may take over.
	if p := n.promise; p != nil && p.RequestID != m.RequestID && !slices.Equal(p.Hosts, m.Hosts) {
		return fault.New(fault.MembershipConflict, fault.NotRun, "host %q takes part in another formation", n.o.Host)
	}
	n.promise = &m
	return nil
}

func (n *Node) commitForm(m wire.Form) error {
	if err := n.checkFormed(m.RequestID); err != nil || n.formed() {
		return err
	}
	if p := n.promise; p == nil || p.RequestID != m.RequestID {
		return fault.New(fault.MembershipConflict, fault.NotRun, "host %q has not promised this formation", n.o.Host)
	}
	if n.raft != nil {
		// The other replicas have formed the group and send their log already. A second
		// start from the first snapshot would drop entries that this replica acknowledged.
		return nil
	}
	if !slices.Contains(m.Members, wire.FormMember{ID: uint64(n.o.Storage.ReplicaID()), Host: n.o.Host}) {
		return fault.New(fault.MembershipConflict, fault.NotRun, "the membership lacks the replica of host %q", n.o.Host)
	}
	var members []raft.Member
	for _, f := range m.Members {
		members = append(members, raft.Member{ID: raft.ReplicaID(f.ID), Host: f.Host})
	}
	s := raft.Bootstrap(members)
	initial := state.New(m.RequestID)
	initial.Skip(s.Index)
	var err error
	if s.Data, err = initial.Snapshot(); err != nil {
		return err
	}
	if err := n.o.Storage.SaveSnapshot(s); err != nil {
		return storageFault(err)
	}
	return n.open(raft.Restored{Snapshot: s})
}

func (n *Node) onFormAck(e event) {
	var m wire.FormAck
	if !n.decode(e, &m) {
		return
	}
	if n.replace != nil && e.from == n.replace.newHost {
		n.identified(m)
	}
	j := n.form
	if j == nil || !slices.Contains(j.hosts, e.from) {
		return
	}
	if m.Code != "" {
		n.endForm(fault.New(m.Code, fault.NotRun, "%s", m.Message))
		return
	}
	if j.members != nil {
		if m.Formed {
			j.done[e.from] = true
		}
		if len(j.done) == len(j.hosts) {
			n.endForm(nil)
		}
		return
	}
	j.acks[e.from] = m
	if len(j.acks) < len(j.hosts) {
		return
	}
	for host, ack := range j.acks {
		j.members = append(j.members, wire.FormMember{ID: ack.Replica, Host: host})
	}
	slices.SortFunc(j.members, func(a, b wire.FormMember) int { return cmp.Compare(a.Host, b.Host) })
	for host, ack := range j.acks {
		if ack.Formed && !slices.Equal(ack.Members, j.members) {
			n.endForm(fault.New(fault.MembershipConflict, fault.NotRun,
				"host %q belongs to the group with other replicas; a lost disk needs a replacement", host))
			return
		}
	}
	n.sendForm()
}
