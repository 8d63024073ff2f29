package admin

import (
	"encoding/json"
	"errors"

	"github.com/valyala/fasthttp"

	"marigoldshunt/internal/fault"
)

// Headers of error responses.
const (
	headerRunState  = "X-Run-State"
	headerErrorCode = "X-Error-Code"
)

// handler answers a request or returns an error.
type handler func(ctx *fasthttp.RequestCtx) error

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error. For revision_conflict, Revision is the current
// revision of the object.
type ErrorDetail struct {
	Code         fault.Code     `json:"code"`
	Message      string         `json:"message"`
	RunState     fault.RunState `json:"run_state"`
	RetryAfterMS int64          `json:"retry_after_ms"`
	Revision     uint64         `json:"revision,omitempty"`
}

// withErrors writes an error of the next handler as an error response with a code.
func (s *Server) withErrors(next handler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		s.requests.Inc(1)
		if err := next(ctx); err != nil {
			writeError(ctx, err)
		}
	}
}

func writeError(ctx *fasthttp.RequestCtx, err error) {
	f := fault.As(err)
	body, _ := json.Marshal(ErrorBody{ErrorDetail{
		Code: f.Code, Message: f.Message(), RunState: f.RunState,
		RetryAfterMS: f.RetryAfter.Milliseconds(), Revision: f.Revision,
	}})
	ctx.SetStatusCode(statusOf(f.Code))
	ctx.Response.Header.Set(headerErrorCode, string(f.Code))
	if f.RunState != "" {
		ctx.Response.Header.Set(headerRunState, string(f.RunState))
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// handleReadError answers requests that can't be parsed or whose body is too large. It runs
// before authentication.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		if _, ok := s.authenticate(&ctx.Request.Header); !ok {
			s.unauthenticated.Inc(1)
			writeError(ctx, fault.New(fault.Unauthenticated, fault.NotRun, "the credential of an operator is required"))
			return
		}
		writeError(ctx, fault.New(fault.BodyTooLarge, fault.NotRun, "the body exceeds %d bytes", maxBodyBytes))
		return
	}
	writeError(ctx, fault.New(fault.BadRequest, fault.NotRun, "the request can't be parsed"))
}

// statusOf returns the HTTP status of an error code.
func statusOf(code fault.Code) int {
	switch code {
	case fault.BadRequest, fault.InvalidConfig, fault.InvalidSettings, fault.IdempotencyKeyInvalid:
		return fasthttp.StatusBadRequest
	case fault.Unauthenticated:
		return fasthttp.StatusUnauthorized
	case fault.Forbidden:
		return fasthttp.StatusForbidden
	case fault.NotFound, fault.PoolUnknown:
		return fasthttp.StatusNotFound
	case fault.RevisionConflict, fault.NotFormed, fault.AlreadyFormed, fault.MembershipConflict, fault.StaleFence:
		return fasthttp.StatusConflict
	case fault.BodyTooLarge, fault.FrameTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case fault.IdempotencyKeyReused:
		return fasthttp.StatusUnprocessableEntity
	case fault.RateLimited, fault.QueueFull:
		return fasthttp.StatusTooManyRequests
	case fault.OrderFailed, fault.UpstreamFailed:
		return fasthttp.StatusBadGateway
	case fault.NotLeader, fault.NoQuorum, fault.HostIsolated, fault.HostLeaving, fault.RegionUnreachable,
		fault.PeerUnreachable, fault.SchedulerLost, fault.StorageFailed, fault.StorageCorrupt, fault.StorageForeign:
		return fasthttp.StatusServiceUnavailable
	case fault.Timeout:
		return fasthttp.StatusGatewayTimeout
	}
	return fasthttp.StatusInternalServerError
}
