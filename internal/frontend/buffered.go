package frontend

import (
	"context"
	"strings"

	"github.com/valyala/fasthttp"

	"marigoldshunt/internal/fault"
)

// bufferedResponse holds a response that is not streamed until CallHandler.Serve returns.
// The call then needs no second goroutine, and a failure after Begin still becomes a typed
// error response.
type bufferedResponse struct {
	ctx   context.Context
	resp  *fasthttp.Response
	begun bool
}

// Begin implements ResponseWriter.
func (b *bufferedResponse) Begin(status int, contentType string, header [][2]string) error {
	if b.begun {
		return b.cancelCause()
	}
	b.begun = true
	b.resp.SetStatusCode(status)
	b.resp.Header.SetContentType(contentType)
	for _, h := range header {
		if !strings.EqualFold(h[0], "Content-Length") {
			b.resp.Header.Set(h[0], h[1])
		}
	}
	return b.cancelCause()
}

// Write implements ResponseWriter.
func (b *bufferedResponse) Write(p []byte) error {
	b.resp.AppendBody(p)
	return b.cancelCause()
}

func (b *bufferedResponse) cancelCause() error {
	if b.ctx.Err() != nil {
		return context.Cause(b.ctx)
	}
	return nil
}

// serveBuffered runs the CallHandler on the connection's goroutine.
func (s *Server) serveBuffered(r *request, c *Call) error {
	ctx, cancel := context.WithCancelCause(s.baseCtx)
	defer cancel(nil)
	w := watchCaller(r.ctx.Conn(), func() { cancel(errGone) })
	defer w.stop()
	s.running.Add(1)
	defer s.running.Add(-1)
	resp := &bufferedResponse{ctx: ctx, resp: &r.ctx.Response}
	err := s.opts.CallHandler.Serve(ctx, c, resp)
	switch {
	case err == nil && resp.begun:
		s.count("answered")
		return nil
	case err == nil:
		err = fault.New(fault.Internal, fault.MayHaveRun, "the service gave no answer")
	}
	if callerGone(ctx) {
		r.ctx.SetConnectionClose()
	}
	r.ctx.Response.Reset()
	r.ctx.Response.Header.Set("X-Request-Id", r.id)
	return failure(ctx, err)
}
