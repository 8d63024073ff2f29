package control

import (
	"slices"
	"time"

	"marigoldshunt/internal/raft"
	"marigoldshunt/internal/wire"
)

// Times of the repair of the control group.
const (
	// joinInterval is the interval at which a replica outside the group asks to join.
	joinInterval = 300 * time.Millisecond
	// joinMaxAge is how long a request to join counts: a few intervals.
	joinMaxAge = 4 * joinInterval
	// unreachableAfter is the silence after which a voter is replaced once a successor
	// holds the log. It exceeds an election timeout; a voter removed by mistake asks to
	// join again.
	unreachableAfter = 2500 * time.Millisecond
	// dropLearnerAfter is the silence after which a learner is removed.
	dropLearnerAfter = 6 * time.Second
)

// maxVoters bounds the control group: at most 8 hosts are set aside for control at the
// target scale, and one more while a voter is replaced.
const maxVoters = 9

// joinRequest is a replica that asks to be a member.
type joinRequest struct {
	replica raft.ReplicaID
	at      time.Duration
}

// tickJoin asks the presumed leader for membership while this replica has none: it is
// blank, or the group has removed it.
func (n *Node) tickJoin() {
	if n.o.Membership == nil || n.now-n.joinSent < joinInterval || n.promise != nil && !n.formed() {
		return
	}
	leader, known, listed := n.o.Membership()
	if leader == "" || n.role == raft.Leader || n.formed() && (!known || listed) {
		return
	}
	n.joinSent = n.now
	n.send(leader, wire.KindForm, wire.Form{Op: wire.FormJoin, Replica: uint64(n.o.Storage.ReplicaID())})
}

// announceInterval is the time between two announcements to seeds that are not heard.
const announceInterval = 500 * time.Millisecond

// announce tells the seeds that have not sent a Renew lately who leads. After a restart of
// the whole fleet with changed seeds nobody else could tell them.
func (n *Node) announce() {
	if n.o.Seeds == nil || n.now-n.lead.announced < announceInterval {
		return
	}
	n.lead.announced = n.now
	for _, host := range n.o.Seeds() {
		if k := n.lead.known[host]; host != n.o.Host && (k == nil || n.now-k.heard > LeaseDuration) {
			n.send(host, wire.KindLeader, wire.Leader{Host: n.o.Host})
		}
	}
}

// onJoin notes a request to join on the leader.
func (n *Node) onJoin(from string, m wire.Form) {
	if !n.leading() || m.Replica == 0 || len(n.lead.joining) >= maxVoters {
		return
	}
	n.lead.joining[from] = joinRequest{replica: raft.ReplicaID(m.Replica), at: n.now}
}

// heardReplica notes that a message of another replica arrived.
func (n *Node) heardReplica(id raft.ReplicaID) {
	if n.role == raft.Leader {
		n.lead.heard[id] = n.now
	}
}

// silence is how long the leader has heard nothing of a replica.
func (n *Node) silence(id raft.ReplicaID) time.Duration {
	if id == n.o.Storage.ReplicaID() {
		return 0
	}
	return n.now - max(n.lead.heard[id], n.lead.since)
}

// tickRepair takes the next step towards a group of all reachable control hosts. An
// error of ProposeMembers means that the previous membership is not committed yet, so
// the step is taken again with a later tick.
func (n *Node) tickRepair() {
	if n.replace != nil {
		return
	}
	for host, j := range n.lead.joining {
		if n.now-j.at > joinMaxAge {
			delete(n.lead.joining, host)
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
	n.o.Log.WithField("members", len(next)).WithField("reason", why).Info("control group changes its members")
	n.observe()
}

// repairedMembers returns the membership after the next step, or nil.
//
// A replica whose host reports another identity has lost its disk and is removed first,
// which leaves the majority no larger than before. A caught-up learner takes the place of
// an unreachable voter, if there is one. Without a learner an unreachable voter leaves
// only a group of an even number of at least four, which bears no fewer losses without
// it; so a mere cut does not weaken the group.
func (n *Node) repairedMembers(s raft.Status) (next []raft.Member, why string) {
	voters := 0
	for _, m := range s.Members {
		if !m.Learner {
			voters++
		}
	}
	for i, m := range s.Members {
		j, asks := n.lead.joining[m.Host]
		if asks && j.replica != m.ID && (m.Learner || voters > 1) {
			return slices.Delete(slices.Clone(s.Members), i, i+1), "the host has lost its disk"
		}
		if m.Learner && n.silence(m.ID) > dropLearnerAfter {
			return slices.Delete(slices.Clone(s.Members), i, i+1), "the learner is silent"
		}
	}
	for i, m := range s.Members {
		if !m.Learner || s.Match[m.ID] < s.Commit || n.silence(m.ID) > joinMaxAge {
			continue
		}
		if lost := n.unreachableVoter(s.Members); lost >= 0 && voters > 2 {
			return slices.Delete(slices.Clone(s.Members), lost, lost+1), "a successor of an unreachable voter holds the log"
		}
		if voters < maxVoters {
			next = slices.Clone(s.Members)
			next[i].Learner = false
			return next, "the learner holds the log"
		}
	}
	if lost := n.unreachableVoter(s.Members); lost >= 0 && voters >= 4 && voters%2 == 0 {
		return slices.Delete(slices.Clone(s.Members), lost, lost+1), "a voter of a group of even size is unreachable"
	}
	for host, j := range n.lead.joining {
		if !slices.ContainsFunc(s.Members, func(m raft.Member) bool { return m.ID == j.replica || m.Host == host }) {
			return append(slices.Clone(s.Members), raft.Member{ID: j.replica, Host: host, Learner: true}), "a replica joins"
		}
	}
	return nil, ""
}

// unreachableVoter returns the index of the voter that was silent for longest, at least
// unreachableAfter, or -1.
func (n *Node) unreachableVoter(members []raft.Member) int {
	at, longest := -1, unreachableAfter
	for i, m := range members {
		if d := n.silence(m.ID); !m.Learner && d >= longest {
			at, longest = i, d
		}
	}
	return at
}
