package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/logsink"
	"marigoldshunt/internal/overload"
	"marigoldshunt/internal/routing"
)

// earlyReadBytes is the size of one read of the rest of a refused request.
const earlyReadBytes = 32 << 10

// earlyBuffers holds buffers for the bodies of refused requests.
var earlyBuffers = sync.Pool{New: func() any { return new([earlyReadBytes]byte) }}

// earlyHandler handles the request that begins with p, which is all that was read of it so far,
// before the HTTP server sees it. handled is false if the HTTP server has to serve it. After an error
// the connection is closed.
type earlyHandler func(c *headerConn, p []byte) (handled bool, err error)

// refuseEarly refuses a request if the limiter of the overloaded host refuses its account. The HTTP
// server would spend more CPU time on the request than the refusal saves.
func (s *Server) refuseEarly(c *headerConn, p []byte) (handled bool, err error) {
	return s.handleEarly(c, p, false)
}

// offloadOrRefuseEarly also passes requests on to other hosts.
func (s *Server) offloadOrRefuseEarly(c *headerConn, p []byte) (handled bool, err error) {
	return s.handleEarly(c, p, true)
}

func (s *Server) handleEarly(c *headerConn, p []byte, mayOffload bool) (handled bool, err error) {
	mayOffload = mayOffload && s.offloader.usable()
	if !s.Busy() && !(mayOffload && s.Running() > crowdedRunning) {
		return false, nil
	}
	h, ok := s.opts.HeaderNames.parseHead(p)
	unread := h.headBytes + h.bodyBytes - len(p)
	if !ok || unread < 0 {
		return false, nil
	}
	q := s.newEarlyRequest(c, &h)
	action, refusal := q.decide(mayOffload)
	if action == overload.Serve {
		return false, nil
	}
	// While the connection counts as idle, it may be closed to make room for another one.
	s.connStateChanged(c, http.StateActive)
	if action == overload.Offload {
		err = q.passOn(p)
	} else {
		err = q.refuse(refusal, unread)
	}
	if err != nil {
		// After any other error the HTTP server would respond to what it takes for a request.
		return false, io.EOF
	}
	s.connStateChanged(c, http.StateIdle)
	// The HTTP server sets a deadline for the header when it begins to wait for a first request,
	// and that one has come.
	return true, c.SetReadDeadline(time.Time{})
}

func (s *Server) newEarlyRequest(c *headerConn, h *requestHead) *earlyRequest {
	q := &earlyRequest{server: s, caller: c, head: h, view: s.opts.View(), arrived: time.Now()}
	if q.isolated = q.view.Check(s.opts.MaxAges) != nil; q.isolated {
		return q
	}
	a, route := q.view.accountAndRoute(h)
	if a != nil {
		q.account = a.Name
	}
	if q.route = route; route != nil {
		q.deadline = s.offloadDeadline(h, route, q.arrived)
	}
	return q
}

// decide returns what becomes of the request, and the refusal if it is refused.
func (q *earlyRequest) decide(mayOffload bool) (overload.Action, *earlyRefusal) {
	s := q.server
	switch {
	case q.isolated:
		return overload.Refuse, isolatedRefusal
	case q.account == "":
		return overload.Serve, nil
	}
	mayOffload = mayOffload && q.route != nil && q.head.mayOffload()
	crowded := s.places.held(q.account) > crowdedRunning
	s.limiter.Lock()
	action := s.limiter.DecideEarly(q.account, mayOffload, crowded, q.arrived)
	s.limiter.Unlock()
	switch action {
	case overload.Offload:
		s.loads.refuse(q.account, causePassedOn)
	case overload.Refuse:
		s.loads.refuse(q.account, causeRateLimited)
		if q.view.Leaving {
			return action, leavingRefusal
		}
		return action, overloadedRefusal
	}
	return action, nil
}

// accountAndRoute returns the account of a request, nil if it is not known, and its route, if it has one.
func (v *View) accountAndRoute(h *requestHead) (*routing.Account, *routing.Route) {
	path, _, _ := bytes.Cut(h.target, []byte("?"))
	return v.Table.Account(string(h.credential)), v.Table.Route(string(h.host), string(path))
}

// mayOffload reports whether the request is small enough to be passed on to another host.
func (h *requestHead) mayOffload() bool {
	return h.headBytes+h.bodyBytes+maxOffloadFieldBytes <= offloadRequestBytes
}

// earlyRefusal is a response that refuses requests early. Its texts are made once, because a flooded host sends it
// thousands of times a second.
type earlyRefusal struct {
	// head lacks the fields of one request and the empty line.
	head, body string
	// counters are the names of the counters of these refusals.
	counters [2]string
	// failure is the failure of a request that is refused, for its log line.
	failure func(q *earlyRequest) *fault.Error
}

func newEarlyRefusal(code fault.Code, retryAfter time.Duration, failure func(q *earlyRequest) *fault.Error) *earlyRefusal {
	body := failureBody(code, fault.NotRun)
	return &earlyRefusal{
		head: failureHead(http.StatusServiceUnavailable, retryAfter, len(body)), body: body,
		counters: [2]string{"failed." + string(code), "refused_early." + string(code)}, failure: failure,
	}
}

// The refusals of a host that is overloaded, of one that is overloaded and leaves, and of one that may serve nobody.
var (
	overloadedRefusal = newEarlyRefusal(fault.HostOverloaded, overloadRetryAfter, func(q *earlyRequest) *fault.Error {
		return rateLimited(q.server.AccountRateLimit())
	})
	leavingRefusal = newEarlyRefusal(fault.HostLeaving, shortRetryAfter, func(*earlyRequest) *fault.Error {
		return leavingFailure()
	})
	isolatedRefusal = newEarlyRefusal(fault.HostIsolated, shortRetryAfter, func(q *earlyRequest) *fault.Error {
		return fault.As(q.view.Check(q.server.opts.MaxAges))
	})
)

// refuse refuses the request and reads the unread rest of it.
func (q *earlyRequest) refuse(refusal *earlyRefusal, unread int) error {
	for _, name := range refusal.counters {
		q.server.count(name)
	}
	if !logsink.Drops(q.server.log, logrus.InfoLevel) {
		q.logFailure(refusal.failure(q))
	}
	if err := q.answer(refusal.head, refusal.body); err != nil {
		return err
	}
	if err := q.server.skipBody(q.caller, unread); err != nil {
		return err
	}
	return q.endIfClosing()
}

// closing reports whether the connection ends after the response, because the host leaves or stops.
func (q *earlyRequest) closing() bool { return q.view.Leaving || q.server.stopping.Err() != nil }

// endIfClosing ends the connection after a response that has announced it.
func (q *earlyRequest) endIfClosing() error {
	if q.announcedClose {
		return errEndConnection
	}
	return nil
}

// connectionClose announces the end of the connection.
const connectionClose = "Connection: close\r\n"

// answer writes a response of this host. head lacks the fields of this request and the empty line.
func (q *earlyRequest) answer(head, body string) error {
	response := append(make([]byte, 0, len(head)+len(q.head.id)+typicalEventBytes), head...)
	if name := q.server.opts.HeaderNames.RequestID; name != "" && len(q.head.id) > 0 {
		response = append(append(append(append(response, name...), ": "...), q.head.id...), crlf...)
	}
	if q.announcedClose = q.closing(); q.announcedClose {
		response = append(response, connectionClose...)
	}
	response = append(append(response, crlf...), body...)
	if err := q.caller.SetWriteDeadline(time.Now().Add(writeGrace)); err != nil {
		return err
	}
	if _, err := q.caller.Write(response); err != nil {
		return err
	}
	return q.caller.SetWriteDeadline(time.Time{})
}

// failureHead returns the head that writeFailure would write, without the fields of one request.
func failureHead(status int, retryAfter time.Duration, bodyBytes int) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n", status, http.StatusText(status))
	if retryAfter > 0 && status == http.StatusServiceUnavailable {
		head += "Retry-After: " + fault.FormatRetryAfter(retryAfter) + "\r\n"
	}
	return head + "Content-Length: " + strconv.Itoa(bodyBytes) + "\r\n"
}

// skipBody reads the n bytes that follow on the connection.
func (s *Server) skipBody(c *headerConn, n int) error {
	if n == 0 {
		return nil
	}
	if err := c.SetReadDeadline(time.Now().Add(s.opts.ReadHeaderTimeout)); err != nil {
		return err
	}
	buf := earlyBuffers.Get().(*[earlyReadBytes]byte)
	defer earlyBuffers.Put(buf)
	for n > 0 {
		read, err := c.TCPConn.Read(buf[:min(n, len(buf))])
		n -= read
		if err != nil && n > 0 {
			return errEndConnection
		}
	}
	return nil
}
