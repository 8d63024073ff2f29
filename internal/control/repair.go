package control

import (
	"slices"
	"time"

	"marigoldshunt/internal/raft"
	"marigoldshunt/internal/wire"
)

// Times of the automatic repair of the control group.
const (
	// joinInterval is the interval at which a replica outside the group asks to join.
	joinInterval = 300 * time.Millisecond
	// joinMaxAge is how long a join request stays valid: a few intervals.
	joinMaxAge = 4 * joinInterval
	// unreachableAfter is the time without messages after which a voter counts as
	// unreachable and is replaced once a learner holds the log. It exceeds an election
	// timeout; a voter removed by mistake asks to join again.
	unreachableAfter = 2500 * time.Millisecond
	// dropLearnerAfter is the time without messages after which a learner is removed.
	dropLearnerAfter = 6 * time.Second
)

// maxVoters is the maximum number of voters: at the target scale up to 8 hosts are set
// aside for control, and one more votes while a voter is replaced.
const maxVoters = 9

// joinRequest is a replica that asks to be a member.
type joinRequest struct {
	replica    raft.ReplicaID
	receivedAt time.Duration
}

// tickJoin asks the presumed leader for membership while this replica is not a member: it
// is blank, or the group has removed it.
func (n *Node) tickJoin() {
	if n.opts.GroupView == nil || n.now-n.joinSentAt < joinInterval || n.promise != nil && !n.formed() {
		return
	}
	leader, known, listed := n.opts.GroupView()
	if leader == "" || n.role == raft.Leader || n.formed() && (!known || listed) {
		return
	}
	n.joinSentAt = n.now
	n.send(leader, wire.KindForm, wire.Form{Op: wire.FormJoin, Replica: uint64(n.opts.Storage.ReplicaID())})
}

// announceInterval is the time between two announcements to seeds that send no Renew.
const announceInterval = 500 * time.Millisecond

// announceLeader sends the leader's name to each seed whose Renew it has not answered
// within LeaseDuration. After a restart of all hosts with changed seeds, no other host
// could tell them.
func (n *Node) announceLeader() {
	if n.opts.Seeds == nil || n.now-n.lead.announcedAt < announceInterval {
		return
	}
	n.lead.announcedAt = n.now
	for _, host := range n.opts.Seeds() {
		if answered := n.lead.answeredHosts[host]; host != n.opts.Host && (answered == nil || n.now-answered.answeredAt > LeaseDuration) {
			n.send(host, wire.KindLeaderAnnouncement, wire.LeaderAnnouncement{Host: n.opts.Host})
		}
	}
}

// onJoin records a join request on the leader.
func (n *Node) onJoin(from string, m wire.Form) {
	if !n.isActiveLeader() || m.Replica == 0 || len(n.lead.joinRequests) >= maxVoters {
		return
	}
	n.lead.joinRequests[from] = joinRequest{replica: raft.ReplicaID(m.Replica), receivedAt: n.now}
}

// heardReplica records on the leader that a message of another replica arrived.
func (n *Node) heardReplica(id raft.ReplicaID) {
	if n.role == raft.Leader {
		n.lead.lastHeard[id] = n.now
	}
}

// silence returns how long the leader has received no message of a replica.
func (n *Node) silence(id raft.ReplicaID) time.Duration {
	if id == n.opts.Storage.ReplicaID() {
		return 0
	}
	return n.now - max(n.lead.lastHeard[id], n.lead.since)
}

// tickRepair takes the next step towards a group of all reachable control hosts. When
// ProposeMembers fails, for example because the previous membership is not committed yet,
// the step is retried at a later tick.
func (n *Node) tickRepair() {
	if n.replacement != nil {
		return
	}
	for host, j := range n.lead.joinRequests {
		if n.now-j.receivedAt > joinMaxAge {
			delete(n.lead.joinRequests, host)
		}
	}
	s := n.raft.Status()
	next, why := n.repairedMembers(s)
	if next == nil {
		return
	}
	if _, _, err := n.raft.ProposeMembers(next); err != nil {
		return
	}
	n.opts.Log.WithField("members", len(next)).WithField("reason", why).Info("Proposed new members of the control group.")
	n.refreshRaftStatus()
}

// repairedMembers returns the membership after the next step, or nil.
//
// A replica whose host reports another replica id has lost its disk and is removed first,
// which leaves the majority no larger than before. A caught-up learner replaces an
// unreachable voter, if there is one. Without such a learner, an unreachable voter is
// removed only if the number of voters is even and at least four: with one voter less the
// group tolerates as many losses, so a mere partition does not weaken it.
func (n *Node) repairedMembers(s raft.Status) (next []raft.Member, why string) {
	voters := 0
	for _, m := range s.Members {
		if !m.Learner {
			voters++
		}
	}
	for i, m := range s.Members {
		j, asks := n.lead.joinRequests[m.Host]
		if asks && j.replica != m.ID && (m.Learner || voters > 1) {
			return slices.Delete(slices.Clone(s.Members), i, i+1), "the host has lost its disk"
		}
		if m.Learner && n.silence(m.ID) > dropLearnerAfter {
			return slices.Delete(slices.Clone(s.Members), i, i+1), "the learner is unreachable"
		}
	}
	for i, m := range s.Members {
		if !m.Learner || s.Match[m.ID] < s.Commit || n.silence(m.ID) > joinMaxAge {
			continue
		}
		if lost := n.unreachableVoter(s.Members); lost >= 0 && voters > 2 {
			return slices.Delete(slices.Clone(s.Members), lost, lost+1), "a caught-up learner replaces an unreachable voter"
		}
		if voters < maxVoters {
			next = slices.Clone(s.Members)
			next[i].Learner = false
			return next, "the learner holds the log"
		}
	}
	if lost := n.unreachableVoter(s.Members); lost >= 0 && voters >= 4 && voters%2 == 0 {
		return slices.Delete(slices.Clone(s.Members), lost, lost+1), "a voter of an even-sized group is unreachable"
	}
	for host, j := range n.lead.joinRequests {
		if !slices.ContainsFunc(s.Members, func(m raft.Member) bool { return m.ID == j.replica || m.Host == host }) {
			return append(slices.Clone(s.Members), raft.Member{ID: j.replica, Host: host, Learner: true}), "a replica joins"
		}
	}
	return nil, ""
}

// unreachableVoter returns the index of the voter that was silent for longest, at least
// unreachableAfter, or -1.
func (n *Node) unreachableVoter(members []raft.Member) int {
	index, longest := -1, unreachableAfter
	for i, m := range members {
		if d := n.silence(m.ID); !m.Learner && d >= longest {
			index, longest = i, d
		}
	}
	return index
}
