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

func formed(t testing.TB, seed int64, pools int, routers ...string) *world {
	w := newWorld(t, seed, "h1", "h2", "h3")
	w.form()
	for _, r := range routers {
		w.startClient(r)
	}
	if got := w.change("h1", "fleet", fleet(append(routers, "h1", "h2", "h3"), pools)...); got.err != nil {
		t.Fatal(got.err)
	}
	return w
}

func others(w *world, h string) []string {
	var out []string
	for _, o := range w.control {
		if o != h {
			out = append(out, o)
		}
	}
	return out
}

// Guards against a router that serves with a configuration that was never confirmed,
// and against pools that nobody or everybody holds.
func TestFleetStarts(t *testing.T) {
	c := qt.New(t)
	w := formed(t, 1, 6, "r1")
	r := w.clients["r1"]
	took := w.until("configuration and leases", 4*time.Second, func() bool { return r.Current() && len(r.Leases()) == 6 })
	c.Assert(r.Config().Revision, qt.Equals, uint64(1))
	load := map[string]int{}
	for _, l := range r.Leases() {
		load[l.Host]++
	}
	c.Assert(load, qt.HasLen, 4)
	for host, n := range load {
		c.Assert(n <= 2, qt.IsTrue, qt.Commentf("%s holds %d of 6 pools", host, n))
	}
	w.until("holders know", time.Second, func() bool {
		for _, l := range r.Leases() {
			if f, _, ok := w.clients[l.Host].HeldUntil(l.Pool); !ok || f != l.Fence {
				return false
			}
		}
		return true
	})
	w.until("host list", 3*time.Second, func() bool { return len(r.Hosts()) == 4 })
	t.Logf("configuration and leases after %v", took)
}

// Guards against acknowledged changes that are lost with the leader, and against a
// leader that keeps acknowledging after it was isolated.
func TestIsolatedLeader(t *testing.T) {
	c := qt.New(t)
	w := formed(t, 2, 3, "r1")
	w.run(4 * time.Second)
	old := w.leader()
	w.cut[old] = true
	// The isolated host's own client proposes to the isolated leader.
	stuck := w.ask(old, "stuck", centre("dc-r1", 1, true))
	start := w.now
	w.until("another leader", 5*time.Second, func() bool { return w.leader() != "" })
	t.Logf("new leader after %v", w.now-start)
	got := w.change("r1", "out", centre("dc-r1", 1, true))
	c.Assert(got.err, qt.IsNil)
	w.until("isolated host knows that it is isolated", 4*time.Second, func() bool { return !w.clients[old].Current() })
	for pool := range w.clients[old].Config().Pools {
		_, _, ok := w.clients[old].HeldUntil(pool)
		c.Assert(ok, qt.IsFalse)
	}
	c.Assert(w.clients["r1"].Current(), qt.IsTrue)
	w.until("leases pass to others", 3*time.Second, func() bool {
		for _, l := range w.clients["r1"].Leases() {
			if l.Host == old {
				return false
			}
		}
		return true
	})
	w.cut[old] = false
	res := wait(w, stuck)
	c.Assert(fault.CodeOf(res.err), qt.Equals, fault.RevisionConflict)
	c.Assert(fault.As(res.err).Revision, qt.Equals, got.revision)
	w.until("rejoined", 4*time.Second, func() bool {
		return w.clients[old].Current() && w.clients[old].Config().Revision == got.revision
	})
}

// Guards against an unknown outcome that is reported as "not run".
func TestNoQuorum(t *testing.T) {
	c := qt.New(t)
	w := formed(t, 3, 1, "r1")
	w.kill("h2")
	w.kill("h3")
	got := w.change("r1", "lost", centre("dc-r1", 1, true))
	c.Assert(fault.CodeOf(got.err), qt.Equals, fault.Timeout)
	c.Assert(fault.As(got.err).Run, qt.Equals, fault.MayHaveRun)
	c.Assert(w.clients["r1"].Current(), qt.IsFalse)
}

// Guards against two winners when operators race with equal numbers, and against a
// resend that gets another answer than the first.
func TestRacingOperatorsAndLostAnswer(t *testing.T) {
	c := qt.New(t)
	w := formed(t, 4, 1, "r1", "r2")
	a, b := w.ask("r1", "a", centre("dc-h1", 1, true)), w.ask("r2", "b", centre("dc-h1", 1, true))
	ra, rb := wait(w, a), wait(w, b)
	c.Assert((ra.err == nil) != (rb.err == nil), qt.IsTrue)
	lost := ra
	if ra.err == nil {
		lost = rb
	}
	c.Assert(fault.CodeOf(lost.err), qt.Equals, fault.RevisionConflict)
	c.Assert(fault.As(lost.err).Revision, qt.Equals, uint64(2))

	// The first answers are lost; the client resends with the same request id.
	dropped := 0
	w.drop = func(p packet) bool {
		if p.to == "r1" && p.kind == wire.KindProposeAck && dropped < 3 {
			dropped++
			return true
		}
		return false
	}
	got := w.change("r1", "again", centre("dc-h1", 2, false))
	c.Assert(got, qt.Equals, changed{revision: 3})
	c.Assert(dropped, qt.Equals, 3)
	c.Assert(w.nodes[w.leader()].st.Config().Revision, qt.Equals, uint64(3))
	// The operator's program starts again and resends by another host.
	c.Assert(w.change("r2", "again", centre("dc-h1", 2, false)), qt.Equals, got)
}

// Guards against changes that are lost when all processes restart, and against hosts
// that go back to an older configuration.
func TestRestartOfAll(t *testing.T) {
	for _, snapN := range []uint64{0, 100} {
		t.Run(fmt.Sprint("snapshot every ", snapN), func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(t, 5, "h1", "h2", "h3")
			w.snapN = snapN
			for _, h := range w.control {
				w.startNode(h)
			}
			w.form()
			c.Assert(w.change("h1", "fleet", fleet(w.control, 1)...).err, qt.IsNil)
			for i := uint64(1); i <= 1000; i++ {
				got := w.change("h1", fmt.Sprint("c", i), centre("dc-h2", i, i%2 == 1))
				c.Assert(got, qt.Equals, changed{revision: i + 1})
			}
			if snapN > 0 {
				c.Assert(w.disks["h1"].snap.Index > 500, qt.IsTrue)
			}
			w.queue = nil
			for _, h := range w.control {
				w.kill(h)
			}
			real := time.Now()
			for _, h := range w.control {
				w.startNode(h)
				w.startClient(h)
			}
			took := w.until("all current", 8*time.Second, func() bool {
				for _, h := range w.control {
					if !w.clients[h].Current() || w.clients[h].Config().Revision != 1001 {
						return false
					}
				}
				return true
			})
			t.Logf("current after %v of virtual time, %v of work", took, time.Since(real))
			c.Assert(w.change("h2", "c7", centre("dc-h2", 7, true)).revision, qt.Equals, uint64(8))
			c.Assert(w.clients["h1"].Config().DataCentres["dc-h2"].Out, qt.IsFalse)
		})
	}
}

// Guards against a repaired host that votes before it holds the log: a second host is
// lost right after the repair, and no acknowledged change may be missing.
func TestReplaceThenLoseSecondHost(t *testing.T) {
	for seed := range int64(10) {
		c := qt.New(t)
		w := newWorld(t, 100+seed, "h1", "h2", "h3")
		w.snapN = 20
		for _, h := range w.control {
			w.startNode(h)
		}
		w.form()
		c.Assert(w.change("h1", "fleet", fleet(w.control, 1)...).err, qt.IsNil)
		lost := others(w, w.leader())[0]
		second := others(w, w.leader())[1]
		w.kill(lost)
		for i := uint64(1); i <= 50; i++ {
			c.Assert(w.change(w.leader(), fmt.Sprint("c", i), centre("dc-h1", i, i%2 == 1)).err, qt.IsNil)
		}
		w.disks[lost] = &memory{id: 77}
		w.startNode(lost)
		w.startClient(lost)
		w.run(2 * time.Second)
		c.Assert(w.nodes[lost].raft, qt.IsNil)
		err := w.onNode(w.leader(), func(n *Node) error { return n.Replace(t.Context(), "rep", lost, lost) })
		c.Assert(err, qt.IsNil)
		c.Assert(w.nodes[w.leader()].Status().Members, qt.HasLen, 3)
		w.kill(second)
		got := w.change(w.leader(), "after", centre("dc-h1", 51, true))
		c.Assert(got, qt.Equals, changed{revision: 52})
		w.until("the repaired host has all", 3*time.Second, func() bool { return w.nodes[lost].st.Config().Revision == 52 })
	}
}

// Guards against two groups from one set of hosts and against a second formation.
func TestFormation(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 6, "h1", "h2", "h3", "h4")
	w.run(3 * time.Second)
	c.Assert(w.leader(), qt.Equals, "")
	form := func(h, id string, hosts ...string) error {
		return w.onNode(h, func(n *Node) error { return n.Form(t.Context(), id, hosts) })
	}
	c.Assert(fault.CodeOf(form("h1", "x", "h2", "h3")), qt.Equals, fault.BadRequest)
	// h2 has promised to "a", so "b" must not get it.
	w.drop = func(p packet) bool { return p.to == "h3" }
	job := make(chan error, 1)
	go func() { job <- w.nodes["h1"].Form(t.Context(), "a", []string{"h1", "h2", "h3"}) }()
	w.nodes["h1"].event(<-w.nodes["h1"].inbox)
	w.run(time.Second)
	c.Assert(fault.CodeOf(form("h4", "b", "h2", "h4")), qt.Equals, fault.MembershipConflict)
	w.drop = nil
	w.until("formed", 3*time.Second, func() bool { return w.nodes["h1"].form == nil })
	c.Assert(<-job, qt.IsNil)
	c.Assert(form("h2", "a", "h3", "h2", "h1"), qt.IsNil)
	c.Assert(fault.CodeOf(form("h2", "c", "h1", "h2", "h3")), qt.Equals, fault.AlreadyFormed)
	c.Assert(w.nodes["h4"].formed(), qt.IsFalse)
}

// Guards against a late commit of the formation that resets a replica which already
// follows the group.
func TestLateFormCommit(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 22, "h1", "h2", "h3")
	var late []packet
	w.drop = func(p packet) bool {
		var m wire.Form
		if p.to == "h3" && p.kind == wire.KindForm && wire.Unmarshal(p.payload, &m) == nil && m.Op == wire.FormCommit && len(late) < 20 {
			late = append(late, p)
			return true
		}
		return p.to == "h3" && p.kind == wire.KindRaft && len(late) == 0
	}
	n := w.nodes["h1"]
	done := make(chan error, 1)
	go func() { done <- n.Form(t.Context(), "init", w.control) }()
	n.event(<-n.inbox)
	w.until("h3 follows the log", 6*time.Second, func() bool { return w.nodes["h3"].raft != nil && w.nodes["h3"].applied > 1 })
	applied := w.nodes["h3"].applied
	c.Assert(len(late) > 0, qt.IsTrue)
	w.queue = append(w.queue, late[0])
	w.drop = nil
	w.until("formed", 5*time.Second, func() bool { return n.form == nil })
	c.Assert(<-done, qt.IsNil)
	c.Assert(w.nodes["h3"].applied >= applied, qt.IsTrue)
	c.Assert(w.nodes["h3"].formed(), qt.IsTrue)
	c.Assert(w.nodes["h3"].st.FormedBy(), qt.Equals, "init")
}

// Guards against a host that acknowledges what it could not write.
func TestStorageFailure(t *testing.T) {
	c := qt.New(t)
	w := formed(t, 7, 1, "r1")
	old := w.leader()
	broken := w.nodes[old]
	w.disks[old].fail = fault.New(fault.StorageFailed, "", "disk full")
	got := w.change("r1", "x", centre("dc-h1", 1, true))
	c.Assert(got, qt.Equals, changed{revision: 2})
	c.Assert(broken.Status().Failure, qt.Contains, "storage_failed")
	c.Assert(w.nodes[old], qt.IsNil)
	w.until("the host goes on as a router", 4*time.Second, func() bool {
		return w.clients[old].Current() && w.clients[old].Config().Revision == 2
	})
}

// Guards against hosts that apply an old configuration from a late or repeated message,
// and against a large configuration that does not fit into a frame.
func TestLargeConfigurationAndLateMessages(t *testing.T) {
	c := qt.New(t)
	w := formed(t, 8, 1)
	chs := make([]config.Change, 6800)
	for i := range chs {
		chs[i] = config.Change{Contract: &config.Contract{Account: fmt.Sprintf("account-%d", i), KeyHashes: []string{fmt.Sprintf("%064x", i)},
			Weight: 1, RequestsPerSecond: 1, Burst: 1, Concurrency: 1, MaxBodyBytes: 1, MaxRun: time.Second, MaxWait: time.Second, Pools: []string{"p0"}}}
	}
	c.Assert(w.change("h1", "many", chs...), qt.Equals, changed{revision: 2})
	var late []packet
	w.drop = func(p packet) bool {
		if p.kind == wire.KindRenewAck && p.to == "r9" {
			late = append(late, p)
		}
		return false
	}
	r := w.startClient("r9")
	highest := uint64(0)
	w.check = func() {
		if rev := r.Config().Revision; rev < highest {
			t.Fatalf("revision went back from %d to %d", highest, rev)
		} else {
			highest = rev
		}
	}
	w.until("an empty router learns the configuration", 4*time.Second, func() bool { return r.Current() })
	c.Assert(r.Config().Contracts, qt.HasLen, 6800)
	for i, expected := range []uint64{1, 3, 4} {
		c.Assert(w.change("h2", fmt.Sprint("s", i), centre("dc-h1", expected, i%2 == 0)).err, qt.IsNil)
	}
	w.run(time.Second)
	w.queue = append(w.queue, late...)
	w.run(time.Second)
	c.Assert(r.Config().Revision, qt.Equals, uint64(5))
}
