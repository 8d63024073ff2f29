// Package gateway is the HTTP reverse proxy for routed services: it finds the route of a
// request, authenticates the caller, lets the dispatcher choose an upstream instance, and
// relays the request and the response.
//
// It uses the server of net/http. Unlike the server of package frontend, which serves pools,
// net/http reads the connection while a request is served, which is how a caller's disconnect
// is noticed, and it can flush each event of a stream at once.
package gateway

import (
	"container/list"
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
	"marigoldshunt/internal/netopt"
	"marigoldshunt/internal/offload"
	"marigoldshunt/internal/overload"
	"marigoldshunt/internal/routing"
	"marigoldshunt/internal/wait"
)

// View is a snapshot of what a host knows of the configuration.
type View struct {
	// Table is nil before the first routing document.
	Table *routing.Table
	// Age is the time since the control group last confirmed the configuration.
	Age time.Duration
	// Leaving is true once the host is shutting down.
	Leaving bool
	// ListAge is the time since the list of instances was read, ListVersion identifies its
	// content.
	ListAge     time.Duration
	ListVersion uint64
	// ListContactAge is the time since another host last confirmed that the list is the one of the
	// fleet, 0 if it was never asked.
	ListContactAge time.Duration
}

// MaxAges are how long a host may act on what nobody confirms.
type MaxAges struct {
	// Config is that of the configuration, List that of the list of instances.
	Config, List time.Duration
}

// Check returns HostIsolated if the host must not serve requests: it has no routing
// document, its configuration is too old, or it may not know which instances leave.
func (v View) Check(limits MaxAges) error {
	switch {
	case v.Table == nil:
		return fault.New(fault.HostIsolated, fault.NotRun, "the host has no routing document yet").WithRetryAfter(shortRetryAfter)
	case v.Age > limits.Config:
		return fault.New(fault.HostIsolated, fault.NotRun, "the configuration is %s old", v.Age.Round(time.Millisecond)).WithRetryAfter(shortRetryAfter)
	case v.ListContactAge > limits.List:
		return fault.New(fault.HostIsolated, fault.NotRun, "no host has confirmed the list of upstreams for %s", v.ListContactAge.Round(time.Millisecond)).WithRetryAfter(shortRetryAfter)
	}
	return nil
}

// Forwarder sends requests to upstreams.
type Forwarder interface {
	Forward(ctx context.Context, r *engine.ForwardRequest) (*engine.ForwardResponse, error)
}

// Admitter controls the admission of requests to engines.
type Admitter interface {
	Admit(ctx context.Context, r *admission.Request) (*admission.Permit, error)
}

// Options configure a Server.
type Options struct {
	View        func() View
	HeaderNames HeaderNames
	Forwarder   Forwarder
	Dispatcher  *LockedDispatcher
	// Admission paces the prompts that engines receive; nil admits every request at once.
	Admission Admitter
	// CrashStore is the fleet-wide record of requests that crash upstreams.
	CrashStore CrashStore
	// StreamStore is the fleet-wide record of where streams began.
	StreamStore StreamStore
	// ConfirmList has another host asked soon whether its list of instances is the same. It may be nil.
	ConfirmList func()
	// MaxAges are the ages above which requests are refused.
	MaxAges MaxAges
	// MaxHeaderBytes bounds the size of a request header, ReadHeaderTimeout the time to
	// read it.
	MaxHeaderBytes    int
	ReadHeaderTimeout time.Duration
	// MaxConnections bounds the connections of callers, MaxRunning the concurrent requests;
	// 0 means no limit. While connections are being closed to make room, a sixteenth more may
	// be open.
	MaxConnections, MaxRunning int
	// MaxBufferedBytes bounds what all responses together hold beyond freeBufferedBytes each;
	// 0 means no limit.
	MaxBufferedBytes int64
	// MaxBodyMemory bounds the memory of request bodies in sum, in bytes; 0 means no limit.
	MaxBodyMemory int64
	Offload       OffloadOptions
	Log           logrus.FieldLogger
	Registry      metrics.Registry
}

// Server is the HTTP server for the callers of routed services.
type Server struct {
	opts  Options
	http  *http.Server
	log   logrus.FieldLogger
	conns *connections
	ends  connectionEnds
	// countAborted keeps Close from counting connections twice.
	countAborted sync.Once
	limiter      lockedLimiter
	// offloader passes requests on while the host is overloaded.
	offloader *offloader
	places    places
	loads     *accountLoads
	// bodies is the use of MaxBodyMemory, buffered that of MaxBufferedBytes.
	bodies, buffered budget
	crashes          *crashTracker
	streams          *streamTracker
	streamCounts     *streamCounts
	running          atomic.Int64
	// stopping ends with the call of stop, when Shutdown begins.
	stopping context.Context
	// abortAt is when Shutdown aborts running requests; nil before Shutdown.
	abortAt atomic.Pointer[time.Time]
	stop    context.CancelFunc
	// listeners holds the listeners that are drained at a stop.
	listeners struct {
		sync.Mutex
		open []*netopt.DrainingListener
	}
	// refusing counts the connections that are being refused without parsing a request.
	refusing atomic.Int64
	// awaited holds those of them that wait for their request, the longest waiting first.
	awaited struct {
		sync.Mutex
		list.List
	}
	random struct {
		sync.Mutex
		*rand.Rand
	}
}

// New returns a Server.
func New(opts Options) *Server {
	s := &Server{opts: opts, log: opts.Log, crashes: newCrashTracker(opts.CrashStore, opts.Log), ends: connectionEnds{opts.Registry}}
	s.streams = newStreamTracker(opts.StreamStore, opts.Log, func() time.Duration { return streamWindow(opts.Dispatcher.hosts()) })
	s.random.Rand = rand.New(rand.NewSource(time.Now().UnixNano()))
	s.loads, s.streamCounts = newAccountLoads(), newStreamCounts()
	s.conns = newConnections(opts.MaxConnections, time.Now)
	s.limiter.Limiter = overload.New()
	s.offloader = newOffloader(opts.Offload, offload.NewPicker(rand.New(rand.NewSource(time.Now().UnixNano()))))
	s.stopping, s.stop = context.WithCancel(context.Background())
	s.places.byAccount = map[string]int{}
	s.bodies.limit, s.buffered.limit = opts.MaxBodyMemory, opts.MaxBufferedBytes
	s.http = &http.Server{
		Handler: s, ReadHeaderTimeout: opts.ReadHeaderTimeout, ReadTimeout: 0, MaxHeaderBytes: opts.MaxHeaderBytes,
		ConnState: s.connStateChanged, ConnContext: withRawConn,
		// The server responds to malformed requests itself; they are not logged one by one.
		ErrorLog:    log.New(io.Discard, "", 0),
		BaseContext: func(net.Listener) context.Context { return context.Background() },
	}
	return s
}

// Serve accepts connections on ln until Shutdown or Close.
func (s *Server) Serve(ln net.Listener) error {
	return s.serve(newShedListener(ln, s, true), s.offloadOrRefuseEarly)
}

func (s *Server) serve(ln *shedListener, handleEarly earlyHandler) error {
	if d, ok := netopt.NewDrainingListener(ln.Listener); ok {
		ln.Listener = d
		s.addListener(d)
		context.AfterFunc(s.stopping, d.Drain)
	} else {
		context.AfterFunc(s.stopping, func() { _ = ln.Close() }) // it may be closed already
	}
	err := s.http.Serve(headerListener{ln, s, handleEarly})
	if errors.Is(err, http.ErrServerClosed) || s.stopping.Err() != nil {
		return nil
	}
	return fault.Wrap(err, fault.Internal, "", "serve callers on %s", ln.Addr())
}

func (s *Server) addListener(l *netopt.DrainingListener) {
	s.listeners.Lock()
	defer s.listeners.Unlock()
	s.listeners.open = append(s.listeners.open, l)
}

// drained reports whether no connection waits to be accepted any more, after the begin of a stop.
func (s *Server) drained() bool {
	s.listeners.Lock()
	defer s.listeners.Unlock()
	for _, l := range s.listeners.open {
		if !l.Drained() {
			return false
		}
	}
	return true
}

// Running returns the number of requests being served.
func (s *Server) Running() int { return int(s.running.Load()) }

const (
	shutdownPollInterval = 10 * time.Millisecond
	// shutdownUnreadTime is how long connections without a request may stay open at shutdown.
	shutdownUnreadTime = 5 * time.Second
	// shutdownLateTime is the time before the end of Shutdown in which requests are refused that
	// nobody has read.
	shutdownLateTime = 300 * time.Millisecond
)

// Shutdown accepts the connections that wait, stops accepting, and waits for running requests until
// ctx ends; then it closes all connections. Requests that nobody has read shortly before that are
// refused. The Shutdown of net/http would close connections whose requests it has read and not yet
// passed to the handler.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.logEnds()
	lateCtx := ctx
	if at, ok := ctx.Deadline(); ok {
		s.abortAt.Store(&at)
		var cancel context.CancelFunc
		lateCtx, cancel = context.WithDeadline(ctx, at.Add(-shutdownLateTime))
		defer cancel()
	}
	s.stop()
	s.waitForCallers(lateCtx)
	s.conns.endAllWaits(endLate)
	for n := s.Connections(); n.Open > 0 || n.Refusing > 0 || !s.drained(); n = s.Connections() {
		if !wait.For(ctx, shutdownPollInterval) {
			s.log.WithField("running", s.Running()).Warn("Running requests were aborted at shutdown.")
			break
		}
		s.conns.endAllWaits(endLate)
	}
	return s.Close()
}

// waitForCallers ends connections while they are idle, until all have ended or only those are left on
// which no request has arrived for shutdownUnreadTime, or ctx ends.
func (s *Server) waitForCallers(ctx context.Context) {
	begun := time.Now()
	for {
		s.conns.endIdleSince(time.Now(), endStop)
		n := s.Connections()
		silent := n.Open == n.Unread && time.Since(begun) > shutdownUnreadTime
		if s.drained() && n.Refusing == 0 && (n.Open == 0 || silent) {
			return
		}
		if !wait.For(ctx, shutdownPollInterval) {
			return
		}
	}
}

// logEnds logs how many connections were ended since the start, and why.
func (s *Server) logEnds() {
	if fields := s.ends.logFields(); len(fields) > 0 {
		s.log.WithFields(fields).Info("Connections of callers were ended.")
	}
}

// Close stops the server and closes all connections at once.
func (s *Server) Close() error {
	s.countAborted.Do(func() {
		open, unread := s.conns.countUnread()
		s.ends.ended(endAbort).Inc(int64(open))
		s.ends.unread(endAbort).Inc(int64(unread))
	})
	err := s.http.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil // Shutdown has closed the listener, and Serve has not returned yet
	}
	return err
}

// CloseIdle closes connections that have been idle for longer than the routing document
// allows, and those to other hosts that are no longer needed.
func (s *Server) CloseIdle(now time.Time) {
	s.offloader.closeIdleSince(now.Add(-offloadIdleTime))
	if t := s.opts.View().Table; t != nil && t.Document.Limits.IdleTimeout > 0 {
		s.conns.endIdleSince(now.Add(-t.Document.Limits.IdleTimeout), endIdle)
	}
}

func (s *Server) randomFraction() float64 {
	s.random.Lock()
	defer s.random.Unlock()
	return s.random.Float64()
}

func (s *Server) count(name string) {
	metrics.GetOrRegisterCounter("gateway."+name, s.opts.Registry).Inc(1)
}

// observeSince adds the time since start to a timer metric.
func (s *Server) observeSince(name string, start time.Time) {
	metrics.GetOrRegisterTimer("gateway."+name, s.opts.Registry).UpdateSince(start)
}
