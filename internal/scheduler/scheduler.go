package scheduler

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/sched"
	"marigoldshunt/internal/wire"
)

const (
	// SyncWindow is the longest time that a new scheduler waits for the routers' Sync
	// before it grants.
	SyncWindow = 300 * time.Millisecond
	// RouterSilence is the time without a message after which a router is dropped.
	RouterSilence = 2 * time.Second
	// PollInterval is the time between two load polls of one upstream.
	PollInterval = 250 * time.Millisecond
	// PollTimeout bounds one poll.
	PollTimeout = time.Second
	// pollWorkers bounds the polls that run at the same time.
	pollWorkers = 8
	// tickInterval is the resolution of waits, polls and silence.
	tickInterval = 50 * time.Millisecond
	// idleInterval is the time between ticks without a lease, when only early messages
	// are dropped.
	idleInterval = time.Second
	// maxEarly and earlyAge bound the messages that are kept when they arrive before the
	// host knows of its lease. A router may hear of a new lease first, and sends its Sync
	// only once.
	maxEarly = 4096
	earlyAge = time.Second
	// maxMarks bounds the crash marks that are kept for a later term.
	maxMarks = 4096
	// markQueue bounds the crash marks that wait to be written.
	markQueue = 256
	// askInterval is the least time between two requests for a router's Sync.
	askInterval = 500 * time.Millisecond
)

// Options are the parts that a Scheduler works with. All are required but Seed.
type Options struct {
	Pool   string
	Clock  Clock
	Sender Sender
	Lease  Lease
	Load   LoadSource
	Crash  CrashStore
	Seed   int64
}

// Scheduler schedules one pool. All methods may be called from several goroutines.
type Scheduler struct {
	o Options

	// mu is the lock scheduler.pool of the design. No message is sent and no upstream is
	// asked while it is held.
	mu       sync.Mutex
	cfg      *config.Config
	hosts    []wire.HostStatus
	term     *term
	early    []message
	marks    map[markKey]time.Duration
	counters Counters

	jobs  chan pollJob
	crash chan sched.CrashMark
	// gained says that a term has begun.
	gained chan struct{}
	// ticks replaces the ticker in tests.
	ticks <-chan time.Time
	// stopped is set when Run ends, so that nothing is granted afterwards.
	stopped atomic.Bool
}

type markKey struct {
	fp       wire.Digest
	upstream string
}

// term is the time from gaining a lease to losing it.
type term struct {
	fence     uint64
	pool      *sched.Pool
	windowEnd time.Duration
	granting  bool
	routers   map[string]*router
	// asked holds the boots of the hosts that were asked for their Sync.
	asked   map[string]uint64
	polls   map[string]*pollState
	refused []wire.Refuse
}

// router is what the scheduler knows of one router.
type router struct {
	boot uint64
	// clock is the latest value of the router's own clock.
	clock  time.Duration
	seen   time.Duration
	synced bool
	asked  time.Duration
}

// outgoing is a message to send after the lock is released.
type outgoing struct {
	to   string
	kind wire.Kind
	msg  any
}

// New returns a Scheduler without a lease.
func New(o Options) *Scheduler {
	return &Scheduler{
		o: o, marks: map[markKey]time.Duration{},
		jobs:  make(chan pollJob, pollWorkers),
		crash: make(chan sched.CrashMark, markQueue), gained: make(chan struct{}, 1),
	}
}

// Run expires waits, drops silent routers and polls upstreams until the context ends. It
// returns nil then.
func (s *Scheduler) Run(ctx context.Context) error {
	defer s.stopped.Store(true)
	g, ctx := errgroup.WithContext(ctx)
	for range pollWorkers {
		g.Go(func() error { return s.pollWorker(ctx) })
	}
	g.Go(func() error { return s.markWorker(ctx) })
	g.Go(func() error { return s.runTicks(ctx) })
	return g.Wait()
}

// runTicks ticks fast while the lease is held and slowly otherwise, since every host has
// a scheduler for every pool.
func (s *Scheduler) runTicks(ctx context.Context) error {
	t := time.NewTicker(idleInterval)
	defer t.Stop()
	ticks := s.ticks
	if ticks == nil {
		ticks = t.C
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.gained:
			t.Reset(tickInterval)
		case <-ticks:
			if !s.tick() {
				t.Reset(idleInterval)
			}
		}
	}
}

func (s *Scheduler) markWorker(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-s.crash:
			s.o.Crash.MarkCrash(ctx, s.o.Pool, m.Fingerprint, m.Upstream)
		}
	}
}

// LeaseGained starts a term with empty memory and asks the live hosts for the Sync
// messages that fill it.
func (s *Scheduler) LeaseGained(pool string, fence uint64) {
	if pool != s.o.Pool {
		return
	}
	s.mu.Lock()
	now := s.o.Clock.Now()
	if s.term != nil && s.term.fence >= fence {
		s.mu.Unlock()
		return
	}
	s.term = &term{
		fence: fence, windowEnd: now + SyncWindow,
		asked: map[string]uint64{}, routers: map[string]*router{}, polls: map[string]*pollState{},
	}
	out := s.pump(s.startPool(now, s.askLive(nil)))
	s.mu.Unlock()
	select {
	case s.gained <- struct{}{}:
	default:
	}
	s.send(out)
}

// startPool creates the core once both a lease and a configuration with the pool are
// present, and applies the messages that came before.
func (s *Scheduler) startPool(now time.Duration, out []outgoing) []outgoing {
	t := s.term
	if t == nil || t.pool != nil || s.cfg == nil {
		return out
	}
	pool, ok := s.cfg.Pools[s.o.Pool]
	if !ok {
		return out
	}
	t.pool = sched.New(sched.Options{Pool: pool, Policy: s.cfg.Policy, Seed: s.o.Seed ^ int64(t.fence)})
	t.pool.Configure(now, s.cfg)
	for k, until := range s.marks {
		if until > now {
			t.pool.RestoreMark(k.fp, k.upstream, until)
		}
	}
	early := s.early
	s.early = nil
	for _, m := range early {
		if now-m.at <= earlyAge {
			out = s.apply(now, m, out)
		}
	}
	return out
}

// LeaseLost ends the term and forgets everything that belongs to it.
func (s *Scheduler) LeaseLost(pool string) {
	if pool != s.o.Pool {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term, s.early = nil, nil
}

// ConfigChanged applies a configuration revision before the next grant. An older revision
// than the applied one is ignored.
func (s *Scheduler) ConfigChanged(c *config.Config) {
	s.mu.Lock()
	if s.cfg != nil && c.Revision < s.cfg.Revision {
		s.mu.Unlock()
		return
	}
	s.cfg = c
	now := s.o.Clock.Now()
	if t := s.term; t != nil && t.pool != nil {
		t.pool.Configure(now, c)
	}
	out := s.pump(s.expire(now, s.startPool(now, nil)))
	s.mu.Unlock()
	s.send(out)
}

// HostsChanged takes the list of hosts, which says whose Sync to wait for.
func (s *Scheduler) HostsChanged(hosts []wire.HostStatus) {
	s.mu.Lock()
	s.hosts = append([]wire.HostStatus(nil), hosts...)
	out := s.pump(s.askLive(nil))
	s.mu.Unlock()
	s.send(out)
}

// RestoreMark gives the scheduler a crash mark of the replicated state, for the present
// and later terms. until is on the process's monotonic clock.
func (s *Scheduler) RestoreMark(fp wire.Digest, upstream string, until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until <= s.o.Clock.Now() {
		return
	}
	s.keepMark(markKey{fp, upstream}, until)
	if s.term != nil && s.term.pool != nil {
		s.term.pool.RestoreMark(fp, upstream, until)
	}
}

// keepMark remembers a mark for a later term. At the bound, the eighth that ends soonest
// goes, so that a mark costs no pass over all of them each time.
func (s *Scheduler) keepMark(k markKey, until time.Duration) {
	if _, known := s.marks[k]; !known && len(s.marks) >= maxMarks {
		keys := slices.Collect(maps.Keys(s.marks))
		slices.SortFunc(keys, func(a, b markKey) int { return cmp.Compare(s.marks[a], s.marks[b]) })
		for _, old := range keys[:maxMarks/8] {
			delete(s.marks, old)
		}
	}
	s.marks[k] = max(until, s.marks[k])
}

// effects queues new crash marks for the replicated state.
func (s *Scheduler) effects(e sched.Effects) {
	for _, m := range e.Marks {
		s.keepMark(markKey{m.Fingerprint, m.Upstream}, m.Until)
		select {
		case s.crash <- m:
		default:
			s.counters.MarksLost++
		}
	}
}

// tick does what is due: end of the window, silence, expired waits, polls.
// tick does the periodic work. It returns false without a term.
func (s *Scheduler) tick() bool {
	s.mu.Lock()
	now := s.o.Clock.Now()
	if s.term == nil {
		for len(s.early) > 0 && now-s.early[0].at > earlyAge {
			s.early = s.early[1:]
		}
		s.mu.Unlock()
		return false
	}
	s.dropSilent(now)
	out := s.pump(s.expire(now, nil))
	s.startPolls(now)
	s.mu.Unlock()
	s.send(out)
	return true
}

func (s *Scheduler) dropSilent(now time.Duration) {
	for name, r := range s.term.routers {
		if now-r.seen < RouterSilence {
			continue
		}
		delete(s.term.routers, name)
		if s.term.pool != nil {
			s.term.pool.DropRouter(now, name, r.boot)
		}
		s.counters.RoutersDropped++
	}
}

// expire adds the refusals of the core to the outgoing messages.
func (s *Scheduler) expire(now time.Duration, out []outgoing) []outgoing {
	t := s.term
	if t == nil || t.pool == nil {
		return out
	}
	t.refused = t.pool.Expire(now, t.refused[:0])
	for i := range t.refused {
		r := t.refused[i]
		out = append(out, outgoing{r.ID.Host, wire.KindRefuse, &r})
		s.counters.Refused++
	}
	return out
}

// mayGrant reports whether grants are possible at all: the lease of this term is held and
// the window for Sync is over.
func (s *Scheduler) mayGrant(now time.Duration) bool {
	t := s.term
	if t == nil || t.pool == nil || s.stopped.Load() {
		return false
	}
	fence, until, ok := s.o.Lease.HeldUntil(s.o.Pool)
	if !ok || fence != t.fence || now >= until {
		return false
	}
	if !t.granting {
		t.granting = now >= t.windowEnd || s.allSynced()
	}
	return t.granting
}

// allSynced reports whether every live router has sent its view. Without a list of hosts
// nobody knows whom to wait for, so the window runs to its end.
func (s *Scheduler) allSynced() bool {
	for _, h := range s.hosts {
		if !h.Alive {
			continue
		}
		if r := s.term.routers[h.Host]; r == nil || !r.synced || r.boot < h.Boot {
			return false
		}
	}
	return len(s.hosts) > 0
}

// pump takes grants from the core as long as the lease is held. The lease and the time are
// read anew for each grant.
func (s *Scheduler) pump(out []outgoing) []outgoing {
	for {
		now := s.o.Clock.Now()
		if !s.mayGrant(now) {
			return out
		}
		g, ok := s.term.pool.Next(now)
		if !ok {
			return out
		}
		m := &wire.Grant{
			ID: g.ID, Pool: s.o.Pool, Upstream: g.Upstream, Address: g.Address,
			Fence: s.term.fence, Tag: g.Tag, Virtual: g.Virtual, Estimate: g.Estimate,
			Instance: g.Instance, Limit: g.Limit,
		}
		if r := s.term.routers[g.ID.Host]; r != nil && r.boot == g.ID.Boot {
			m.Echo = r.clock
		}
		out = append(out, outgoing{g.ID.Host, wire.KindGrant, m})
		s.counters.Granted++
	}
}

// send hands the messages over. A message that cannot be sent needs no repeat: the router
// sends its Sync when it is connected again, or is dropped.
func (s *Scheduler) send(out []outgoing) {
	failed := uint64(0)
	for _, m := range out {
		if err := s.o.Sender.Send(m.to, m.kind, m.msg); err != nil {
			failed++
		}
	}
	if failed > 0 {
		s.mu.Lock()
		s.counters.SendFailed += failed
		s.mu.Unlock()
	}
}
