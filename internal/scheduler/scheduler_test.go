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

type sentMessage struct {
	to   string
	kind wire.Kind
	msg  any
}

// fakeSender passes messages to the test.
type fakeSender struct{ messages chan sentMessage }

func (f *fakeSender) Send(to string, kind wire.Kind, msg any) error {
	if to == "unreachable" {
		return errors.New("no connection")
	}
	f.messages <- sentMessage{to, kind, msg}
	return nil
}

type fakeLeaseSource struct {
	mu    sync.Mutex
	fence uint64
	until time.Duration
	// checks counts down; the lease ends when it reaches 0. A negative value never ends.
	checks int
}

func (f *fakeLeaseSource) HeldUntil(string) (uint64, time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checks == 0 {
		return 0, 0, false
	}
	f.checks--
	return f.fence, f.until, true
}

func (f *fakeLeaseSource) set(fence uint64, until time.Duration, checks int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fence, f.until, f.checks = fence, until, checks
}

// fakeLoad answers a load poll when the test provides a report.
type fakeLoad struct {
	report chan LoadReport
	polled chan string
	since  chan uint64
}

func (f *fakeLoad) FetchLoad(ctx context.Context, address string) (LoadReport, error) {
	f.polled <- address
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

// fakeCrash passes the marks to the test. If written is not nil, each write ends when the test
// sends to it.
type fakeCrash struct {
	marks   chan string
	written chan struct{}
}

func (f *fakeCrash) MarkCrash(ctx context.Context, pool string, _ wire.Digest, upstream string) {
	f.marks <- pool + "/" + upstream
	if f.written == nil {
		return
	}
	select {
	case <-f.written:
	case <-ctx.Done():
	}
}

type fixture struct {
	c      *qt.C
	s      *Scheduler
	clock  *fakeClock
	sender *fakeSender
	lease  *fakeLeaseSource
	load   *fakeLoad
	crash  *fakeCrash
	cfg    *config.Config
	seq    uint64
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{
		c: qt.New(t), clock: &fakeClock{}, sender: &fakeSender{make(chan sentMessage, 1000)},
		lease: &fakeLeaseSource{checks: -1}, crash: &fakeCrash{marks: make(chan string, 10)}, cfg: config.New(),
		load: &fakeLoad{report: make(chan LoadReport, 10), polled: make(chan string, 100), since: make(chan uint64, 100)},
	}
	f.clock.advance(time.Second)
	f.cfg.Revision = 5
	f.cfg.Pools["m"] = config.Pool{Name: "m", Kind: config.KindModel, MaxCost: 100, DefaultCost: 10,
		Profile: config.Profile{ColdConcurrency: 2, MaxConcurrency: 2, WarmAfter: 1}}
	f.cfg.Upstreams["u"] = config.Upstream{Name: "u", Pool: "m", DataCentre: "d", Address: "127.0.0.1:1"}
	f.cfg.Contracts["a"] = config.Contract{Account: "a", Weight: 1, RequestsPerSecond: 1e6, Burst: 1000,
		Concurrency: 100, QueueLength: 100, MaxRun: time.Minute, MaxWait: 10 * time.Second, Pools: []string{"m"}}
	f.s = New(Options{Pool: "m", Clock: f.clock, Sender: f.sender, Lease: f.lease, Load: f.load, CrashStore: f.crash})
	return f
}

// gainLease gives the scheduler the lease. If windowOpen is false, the sync window is
// already over.
func (f *fixture) gainLease(fence uint64, windowOpen bool) {
	f.s.ConfigChanged(f.cfg)
	f.lease.set(fence, time.Hour, -1)
	f.s.LeaseGained("m", fence)
	if !windowOpen {
		f.clock.advance(SyncWindow)
		f.s.tick()
	}
}

func (f *fixture) handle(from string, boot uint64, kind wire.Kind, msg any) {
	payload, err := wire.Marshal(msg)
	f.c.Assert(err, qt.IsNil)
	f.s.Handle(from, boot, kind, payload)
}

func (f *fixture) ticket(host string, boot uint64) wire.Ticket {
	f.seq++
	return wire.Ticket{ID: wire.TicketID{Host: host, Boot: boot, Seq: f.seq}, Pool: "m", Account: "a",
		RouterClock: time.Duration(f.seq) * time.Second, Fingerprint: wire.Digest{byte(f.seq)}}
}

func (f *fixture) submit(host string) wire.Ticket {
	t := f.ticket(host, 1)
	f.handle(host, 1, wire.KindTicket, &t)
	return t
}

// takeSent returns the grants and refusals sent so far, and the number of requests for
// Sync.
func (f *fixture) takeSent() (grants []*wire.Grant, refused []*wire.Refusal, syncRequests int) {
	for {
		select {
		case m := <-f.sender.messages:
			switch v := m.msg.(type) {
			case *wire.Grant:
				f.c.Check(m.to, qt.Equals, v.ID.Host)
				grants = append(grants, v)
			case *wire.Refusal:
				f.c.Check(m.to, qt.Equals, v.ID.Host)
				refused = append(refused, v)
			case *wire.SyncRequest:
				f.c.Check(m.kind, qt.Equals, wire.KindSyncRequest)
				f.c.Check(*v, qt.Equals, wire.SyncRequest{Pool: "m", Fence: f.lease.fence})
				syncRequests++
			}
		default:
			return grants, refused, syncRequests
		}
	}
}

func (f *fixture) grantCount() int {
	g, _, _ := f.takeSent()
	return len(g)
}

// wantGrants requires that exactly n grants were sent.
func (f *fixture) wantGrants(n int) []*wire.Grant {
	gs, _, _ := f.takeSent()
	f.c.Assert(gs, qt.HasLen, n)
	return gs
}

// wantRefusal requires that exactly one refusal was sent.
func (f *fixture) wantRefusal() *wire.Refusal {
	_, refused, _ := f.takeSent()
	f.c.Assert(refused, qt.HasLen, 1)
	return refused[0]
}

// Guards against grants that lack a value. Routers need the fence and the echo of their latest
// clock to reject grants of isolated schedulers, and the next scheduler continues from the
// other values.
func TestGrantCarriesFenceAndEcho(t *testing.T) {
	f := newFixture(t)
	f.gainLease(12, true)
	f.s.applyLoad(pollJob{fence: 12, upstream: "u"}, f.clock.Now(), LoadReport{Instance: "i1"})
	first := f.submit("r1")
	f.submit("r2")
	f.c.Check(f.grantCount(), qt.Equals, 0)
	f.handle("r1", 1, wire.KindRouterHeartbeat, &wire.RouterHeartbeat{Pool: "m", RouterClock: 99 * time.Second})
	f.handle("r1", 1, wire.KindRouterHeartbeat, &wire.RouterHeartbeat{Pool: "m", RouterClock: 98 * time.Second})
	f.clock.advance(SyncWindow)
	f.s.tick()
	gs := f.wantGrants(2)
	f.c.Check(*gs[0], qt.DeepEquals, wire.Grant{ID: first.ID, Pool: "m", Upstream: "u", Address: "127.0.0.1:1",
		Fence: 12, Echo: 99 * time.Second, Tag: 10, Estimate: 10, Instance: "i1", Limit: 2})
	f.c.Check(gs[1].Echo, qt.Equals, 2*time.Second)
}

// Guards against grants without a lease: its end and its fence must be checked at each grant.
func TestLeaseIsCheckedAtEachGrant(t *testing.T) {
	f := newFixture(t)
	f.gainLease(1, false)
	f.lease.set(1, time.Hour, 0)
	f.submit("r")
	f.submit("r")
	f.c.Check(f.grantCount(), qt.Equals, 0)
	f.lease.set(1, time.Hour, 1)
	f.s.tick()
	f.c.Check(f.grantCount(), qt.Equals, 1)
	for _, l := range []struct {
		fence uint64
		until time.Duration
	}{{1, f.clock.Now()}, {2, time.Hour}} {
		f.lease.set(l.fence, l.until, -1)
		f.s.tick()
		f.c.Check(f.grantCount(), qt.Equals, 0)
		f.c.Check(f.s.Status().Held, qt.IsFalse)
	}
	f.lease.set(1, time.Hour, -1)
	f.s.LeaseLost("m")
	f.submit("r")
	f.s.tick()
	f.c.Check(f.grantCount(), qt.Equals, 0)
	f.c.Check(f.s.Status().Core, qt.IsNil)
}

// Guards against ending the sync window before all live routers have synced, and against
// waiting for its full time after they have, or for a dead router.
func TestWindowEndsWhenAllLiveRoutersSynced(t *testing.T) {
	f := newFixture(t)
	f.s.HostsChanged([]wire.HostStatus{{Host: "r1", Boot: 1, Alive: true}, {Host: "r2", Boot: 2, Alive: true}, {Host: "r3", Boot: 1}})
	f.gainLease(1, true)
	f.submit("r1")
	f.handle("r1", 1, wire.KindSync, &wire.Sync{Pool: "m", Waiting: []wire.Ticket{{ID: wire.TicketID{Host: "r1", Boot: 1, Seq: 1}, Account: "a"}}})
	f.handle("r2", 1, wire.KindSync, &wire.Sync{Pool: "m"})
	f.c.Check(f.grantCount(), qt.Equals, 0)
	f.handle("r2", 2, wire.KindSync, &wire.Sync{Pool: "m"})
	f.c.Check(f.grantCount(), qt.Equals, 1)
}

// Guards against a new scheduler that does not ask each live host for its Sync, asks a dead
// one, or asks one host several times in the same boot.
func TestLiveHostsAreAskedForSync(t *testing.T) {
	f := newFixture(t)
	requestedHosts := func() (to []string) {
		for len(f.sender.messages) > 0 {
			m := <-f.sender.messages
			f.c.Check(*m.msg.(*wire.SyncRequest), qt.Equals, wire.SyncRequest{Pool: "m", Fence: 7})
			to = append(to, m.to)
		}
		return to
	}
	hosts := []wire.HostStatus{{Host: "r1", Boot: 1, Alive: true}, {Host: "r2", Boot: 1, Alive: true, Leaving: true}, {Host: "r3", Boot: 1}}
	f.s.HostsChanged(hosts)
	f.c.Check(requestedHosts(), qt.HasLen, 0)
	f.gainLease(7, true)
	f.c.Check(requestedHosts(), qt.DeepEquals, []string{"r1", "r2"})
	f.s.HostsChanged(hosts)
	f.c.Check(requestedHosts(), qt.HasLen, 0)
	hosts[0].Boot, hosts[2].Alive = 2, true
	f.s.HostsChanged(hosts)
	f.c.Check(requestedHosts(), qt.DeepEquals, []string{"r1", "r3"})
}

// Guards against losing the Sync of a router that learned of the lease before this host did.
// The configuration is still missing as well.
func TestMessagesBeforeTheLeaseAreKept(t *testing.T) {
	f := newFixture(t)
	stale := f.ticket("r", 1)
	f.handle("r", 1, wire.KindSync, &wire.Sync{Pool: "m", Waiting: []wire.Ticket{stale}})
	f.clock.advance(2 * earlyMessageMaxAge)
	f.s.tick()
	fresh := f.ticket("r", 1)
	f.handle("r", 1, wire.KindSync, &wire.Sync{Pool: "m", Waiting: []wire.Ticket{fresh}})
	f.lease.set(1, time.Hour, -1)
	f.s.LeaseGained("m", 1)
	f.s.ConfigChanged(f.cfg)
	f.clock.advance(SyncWindow)
	f.s.tick()
	gs := f.wantGrants(1)
	f.c.Check(gs[0].ID, qt.Equals, fresh.ID)
}

// Guards against keeping the tickets of a silent router, and against not asking a router
// for its Sync when it returns after a silence.
func TestSilentRouterIsDropped(t *testing.T) {
	f := newFixture(t)
	f.gainLease(1, false)
	f.submit("r1")
	f.submit("r1")
	f.submit("r1")
	f.c.Check(f.grantCount(), qt.Equals, 2)
	f.clock.advance(RouterTimeout - time.Millisecond)
	f.s.tick()
	f.c.Check(f.s.Status().Core.Waiting, qt.Equals, 1)
	f.clock.advance(time.Millisecond)
	f.s.tick()
	st := f.s.Status()
	f.c.Check(st.Core.Waiting, qt.Equals, 0)
	f.c.Check(st.Core.Upstreams[0].Other, qt.Equals, 2)
	f.c.Check(st.Counters.RoutersDropped, qt.Equals, uint64(1))
	f.takeSent()
	f.handle("r1", 1, wire.KindRouterHeartbeat, &wire.RouterHeartbeat{Pool: "m"})
	f.handle("r1", 1, wire.KindRouterHeartbeat, &wire.RouterHeartbeat{Pool: "m"})
	_, _, syncRequests := f.takeSent()
	f.c.Check(syncRequests, qt.Equals, 1)
	f.handle("r1", 1, wire.KindSync, &wire.Sync{Pool: "m"})
	f.c.Check(f.s.Status().Core.Upstreams[0].Other, qt.Equals, 0)
}

// Guards against waits that do not expire, refusals that are not sent, and accepting messages
// that act for another router, another pool or another boot.
func TestMessages(t *testing.T) {
	f := newFixture(t)
	f.gainLease(1, false)
	granted := f.submit("r")
	f.submit("r")
	waiting := f.submit("r")
	cancelled := f.submit("r")
	f.c.Check(f.grantCount(), qt.Equals, 2)
	unknownAccount := f.ticket("r", 1)
	unknownAccount.Account = "nobody"
	f.handle("r", 1, wire.KindTicket, &unknownAccount)
	refused := f.wantRefusal()
	f.c.Check(refused.Code, qt.Equals, fault.PoolNotAllowed)
	f.handle("r", 1, wire.KindCancel, &wire.Cancel{ID: cancelled.ID, Pool: "m"})

	invalid := f.s.Status().Counters.Invalid
	f.handle("evil", 1, wire.KindFinish, &wire.Finish{ID: granted.ID, Pool: "m", Outcome: wire.OutcomeDone})
	f.handle("r", 1, wire.KindFinish, &wire.Finish{ID: granted.ID, Pool: "other", Outcome: wire.OutcomeDone})
	f.s.Handle("r", 1, wire.KindFinish, []byte{0xc1})
	f.s.Handle("r", 1, wire.KindRaft, nil)
	f.c.Check(f.s.Status().Counters.Invalid-invalid, qt.Equals, uint64(4))
	f.handle("r", 0, wire.KindFinish, &wire.Finish{ID: granted.ID, Pool: "m", Outcome: wire.OutcomeDone})
	f.handle("r", 1, wire.KindGrantReturn, &wire.GrantReturn{ID: granted.ID, Pool: "m", Fence: 9})
	f.c.Check(f.grantCount(), qt.Equals, 0)

	f.handle("r", 1, wire.KindGrantReturn, &wire.GrantReturn{ID: granted.ID, Pool: "m", Fence: 1})
	gs := f.wantGrants(1)
	f.c.Check(gs[0].ID, qt.Equals, waiting.ID)
	late := f.submit("r")
	for range 11 {
		f.clock.advance(time.Second)
		f.handle("r", 1, wire.KindRouterHeartbeat, &wire.RouterHeartbeat{Pool: "m"})
		f.s.tick()
	}
	refused = f.wantRefusal()
	f.c.Check(*refused, qt.Equals, wire.Refusal{ID: late.ID, Pool: "m", Code: fault.WaitExpired})
}

// Guards against applying a new configuration only at the next other event, and against
// returning to an older revision.
func TestConfigChange(t *testing.T) {
	f := newFixture(t)
	f.gainLease(1, false)
	for range 3 {
		f.submit("r")
	}
	f.c.Check(f.grantCount(), qt.Equals, 2)
	next := *f.cfg
	next.Revision = 6
	next.Upstreams = map[string]config.Upstream{"u": f.cfg.Upstreams["u"], "v": {Name: "v", Pool: "m", Address: "127.0.0.1:2"}}
	f.s.ConfigChanged(&next)
	gs := f.wantGrants(1)
	f.c.Check(gs[0].Upstream, qt.Equals, "v")
	f.s.ConfigChanged(f.cfg)
	f.c.Check(f.s.Status().Core.Upstreams, qt.HasLen, 2)
}

// Guards against polls that are never sent or pile up at a slow upstream, against losing load
// reports and crash marks, and against workers and grants that outlive Run.
func TestPollsAndCrashMarks(t *testing.T) {
	f := newFixture(t)
	ticks := make(chan time.Time)
	f.s.ticks = ticks
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.s.Run(ctx) }()
	f.gainLease(3, false)
	f.c.Check(<-f.load.polled, qt.Equals, "127.0.0.1:1")
	for range 3 {
		f.clock.advance(PollInterval)
		ticks <- time.Time{}
	}
	f.load.report <- LoadReport{Instance: "i1"}
	f.c.Check(<-f.load.since, qt.Equals, uint64(0))
	crashing := f.submit("r")
	m := <-f.sender.messages
	f.c.Assert(m.kind, qt.Equals, wire.KindSyncRequest)
	m = <-f.sender.messages
	f.c.Assert(m.kind, qt.Equals, wire.KindGrant)
	f.clock.advance(PollInterval)
	f.handle("r", 1, wire.KindFinish, &wire.Finish{ID: crashing.ID, Pool: "m", Upstream: "u", Outcome: wire.OutcomeBroken, Queued: -1})
	// The worker may still be applying the first answer; a tick then starts no poll.
	f.load.report <- LoadReport{Instance: "i2"}
	for polled := false; !polled; {
		select {
		case <-f.load.polled:
			polled = true
		case ticks <- time.Time{}:
			f.clock.advance(time.Millisecond)
		}
	}
	f.c.Check(<-f.load.since, qt.Equals, uint64(1))
	f.c.Check(<-f.crash.marks, qt.Equals, "m/u")
	st := f.s.Status()
	f.c.Check(st.Core.Upstreams[0].Instance, qt.Equals, "i2")
	f.c.Check(st.Counters.Polls, qt.Equals, uint64(2))
	cancel()
	f.c.Check(<-done, qt.IsNil)
	f.submit("r2")
	f.c.Check(f.grantCount(), qt.Equals, 0)
}

// Guards against losing the crash marks at the end of a lease term, and against keeping an
// unbounded number of them.
func TestCrashMarksOutliveLeaseTerms(t *testing.T) {
	f := newFixture(t)
	until := f.clock.Now() + time.Hour
	f.s.RestoreMark(wire.Digest{1}, "u", until)
	f.s.RestoreMark(wire.Digest{1}, "v", until)
	for fence := range uint64(2) {
		f.gainLease(fence+1, false)
		tk := f.ticket("r", 1)
		tk.Fingerprint = wire.Digest{1}
		f.handle("r", 1, wire.KindTicket, &tk)
		refused := f.wantRefusal()
		f.c.Check(refused.Code, qt.Equals, fault.CrashesUpstreams)
		f.s.LeaseLost("m")
	}
	for i := range 2 * maxCrashMarks {
		f.s.RestoreMark(wire.Digest{2, byte(i), byte(i >> 8)}, "u", until+time.Duration(i))
	}
	f.c.Check(len(f.s.crashMarks) <= maxCrashMarks && len(f.s.crashMarks) > maxCrashMarks/2, qt.IsTrue)
	last := 2*maxCrashMarks - 1
	f.c.Check(f.s.crashMarks[crashMarkKey{wire.Digest{2, byte(last), byte(last >> 8)}, "u"}], qt.Equals, until+time.Duration(last))
}
