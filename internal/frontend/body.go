package frontend

import (
	"errors"
	"io"
	"net"
	"time"

	"marigoldshunt/internal/fault"
)

// readBody reads the request body within the contract's size limit and the body
// timeout. A declared oversize is refused before any of it is read.
func (s *Server) readBody(next handler) handler {
	return func(r *request) error {
		limit := r.contract.MaxBodyBytes
		declared := r.ctx.Request.Header.ContentLength()
		if declared > limit {
			return r.refuseUnread(tooLarge(limit))
		}
		stream := r.ctx.RequestBodyStream()
		if stream == nil {
			return next(r)
		}
		_ = r.ctx.Conn().SetReadDeadline(time.Now().Add(s.o.BodyTimeout))
		b, err := io.ReadAll(io.LimitReader(stream, int64(limit)+1))
		_ = r.ctx.Conn().SetReadDeadline(time.Time{})
		var ne net.Error
		switch {
		case len(b) > limit:
			return r.refuseUnread(tooLarge(limit))
		case errors.As(err, &ne) && ne.Timeout():
			return r.refuseUnread(fault.New(fault.Timeout, fault.NotRun, "the body did not arrive within %v", s.o.BodyTimeout))
		case err != nil:
			return r.refuseUnread(fault.New(fault.BadRequest, fault.NotRun, "the body is incomplete"))
		case declared >= 0 && len(b) < declared:
			return r.refuseUnread(fault.New(fault.BadRequest, fault.NotRun, "the body has %d of %d bytes", len(b), declared))
		}
		r.body = b
		return next(r)
	}
}

func tooLarge(limit int) *fault.Error {
	return fault.New(fault.BodyTooLarge, fault.NotRun, "the body exceeds the contract's limit of %d bytes", limit)
}

// refuseUnread refuses a request whose body is partly unread. The connection cannot
// serve another request.
func (r *request) refuseUnread(e *fault.Error) error {
	r.closeUnread()
	return e
}

func (r *request) closeUnread() {
	r.ctx.SetConnectionClose()
	if c, ok := r.ctx.Conn().(*callerConn); ok {
		c.unread = true
	}
}
