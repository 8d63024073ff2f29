package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"marigoldshunt/internal/admission"
	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/routing"
)

// maxSends bounds how many times a request is sent, including retries after an instance
// proved that it did not run it.
const maxSends = 4

// sendWithRetries sends the request until it is answered or must not be retried.
func (q *request) sendWithRetries(ctx context.Context) error {
	possibleRuns, declined := 0, 0
	for {
		tried := len(q.job.Tried)
		err := q.attempt(ctx)
		if err == nil {
			return nil
		}
		failure := fault.As(err)
		if failure.Code == fault.UpstreamExcluded && q.sends == 0 && ctx.Err() == nil {
			continue // nothing was sent, and the next choice leaves this instance out
		}
		if failure.Code == fault.QueueFull && failure.RunState == fault.NotRun && q.sends == 0 {
			// The request was not sent to any engine, so asking another one is not a retry.
			if declined++; q.job.MayTryAnotherEngine(declined) && ctx.Err() == nil && len(q.job.Tried) > tried {
				continue
			}
			return failure.WithRetryAfter(dispatch.RetryAfter(failure.RetryAfter, q.route.Objective))
		}
		if failure.RunState != fault.NotRun {
			q.mayHaveRun = true
			possibleRuns++
			if err := q.checkCrashes(); err != nil {
				return err
			}
		}
		retryable := failure.RunState == fault.NotRun || q.route.AllowsRerun() && possibleRuns < q.route.Attempts
		noneLeft := len(q.job.Tried) == tried // pick found no instance, and none comes back within microseconds
		if !retryable || noneLeft || ctx.Err() != nil || q.sends >= maxSends || !helpedByRetry(failure.Code) {
			return err
		}
		if !q.server.opts.Dispatcher.takeRetry(q.service.Name) {
			q.server.count("repeat_budget_spent")
			return err
		}
		q.logRepeat(failure)
	}
}

// helpedByRetry reports whether another instance may serve a request that failed with a code.
// The other codes are about the caller, the request or this host.
func helpedByRetry(code fault.Code) bool {
	switch code {
	case fault.CallerGone, fault.PoolUnknown, fault.HostIsolated, fault.Unauthenticated, fault.CrashesUpstreams:
		return false
	}
	return true
}

// attempt sends the request to one instance and relays its response.
func (q *request) attempt(ctx context.Context) error {
	q.job.Remaining, q.runEvents = time.Until(q.deadline), 0
	p, err := q.server.opts.Dispatcher.pick(&q.job)
	if err != nil {
		return err
	}
	q.instanceVersion = p.Instance.Version
	outcome := dispatch.Cancelled
	defer func() { q.server.opts.Dispatcher.done(p, outcome) }()
	q.job.Tried = append(q.job.Tried, p.Instance.Key())
	admissionStart := time.Now()
	permit, err := q.admit(ctx, p)
	if err != nil {
		if outcome = dispatch.Refused; fault.CodeOf(err) == fault.UpstreamExcluded {
			outcome = dispatch.Unreachable
		}
		return err
	}
	q.server.observeSince("admission", admissionStart)
	defer permit.Done()
	q.permit = permit
	if err := q.recheck(p); err != nil {
		return err
	}
	if callerDisconnected(q.r.Context()) {
		return fault.New(fault.CallerGone, fault.NotRun, "the caller left before the request was sent")
	}
	if q.sends++; q.sends == 1 {
		q.server.loads.send(&q.job)
	}
	resp, err := q.server.opts.Forwarder.Forward(ctx, q.forwardRequest(p.Instance))
	if err != nil {
		if outcome = outcomeOf(ctx, err); outcome == dispatch.Unreachable {
			permit.Unreachable(dispatch.ColdStart{PerSecond: q.service.ColdPerSecond, WarmUpTime: q.service.WarmUpTime})
		}
		q.reportBrokenConnection(ctx, p, err)
		return err
	}
	defer resp.Close()
	if q.server.opts.HeaderNames.ownResponse(resp.Status, resp.Header) {
		q.readState(p, resp)
	}
	outcome, err = q.relay(ctx, p, resp)
	if outcome == dispatch.Answered {
		permit.Answered()
		q.server.crashes.answered(q.fingerprint)
		q.server.crashes.partsAnswered(q.service.Name, q.job.SharedParts)
	}
	if fault.CodeOf(err) == fault.StreamCut {
		q.reportBrokenConnection(ctx, p, err) // other failures are of answers that came whole
	}
	return err
}

// readState records what a response of the instance itself says of its state.
func (q *request) readState(p *dispatch.Placement, resp *engine.ForwardResponse) {
	if running, waiting, ok := q.server.opts.HeaderNames.load(resp.Header); ok {
		q.server.opts.Dispatcher.report(p, running, waiting)
	}
	q.readLeaving(p, resp)
	q.readPause(p, resp)
	q.readRateLimit(p, resp)
}

// reportBrokenConnection has the instance probed if its connection broke during the request.
func (q *request) reportBrokenConnection(ctx context.Context, p *dispatch.Placement, err error) {
	if err != nil && ctx.Err() == nil && fault.As(err).RunState == fault.MayHaveRun && fault.CodeOf(err) != fault.CallerGone {
		q.server.count("connections_broken")
		q.server.crashes.connectionBroke(q.broken(), p.Instance)
	}
}

func (q *request) broken() brokenRequest {
	r := brokenRequest{id: q.id, service: q.service.Name, fingerprint: q.fingerprint()}
	if q.runEvents <= 1 {
		r.sharedParts = q.job.SharedParts()
	}
	return r
}

// admit waits until the gate of the instance admits the request. Instances without a model
// engine have a gate only while they name a rate limit.
func (q *request) admit(ctx context.Context, p *dispatch.Placement) (*admission.Permit, error) {
	if q.server.opts.Admission == nil || q.service.Engine == nil && p.RateLimit == 0 {
		return nil, nil
	}
	r := &admission.Request{
		Instance: p.Instance, RateLimit: p.RateLimit, Parts: q.job.Parts, Tokens: q.job.InputTokens, FirstEventDue: q.objectiveDeadline, Deadline: q.deadline, Rank: q.job.Rank,
		RequestID: q.id, LastAttempt: q.refusalEndsRequest(),
	}
	if e := q.service.Engine; e != nil {
		r.Slots, r.MemoryTokens = e.Slots, e.MemoryTokens
	}
	permit, err := q.server.opts.Admission.Admit(ctx, r)
	q.gate = r.Gate
	return permit, err
}

// recheck repeats the checks whose result may have changed while the request waited, or
// while the machine was paused.
func (q *request) recheck(p *dispatch.Placement) error {
	view := q.server.opts.View()
	q.view = view
	if err := view.Check(q.server.opts.MaxAges); err != nil {
		return err
	}
	if view.Table.NeedsCredential(q.route) && view.Table.Account(q.r.Header.Get(q.server.opts.HeaderNames.Credential)) == nil {
		return fault.New(fault.Unauthenticated, fault.NotRun, "the credential is not known any more")
	}
	if reason := q.server.opts.Dispatcher.excluded(p); reason != dispatch.NotExcluded {
		q.logExcluded(p, reason)
		return fault.New(fault.UpstreamExcluded, fault.NotRun, "instance %s may get no requests any more (%s)", p.Instance.ID, reason).WithRetryAfter(shortRetryAfter)
	}
	return q.checkCrashes()
}

// outcomeOf maps the error of a send to an outcome. It tells an unreachable instance from a
// caller that disconnected.
func outcomeOf(ctx context.Context, err error) dispatch.Outcome {
	switch f := fault.As(err); {
	case errors.Is(ctx.Err(), context.Canceled):
		return dispatch.Cancelled
	case f.RunState != fault.NotRun:
		return dispatch.Failed
	case f.Code == fault.QueueFull:
		return dispatch.Refused
	}
	return dispatch.Unreachable
}

func (q *request) forwardRequest(i catalog.Instance) *engine.ForwardRequest {
	names := &q.server.opts.HeaderNames
	h := q.header
	if names.Deadline != "" {
		h.Set(names.Deadline, strconv.FormatInt(max(time.Until(q.deadline).Milliseconds(), 1), 10))
	}
	if names.ExpectInstance != "" {
		h.Set(names.ExpectInstance, i.ID)
	}
	if names.LastEventID != "" && q.lastEventID != "" {
		h.Set(names.LastEventID, q.lastEventID)
	}
	return &engine.ForwardRequest{
		Address: i.Address, Method: q.r.Method, Target: q.target, Host: q.r.Host, Header: h, Body: q.body,
		IDHeader: names.RequestID, ID: q.id, Repeatable: q.route.AllowsRerun(), MaxConnections: q.server.opts.Dispatcher.connectionShare(q.service.MaxConnections),
	}
}

// relay passes a response on to the caller. The run state of its error says whether the
// instance ran the request.
func (q *request) relay(ctx context.Context, p *dispatch.Placement, resp *engine.ForwardResponse) (dispatch.Outcome, error) {
	names := &q.server.opts.HeaderNames
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		q.server.opts.Dispatcher.markReplaced(p)
		return dispatch.Refused, fault.New(fault.UpstreamRefused, fault.NotRun, "another instance has the address of %s", p.Instance.ID)
	case names.refused(resp.Status, resp.Header):
		return dispatch.Refused, fault.New(fault.UpstreamRefused, fault.NotRun, "instance %s refused the request with %d", p.Instance.ID, resp.Status).WithRetryAfter(shortRetryAfter)
	case !names.proven(resp.Header), encoded(resp.Header):
		return dispatch.Failed, fault.New(fault.UpstreamFailed, fault.MayHaveRun, "the answer of instance %s is not its own", p.Instance.ID)
	case resp.Status < 300 && q.route.Kind == routing.Stream:
		return q.relayStreamSuccess(ctx, p, resp)
	case resp.Status < 300 && names.notRun(resp.Header):
		return dispatch.Failed, fault.New(fault.UpstreamFailed, fault.MayHaveRun, "instance %s answered with a success that says it did not run the request", p.Instance.ID)
	case promisesNotRun(resp.Status) && !q.route.AllowsRerun():
		return dispatch.Failed, fault.New(fault.UpstreamFailed, fault.MayHaveRun, "instance %s answered with %d without proof that it did not run the request", p.Instance.ID, resp.Status)
	case q.headerWritten:
		return dispatch.Failed, fault.New(fault.StreamCut, fault.RanAndFailed, "instance %s did not resume the stream but answered with %d", p.Instance.ID, resp.Status)
	}
	return q.relayPlain(ctx, p, resp)
}

// encoded reports whether a response names an encoding of its body.
func encoded(h http.Header) bool {
	return slices.ContainsFunc(h.Values("Content-Encoding"), func(value string) bool { return value != "" })
}

// promisesNotRun reports whether callers take a status for the promise that a request has not run and
// never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// relayPlain relays a response that is not a stream.
func (q *request) relayPlain(ctx context.Context, p *dispatch.Placement, resp *engine.ForwardResponse) (dispatch.Outcome, error) {
	room := reservation{budget: &q.server.buffered}
	defer room.release()
	body, whole, err := bufferBody(resp.Body, &room)
	if err != nil {
		return q.truncated(ctx, p, err)
	}
	outcome := dispatch.Answered
	if resp.Status >= 500 {
		outcome = dispatch.Failed
		if q.mayRetryError() {
			return outcome, fault.New(fault.UpstreamFailed, fault.RanAndFailed, "instance %s answered with status %d", p.Instance.ID, resp.Status)
		}
	}
	q.copyHeader(resp)
	length := resp.Length
	if whole && q.r.Method != http.MethodHead {
		length = int64(len(body))
	}
	if length >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	q.writeHeader(resp.Status)
	if _, err := q.w.Write(body); err != nil {
		return dispatch.Cancelled, fault.Wrap(err, fault.CallerGone, fault.MayHaveRun, "the caller left")
	}
	if !whole {
		body = nil
		room.release()
		if _, err := io.Copy(q.w, resp.Body); err != nil {
			return q.truncated(ctx, p, err)
		}
	}
	return outcome, nil
}

// mayRetryError reports whether the request may be retried instead of relaying the
// instance's error response.
func (q *request) mayRetryError() bool {
	return !q.headerWritten && q.route.AllowsRerun() && q.sends < q.route.Attempts && q.sends < maxSends && time.Until(q.deadline) > q.route.Objective/4
}

// truncated returns the outcome and error of an attempt whose response ended early: its connection
// broke, or bytes came that are no part of a response.
func (q *request) truncated(ctx context.Context, p *dispatch.Placement, err error) (dispatch.Outcome, error) {
	switch {
	case ctx.Err() != nil:
		return dispatch.Cancelled, fault.Wrap(err, fault.StreamCut, fault.MayHaveRun, "the answer of instance %s broke off", p.Instance.ID)
	case connectionBroke(err):
		return dispatch.Failed, fault.Wrap(err, fault.StreamCut, fault.MayHaveRun, "the answer of instance %s broke off", p.Instance.ID)
	}
	return dispatch.Failed, fault.Wrap(err, fault.UpstreamGarbled, fault.MayHaveRun, "instance %s sent garbage", p.Instance.ID)
}

// connectionBroke reports whether the error of a read is one of the connection, or of this host. All
// others are of a body that can't be read in chunks.
func connectionBroke(err error) bool {
	var ofConnection net.Error
	var ofHost *fault.Error
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &ofConnection) || errors.As(err, &ofHost)
}

// copyHeader copies the header of an upstream's response without hop-by-hop fields. A nil
// Content-Type keeps net/http from adding one.
func (q *request) copyHeader(resp *engine.ForwardResponse) {
	h := q.w.Header()
	for name, values := range withoutHopByHop(resp.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}

func (q *request) writeHeader(status int) {
	q.headerWritten = true
	q.w.WriteHeader(status)
}
