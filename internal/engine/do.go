package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"marigoldshunt/internal/eventstream"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// Headers and values of requests to upstreams and their responses.
const (
	headerRequestID      = "X-Request-Id"
	headerResumeOffset   = "X-Resume-Offset"
	headerInstanceID     = "X-Instance-Id"
	headerQueueLength    = "X-Queue-Length"
	headerNotRun         = "X-Not-Run"
	headerPrefixDigest   = "X-Prefix-Digest"
	headerIdempotencyKey = "Idempotency-Key"
	userAgent            = "marigoldshunt"
)

// forwardedHeaders are the response headers that are passed on to callers of plain services.
var forwardedHeaders = []string{
	"Location", "ETag", "Last-Modified", "Cache-Control", "Content-Encoding",
	"Content-Language", "Content-Disposition", "Retry-After",
}

// attempt is the state of one call of Do.
type attempt struct {
	client   *Client
	ctx      context.Context
	request  *Request
	sink     Sink
	exchange *exchange
	res      Result
	start    time.Time
	// outputTokens estimates the output if no usage is reported: one token for each event,
	// or one for bytesPerToken bytes of a body.
	outputTokens int
	usage        usage
	hasUsage     bool
}

// Do runs one attempt. Cancelling ctx closes the upstream connection.
//
// A response with a status of 500 or more is not passed on; it becomes a typed error, and
// the caller does not receive its body. All other responses are passed on in full. A
// response that is not streamed reaches the sink only after its last byte.
func (c *Client) Do(ctx context.Context, r *Request, s Sink) Result {
	a := &attempt{client: c, ctx: ctx, request: r, sink: s, start: c.opts.Now()}
	a.res.Queued = -1
	a.run()
	if a.exchange != nil {
		a.exchange.finish()
	}
	a.res.RunTime = c.opts.Now().Sub(a.start)
	a.setCost()
	metrics.GetOrRegisterCounter("engine.outcome."+outcomeName(a.res.Outcome), c.opts.Metrics).Inc(1)
	return a.res
}

func (a *attempt) run() {
	if a.ctx.Err() != nil {
		a.setOutcome(wire.OutcomeCancelled, a.cancelError(fault.NotRun))
		return
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	a.request.copyTo(req)
	var err error
	if a.exchange, err = a.client.connPool.roundTrip(a.ctx, a.request.Address, req, true, a.request.Repeatable); err != nil {
		a.failBeforeResponse(err)
		return
	}
	if !a.exchange.conn.answers(a.exchange.header(headerRequestID), a.request.ID) {
		a.setOutcome(wire.OutcomeBroken, wrap(errNoRequestNamed, fault.UpstreamFailed, fault.MayHaveRun, "upstream %s answered another request", a.request.Upstream))
		return
	}
	a.res.TimeToFirstByte = a.client.opts.Now().Sub(a.start)
	a.res.Status = a.exchange.resp.StatusCode()
	a.res.Instance = a.exchange.header(headerInstanceID)
	a.res.Queued = a.exchange.queueLength()
	switch {
	case a.res.Status == fasthttp.StatusServiceUnavailable && a.exchange.header(headerNotRun) == "true":
		_, _ = a.exchange.readAll(a.client.opts.MaxResponseBytes)
		a.setOutcome(wire.OutcomeRefused, fault.New(fault.UpstreamRefused, fault.NotRun, "upstream %s refused the request", a.request.Upstream))
	case a.request.Stream && a.res.Status < fasthttp.StatusMultipleChoices:
		a.passStream()
	default:
		a.passBuffered()
	}
}

// copyTo sets the method, URI, header and body of req.
func (r *Request) copyTo(req *fasthttp.Request) {
	req.Header.SetMethod(r.Method)
	req.Header.SetUserAgent(userAgent)
	req.Header.SetNoDefaultContentType(true)
	uri := r.Path
	if r.Query != "" {
		uri += "?" + r.Query
	}
	req.Header.SetRequestURI(uri)
	req.Header.SetHost(r.Address)
	req.Header.Set(headerRequestID, r.ID)
	if r.IdempotencyKey != "" {
		req.Header.Set(headerIdempotencyKey, r.IdempotencyKey)
	}
	if r.PrefixDigest != (wire.Digest{}) {
		req.Header.Set(headerPrefixDigest, hex.EncodeToString(r.PrefixDigest[:]))
	}
	if r.Offset > 0 {
		req.Header.Set(headerResumeOffset, strconv.Itoa(r.Offset))
	}
	for _, h := range r.Header {
		req.Header.Set(h[0], h[1])
	}
	if r.ContentType != "" {
		req.Header.SetContentType(r.ContentType)
	}
	if len(r.Body) > 0 {
		req.SetBodyRaw(r.Body)
	}
}

// failBeforeResponse classifies an error that came before the response header.
func (a *attempt) failBeforeResponse(err error) {
	state := fault.MayHaveRun
	if !a.exchange.sent {
		state = fault.NotRun
	}
	switch {
	case a.ctx.Err() != nil:
		a.setOutcome(wire.OutcomeCancelled, a.cancelError(state))
	case !a.exchange.connected:
		a.setOutcome(wire.OutcomeUnreachable, wrap(err, fault.UpstreamFailed, state, "no connection to upstream %s", a.request.Upstream))
	default:
		a.setOutcome(wire.OutcomeBroken, wrap(err, fault.UpstreamFailed, state, "connection to upstream %s ended before the answer", a.request.Upstream))
	}
}

// passBuffered passes on a response that is not streamed, after its last byte.
func (a *attempt) passBuffered() {
	body, err := a.exchange.readAll(a.client.opts.MaxResponseBytes)
	switch {
	case errors.Is(err, errTooLarge):
		a.setOutcome(wire.OutcomeFailed, wrap(err, fault.UpstreamFailed, fault.RanAndFailed, "answer of upstream %s exceeds %d bytes", a.request.Upstream, a.client.opts.MaxResponseBytes))
		return
	case err != nil:
		a.failInResponse(err)
		return
	}
	a.usage, a.hasUsage = parseUsage(body)
	if a.res.Status >= fasthttp.StatusInternalServerError {
		a.setOutcome(wire.OutcomeFailed, fault.New(fault.UpstreamFailed, fault.RanAndFailed, "upstream %s answered with status %d", a.request.Upstream, a.res.Status))
		return
	}
	a.outputTokens = len(body) / bytesPerToken
	if !a.beginResponse([2]string{"Content-Length", strconv.Itoa(len(body))}) {
		return
	}
	if len(body) > 0 {
		if err := a.sink.Write(body); err != nil {
			a.setOutcome(wire.OutcomeCancelled, callerGoneError(err))
			return
		}
	}
	a.setOutcome(wire.OutcomeDone, nil)
}

// beginResponse passes the status and header to the sink. It returns false if the caller
// has gone.
func (a *attempt) beginResponse(header ...[2]string) bool {
	for _, name := range forwardedHeaders {
		if v := a.exchange.header(name); v != "" {
			header = append(header, [2]string{name, v})
		}
	}
	a.res.ResponseBegan = true
	if err := a.sink.Begin(a.res.Status, a.contentType(), header); err != nil {
		a.setOutcome(wire.OutcomeCancelled, callerGoneError(err))
		return false
	}
	return true
}

// passStream passes on a success in answer to a request for a stream. Whatever the upstream calls it, it
// must be a stream: nothing else would show that it is incomplete.
func (a *attempt) passStream() {
	if a.res.Status != fasthttp.StatusOK || !eventstream.HasMediaType([]string{a.contentType()}) {
		a.setOutcome(wire.OutcomeBroken, fault.New(fault.UpstreamGarbled, fault.MayHaveRun, "upstream %s answered a request for a stream with status %d and no event stream", a.request.Upstream, a.res.Status))
		return
	}
	a.passEvents()
}

// passEvents passes on server-sent events one by one up to [DONE]. The response begins with
// the first event, so that a request whose stream breaks earlier can still be retried.
func (a *attempt) passEvents() {
	// An engine that ignores the offset would deliver events twice.
	if a.request.Offset > 0 && a.exchange.header(headerResumeOffset) != strconv.Itoa(a.request.Offset) {
		a.setOutcome(wire.OutcomeBroken, fault.New(fault.StreamCut, fault.MayHaveRun, "upstream %s did not resume at event %d", a.request.Upstream, a.request.Offset))
		return
	}
	er := eventReader{br: bufio.NewReader(a.exchange.body), limit: a.client.opts.MaxEventBytes}
	for {
		event, data, err := er.next()
		if err != nil {
			a.failInResponse(shortError{err})
			return
		}
		if !a.res.ResponseBegan {
			a.res.TimeToFirstByte = a.client.opts.Now().Sub(a.start)
			if !a.beginResponse() {
				return
			}
		}
		if u, ok := parseUsage(data); ok {
			a.usage, a.hasUsage = u, true
		}
		if err := a.sink.Write(event); err != nil {
			a.setOutcome(wire.OutcomeCancelled, callerGoneError(err))
			return
		}
		if bytes.Equal(data, doneData) {
			a.drainBody(&er)
			a.setOutcome(wire.OutcomeDone, nil)
			return
		}
		a.res.DeliveredEvents++
		a.outputTokens++
	}
}

// drainBody reads the end of the body, so that the connection can be reused.
func (a *attempt) drainBody(er *eventReader) {
	if !a.exchange.framed() {
		return
	}
	// The terminating chunk should follow [DONE] at once. If it doesn't arrive in time, the
	// connection is closed.
	a.exchange.conn.readDeadline = time.Now().Add(drainTimeout)
	_, err := er.br.ReadByte()
	a.exchange.conn.readDeadline = time.Time{}
	a.exchange.complete = errors.Is(err, io.EOF)
}

// drainTimeout bounds the wait for the terminating chunk after [DONE].
const drainTimeout = 50 * time.Millisecond

// failInResponse classifies an error that came after the response header.
func (a *attempt) failInResponse(err error) {
	if a.ctx.Err() != nil {
		a.setOutcome(wire.OutcomeCancelled, a.cancelError(fault.MayHaveRun))
		return
	}
	code := fault.UpstreamFailed
	if a.res.ResponseBegan {
		code = fault.StreamCut
	}
	a.setOutcome(wire.OutcomeBroken, wrap(err, code, fault.MayHaveRun, "answer of upstream %s is incomplete", a.request.Upstream))
}

func (a *attempt) setOutcome(o wire.Outcome, err *fault.Error) { a.res.Outcome, a.res.Err = o, err }

// cancelError returns the error for a cancelled context: RunExpired if the run time is over,
// CallerGone otherwise.
func (a *attempt) cancelError(state fault.RunState) *fault.Error {
	if errors.Is(a.ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.RunExpired, state, "run time ended")
	}
	return fault.New(fault.CallerGone, state, "request cancelled")
}

func (a *attempt) contentType() string { return string(a.exchange.resp.Header.ContentType()) }

// setCost sets the cost of the work that may have been done. Requests that were not sent
// or were refused cost nothing.
func (a *attempt) setCost() {
	if a.exchange == nil || !a.exchange.sent || a.res.Outcome == wire.OutcomeRefused {
		return
	}
	if ms, ok := serviceCost(a.request.Pool, a.res.RunTime); ok {
		a.res.Cost = ms
		return
	}
	if a.request.Offset > 0 {
		// Usage covers the whole response, and earlier attempts were charged already.
		a.res.Cost = float64(a.outputTokens)
		return
	}
	if a.hasUsage {
		a.res.Cost = a.usage.cost()
		return
	}
	a.res.Cost = estimateCost(a.request.Body, a.outputTokens)
}

func callerGoneError(err error) *fault.Error {
	return wrap(err, fault.CallerGone, fault.MayHaveRun, "caller went away")
}

func wrap(err error, code fault.Code, run fault.RunState, format string, args ...any) *fault.Error {
	return fault.As(fault.Wrap(err, code, run, format, args...))
}

func outcomeName(o wire.Outcome) string {
	switch o {
	case wire.OutcomeDone:
		return "done"
	case wire.OutcomeRefused:
		return "refused"
	case wire.OutcomeUnreachable:
		return "unreachable"
	case wire.OutcomeBroken:
		return "broken"
	case wire.OutcomeCancelled:
		return "cancelled"
	default:
		return "failed"
	}
}
