package router

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/frontend"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wire"
)

type sentMessage struct {
	to   string
	kind wire.Kind
	msg  any
}

// fixture is a router with fake dependencies. The test acts as the scheduler.
type fixture struct {
	*qt.C
	mu       sync.Mutex
	now      time.Duration
	cfg      *config.Config
	current  bool
	sent     chan sentMessage
	upstream func(r *engine.Request, s engine.Sink) engine.Result
	claim    func(r state.ClaimRequest) (state.ClaimAnswer, error)
	finished chan state.ClaimFinish
	released chan state.ClaimRelease
	r        *Router
}

func (f *fixture) Now() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fixture) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now += d
}

func (f *fixture) Send(to string, kind wire.Kind, msg any) error {
	f.sent <- sentMessage{to, kind, msg}
	return nil
}
func (f *fixture) Do(_ context.Context, r *engine.Request, s engine.Sink) engine.Result {
	return f.upstream(r, s)
}
func (f *fixture) Config() *config.Config { return f.cfg }
func (f *fixture) ConfigCurrent() bool    { return f.current }
func (f *fixture) Claim(_ context.Context, r state.ClaimRequest) (state.ClaimAnswer, error) {
	return f.claim(r)
}
func (f *fixture) FinishClaim(_ context.Context, r state.ClaimFinish) error {
	f.finished <- r
	return nil
}
func (f *fixture) ReleaseClaim(_ context.Context, r state.ClaimRelease) error {
	f.released <- r
	return nil
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{C: qt.New(t), current: true, sent: make(chan sentMessage, 64), finished: make(chan state.ClaimFinish, 4), released: make(chan state.ClaimRelease, 4)}
	f.cfg = config.New()
	f.cfg.Contracts["a"] = config.Contract{Account: "a", Weight: 1, MaxRun: time.Minute, MaxWait: time.Minute}
	f.cfg.Pools["p"] = config.Pool{Name: "p", Kind: config.KindService}
	f.cfg.DataCentres["d"] = config.DataCentre{Name: "d"}
	f.cfg.Upstreams["u1"] = config.Upstream{Name: "u1", Pool: "p", DataCentre: "d"}
	f.cfg.Upstreams["u2"] = config.Upstream{Name: "u2", Pool: "p", DataCentre: "d"}
	f.upstream = func(_ *engine.Request, s engine.Sink) engine.Result { return completeAnswer(s) }
	f.claim = func(state.ClaimRequest) (state.ClaimAnswer, error) { return state.ClaimAnswer{Granted: true}, nil }
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.r = New(Options{Host: "h1", Boot: 1, DataCentre: "d", Sender: f, UpstreamClient: f, Control: f, Clock: f,
		Log: logrus.NewEntry(log), Registry: metrics.NewRegistry()})
	f.r.LeasesChanged([]wire.Lease{{Pool: "p", Host: "s", Fence: 5}})
	f.nextMessage(wire.KindSync)
	return f
}

// nextMessage waits for the next sent message, which must be of the given kind.
func (f *fixture) nextMessage(kind wire.Kind) sentMessage {
	f.Helper()
	m := <-f.sent
	f.Assert(m.kind, qt.Equals, kind)
	return m
}

// nextTicket waits for the next sent message, which must be a ticket.
func (f *fixture) nextTicket() wire.Ticket {
	f.Helper()
	return f.nextMessage(wire.KindTicket).msg.(wire.Ticket)
}

func (f *fixture) grantFor(t wire.Ticket, upstream string) wire.Grant {
	return wire.Grant{ID: t.ID, Pool: "p", Upstream: upstream, Fence: 5, Echo: t.RouterClock, Tag: 3, Virtual: 2, Estimate: 11, Instance: "i1", Limit: 6}
}

func (f *fixture) deliver(kind wire.Kind, msg any) {
	b, err := wire.Marshal(msg)
	f.Assert(err, qt.IsNil)
	f.r.Handle("s", 1, kind, b)
}

// answer records what a caller gets.
type answer struct {
	status int
	header [][2]string
	body   []byte
}

func (a *answer) Begin(status int, _ string, header [][2]string) error {
	a.status, a.header = status, header
	return nil
}

func (a *answer) Write(p []byte) error {
	a.body = append(a.body, p...)
	return nil
}

func completeAnswer(s engine.Sink) engine.Result {
	s.Begin(200, "text/plain", nil)
	s.Write([]byte("whole"))
	return engine.Result{Outcome: wire.OutcomeDone, ResponseBegan: true, Cost: 7}
}

// serve runs a call in the background.
func (f *fixture) serve(call frontend.Call) (*answer, chan error) {
	a, end := &answer{}, make(chan error, 1)
	call.Account, call.Pool = "a", "p"
	go func() { end <- f.r.Serve(context.Background(), &call, a) }()
	return a, end
}

func idempotent() frontend.Call { return frontend.Call{Idempotent: true} }

func nonIdempotent() frontend.Call {
	return frontend.Call{IdempotencyKey: "0190c0de-0000-7000-8000-000000000001"}
}
