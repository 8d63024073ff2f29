package frontend

import (
	"errors"
	"io"
	"net"
	"time"

	"marigoldshunt/internal/fault"
)

// readBody reads the request body within the contract's size limit and the body timeout. If
// the Content-Length exceeds the limit, the request is refused before any of it is read.
func (s *Server) readBody(next handler) handler {
	return func(r *request) error {
		limit := r.contract.MaxBodyBytes
		declared := r.ctx.Request.Header.ContentLength()
		if declared > limit {
			return r.refuseUnread(bodyTooLarge(limit))
		}
		stream := r.ctx.RequestBodyStream()
		if stream == nil {
			return next(r)
		}
		_ = r.ctx.Conn().SetReadDeadline(time.Now().Add(s.opts.BodyTimeout))
		b, err := io.ReadAll(io.LimitReader(stream, int64(limit)+1))
		_ = r.ctx.Conn().SetReadDeadline(time.Time{})
		var netErr net.Error
		switch {
		case len(b) > limit:
			return r.refuseUnread(bodyTooLarge(limit))
		case errors.As(err, &netErr) && netErr.Timeout():
			return r.refuseUnread(fault.New(fault.Timeout, fault.NotRun, "the body did not arrive within %v", s.opts.BodyTimeout))
		case err != nil:
			return r.refuseUnread(fault.New(fault.BadRequest, fault.NotRun, "the body is incomplete"))
		case declared >= 0 && len(b) < declared:
			return r.refuseUnread(fault.New(fault.BadRequest, fault.NotRun, "the body has %d of %d bytes", len(b), declared))
		}
		r.body = b
		return next(r)
	}
}

func bodyTooLarge(limit int) *fault.Error {
	return fault.New(fault.BodyTooLarge, fault.NotRun, "the body exceeds the contract's limit of %d bytes", limit)
}

// refuseUnread refuses a request whose body is not fully read. The connection cannot serve
// another request.
func (r *request) refuseUnread(e *fault.Error) error {
	r.markUnread()
	return e
}

func (r *request) markUnread() {
	r.ctx.SetConnectionClose()
	if c, ok := r.ctx.Conn().(*callerConn); ok {
		c.requestUnread = true
	}
}
