package scheduler

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

type fakeClock struct{ ns atomic.Int64 }

func (f *fakeClock) Now() time.Duration      { return time.Duration(f.ns.Load()) }
func (f *fakeClock) advance(d time.Duration) { f.ns.Add(int64(d)) }

type sent struct {
	to   string
	kind wire.Kind
	msg  any
}

// fakeSender passes messages on to the test.
type fakeSender struct{ out chan sent }

func (f *fakeSender) Send(to string, kind wire.Kind, msg any) error {
	if to == "unreachable" {
		return errors.New("no connection")
	}
	f.out <- sent{to, kind, msg}
	return nil
}

type fakeLease struct {
	mu    sync.Mutex
	fence uint64
	until time.Duration
	// checks counts down; the lease ends when it reaches 0. A negative value never ends.
	checks int
}

func (f *fakeLease) HeldUntil(string) (uint64, time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checks == 0 {
		return 0, 0, false
	}
	f.checks--
	return f.fence, f.until, true
}

func (f *fakeLease) set(fence uint64, until time.Duration, checks int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fence, f.until, f.checks = fence, until, checks
}

// fakeLoad answers polls when the test allows it.
type fakeLoad struct {
	report chan LoadReport
	asked  chan string
	since  chan uint64
}

func (f *fakeLoad) Load(ctx context.Context, address string) (LoadReport, error) {
	f.asked <- address
	select {
	case r := <-f.report:
		return r, nil
	case <-ctx.Done():
		return LoadReport{}, ctx.Err()
	}
}

func (f *fakeLoad) CacheEvents(_ context.Context, _ string, since uint64) (CacheBatch, error) {
	f.since <- since
	return CacheBatch{Events: []CacheEvent{{Seq: since + 1, Added: []wire.Digest{{7}}}}}, nil
}

type fakeCrash struct{ marks chan string }

func (f *fakeCrash) MarkCrash(_ context.Context, pool string, _ wire.Digest, upstream string) {
	f.marks <- pool + "/" + upstream
}

type bed struct {
	c     *qt.C
	s     *Scheduler
	clock *fakeClock
	out   *fakeSender
	lease *fakeLease
	load  *fakeLoad
	crash *fakeCrash
	cfg   *config.Config
	seq   uint64
}

func newBed(t *testing.T) *bed {
	b := &bed{
		c: qt.New(t), clock: &fakeClock{}, out: &fakeSender{make(chan sent, 1000)},
		lease: &fakeLease{checks: -1}, crash: &fakeCrash{make(chan string, 10)}, cfg: config.New(),
		load: &fakeLoad{report: make(chan LoadReport, 10), asked: make(chan string, 100), since: make(chan uint64, 100)},
	}
	b.clock.advance(time.Second)
	b.cfg.Revision = 5
	b.cfg.Pools["m"] = config.Pool{Name: "m", Kind: config.KindModel, MaxCost: 100, DefaultCost: 10,
		Profile: config.Profile{ColdConcurrency: 2, MaxConcurrency: 2, WarmAfter: 1}}
	b.cfg.Upstreams["u"] = config.Upstream{Name: "u", Pool: "m", DataCentre: "d", Address: "127.0.0.1:1"}
	b.cfg.Contracts["a"] = config.Contract{Account: "a", Weight: 1, RequestsPerSecond: 1e6, Burst: 1000,
		Concurrency: 100, QueueLength: 100, MaxRun: time.Minute, MaxWait: 10 * time.Second, Pools: []string{"m"}}
	b.s = New(Options{Pool: "m", Clock: b.clock, Sender: b.out, Lease: b.lease, Load: b.load, Crash: b.crash})
	return b
}

// hold gives the scheduler the lease, with the window for Sync already over if open is
// false.
func (b *bed) hold(fence uint64, open bool) {
	b.s.ConfigChanged(b.cfg)
	b.lease.set(fence, time.Hour, -1)
	b.s.LeaseGained("m", fence)
	if !open {
		b.clock.advance(SyncWindow)
		b.s.tick()
	}
}

func (b *bed) handle(from string, boot uint64, kind wire.Kind, msg any) {
	payload, err := wire.Marshal(msg)
	b.c.Assert(err, qt.IsNil)
	b.s.Handle(from, boot, kind, payload)
}

func (b *bed) ticket(host string, boot uint64) wire.Ticket {
	b.seq++
	return wire.Ticket{ID: wire.TicketID{Host: host, Boot: boot, Seq: b.seq}, Pool: "m", Account: "a",
		RouterClock: time.Duration(b.seq) * time.Second, Fingerprint: wire.Digest{byte(b.seq)}}
}

func (b *bed) submit(host string) wire.Ticket {
	t := b.ticket(host, 1)
	b.handle(host, 1, wire.KindTicket, &t)
	return t
}

// take returns what was sent so far, without requests for Sync.
func (b *bed) take() (grants []*wire.Grant, refused []*wire.Refuse, asked int) {
	for {
		select {
		case m := <-b.out.out:
			switch v := m.msg.(type) {
			case *wire.Grant:
				b.c.Check(m.to, qt.Equals, v.ID.Host)
				grants = append(grants, v)
			case *wire.Refuse:
				b.c.Check(m.to, qt.Equals, v.ID.Host)
				refused = append(refused, v)
			case *wire.SyncRequest:
				b.c.Check(m.kind, qt.Equals, wire.KindSyncRequest)
				b.c.Check(*v, qt.Equals, wire.SyncRequest{Pool: "m", Fence: b.lease.fence})
				asked++
			}
		default:
			return grants, refused, asked
		}
	}
}

func (b *bed) grants() int {
	g, _, _ := b.take()
	return len(g)
}

// grantsN requires n grants.
func (b *bed) grantsN(n int) []*wire.Grant {
	gs, _, _ := b.take()
	b.c.Assert(gs, qt.HasLen, n)
	return gs
}

// refusal requires one refusal.
func (b *bed) refusal() *wire.Refuse {
	_, refused, _ := b.take()
	b.c.Assert(refused, qt.HasLen, 1)
	return refused[0]
}

// Guards against a grant without the fence or the echo of the router's latest clock, by
// which routers reject grants of isolated schedulers, or without what the next scheduler
// continues from.
func TestGrantCarriesFenceAndEcho(t *testing.T) {
	b := newBed(t)
	b.hold(12, true)
	b.s.applyLoad(pollJob{fence: 12, upstream: "u"}, b.clock.Now(), LoadReport{Instance: "i1"})
	first := b.submit("r1")
	b.submit("r2")
	b.c.Check(b.grants(), qt.Equals, 0)
	b.handle("r1", 1, wire.KindBeat, &wire.Beat{Pool: "m", RouterClock: 99 * time.Second})
	b.handle("r1", 1, wire.KindBeat, &wire.Beat{Pool: "m", RouterClock: 98 * time.Second})
	b.clock.advance(SyncWindow)
	b.s.tick()
	gs := b.grantsN(2)
	b.c.Check(*gs[0], qt.DeepEquals, wire.Grant{ID: first.ID, Pool: "m", Upstream: "u", Address: "127.0.0.1:1",
		Fence: 12, Echo: 99 * time.Second, Tag: 10, Estimate: 10, Instance: "i1", Limit: 2})
	b.c.Check(gs[1].Echo, qt.Equals, 2*time.Second)
}

// Guards against grants without a lease: it is checked at each grant, on the clock and by
// fence.
func TestLeaseIsCheckedAtEachGrant(t *testing.T) {
	b := newBed(t)
	b.hold(1, false)
	b.lease.set(1, time.Hour, 0)
	b.submit("r")
	b.submit("r")
	b.c.Check(b.grants(), qt.Equals, 0)
	b.lease.set(1, time.Hour, 1)
	b.s.tick()
	b.c.Check(b.grants(), qt.Equals, 1)
	for _, l := range []struct {
		fence uint64
		until time.Duration
	}{{1, b.clock.Now()}, {2, time.Hour}} {
		b.lease.set(l.fence, l.until, -1)
		b.s.tick()
		b.c.Check(b.grants(), qt.Equals, 0)
		b.c.Check(b.s.Status().Held, qt.IsFalse)
	}
	b.lease.set(1, time.Hour, -1)
	b.s.LeaseLost("m")
	b.submit("r")
	b.s.tick()
	b.c.Check(b.grants(), qt.Equals, 0)
	b.c.Check(b.s.Status().Core, qt.IsNil)
}

// Guards against a window that never ends early, that ends before a live router has
// synced, or that waits for a dead one.
func TestWindowEndsWhenAllLiveRoutersSynced(t *testing.T) {
	b := newBed(t)
	b.s.HostsChanged([]wire.HostStatus{{Host: "r1", Boot: 1, Alive: true}, {Host: "r2", Boot: 2, Alive: true}, {Host: "r3", Boot: 1}})
	b.hold(1, true)
	b.submit("r1")
	b.handle("r1", 1, wire.KindSync, &wire.Sync{Pool: "m", Waiting: []wire.Ticket{{ID: wire.TicketID{Host: "r1", Boot: 1, Seq: 1}, Account: "a"}}})
	b.handle("r2", 1, wire.KindSync, &wire.Sync{Pool: "m"})
	b.c.Check(b.grants(), qt.Equals, 0)
	b.handle("r2", 2, wire.KindSync, &wire.Sync{Pool: "m"})
	b.c.Check(b.grants(), qt.Equals, 1)
}

// Guards against live hosts that a new scheduler does not ask for their view, and against
// dead ones or the same ones that it asks again and again.
func TestLiveHostsAreAskedForSync(t *testing.T) {
	b := newBed(t)
	ask := func() (to []string) {
		for len(b.out.out) > 0 {
			m := <-b.out.out
			b.c.Check(*m.msg.(*wire.SyncRequest), qt.Equals, wire.SyncRequest{Pool: "m", Fence: 7})
			to = append(to, m.to)
		}
		return to
	}
	hosts := []wire.HostStatus{{Host: "r1", Boot: 1, Alive: true}, {Host: "r2", Boot: 1, Alive: true, Leaving: true}, {Host: "r3", Boot: 1}}
	b.s.HostsChanged(hosts)
	b.c.Check(ask(), qt.HasLen, 0)
	b.hold(7, true)
	b.c.Check(ask(), qt.DeepEquals, []string{"r1", "r2"})
	b.s.HostsChanged(hosts)
	b.c.Check(ask(), qt.HasLen, 0)
	hosts[0].Boot, hosts[2].Alive = 2, true
	b.s.HostsChanged(hosts)
	b.c.Check(ask(), qt.DeepEquals, []string{"r1", "r3"})
}

// Guards against a Sync that is lost because the router heard of the lease before this
// host did, with the configuration still missing.
func TestMessagesBeforeTheLeaseAreKept(t *testing.T) {
	b := newBed(t)
	old := b.ticket("r", 1)
	b.handle("r", 1, wire.KindSync, &wire.Sync{Pool: "m", Waiting: []wire.Ticket{old}})
	b.clock.advance(2 * earlyAge)
	b.s.tick()
	fresh := b.ticket("r", 1)
	b.handle("r", 1, wire.KindSync, &wire.Sync{Pool: "m", Waiting: []wire.Ticket{fresh}})
	b.lease.set(1, time.Hour, -1)
	b.s.LeaseGained("m", 1)
	b.s.ConfigChanged(b.cfg)
	b.clock.advance(SyncWindow)
	b.s.tick()
	gs := b.grantsN(1)
	b.c.Check(gs[0].ID, qt.Equals, fresh.ID)
}

// Guards against tickets of a silent router that take slots, and against a router that
// returns after a silence and is not asked for its view.
func TestSilentRouterIsDropped(t *testing.T) {
	b := newBed(t)
	b.hold(1, false)
	b.submit("r1")
	b.submit("r1")
	b.submit("r1")
	b.c.Check(b.grants(), qt.Equals, 2)
	b.clock.advance(RouterSilence - time.Millisecond)
	b.s.tick()
	b.c.Check(b.s.Status().Core.Waiting, qt.Equals, 1)
	b.clock.advance(time.Millisecond)
	b.s.tick()
	st := b.s.Status()
	b.c.Check(st.Core.Waiting, qt.Equals, 0)
	b.c.Check(st.Core.Upstreams[0].Other, qt.Equals, 2)
	b.c.Check(st.Counters.RoutersDropped, qt.Equals, uint64(1))
	b.take()
	b.handle("r1", 1, wire.KindBeat, &wire.Beat{Pool: "m"})
	b.handle("r1", 1, wire.KindBeat, &wire.Beat{Pool: "m"})
	_, _, asked := b.take()
	b.c.Check(asked, qt.Equals, 1)
	b.handle("r1", 1, wire.KindSync, &wire.Sync{Pool: "m"})
	b.c.Check(b.s.Status().Core.Upstreams[0].Other, qt.Equals, 0)
}

// Guards against waits that do not end, refusals that are not sent, and messages that
// act for another router, another pool or another boot.
func TestMessages(t *testing.T) {
	b := newBed(t)
	b.hold(1, false)
	one := b.submit("r")
	b.submit("r")
	waiting := b.submit("r")
	gone := b.submit("r")
	b.c.Check(b.grants(), qt.Equals, 2)
	stranger := b.ticket("r", 1)
	stranger.Account = "nobody"
	b.handle("r", 1, wire.KindTicket, &stranger)
	refused := b.refusal()
	b.c.Check(refused.Code, qt.Equals, fault.PoolNotAllowed)
	b.handle("r", 1, wire.KindCancel, &wire.Cancel{ID: gone.ID, Pool: "m"})

	invalid := b.s.Status().Counters.Invalid
	b.handle("evil", 1, wire.KindFinish, &wire.Finish{ID: one.ID, Pool: "m", Outcome: wire.OutcomeDone})
	b.handle("r", 1, wire.KindFinish, &wire.Finish{ID: one.ID, Pool: "other", Outcome: wire.OutcomeDone})
	b.s.Handle("r", 1, wire.KindFinish, []byte{0xc1})
	b.s.Handle("r", 1, wire.KindRaft, nil)
	b.c.Check(b.s.Status().Counters.Invalid-invalid, qt.Equals, uint64(4))
	b.handle("r", 0, wire.KindFinish, &wire.Finish{ID: one.ID, Pool: "m", Outcome: wire.OutcomeDone})
	b.handle("r", 1, wire.KindGrantReturn, &wire.GrantReturn{ID: one.ID, Pool: "m", Fence: 9})
	b.c.Check(b.grants(), qt.Equals, 0)

	b.handle("r", 1, wire.KindGrantReturn, &wire.GrantReturn{ID: one.ID, Pool: "m", Fence: 1})
	gs := b.grantsN(1)
	b.c.Check(gs[0].ID, qt.Equals, waiting.ID)
	late := b.submit("r")
	for range 11 {
		b.clock.advance(time.Second)
		b.handle("r", 1, wire.KindBeat, &wire.Beat{Pool: "m"})
		b.s.tick()
	}
	refused = b.refusal()
	b.c.Check(*refused, qt.Equals, wire.Refuse{ID: late.ID, Pool: "m", Code: fault.WaitExpired})
}

// Guards against a configuration change that waits for other events, and against one
// that goes back.
func TestConfigChange(t *testing.T) {
	b := newBed(t)
	b.hold(1, false)
	for range 3 {
		b.submit("r")
	}
	b.c.Check(b.grants(), qt.Equals, 2)
	next := *b.cfg
	next.Revision = 6
	next.Upstreams = map[string]config.Upstream{"u": b.cfg.Upstreams["u"], "v": {Name: "v", Pool: "m", Address: "127.0.0.1:2"}}
	b.s.ConfigChanged(&next)
	gs := b.grantsN(1)
	b.c.Check(gs[0].Upstream, qt.Equals, "v")
	b.s.ConfigChanged(b.cfg)
	b.c.Check(b.s.Status().Core.Upstreams, qt.HasLen, 2)
}

// Guards against polls that never happen or pile up at a slow upstream, reports and crash
// marks that get lost, and workers that outlive Run.
func TestPollsAndCrashMarks(t *testing.T) {
	b := newBed(t)
	ticks := make(chan time.Time)
	b.s.ticks = ticks
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- b.s.Run(ctx) }()
	b.hold(3, false)
	b.c.Check(<-b.load.asked, qt.Equals, "127.0.0.1:1")
	for range 3 {
		b.clock.advance(PollInterval)
		ticks <- time.Time{}
	}
	b.load.report <- LoadReport{Instance: "i1"}
	b.c.Check(<-b.load.since, qt.Equals, uint64(0))
	crasher := b.submit("r")
	m := <-b.out.out
	b.c.Assert(m.kind, qt.Equals, wire.KindSyncRequest)
	m = <-b.out.out
	b.c.Assert(m.kind, qt.Equals, wire.KindGrant)
	b.clock.advance(PollInterval)
	b.handle("r", 1, wire.KindFinish, &wire.Finish{ID: crasher.ID, Pool: "m", Upstream: "u", Outcome: wire.OutcomeBroken, Queued: -1})
	// The worker may still be applying the first answer; a tick then finds no poll due.
	b.load.report <- LoadReport{Instance: "i2"}
	for asked := false; !asked; {
		select {
		case <-b.load.asked:
			asked = true
		case ticks <- time.Time{}:
			b.clock.advance(time.Millisecond)
		}
	}
	b.c.Check(<-b.load.since, qt.Equals, uint64(1))
	b.c.Check(<-b.crash.marks, qt.Equals, "m/u")
	st := b.s.Status()
	b.c.Check(st.Core.Upstreams[0].Instance, qt.Equals, "i2")
	b.c.Check(st.Counters.Polls, qt.Equals, uint64(2))
	cancel()
	b.c.Check(<-done, qt.IsNil)
	b.submit("r2")
	b.c.Check(b.grants(), qt.Equals, 0)
}

// Guards against crash marks that a new term does not know, and marks without bound.
func TestMarksOutliveTerms(t *testing.T) {
	b := newBed(t)
	until := b.clock.Now() + time.Hour
	b.s.RestoreMark(wire.Digest{1}, "u", until)
	b.s.RestoreMark(wire.Digest{1}, "v", until)
	for fence := range uint64(2) {
		b.hold(fence+1, false)
		tk := b.ticket("r", 1)
		tk.Fingerprint = wire.Digest{1}
		b.handle("r", 1, wire.KindTicket, &tk)
		refused := b.refusal()
		b.c.Check(refused.Code, qt.Equals, fault.CrashesUpstreams)
		b.s.LeaseLost("m")
	}
	for i := range 2 * maxMarks {
		b.s.RestoreMark(wire.Digest{2, byte(i), byte(i >> 8)}, "u", until+time.Duration(i))
	}
	b.c.Check(len(b.s.marks) <= maxMarks && len(b.s.marks) > maxMarks/2, qt.IsTrue)
	last := 2*maxMarks - 1
	b.c.Check(b.s.marks[markKey{wire.Digest{2, byte(last), byte(last >> 8)}, "u"}], qt.Equals, until+time.Duration(last))
}
