// Package emulator stands in for an upstream: a model engine or a plain service.
//
// It uses net/http rather than the library of the routers, so that a fault of one HTTP
// implementation cannot hide behind the same fault on the other side.
package emulator

import (
	"context"
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

// Options are the settings of one emulator. Zero values switch a behaviour off.
type Options struct {
	Kind config.Kind
	// Name begins the instance identity.
	Name string
	// Service and DataCentre are told in the list of instances.
	Service, DataCentre string
	// Slots is the number of requests that run at once; others queue.
	Slots int
	// TokensPerSecond is the speed of each stream; 0 means no delay.
	TokensPerSecond float64
	TokensPerAnswer int
	// Prefill delays the first token of a prompt whose prefix is not cached.
	Prefill time.Duration
	// WorkTime is the run time of a service call.
	WorkTime time.Duration
	// ColdCapacity is the number of requests that a cold upstream bears at once. One
	// more makes it fall over.
	ColdCapacity int
	// ColdTime ends the cold start after this time.
	ColdTime time.Duration
	// WarmAfter doubles the capacity of a cold upstream after this many successes.
	WarmAfter int
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// EventLag is the age at which cache events are published, EventGap the share of
	// events that are lost, CacheEntries the number of prefixes in the cache.
	EventLag     time.Duration
	EventGap     float64
	CacheEntries int
	// Resume says whether X-Resume-Offset is honoured.
	Resume bool
	// ChecksFence says whether orders with an old fencing number are refused.
	ChecksFence bool
	// Engine makes routed streams those of a modelled engine; nil selects fixed delays.
	Engine *enginemodel.Options
	// CrashDown is how long connections are refused after a crash.
	CrashDown time.Duration
	Seed      int64
	Log       *logrus.Logger
}

const (
	defaultSlots        = 8
	defaultTokens       = 16
	defaultCacheEntries = 256
	defaultCrashDown    = 500 * time.Millisecond
	// grantAge is the age up to which routers use a grant: work granted before a change
	// was visible may arrive this much later.
	grantAge = time.Second
	// maxBody bounds request bodies.
	maxBody = 64 << 20
	// relistenDelay is the pause between attempts to take the address again.
	relistenDelay = 5 * time.Millisecond
)

// Emulator is one upstream. Its state is guarded by mu.
type Emulator struct {
	o   Options
	log *logrus.Entry

	mu       sync.Mutex
	rng      *rand.Rand
	srv      *http.Server
	conns    map[net.Conn]struct{}
	address  string
	closed   bool
	downTill time.Time
	notRun   time.Time
	// hidden is true from TurnCold until shown, when an answer or report first carried
	// the new instance identity. A fall of a warm upstream also shows it; a further fall of
	// a cold one doesn't move shown.
	hidden   bool
	shown    time.Time
	boots    int
	instance string
	life     context.Context
	kill     context.CancelFunc
	coldAt   time.Time
	success  int
	running  int
	queued   int
	slots    chan struct{}
	samples  []sample
	busy     time.Duration
	cache    cache
	// engine is the modelled engine of the present instance.
	engine   *engineDriver
	orders   []Order
	maxFence uint64
	debug    Debug
	cut      map[string]bool
}

// New returns an Emulator.
func New(o Options) *Emulator {
	if o.Kind == "" {
		o.Kind = config.KindModel
	}
	if o.Name == "" {
		o.Name = "upstream"
	}
	if o.Slots <= 0 {
		o.Slots = defaultSlots
	}
	if o.TokensPerAnswer <= 0 {
		o.TokensPerAnswer = defaultTokens
	}
	if o.CacheEntries <= 0 {
		o.CacheEntries = defaultCacheEntries
	}
	if o.CrashDown <= 0 {
		o.CrashDown = defaultCrashDown
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	e := &Emulator{
		o: o, rng: rand.New(rand.NewSource(o.Seed)), conns: map[net.Conn]struct{}{},
		debug: Debug{Requests: map[string]int{}, Keys: map[string]int{}}, cut: map[string]bool{},
	}
	e.log = o.Log.WithFields(logrus.Fields{"part": "emulator", "name": o.Name})
	e.restart()
	return e
}

// restart gives the emulator a new instance identity, a cold state and an empty cache.
// The caller holds mu, except in New.
func (e *Emulator) restart() {
	if e.kill != nil {
		e.kill()
	}
	e.life, e.kill = context.WithCancel(context.Background())
	e.boots++
	e.instance = fmt.Sprintf("%s-%d-%08x", e.o.Name, e.boots, e.rng.Uint32())
	e.coldAt, e.success = time.Now(), 0
	e.hidden, e.shown = false, time.Time{}
	e.running, e.queued = 0, 0
	e.slots = make(chan struct{}, e.o.Slots)
	e.cache.reset(e.o.CacheEntries)
	if e.o.Engine != nil {
		e.engine = newEngineDriver(e.life, *e.o.Engine)
	}
	e.sampleLocked()
}

// Serve serves ln until Close. After a crash it takes the same address again.
func (e *Emulator) Serve(ln net.Listener) error {
	for {
		srv, ok := e.attach(ln)
		if !ok {
			return ln.Close()
		}
		err := srv.Serve(ln)
		if e.isClosed() {
			return nil
		}
		if err != http.ErrServerClosed {
			return fmt.Errorf("serve %s: %w", ln.Addr(), err)
		}
		if ln = e.relisten(); ln == nil {
			return nil
		}
	}
}

func (e *Emulator) attach(ln net.Listener) (*http.Server, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil, false
	}
	e.address = ln.Addr().String()
	e.srv = &http.Server{Handler: e.routes(), ConnState: e.connState, ReadHeaderTimeout: time.Minute}
	return e.srv, true
}

// relisten waits until the refusal of connections ends. It returns nil after Close.
func (e *Emulator) relisten() net.Listener {
	for {
		e.mu.Lock()
		closed, wait, address := e.closed, time.Until(e.downTill), e.address
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
	defer e.mu.Unlock()
	e.closed = true
	e.kill()
	if e.srv == nil {
		return nil
	}
	return e.srv.Close()
}

// fallOverLocked closes all connections and turns cold with a new instance.
func (e *Emulator) fallOverLocked() {
	known := e.shown
	if e.hidden || e.capacityLocked() == unlimited {
		// The closed connections show the fleet from now on that the upstream is cold.
		known = time.Now()
	}
	for c := range e.conns {
		c.Close()
	}
	e.restart()
	e.shown = known
}

// crashLocked is a fall that also refuses connections for a while.
func (e *Emulator) crashLocked(down time.Duration) {
	e.downTill = time.Now().Add(down)
	e.fallOverLocked()
	if srv := e.srv; srv != nil {
		go srv.Close()
	}
}

// TurnCold makes the upstream cold without warning, with a new instance. Running
// requests go on.
func (e *Emulator) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	kill := e.kill
	e.kill = nil
	running, slots, engine := e.running, e.slots, e.engine
	e.restart()
	e.running, e.slots = running, slots
	if engine != nil {
		e.engine = engine
		engine.turnCold()
	}
	next := e.kill
	e.kill = func() { kill(); next() }
	e.hidden = true
	e.debug.TurnedCold++
}

// Refuse refuses connections for d.
func (e *Emulator) Refuse(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked(d)
}

// RefuseRequests answers 503 with X-Not-Run for d.
func (e *Emulator) RefuseRequests(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notRun = time.Now().Add(d)
}

// Instance returns the present instance identity.
func (e *Emulator) Instance() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance
}
