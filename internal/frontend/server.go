package frontend

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"marigoldshunt/internal/fault"
)

// Defaults of Options.
const (
	defaultMaxConnections = 4096
	defaultMaxHeaderBytes = 16 << 10
	defaultHeaderTimeout  = 10 * time.Second
	defaultBodyTimeout    = 30 * time.Second
	defaultIdleTimeout    = 60 * time.Second
	defaultWriteTimeout   = 30 * time.Second
)

// shutdownGrace bounds the wait for cancelled requests to send their typed end.
const shutdownGrace = 2 * time.Second

// Server serves callers.
type Server struct {
	o        Options
	http     *fasthttp.Server
	ln       atomic.Pointer[listener]
	keys     keyCache
	running  atomic.Int64
	stopping atomic.Bool
	base     context.Context
	stop     context.CancelCauseFunc
	log      *logrus.Entry

	chatChain, plainChain, discoverChain, modelsChain handler
}

// New returns a Server.
func New(o Options) *Server {
	setDefault(&o.MaxConnections, defaultMaxConnections)
	setDefault(&o.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&o.HeaderTimeout, defaultHeaderTimeout)
	setDefault(&o.BodyTimeout, defaultBodyTimeout)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.WriteTimeout, defaultWriteTimeout)
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.NewID == nil {
		o.NewID = uuid.NewString
	}
	s := &Server{o: o, log: o.Log.WithField("part", "frontend")}
	s.base, s.stop = context.WithCancelCause(context.Background())
	s.chatChain = chain(s.chat, s.authenticate, s.admit, s.deadline, s.readBody)
	s.plainChain = chain(s.plain, s.authenticate, s.admit, s.deadline, s.route, s.requireKey, s.readBody)
	s.discoverChain = chain(s.discover, s.authenticate)
	s.modelsChain = chain(s.models, s.authenticate)
	s.http = &fasthttp.Server{
		Handler:      s.handle,
		ErrorHandler: badRequest,
		Name:         "marigoldshunt",
		// The listener bounds connections; a lower bound here would answer untyped.
		Concurrency:                  o.MaxConnections + 1,
		ReadBufferSize:               o.MaxHeaderBytes,
		ReadTimeout:                  o.HeaderTimeout,
		IdleTimeout:                  o.IdleTimeout,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		// One byte makes the server hand over every body unread, so that credential and
		// contract are checked first.
		MaxRequestBodySize: 1,
		Logger:             s.log,
		LogAllErrors:       false,
	}
	return s
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// Serve serves connections of ln until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	l := &listener{Listener: ln, max: s.o.MaxConnections, write: s.o.WriteTimeout, open: map[*callerConn]struct{}{}, changed: make(chan struct{}, 1)}
	s.ln.Store(l)
	s.log.WithField("address", ln.Addr().String()).Info("Serving callers.")
	return fault.Wrap(s.http.Serve(l), fault.Internal, "", "serve callers on %s", ln.Addr())
}

// Shutdown stops accepting, waits for running requests and closes all connections.
// When ctx ends first, running requests are cancelled; they end with the typed error
// host_leaving.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	err := s.http.ShutdownWithContext(ctx)
	if err == nil || !errors.Is(err, ctx.Err()) {
		return fault.Wrap(err, fault.Internal, "", "shut down")
	}
	s.log.WithField("running", s.Running()).Warn("Ending running requests early.")
	s.stop(fault.New(fault.HostLeaving, fault.MayHaveRun, "host stopped"))
	if l := s.ln.Load(); l != nil {
		l.waitEmpty(shutdownGrace)
		l.closeAll()
	}
	return fault.Wrap(err, fault.Timeout, "", "running requests were ended early")
}

// Running returns the number of requests being served.
func (s *Server) Running() int { return int(s.running.Load()) }

// handle serves one HTTP request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	r := &request{ctx: ctx, cfg: s.o.Directory.Config(), id: s.o.NewID()}
	ctx.Response.Header.Set("X-Request-Id", r.id)
	err := s.dispatch(r)
	if s.stopping.Load() {
		ctx.SetConnectionClose()
	}
	if err != nil {
		e := fault.As(err)
		s.count(e.Code)
		if ctx.RequestBodyStream() != nil && r.body == nil {
			r.closeUnread()
		}
		writeError(ctx, e)
	}
}

// dispatch selects the handler by path and method.
func (s *Server) dispatch(r *request) error {
	path := string(r.ctx.URI().PathOriginal())
	get, post := r.ctx.IsGet(), r.ctx.IsPost()
	switch {
	case path == chatPath && post:
		return s.chatChain(r)
	case strings.HasPrefix(path, servicesPath):
		return s.plainChain(r)
	case path == "/v1/discover" && get:
		return s.discoverChain(r)
	case path == "/v1/models" && get:
		return s.modelsChain(r)
	case path == "/healthz" && get:
		return s.health(r)
	}
	return fault.New(fault.NotFound, fault.NotRun, "there is no such path and method")
}

// serveCall runs the service for one call. A stream needs a goroutine of its own,
// because the server sends it only after the handler has returned.
func (s *Server) serveCall(r *request, c *Call) error {
	if !c.Stream {
		return s.serveBuffered(r, c)
	}
	ctx, cancel := context.WithCancelCause(s.base)
	a := newAnswer(ctx, cancel, r.ctx.IsHead())
	a.watch = watchCaller(r.ctx.Conn(), func() { cancel(errGone) })
	s.running.Add(1)
	go func() {
		defer s.running.Add(-1)
		defer cancel(nil)
		err := s.o.Service.Serve(ctx, c, a)
		if a.hasBegun() {
			s.countEnd(err)
		}
		a.finish(err)
	}()
	select {
	case <-a.begun:
	case <-a.done:
	}
	if a.hasBegun() {
		a.respond(r.ctx)
		return nil
	}
	a.watch.stop()
	if a.err == nil {
		return fault.New(fault.Internal, fault.MayHaveRun, "the service gave no answer")
	}
	if callerGone(ctx) {
		r.ctx.SetConnectionClose()
	}
	return failure(ctx, a.err)
}

func (s *Server) count(code fault.Code) {
	metrics.GetOrRegisterCounter("frontend."+string(code), s.o.Metrics).Inc(1)
}

// countEnd counts the end of an answer that had begun.
func (s *Server) countEnd(err error) {
	if err == nil {
		s.count("answered")
		return
	}
	s.count("after_begin." + fault.CodeOf(err))
}

// badRequest answers requests that the HTTP parser refused.
func badRequest(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var ne net.Error
	switch {
	case errors.As(err, &small):
		writeError(ctx, fault.New(fault.BadRequest, fault.NotRun, "the header is too large"))
		ctx.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.As(err, &ne) && ne.Timeout():
		writeError(ctx, fault.New(fault.Timeout, fault.NotRun, "the request did not arrive in time"))
	default:
		writeError(ctx, fault.New(fault.BadRequest, fault.NotRun, "the request is not valid HTTP"))
	}
	if c, ok := ctx.Conn().(*callerConn); ok {
		c.unread = true
	}
}
