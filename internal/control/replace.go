package control

import (
	"context"
	"slices"
	"time"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/raft"
	"marigoldshunt/internal/wire"
)

// replaceJob is the replacement of the replica of a lost host. Its progress is read from
// the membership, so that a repeated request continues where an earlier leader stopped.
type replaceJob struct {
	requestID        string
	oldHost, newHost string
	replica          raft.ReplicaID
	sentAt           time.Duration
	lastIndex        uint64
	waiters          []chan error
}

// onReplacementIdentified records the replica id of the new host. A replica of another
// group must not join, because its log has nothing in common with this one.
func (n *Node) onReplacementIdentified(m wire.FormAck) {
	id := raft.ReplicaID(m.Replica)
	member := slices.ContainsFunc(n.members, func(o raft.Member) bool { return o.ID == id })
	if m.Formed && !member {
		n.endReplace(fault.New(fault.AlreadyFormed, fault.NotRun, "host %q belongs to another group", n.replacement.newHost))
		return
	}
	n.replacement.replica = id
}

// ReplaceReplica replaces the replica on oldHost by the blank replica on newHost; the two
// may be the same host with a new disk. The new replica joins as a learner, becomes a voter
// when it holds the log, and then the old one is removed. It returns NotLeader on other
// hosts than the leader. After a Timeout the request may be repeated.
func (n *Node) ReplaceReplica(ctx context.Context, requestID, oldHost, newHost string) error {
	return n.runAndWait(ctx, func(done chan error) { n.startReplace(requestID, oldHost, newHost, done) })
}

func (n *Node) startReplace(requestID, oldHost, newHost string, done chan error) {
	if !n.isActiveLeader() {
		done <- n.notLeader()
		return
	}
	if j := n.replacement; j != nil && (j.oldHost != oldHost || j.newHost != newHost) {
		done <- fault.New(fault.MembershipConflict, fault.NotRun, "host %q is being replaced", j.oldHost)
		return
	}
	if oldHost == n.opts.Host || newHost == n.opts.Host {
		done <- fault.New(fault.MembershipConflict, fault.NotRun, "host %q leads the group and is not lost", n.opts.Host)
		return
	}
	holds := func(host string) bool {
		return slices.ContainsFunc(n.members, func(m raft.Member) bool { return m.Host == host })
	}
	// When only the new host is a member, an earlier attempt has removed the old one.
	if !holds(oldHost) && !holds(newHost) {
		done <- fault.New(fault.NotFound, fault.NotRun, "host %q is not a member of the group", oldHost)
		return
	}
	if n.replacement == nil {
		n.replacement = &replaceJob{requestID: requestID, oldHost: oldHost, newHost: newHost, sentAt: -formResendInterval}
	}
	n.replacement.waiters = append(n.replacement.waiters, done)
	n.tickReplace()
}

func (n *Node) endReplace(err error) {
	if n.replacement == nil {
		return
	}
	for _, waiter := range n.replacement.waiters {
		waiter <- err
	}
	n.replacement = nil
}

// tickReplace takes the next step. When ProposeMembers fails, for example because the
// previous membership is not committed yet, the step is retried at a later tick.
func (n *Node) tickReplace() {
	j := n.replacement
	if j == nil {
		return
	}
	if j.replica == 0 {
		if n.now-j.sentAt >= formResendInterval {
			j.sentAt = n.now
			n.send(j.newHost, wire.KindForm, wire.Form{Op: wire.FormIdentify, RequestID: j.requestID})
		}
		return
	}
	s := n.raft.Status()
	newIndex := slices.IndexFunc(s.Members, func(m raft.Member) bool { return m.ID == j.replica })
	oldIndex := slices.IndexFunc(s.Members, func(m raft.Member) bool { return m.Host == j.oldHost && m.ID != j.replica })
	next := slices.Clone(s.Members)
	switch {
	case newIndex < 0:
		next = append(next, raft.Member{ID: j.replica, Host: j.newHost, Learner: true})
	case s.Members[newIndex].Learner:
		if s.Commit < j.lastIndex || s.Match[j.replica] < s.Commit {
			return
		}
		next[newIndex].Learner = false
	case oldIndex >= 0:
		next = slices.Delete(next, oldIndex, oldIndex+1)
	default:
		if s.Commit >= j.lastIndex {
			n.endReplace(nil)
		}
		return
	}
	if index, _, err := n.raft.ProposeMembers(next); err == nil {
		j.lastIndex = index
		n.refreshRaftStatus()
	}
}
