package gateway

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/netopt"
)

// pastDeadline is a deadline in the past; it ends pending reads at once.
var pastDeadline = time.Unix(1, 0)

// connContextKey is the context key of a request's connection.
type connContextKey struct{}

func withRawConn(ctx context.Context, c net.Conn) context.Context {
	if raw, ok := netopt.RawConn(c); ok {
		return context.WithValue(ctx, connContextKey{}, raw)
	}
	return ctx
}

// callerDisconnected reports whether the caller of a request has closed its connection. The
// server notices that too, but much later on a busy host.
func callerDisconnected(ctx context.Context) bool {
	raw, ok := ctx.Value(connContextKey{}).(syscall.RawConn)
	if !ok {
		return false
	}
	open, _ := netopt.CheckConn(raw)
	return !open
}

// connections tracks the connections of callers and closes idle ones: those that are idle
// for too long, and the longest idle ones when there are too many.
//
// Every connection counts until it is closed. A connection that is being closed may stay open
// for a long time, because its goroutine needs CPU time to notice, and the host is short of
// that when its callers open the most connections.
type connections struct {
	limit int
	now   func() time.Time

	mu   sync.Mutex
	open map[net.Conn]*connState
	// idle holds the idle connections, the longest idle first.
	idle *list.List
	// unread is the number of connections whose first request, or one that arrived after the end of
	// the wait for it, has not been read yet.
	unread int
	// closing is the number of idle connections that are being closed.
	closing int
}

// connState is the state of an open connection.
type connState struct {
	unread, closing bool
	// idle is the element of connections.idle, nil unless the connection is idle.
	idle *list.Element
}

// ConnectionCounts are the numbers of connections of callers, by state.
type ConnectionCounts struct {
	// Open counts all connections but those that are being refused.
	Open int
	// Unread counts the open connections whose first request has not been read yet.
	Unread int
	// Idle counts the open connections that wait for another request.
	Idle int
	// Closing counts the open connections that are being closed because they were idle.
	Closing int
	// Refusing counts the connections that are being refused without parsing a request.
	Refusing int
}

// LogFields returns the counts as fields of a log line.
func (n ConnectionCounts) LogFields() logrus.Fields {
	return logrus.Fields{"connections": n.Open, "unread": n.Unread, "idle": n.Idle, "closing": n.Closing, "refusing": n.Refusing}
}

const (
	// closingDivisor is the ratio of the connection limit to the number of connections above
	// it that may be open while others are being closed, which is at least minClosing.
	closingDivisor = 16
	minClosing     = 2
)

type idleConn struct {
	net.Conn
	since time.Time
}

func newConnections(limit int, now func() time.Time) *connections {
	return &connections{limit: limit, now: now, open: map[net.Conn]*connState{}, idle: list.New()}
}

// makeRoom reports whether one more connection may be opened. At the limit it closes the
// longest idle connection to make room if mayEnd is true, also if the room comes too late for this connection.
func (c *connections) makeRoom(mayEnd bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit <= 0 {
		return true
	}
	hasRoom := len(c.open)-c.closing < c.limit || mayEnd && c.endLongestIdleLocked(endRoom)
	return hasRoom && len(c.open) < c.limit+max(c.limit/closingDivisor, minClosing)
}

// stateChanged is the ConnState hook of the server.
func (c *connections) stateChanged(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.open[conn]
	if st == nil {
		st = &connState{}
		c.open[conn] = st
	}
	c.resetLocked(st)
	if h, ok := conn.(*headerConn); ok && state == http.StateActive {
		h.resume()
	}
	switch state {
	case http.StateNew:
		st.unread = true
		c.unread++
	case http.StateIdle:
		st.idle = c.idle.PushBack(idleConn{conn, c.now()})
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	}
}

// resume keeps a connection whose wait was ended, because a request has begun to arrive.
func (c *connections) resume(conn *headerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.open[conn]
	if st == nil {
		return
	}
	c.resetLocked(st)
	st.unread = true
	c.unread++
	conn.resume()
}

// resetLocked removes a connection from the counts of its old state.
func (c *connections) resetLocked(st *connState) {
	if st.idle != nil {
		c.idle.Remove(st.idle)
	}
	if st.unread {
		c.unread--
	}
	if st.closing {
		c.closing--
	}
	*st = connState{}
}

// endLongestIdleLocked ends the connection that has been idle the longest; ok is false if there
// is none. The caller at its other end opens a new one for the next request.
//
// It sets a read deadline that ends the server's wait for a request, and the goroutine of the
// connection looks whether one has arrived (headerConn.readAtEnd). Close would also abort a request
// that the server has just read, on a connection that still counts as idle here.
func (c *connections) endLongestIdleLocked(reason connEnd) (ok bool) {
	e := c.idle.Front()
	if e == nil {
		return false
	}
	c.endWaitLocked(e.Value.(idleConn).Conn, reason)
	return true
}

// endWaitLocked ends the wait for a request on a connection.
func (c *connections) endWaitLocked(conn net.Conn, reason connEnd) {
	st := c.open[conn]
	c.resetLocked(st)
	st.closing = true
	c.closing++
	if h, ok := conn.(*headerConn); ok {
		h.endWait(reason)
	} else {
		_ = conn.SetReadDeadline(pastDeadline) // fails only if the connection is already closed
	}
}

// endAllWaits ends all connections on which no request is being served.
func (c *connections) endAllWaits(reason connEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, st := range c.open {
		if st.unread || st.closing || st.idle != nil {
			c.endWaitLocked(conn, reason)
		}
	}
}

// endIdleSince ends the connections that have been idle since before cutoff.
func (c *connections) endIdleSince(cutoff time.Time, reason connEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.idle.Front(); e != nil && e.Value.(idleConn).since.Before(cutoff); e = c.idle.Front() {
		c.endLongestIdleLocked(reason)
	}
}

// counts returns the numbers of the connections that are not being refused.
func (c *connections) counts() ConnectionCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ConnectionCounts{Open: len(c.open), Unread: c.unread, Idle: c.idle.Len(), Closing: c.closing}
}

// countUnread returns the number of open connections and that of those with bytes that were not read.
func (c *connections) countUnread() (open, unread int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if netopt.HasUnread(conn) {
			unread++
		}
	}
	return len(c.open), unread
}
