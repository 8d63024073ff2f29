package router

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/frontend"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wire"
)

// echoPorts answers each ticket with a grant and each request with its whole answer.
type echoPorts struct {
	cfg     *config.Config
	r       *Router
	tickets chan wire.Ticket
	beats   int
}

func (e *echoPorts) Now() time.Duration { return time.Second }
func (e *echoPorts) Send(_ string, kind wire.Kind, msg any) error {
	switch kind {
	case wire.KindTicket:
		e.tickets <- msg.(wire.Ticket)
	case wire.KindBeat:
		e.beats++
	}
	return nil
}
func (e *echoPorts) Do(_ context.Context, _ *engine.Request, s engine.Sink) engine.Result {
	return whole(s)
}
func (e *echoPorts) Config() *config.Config { return e.cfg }
func (e *echoPorts) Current() bool          { return true }
func (e *echoPorts) Claim(context.Context, state.ClaimRequest) (state.ClaimAnswer, error) {
	return state.ClaimAnswer{Granted: true}, nil
}
func (e *echoPorts) FinishClaim(context.Context, state.ClaimFinish) error   { return nil }
func (e *echoPorts) ReleaseClaim(context.Context, state.ClaimRelease) error { return nil }

func newEcho() *echoPorts {
	e := &echoPorts{cfg: config.New(), tickets: make(chan wire.Ticket, 1)}
	e.cfg.Contracts["a"] = config.Contract{Account: "a", Weight: 1, MaxRun: time.Minute, MaxWait: time.Minute}
	e.cfg.DataCentres["d"] = config.DataCentre{Name: "d"}
	log := logrus.New()
	log.SetOutput(io.Discard)
	e.r = New(Options{Host: "h1", Boot: 1, DataCentre: "d", Sender: e, Engine: e, Control: e, Clock: e,
		Log: logrus.NewEntry(log), Registry: metrics.NewRegistry()})
	for i := range 30 {
		p := fmt.Sprint("p", i)
		e.cfg.Pools[p] = config.Pool{Name: p, Kind: config.KindService}
		e.cfg.Upstreams["u"+p] = config.Upstream{Name: "u" + p, Pool: p, DataCentre: "d"}
		e.r.LeasesChanged([]wire.Lease{{Pool: p, Host: "s", Fence: 5}})
	}
	return e
}

// BenchmarkServe is one request from the call of the front end to its end, without the
// upstream's time, beside other open requests.
func BenchmarkServe(b *testing.B) {
	for _, open := range []int{0, 130, 1300} {
		b.Run(fmt.Sprint("open=", open), func(b *testing.B) {
			e := newEcho()
			go func() {
				for t := range e.tickets {
					g := wire.Grant{ID: t.ID, Pool: t.Pool, Upstream: "u" + t.Pool, Fence: 5, Echo: t.RouterClock, Instance: "i"}
					payload, _ := wire.Marshal(g)
					e.r.Handle("s", 1, wire.KindGrant, payload)
				}
			}()
			defer close(e.tickets)
			for i := range open {
				e.r.open[uint64(1<<40+i)] = &request{ticket: wire.Ticket{Pool: fmt.Sprint("p", i%30)}, upstream: "x"}
			}
			call := frontend.Call{Account: "a", Pool: "p1", Idempotent: true}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if err := e.r.Serve(context.Background(), &call, &answer{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkBeat is one round of heartbeats of a router whose open requests are spread
// over 30 pools. beats/s is the rate of messages that four rounds a second give.
func BenchmarkBeat(b *testing.B) {
	for _, state := range []string{"waiting", "running"} {
		for _, open := range []int{30, 130, 1300} {
			b.Run(fmt.Sprintf("%s=%d", state, open), func(b *testing.B) {
				e := newEcho()
				for i := range open {
					q := &request{ticket: wire.Ticket{Pool: fmt.Sprint("p", i%30)}}
					if state == "running" {
						q.upstream = "x"
					}
					e.r.open[uint64(1<<40+i)] = q
				}
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					e.r.beat()
				}
				b.ReportMetric(float64(e.beats)/float64(b.N)*float64(time.Second/beatInterval), "beats/s")
			})
		}
	}
}
