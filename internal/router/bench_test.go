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

// echoPorts is a fake of all dependencies of a Router. It queues tickets for the benchmark
// and answers each request with a complete answer.
type echoPorts struct {
	cfg        *config.Config
	r          *Router
	tickets    chan wire.Ticket
	heartbeats int
}

func (e *echoPorts) Now() time.Duration { return time.Second }
func (e *echoPorts) Send(_ string, kind wire.Kind, msg any) error {
	switch kind {
	case wire.KindTicket:
		e.tickets <- msg.(wire.Ticket)
	case wire.KindRouterHeartbeat:
		e.heartbeats++
	}
	return nil
}
func (e *echoPorts) Do(_ context.Context, _ *engine.Request, s engine.Sink) engine.Result {
	return completeAnswer(s)
}
func (e *echoPorts) Config() *config.Config { return e.cfg }
func (e *echoPorts) ConfigCurrent() bool    { return true }
func (e *echoPorts) Claim(context.Context, state.ClaimRequest) (state.ClaimAnswer, error) {
	return state.ClaimAnswer{Granted: true}, nil
}
func (e *echoPorts) FinishClaim(context.Context, state.ClaimFinish) error   { return nil }
func (e *echoPorts) ReleaseClaim(context.Context, state.ClaimRelease) error { return nil }

func newEchoPorts() *echoPorts {
	e := &echoPorts{cfg: config.New(), tickets: make(chan wire.Ticket, 1)}
	e.cfg.Contracts["a"] = config.Contract{Account: "a", Weight: 1, MaxRun: time.Minute, MaxWait: time.Minute}
	e.cfg.DataCentres["d"] = config.DataCentre{Name: "d"}
	log := logrus.New()
	log.SetOutput(io.Discard)
	e.r = New(Options{Host: "h1", Boot: 1, DataCentre: "d", Sender: e, UpstreamClient: e, Control: e, Clock: e,
		Log: logrus.NewEntry(log), Registry: metrics.NewRegistry()})
	for i := range 30 {
		p := fmt.Sprint("p", i)
		e.cfg.Pools[p] = config.Pool{Name: p, Kind: config.KindService}
		e.cfg.Upstreams["u"+p] = config.Upstream{Name: "u" + p, Pool: p, DataCentre: "d"}
		e.r.LeasesChanged([]wire.Lease{{Pool: p, Host: "s", Fence: 5}})
	}
	return e
}

// BenchmarkServe measures one Serve call, without time at the upstream, while other
// requests are open.
func BenchmarkServe(b *testing.B) {
	for _, open := range []int{0, 130, 1300} {
		b.Run(fmt.Sprint("open=", open), func(b *testing.B) {
			e := newEchoPorts()
			go func() {
				for t := range e.tickets {
					g := wire.Grant{ID: t.ID, Pool: t.Pool, Upstream: "u" + t.Pool, Fence: 5, Echo: t.RouterClock, Instance: "i"}
					payload, _ := wire.Marshal(g)
					e.r.Handle("s", 1, wire.KindGrant, payload)
				}
			}()
			defer close(e.tickets)
			for i := range open {
				e.r.openRequests[uint64(1<<40+i)] = &openRequest{ticket: wire.Ticket{Pool: fmt.Sprint("p", i%30)}, upstream: "x"}
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

// BenchmarkBeat measures one round of heartbeats of a router whose open requests are
// spread over 30 pools. beats/s is the message rate at four rounds per second.
func BenchmarkBeat(b *testing.B) {
	for _, state := range []string{"waiting", "running"} {
		for _, open := range []int{30, 130, 1300} {
			b.Run(fmt.Sprintf("%s=%d", state, open), func(b *testing.B) {
				e := newEchoPorts()
				for i := range open {
					req := &openRequest{ticket: wire.Ticket{Pool: fmt.Sprint("p", i%30)}}
					if state == "running" {
						req.upstream = "x"
					}
					e.r.openRequests[uint64(1<<40+i)] = req
				}
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					e.r.sendHeartbeats()
				}
				b.ReportMetric(float64(e.heartbeats)/float64(b.N)*float64(time.Second/heartbeatInterval), "beats/s")
			})
		}
	}
}
