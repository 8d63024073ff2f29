// Package emulator emulates an upstream: a model engine or a plain service.
//
// It uses net/http rather than the HTTP library of the routers, so that a bug in one
// implementation cannot be masked by the same bug on the other side.
package emulator

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/enginemodel"
)

// Options are the settings of one emulator. A zero value disables the behaviour, except for
// Kind, Name, Slots, TokensPerResponse, CacheEntries, CrashDowntime and Log, where it
// selects the default.
type Options struct {
	Kind config.PoolKind
	// Name is the prefix of the instance ID.
	Name string
	// Service and DataCentre are published in the list of instances.
	Service, DataCentre string
	// Slots is the number of requests that run concurrently; others queue.
	Slots int
	// TokensPerSecond is the speed of each stream; 0 means no delay.
	TokensPerSecond   float64
	TokensPerResponse int
	// Prefill delays the first token of a prompt whose prefix is not cached.
	Prefill time.Duration
	// WorkTime is the processing time of a service call.
	WorkTime time.Duration
	// ColdCapacity is the number of concurrent requests that a cold upstream can handle.
	// One more makes it fail.
	ColdCapacity int
	// ColdTime is the duration of a cold start.
	ColdTime time.Duration
	// WarmAfter is the number of successes that double the capacity of a cold upstream.
	WarmAfter int
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// EventLag is the age at which cache events are published, EventLossRate the
	// fraction of events that are lost, CacheEntries the number of prefixes in the cache.
	EventLag      time.Duration
	EventLossRate float64
	CacheEntries  int
	// Resume says whether X-Resume-Offset is honoured.
	Resume bool
	// ChecksFence says whether orders with an old fencing number are refused.
	ChecksFence bool
	// Engine makes a simulated engine produce routed streams; nil selects fixed delays.
	Engine *enginemodel.Options
	// RateLimit is the number of requests per second that answers to routed requests name; 0
	// names none. It is not enforced.
	RateLimit float64
	// Version is the software version in the list of instances.
	Version string
	// Leaving makes the upstream leave from its start on, as Leave does.
	Leaving bool
	// LeaveTime is how long a leaving instance of a Group serves requests at least.
	LeaveTime time.Duration
	// KeepsID says whether the upstream starts again under its old instance ID. The list of instances then tells
	// the new process by its start time.
	KeepsID bool
	// ListLag is how long after its start an upstream that keeps its ID is listed as the process before.
	ListLag time.Duration
	// CrashPart is the hexadecimal id of a prompt part that makes the upstream crash, unless it
	// is the last part of its prompt.
	CrashPart string
	// CrashDowntime is how long connections are refused after a crash.
	CrashDowntime time.Duration
	// GarbageRate is the fraction of events of routed streams at which garbage comes, and the
	// fraction of their responses that are garbage as a whole.
	GarbageRate float64
	// GarbageKinds are the kinds of garbage; empty means all.
	GarbageKinds []GarbageKind
	Seed         int64
	Log          *logrus.Logger
}

const (
	defaultSlots         = 8
	defaultTokens        = 16
	defaultCacheEntries  = 256
	defaultCrashDowntime = 500 * time.Millisecond
	// maxGrantAge is the age up to which routers use a grant: work granted before a
	// change became visible may arrive this much later.
	maxGrantAge = time.Second
	// maxBody bounds request bodies.
	maxBody = 64 << 20
	// relistenDelay is the pause between attempts to listen on the address again.
	relistenDelay = 5 * time.Millisecond
)

// Emulator is one upstream. Its state is guarded by mu.
type Emulator struct {
	opts Options
	log  *logrus.Entry

	mu                  sync.Mutex
	rng                 *rand.Rand
	garbage             garbageSource
	srv                 *http.Server
	listener            net.Listener
	conns               map[net.Conn]struct{}
	address             string
	closed              bool
	refuseConnsUntil    time.Time
	refuseRequestsUntil time.Time
	// hidden is true from TurnCold until shownAt, the time from which the fleet can know of
	// the cold start: when a response or load report first carries the new instance ID, or
	// when a warm or hidden upstream fails. A failure of an upstream that is visibly cold
	// leaves shownAt unchanged.
	hidden   bool
	shownAt  time.Time
	boots    int
	instance string
	// bornAt is when the instance started, bornBefore when the one before did.
	bornAt, bornBefore time.Time
	leaving            bool
	instanceCtx        context.Context
	cancelInstance     context.CancelFunc
	coldSince          time.Time
	successes          int
	running            int
	queued             int
	slots              chan struct{}
	samples            []sample
	busyTime           time.Duration
	cache              cache
	// engine is the simulated engine of the current instance.
	engine   *engineDriver
	orders   []Order
	maxFence uint64
	debug    Debug
	cutIDs   map[string]bool
}

// New returns an Emulator.
func New(opts Options) *Emulator {
	if opts.Kind == "" {
		opts.Kind = config.KindModel
	}
	if opts.Name == "" {
		opts.Name = "upstream"
	}
	if opts.Slots <= 0 {
		opts.Slots = defaultSlots
	}
	if opts.TokensPerResponse <= 0 {
		opts.TokensPerResponse = defaultTokens
	}
	if opts.CacheEntries <= 0 {
		opts.CacheEntries = defaultCacheEntries
	}
	if opts.CrashDowntime <= 0 {
		opts.CrashDowntime = defaultCrashDowntime
	}
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	e := &Emulator{
		opts: opts, rng: rand.New(rand.NewSource(opts.Seed)), conns: map[net.Conn]struct{}{},
		debug:   Debug{Requests: map[string]int{}, ResumedStreams: map[string]int{}, Keys: map[string]int{}, Garbage: map[GarbageKind]int{}},
		garbage: newGarbageSource(opts.GarbageRate, opts.GarbageKinds), cutIDs: map[string]bool{}, leaving: opts.Leaving,
	}
	e.log = opts.Log.WithFields(logrus.Fields{"part": "emulator", "name": opts.Name})
	e.startInstance()
	return e
}

// startInstance gives the emulator a new instance ID, a cold state and an empty cache.
// The caller holds mu, except in New.
func (e *Emulator) startInstance() {
	if e.cancelInstance != nil {
		e.cancelInstance()
	}
	e.instanceCtx, e.cancelInstance = context.WithCancel(context.Background())
	e.boots++
	if e.instance == "" || !e.opts.KeepsID {
		e.instance = fmt.Sprintf("%s-%d-%08x", e.opts.Name, e.boots, e.rng.Uint32())
	}
	e.bornBefore, e.bornAt = e.bornAt, time.Now()
	e.coldSince, e.successes = time.Now(), 0
	e.hidden, e.shownAt = false, time.Time{}
	e.running, e.queued = 0, 0
	e.slots = make(chan struct{}, e.opts.Slots)
	e.cache.reset(e.opts.CacheEntries)
	if e.opts.Engine != nil {
		e.engine = newEngineDriver(e.instanceCtx, *e.opts.Engine)
	}
	e.sampleLocked()
}

// Serve serves ln until Close. After a crash it listens on the same address again.
func (e *Emulator) Serve(ln net.Listener) error {
	for {
		srv, ok := e.newServer(ln)
		if !ok {
			return ln.Close()
		}
		err := srv.Serve(ln)
		if e.isClosed() {
			return nil
		}
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("serve %s: %w", ln.Addr(), err)
		}
		if ln = e.relisten(); ln == nil {
			return nil
		}
	}
}

func (e *Emulator) newServer(ln net.Listener) (*http.Server, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil, false
	}
	e.address, e.listener = ln.Addr().String(), ln
	e.srv = &http.Server{Handler: e.routes(), ConnState: e.connState, ReadHeaderTimeout: time.Minute}
	return e.srv, true
}

// relisten waits until connections may be accepted again and reopens the listener. It
// returns nil after Close.
func (e *Emulator) relisten() net.Listener {
	for {
		e.mu.Lock()
		closed, wait, address := e.closed, time.Until(e.refuseConnsUntil), e.address
		e.mu.Unlock()
		if closed {
			return nil
		}
		if wait <= 0 {
			if ln, err := net.Listen("tcp", address); err == nil {
				return ln
			}
		}
		time.Sleep(max(min(wait, relistenDelay), time.Millisecond))
	}
}

func (e *Emulator) connState(c net.Conn, s http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(e.conns, c)
		return
	}
	if s == http.StateNew && time.Now().Before(e.refuseConnsUntil) {
		// The listener accepted it before it was closed.
		c.Close()
		return
	}
	e.conns[c] = struct{}{}
}

func (e *Emulator) isClosed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closed
}

// Close ends all requests and stops serving.
func (e *Emulator) Close() error {
	e.mu.Lock()
	e.closed = true
	e.cancelInstance()
	srv := e.srv
	e.mu.Unlock()
	if srv == nil {
		return nil
	}
	// Without mu, since it waits for the goroutine of Serve, which calls connState.
	return srv.Close()
}

// failLocked closes all connections and starts a new, cold instance.
func (e *Emulator) failLocked() {
	shownAt := e.shownAt
	if e.hidden || e.capacityLocked() == unlimited {
		// From now on the closed connections tell the fleet that the upstream is cold.
		shownAt = time.Now()
	}
	for c := range e.conns {
		c.Close()
	}
	e.startInstance()
	e.shownAt = shownAt
}

// crashLocked closes the listener for a period and then does the same as failLocked, so that
// a caller that sees the crash is refused.
func (e *Emulator) crashLocked(down time.Duration) {
	e.refuseConnectionsLocked(down)
	e.failLocked()
}

func (e *Emulator) refuseConnectionsLocked(d time.Duration) {
	e.refuseConnsUntil = time.Now().Add(d)
	if e.listener != nil {
		e.listener.Close()
	}
}

// TurnCold makes the upstream cold without warning, as a new instance. Running requests
// continue.
func (e *Emulator) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	cancelOld := e.cancelInstance
	e.cancelInstance = nil
	running, slots, engine := e.running, e.slots, e.engine
	e.startInstance()
	e.running, e.slots = running, slots
	if engine != nil {
		e.engine = engine
		engine.turnCold()
	}
	cancelNew := e.cancelInstance
	e.cancelInstance = func() { cancelOld(); cancelNew() }
	e.hidden = true
	e.debug.TurnedCold++
}

// RefuseConnections crashes the upstream: it closes all connections, starts a new, cold
// instance and refuses connections for d.
func (e *Emulator) RefuseConnections(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked(d)
}

// RefuseRequests answers requests with 503 and X-Not-Run for d.
func (e *Emulator) RefuseRequests(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refuseRequestsUntil = time.Now().Add(d)
}

// Leave makes answers to routed requests and lists say that the upstream is about to stop.
func (e *Emulator) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// busy reports whether a request is running or waiting.
func (e *Emulator) busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running+e.queued > 0
}

// coldForLocked returns how much longer the instance stays cold.
func (e *Emulator) coldForLocked() time.Duration {
	if e.opts.ColdTime <= 0 {
		return 0
	}
	return max(e.opts.ColdTime-time.Since(e.coldSince), 0)
}

// Instance returns the current instance ID.
func (e *Emulator) Instance() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance
}
