package frontend

import (
	"context"
	"strings"

	"github.com/valyala/fasthttp"

	"marigoldshunt/internal/fault"
)

// buffered holds an answer that is not streamed until the service has ended. The call
// then needs no second goroutine, and a failure after Begin is still a typed refusal.
type buffered struct {
	ctx   context.Context
	resp  *fasthttp.Response
	begun bool
}

// Begin implements Answer.
func (b *buffered) Begin(status int, contentType string, header [][2]string) error {
	if b.begun {
		return b.gone()
	}
	b.begun = true
	b.resp.SetStatusCode(status)
	b.resp.Header.SetContentType(contentType)
	for _, h := range header {
		if !strings.EqualFold(h[0], "Content-Length") {
			b.resp.Header.Set(h[0], h[1])
		}
	}
	return b.gone()
}

// Write implements Answer.
func (b *buffered) Write(p []byte) error {
	b.resp.AppendBody(p)
	return b.gone()
}

func (b *buffered) gone() error {
	if b.ctx.Err() != nil {
		return context.Cause(b.ctx)
	}
	return nil
}

// serveBuffered runs the service on the connection's goroutine.
func (s *Server) serveBuffered(r *request, c *Call) error {
	ctx, cancel := context.WithCancelCause(s.base)
	defer cancel(nil)
	w := watchCaller(r.ctx.Conn(), func() { cancel(errGone) })
	defer w.stop()
	s.running.Add(1)
	defer s.running.Add(-1)
	b := &buffered{ctx: ctx, resp: &r.ctx.Response}
	err := s.o.Service.Serve(ctx, c, b)
	switch {
	case err == nil && b.begun:
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
