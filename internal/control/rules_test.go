package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/raft"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wire"
)

// A new leader must not assign a lease while its isolated holder still relies on it.
// simulation.checkLeases fails when two hosts hold the pool.
func TestNewLeaderWaitsForLeaseEnd(t *testing.T) {
	for seed := range int64(20) {
		c := qt.New(t)
		sim := newFormedSimulation(t, 200+seed, 6, "r1", "r2")
		cl := sim.clients["r1"]
		heldPool := ""
		sim.runUntil("r1 has just renewed", 5*time.Second, func() bool {
			for pool, h := range cl.held {
				heldPool = pool
				// An answer waits for the next ReadIndex request and one tick at most.
				return h.until-sim.now >= LeaseDuration-readInterval-TickInterval
			}
			return false
		})
		_, until, _ := cl.HeldUntil(heldPool)
		sim.isolated["r1"], sim.isolated[sim.leader()] = true, true
		sim.runUntil("another host holds the pool after r1 was isolated", 8*time.Second, func() bool {
			for h, o := range sim.clients {
				if _, _, ok := o.HeldUntil(heldPool); ok && h != "r1" {
					return true
				}
			}
			return false
		})
		c.Assert(sim.now >= until, qt.IsTrue)
		// The wait is long enough also when the leader's clock runs 5 % fast.
		leader := sim.nodes[sim.leader()]
		c.Assert(leader.lead.since+LeaseDuration+LeaseMargin <= sim.now, qt.IsTrue)
	}
}

// A holder must not renew a lease whose reassignment is proposed but not yet committed.
func TestNoRenewalDuringReassignment(t *testing.T) {
	c := qt.New(t)
	sim := newFormedSimulation(t, 14, 4, "r1")
	cl := sim.clients["r1"]
	sim.runUntil("r1 holds a pool", 5*time.Second, func() bool { return len(cl.held) > 0 })
	heldPool := ""
	for pool := range cl.held {
		heldPool = pool
	}
	sim.isolated["r1"] = true
	sim.drop = func(p packet) bool {
		var m raft.Message
		return p.kind == wire.KindRaft && wire.Unmarshal(p.payload, &m) == nil && m.Kind == raft.MsgAppend && len(m.Entries) > 0
	}
	n := sim.nodes[sim.leader()]
	sim.runUntil("a reassignment is proposed", 4*time.Second, func() bool { return n.lead.proposedHolders[heldPool] != "" })
	sim.isolated["r1"] = false
	healed := sim.now
	sim.runUntil("a Renew of r1 is confirmed", 3*time.Second, func() bool { return cl.confirmedAt > healed })
	c.Assert(n.isActiveLeader(), qt.IsTrue)
	_, _, ok := cl.HeldUntil(heldPool)
	c.Assert(ok, qt.IsFalse)
	sim.drop = nil
	sim.runUntil("another host holds the pool", 4*time.Second, func() bool {
		l := n.state.Lease(heldPool)
		_, _, ok := sim.clients[l.Host].HeldUntil(heldPool)
		return l.Host != "r1" && ok
	})
}

// A leader that lost its majority must not confirm configurations.
func TestIsolatedLeaderConfirmsNothing(t *testing.T) {
	c := qt.New(t)
	sim := newFormedSimulation(t, 15, 1)
	sim.runUntil("all current", 4*time.Second, func() bool { return sim.clients["h1"].ConfigCurrent() && sim.clients["h2"].ConfigCurrent() })
	old := sim.leader()
	sim.isolated[old] = true
	isolatedAt := sim.now
	sim.runUntil("the leader's own host is isolated too", 6*time.Second, func() bool { return !sim.clients[old].ConfigCurrent() })
	c.Assert(sim.clients[old].confirmedAt <= isolatedAt, qt.IsTrue)
}

// newSingleClient returns a client whose messages the test answers itself.
func newSingleClient(t *testing.T) (*simulation, *Client, func(wire.RenewAck)) {
	sim := newSimulation(t, 16)
	sim.controlHosts = []string{"h1"}
	cl := sim.startClient("r1")
	return sim, cl, func(m wire.RenewAck) {
		payload, err := wire.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		cl.handleEvent(event{from: "h1", kind: wire.KindRenewAck, payload: payload})
	}
}

func lastSentRenew(t *testing.T, sim *simulation) wire.Renew {
	var m wire.Renew
	if err := wire.Unmarshal(sim.queue[len(sim.queue)-1].payload, &m); err != nil {
		t.Fatal(err)
	}
	return m
}

// Leases and confirmations count from the Renew and not from its answer, and answers to an
// earlier boot of the host are ignored.
func TestTimesCountFromSend(t *testing.T) {
	c := qt.New(t)
	sim, cl, answer := newSingleClient(t)
	cl.tick()
	renew := lastSentRenew(t, sim)
	asked := sim.now
	l := wire.Lease{Pool: "p", Host: "r1", Boot: cl.opts.Boot, Fence: 7}
	sim.now += 1500 * time.Millisecond
	answer(wire.RenewAck{Seq: renew.Seq, Leases: []wire.Lease{l}, LeasesVersion: 3, HasLeases: true, Renewed: []wire.Lease{l}})
	fence, until, ok := cl.HeldUntil("p")
	c.Assert(ok, qt.IsTrue)
	c.Assert(fence, qt.Equals, uint64(7))
	c.Assert(until, qt.Equals, asked+LeaseDuration)
	sim.now = asked + ConfigMaxAge
	c.Assert(cl.ConfigCurrent(), qt.IsTrue)
	sim.now++
	c.Assert(cl.ConfigCurrent(), qt.IsFalse)
	_, _, ok = cl.HeldUntil("p")
	c.Assert(ok, qt.IsFalse)

	again := sim.startClient("r1")
	again.tick()
	payload, err := wire.Marshal(wire.RenewAck{Seq: renew.Seq})
	c.Assert(err, qt.IsNil)
	again.handleEvent(event{from: "h1", kind: wire.KindRenewAck, payload: payload})
	c.Assert(again.ConfigCurrent(), qt.IsFalse)
}

// A client ignores tables and configurations of an older version, and accepts a
// confirmation or the renewal of a lease only after it has applied the revision.
func TestClientIgnoresOlderVersions(t *testing.T) {
	c := qt.New(t)
	sim, cl, answer := newSingleClient(t)
	newer, older := config.New(), config.New()
	newer.Revision, older.Revision = 9, 8
	cl.tick()
	l := wire.Lease{Pool: "p", Host: "r1", Boot: cl.opts.Boot, Fence: 7}
	answer(wire.RenewAck{Seq: lastSentRenew(t, sim).Seq, Revision: 9, Leases: []wire.Lease{l}, LeasesVersion: 3, HasLeases: true, Renewed: []wire.Lease{l}})
	c.Assert(cl.ConfigCurrent(), qt.IsFalse)
	_, _, ok := cl.HeldUntil("p")
	c.Assert(ok, qt.IsFalse)
	answer(wire.RenewAck{Revision: 9, Snapshot: newer})
	answer(wire.RenewAck{Revision: 8, Snapshot: older, HasLeases: true, LeasesVersion: 2})
	answer(wire.RenewAck{Revision: 9, Delta: &config.Delta{From: 10, To: 11, Changes: []config.AppliedChange{{Revision: 11, Change: dataCentreChange("x", 0, false)}}}})
	answer(wire.RenewAck{Revision: 9, Delta: &config.Delta{From: 7, To: 8, Changes: []config.AppliedChange{{Revision: 8, Change: dataCentreChange("x", 0, false)}}}})
	c.Assert(cl.Config().Revision, qt.Equals, uint64(9))
	c.Assert(cl.Config().DataCentres, qt.HasLen, 0)
	c.Assert(cl.Leases(), qt.DeepEquals, []wire.Lease{l})

	// A delta that does not apply makes the client ask for the full configuration.
	answer(wire.RenewAck{Revision: 10, Delta: &config.Delta{From: 9, To: 10, Changes: []config.AppliedChange{{Revision: 10, Change: dataCentreChange("x", 5, false)}}}})
	c.Assert(cl.Config().Revision, qt.Equals, uint64(9))
	sim.now += RenewInterval
	cl.tick()
	c.Assert(lastSentRenew(t, sim).Revision, qt.Equals, uint64(0))
	newer = config.New()
	newer.Revision = 10
	answer(wire.RenewAck{Seq: lastSentRenew(t, sim).Seq, Revision: 10, Snapshot: newer})
	c.Assert(cl.Config().Revision, qt.Equals, uint64(10))
	c.Assert(cl.ConfigCurrent(), qt.IsTrue)
}

// No result is reported for a command when the entry of another term took its log index.
func TestAnswerBatchComparesTerms(t *testing.T) {
	c := qt.New(t)
	sim := newFormedSimulation(t, 17, 1)
	n := sim.nodes[sim.leader()]
	outcomes := map[string]bool{}
	note := func(name string) proposer {
		return proposer{callback: func(_ state.Result, ok bool) { outcomes[name] = ok }}
	}
	n.openProposals += 2
	n.pending[1000] = pendingBatch{term: n.term, proposers: []proposer{note("same")}}
	n.pending[1001] = pendingBatch{term: n.term - 1, proposers: []proposer{note("other")}}
	n.answerBatch(1000, n.term, make([]state.Result, 1))
	n.answerBatch(1001, n.term, make([]state.Result, 1))
	n.openProposals++
	n.pending[1002] = pendingBatch{term: n.term, proposers: []proposer{note("deposed")}}
	n.stepDown()
	c.Assert(outcomes, qt.DeepEquals, map[string]bool{"same": true, "other": false, "deposed": false})
	c.Assert(n.pending, qt.HasLen, 0)
}

// Commands share a log entry and so a sync, but an entry holds at most one order, since two
// would share a fencing number.
func TestCommandsShareLogEntries(t *testing.T) {
	c := qt.New(t)
	sim := newFormedSimulation(t, 20, 1)
	n := sim.nodes[sim.leader()]
	add := func(cmd state.Command) { n.proposeLocal(cmd, func(state.Result, bool) {}) }
	for i := range 100 {
		add(state.Command{Claim: &state.ClaimRequest{Account: "a", Attempt: fmt.Sprint(i)}})
	}
	n.proposeQueued()
	c.Assert(n.pending, qt.HasLen, 1)
	for range 3 {
		add(state.Command{Order: &state.OrderIssue{RequestID: "o"}})
	}
	n.proposeQueued()
	c.Assert(n.pending, qt.HasLen, 4)
	c.Assert(n.openProposals, qt.Equals, 103)
}

// Snapshots of a large state are not taken every few entries, and the log does not grow
// without bound.
func TestSnapshotSpacing(t *testing.T) {
	c := qt.New(t)
	n := &Node{opts: NodeOptions{MinSnapshotEntries: 10, MaxLogBytes: DefaultMaxLogBytes}, snapshotIndex: 100, snapshotBytes: 5_000}
	due := func(entries uint64, logBytes int) bool {
		n.applied, n.logBytes = n.snapshotIndex+entries, logBytes
		return n.snapshotDue()
	}
	c.Assert(due(0, DefaultMaxLogBytes), qt.IsFalse)
	c.Assert(due(9, 6_000), qt.IsFalse)
	c.Assert(due(10, 4_999), qt.IsFalse)
	c.Assert(due(10, 5_000), qt.IsTrue)
	c.Assert(due(159, 0), qt.IsFalse)
	c.Assert(due(160, 0), qt.IsTrue)
	c.Assert(due(1, DefaultMaxLogBytes), qt.IsTrue)
}

// A host must stop using a revoked lease before it sends the release to the leader.
func TestRevokedLeaseStopsBeforeRelease(t *testing.T) {
	c := qt.New(t)
	sim, cl, answer := newSingleClient(t)
	cl.tick()
	l := wire.Lease{Pool: "p", Host: "r1", Boot: cl.opts.Boot, Fence: 7}
	answer(wire.RenewAck{Seq: lastSentRenew(t, sim).Seq, Leases: []wire.Lease{l}, LeasesVersion: 3, HasLeases: true, Renewed: []wire.Lease{l}})
	sends := -1
	cl.OnLeases(func(held, _ []wire.Lease) {
		c.Assert(held, qt.HasLen, 0)
		sends = len(sim.queue)
	})
	sim.now += RenewInterval
	cl.tick()
	before := len(sim.queue)
	answer(wire.RenewAck{Seq: lastSentRenew(t, sim).Seq, Revoked: []wire.Lease{l}})
	_, _, ok := cl.HeldUntil("p")
	c.Assert(ok, qt.IsFalse)
	c.Assert(sends, qt.Equals, before)
	c.Assert(sim.queue[before].kind, qt.Equals, wire.KindPropose)
}

// The leader pushes committed changes; hosts need not wait for the answer to their next
// Renew.
func TestCommitsArePushed(t *testing.T) {
	c := qt.New(t)
	sim := newFormedSimulation(t, 21, 1, "r1", "r2")
	sim.runUntil("r2 has the current configuration", 3*time.Second, func() bool { return sim.clients["r2"].Config().Revision == 1 && sim.clients["r2"].ConfigCurrent() })
	sim.drop = func(p packet) bool { return p.kind == wire.KindRenew }
	c.Assert(sim.change("r1", "x", dataCentreChange("dc-h1", 1, true)).err, qt.IsNil)
	sim.deliver()
	c.Assert(sim.clients["r2"].Config().Revision, qt.Equals, uint64(2))
}

// An upstream gets no second order before it has answered the first, and an order is
// cancelled when its leader is deposed.
func TestOneOrderAtATime(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t, 18, "h1", "h2", "h3")
	s := &fakeOrderSender{sim: sim}
	sim.orders = s
	var blocked []func()
	sim.spawn = func(f func()) { blocked = append(blocked, f) }
	for _, h := range sim.controlHosts {
		sim.startNode(h)
	}
	sim.formGroup()
	changes := append(fleetChanges(sim.controlHosts, 1), config.Change{Upstream: &config.Upstream{Name: "u", Pool: "p0", DataCentre: "dc-h1", Address: "127.0.0.1:7"}})
	c.Assert(sim.change("h1", "fleet", changes...).err, qt.IsNil)
	for i := range 2 {
		waitForCall(sim, startCall(sim.clients["h1"], func(ctx context.Context) error {
			_, err := sim.clients["h1"].IssueOrder(ctx, fmt.Sprint("o", i), state.Order{Upstream: "u", Kind: state.OrderDrain})
			return err
		}))
	}
	sim.run(2 * fenceWait)
	c.Assert(blocked, qt.HasLen, 1)
	ctx := sim.nodes[sim.leader()].lead.orders.ctx
	blocked[0]()
	sim.runUntil("the next order", time.Second, func() bool { return len(blocked) == 2 })
	c.Assert(len(sim.nodes[sim.leader()].state.Orders()), qt.Equals, 1)
	sim.isolated[sim.leader()] = true
	sim.runUntil("another leader", 5*time.Second, func() bool { return sim.leader() != "" })
	c.Assert(ctx.Err(), qt.Equals, context.Canceled)
}

// A learner must not become a voter before it holds the log.
func TestLearnerIsPromotedOnlyWithTheLog(t *testing.T) {
	c := qt.New(t)
	sim := newFormedSimulation(t, 19, 1)
	lost := otherControlHosts(sim, sim.leader())[0]
	sim.stopHost(lost)
	sim.disks[lost] = &memoryStorage{id: 77}
	sim.startNode(lost)
	n := sim.nodes[sim.leader()]
	last := n.applied
	sim.drop = func(p packet) bool { return p.to == lost && p.kind == wire.KindRaft }
	go func() { _ = n.ReplaceReplica(t.Context(), "rep", lost, lost) }()
	n.handleEvent(<-n.inbox)
	sim.run(2 * time.Second)
	c.Assert(n.members, qt.HasLen, 4)
	c.Assert(n.members[3], qt.Equals, raft.Member{ID: 77, Host: lost, Learner: true})
	sim.drop = nil
	promoted := false
	sim.check = func() {
		for _, m := range n.members {
			if m.ID != 77 || m.Learner || promoted {
				continue
			}
			promoted = true
			disk := sim.disks[lost]
			c.Assert(disk.snapshot.Index >= last || len(disk.entries) > 0 && disk.entries[len(disk.entries)-1].Index >= last, qt.IsTrue)
		}
	}
	sim.runUntil("replaced", 5*time.Second, func() bool { return n.replacement == nil })
	c.Assert(n.members, qt.HasLen, 3)
	c.Assert(promoted, qt.IsTrue)
	err := sim.onNode(sim.leader(), func(n *Node) error { return n.ReplaceReplica(t.Context(), "rep2", "nowhere", "nohost") })
	c.Assert(fault.CodeOf(err), qt.Equals, fault.NotFound)
}

// The leader limits the full configurations that it encodes per tick, since it would
// otherwise miss its heartbeats after a restart of many hosts. All hosts still get the
// configuration.
func TestConfigurationsPerTick(t *testing.T) {
	c := qt.New(t)
	f := newRenewFleet(t, 40, 6800)
	intervals := f.restartAll()
	t.Logf("all hosts have the configuration after %d Renew intervals", intervals)
	c.Assert(f.maxConfigsStarted, qt.Equals, maxConfigsPerTick)
}
