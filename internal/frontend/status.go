package frontend

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"marigoldshunt/internal/fault"
)

// statusCallerGone is the conventional status for callers that closed their connection. No
// caller receives it; it only completes the table.
const statusCallerGone = 499

// statusByCode maps error codes to HTTP status codes. Only badRequest sets another status,
// for a header that is too large.
var statusByCode = map[fault.Code]int{
	fault.BadRequest:             fasthttp.StatusBadRequest,
	fault.IdempotencyKeyRequired: fasthttp.StatusBadRequest,
	fault.IdempotencyKeyInvalid:  fasthttp.StatusBadRequest,
	fault.Unauthenticated:        fasthttp.StatusUnauthorized,
	fault.Forbidden:              fasthttp.StatusForbidden,
	fault.PoolNotAllowed:         fasthttp.StatusForbidden,
	fault.NotFound:               fasthttp.StatusNotFound,
	fault.PoolUnknown:            fasthttp.StatusNotFound,
	fault.Timeout:                fasthttp.StatusRequestTimeout,
	fault.ClaimOpen:              fasthttp.StatusConflict,
	fault.AnswerNotKept:          fasthttp.StatusConflict,
	fault.RevisionConflict:       fasthttp.StatusConflict,
	fault.BodyTooLarge:           fasthttp.StatusRequestEntityTooLarge,
	fault.IdempotencyKeyReused:   fasthttp.StatusUnprocessableEntity,
	fault.IdempotencyKeyExpired:  fasthttp.StatusUnprocessableEntity,
	fault.CrashesUpstreams:       fasthttp.StatusUnprocessableEntity,
	fault.RateLimited:            fasthttp.StatusTooManyRequests,
	fault.QueueFull:              fasthttp.StatusTooManyRequests,
	fault.CallerGone:             statusCallerGone,
	fault.UpstreamFailed:         fasthttp.StatusBadGateway,
	fault.StreamCut:              fasthttp.StatusBadGateway,
	fault.UpstreamRefused:        fasthttp.StatusServiceUnavailable,
	fault.RetryBudgetSpent:       fasthttp.StatusServiceUnavailable,
	fault.HostIsolated:           fasthttp.StatusServiceUnavailable,
	fault.HostLeaving:            fasthttp.StatusServiceUnavailable,
	fault.SchedulerLost:          fasthttp.StatusServiceUnavailable,
	fault.ClaimUnavailable:       fasthttp.StatusServiceUnavailable,
	fault.RegionUnreachable:      fasthttp.StatusServiceUnavailable,
	fault.NotLeader:              fasthttp.StatusServiceUnavailable,
	fault.NoQuorum:               fasthttp.StatusServiceUnavailable,
	fault.NotFormed:              fasthttp.StatusServiceUnavailable,
	fault.WaitExpired:            fasthttp.StatusGatewayTimeout,
	fault.RunExpired:             fasthttp.StatusGatewayTimeout,
}

// statusOf returns the HTTP status for a code, 500 if the table has none.
func statusOf(c fault.Code) int {
	if s, ok := statusByCode[c]; ok {
		return s
	}
	return fasthttp.StatusInternalServerError
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         fault.Code     `json:"code"`
	Message      string         `json:"message"`
	RunState     fault.RunState `json:"run_state"`
	RetryAfterMS int64          `json:"retry_after_ms"`
}

// encodeError returns the JSON body of an error response.
func encodeError(e *fault.Error) []byte {
	b, err := json.Marshal(errorBody{errorDetail{e.Code, e.Message(), runState(e), e.RetryAfter.Milliseconds()}})
	if err != nil {
		return []byte(`{"error":{"code":"internal","message":"","run_state":"may_have_run","retry_after_ms":0}}`)
	}
	return b
}

// runState returns the run state of e, MayHaveRun if it has none.
func runState(e *fault.Error) fault.RunState {
	if e.RunState == "" {
		return fault.MayHaveRun
	}
	return e.RunState
}

// writeError responds with a typed error.
func writeError(ctx *fasthttp.RequestCtx, e *fault.Error) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(statusOf(e.Code))
	setError(&ctx.Response, e)
}

// setError sets the header and the body of a typed error response.
func setError(resp *fasthttp.Response, e *fault.Error) {
	resp.Header.SetContentType("application/json")
	resp.Header.Set("X-Error-Code", string(e.Code))
	resp.Header.Set("X-Run-State", string(runState(e)))
	if e.RetryAfter > 0 {
		resp.Header.Set("Retry-After", strconv.Itoa(ceilSeconds(e.RetryAfter)))
	}
	if e.Code == fault.Unauthenticated {
		resp.Header.Set("WWW-Authenticate", "Bearer")
	}
	resp.SetBody(encodeError(e))
}

// ceilSeconds rounds up to seconds, so that no caller retries too early.
func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }
