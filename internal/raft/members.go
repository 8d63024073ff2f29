package raft

import (
	"slices"

	"marigoldshunt/internal/fault"
)

// membership is the list of members that is in effect from index on.
type membership struct {
	index   uint64
	members []Member
}

func findMember(ms []Member, id ReplicaID) *Member {
	for i := range ms {
		if ms[i].ID == id {
			return &ms[i]
		}
	}
	return nil
}

func isVoter(ms []Member, id ReplicaID) bool {
	m := findMember(ms, id)
	return m != nil && !m.Learner
}

// members returns the membership in effect: the last one in the log, committed or not.
func (n *Node) members() []Member { return n.memberships[len(n.memberships)-1].members }

func (n *Node) membersAt(index uint64) []Member {
	for i := len(n.memberships) - 1; i > 0; i-- {
		if n.memberships[i].index <= index {
			return n.memberships[i].members
		}
	}
	return n.memberships[0].members
}

// rebuildMemberships rebuilds the list from the snapshot and the log.
func (n *Node) rebuildMemberships() {
	n.memberships = []membership{{n.log.snap.Index, n.log.snap.Members}}
	n.updateMemberships(n.log.entries)
}

// updateMemberships puts the memberships in es, the new end of the log, into effect. They
// replace those of dropped entries.
func (n *Node) updateMemberships(es []Entry) {
	for len(es) > 0 && len(n.memberships) > 1 && n.memberships[len(n.memberships)-1].index >= es[0].Index {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
	for _, e := range es {
		if e.Kind == EntryMembers {
			n.memberships = append(n.memberships, membership{e.Index, e.Members})
		}
	}
}

// quorumValue returns the highest value that a majority of the voters has reached.
func (n *Node) quorumValue(value func(ReplicaID) uint64) uint64 {
	n.quorumScratch = n.quorumScratch[:0]
	for _, m := range n.members() {
		if !m.Learner {
			n.quorumScratch = append(n.quorumScratch, value(m.ID))
		}
	}
	if len(n.quorumScratch) == 0 {
		return 0
	}
	slices.Sort(n.quorumScratch)
	return n.quorumScratch[(len(n.quorumScratch)-1)/2]
}

// ProposeMembers appends a membership on the leader; it takes effect at once. It returns
// NotLeader on other replicas. It returns MembershipConflict while the previous
// membership or the leader's first entry is not committed, if the voters differ by more
// than one, if a new voter is not a recently active learner that holds all committed
// entries, and for an invalid membership.
//
// An entry of the current term must be committed first, because a membership appended
// before may coexist with one of another leader, and their majorities may not overlap.
func (n *Node) ProposeMembers(next []Member) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, n.notLeader()
	}
	if err := n.checkMembers(next); err != nil {
		return 0, 0, err
	}
	e := n.appendEntry(Entry{Kind: EntryMembers, Members: slices.Clone(next)})
	n.updatePeers()
	n.advanceCommit()
	return e.Index, e.Term, nil
}

func membershipConflict(format string, args ...any) error {
	return fault.New(fault.MembershipConflict, fault.NotRun, format, args...)
}

func (n *Node) checkMembers(next []Member) error {
	if !n.committedInCurrentTerm() {
		return membershipConflict("the leader has not committed an entry of term %d yet", n.term)
	}
	if membershipIndex := n.memberships[len(n.memberships)-1].index; membershipIndex > n.log.commit {
		return membershipConflict("the membership at index %d is not committed yet", membershipIndex)
	}
	voters, changed := 0, 0
	for i, m := range next {
		if m.ID == 0 || findMember(next[:i], m.ID) != nil {
			return membershipConflict("replica %d is zero or listed twice", m.ID)
		}
		if m.Learner {
			continue
		}
		voters++
		if isVoter(n.members(), m.ID) {
			continue
		}
		changed++
		if p := n.peers[m.ID]; p == nil || p.match < n.log.commit || !n.recentlyActive(p) {
			return membershipConflict("replica %d is not a learner that has caught up", m.ID)
		}
	}
	for _, m := range n.members() {
		if !m.Learner && !isVoter(next, m.ID) {
			changed++
		}
	}
	if voters == 0 || changed > 1 {
		return membershipConflict("%d voters, %d of them changed; at most one may change at a time", voters, changed)
	}
	return nil
}
