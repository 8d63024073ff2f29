package raft

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
)

func leading(t *testing.T, voters int) (*cluster, *replica) {
	c := newCluster(t, 1, voters)
	c.until("a leader", func() bool { return c.leader() != nil && c.leader().node.ownTermCommitted() })
	return c, c.leader()
}

func newNode(r Restored) (*Node, error) {
	return New(Config{ID: 1, HeartbeatTicks: 1, ElectionTicks: 3, Rand: rand.New(rand.NewSource(1))}, r)
}

func (c *cluster) others(r *replica) (out []*replica) {
	return slices.DeleteFunc(slices.Clone(c.replicas), func(o *replica) bool { return o == r })
}

// Guards against an entry or a vote that counts before the caller has saved it.
func TestCountsOnlyAfterSave(t *testing.T) {
	c := qt.New(t)
	cl, l := leading(t, 1)
	index, _, err := l.node.Propose([]byte("a"))
	c.Assert(err, qt.IsNil)
	rd := l.node.Ready()
	c.Assert(rd.Entries, qt.HasLen, 1)
	c.Assert(rd.Committed, qt.HasLen, 0)
	_, _, _ = l.node.Propose([]byte("b"))
	save(&l.disk, rd)
	l.node.Advance(rd)
	c.Assert(l.node.Status().Commit, qt.Equals, index)
	cl.settle(l)

	// An entry that was replaced between Ready and Advance is not saved.
	log := &entryLog{entries: []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}}}
	old := log.slice(0, 2)
	first, err := log.append([]Entry{{Index: 2, Term: 2}})
	c.Assert(first, qt.Equals, uint64(2))
	c.Assert(err, qt.IsNil)
	c.Assert(old[1].Term, qt.Equals, uint64(1))
	log.saved(old)
	c.Assert(log.stable, qt.Equals, uint64(1))
	log.commit = 2
	_, err = log.append([]Entry{{Index: 2, Term: 3}})
	c.Assert(fault.CodeOf(err), qt.Equals, fault.Internal)
}

// Guards against a leader that commits entries of an earlier term by counting replicas:
// a later leader could still replace them.
func TestCommitsOnlyOwnTerm(t *testing.T) {
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

// Guards against a commit index that covers entries of another leader, a vote that is not
// saved, a learner that votes for an equal log, and a snapshot that drops entries which
// were acknowledged.
func TestFollowerSteps(t *testing.T) {
	for name, tc := range map[string]struct {
		m       Message
		learner bool
		want    string // commit, last, answers, vote saved
	}{
		"commit beyond the matched entry": {m: Message{Kind: MsgAppend, Index: 1, LogTerm: 1, Commit: 3}, want: "1 3 1 false"},
		"commit up to the matched entry":  {m: Message{Kind: MsgAppend, Index: 3, LogTerm: 2, Commit: 3}, want: "3 3 1 false"},
		"vote in the current term":        {m: Message{Kind: MsgVote, Index: 3, LogTerm: 2}, want: "1 3 1 true"},
		"vote of a learner":               {m: Message{Kind: MsgVote, Index: 3, LogTerm: 2}, learner: true, want: "1 3 0 false"},
		"vote of a promoted learner":      {m: Message{Kind: MsgVote, Index: 4, LogTerm: 2}, learner: true, want: "1 3 1 true"},
		"snapshot inside of the log":      {m: Message{Kind: MsgSnapshot, Snapshot: &Snapshot{Index: 2, Term: 2}}, want: "2 3 1 false"},
		"snapshot of another log":         {m: Message{Kind: MsgSnapshot, Snapshot: &Snapshot{Index: 2, Term: 3}}, want: "2 2 1 false"},
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

// Guards against disturbance: a replica that was cut off, one that was removed, one with
// a higher term and a foreign one must not cost the group its leader.
func TestLeaderIsNotDisturbed(t *testing.T) {
	for name, disturb := range map[string]func(c *cluster, l, o *replica){
		"cut off": func(c *cluster, l, o *replica) {
			c.isolate(o, 0)
			for range 5 * simElectionTicks {
				c.round()
			}
			clear(c.cut)
		},
		"removed": func(c *cluster, l, o *replica) {
			c.isolate(o, 0)
			c.change(slices.DeleteFunc(l.node.Status().Members, func(m Member) bool { return m.ID == o.id })...)
			clear(c.cut)
		},
		"foreign": func(c *cluster, l, o *replica) {
			for kind := MsgPreVote; kind <= MsgSnapshot; kind++ {
				for _, r := range []*replica{l, o} {
					if r == l || kind < MsgAppend || kind == MsgAppendResp || kind == MsgHeartbeatResp {
						c.net = append(c.net, Message{Kind: kind, From: 99, To: r.id, Term: 50, LogTerm: 50, Index: 50, Reject: true})
					}
				}
			}
		},
		"vote request of a member": func(c *cluster, l, o *replica) {
			for _, r := range c.others(o) {
				c.net = append(c.net, Message{Kind: MsgVote, From: o.id, To: r.id, Term: 50, LogTerm: 50, Index: 50})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, l := leading(t, 3)
			term, o := l.node.term, c.others(l)[0]
			c.settle(l)
			disturb(c, l, o)
			for range 5 * simElectionTicks {
				c.round()
				qt.Assert(t, l.node.role, qt.Equals, Leader)
			}
			qt.Assert(t, l.node.term, qt.Equals, term)
		})
	}
}

// Guards against a replica that is shut out for good because its term is higher than
// that of a live leader, and against one election timeout passing without check-quorum.
func TestHigherTermAndCheckQuorum(t *testing.T) {
	c, l := leading(t, 3)
	o := c.others(l)[0]
	o.node.becomeFollower(l.node.term+5, 0)
	c.settle(c.replicas...)

	l = c.leader()
	qt.Assert(t, l.node.ReadIndex(1000), qt.IsNil)
	c.isolate(l, 0)
	c.reads[1000] = 1 << 60 // a confirmed read fails the test
	for range simElectionTicks {
		c.round()
	}
	qt.Assert(t, l.node.role == Leader, qt.IsFalse)
	qt.Assert(t, fault.CodeOf(l.node.ReadIndex(1)), qt.Equals, fault.NotLeader)
	c.settle(c.others(l)...)
}

// Guards against a back-off that takes one round trip per entry of a long conflict.
func TestFastBackOff(t *testing.T) {
	c, l := leading(t, 3)
	c.settle(c.replicas...)
	c.isolate(l, 0)
	for range 500 {
		_, _, _ = l.node.Propose([]byte("lost"))
	}
	c.until("another leader", func() bool { return c.leader() != nil && c.leader() != l && l.node.role != Leader })
	second := c.leader()
	for range 400 {
		_, _, _ = second.node.Propose([]byte("kept"))
	}
	c.settle(c.others(l)...)
	c.crash(second)
	c.start(second)
	c.until("a third leader", func() bool { return c.leader() != nil && c.leader().node.term > l.node.term+1 })
	clear(c.cut)
	c.count = map[string]int{}
	c.until("the long conflict resolved", func() bool { return l.applied >= c.max })
	n := c.count["reject"]
	qt.Assert(t, n > 0 && n <= 4, qt.IsTrue, qt.Commentf("%d rejected appends", n))
}

// Guards against a blank replica that votes or campaigns, against memberships whose
// majorities do not overlap, and against the loss of a second host right after a repair.
func TestRepair(t *testing.T) {
	c, l := leading(t, 3)
	ms := l.node.Status().Members
	lost := c.others(l)[0]
	c.crash(lost)
	blank := c.add(lost.host)
	c.start(blank)
	for kind := MsgPreVote; kind <= MsgVote; kind++ {
		qt.Assert(t, blank.node.Step(Message{Kind: kind, From: l.id, To: blank.id, Term: 9, LogTerm: 9, Index: 9}), qt.IsNil)
	}
	for range 5 * simElectionTicks {
		blank.node.Tick()
	}
	qt.Assert(t, blank.node.HasReady(), qt.IsFalse)

	learner, voter := Member{ID: blank.id, Host: lost.host, Learner: true}, Member{ID: blank.id, Host: lost.host}
	for name, next := range map[string][]Member{
		"blank voter": append(slices.Clone(ms), voter), "two removed": {{ID: l.id}}, "none": nil, "twice": append(slices.Clone(ms), ms[0]), "zero": append(slices.Clone(ms), Member{Learner: true}),
	} {
		_, _, err := l.node.ProposeMembers(next)
		qt.Assert(t, fault.CodeOf(err), qt.Equals, fault.MembershipConflict, qt.Commentf(name))
	}
	c.isolate(blank, 0)
	c.change(append(slices.Clone(ms), learner)...)
	_, _, err := l.node.ProposeMembers(append(slices.Clone(ms), voter))
	qt.Assert(t, err, qt.ErrorMatches, ".*not a learner that has caught up")
	clear(c.cut)
	c.settle(blank)
	c.change(append(slices.Clone(ms), voter)...)
	left := slices.DeleteFunc(append(slices.Clone(ms), voter), func(m Member) bool { return m.ID == lost.id })
	c.change(left...)
	_, _, err = l.node.ProposeMembers(ms)
	qt.Assert(t, fault.CodeOf(err), qt.Equals, fault.MembershipConflict)
	_, _, err = l.node.ProposeMembers(append(left, Member{ID: 77, Learner: true}))
	qt.Assert(t, err, qt.IsNil)
	_, _, err = l.node.ProposeMembers(left)
	qt.Assert(t, err, qt.ErrorMatches, ".*is not committed yet")
	c.crash(l)
	c.settle(c.others(l)[1], blank)
}

// Guards against a group without a leader for good when only the old leader's log holds
// a promotion and the lost replica still counts.
func TestPromotionKnownToOldLeader(t *testing.T) {
	c, l := leading(t, 3)
	ms := l.node.Status().Members
	lost, kept, fresh := c.others(l)[0], c.others(l)[1], c.add("h4")
	c.crash(lost)
	c.start(fresh)
	c.change(append(slices.Clone(ms), Member{ID: fresh.id, Learner: true})...)
	c.settle(fresh)
	_, _, err := l.node.ProposeMembers(append(slices.Clone(ms), Member{ID: fresh.id}))
	qt.Assert(t, err, qt.IsNil)
	c.take(l)
	save(&l.disk, *l.pending)
	c.crash(l)
	c.round()
	c.start(l)
	c.settle(l, kept, fresh)
}

// Guards against a removed leader that keeps leading or campaigning.
func TestLeaderRemovesItself(t *testing.T) {
	c, l := leading(t, 3)
	c.change(slices.DeleteFunc(l.node.Status().Members, func(m Member) bool { return m.ID == l.id })...)
	c.until("another leader", func() bool { return c.leader() != nil && c.leader() != l })
	c.settle(c.others(l)...)
	qt.Assert(t, l.node.role, qt.Equals, Follower)
}

// Guards against a start from a state that no replica can have saved, which would hide
// a damaged log.
func TestNewRefusesImpossibleState(t *testing.T) {
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
