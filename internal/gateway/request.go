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
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/routing"
	"marigoldshunt/internal/wire"
)

// request is one attempt of a caller.
type request struct {
	s       *Server
	w       http.ResponseWriter
	r       *http.Request
	id      string
	arrived time.Time
	route   *routing.Route
	service *routing.Service
	account string
	target  string
	body    []byte
	header  http.Header
	// deadline is when the route's timeout or the caller's patience ends.
	deadline time.Time
	// aim is when the first event, or the whole answer, should be there.
	aim time.Time
	job dispatch.Job
	// digest is the fingerprint once it was computed.
	digest *wire.Digest
	// began is true once the head of an answer was written.
	began bool
	// lastEvent is the id of the last event that the caller got.
	lastEvent string
	// ran is true once an instance may have run the request.
	ran   bool
	sends int
	// ticket is the admission of the present attempt; nil without one.
	ticket *admission.Ticket
}

// ServeHTTP serves one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	q := &request{s: s, w: w, r: r, id: r.Header.Get(s.o.Dialect.AttemptID)}
	w.Header()["Date"] = nil
	if len(r.TransferEncoding) > 0 {
		// What follows a chunked body is not read as a request, because it could be part of
		// a request whose length two readers understand differently.
		w.Header().Set("Connection", "close")
	}
	err := q.prepare()
	if err == nil {
		err = q.serve()
	}
	s.time("answer", q.arrived)
	if err != nil {
		q.fail(fault.As(err))
		return
	}
	s.count("answered")
}

// prepare checks the request and reads its body.
func (q *request) prepare() error {
	q.arrived = time.Now()
	v := q.s.o.View()
	if v.Leaving {
		q.w.Header().Set("Connection", "close")
	}
	if err := v.Check(q.s.o.MaxConfigAge); err != nil {
		return err
	}
	if err := q.setTarget(); err != nil {
		return err
	}
	path, _, _ := strings.Cut(q.target, "?")
	if q.route = v.Table.Route(q.r.Host, path); q.route == nil {
		return fault.New(fault.NotFound, fault.NotRun, "no route for %s%s", q.r.Host, path)
	}
	if err := q.authenticate(v.Table); err != nil {
		return err
	}
	if err := q.s.accept(q.account); err != nil {
		return err
	}
	q.service = v.Table.Service(q.route.Pick(q.s.randomPoint()))
	q.setDeadline(q.arrived)
	if err := q.readBody(v.Table.Document.Limits); err != nil {
		return err
	}
	q.header = q.s.o.Dialect.forwarded(q.r.Header, q.account)
	q.lastEvent = q.r.Header.Get(q.s.o.Dialect.LastEvent)
	q.setJob()
	if err := q.s.crashes.check(q.fingerprint); err != nil {
		return err
	}
	q.s.o.Dispatch.countRequest(&q.job)
	return nil
}

// retrySoon is the delay for callers who should ask another host.
const retrySoon = 100 * time.Millisecond

func (q *request) setTarget() error {
	q.target = q.r.RequestURI
	if !strings.HasPrefix(q.target, "/") {
		if q.r.URL.Host == "" {
			return fault.New(fault.BadRequest, fault.NotRun, "the request target %q is not a path", q.target)
		}
		q.target = q.r.URL.RequestURI()
	}
	return nil
}

func (q *request) authenticate(t *routing.Table) error {
	a := t.Account(q.r.Header.Get(q.s.o.Dialect.Credential))
	if a != nil {
		q.account = a.Name
	} else if t.NeedsCredential(q.route) {
		return fault.New(fault.Unauthenticated, fault.NotRun, "the credential is not known")
	}
	return nil
}

func (q *request) setDeadline(arrived time.Time) {
	q.deadline = arrived.Add(q.route.Timeout)
	q.aim = arrived.Add(q.route.Objective)
	if left, ok := q.s.o.Dialect.deadline(q.r.Header); ok && left < q.route.Timeout {
		q.deadline = arrived.Add(left)
	}
}

// readBody reads the whole body, which a repeat needs and which keeps a slow caller from
// holding an upstream.
func (q *request) readBody(l routing.Limits) error {
	limit := int64(l.BodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if q.r.ContentLength > limit {
		return q.bodyTooLarge(limit)
	}
	rc := http.NewResponseController(q.w)
	_ = rc.SetReadDeadline(q.deadline) // without it the server's own limits hold
	body, err := readAll(http.MaxBytesReader(q.w, q.r.Body, limit), q.r.ContentLength)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return q.bodyTooLarge(limit)
	case err != nil:
		q.w.Header().Set("Connection", "close")
		return fault.Wrap(err, fault.BadRequest, fault.NotRun, "the body did not arrive")
	}
	_ = rc.SetReadDeadline(time.Time{})
	q.body = body
	return nil
}

// readAll reads a body whose length is -1 when unknown.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

func (q *request) bodyTooLarge(limit int64) error {
	q.w.Header().Set("Connection", "close")
	return fault.New(fault.BodyTooLarge, fault.NotRun, "the body exceeds %d bytes", limit)
}

// Usual lengths of the heads of a request and its answer together, and of an event.
const (
	headBytes  = 800
	eventBytes = 120
)

func (q *request) setJob() {
	d := &q.s.o.Dialect
	q.job = dispatch.Job{Service: q.service.Name, Objective: q.route.Objective, Account: q.account, Bytes: headBytes + len(q.body)}
	if q.service.Engine != nil {
		if q.route.PromptAffinity {
			q.job.Parts = d.promptParts(q.r.Header)
		}
		q.job.InputTokens, q.job.OutputTokens = d.usage(q.r.Header)
		q.job.Bytes += q.job.OutputTokens / max(q.service.Engine.TokensPerEvent, 1) * eventBytes
	}
}

// serve has the request served within its deadline.
func (q *request) serve() error {
	ctx, cancel := context.WithDeadline(q.r.Context(), q.deadline)
	defer cancel()
	rc := http.NewResponseController(q.w)
	_ = rc.SetWriteDeadline(q.deadline.Add(writeGrace)) // a caller that does not read is cut off late
	err := q.attempts(ctx)
	if err == nil {
		return nil
	}
	if q.sends == 0 {
		q.s.o.Dispatch.refused(&q.job)
	}
	f := fault.As(err)
	switch {
	case q.r.Context().Err() != nil:
		return fault.New(fault.CallerGone, f.Run, "the caller left")
	case ctx.Err() != nil && q.ran:
		return fault.New(fault.RunExpired, fault.MayHaveRun, "no answer within %s", q.route.Timeout)
	case ctx.Err() != nil:
		return fault.New(fault.WaitExpired, fault.NotRun, "not started within %s", q.route.Timeout).After(retrySoon)
	}
	return f
}

// writeGrace is how long after the deadline the end of an answer may still be written.
const writeGrace = time.Second

// statusOf returns the HTTP status of a failure. 429 and 503 promise that the request has
// not run and never will.
func statusOf(e *fault.Error) int {
	switch e.Code {
	case fault.BadRequest:
		return http.StatusBadRequest
	case fault.Unauthenticated:
		return http.StatusUnauthorized
	case fault.NotFound:
		return http.StatusNotFound
	case fault.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case fault.RunExpired:
		return http.StatusGatewayTimeout
	}
	if e.Run == fault.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// fail answers with a failure of the host's own, or cuts an answer that has begun.
func (q *request) fail(e *fault.Error) {
	if q.ran && e.Run == fault.NotRun {
		// The last send provably did not run, but an earlier one may have.
		c := *e
		c.Run = fault.MayHaveRun
		e = &c
	}
	q.s.count("failed." + string(e.Code))
	q.logFailure(e)
	if q.began || e.Code == fault.CallerGone {
		panic(http.ErrAbortHandler)
	}
	status := statusOf(e)
	h := q.w.Header()
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 && status == http.StatusServiceUnavailable {
		h.Set("Retry-After", fault.RetryAfterSeconds(e.RetryAfter))
	}
	if q.s.o.Dialect.AttemptID != "" && q.id != "" {
		h.Set(q.s.o.Dialect.AttemptID, q.id)
	}
	body := failureBody(e.Code, e.Run)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(status)
	if _, err := io.WriteString(q.w, body); err != nil {
		q.s.count("failure_not_delivered")
	}
}

// failureBody is the body of a failure of the host's own.
func failureBody(code fault.Code, run fault.RunState) string {
	return `{"error":{"code":"` + string(code) + `","run_state":"` + string(run) + `"}}` + "\n"
}

// logFailure writes the one line that explains why a request was not answered.
func (q *request) logFailure(e *fault.Error) {
	l := q.s.log.WithField("request", q.id).WithField("code", string(e.Code)).WithField("run", string(e.Run)).WithField("sends", q.sends)
	if q.route != nil {
		l = l.WithField("route", q.route.Name)
	}
	if e.RetryAfter > 0 {
		l = l.WithField("retry_after_ms", e.RetryAfter.Milliseconds())
	}
	v := q.s.o.View()
	if v.Table != nil {
		l = l.WithField("version", v.Table.Document.Version)
	}
	l = l.WithField("config_age_ms", v.Age.Milliseconds()).WithField("waited_ms", time.Since(q.arrived).Milliseconds())
	if q.account != "" {
		l = l.WithField("account", q.account).WithField("rank", q.job.Rank)
	}
	if n := len(q.job.Tried); n > 0 {
		l = l.WithField("instance", q.job.Tried[n-1].ID)
	}
	l.WithField("cause", e.Message()).Info("Request failed.")
}
