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

// catchUp is the time in which a returned or new replica has to be a voter again.
const catchUp = 4 * time.Second

func repairingWorld(t *testing.T, seed int64) *world {
	w := newWorld(t, seed)
	w.control = []string{"a", "b", "c"}
	w.seeds = []string{"a", "b", "c"}
	for _, h := range w.control {
		w.addDisk(h)
	}
	w.form()
	return w
}

// addDisk starts a host with an empty disk.
func (w *world) addDisk(h string) {
	w.disks[h] = &memory{id: raft.ReplicaID(w.rng.Uint64() | 1)}
	w.startNode(h)
	w.startClient(h)
}

// voters lists the voters as the leader sees them.
func (w *world) voters() []string {
	n := w.nodes[w.leader()]
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

// whole reports whether exactly the replicas on the present disks are the voters. Before
// that, a second lost disk may be one more than the group bears.
func (w *world) whole() bool {
	n := w.nodes[w.leader()]
	if n == nil {
		return false
	}
	members := n.raft.Status().Members
	for _, h := range w.control {
		if !slices.Contains(members, raft.Member{ID: w.disks[h].id, Host: h}) {
			return false
		}
	}
	return len(members) == len(w.control)
}

func (w *world) follower() string {
	for _, h := range w.control {
		if h != w.leader() && w.nodes[h] != nil {
			return h
		}
	}
	return ""
}

// Guards against a wiped replica that waits for an operator, or votes as its former self.
func TestWipedReplicaJoinsByItself(t *testing.T) {
	for seed := range int64(20) {
		w := repairingWorld(t, seed)
		c := qt.New(t)
		c.Assert(w.change("a", "r1", centre("x", 0, false)).err, qt.IsNil)
		lost := w.control[seed%3]
		former := w.disks[lost].id
		w.kill(lost)
		w.run(time.Duration(seed) * 100 * time.Millisecond)
		w.addDisk(lost)
		w.until("three voters", catchUp, func() bool {
			n := w.nodes[w.leader()]
			return len(w.voters()) == 3 && !slices.ContainsFunc(n.raft.Status().Members, func(m raft.Member) bool { return m.ID == former })
		})
		// A second loss right after is survived.
		second := w.follower()
		w.kill(second)
		c.Assert(w.change(w.leader(), "r2", centre("y", 0, false)).err, qt.IsNil, qt.Commentf("seed %d", seed))
	}
}

// Guards against a group that keeps a lost host, so that the next loss stops it, and
// against a new host that does not find the group.
func TestReplacedHostTakesThePlaceOfTheLostOne(t *testing.T) {
	for seed := range int64(20) {
		w := repairingWorld(t, seed)
		c := qt.New(t)
		lost := w.control[seed%3]
		w.kill(lost)
		w.run(time.Second)
		w.control = append(w.control, "d")
		w.addDisk("d")
		want := slices.Clone([]string{"a", "b", "c", "d"})
		want = slices.DeleteFunc(want, func(h string) bool { return h == lost })
		w.until("the new host in the place of the lost one", catchUp, func() bool { return slices.Equal(w.voters(), want) })
		w.kill(w.follower())
		c.Assert(w.change(w.leader(), "r2", centre("y", 0, false)).err, qt.IsNil, qt.Commentf("seed %d", seed))
	}
}

// Guards against a partition that shrinks the group.
func TestCutOffVoterStaysMember(t *testing.T) {
	w := repairingWorld(t, 1)
	c := qt.New(t)
	cut := w.follower()
	w.cut[cut] = true
	w.run(20 * time.Second)
	c.Assert(w.voters(), qt.DeepEquals, []string{"a", "b", "c"})
	w.cut[cut] = false
	w.run(2 * time.Second)
	c.Assert(w.voters(), qt.DeepEquals, []string{"a", "b", "c"})
}

// Guards against a voter that was replaced while it was only cut off and never returns.
func TestReplacedVoterJoinsAgain(t *testing.T) {
	w := repairingWorld(t, 3)
	cut := w.follower()
	w.cut[cut] = true
	w.run(unreachableAfter + time.Second)
	w.control = append(w.control, "d")
	w.addDisk("d")
	w.until("the new host in the place of the silent one", catchUp, func() bool {
		return len(w.voters()) == 3 && !slices.Contains(w.voters(), cut)
	})
	w.cut[cut] = false
	w.until("four voters", 2*catchUp, func() bool { return len(w.voters()) == 4 })
}

// Guards against hosts that restart with seeds outside the control group and never find it.
func TestSeedsWithoutControlRoleLearnTheLeader(t *testing.T) {
	w := repairingWorld(t, 5)
	for _, h := range w.control {
		w.kill(h)
	}
	w.seeds = []string{"s1", "s2"}
	for _, h := range w.control {
		w.startNode(h)
		w.startClient(h)
	}
	for _, h := range []string{"s1", "s2"} {
		w.startClient(h)
	}
	w.until("confirmed seeds", 5*time.Second, func() bool { return w.clients["s1"].Current() && w.clients["s2"].Current() })
}

// Guards against two histories: at most one leader acts while replicas are wiped,
// replaced, cut and restarted at random, and no acknowledged change is lost while the
// majority keeps its disks.
func TestRandomRepairs(t *testing.T) {
	for seed := range int64(40) {
		w := repairingWorld(t, 100+seed)
		c := qt.New(t)
		acked := 0
		for round := range 8 {
			h := w.control[w.rng.Intn(len(w.control))]
			switch w.rng.Intn(4) {
			case 0:
				w.kill(h)
				w.run(time.Duration(w.rng.Intn(2000)) * time.Millisecond)
				w.addDisk(h)
			case 1:
				w.kill(h)
				w.run(time.Duration(w.rng.Intn(2000)) * time.Millisecond)
				w.startNode(h)
				w.startClient(h)
			case 2:
				w.cut[h] = true
				w.run(time.Duration(w.rng.Intn(5000)) * time.Millisecond)
				w.cut[h] = false
			case 3:
				w.run(time.Duration(w.rng.Intn(1000)) * time.Millisecond)
			}
			w.t = named{t, fmt.Sprintf("seed %d round %d voters %v", 100+seed, round, w.voters())}
			w.until("a whole group", 15*time.Second, w.whole)
			if w.change(w.leader(), fmt.Sprint("r", round), centre(fmt.Sprint("x", round), 0, false)).err == nil {
				acked++
			}
		}
		c.Assert(acked, qt.Equals, 8, qt.Commentf("seed %d", 100+seed))
		c.Assert(w.nodes[w.leader()].st.Config().DataCentres, qt.HasLen, 8, qt.Commentf("seed %d", 100+seed))
	}
}

// named adds the case to failures.
type named struct {
	testing.TB
	what string
}

func (n named) Fatalf(format string, args ...any) {
	n.Helper()
	n.TB.Fatalf(n.what+": "+format, args...)
}

// Guards against an answer that was confirmed before the question.
func TestConfirmNeedsALaterRenew(t *testing.T) {
	w := repairingWorld(t, 7)
	c := qt.New(t)
	client := w.clients["a"]
	w.until("a confirmed configuration", 5*time.Second, client.Current)
	w.drop = func(p packet) bool { return p.kind == wire.KindRenewAck }
	w.run(time.Second)
	client.mu.Lock()
	before := client.confirmedAt
	client.mu.Unlock()
	c.Assert(before < w.now-900*time.Millisecond, qt.IsTrue)
	c.Assert(client.Current(), qt.IsTrue)
	w.drop = nil
	w.until("a later confirmation", 2*time.Second, func() bool {
		client.mu.Lock()
		defer client.mu.Unlock()
		return client.confirmedAt > before
	})
}
