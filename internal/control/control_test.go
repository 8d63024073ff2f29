package control

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

func newFormedSimulation(t testing.TB, seed int64, pools int, routers ...string) *simulation {
	sim := newSimulation(t, seed, "h1", "h2", "h3")
	sim.formGroup()
	for _, r := range routers {
		sim.startClient(r)
	}
	if got := sim.change("h1", "fleet", fleetChanges(append(routers, "h1", "h2", "h3"), pools)...); got.err != nil {
		t.Fatal(got.err)
	}
	return sim
}

func otherControlHosts(sim *simulation, h string) []string {
	var out []string
	for _, o := range sim.controlHosts {
		if o != h {
			out = append(out, o)
		}
	}
	return out
}

// After the start, a router gets a confirmed configuration, and every pool gets exactly one
// holder. The pools are spread evenly over the hosts.
func TestStartGivesConfigurationAndLeases(t *testing.T) {
	c := qt.New(t)
	sim := newFormedSimulation(t, 1, 6, "r1")
	r := sim.clients["r1"]
	took := sim.runUntil("configuration and leases", 4*time.Second, func() bool { return r.ConfigCurrent() && len(r.Leases()) == 6 })
	c.Assert(r.Config().Revision, qt.Equals, uint64(1))
	load := map[string]int{}
	for _, l := range r.Leases() {
		load[l.Host]++
	}
	c.Assert(load, qt.HasLen, 4)
	for host, n := range load {
		c.Assert(n <= 2, qt.IsTrue, qt.Commentf("%s holds %d of 6 pools", host, n))
	}
	sim.runUntil("holders know their leases", time.Second, func() bool {
		for _, l := range r.Leases() {
			if f, _, ok := sim.clients[l.Host].HeldUntil(l.Pool); !ok || f != l.Fence {
				return false
			}
		}
		return true
	})
	sim.runUntil("host list", 3*time.Second, func() bool { return len(r.Hosts()) == 4 })
	t.Logf("configuration and leases after %v", took)
}

// When the leader is isolated, acknowledged changes are kept, and it acknowledges no
// further ones.
func TestIsolatedLeader(t *testing.T) {
	c := qt.New(t)
	sim := newFormedSimulation(t, 2, 3, "r1")
	sim.run(4 * time.Second)
	old := sim.leader()
	sim.isolated[old] = true
	// The isolated host's own client proposes to the isolated leader.
	stuck := sim.startChange(old, "stuck", dataCentreChange("dc-r1", 1, true))
	start := sim.now
	sim.runUntil("another leader", 5*time.Second, func() bool { return sim.leader() != "" })
	t.Logf("new leader after %v", sim.now-start)
	got := sim.change("r1", "out", dataCentreChange("dc-r1", 1, true))
	c.Assert(got.err, qt.IsNil)
	sim.runUntil("isolated host knows that it is isolated", 4*time.Second, func() bool { return !sim.clients[old].ConfigCurrent() })
	for pool := range sim.clients[old].Config().Pools {
		_, _, ok := sim.clients[old].HeldUntil(pool)
		c.Assert(ok, qt.IsFalse)
	}
	c.Assert(sim.clients["r1"].ConfigCurrent(), qt.IsTrue)
	sim.runUntil("leases pass to others", 3*time.Second, func() bool {
		for _, l := range sim.clients["r1"].Leases() {
			if l.Host == old {
				return false
			}
		}
		return true
	})
	sim.isolated[old] = false
	res := waitForCall(sim, stuck)
	c.Assert(fault.CodeOf(res.err), qt.Equals, fault.RevisionConflict)
	c.Assert(fault.As(res.err).Revision, qt.Equals, got.revision)
	sim.runUntil("rejoined", 4*time.Second, func() bool {
		return sim.clients[old].ConfigCurrent() && sim.clients[old].Config().Revision == got.revision
	})
}

// When a majority is lost, the outcome of a change is unknown and must not be reported as
// "not run".
func TestNoQuorum(t *testing.T) {
	c := qt.New(t)
	sim := newFormedSimulation(t, 3, 1, "r1")
	sim.stopHost("h2")
	sim.stopHost("h3")
	got := sim.change("r1", "lost", dataCentreChange("dc-r1", 1, true))
	c.Assert(fault.CodeOf(got.err), qt.Equals, fault.Timeout)
	c.Assert(fault.As(got.err).RunState, qt.Equals, fault.MayHaveRun)
	c.Assert(sim.clients["r1"].ConfigCurrent(), qt.IsFalse)
}

// When two operators race with the same expected revision, only one change succeeds. A
// resent change gets the first answer again.
func TestRacingOperatorsAndLostAnswer(t *testing.T) {
	c := qt.New(t)
	sim := newFormedSimulation(t, 4, 1, "r1", "r2")
	a, b := sim.startChange("r1", "a", dataCentreChange("dc-h1", 1, true)), sim.startChange("r2", "b", dataCentreChange("dc-h1", 1, true))
	ra, rb := waitForCall(sim, a), waitForCall(sim, b)
	c.Assert((ra.err == nil) != (rb.err == nil), qt.IsTrue)
	lost := ra
	if ra.err == nil {
		lost = rb
	}
	c.Assert(fault.CodeOf(lost.err), qt.Equals, fault.RevisionConflict)
	c.Assert(fault.As(lost.err).Revision, qt.Equals, uint64(2))

	// The first answers are lost; the client resends with the same request id.
	dropped := 0
	sim.drop = func(p packet) bool {
		if p.to == "r1" && p.kind == wire.KindProposeAck && dropped < 3 {
			dropped++
			return true
		}
		return false
	}
	got := sim.change("r1", "again", dataCentreChange("dc-h1", 2, false))
	c.Assert(got, qt.Equals, changeResult{revision: 3})
	c.Assert(dropped, qt.Equals, 3)
	c.Assert(sim.nodes[sim.leader()].state.Config().Revision, qt.Equals, uint64(3))
	// The operator's program restarts and resends through another host.
	c.Assert(sim.change("r2", "again", dataCentreChange("dc-h1", 2, false)), qt.Equals, got)
}

// When all processes restart, no change is lost and no host goes back to an older
// configuration.
func TestRestartOfAll(t *testing.T) {
	for _, snapN := range []uint64{0, 100} {
		t.Run(fmt.Sprint("snapshot every ", snapN), func(t *testing.T) {
			c := qt.New(t)
			sim := newSimulation(t, 5, "h1", "h2", "h3")
			sim.snapshotEntries = snapN
			for _, h := range sim.controlHosts {
				sim.startNode(h)
			}
			sim.formGroup()
			c.Assert(sim.change("h1", "fleet", fleetChanges(sim.controlHosts, 1)...).err, qt.IsNil)
			for i := uint64(1); i <= 1000; i++ {
				got := sim.change("h1", fmt.Sprint("c", i), dataCentreChange("dc-h2", i, i%2 == 1))
				c.Assert(got, qt.Equals, changeResult{revision: i + 1})
			}
			if snapN > 0 {
				c.Assert(sim.disks["h1"].snapshot.Index > 500, qt.IsTrue)
			}
			sim.queue = nil
			for _, h := range sim.controlHosts {
				sim.stopHost(h)
			}
			real := time.Now()
			for _, h := range sim.controlHosts {
				sim.startNode(h)
				sim.startClient(h)
			}
			took := sim.runUntil("all current", 8*time.Second, func() bool {
				for _, h := range sim.controlHosts {
					if !sim.clients[h].ConfigCurrent() || sim.clients[h].Config().Revision != 1001 {
						return false
					}
				}
				return true
			})
			t.Logf("current after %v of virtual time, %v of work", took, time.Since(real))
			c.Assert(sim.change("h2", "c7", dataCentreChange("dc-h2", 7, true)).revision, qt.Equals, uint64(8))
			c.Assert(sim.clients["h1"].Config().DataCentres["dc-h2"].Out, qt.IsFalse)
		})
	}
}

// A replaced replica must not vote before it holds the log: when a second host is lost
// right after the replacement, no acknowledged change may be missing.
func TestReplaceThenLoseSecondHost(t *testing.T) {
	for seed := range int64(10) {
		c := qt.New(t)
		sim := newSimulation(t, 100+seed, "h1", "h2", "h3")
		sim.snapshotEntries = 20
		for _, h := range sim.controlHosts {
			sim.startNode(h)
		}
		sim.formGroup()
		c.Assert(sim.change("h1", "fleet", fleetChanges(sim.controlHosts, 1)...).err, qt.IsNil)
		lost := otherControlHosts(sim, sim.leader())[0]
		second := otherControlHosts(sim, sim.leader())[1]
		sim.stopHost(lost)
		for i := uint64(1); i <= 50; i++ {
			c.Assert(sim.change(sim.leader(), fmt.Sprint("c", i), dataCentreChange("dc-h1", i, i%2 == 1)).err, qt.IsNil)
		}
		sim.disks[lost] = &memoryStorage{id: 77}
		sim.startNode(lost)
		sim.startClient(lost)
		sim.run(2 * time.Second)
		c.Assert(sim.nodes[lost].raft, qt.IsNil)
		err := sim.onNode(sim.leader(), func(n *Node) error { return n.ReplaceReplica(t.Context(), "rep", lost, lost) })
		c.Assert(err, qt.IsNil)
		c.Assert(sim.nodes[sim.leader()].Status().Members, qt.HasLen, 3)
		sim.stopHost(second)
		got := sim.change(sim.leader(), "after", dataCentreChange("dc-h1", 51, true))
		c.Assert(got, qt.Equals, changeResult{revision: 52})
		sim.runUntil("the replaced replica has all changes", 3*time.Second, func() bool { return sim.nodes[lost].state.Config().Revision == 52 })
	}
}

// Two formations with overlapping hosts cannot both form a group, and hosts that already
// belong to a group refuse another formation.
func TestFormation(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t, 6, "h1", "h2", "h3", "h4")
	sim.run(3 * time.Second)
	c.Assert(sim.leader(), qt.Equals, "")
	form := func(h, id string, hosts ...string) error {
		return sim.onNode(h, func(n *Node) error { return n.Form(t.Context(), id, hosts) })
	}
	c.Assert(fault.CodeOf(form("h1", "x", "h2", "h3")), qt.Equals, fault.BadRequest)
	// h2 has promised to "a", so "b" must not get it.
	sim.drop = func(p packet) bool { return p.to == "h3" }
	job := make(chan error, 1)
	go func() { job <- sim.nodes["h1"].Form(t.Context(), "a", []string{"h1", "h2", "h3"}) }()
	sim.nodes["h1"].handleEvent(<-sim.nodes["h1"].inbox)
	sim.run(time.Second)
	c.Assert(fault.CodeOf(form("h4", "b", "h2", "h4")), qt.Equals, fault.MembershipConflict)
	sim.drop = nil
	sim.runUntil("formed", 3*time.Second, func() bool { return sim.nodes["h1"].formation == nil })
	c.Assert(<-job, qt.IsNil)
	c.Assert(form("h2", "a", "h3", "h2", "h1"), qt.IsNil)
	c.Assert(fault.CodeOf(form("h2", "c", "h1", "h2", "h3")), qt.Equals, fault.AlreadyFormed)
	c.Assert(sim.nodes["h4"].formed(), qt.IsFalse)
}

// Guards against a repeated request id with other hosts that gets a promise given to the
// first hosts, so that two groups form.
func TestFormationRefusesRequestIDWithOtherHosts(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t, 6, "h1", "h2", "h3", "h4")
	n := sim.nodes["h2"]
	replica := uint64(n.opts.Storage.ReplicaID())
	promise := func(hosts ...string) error {
		return n.promiseForm(wire.Form{Op: wire.FormPromise, RequestID: "a", Hosts: hosts})
	}
	c.Assert(promise("h1", "h2", "h3"), qt.IsNil)
	c.Assert(promise("h1", "h2", "h3"), qt.IsNil)
	c.Assert(fault.CodeOf(promise("h2", "h4")), qt.Equals, fault.MembershipConflict)
	err := n.commitForm(wire.Form{
		Op: wire.FormCommit, RequestID: "a", Hosts: []string{"h2", "h4"},
		Members: []wire.FormMember{{ID: replica, Host: "h2"}, {ID: replica + 1, Host: "h4"}},
	})
	c.Assert(fault.CodeOf(err), qt.Equals, fault.MembershipConflict)
	c.Assert(n.formed(), qt.IsFalse)
}

// A delayed FormCommit must not reset a replica that already follows the group's log.
func TestLateFormCommit(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t, 22, "h1", "h2", "h3")
	var late []packet
	sim.drop = func(p packet) bool {
		var m wire.Form
		if p.to == "h3" && p.kind == wire.KindForm && wire.Unmarshal(p.payload, &m) == nil && m.Op == wire.FormCommit && len(late) < 20 {
			late = append(late, p)
			return true
		}
		return p.to == "h3" && p.kind == wire.KindRaft && len(late) == 0
	}
	n := sim.nodes["h1"]
	done := make(chan error, 1)
	go func() { done <- n.Form(t.Context(), "init", sim.controlHosts) }()
	n.handleEvent(<-n.inbox)
	sim.runUntil("h3 follows the log", 6*time.Second, func() bool { return sim.nodes["h3"].raft != nil && sim.nodes["h3"].applied > 1 })
	applied := sim.nodes["h3"].applied
	c.Assert(len(late) > 0, qt.IsTrue)
	sim.queue = append(sim.queue, late[0])
	sim.drop = nil
	sim.runUntil("formed", 5*time.Second, func() bool { return n.formation == nil })
	c.Assert(<-done, qt.IsNil)
	c.Assert(sim.nodes["h3"].applied >= applied, qt.IsTrue)
	c.Assert(sim.nodes["h3"].formed(), qt.IsTrue)
	c.Assert(sim.nodes["h3"].state.FormedBy(), qt.Equals, "init")
}

// A host must not acknowledge changes that it could not write to its log.
func TestStorageFailure(t *testing.T) {
	c := qt.New(t)
	sim := newFormedSimulation(t, 7, 1, "r1")
	old := sim.leader()
	broken := sim.nodes[old]
	sim.disks[old].failure = fault.New(fault.StorageFailed, "", "disk full")
	got := sim.change("r1", "x", dataCentreChange("dc-h1", 1, true))
	c.Assert(got, qt.Equals, changeResult{revision: 2})
	c.Assert(broken.Status().Failure, qt.Contains, "storage_failed")
	c.Assert(sim.nodes[old], qt.IsNil)
	sim.runUntil("the host goes on as a router", 4*time.Second, func() bool {
		return sim.clients[old].ConfigCurrent() && sim.clients[old].Config().Revision == 2
	})
}

// A configuration that does not fit into one frame arrives, and late or repeated messages
// with an old configuration are ignored.
func TestLargeConfigurationAndLateMessages(t *testing.T) {
	c := qt.New(t)
	sim := newFormedSimulation(t, 8, 1)
	changes := make([]config.Change, 6800)
	for i := range changes {
		changes[i] = config.Change{Contract: &config.Contract{Account: fmt.Sprintf("account-%d", i), KeyHashes: []string{fmt.Sprintf("%064x", i)},
			Weight: 1, RequestsPerSecond: 1, Burst: 1, Concurrency: 1, MaxBodyBytes: 1, MaxRun: time.Second, MaxWait: time.Second, Pools: []string{"p0"}}}
	}
	c.Assert(sim.change("h1", "many", changes...), qt.Equals, changeResult{revision: 2})
	var late []packet
	sim.drop = func(p packet) bool {
		if p.kind == wire.KindRenewAck && p.to == "r9" {
			late = append(late, p)
		}
		return false
	}
	r := sim.startClient("r9")
	highest := uint64(0)
	sim.check = func() {
		if rev := r.Config().Revision; rev < highest {
			t.Fatalf("revision went back from %d to %d", highest, rev)
		} else {
			highest = rev
		}
	}
	sim.runUntil("a new router gets the configuration", 4*time.Second, func() bool { return r.ConfigCurrent() })
	c.Assert(r.Config().Contracts, qt.HasLen, 6800)
	for i, expected := range []uint64{1, 3, 4} {
		c.Assert(sim.change("h2", fmt.Sprint("s", i), dataCentreChange("dc-h1", expected, i%2 == 0)).err, qt.IsNil)
	}
	sim.run(time.Second)
	sim.queue = append(sim.queue, late...)
	sim.run(time.Second)
	c.Assert(r.Config().Revision, qt.Equals, uint64(5))
}
