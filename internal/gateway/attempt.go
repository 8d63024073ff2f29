package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marigoldshunt/internal/admission"
	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/fault"
)

// maxSends bounds the instances that a request is sent to when each proves that it did
// not run it.
const maxSends = 4

// attempts sends the request until it is answered or may not be sent again.
func (q *request) attempts(ctx context.Context) error {
	runs, declined := 0, 0
	for {
		err := q.attempt(ctx)
		if err == nil {
			return nil
		}
		f := fault.As(err)
		if f.Code == fault.QueueFull && f.Run == fault.NotRun && q.sends == 0 {
			// No engine was sent anything, so asking another one repeats nothing.
			if declined++; q.job.MayAskAgain(declined) && ctx.Err() == nil && len(q.job.Tried) == declined {
				continue
			}
			return f.After(dispatch.ReturnDelay(f.RetryAfter, q.route.Objective))
		}
		if f.Run != fault.NotRun {
			q.ran = true
			runs++
			if err := q.s.crashes.check(q.fingerprint); err != nil {
				return err
			}
		}
		repeatable := f.Run == fault.NotRun || q.route.MayRepeat() && runs < q.route.Attempts
		if !repeatable || ctx.Err() != nil || q.sends >= maxSends || f.Code == fault.CallerGone || f.Code == fault.PoolUnknown {
			return err
		}
		if !q.s.o.Dispatch.takeRepeat(q.service.Name) {
			q.s.count("repeat_budget_spent")
			return err
		}
		q.s.log.WithField("request", q.id).WithField("run", string(f.Run)).WithField("cause", f.Message()).Info("Request sent again.")
	}
}

// attempt sends the request to one instance and passes its answer on.
func (q *request) attempt(ctx context.Context) error {
	q.job.Left = time.Until(q.deadline)
	p, err := q.s.o.Dispatch.pick(&q.job)
	if err != nil {
		return err
	}
	outcome := dispatch.Withdrawn
	defer func() { q.s.o.Dispatch.done(p, outcome) }()
	q.job.Tried = append(q.job.Tried, p.Instance.Key())
	asked := time.Now()
	ticket, err := q.admit(ctx, p)
	if err != nil {
		outcome = dispatch.Refused
		return err
	}
	q.s.time("admission", asked)
	defer ticket.Done()
	q.ticket = ticket
	if err := q.stillAllowed(); err != nil {
		return err
	}
	if callerLeft(q.r.Context()) {
		return fault.New(fault.CallerGone, fault.NotRun, "the caller left before the request was sent")
	}
	q.sends++
	f, err := q.s.o.Forward.Forward(ctx, q.forwardRequest(p.Instance))
	if err != nil {
		outcome = outcomeOf(ctx, err)
		q.noteBreak(ctx, p, err)
		return err
	}
	defer f.Close()
	if running, waiting, ok := q.s.o.Dialect.load(f.Header); ok {
		q.s.o.Dispatch.report(p, running, waiting)
	}
	outcome, err = q.answer(ctx, p, f)
	q.noteBreak(ctx, p, err)
	return err
}

// noteBreak has an instance looked at whose connection broke under the request.
func (q *request) noteBreak(ctx context.Context, p *dispatch.Placement, err error) {
	if err != nil && ctx.Err() == nil && fault.As(err).Run == fault.MayHaveRun && fault.CodeOf(err) != fault.CallerGone {
		q.s.crashes.broke(q.service.Name, q.fingerprint(), p.Instance)
	}
}

// admit waits until the engine takes the request.
func (q *request) admit(ctx context.Context, p *dispatch.Placement) (*admission.Ticket, error) {
	if q.s.o.Admission == nil || q.service.Engine == nil {
		return nil, nil
	}
	return q.s.o.Admission.Admit(ctx, &admission.Request{
		Instance: p.Instance, Slots: q.service.Engine.Slots, MemoryTokens: q.service.Engine.MemoryTokens,
		Parts: q.job.Parts, Tokens: q.job.InputTokens, Aim: q.aim, End: q.deadline, Rank: q.job.Rank,
	})
}

// stillAllowed checks again what may have changed while the request waited, or while the
// machine stood still.
func (q *request) stillAllowed() error {
	v := q.s.o.View()
	if err := v.Check(q.s.o.MaxConfigAge); err != nil {
		return err
	}
	if v.Table.NeedsCredential(q.route) && v.Table.Account(q.r.Header.Get(q.s.o.Dialect.Credential)) == nil {
		return fault.New(fault.Unauthenticated, fault.NotRun, "the credential is not known any more")
	}
	return nil
}

// outcomeOf tells an unreachable instance from a caller that left.
func outcomeOf(ctx context.Context, err error) dispatch.Outcome {
	switch f := fault.As(err); {
	case errors.Is(ctx.Err(), context.Canceled):
		return dispatch.Withdrawn
	case f.Run != fault.NotRun:
		return dispatch.Failed
	case f.Code == fault.QueueFull:
		return dispatch.Refused
	}
	return dispatch.Unreachable
}

func (q *request) forwardRequest(i catalog.Instance) *engine.ForwardRequest {
	d := &q.s.o.Dialect
	h := q.header
	if d.Deadline != "" {
		h.Set(d.Deadline, strconv.FormatInt(max(time.Until(q.deadline).Milliseconds(), 1), 10))
	}
	if d.ExpectInstance != "" {
		h.Set(d.ExpectInstance, i.ID)
	}
	if d.LastEvent != "" && q.lastEvent != "" {
		h.Set(d.LastEvent, q.lastEvent)
	}
	return &engine.ForwardRequest{
		Address: i.Address, Method: q.r.Method, Target: q.target, Host: q.r.Host, Header: h, Body: q.body,
		IDHeader: d.AttemptID, ID: q.id, Repeatable: q.route.MayRepeat(), MaxConnections: q.s.o.Dispatch.connections(q.service.MaxConnections),
	}
}

// answer passes an answer on. Its error says whether the instance ran the request.
func (q *request) answer(ctx context.Context, p *dispatch.Placement, f *engine.Forwarded) (dispatch.Outcome, error) {
	d := &q.s.o.Dialect
	switch {
	case f.Status == http.StatusMisdirectedRequest:
		q.s.o.Dispatch.gone(p)
		return dispatch.Refused, fault.New(fault.UpstreamRefused, fault.NotRun, "another instance has the address of %s", p.Instance.ID)
	case d.NotRun != "" && f.Header.Get(d.NotRun) != "":
		return dispatch.Refused, fault.New(fault.UpstreamRefused, fault.NotRun, "instance %s refused the request with %d", p.Instance.ID, f.Status).After(retrySoon)
	case f.Status < 300 && (d.Proof != "" && f.Header.Get(d.Proof) == "" || f.Header.Get("Content-Encoding") != ""):
		return dispatch.Failed, fault.New(fault.UpstreamFailed, fault.MayHaveRun, "the answer of instance %s is not its own", p.Instance.ID)
	case f.Status < 300 && strings.HasPrefix(f.Header.Get("Content-Type"), "text/event-stream"):
		return q.stream(ctx, p, f)
	case q.began:
		return dispatch.Failed, fault.New(fault.StreamCut, fault.RanAndFailed, "instance %s did not resume the stream but answered with %d", p.Instance.ID, f.Status)
	}
	return q.whole(ctx, p, f)
}

// maxBuffered is the size up to which an answer is read whole before it is passed on, so
// that one that breaks off can still be repeated or become a failure.
const maxBuffered = 1 << 20

// whole passes on an answer that is not a stream.
func (q *request) whole(ctx context.Context, p *dispatch.Placement, f *engine.Forwarded) (dispatch.Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(f.Body, maxBuffered+1))
	if err != nil {
		return q.broken(ctx, p, err)
	}
	outcome := dispatch.Answered
	if f.Status >= 500 {
		outcome = dispatch.Failed
		if q.mayTryAgain() {
			return outcome, fault.New(fault.UpstreamFailed, fault.RanAndFailed, "instance %s answered with status %d", p.Instance.ID, f.Status)
		}
	}
	q.head(f)
	if len(body) <= maxBuffered {
		q.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		if q.r.Method == http.MethodHead && f.Length >= 0 {
			q.w.Header().Set("Content-Length", strconv.FormatInt(f.Length, 10))
		}
	} else if f.Length >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(f.Length, 10))
	}
	q.begin(f.Status)
	if _, err := q.w.Write(body); err != nil {
		return dispatch.Withdrawn, fault.Wrap(err, fault.CallerGone, fault.MayHaveRun, "the caller left")
	}
	if len(body) > maxBuffered {
		if _, err := io.Copy(q.w, f.Body); err != nil {
			return q.broken(ctx, p, err)
		}
	}
	return outcome, nil
}

// mayTryAgain reports whether a failure that the instance answered may be replaced by
// another attempt.
func (q *request) mayTryAgain() bool {
	return !q.began && q.route.MayRepeat() && q.sends < q.route.Attempts && q.sends < maxSends && time.Until(q.deadline) > q.route.Objective/4
}

// broken is the end of an attempt whose answer broke off.
func (q *request) broken(ctx context.Context, p *dispatch.Placement, err error) (dispatch.Outcome, error) {
	outcome := dispatch.Failed
	if ctx.Err() != nil {
		outcome = dispatch.Withdrawn
	}
	return outcome, fault.Wrap(err, fault.StreamCut, fault.MayHaveRun, "the answer of instance %s broke off", p.Instance.ID)
}

// head copies the header of an answer.
func (q *request) head(f *engine.Forwarded) {
	h := q.w.Header()
	for name, values := range withoutHop(f.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}

func (q *request) begin(status int) {
	q.began = true
	q.w.WriteHeader(status)
}
