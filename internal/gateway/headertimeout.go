package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"marigoldshunt/internal/netopt"
)

// headerListener accepts connections whose headers are bounded by the routing document and whose
// requests handleEarly may handle.
type headerListener struct {
	net.Listener
	server      *Server
	handleEarly earlyHandler
}

// Accept implements net.Listener.
func (l headerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if t, ok := c.(*net.TCPConn); ok {
		return &headerConn{TCPConn: t, server: l.server, handleEarly: l.handleEarly}, err
	}
	return c, err
}

// headerConn is a connection of a caller. It applies the routing document's HeaderTimeout,
// because the limit of the HTTP server is fixed when that starts.
//
// The fields above mu are used by one goroutine at a time: the server changes the state of an
// open connection only while nothing reads from it.
type headerConn struct {
	*net.TCPConn
	server      *Server
	handleEarly earlyHandler
	state       http.ConnState
	// bufferBytes is the size of the HTTP server's empty read buffer. A smaller buffer tells
	// that the beginning of a request has been read already.
	bufferBytes int
	// headerStart is when the first byte of a header was waited for on a new connection, or
	// read on an idle one; zero if no header is being read.
	headerStart time.Time
	// begun is true once bytes of a request were read, until the HTTP server has its header.
	begun bool
	// limited is true while the read deadline is that of the header.
	limited bool

	// mu guards ending, which is why the wait for another request is being ended, and orders the
	// changes of the read deadline.
	mu     sync.Mutex
	ending connEnd
	// readDeadline is what SetReadDeadline was last called with.
	readDeadline time.Time
}

// endWait ends the wait for another request, or prevents it: the HTTP server reports an idle
// connection before it clears the read deadline for that wait.
func (c *headerConn) endWait(reason connEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending.refuses() {
		return // a refusal may have begun
	}
	c.ending = reason
	_ = c.TCPConn.SetReadDeadline(pastDeadline) // fails only if the connection is already closed
}

// resume keeps a connection that endWait was called for, because a request has arrived.
func (c *headerConn) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending != "" {
		c.ending = ""
		_ = c.TCPConn.SetReadDeadline(c.readDeadline) // fails only if the connection is already closed
	}
}

// endReason returns why the wait for a request is being ended, empty if it isn't.
func (c *headerConn) endReason() connEnd {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// SetReadDeadline implements net.Conn. While the wait for a request is being ended, the deadline
// waits for resume.
func (c *headerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.ending != "" {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Read implements net.Conn. It hands no request to the HTTP server that is handled early, or refused
// because the connection ends.
func (c *headerConn) Read(p []byte) (int, error) {
	if c.bufferBytes == 0 {
		c.bufferBytes = len(p)
	}
	for {
		n, err := c.read(p)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			n, err = c.readAtEnd(p)
		}
		if err != nil {
			return n, err
		}
		atStart := len(p) == c.bufferBytes && (c.state == http.StateNew || c.state == http.StateIdle)
		if n == 0 {
			continue // the rest of the head has not arrived yet
		}
		if !atStart {
			return n, nil
		}
		handled, err := c.handleEarly(c, p[:n])
		if err != nil {
			return 0, err
		}
		if !handled {
			return n, nil
		}
	}
}

// readAtEnd decides what becomes of a connection whose wait was ended, or whose header reached its
// limit. A read with a past deadline takes nothing, so it looks for a request that has arrived; only
// without one does the connection end at once. Without an error the connection goes on.
func (c *headerConn) readAtEnd(p []byte) (n int, err error) {
	reason := c.endReason()
	if reason == "" {
		return c.readAtHeaderLimit(p)
	}
	if raw, ok := netopt.RawConn(c.TCPConn); ok {
		n = netopt.ReadAvailable(raw, p)
	}
	begun := c.begun || n > 0
	c.server.ends.count(reason, begun)
	switch {
	case !begun:
		return 0, os.ErrDeadlineExceeded
	case reason.refuses():
		c.server.refuseAtEnd(c.TCPConn, p, n)
		return 0, io.EOF
	}
	c.server.conns.resume(c)
	c.beginHeader(n)
	return n, nil
}

// readAtHeaderLimit reads what has arrived of a header before its limit. Nothing is read of a body.
func (c *headerConn) readAtHeaderLimit(p []byte) (n int, err error) {
	if c.headerStart.IsZero() {
		return 0, os.ErrDeadlineExceeded
	}
	if raw, ok := netopt.RawConn(c.TCPConn); ok {
		n = netopt.ReadAvailable(raw, p)
	}
	c.server.ends.count(endHeader, n > 0)
	if n == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	c.beginHeader(n)
	return n, nil
}

// read reads within the limit for headers.
func (c *headerConn) read(p []byte) (int, error) {
	if c.state == http.StateNew && c.headerStart.IsZero() {
		c.headerStart = time.Now()
	}
	if !c.headerStart.IsZero() {
		if timeout := c.server.headerTimeout(); timeout > 0 {
			c.limited = true
			if err := c.SetReadDeadline(c.headerStart.Add(timeout)); err != nil {
				return 0, err
			}
		}
	}
	n, err := c.TCPConn.Read(p)
	c.beginHeader(n)
	return n, err
}

// beginHeader records that n bytes were read.
func (c *headerConn) beginHeader(n int) {
	if n == 0 || c.state != http.StateNew && c.state != http.StateIdle {
		return
	}
	c.begun = true
	if c.headerStart.IsZero() {
		c.headerStart = time.Now()
	}
}

// stateChanged follows the state that the HTTP server reports.
func (c *headerConn) stateChanged(state http.ConnState) {
	if state == http.StateClosed {
		return // a read may still be ending
	}
	c.state, c.headerStart, c.begun = state, time.Time{}, false
	if c.limited {
		c.limited = false
		_ = c.SetReadDeadline(time.Time{}) // fails only if the connection is already closed
	}
}

// connStateChanged is the ConnState hook of the HTTP server.
func (s *Server) connStateChanged(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*headerConn); ok {
		c.stateChanged(state)
	}
	s.conns.stateChanged(conn, state)
}

// headerTimeout returns the limit of the routing document; 0 if it sets none below that of the
// HTTP server.
func (s *Server) headerTimeout() time.Duration {
	t := s.opts.View().Table
	if t == nil || t.Document.Limits.HeaderTimeout >= s.opts.ReadHeaderTimeout {
		return 0
	}
	return t.Document.Limits.HeaderTimeout
}
