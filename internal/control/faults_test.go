package control

import (
	"context"
	"fmt"
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/raft"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wire"
)

// Under random partitions, restarts, delays, reordering and data centres taken out of and
// into service, no two hosts hold a lease at once, fences grow, revisions do not go back,
// and acknowledged changes are kept. The checks run after each message (see
// simulation.checkLeases).
func TestRandomFaults(t *testing.T) {
	seeds := int64(25)
	if testing.Short() {
		seeds = 5
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { randomFaults(t, seed) })
	}
}

func randomFaults(t *testing.T, seed int64) {
	c := qt.New(t)
	sim := newFormedSimulation(t, 1000+seed, 4, "r1", "r2", "r3")
	rng := rand.New(rand.NewSource(seed))
	sim.delay = func() time.Duration { return time.Duration(rng.Intn(300)) * time.Millisecond }
	sim.drop = func(packet) bool { return rng.Intn(50) == 0 }
	revisions := map[*Client]uint64{}
	confirmed := uint64(1)
	sim.check = func() {
		for h, cl := range sim.clients {
			rev := cl.Config().Revision
			if rev < revisions[cl] {
				t.Fatalf("%s went back from revision %d to %d", h, revisions[cl], rev)
			}
			revisions[cl] = rev
		}
	}
	hosts := []string{"h1", "h2", "h3", "r1", "r2", "r3"}
	for i := range 40 {
		h := hosts[rng.Intn(len(hosts))]
		switch rng.Intn(5) {
		case 0:
			sim.isolated[h] = true
		case 1, 2:
			clear(sim.isolated)
		case 3:
			sim.stopHost(h)
			if sim.disks[h] != nil {
				sim.startNode(h)
			}
			sim.startClient(h)
		case 4:
			d := sim.clients["r1"].Config().DataCentres["dc-"+h]
			if d.Revision == 0 {
				break
			}
			got := sim.change("r1", fmt.Sprint("i", i), dataCentreChange("dc-"+h, d.Revision, !d.Out))
			if got.err == nil {
				confirmed = max(confirmed, got.revision)
			} else if code := fault.CodeOf(got.err); code != fault.Timeout && code != fault.RevisionConflict {
				t.Fatal(got.err)
			}
		}
		sim.run(time.Duration(rng.Intn(3000)) * time.Millisecond)
	}
	clear(sim.isolated)
	sim.drop = nil
	sim.runUntil("all hosts current and all pools held", 20*time.Second, func() bool {
		held := 0
		for _, h := range hosts {
			cl := sim.clients[h]
			if !cl.ConfigCurrent() || cl.Config().Revision < confirmed {
				return false
			}
			for pool := range cl.Config().Pools {
				if _, _, ok := cl.HeldUntil(pool); ok {
					held++
				}
			}
		}
		return held == 4
	})
	c.Assert(sim.clients["r2"].Config().Revision >= confirmed, qt.IsTrue)
}

// A request must not run on two routers: of two that claim the same key, one gets the
// claim.
func TestClaimByTwoRouters(t *testing.T) {
	c := qt.New(t)
	sim := newFormedSimulation(t, 9, 1, "r1", "r2")
	key := fmt.Sprintf("%08x-%04x-7000-8000-%012x", sim.wall.UnixMilli()>>16, sim.wall.UnixMilli()&0xffff, 1)
	type claimed struct {
		a   state.ClaimAnswer
		err error
	}
	claim := func(h string) pendingCall[claimed] {
		return startCall(sim.clients[h], func(ctx context.Context) claimed {
			a, err := sim.clients[h].Claim(ctx, state.ClaimRequest{Account: "a", Key: key, Attempt: h + "-1"})
			return claimed{a, err}
		})
	}
	one, two := claim("r1"), claim("r2")
	r1, r2 := waitForCall(sim, one), waitForCall(sim, two)
	c.Assert(r1.a.Granted != r2.a.Granted, qt.IsTrue)
	winner, loser, lost := "r1", "r2", r2
	if r2.a.Granted {
		winner, loser, lost = "r2", "r1", r1
	}
	c.Assert(fault.CodeOf(lost.err), qt.Equals, fault.ClaimOpen)
	done := waitForCall(sim, startCall(sim.clients[winner], func(ctx context.Context) error {
		return sim.clients[winner].FinishClaim(ctx, state.ClaimFinish{Account: "a", Key: key, Attempt: winner + "-1", Answer: []byte("42")})
	}))
	c.Assert(done, qt.IsNil)
	again := waitForCall(sim, claim(loser))
	c.Assert(again.err, qt.IsNil)
	c.Assert(string(again.a.Answer), qt.Equals, "42")

	sim.stopHost("h1")
	sim.stopHost("h2")
	lostClaim := waitForCall(sim, claim(loser))
	c.Assert(fault.CodeOf(lostClaim.err), qt.Equals, fault.ClaimUnavailable)
	c.Assert(fault.As(lostClaim.err).RunState, qt.Equals, fault.NotRun)
}

// When the holder of a lease shuts down gracefully or its data centre is taken out of
// service, the pool does not wait for the end of the lease, and the lease does not return
// to that host.
func TestLeaseHandover(t *testing.T) {
	c := qt.New(t)
	sim := newFormedSimulation(t, 10, 4, "r1")
	holds := func(h string) (n int) {
		for pool := range sim.clients[h].Config().Pools {
			if _, _, ok := sim.clients[h].HeldUntil(pool); ok {
				n++
			}
		}
		return n
	}
	all := func() bool { return holds("h1")+holds("h2")+holds("h3")+holds("r1") == 4 }
	sim.runUntil("all pools held", 5*time.Second, all)
	sim.runUntil("r1 holds a pool", time.Second, func() bool { return holds("r1") > 0 })

	var events []int
	sim.clients["r1"].OnLeases(func(held, _ []wire.Lease) { events = append(events, len(held)) })
	sim.clients["r1"].SetLeaving()
	c.Assert(holds("r1"), qt.Equals, 0)
	took := sim.runUntil("pools of the leaving host held by others", LeaseDuration, func() bool { return all() && holds("r1") == 0 })
	t.Logf("handover of a leaving host after %v", took)
	c.Assert(events[len(events)-1], qt.Equals, 0)

	sim.runUntil("h2 holds a pool", time.Second, func() bool { return holds("h2") > 0 })
	c.Assert(sim.change("h1", "out", dataCentreChange("dc-h2", 1, true)).err, qt.IsNil)
	took = sim.runUntil("pools of the data centre held by others", LeaseDuration, func() bool { return all() && holds("h2") == 0 })
	t.Logf("handover of a data centre after %v", took)
	c.Assert(sim.change("h1", "out1", dataCentreChange("dc-h1", 1, true)).err, qt.IsNil)
	c.Assert(sim.change("h1", "out3", dataCentreChange("dc-h3", 1, true)).err, qt.IsNil)
	sim.runUntil("pools are held though all data centres are out", 2*LeaseDuration, all)
	c.Assert(holds("r1"), qt.Equals, 0)
}

type fakeOrderSender struct {
	sent   []string
	sentAt []time.Duration
	sim    *simulation
	errs   []error
}

func (s *fakeOrderSender) SendOrder(_ context.Context, address string, o state.Order, fence uint64) error {
	s.sent = append(s.sent, fmt.Sprintf("%s %s %d", address, o.Name, fence))
	s.sentAt = append(s.sentAt, s.sim.now)
	if len(s.errs) > 0 {
		err := s.errs[0]
		s.errs = s.errs[1:]
		return err
	}
	return nil
}

// Orders are sent in sequence and not again after the upstream accepted them. After a
// change of leader, an upstream that does not check fences gets none before fenceWait has
// passed.
func TestOrders(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t, 11, "h1", "h2", "h3")
	s := &fakeOrderSender{sim: sim}
	sim.orders = s
	for _, h := range sim.controlHosts {
		sim.startNode(h)
	}
	sim.formGroup()
	changes := append(fleetChanges(sim.controlHosts, 1), config.Change{Upstream: &config.Upstream{Name: "u", Pool: "p0", DataCentre: "dc-h1", Address: "127.0.0.1:7"}})
	c.Assert(sim.change("h1", "fleet", changes...).err, qt.IsNil)
	order := func(id, name string) state.OrderResult {
		type answer struct {
			r   state.OrderResult
			err error
		}
		a := waitForCall(sim, startCall(sim.clients["h1"], func(ctx context.Context) answer {
			r, err := sim.clients["h1"].IssueOrder(ctx, id, state.Order{Upstream: "u", Kind: state.OrderChangeRole, Name: name})
			return answer{r, err}
		}))
		c.Assert(a.err, qt.IsNil)
		return a.r
	}
	sim.run(fenceWait)
	s.errs = []error{fault.New(fault.UpstreamRefused, fault.NotRun, "refused"), nil, fault.New(fault.UpstreamFailed, fault.MayHaveRun, "broken")}
	first, second := order("o1", "a"), order("o2", "b")
	c.Assert(second.Fence > first.Fence, qt.IsTrue)
	sim.runUntil("both ended", 5*time.Second, func() bool { return len(sim.nodes[sim.leader()].state.Orders()) == 0 })
	line := func(name string, r state.OrderResult) string { return fmt.Sprintf("127.0.0.1:7 %s %d", name, r.Fence) }
	c.Assert(s.sent, qt.DeepEquals, []string{line("a", first), line("a", first), line("b", second)})
	c.Assert(order("o1", "a").Status, qt.Equals, state.OrderAccepted)
	c.Assert(order("o2", "b").Status, qt.Equals, state.OrderFailed)

	sim.stopHost(sim.leader())
	sim.runUntil("another leader", 5*time.Second, func() bool { return sim.leader() != "" })
	if sim.clients["h1"] == nil {
		sim.startClient("h1")
	}
	since := sim.nodes[sim.leader()].lead.since
	third := order("o3", "c")
	sim.runUntil("third order sent", 5*time.Second, func() bool { return len(s.sent) == 4 })
	c.Assert(s.sent[3], qt.Equals, line("c", third))
	c.Assert(s.sentAt[3]-since >= fenceWait, qt.IsTrue)
}

// A large snapshot arrives although some of its chunks are lost.
func TestLargeSnapshotWithLoss(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t, 12, "h1", "h2", "h3")
	sim.snapshotEntries = 4
	for _, h := range sim.controlHosts {
		sim.startNode(h)
	}
	sim.formGroup()
	c.Assert(sim.change("h1", "fleet", fleetChanges(sim.controlHosts, 1)...).err, qt.IsNil)
	changes := make([]config.Change, 6800)
	for i := range changes {
		changes[i] = config.Change{Contract: &config.Contract{Account: fmt.Sprintf("account-%d", i), KeyHashes: []string{fmt.Sprintf("%064x", i)},
			Weight: 1, RequestsPerSecond: 1, Burst: 1, Concurrency: 1, MaxBodyBytes: 1, MaxRun: time.Second, MaxWait: time.Second}}
	}
	c.Assert(sim.change("h1", "many", changes...).err, qt.IsNil)
	for i := uint64(1); i < 8; i++ {
		c.Assert(sim.change("h1", fmt.Sprint("c", i), dataCentreChange("dc-h1", [8]uint64{0, 1, 3, 4, 5, 6, 7, 8}[i], i%2 == 1)).err, qt.IsNil)
	}
	lost := otherControlHosts(sim, sim.leader())[0]
	sim.stopHost(lost)
	sim.disks[lost] = &memoryStorage{id: raft.ReplicaID(99)}
	sim.startNode(lost)
	chunks, dropped := 0, 0
	sim.drop = func(p packet) bool {
		if p.kind != wire.KindChunk {
			return false
		}
		if chunks++; chunks%4 == 0 {
			dropped++
			return true
		}
		return false
	}
	c.Assert(sim.onNode(sim.leader(), func(n *Node) error { return n.ReplaceReplica(t.Context(), "rep", lost, lost) }), qt.IsNil)
	c.Assert(sim.nodes[lost].state.Config().Contracts, qt.HasLen, 6800)
	t.Logf("%d of %d chunks lost", dropped, chunks)
	c.Assert(dropped > 0, qt.IsTrue)
}

// Crash marks reach all hosts, since a new scheduler may run on any of them.
func TestCrashMarksReachAllHosts(t *testing.T) {
	c := qt.New(t)
	sim := newFormedSimulation(t, 13, 1, "r1", "r2")
	waitForCall(sim, startCall(sim.clients["r1"], func(ctx context.Context) error {
		sim.clients["r1"].MarkCrash(ctx, "p0", wire.Digest{7}, "u1")
		return nil
	}))
	sim.run(time.Second)
	c.Assert(sim.clients["r2"].CrashMarks(), qt.HasLen, 1)
	c.Assert(sim.clients["r2"].CrashMarks()[0].Fingerprint, qt.Equals, wire.Digest{7})
}

// Changes of crash marks reach the callback of every host, since each one refuses requests by
// them.
func TestChangedCrashMarksAreReportedToAllHosts(t *testing.T) {
	c := qt.New(t)
	sim := newFormedSimulation(t, 13, 1, "r1", "r2")
	var reported []state.CrashMark
	sim.clients["r2"].OnCrashMarks(func(list []state.CrashMark) { reported = list })
	change := func(added, disproved []state.CrashMark) {
		waitForCall(sim, startCall(sim.clients["r1"], func(ctx context.Context) error {
			sim.clients["r1"].ChangeCrashMarks(ctx, added, disproved)
			return nil
		}))
		sim.run(time.Second)
	}
	marks := []state.CrashMark{{Pool: "p0", Fingerprint: wire.Digest{7}, Upstream: "u1"}, {Pool: "p0", Fingerprint: wire.Digest{8}, Upstream: "u1"}}
	change(marks, nil)
	c.Assert(reported, qt.HasLen, 2)
	change(nil, marks[:1])
	c.Assert(reported, qt.HasLen, 1)
	c.Assert(reported[0].Fingerprint, qt.Equals, wire.Digest{8})
}

// Guards against a lifted quarantine that stays on other hosts, and against one that lifts nothing without an error.
func TestLiftedQuarantineReachesAllHosts(t *testing.T) {
	c := qt.New(t)
	sim := newFormedSimulation(t, 13, 1, "r1", "r2")
	marks := []state.CrashMark{
		{Pool: "p0", Fingerprint: wire.Digest{7}, Upstream: "u1"}, {Pool: "p0", Fingerprint: wire.Digest{7}, Upstream: "u2"},
		{Pool: "p0", Fingerprint: wire.Digest{8}, Upstream: "u1"},
	}
	waitForCall(sim, startCall(sim.clients["r1"], func(ctx context.Context) error {
		sim.clients["r1"].ChangeCrashMarks(ctx, marks, nil)
		return nil
	}))
	sim.run(time.Second)
	lift := func(ctx context.Context) error { return sim.clients["r1"].LiftQuarantine(ctx, wire.Digest{7}) }
	c.Assert(waitForCall(sim, startCall(sim.clients["r1"], lift)), qt.IsNil)
	sim.run(time.Second)
	left := sim.clients["r2"].CrashMarks()
	c.Assert(left, qt.HasLen, 1)
	c.Check(left[0].Fingerprint, qt.Equals, wire.Digest{8})
	c.Check(fault.CodeOf(lift(t.Context())), qt.Equals, fault.NotFound)
}
