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

// shutdownGrace limits the wait for cancelled requests to send their typed error.
const shutdownGrace = 2 * time.Second

// Server serves callers.
type Server struct {
	opts        Options
	httpServer  *fasthttp.Server
	listener    atomic.Pointer[listener]
	credentials indexCache
	running     atomic.Int64
	stopping    atomic.Bool
	baseCtx     context.Context
	cancelBase  context.CancelCauseFunc
	log         *logrus.Entry

	chatChain, serviceChain, discoverChain, modelsChain handler
}

// New returns a Server.
func New(opts Options) *Server {
	setDefault(&opts.MaxConnections, defaultMaxConnections)
	setDefault(&opts.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&opts.HeaderTimeout, defaultHeaderTimeout)
	setDefault(&opts.BodyTimeout, defaultBodyTimeout)
	setDefault(&opts.IdleTimeout, defaultIdleTimeout)
	setDefault(&opts.WriteTimeout, defaultWriteTimeout)
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.NewID == nil {
		opts.NewID = uuid.NewString
	}
	s := &Server{opts: opts, log: opts.Log.WithField("part", "frontend")}
	s.baseCtx, s.cancelBase = context.WithCancelCause(context.Background())
	s.chatChain = chain(s.chat, s.authenticate, s.requireAvailable, s.setDeadline, s.readBody)
	s.serviceChain = chain(s.serveService, s.authenticate, s.requireAvailable, s.setDeadline, s.findRoute, s.requireIdempotencyKey, s.readBody)
	s.discoverChain = chain(s.discover, s.authenticate)
	s.modelsChain = chain(s.models, s.authenticate)
	s.httpServer = &fasthttp.Server{
		Handler:      s.handle,
		ErrorHandler: badRequest,
		ConnState:    connStateChanged,
		Name:         "marigoldshunt",
		// The listener limits the connections. A lower limit here would refuse connections
		// without a typed error.
		Concurrency:                  opts.MaxConnections + 1,
		ReadBufferSize:               opts.MaxHeaderBytes,
		ReadTimeout:                  opts.HeaderTimeout,
		IdleTimeout:                  opts.IdleTimeout,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		// A limit of one byte makes the server pass on every body unread, so that credential
		// and contract are checked first.
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
	l := &listener{Listener: ln, maxConnections: s.opts.MaxConnections, writeTimeout: s.opts.WriteTimeout, open: map[*callerConn]struct{}{}, removed: make(chan struct{}, 1)}
	s.listener.Store(l)
	s.log.WithField("address", ln.Addr().String()).Info("Serving callers.")
	return fault.Wrap(s.httpServer.Serve(l), fault.Internal, "", "serve callers on %s", ln.Addr())
}

// Shutdown stops accepting connections, waits for running requests and closes all
// connections. If ctx ends first, running requests are cancelled; they end with the typed
// error host_leaving.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	if l := s.listener.Load(); l != nil {
		l.stopping.Store(true)
	}
	err := s.httpServer.ShutdownWithContext(ctx)
	if l := s.listener.Load(); l != nil && err == nil {
		l.waitEmpty(lingerTimeout) // refusals are still being written
	}
	if err == nil || !errors.Is(err, ctx.Err()) {
		return fault.Wrap(err, fault.Internal, "", "shut down")
	}
	s.log.WithField("running", s.Running()).Warn("Ending running requests early.")
	s.cancelBase(fault.New(fault.HostLeaving, fault.MayHaveRun, "host stopped"))
	if l := s.listener.Load(); l != nil {
		l.waitEmpty(shutdownGrace)
		l.closeAll()
	}
	return fault.Wrap(err, fault.Timeout, "", "running requests were ended early")
}

// Running returns the number of requests being served.
func (s *Server) Running() int { return int(s.running.Load()) }

// handle serves one HTTP request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	r := &request{ctx: ctx, cfg: s.opts.ControlView.Config(), id: s.opts.NewID()}
	ctx.Response.Header.Set("X-Request-Id", r.id)
	err := s.dispatch(r)
	if s.stopping.Load() {
		ctx.SetConnectionClose()
	}
	if err != nil {
		e := fault.As(err)
		s.count(e.Code)
		if ctx.RequestBodyStream() != nil && r.body == nil {
			r.markUnread()
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
		return s.serviceChain(r)
	case path == "/v1/discover" && get:
		return s.discoverChain(r)
	case path == "/v1/models" && get:
		return s.modelsChain(r)
	case path == "/healthz" && get:
		return s.health(r)
	}
	return fault.New(fault.NotFound, fault.NotRun, "there is no such path and method")
}

// serveCall runs the CallHandler for one call. A stream needs its own goroutine, because
// the HTTP server sends the body only after the handler has returned.
func (s *Server) serveCall(r *request, c *Call) error {
	if !c.Stream {
		return s.serveBuffered(r, c)
	}
	ctx, cancel := context.WithCancelCause(s.baseCtx)
	resp := newStreamedResponse(ctx, cancel, r.ctx.IsHead())
	resp.callerWatch = watchCaller(r.ctx.Conn(), func() { cancel(errGone) })
	s.running.Add(1)
	go func() {
		defer s.running.Add(-1)
		defer cancel(nil)
		err := s.opts.CallHandler.Serve(ctx, c, resp)
		if resp.hasBegun() {
			s.countEnd(err)
		}
		resp.finish(err)
	}()
	select {
	case <-resp.begun:
	case <-resp.handlerReturned:
	}
	if resp.hasBegun() {
		resp.writeTo(r.ctx)
		return nil
	}
	resp.callerWatch.stop()
	if resp.err == nil {
		return fault.New(fault.Internal, fault.MayHaveRun, "the service gave no answer")
	}
	if callerGone(ctx) {
		r.ctx.SetConnectionClose()
	}
	return failure(ctx, resp.err)
}

func (s *Server) count(code fault.Code) {
	metrics.GetOrRegisterCounter("frontend."+string(code), s.opts.Metrics).Inc(1)
}

// countEnd counts the end of a response that had begun.
func (s *Server) countEnd(err error) {
	if err == nil {
		s.count("answered")
		return
	}
	s.count("after_begin." + fault.CodeOf(err))
}

// badRequest responds to requests that the HTTP server could not read or parse.
func badRequest(ctx *fasthttp.RequestCtx, err error) {
	var headerTooLarge *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.As(err, &headerTooLarge):
		writeError(ctx, fault.New(fault.BadRequest, fault.NotRun, "the header is too large"))
		ctx.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.As(err, &netErr) && netErr.Timeout():
		writeError(ctx, fault.New(fault.Timeout, fault.NotRun, "the request did not arrive in time"))
	default:
		writeError(ctx, fault.New(fault.BadRequest, fault.NotRun, "the request is not valid HTTP"))
	}
	if c, ok := ctx.Conn().(*callerConn); ok {
		c.requestUnread = true
	}
}
