package gateway

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/logsink"
)

// earlyReadBytes is the size of one read of the rest of a refused request.
const earlyReadBytes = 32 << 10

// earlyBuffers holds buffers for the bodies of refused requests.
var earlyBuffers = sync.Pool{New: func() any { return new([earlyReadBytes]byte) }}

// refuseEarly answers the request that begins with p if the limiter of the overloaded host
// refuses its account, and reads the rest of it. p is all that was read of it so far. The HTTP
// server would spend more CPU time on the request than the refusal saves. The error is that of
// the connection.
func (s *Server) refuseEarly(c *headerConn, p []byte) (refused bool, err error) {
	if !s.Busy() {
		return false, nil
	}
	h, ok := s.opts.HeaderNames.parseHead(p)
	unread := h.headBytes + h.bodyBytes - len(p)
	if !ok || unread < 0 || !s.refusesEarly(&h) {
		return false, nil
	}
	// While the connection counts as idle, it may be closed to make room for another one.
	s.connStateChanged(c, http.StateActive)
	if err := s.answerEarly(c, &h); err != nil {
		return false, err
	}
	if unread > 0 {
		if err := s.skipBody(c, unread); err != nil {
			return false, err
		}
	}
	s.connStateChanged(c, http.StateIdle)
	// The HTTP server sets a deadline for the header when it begins to wait for a first request,
	// and that one has come.
	return true, c.SetReadDeadline(time.Time{})
}

// refusesEarly reports whether the limiter refuses a request that a host with a valid
// configuration would otherwise have to look at.
func (s *Server) refusesEarly(h *requestHead) bool {
	view := s.opts.View()
	if view.Leaving || view.Check(s.opts.MaxConfigAge) != nil {
		return false
	}
	a := view.Table.Account(string(h.credential))
	if a == nil {
		return false
	}
	now := time.Now()
	s.limiter.Lock()
	refused, limit := s.limiter.RefuseEarly(a.Name, now), s.limiter.RateLimit()
	s.limiter.Unlock()
	if !refused {
		return false
	}
	s.count("failed." + string(fault.HostOverloaded))
	if !logsink.Drops(s.log, logrus.InfoLevel) {
		q := &request{server: s, id: string(h.id), arrived: now, account: a.Name, view: view}
		q.logFailure(rateLimited(limit))
	}
	return true
}

// answerEarly writes the response that writeFailure would write.
func (s *Server) answerEarly(c *headerConn, h *requestHead) error {
	response := append(make([]byte, 0, len(earlyResponse)+len(h.id)+typicalEventBytes), earlyResponse...)
	if name := s.opts.HeaderNames.RequestID; name != "" && len(h.id) > 0 {
		response = append(append(append(append(response, name...), ": "...), h.id...), crlf...)
	}
	response = append(append(response, crlf...), shedBody...)
	if err := c.SetWriteDeadline(time.Now().Add(writeGrace)); err != nil {
		return err
	}
	if _, err := c.Write(response); err != nil {
		return err
	}
	return c.SetWriteDeadline(time.Time{})
}

var earlyResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: " +
	fault.FormatRetryAfter(overloadRetryAfter) + "\r\nContent-Length: " + strconv.Itoa(len(shedBody)) + "\r\n"

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
			return io.EOF // after any other error the HTTP server would respond again
		}
	}
	return nil
}
