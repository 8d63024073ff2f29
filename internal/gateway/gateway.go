// Package gateway serves the callers of routed services: it finds the route of a request,
// checks the caller, has an upstream instance chosen and passes request and answer on.
//
// The server is the standard library's. Unlike the one of the pool interface it reads the
// connection while a request is served, which is how a caller that leaves is noticed, and
// it sends each event of a stream at once.
package gateway

import (
	"context"
	"errors"
	"io"
	"log"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/admission"
	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/overload"
	"marigoldshunt/internal/routing"
)

// View is what a host knows of the configuration at one moment.
type View struct {
	// Table is nil before the first routing document.
	Table *routing.Table
	// Age is the time since the control group last confirmed the configuration.
	Age time.Duration
	// Leaving is true once the host shuts down.
	Leaving bool
}

// Check returns HostIsolated if the host may not serve with what it knows: there is no
// routing document, or the configuration is older than maxAge.
func (v View) Check(maxAge time.Duration) error {
	switch {
	case v.Table == nil:
		return fault.New(fault.HostIsolated, fault.NotRun, "the host has no routing document yet").After(retrySoon)
	case v.Age > maxAge:
		return fault.New(fault.HostIsolated, fault.NotRun, "the configuration is %s old", v.Age.Round(time.Millisecond)).After(retrySoon)
	}
	return nil
}

// Forwarder sends requests to upstreams.
type Forwarder interface {
	Forward(ctx context.Context, r *engine.ForwardRequest) (*engine.Forwarded, error)
}

// Admitter has requests admitted to engines.
type Admitter interface {
	Admit(ctx context.Context, r *admission.Request) (*admission.Ticket, error)
}

// Options configure a Server.
type Options struct {
	View     func() View
	Dialect  Dialect
	Forward  Forwarder
	Dispatch *Dispatch
	// Admission paces the prompts of engines; nil admits everything at once.
	Admission Admitter
	// Crashes records requests that crash upstreams for the whole fleet.
	Crashes CrashRecord
	// MaxConfigAge is the age of the configuration from which requests are refused.
	MaxConfigAge time.Duration
	// HeaderBytes and ReadTimeout bound the header and the body of a request.
	HeaderBytes int
	ReadTimeout time.Duration
	// MaxConnections bounds the connections of callers, MaxRunning the requests that are
	// served at once; 0 means no limit.
	MaxConnections, MaxRunning int
	Log                        logrus.FieldLogger
	Registry                   metrics.Registry
}

// defaultBodyBytes bounds bodies where the routing document states no limit.
const defaultBodyBytes = 4 << 20

// Server serves the callers of routed services.
type Server struct {
	o       Options
	http    *http.Server
	log     logrus.FieldLogger
	conns   *connections
	guard   guard
	crashes *crashes
	running atomic.Int64
	random  struct {
		sync.Mutex
		*rand.Rand
	}
}

// New returns a Server.
func New(o Options) *Server {
	s := &Server{o: o, log: o.Log, crashes: newCrashes(o.Crashes)}
	s.random.Rand = rand.New(rand.NewSource(time.Now().UnixNano()))
	s.conns = newConnections(o.MaxConnections, time.Now)
	s.guard.Guard = overload.New()
	s.http = &http.Server{
		Handler: s, ReadHeaderTimeout: o.ReadTimeout, ReadTimeout: 0, MaxHeaderBytes: o.HeaderBytes,
		ConnState: s.conns.changed, ConnContext: withConn,
		// Broken requests of callers are answered by the server and need no line each.
		ErrorLog:    log.New(io.Discard, "", 0),
		BaseContext: func(net.Listener) context.Context { return context.Background() },
	}
	return s
}

// Serve serves connections of ln until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	err := s.http.Serve(shedListener{ln, s})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fault.Wrap(err, fault.Internal, "", "serve callers on %s", ln.Addr())
}

// Running returns the number of requests being served.
func (s *Server) Running() int { return int(s.running.Load()) }

// Shutdown stops accepting and waits for running requests until ctx ends; then it closes
// all connections.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		s.log.WithField("running", s.Running()).Warn("Running requests were ended early.")
		return s.http.Close()
	}
	return nil
}

// Close ends the server and all connections at once.
func (s *Server) Close() error { return s.http.Close() }

// CloseIdle closes connections that callers have not used for longer than the routing
// document allows.
func (s *Server) CloseIdle(now time.Time) {
	if t := s.o.View().Table; t != nil && t.Document.Limits.IdleTimeout > 0 {
		s.conns.closeOlder(now.Add(-t.Document.Limits.IdleTimeout))
	}
}

func (s *Server) randomPoint() float64 {
	s.random.Lock()
	defer s.random.Unlock()
	return s.random.Float64()
}

func (s *Server) count(name string) {
	metrics.GetOrRegisterCounter("gateway."+name, s.o.Registry).Inc(1)
}

// time notes how long something took since began.
func (s *Server) time(name string, began time.Time) {
	metrics.GetOrRegisterTimer("gateway."+name, s.o.Registry).UpdateSince(began)
}
