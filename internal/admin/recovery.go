package admin

import (
	"runtime/debug"

	"github.com/valyala/fasthttp"

	"marigoldshunt/internal/fault"
)

// withRecovery turns a panic of a handler into an error of that request only.
func (s *Server) withRecovery(next handler) handler {
	return func(ctx *fasthttp.RequestCtx) (err error) {
		defer func() {
			if p := recover(); p != nil {
				s.log.WithField("stack", string(debug.Stack())).Errorf("Failed to handle a request: %v", p)
				err = fault.New(fault.Internal, fault.MayHaveRun, "the request handler failed")
			}
		}()
		return next(ctx)
	}
}
