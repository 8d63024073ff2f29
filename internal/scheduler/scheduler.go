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
	// messages before it grants.
	SyncWindow = 300 * time.Millisecond
	// RouterTimeout is the time without a message after which a router is dropped.
	RouterTimeout = 2 * time.Second
	// PollInterval is the time between two load polls of one upstream.
	PollInterval = 250 * time.Millisecond
	// PollTimeout bounds one poll.
	PollTimeout = time.Second
	// pollWorkers bounds the number of concurrent polls.
	pollWorkers = 8
	// tickInterval is the interval at which expired waits, due polls and silent routers
	// are checked.
	tickInterval = 50 * time.Millisecond
	// idleInterval is the time between ticks without a lease, when a tick only drops old
	// early messages.
	idleInterval = time.Second
	// maxEarlyMessages and earlyMessageMaxAge bound the messages that are kept when they
	// arrive before the host knows of its lease. A router may learn of a new lease first,
	// and sends its Sync only once.
	maxEarlyMessages   = 4096
	earlyMessageMaxAge = time.Second
	// maxCrashMarks bounds the crash marks that are kept for later lease terms.
	maxCrashMarks = 4096
	// maxPendingCrashMarks bounds the crash marks that wait to be written.
	maxPendingCrashMarks = 256
	// syncRequestInterval is the minimum time between two requests for a router's Sync.
	syncRequestInterval = 500 * time.Millisecond
)

// Options configures a Scheduler. All fields except Seed are required.
type Options struct {
	Pool       string
	Clock      Clock
	Sender     Sender
	Lease      LeaseSource
	Load       LoadSource
	CrashStore CrashStore
	Seed       int64
}

// Scheduler schedules one pool. Its methods are safe for concurrent use.
type Scheduler struct {
	opts Options

	// mu guards the fields up to counters. No message is sent and no upstream is asked while
	// it is held.
	mu            sync.Mutex
	cfg           *config.Config
	hosts         []wire.HostStatus
	term          *leaseTerm
	earlyMessages []message
	crashMarks    map[crashMarkKey]time.Duration
	// unwrittenMarks counts the crash marks of each fingerprint that are queued or being
	// written.
	unwrittenMarks map[wire.Digest]int
	counters       Counters

	pollJobs          chan pollJob
	pendingCrashMarks chan sched.CrashMark
	// termStarted signals that a lease term has begun.
	termStarted chan struct{}
	// ticks replaces the ticker in tests.
	ticks <-chan time.Time
	// stopped is set when Run returns, so that nothing is granted afterwards.
	stopped atomic.Bool
}

type crashMarkKey struct {
	fingerprint wire.Digest
	upstream    string
}

// leaseTerm is the state of the scheduler from gaining a lease to losing it.
type leaseTerm struct {
	fence         uint64
	core          *sched.Pool
	syncWindowEnd time.Duration
	granting      bool
	routers       map[string]*routerState
	// syncRequested holds the boot for which each host was asked for its Sync.
	syncRequested map[string]uint64
	polls         map[string]*pollState
	refusals      []wire.Refusal
}

// routerState is what the scheduler knows about one router.
type routerState struct {
	boot uint64
	// latestClock is the highest value received of the router's own clock.
	latestClock     time.Duration
	lastSeen        time.Duration
	synced          bool
	syncRequestedAt time.Duration
}

// outgoing is a message to send after mu is released.
type outgoing struct {
	to   string
	kind wire.Kind
	msg  any
}

// New returns a Scheduler without a lease.
func New(opts Options) *Scheduler {
	return &Scheduler{
		opts: opts, crashMarks: map[crashMarkKey]time.Duration{}, unwrittenMarks: map[wire.Digest]int{},
		pollJobs:          make(chan pollJob, pollWorkers),
		pendingCrashMarks: make(chan sched.CrashMark, maxPendingCrashMarks), termStarted: make(chan struct{}, 1),
	}
}

// Run expires waits, drops silent routers and polls upstreams until ctx ends. It then
// returns nil.
func (s *Scheduler) Run(ctx context.Context) error {
	defer s.stopped.Store(true)
	g, ctx := errgroup.WithContext(ctx)
	for range pollWorkers {
		g.Go(func() error { return s.pollWorker(ctx) })
	}
	g.Go(func() error { return s.crashMarkWorker(ctx) })
	g.Go(func() error { return s.runTicks(ctx) })
	return g.Wait()
}

// runTicks ticks at tickInterval while the lease is held and at idleInterval otherwise,
// since every host has a scheduler for every pool.
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
		case <-s.termStarted:
			t.Reset(tickInterval)
		case <-ticks:
			if !s.tick() {
				t.Reset(idleInterval)
			}
		}
	}
}

func (s *Scheduler) crashMarkWorker(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-s.pendingCrashMarks:
			s.opts.CrashStore.MarkCrash(ctx, s.opts.Pool, m.Fingerprint, m.Upstream)
			if ctx.Err() != nil {
				return nil
			}
			s.markWritten(m.Fingerprint)
		}
	}
}

// markWritten lets the requests continue that waited for a crash mark.
func (s *Scheduler) markWritten(fingerprint wire.Digest) {
	s.mu.Lock()
	if s.unwrittenMarks[fingerprint]--; s.unwrittenMarks[fingerprint] == 0 {
		delete(s.unwrittenMarks, fingerprint)
	}
	var out []outgoing
	if t := s.term; t != nil && t.core != nil {
		now := s.opts.Clock.Now()
		t.core.MarkWritten(now, fingerprint)
		out = s.collectGrants(s.expireTickets(now, nil))
	}
	s.mu.Unlock()
	s.send(out)
}

// LeaseGained starts a lease term with an empty state and asks the live hosts for their
// Sync messages to rebuild it.
func (s *Scheduler) LeaseGained(pool string, fence uint64) {
	if pool != s.opts.Pool {
		return
	}
	s.mu.Lock()
	now := s.opts.Clock.Now()
	if s.term != nil && s.term.fence >= fence {
		s.mu.Unlock()
		return
	}
	s.term = &leaseTerm{
		fence: fence, syncWindowEnd: now + SyncWindow,
		syncRequested: map[string]uint64{}, routers: map[string]*routerState{}, polls: map[string]*pollState{},
	}
	out := s.collectGrants(s.startCore(now, s.requestLiveSyncs(nil)))
	s.mu.Unlock()
	select {
	case s.termStarted <- struct{}{}:
	default:
	}
	s.send(out)
}

// startCore creates the core once there are both a lease and a configuration with the
// pool, and applies the messages that arrived before.
func (s *Scheduler) startCore(now time.Duration, out []outgoing) []outgoing {
	t := s.term
	if t == nil || t.core != nil || s.cfg == nil {
		return out
	}
	pool, ok := s.cfg.Pools[s.opts.Pool]
	if !ok {
		return out
	}
	t.core = sched.New(sched.Options{Pool: pool, Policy: s.cfg.Policy, Seed: s.opts.Seed ^ int64(t.fence)})
	t.core.Configure(now, s.cfg)
	for k, until := range s.crashMarks {
		if until > now {
			t.core.RestoreMark(k.fingerprint, k.upstream, until)
		}
	}
	for fingerprint, count := range s.unwrittenMarks {
		for range count {
			t.core.AwaitMark(fingerprint)
		}
	}
	early := s.earlyMessages
	s.earlyMessages = nil
	for _, m := range early {
		if now-m.receivedAt <= earlyMessageMaxAge {
			out = s.applyMessage(now, m, out)
		}
	}
	return out
}

// LeaseLost ends the lease term and discards its state.
func (s *Scheduler) LeaseLost(pool string) {
	if pool != s.opts.Pool {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term, s.earlyMessages = nil, nil
}

// ConfigChanged applies a configuration revision before the next grant. It ignores a
// revision older than the applied one.
func (s *Scheduler) ConfigChanged(c *config.Config) {
	s.mu.Lock()
	if s.cfg != nil && c.Revision < s.cfg.Revision {
		s.mu.Unlock()
		return
	}
	s.cfg = c
	now := s.opts.Clock.Now()
	if t := s.term; t != nil && t.core != nil {
		t.core.Configure(now, c)
	}
	out := s.collectGrants(s.expireTickets(now, s.startCore(now, nil)))
	s.mu.Unlock()
	s.send(out)
}

// HostsChanged updates the list of hosts, which determines whose Sync to wait for.
func (s *Scheduler) HostsChanged(hosts []wire.HostStatus) {
	s.mu.Lock()
	s.hosts = append([]wire.HostStatus(nil), hosts...)
	out := s.collectGrants(s.requestLiveSyncs(nil))
	s.mu.Unlock()
	s.send(out)
}

// RestoreMark adds a crash mark from the replicated state, for the present and later lease
// terms. until is on the process's monotonic clock.
func (s *Scheduler) RestoreMark(fingerprint wire.Digest, upstream string, until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until <= s.opts.Clock.Now() {
		return
	}
	s.storeCrashMark(crashMarkKey{fingerprint, upstream}, until)
	if s.term != nil && s.term.core != nil {
		s.term.core.RestoreMark(fingerprint, upstream, until)
	}
}

// storeCrashMark stores a crash mark for later lease terms. At the limit it deletes the
// eighth of the marks that expires first, so that not every new mark needs a pass over all.
func (s *Scheduler) storeCrashMark(k crashMarkKey, until time.Duration) {
	if _, known := s.crashMarks[k]; !known && len(s.crashMarks) >= maxCrashMarks {
		keys := slices.Collect(maps.Keys(s.crashMarks))
		slices.SortFunc(keys, func(a, b crashMarkKey) int { return cmp.Compare(s.crashMarks[a], s.crashMarks[b]) })
		for _, old := range keys[:maxCrashMarks/8] {
			delete(s.crashMarks, old)
		}
	}
	s.crashMarks[k] = max(until, s.crashMarks[k])
}

// queueCrashMarks stores new crash marks and queues them for the replicated state. Requests
// do not wait for a mark that finds the queue full, since it is never written.
func (s *Scheduler) queueCrashMarks(e sched.Effects) {
	for _, m := range e.Marks {
		s.storeCrashMark(crashMarkKey{m.Fingerprint, m.Upstream}, m.Until)
		select {
		case s.pendingCrashMarks <- m:
			s.unwrittenMarks[m.Fingerprint]++
		default:
			s.counters.MarksLost++
			s.term.core.MarkWritten(s.opts.Clock.Now(), m.Fingerprint)
		}
	}
}

// tick does the periodic work: it ends the sync window, drops silent routers, expires
// waits and starts polls. It returns false if there is no lease term.
func (s *Scheduler) tick() bool {
	s.mu.Lock()
	now := s.opts.Clock.Now()
	if s.term == nil {
		for len(s.earlyMessages) > 0 && now-s.earlyMessages[0].receivedAt > earlyMessageMaxAge {
			s.earlyMessages = s.earlyMessages[1:]
		}
		s.mu.Unlock()
		return false
	}
	s.dropSilentRouters(now)
	out := s.collectGrants(s.expireTickets(now, nil))
	s.startPolls(now)
	s.mu.Unlock()
	s.send(out)
	return true
}

func (s *Scheduler) dropSilentRouters(now time.Duration) {
	for name, r := range s.term.routers {
		if now-r.lastSeen < RouterTimeout {
			continue
		}
		delete(s.term.routers, name)
		if s.term.core != nil {
			s.term.core.DropRouter(now, name, r.boot)
		}
		s.counters.RoutersDropped++
	}
}

// expireTickets expires waits in the core and appends the core's refusals to out.
func (s *Scheduler) expireTickets(now time.Duration, out []outgoing) []outgoing {
	t := s.term
	if t == nil || t.core == nil {
		return out
	}
	t.refusals = t.core.Expire(now, t.refusals[:0])
	for i := range t.refusals {
		r := t.refusals[i]
		out = append(out, outgoing{r.ID.Host, wire.KindRefusal, &r})
		s.counters.Refused++
	}
	return out
}

// mayGrant reports whether grants are allowed: the lease of this term is held and the sync
// window is over.
func (s *Scheduler) mayGrant(now time.Duration) bool {
	t := s.term
	if t == nil || t.core == nil || s.stopped.Load() {
		return false
	}
	fence, until, ok := s.opts.Lease.HeldUntil(s.opts.Pool)
	if !ok || fence != t.fence || now >= until {
		return false
	}
	if !t.granting {
		t.granting = now >= t.syncWindowEnd || s.allSynced()
	}
	return t.granting
}

// allSynced reports whether every live router has sent its Sync. Without a list of hosts
// it is not known whom to wait for, so the sync window lasts its full time.
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

// collectGrants takes grants from the core while the lease is held and appends them to
// out. It reads the lease and the time again for each grant.
func (s *Scheduler) collectGrants(out []outgoing) []outgoing {
	for {
		now := s.opts.Clock.Now()
		if !s.mayGrant(now) {
			return out
		}
		g, ok := s.term.core.Next(now)
		if !ok {
			return out
		}
		m := &wire.Grant{
			ID: g.ID, Pool: s.opts.Pool, Upstream: g.Upstream, Address: g.Address,
			Fence: s.term.fence, Tag: g.Tag, Virtual: g.Virtual, Estimate: g.Estimate,
			Instance: g.Instance, Limit: g.Limit,
		}
		if r := s.term.routers[g.ID.Host]; r != nil && r.boot == g.ID.Boot {
			m.Echo = r.latestClock
		}
		out = append(out, outgoing{g.ID.Host, wire.KindGrant, m})
		s.counters.Granted++
	}
}

// send passes the messages to the Sender. A failed send needs no retry: the router sends
// its Sync when it reconnects, or is dropped.
func (s *Scheduler) send(out []outgoing) {
	failed := uint64(0)
	for _, m := range out {
		if err := s.opts.Sender.Send(m.to, m.kind, m.msg); err != nil {
			failed++
		}
	}
	if failed > 0 {
		s.mu.Lock()
		s.counters.SendFailed += failed
		s.mu.Unlock()
	}
}
