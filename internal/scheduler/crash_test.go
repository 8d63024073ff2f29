package scheduler

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/sched"
	"marigoldshunt/internal/wire"
)

// crashFixture sends one request again and again while its marks are being written.
type crashFixture struct {
	*fixture
	stop func()
}

func newCrashFixture(t *testing.T) *crashFixture {
	f := newFixture(t)
	v := f.cfg.Upstreams["u"]
	v.Name, v.Address = "v", "127.0.0.1:2"
	w := v
	w.Name, w.Address = "w", "127.0.0.1:3"
	f.cfg.Upstreams["v"], f.cfg.Upstreams["w"] = v, w
	f.crash.written = make(chan struct{})
	f.s.ticks = make(chan time.Time)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.s.Run(ctx) }()
	f.gainLease(1, false)
	for _, u := range []string{"u", "v", "w"} {
		f.s.applyLoad(pollJob{fence: 1, upstream: u}, f.clock.Now(), LoadReport{Instance: u + "1"})
	}
	f.takeSent()
	return &crashFixture{f, func() {
		cancel()
		f.c.Check(<-done, qt.IsNil)
	}}
}

// sendCrashing submits the request that crashes upstreams.
func (f *crashFixture) sendCrashing() {
	t := f.ticket("r", 1)
	t.Fingerprint = wire.Digest{200}
	f.handle("r", 1, wire.KindTicket, &t)
}

// breakUpstream breaks the connection of a grant and restarts its upstream.
func (f *crashFixture) breakUpstream(g *wire.Grant) {
	f.handle("r", 1, wire.KindFinish, &wire.Finish{ID: g.ID, Pool: "m", Upstream: g.Upstream, Outcome: wire.OutcomeBroken, Queued: -1})
	f.s.applyLoad(pollJob{fence: 1, upstream: g.Upstream}, f.clock.Now(), LoadReport{Instance: g.Upstream + "2"})
}

// beginMark breaks the upstream of a grant and waits until the write of its mark has begun.
func (f *crashFixture) beginMark(g *wire.Grant) {
	f.breakUpstream(g)
	f.c.Assert(<-f.crash.marks, qt.Equals, "m/"+g.Upstream)
}

// quarantine lets the request crash two upstreams. The second mark is not written.
func (f *crashFixture) quarantine() {
	f.sendCrashing()
	f.beginMark(f.wantGrants(1)[0])
	f.sendCrashing()
	f.crash.written <- struct{}{}
	f.beginMark((<-f.sender.messages).msg.(*wire.Grant))
}

// Guards against a request that crashes a third upstream because its scheduler's host was
// lost after it had refused the request and before the log held the marks.
func TestCrashingRequestWaitsUntilItsMarksAreWritten(t *testing.T) {
	f := newCrashFixture(t)
	f.sendCrashing()
	f.beginMark(f.wantGrants(1)[0])
	f.sendCrashing()
	grants, refused, _ := f.takeSent()
	f.c.Assert([]int{len(grants), len(refused)}, qt.DeepEquals, []int{0, 0}, qt.Commentf("one mark, not written"))
	// Other requests do not wait.
	f.submit("r")
	f.wantGrants(1)
	other := f.ticket("r", 1)
	other.Account = "unknown"
	f.handle("r", 1, wire.KindTicket, &other)
	f.c.Assert(f.wantRefusal().Code, qt.Equals, fault.PoolNotAllowed)

	f.crash.written <- struct{}{}
	f.beginMark((<-f.sender.messages).msg.(*wire.Grant))
	f.sendCrashing()
	grants, refused, _ = f.takeSent()
	f.c.Assert([]int{len(grants), len(refused)}, qt.DeepEquals, []int{0, 0}, qt.Commentf("two marks, one not written"))
	f.crash.written <- struct{}{}
	f.c.Assert((<-f.sender.messages).msg.(*wire.Refusal).Code, qt.Equals, fault.CrashesUpstreams)
	f.sendCrashing()
	f.c.Assert(f.wantRefusal().Code, qt.Equals, fault.CrashesUpstreams)
	f.stop()
}

// Guards against a refusal before the marks are written by a scheduler that lost its lease
// and gained it again meanwhile, and by one that shuts down.
func TestUnwrittenMarksOutliveLeaseTerms(t *testing.T) {
	f := newCrashFixture(t)
	f.quarantine()
	f.s.LeaseLost("m")
	f.gainLease(2, false)
	f.takeSent()
	f.sendCrashing()
	_, refused, _ := f.takeSent()
	f.c.Assert(refused, qt.HasLen, 0)
	f.crash.written <- struct{}{}
	f.c.Assert((<-f.sender.messages).msg.(*wire.Refusal).Code, qt.Equals, fault.CrashesUpstreams)

	f = newCrashFixture(t)
	f.quarantine()
	f.sendCrashing()
	f.stop()
	_, refused, _ = f.takeSent()
	f.c.Assert(refused, qt.HasLen, 0)
}

// Guards against requests that wait for marks which are never written, because too many wait
// to be written.
func TestLostMarksAreNotAwaited(t *testing.T) {
	f := newFixture(t)
	v := f.cfg.Upstreams["u"]
	v.Name, v.Address = "v", "127.0.0.1:2"
	f.cfg.Upstreams["v"] = v
	f.s.pendingCrashMarks = make(chan sched.CrashMark)
	f.gainLease(1, false)
	ct := &crashFixture{fixture: f}
	for _, u := range []string{"u", "v"} {
		f.s.applyLoad(pollJob{fence: 1, upstream: u}, f.clock.Now(), LoadReport{Instance: u + "1"})
	}
	f.takeSent()
	for range 2 {
		ct.sendCrashing()
		ct.breakUpstream(f.wantGrants(1)[0])
	}
	f.c.Assert(f.s.Status().Counters.MarksLost, qt.Equals, uint64(2))
	ct.sendCrashing()
	f.c.Assert(f.wantRefusal().Code, qt.Equals, fault.CrashesUpstreams)
}
