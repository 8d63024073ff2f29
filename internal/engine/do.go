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

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// Headers between router and upstream.
const (
	headerRequestID = "X-Request-Id"
	headerOffset    = "X-Resume-Offset"
	headerInstance  = "X-Instance-Id"
	headerQueue     = "X-Queue-Length"
	headerNotRun    = "X-Not-Run"
	headerPrefix    = "X-Prefix-Digest"
	headerKey       = "Idempotency-Key"
	eventStream     = "text/event-stream"
	userAgent       = "marigoldshunt"
)

// passedHeaders are the response headers that callers of plain services receive.
var passedHeaders = []string{
	"Location", "ETag", "Last-Modified", "Cache-Control", "Content-Encoding",
	"Content-Language", "Content-Disposition", "Retry-After",
}

// attempt is the state of one call of Do.
type attempt struct {
	c     *Client
	ctx   context.Context
	r     *Request
	s     Sink
	x     *exchange
	res   Result
	start time.Time
	// output counts events, or estimated tokens, where no usage is reported.
	output int
	used   usage
	hasUse bool
}

// Do runs one attempt. Cancelling ctx closes the upstream connection.
//
// An answer with a status of 500 or more is not passed on; it becomes a typed error, so
// that the router may still repeat an idempotent request. All other answers are passed
// on whole. An answer that is not streamed reaches the sink only after its last byte.
func (c *Client) Do(ctx context.Context, r *Request, s Sink) Result {
	a := &attempt{c: c, ctx: ctx, r: r, s: s, start: c.o.Now()}
	a.res.Queued = -1
	a.run()
	if a.x != nil {
		a.x.finish()
	}
	a.res.Run = c.o.Now().Sub(a.start)
	a.setCost()
	metrics.GetOrRegisterCounter("engine.outcome."+outcomeName(a.res.Outcome), c.o.Metrics).Inc(1)
	return a.res
}

func (a *attempt) run() {
	if a.ctx.Err() != nil {
		a.end(wire.OutcomeCancelled, a.cancelled(fault.NotRun))
		return
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	a.r.fill(req)
	var err error
	if a.x, err = a.c.pool.start(a.ctx, a.r.Address, req); err != nil {
		a.failStart(err)
		return
	}
	a.res.FirstByte = a.c.o.Now().Sub(a.start)
	a.res.Status = a.x.resp.StatusCode()
	a.res.Instance = a.x.header(headerInstance)
	a.res.Queued = a.x.queued()
	switch {
	case a.res.Status == fasthttp.StatusServiceUnavailable && a.x.header(headerNotRun) == "true":
		_, _ = a.x.readAll(a.c.o.MaxAnswerBytes)
		a.end(wire.OutcomeRefused, fault.New(fault.UpstreamRefused, fault.NotRun, "upstream %s refused the request", a.r.Upstream))
	case a.r.Stream && a.res.Status == fasthttp.StatusOK && bytes.HasPrefix(a.x.resp.Header.ContentType(), []byte(eventStream)):
		a.stream()
	default:
		a.plain()
	}
}

// fill writes the request head and body.
func (r *Request) fill(req *fasthttp.Request) {
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
	if r.Key != "" {
		req.Header.Set(headerKey, r.Key)
	}
	if r.Prefix != (wire.Digest{}) {
		req.Header.Set(headerPrefix, hex.EncodeToString(r.Prefix[:]))
	}
	if r.Offset > 0 {
		req.Header.Set(headerOffset, strconv.Itoa(r.Offset))
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

// failStart classifies an error before the header of the answer.
func (a *attempt) failStart(err error) {
	state := fault.MayHaveRun
	if !a.x.sent {
		state = fault.NotRun
	}
	switch {
	case a.ctx.Err() != nil:
		a.end(wire.OutcomeCancelled, a.cancelled(state))
	case !a.x.dialled:
		a.end(wire.OutcomeUnreachable, wrap(err, fault.UpstreamFailed, state, "no connection to upstream %s", a.r.Upstream))
	default:
		a.end(wire.OutcomeBroken, wrap(err, fault.UpstreamFailed, state, "connection to upstream %s ended before the answer", a.r.Upstream))
	}
}

// plain passes on an answer that is not streamed, after its last byte.
func (a *attempt) plain() {
	body, err := a.x.readAll(a.c.o.MaxAnswerBytes)
	switch {
	case errors.Is(err, errTooLarge):
		a.end(wire.OutcomeFailed, wrap(err, fault.UpstreamFailed, fault.RanAndFailed, "answer of upstream %s exceeds %d bytes", a.r.Upstream, a.c.o.MaxAnswerBytes))
		return
	case err != nil:
		a.cut(err)
		return
	}
	a.used, a.hasUse = parseUsage(body)
	if a.res.Status >= fasthttp.StatusInternalServerError {
		a.end(wire.OutcomeFailed, fault.New(fault.UpstreamFailed, fault.RanAndFailed, "upstream %s answered with status %d", a.r.Upstream, a.res.Status))
		return
	}
	a.output = len(body) / bytesPerToken
	if !a.begin([2]string{"Content-Length", strconv.Itoa(len(body))}) {
		return
	}
	if len(body) > 0 {
		if err := a.s.Write(body); err != nil {
			a.end(wire.OutcomeCancelled, callerGone(err))
			return
		}
	}
	a.end(wire.OutcomeDone, nil)
}

// begin gives the head of the answer to the sink.
func (a *attempt) begin(header ...[2]string) bool {
	for _, name := range passedHeaders {
		if v := a.x.header(name); v != "" {
			header = append(header, [2]string{name, v})
		}
	}
	a.res.Began = true
	if err := a.s.Begin(a.res.Status, a.contentType(), header); err != nil {
		a.end(wire.OutcomeCancelled, callerGone(err))
		return false
	}
	return true
}

// stream passes on server-sent events one by one up to [DONE]. The answer begins with
// the first event, so that a stream that breaks before it can still be repeated.
func (a *attempt) stream() {
	// An engine that ignores the offset would deliver events twice.
	if a.r.Offset > 0 && a.x.header(headerOffset) != strconv.Itoa(a.r.Offset) {
		a.end(wire.OutcomeBroken, fault.New(fault.StreamCut, fault.MayHaveRun, "upstream %s did not resume at event %d", a.r.Upstream, a.r.Offset))
		return
	}
	er := eventReader{br: bufio.NewReader(a.x.body), limit: a.c.o.MaxEventBytes}
	for {
		event, data, err := er.next()
		if err != nil {
			a.cut(err)
			return
		}
		if !a.res.Began {
			a.res.FirstByte = a.c.o.Now().Sub(a.start)
			if !a.begin() {
				return
			}
		}
		if u, ok := parseUsage(data); ok {
			a.used, a.hasUse = u, true
		}
		if err := a.s.Write(event); err != nil {
			a.end(wire.OutcomeCancelled, callerGone(err))
			return
		}
		if bytes.Equal(data, doneMark) {
			a.drain(&er)
			a.end(wire.OutcomeDone, nil)
			return
		}
		a.res.Delivered++
		a.output++
	}
}

// drain reads the end of the body, so that the connection can be kept.
func (a *attempt) drain(er *eventReader) {
	if !a.x.framed() {
		return
	}
	// The terminating chunk follows [DONE] at once; a slower one costs the connection.
	a.x.conn.idle = drainTimeout
	_, err := er.br.ReadByte()
	a.x.conn.idle = a.c.o.IdleTimeout
	a.x.whole = errors.Is(err, io.EOF)
}

// drainTimeout bounds the wait for the terminating chunk after [DONE].
const drainTimeout = 50 * time.Millisecond

// cut classifies an error inside the answer.
func (a *attempt) cut(err error) {
	if a.ctx.Err() != nil {
		a.end(wire.OutcomeCancelled, a.cancelled(fault.MayHaveRun))
		return
	}
	code := fault.UpstreamFailed
	if a.res.Began {
		code = fault.StreamCut
	}
	a.end(wire.OutcomeBroken, wrap(err, code, fault.MayHaveRun, "answer of upstream %s is incomplete", a.r.Upstream))
}

func (a *attempt) end(o wire.Outcome, err *fault.Error) { a.res.Outcome, a.res.Err = o, err }

// cancelled tells the end of the run time from a caller that went away.
func (a *attempt) cancelled(state fault.RunState) *fault.Error {
	if errors.Is(a.ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.RunExpired, state, "run time ended")
	}
	return fault.New(fault.CallerGone, state, "request cancelled")
}

func (a *attempt) contentType() string { return string(a.x.resp.Header.ContentType()) }

// setCost charges work that may have been done; unsent requests cost nothing.
func (a *attempt) setCost() {
	if a.x == nil || !a.x.sent || a.res.Outcome == wire.OutcomeRefused {
		return
	}
	if ms, ok := serviceCost(a.r.Pool, a.res.Run); ok {
		a.res.Cost = ms
		return
	}
	if a.r.Offset > 0 {
		// Usage covers the whole answer; the earlier attempts were charged already.
		a.res.Cost = float64(a.output)
		return
	}
	if a.hasUse {
		a.res.Cost = a.used.cost()
		return
	}
	a.res.Cost = estimate(a.r.Body, a.output)
}

func callerGone(err error) *fault.Error {
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
