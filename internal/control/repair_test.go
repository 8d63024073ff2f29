package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/raft"
	"marigoldshunt/internal/wire"
)

// catchUpLimit is the time in which a returned or new replica has to become a voter.
const catchUpLimit = 4 * time.Second

func newRepairingSimulation(t *testing.T, seed int64) *simulation {
	sim := newSimulation(t, seed)
	sim.controlHosts = []string{"a", "b", "c"}
	sim.seeds = []string{"a", "b", "c"}
	for _, h := range sim.controlHosts {
		sim.startBlankHost(h)
	}
	sim.formGroup()
	return sim
}

// startBlankHost starts a host with an empty disk.
func (sim *simulation) startBlankHost(h string) {
	sim.disks[h] = &memoryStorage{id: raft.ReplicaID(sim.rng.Uint64() | 1)}
	sim.startNode(h)
	sim.startClient(h)
}

// voters lists the voters as the leader sees them.
func (sim *simulation) voters() []string {
	n := sim.nodes[sim.leader()]
	if n == nil {
		return nil
	}
	var out []string
	for _, m := range n.raft.Status().Members {
		if !m.Learner {
			out = append(out, m.Host)
		}
	}
	slices.Sort(out)
	return out
}

// fullyRepaired reports whether exactly the replicas on the current disks are the voters.
// Before that, losing a second disk may exceed what the group tolerates.
func (sim *simulation) fullyRepaired() bool {
	n := sim.nodes[sim.leader()]
	if n == nil {
		return false
	}
	members := n.raft.Status().Members
	for _, h := range sim.controlHosts {
		if !slices.Contains(members, raft.Member{ID: sim.disks[h].id, Host: h}) {
			return false
		}
	}
	return len(members) == len(sim.controlHosts)
}

func (sim *simulation) follower() string {
	for _, h := range sim.controlHosts {
		if h != sim.leader() && sim.nodes[h] != nil {
			return h
		}
	}
	return ""
}

// A replica that lost its disk rejoins without an operator and must not vote under its
// former replica id.
func TestWipedReplicaRejoinsAutomatically(t *testing.T) {
	for seed := range int64(20) {
		sim := newRepairingSimulation(t, seed)
		c := qt.New(t)
		c.Assert(sim.change("a", "r1", dataCentreChange("x", 0, false)).err, qt.IsNil)
		lost := sim.controlHosts[seed%3]
		former := sim.disks[lost].id
		sim.stopHost(lost)
		sim.run(time.Duration(seed) * 100 * time.Millisecond)
		sim.startBlankHost(lost)
		sim.runUntil("three voters", catchUpLimit, func() bool {
			n := sim.nodes[sim.leader()]
			return len(sim.voters()) == 3 && !slices.ContainsFunc(n.raft.Status().Members, func(m raft.Member) bool { return m.ID == former })
		})
		// The group survives the loss of a second host right after.
		second := sim.follower()
		sim.stopHost(second)
		c.Assert(sim.change(sim.leader(), "r2", dataCentreChange("y", 0, false)).err, qt.IsNil, qt.Commentf("seed %d", seed))
	}
}

// A new host finds the group and replaces a lost voter. Otherwise the next loss would stop
// the group.
func TestNewHostReplacesLostVoter(t *testing.T) {
	for seed := range int64(20) {
		sim := newRepairingSimulation(t, seed)
		c := qt.New(t)
		lost := sim.controlHosts[seed%3]
		sim.stopHost(lost)
		sim.run(time.Second)
		sim.controlHosts = append(sim.controlHosts, "d")
		sim.startBlankHost("d")
		want := slices.Clone([]string{"a", "b", "c", "d"})
		want = slices.DeleteFunc(want, func(h string) bool { return h == lost })
		sim.runUntil("the new host in the place of the lost one", catchUpLimit, func() bool { return slices.Equal(sim.voters(), want) })
		sim.stopHost(sim.follower())
		c.Assert(sim.change(sim.leader(), "r2", dataCentreChange("y", 0, false)).err, qt.IsNil, qt.Commentf("seed %d", seed))
	}
}

// A partition must not make the group remove a voter without a replacement.
func TestPartitionedVoterStaysMember(t *testing.T) {
	sim := newRepairingSimulation(t, 1)
	c := qt.New(t)
	follower := sim.follower()
	sim.isolated[follower] = true
	sim.run(20 * time.Second)
	c.Assert(sim.voters(), qt.DeepEquals, []string{"a", "b", "c"})
	sim.isolated[follower] = false
	sim.run(2 * time.Second)
	c.Assert(sim.voters(), qt.DeepEquals, []string{"a", "b", "c"})
}

// A voter that is replaced during a partition joins again afterwards.
func TestReplacedVoterJoinsAgain(t *testing.T) {
	sim := newRepairingSimulation(t, 3)
	follower := sim.follower()
	sim.isolated[follower] = true
	sim.run(unreachableAfter + time.Second)
	sim.controlHosts = append(sim.controlHosts, "d")
	sim.startBlankHost("d")
	sim.runUntil("the new host in the place of the silent one", catchUpLimit, func() bool {
		return len(sim.voters()) == 3 && !slices.Contains(sim.voters(), follower)
	})
	sim.isolated[follower] = false
	sim.runUntil("four voters", 2*catchUpLimit, func() bool { return len(sim.voters()) == 4 })
}

// Hosts that restart with seeds outside the control group find the leader.
func TestSeedsWithoutControlRoleLearnTheLeader(t *testing.T) {
	sim := newRepairingSimulation(t, 5)
	for _, h := range sim.controlHosts {
		sim.stopHost(h)
	}
	sim.seeds = []string{"s1", "s2"}
	for _, h := range sim.controlHosts {
		sim.startNode(h)
		sim.startClient(h)
	}
	for _, h := range []string{"s1", "s2"} {
		sim.startClient(h)
	}
	sim.runUntil("confirmed seeds", 5*time.Second, func() bool { return sim.clients["s1"].ConfigCurrent() && sim.clients["s2"].ConfigCurrent() })
}

// The group must not split into two: at most one leader acts while replicas lose their
// disks, are replaced, partitioned and restarted at random, and no acknowledged change is
// lost while the majority keeps its disks.
func TestRandomRepairs(t *testing.T) {
	for seed := range int64(40) {
		sim := newRepairingSimulation(t, 100+seed)
		c := qt.New(t)
		acked := 0
		for round := range 8 {
			h := sim.controlHosts[sim.rng.Intn(len(sim.controlHosts))]
			switch sim.rng.Intn(4) {
			case 0:
				sim.stopHost(h)
				sim.run(time.Duration(sim.rng.Intn(2000)) * time.Millisecond)
				sim.startBlankHost(h)
			case 1:
				sim.stopHost(h)
				sim.run(time.Duration(sim.rng.Intn(2000)) * time.Millisecond)
				sim.startNode(h)
				sim.startClient(h)
			case 2:
				sim.isolated[h] = true
				sim.run(time.Duration(sim.rng.Intn(5000)) * time.Millisecond)
				sim.isolated[h] = false
			case 3:
				sim.run(time.Duration(sim.rng.Intn(1000)) * time.Millisecond)
			}
			sim.t = labelledTB{t, fmt.Sprintf("seed %d round %d voters %v", 100+seed, round, sim.voters())}
			sim.runUntil("a fully repaired group", 15*time.Second, sim.fullyRepaired)
			if sim.change(sim.leader(), fmt.Sprint("r", round), dataCentreChange(fmt.Sprint("x", round), 0, false)).err == nil {
				acked++
			}
		}
		c.Assert(acked, qt.Equals, 8, qt.Commentf("seed %d", 100+seed))
		c.Assert(sim.nodes[sim.leader()].state.Config().DataCentres, qt.HasLen, 8, qt.Commentf("seed %d", 100+seed))
	}
}

// labelledTB adds a label for the test case to failures.
type labelledTB struct {
	testing.TB
	label string
}

func (n labelledTB) Fatalf(format string, args ...any) {
	n.Helper()
	n.TB.Fatalf(n.label+": "+format, args...)
}

// The configuration is confirmed again only by the answer to a later Renew.
func TestConfirmNeedsALaterRenew(t *testing.T) {
	sim := newRepairingSimulation(t, 7)
	c := qt.New(t)
	client := sim.clients["a"]
	sim.runUntil("a confirmed configuration", 5*time.Second, client.ConfigCurrent)
	sim.drop = func(p packet) bool { return p.kind == wire.KindRenewAck }
	sim.run(time.Second)
	client.mu.Lock()
	before := client.confirmedAt
	client.mu.Unlock()
	c.Assert(before < sim.now-900*time.Millisecond, qt.IsTrue)
	c.Assert(client.ConfigCurrent(), qt.IsTrue)
	sim.drop = nil
	sim.runUntil("a later confirmation", 2*time.Second, func() bool {
		client.mu.Lock()
		defer client.mu.Unlock()
		return client.confirmedAt > before
	})
}
