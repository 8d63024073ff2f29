package raft

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
)

func newClusterWithLeader(t *testing.T, voters int) (*cluster, *replica) {
	c := newCluster(t, 1, voters)
	c.runUntil("a leader", func() bool { return c.leader() != nil && c.leader().node.committedInCurrentTerm() })
	return c, c.leader()
}

func newNode(r Restored) (*Node, error) {
	return New(Config{ID: 1, HeartbeatTicks: 1, ElectionTicks: 3, Rand: rand.New(rand.NewSource(1))}, r)
}

func (c *cluster) others(r *replica) (out []*replica) {
	return slices.DeleteFunc(slices.Clone(c.replicas), func(o *replica) bool { return o == r })
}

// An entry or a vote must not count before the caller has saved it.
func TestEntryCountsOnlyAfterSave(t *testing.T) {
	c := qt.New(t)
	cl, l := newClusterWithLeader(t, 1)
	index, _, err := l.node.Propose([]byte("a"))
	c.Assert(err, qt.IsNil)
	rd := l.node.Ready()
	c.Assert(rd.Entries, qt.HasLen, 1)
	c.Assert(rd.Committed, qt.HasLen, 0)
	_, _, _ = l.node.Propose([]byte("b"))
	saveReady(&l.disk, rd)
	l.node.Advance(rd)
	c.Assert(l.node.Status().Commit, qt.Equals, index)
	cl.proposeUntilApplied(l)

	// An entry that was replaced between Ready and Advance does not count as saved.
	log := &entryLog{entries: []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}}}
	old := log.slice(0, 2)
	first, err := log.append([]Entry{{Index: 2, Term: 2}})
	c.Assert(first, qt.Equals, uint64(2))
	c.Assert(err, qt.IsNil)
	c.Assert(old[1].Term, qt.Equals, uint64(1))
	log.markStable(old)
	c.Assert(log.stable, qt.Equals, uint64(1))
	log.commit = 2
	_, err = log.append([]Entry{{Index: 2, Term: 3}})
	c.Assert(fault.CodeOf(err), qt.Equals, fault.Internal)
}

// A leader must not commit entries of an earlier term by counting replicas: a later leader
// could still replace them.
func TestCommitsOnlyCurrentTermByCounting(t *testing.T) {
	c := qt.New(t)
	ms := []Member{{ID: 1}, {ID: 2}, {ID: 3}}
	n, err := newNode(Restored{
		Hard: HardState{Term: 2}, Snapshot: Bootstrap(ms), Entries: []Entry{{Index: 2, Term: 2, Kind: EntryCommand}},
	})
	c.Assert(err, qt.IsNil)
	n.term, n.role, n.votes = 3, Candidate, nil
	n.becomeLeader()
	c.Assert(n.ReadIndex(9), qt.IsNil)
	n.Advance(n.Ready())
	c.Assert(n.Step(Message{Kind: MsgAppendResp, From: 2, To: 1, Term: 3, Index: 2}), qt.IsNil)
	c.Assert(n.Status().Commit, qt.Equals, uint64(1))
	_, _, err = n.ProposeMembers(ms[:2])
	c.Assert(err, qt.ErrorMatches, ".*has not committed an entry of term 3 yet")
	for _, m := range []Message{{Kind: MsgHeartbeatResp, ReadSeq: 5}, {Kind: MsgAppendResp, Index: 3}, {Kind: MsgHeartbeatResp}, {Kind: MsgHeartbeatResp, ReadSeq: 1}} {
		c.Assert(n.Ready().Reads, qt.HasLen, 0)
		n.Advance(Ready{})
		m.From, m.To, m.Term = 2, 1, 3
		c.Assert(n.Step(m), qt.IsNil)
	}
	c.Assert(n.Ready().Reads, qt.DeepEquals, []ReadResult{{Seq: 9, Index: 3}})
	c.Assert(n.Status().Commit, qt.Equals, uint64(3))
}

// The commit index of a follower must not cover entries of another leader, and it saves its
// vote. A learner does not vote for an equal log, and a snapshot drops no acknowledged
// entries.
func TestFollowerHandlesMessages(t *testing.T) {
	for name, tc := range map[string]struct {
		m       Message
		learner bool
		want    string // commit, last, responses, vote saved
	}{
		"commit beyond the matched entry": {m: Message{Kind: MsgAppend, Index: 1, LogTerm: 1, Commit: 3}, want: "1 3 1 false"},
		"commit up to the matched entry":  {m: Message{Kind: MsgAppend, Index: 3, LogTerm: 2, Commit: 3}, want: "3 3 1 false"},
		"vote in the current term":        {m: Message{Kind: MsgVote, Index: 3, LogTerm: 2}, want: "1 3 1 true"},
		"vote of a learner":               {m: Message{Kind: MsgVote, Index: 3, LogTerm: 2}, learner: true, want: "1 3 0 false"},
		"vote of a promoted learner":      {m: Message{Kind: MsgVote, Index: 4, LogTerm: 2}, learner: true, want: "1 3 1 true"},
		"snapshot inside of the log":      {m: Message{Kind: MsgSnapshot, Snapshot: &Snapshot{Index: 2, Term: 2}}, want: "2 3 1 false"},
		"snapshot of a conflicting log":   {m: Message{Kind: MsgSnapshot, Snapshot: &Snapshot{Index: 2, Term: 3}}, want: "2 2 1 false"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			n, err := newNode(Restored{
				Hard: HardState{Term: 3}, Snapshot: Bootstrap([]Member{{ID: 1, Learner: tc.learner}, {ID: 2}, {ID: 3}}),
				Entries: []Entry{{Index: 2, Term: 2, Kind: EntryCommand}, {Index: 3, Term: 2, Kind: EntryCommand}},
			})
			c.Assert(err, qt.IsNil)
			tc.m.From, tc.m.To, tc.m.Term = 2, 1, 3
			c.Assert(n.Step(tc.m), qt.IsNil)
			rd, st := n.Ready(), n.Status()
			got := fmt.Sprint(st.Commit, st.Last, len(rd.Messages), rd.Hard != nil && rd.Hard.Vote == 2)
			c.Assert(got, qt.Equals, tc.want)
		})
	}
}

// A leader must not be deposed by a replica that was partitioned, was removed, has a higher
// term or belongs to another group.
func TestLeaderIsNotDisrupted(t *testing.T) {
	for name, disrupt := range map[string]func(c *cluster, l, o *replica){
		"partitioned member": func(c *cluster, l, o *replica) {
			c.isolate(o, 0)
			for range 5 * simElectionTicks {
				c.runRound()
			}
			clear(c.blocked)
		},
		"removed": func(c *cluster, l, o *replica) {
			c.isolate(o, 0)
			c.changeMembers(slices.DeleteFunc(l.node.Status().Members, func(m Member) bool { return m.ID == o.id })...)
			clear(c.blocked)
		},
		"foreign": func(c *cluster, l, o *replica) {
			for kind := MsgPreVote; kind <= MsgSnapshot; kind++ {
				for _, r := range []*replica{l, o} {
					if r == l || kind < MsgAppend || kind == MsgAppendResp || kind == MsgHeartbeatResp {
						c.network = append(c.network, Message{Kind: kind, From: 99, To: r.id, Term: 50, LogTerm: 50, Index: 50, Reject: true})
					}
				}
			}
		},
		"vote request of a member": func(c *cluster, l, o *replica) {
			for _, r := range c.others(o) {
				c.network = append(c.network, Message{Kind: MsgVote, From: o.id, To: r.id, Term: 50, LogTerm: 50, Index: 50})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, l := newClusterWithLeader(t, 3)
			term, o := l.node.term, c.others(l)[0]
			c.proposeUntilApplied(l)
			disrupt(c, l, o)
			for range 5 * simElectionTicks {
				c.runRound()
				qt.Assert(t, l.node.role, qt.Equals, Leader)
			}
			qt.Assert(t, l.node.term, qt.Equals, term)
		})
	}
}

// A replica whose term is higher than that of a live leader rejoins, and a leader without a
// majority steps down after one election timeout (check-quorum).
func TestHigherTermAndCheckQuorum(t *testing.T) {
	c, l := newClusterWithLeader(t, 3)
	o := c.others(l)[0]
	o.node.becomeFollower(l.node.term+5, 0)
	c.proposeUntilApplied(c.replicas...)

	l = c.leader()
	qt.Assert(t, l.node.ReadIndex(1000), qt.IsNil)
	c.isolate(l, 0)
	c.minReadIndex[1000] = 1 << 60 // a confirmed read fails the test
	for range simElectionTicks {
		c.runRound()
	}
	qt.Assert(t, l.node.role == Leader, qt.IsFalse)
	qt.Assert(t, fault.CodeOf(l.node.ReadIndex(1)), qt.Equals, fault.NotLeader)
	c.proposeUntilApplied(c.others(l)...)
}

// A long log conflict is resolved in a few round trips, not one per entry.
func TestLogConflictBackOff(t *testing.T) {
	c, l := newClusterWithLeader(t, 3)
	c.proposeUntilApplied(c.replicas...)
	c.isolate(l, 0)
	for range 500 {
		_, _, _ = l.node.Propose([]byte("lost"))
	}
	c.runUntil("another leader", func() bool { return c.leader() != nil && c.leader() != l && l.node.role != Leader })
	second := c.leader()
	for range 400 {
		_, _, _ = second.node.Propose([]byte("kept"))
	}
	c.proposeUntilApplied(c.others(l)...)
	c.crash(second)
	c.start(second)
	c.runUntil("a third leader", func() bool { return c.leader() != nil && c.leader().node.term > l.node.term+1 })
	clear(c.blocked)
	c.counts = map[string]int{}
	c.runUntil("the log conflict resolved", func() bool { return l.applied >= c.maxApplied })
	n := c.counts["reject"]
	qt.Assert(t, n > 0 && n <= 4, qt.IsTrue, qt.Commentf("%d rejected appends", n))
}

// A replica without a membership neither votes nor campaigns, a membership whose majority
// may not overlap with that of the current one is rejected, and the group survives the loss
// of a second host right after a repair.
func TestReplaceLostReplica(t *testing.T) {
	c, l := newClusterWithLeader(t, 3)
	ms := l.node.Status().Members
	lost := c.others(l)[0]
	c.crash(lost)
	replacement := c.addReplica(lost.host)
	c.start(replacement)
	for kind := MsgPreVote; kind <= MsgVote; kind++ {
		qt.Assert(t, replacement.node.Step(Message{Kind: kind, From: l.id, To: replacement.id, Term: 9, LogTerm: 9, Index: 9}), qt.IsNil)
	}
	for range 5 * simElectionTicks {
		replacement.node.Tick()
	}
	qt.Assert(t, replacement.node.HasReady(), qt.IsFalse)

	learner, voter := Member{ID: replacement.id, Host: lost.host, Learner: true}, Member{ID: replacement.id, Host: lost.host}
	for name, next := range map[string][]Member{
		"voter without a log": append(slices.Clone(ms), voter), "two removed": {{ID: l.id}}, "none": nil, "twice": append(slices.Clone(ms), ms[0]), "zero": append(slices.Clone(ms), Member{Learner: true}),
	} {
		_, _, err := l.node.ProposeMembers(next)
		qt.Assert(t, fault.CodeOf(err), qt.Equals, fault.MembershipConflict, qt.Commentf(name))
	}
	c.isolate(replacement, 0)
	c.changeMembers(append(slices.Clone(ms), learner)...)
	_, _, err := l.node.ProposeMembers(append(slices.Clone(ms), voter))
	qt.Assert(t, err, qt.ErrorMatches, ".*not a learner that has caught up")
	clear(c.blocked)
	c.proposeUntilApplied(replacement)
	c.changeMembers(append(slices.Clone(ms), voter)...)
	remaining := slices.DeleteFunc(append(slices.Clone(ms), voter), func(m Member) bool { return m.ID == lost.id })
	c.changeMembers(remaining...)
	_, _, err = l.node.ProposeMembers(ms)
	qt.Assert(t, fault.CodeOf(err), qt.Equals, fault.MembershipConflict)
	_, _, err = l.node.ProposeMembers(append(remaining, Member{ID: 77, Learner: true}))
	qt.Assert(t, err, qt.IsNil)
	_, _, err = l.node.ProposeMembers(remaining)
	qt.Assert(t, err, qt.ErrorMatches, ".*is not committed yet")
	c.crash(l)
	c.proposeUntilApplied(c.others(l)[1], replacement)
}

// The group elects a leader although only the old leader's log holds a promotion and the
// lost replica still counts as a voter.
func TestPromotionKnownToOldLeader(t *testing.T) {
	c, l := newClusterWithLeader(t, 3)
	ms := l.node.Status().Members
	lost, follower, added := c.others(l)[0], c.others(l)[1], c.addReplica("h4")
	c.crash(lost)
	c.start(added)
	c.changeMembers(append(slices.Clone(ms), Member{ID: added.id, Learner: true})...)
	c.proposeUntilApplied(added)
	_, _, err := l.node.ProposeMembers(append(slices.Clone(ms), Member{ID: added.id}))
	qt.Assert(t, err, qt.IsNil)
	c.takeReady(l)
	saveReady(&l.disk, *l.pending)
	c.crash(l)
	c.runRound()
	c.start(l)
	c.proposeUntilApplied(l, follower, added)
}

// A leader that is removed stops leading and does not campaign.
func TestLeaderRemovesItself(t *testing.T) {
	c, l := newClusterWithLeader(t, 3)
	c.changeMembers(slices.DeleteFunc(l.node.Status().Members, func(m Member) bool { return m.ID == l.id })...)
	c.runUntil("another leader", func() bool { return c.leader() != nil && c.leader() != l })
	c.proposeUntilApplied(c.others(l)...)
	qt.Assert(t, l.node.role, qt.Equals, Follower)
}

// A replica must not start from a state that no replica can have saved, since that would
// hide a damaged log.
func TestNewRejectsInvalidState(t *testing.T) {
	for _, r := range []Restored{
		{Hard: HardState{Term: 1, Commit: 1}},
		{Hard: HardState{Term: 1}, Entries: []Entry{{Index: 2, Term: 1}}},
		{Hard: HardState{Term: 1}, Entries: []Entry{{Index: 1, Term: 2}}},
		{Hard: HardState{Term: 2}, Entries: []Entry{{Index: 1, Term: 2}, {Index: 2, Term: 1}}},
	} {
		_, err := newNode(r)
		qt.Assert(t, fault.CodeOf(err), qt.Equals, fault.StorageCorrupt)
	}
	_, err := New(Config{}, Restored{})
	qt.Assert(t, fault.CodeOf(err), qt.Equals, fault.InvalidSettings)
}
