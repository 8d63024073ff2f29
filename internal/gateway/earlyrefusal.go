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
	if q == nil {
		return false, nil
	}
	mayOffload = mayOffload && q.route != nil && h.mayOffload()
	crowded := s.places.held(q.account) > crowdedRunning
	s.limiter.Lock()
	action := s.limiter.DecideEarly(q.account, mayOffload, crowded, q.arrived)
	s.limiter.Unlock()
	if action == overload.Serve {
		return false, nil
	}
	// While the connection counts as idle, it may be closed to make room for another one.
	s.connStateChanged(c, http.StateActive)
	if action == overload.Offload {
		s.loads.refuse(q.account, causePassedOn)
		err = q.passOn(p)
	} else {
		s.loads.refuse(q.account, causeRateLimited)
		err = q.refuse(unread)
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

// newEarlyRequest returns nil for a request that a host with a valid configuration has to look at
// itself.
func (s *Server) newEarlyRequest(c *headerConn, h *requestHead) *earlyRequest {
	view := s.opts.View()
	a, route := s.accountAndRoute(&view, h)
	if a == nil {
		return nil
	}
	q := &earlyRequest{server: s, caller: c, head: h, view: view, route: route, account: a.Name, arrived: time.Now()}
	if route != nil {
		q.deadline = s.offloadDeadline(h, route, q.arrived)
	}
	return q
}

// accountAndRoute returns the account of a request and its route, if it has one. The account is nil if a
// host with a valid configuration has to look at the request itself.
func (s *Server) accountAndRoute(view *View, h *requestHead) (*routing.Account, *routing.Route) {
	if view.Leaving || view.Check(s.opts.MaxAges) != nil {
		return nil, nil
	}
	path, _, _ := bytes.Cut(h.target, []byte("?"))
	return view.Table.Account(string(h.credential)), view.Table.Route(string(h.host), string(path))
}

// mayOffload reports whether the request is small enough to be passed on to another host.
func (h *requestHead) mayOffload() bool {
	return h.headBytes+h.bodyBytes+maxOffloadFieldBytes <= offloadRequestBytes
}

// refuse refuses the request and reads the unread rest of it.
func (q *earlyRequest) refuse(unread int) error {
	s := q.server
	s.count("failed." + string(fault.HostOverloaded))
	s.count("refused_early." + string(fault.HostOverloaded))
	if !logsink.Drops(s.log, logrus.InfoLevel) {
		q.logFailure(rateLimited(s.AccountRateLimit()))
	}
	if err := s.answerEarly(q.caller, q.head, overloadedHead, shedBody); err != nil || unread == 0 {
		return err
	}
	return s.skipBody(q.caller, unread)
}

// answerEarly writes a response. head lacks the request's id and the empty line.
func (s *Server) answerEarly(c *headerConn, h *requestHead, head, body string) error {
	response := append(make([]byte, 0, len(head)+len(h.id)+typicalEventBytes), head...)
	if name := s.opts.HeaderNames.RequestID; name != "" && len(h.id) > 0 {
		response = append(append(append(append(response, name...), ": "...), h.id...), crlf...)
	}
	response = append(append(response, crlf...), body...)
	if err := c.SetWriteDeadline(time.Now().Add(writeGrace)); err != nil {
		return err
	}
	if _, err := c.Write(response); err != nil {
		return err
	}
	return c.SetWriteDeadline(time.Time{})
}

// overloadedHead is the head of the refusals of an overloaded host.
var overloadedHead = failureHead(http.StatusServiceUnavailable, overloadRetryAfter, len(shedBody))

// failureHead returns the head that writeFailure would write, without a request's id.
func failureHead(status int, retryAfter time.Duration, bodyBytes int) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n", status, http.StatusText(status))
	if retryAfter > 0 && status == http.StatusServiceUnavailable {
		head += "Retry-After: " + fault.FormatRetryAfter(retryAfter) + "\r\n"
	}
	return head + "Content-Length: " + strconv.Itoa(bodyBytes) + "\r\n"
}

// skipBody reads the n bytes that follow on the connection.
func (s *Server) skipBody(c *headerConn, n int) error {
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
