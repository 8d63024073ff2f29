package gateway

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// headerListener accepts connections whose headers are bounded by timeout and whose requests
// handleEarly may handle.
type headerListener struct {
	net.Listener
	timeout     func() time.Duration
	handleEarly earlyHandler
	ends        connectionEnds
}

// Accept implements net.Listener.
func (l headerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if t, ok := c.(*net.TCPConn); ok {
		return &headerConn{TCPConn: t, timeout: l.timeout, handleEarly: l.handleEarly, ends: l.ends}, err
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
	timeout     func() time.Duration
	handleEarly earlyHandler
	ends        connectionEnds
	state       http.ConnState
	// bufferBytes is the size of the HTTP server's empty read buffer. A smaller buffer tells
	// that the beginning of a request has been read already.
	bufferBytes int
	// headerStart is when the first byte of a header was waited for on a new connection, or
	// read on an idle one; zero if no header is being read.
	headerStart time.Time
	// limited is true while the read deadline is that of the header.
	limited bool

	// mu guards ending, which is why the wait for another request is being ended, and orders the
	// changes of the read deadline.
	mu     sync.Mutex
	ending connEnd
}

// endWait ends the wait for another request, or prevents it: the HTTP server reports an idle
// connection before it clears the read deadline for that wait.
func (c *headerConn) endWait(reason connEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = reason
	_ = c.TCPConn.SetReadDeadline(pastDeadline) // fails only if the connection is already closed
}

// resume keeps a connection that endWait was called for, because a request has arrived.
func (c *headerConn) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending != "" {
		c.ending = ""
		_ = c.TCPConn.SetReadDeadline(time.Time{}) // fails only if the connection is already closed
	}
}

// SetReadDeadline implements net.Conn.
func (c *headerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending != "" && t.IsZero() {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Read implements net.Conn. It hands no request to the HTTP server that is handled early.
func (c *headerConn) Read(p []byte) (int, error) {
	if c.bufferBytes == 0 {
		c.bufferBytes = len(p)
	}
	for {
		n, err := c.read(p)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			c.countEnd()
		}
		atStart := len(p) == c.bufferBytes && (c.state == http.StateNew || c.state == http.StateIdle)
		if n == 0 || err != nil || !atStart {
			return n, err
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

// read reads within the limit for headers.
func (c *headerConn) read(p []byte) (int, error) {
	if c.state == http.StateNew && c.headerStart.IsZero() {
		c.headerStart = time.Now()
	}
	if !c.headerStart.IsZero() {
		if timeout := c.timeout(); timeout > 0 {
			c.limited = true
			if err := c.SetReadDeadline(c.headerStart.Add(timeout)); err != nil {
				return 0, err
			}
		}
	}
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.state == http.StateIdle && c.headerStart.IsZero() {
		c.headerStart = time.Now()
	}
	return n, err
}

// countEnd counts the connection if its wait was ended.
func (c *headerConn) countEnd() {
	c.mu.Lock()
	reason := c.ending
	c.mu.Unlock()
	if reason != "" {
		c.ends.count(reason, hasUnread(c))
	}
}

// stateChanged follows the state that the HTTP server reports.
func (c *headerConn) stateChanged(state http.ConnState) {
	if state == http.StateClosed {
		return // a read may still be ending
	}
	c.state, c.headerStart = state, time.Time{}
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
