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

// request is the state of one HTTP request of a caller while it is served.
type request struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	id      string
	arrived time.Time
	// view is the last view of the configuration by which the request was checked.
	view    View
	route   *routing.Route
	service *routing.Service
	account string
	// priorityLevel is 0 for the highest priority of the routing document.
	priorityLevel int
	target        string
	body          []byte
	// hasPlace is true while the request counts among its account's running ones.
	hasPlace   bool
	bodyMemory reservation
	header     http.Header
	// deadline is the earlier of the route's timeout and the caller's own deadline.
	deadline time.Time
	// objectiveDeadline is the target time of the whole response or, for streams, the first
	// event.
	objectiveDeadline time.Time
	job               dispatch.Job
	// rankedAt is when the job got its rank.
	rankedAt time.Time
	// cachedFingerprint is nil until fingerprint is first called.
	cachedFingerprint *wire.Digest
	// headerWritten is true once a response header was written.
	headerWritten bool
	// lastEventID is the id of the last event sent to the caller, lastEventAt its time. late
	// is true after a pause that was longer than the route's EventGap.
	lastEventID string
	lastEventAt time.Time
	late        bool
	// resumes is the id of the request that brought the first event of the stream that the caller
	// resumes.
	resumes string
	// tracked is true once the stream is among the running ones of the streamTracker.
	tracked bool
	// instanceVersion is the software version of the instance that was chosen last.
	instanceVersion string
	// runEvents counts the events that the present run has sent.
	runEvents int
	// trial is true for a request by which quarantined prompt parts are tried.
	trial bool
	// mayHaveRun is true once an instance may have run the request.
	mayHaveRun bool
	sends      int
	// permit is the admission permit of the current attempt; nil without admission control.
	permit *admission.Permit
	// gate is the last answer of an engine's gate.
	gate admission.GateAnswer
}

// ServeHTTP serves one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	q := &request{server: s, w: w, r: r, id: r.Header.Get(s.opts.HeaderNames.RequestID), bodyMemory: reservation{budget: &s.bodies}}
	w.Header()["Date"] = nil
	if len(r.TransferEncoding) > 0 {
		// Guards against request smuggling: another reader may see a different end of a
		// chunked body, so what follows it is not read as a request.
		w.Header().Set("Connection", "close")
	}
	defer q.release()
	err := q.prepare()
	if err == nil {
		err = q.serve()
	}
	s.observeSince("answer", q.arrived)
	q.countStream(err)
	if err != nil {
		q.writeFailure(fault.As(err))
		return
	}
	s.count("answered")
}

// release gives back what the request held of the host.
func (q *request) release() {
	if q.tracked {
		q.server.streams.end(q.streamID())
	}
	q.bodyMemory.release()
	if q.hasPlace {
		q.server.places.release(q.account)
	}
}

// prepare validates, routes and authenticates the request and reads its body.
func (q *request) prepare() error {
	q.arrived = time.Now()
	view := q.server.opts.View()
	q.view = view
	if view.Leaving {
		q.w.Header().Set("Connection", "close")
	}
	if err := view.Check(q.server.opts.MaxAges); err != nil {
		return err
	}
	takenOver := q.r.Header.Get(offloadVersionHeader) != ""
	waited := takeOffloadWaited(q.r.Header)
	if err := checkOffloadVersion(q.r.Header, view.Table.Document.Version); err != nil {
		return err
	}
	if err := q.checkHeaderSize(view.Table.Document.Limits.HeaderBytes); err != nil {
		return err
	}
	if err := q.setTarget(); err != nil {
		return err
	}
	path, _, _ := strings.Cut(q.target, "?")
	if q.route = view.Table.Route(q.r.Host, path); q.route == nil {
		return fault.New(fault.NotFound, fault.NotRun, "no route for %s%s", q.r.Host, path)
	}
	if err := q.authenticate(view.Table); err != nil {
		return err
	}
	if takenOver {
		q.server.loads.takeOver(q.account)
	}
	if err := q.server.checkLoad(q.account, q.priorityLevel); err != nil {
		if view.Leaving {
			return leavingFailure()
		}
		return err
	}
	q.hasPlace = true
	q.service = view.Table.Service(q.route.Pick(q.server.randomFraction()))
	q.setDeadline(q.arrived.Add(-waited))
	if err := q.readBody(view.Table.Document.Limits); err != nil {
		return err
	}
	if err := q.checkStop(); err != nil {
		return err
	}
	q.header = q.server.opts.HeaderNames.upstreamHeader(q.r.Header, q.account)
	q.lastEventID = q.r.Header.Get(q.server.opts.HeaderNames.LastEventID)
	q.resumes = q.r.Header.Get(q.server.opts.HeaderNames.Resumes)
	if err := q.findOrigin(); err != nil {
		return err
	}
	q.setJob()
	if err := q.checkCrashes(); err != nil {
		return err
	}
	q.server.opts.Dispatcher.countRequest(&q.job)
	q.server.loads.rank(&q.job)
	q.rankedAt = time.Now()
	return nil
}

// checkStop refuses a request that was read during a shutdown and may last longer than that. Another
// host can run it; here it would be cut.
func (q *request) checkStop() error {
	err := q.server.checkStop(q.deadline)
	if err != nil {
		q.w.Header().Set("Connection", "close")
	}
	return err
}

// checkStop returns HostLeaving during a shutdown that aborts what lasts until deadline.
func (s *Server) checkStop(deadline time.Time) error {
	abortAt := s.abortAt.Load()
	if abortAt == nil || !deadline.After(*abortAt) {
		return nil
	}
	return fault.New(fault.HostLeaving, fault.NotRun, "the host stops before the deadline of the request").WithRetryAfter(shortRetryAfter)
}

// shortRetryAfter is the Retry-After for failures that are usually over soon or that do not
// affect other hosts.
const shortRetryAfter = 100 * time.Millisecond

// checkHeaderSize refuses a request whose header exceeds the document's limit, if it sets one.
func (q *request) checkHeaderSize(limit int) error {
	if limit == 0 || headerSize(q.r) <= limit {
		return nil
	}
	q.w.Header().Set("Connection", "close")
	return fault.New(fault.HeaderTooLarge, fault.NotRun, "the header exceeds %d bytes", limit)
}

// headerSize returns the size in bytes of the request line and the header, without the optional
// spaces around values, which the parser drops.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(" ") + len(r.RequestURI) + len(" ") + len(r.Proto) + len("\r\n")
	size += len("Host:") + len(r.Host) + len("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(":") + len(v) + len("\r\n")
		}
	}
	return size + len("\r\n")
}

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
	a := t.Account(q.r.Header.Get(q.server.opts.HeaderNames.Credential))
	if a != nil {
		q.account = a.Name
	} else if t.NeedsCredential(q.route) {
		return fault.New(fault.Unauthenticated, fault.NotRun, "the credential is not known")
	}
	q.priorityLevel = t.PriorityLevel(q.route, a)
	return nil
}

func (q *request) setDeadline(arrived time.Time) {
	q.deadline = arrived.Add(q.route.Timeout)
	q.objectiveDeadline = arrived.Add(q.route.Objective)
	if timeout, ok := q.server.opts.HeaderNames.callerTimeout(q.r.Header); ok && timeout < q.route.Timeout {
		q.deadline = arrived.Add(timeout)
	}
}

// readBody buffers the whole body, so that it can be sent again on a retry and a slow caller
// doesn't occupy an upstream.
func (q *request) readBody(limits routing.Limits) error {
	limit := int64(limits.BodyBytes)
	if limit == 0 {
		limit = routing.DefaultBodyBytes
	}
	if q.r.ContentLength > limit {
		return q.bodyTooLarge(limit)
	}
	rc := http.NewResponseController(q.w)
	_ = rc.SetReadDeadline(q.deadline) // if it fails, the server's own limits apply
	body, err := readAll(http.MaxBytesReader(q.w, q.r.Body, limit), q.r.ContentLength, &q.bodyMemory)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errBodyMemory):
		q.w.Header().Set("Connection", "close")
		return fault.New(fault.HostOverloaded, fault.NotRun, "the bodies of requests take all memory for them").WithRetryAfter(overloadRetryAfter)
	case errors.As(err, &tooLarge):
		return q.bodyTooLarge(limit)
	case err != nil:
		q.w.Header().Set("Connection", "close")
		return fault.Wrap(err, fault.BadRequest, fault.NotRun, "the body did not arrive")
	}
	_ = rc.SetReadDeadline(time.Time{})
	q.body = body
	return nil
}

func (q *request) bodyTooLarge(limit int64) error {
	q.w.Header().Set("Connection", "close")
	return fault.New(fault.BodyTooLarge, fault.NotRun, "the body exceeds %d bytes", limit)
}

// Typical sizes of the request and response headers together, and of one event.
const (
	typicalHeaderBytes = 800
	typicalEventBytes  = 120
)

func (q *request) setJob() {
	names := &q.server.opts.HeaderNames
	q.job = dispatch.Job{Origin: q.job.Origin, Resumed: q.route.Resumable && q.resumesStream(), Service: q.service.Name, Objective: q.route.Objective, Account: q.account, Bytes: typicalHeaderBytes + len(q.body)}
	if q.service.Engine != nil {
		if q.route.PromptAffinity {
			q.job.Parts = names.promptParts(q.r.Header)
		}
		q.job.InputTokens, q.job.OutputTokens = names.usage(q.r.Header)
		q.job.Bytes += q.job.OutputTokens / max(q.service.Engine.TokensPerEvent, 1) * typicalEventBytes
	}
}

// serve forwards the request to upstreams within its deadline.
func (q *request) serve() error {
	ctx, cancel := context.WithDeadline(q.r.Context(), q.deadline)
	defer cancel()
	rc := http.NewResponseController(q.w)
	_ = rc.SetWriteDeadline(q.deadline.Add(writeGrace)) // bounds the wait for a caller that doesn't read
	err := q.sendWithRetries(ctx)
	if err == nil {
		return nil
	}
	if q.sends == 0 {
		q.server.opts.Dispatcher.recordRefusal(&q.job)
	}
	failure := fault.As(err)
	if q.sends == 0 {
		q.server.loads.refuseRanked(&q.job, refusalCause(failure, &q.gate), time.Since(q.rankedAt))
	}
	switch {
	case q.r.Context().Err() != nil:
		return fault.New(fault.CallerGone, failure.RunState, "the caller left")
	case ctx.Err() != nil && q.mayHaveRun:
		return fault.New(fault.RunExpired, fault.MayHaveRun, "no answer within %s", q.route.Timeout)
	case ctx.Err() != nil:
		return fault.New(fault.WaitExpired, fault.NotRun, "not started within %s", q.route.Timeout).WithRetryAfter(shortRetryAfter)
	}
	return failure
}

// writeGrace is how long after the deadline the rest of a response may still be written.
const writeGrace = time.Second

// statusOf returns the HTTP status of a failure. Statuses 429 and 503 guarantee that the
// request has not run and never will.
func statusOf(e *fault.Error) int {
	switch e.Code {
	case fault.BadRequest:
		return http.StatusBadRequest
	case fault.Unauthenticated:
		return http.StatusUnauthorized
	case fault.NotFound:
		return http.StatusNotFound
	case fault.HeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case fault.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case fault.RunExpired:
		return http.StatusGatewayTimeout
	}
	if e.RunState == fault.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// writeFailure responds with an error of the host's own, or aborts the connection if a
// response has begun or the caller has disconnected.
func (q *request) writeFailure(e *fault.Error) {
	if q.mayHaveRun && e.RunState == fault.NotRun {
		// The last attempt provably did not run, but an earlier one may have.
		c := *e
		c.RunState = fault.MayHaveRun
		e = &c
	}
	q.server.count("failed." + string(e.Code))
	q.logFailure(e)
	if q.headerWritten || e.Code == fault.CallerGone {
		panic(http.ErrAbortHandler)
	}
	if q.body == nil {
		// The server reads the rest of the body before it responds.
		_ = http.NewResponseController(q.w).SetReadDeadline(time.Now().Add(q.server.opts.ReadHeaderTimeout)) // fails only if the connection is already closed
	}
	status := statusOf(e)
	h := q.w.Header()
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 && status == http.StatusServiceUnavailable {
		h.Set("Retry-After", fault.FormatRetryAfter(e.RetryAfter))
	}
	if q.server.opts.HeaderNames.RequestID != "" && q.id != "" {
		h.Set(q.server.opts.HeaderNames.RequestID, q.id)
	}
	body := failureBody(e.Code, e.RunState)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(status)
	if _, err := io.WriteString(q.w, body); err != nil {
		q.server.count("failure_not_delivered")
	}
}

// failureBody returns the response body for an error of the host's own.
func failureBody(code fault.Code, run fault.RunState) string {
	return `{"error":{"code":"` + string(code) + `","run_state":"` + string(run) + `"}}` + "\n"
}
