package gateway

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"marigoldshunt/internal/netopt"
)

// pastDeadline is a deadline in the past; it ends pending reads at once.
var pastDeadline = time.Unix(1, 0)

// connContextKey is the context key of a request's connection.
type connContextKey struct{}

func withRawConn(ctx context.Context, c net.Conn) context.Context {
	if raw, ok := rawConn(c); ok {
		return context.WithValue(ctx, connContextKey{}, raw)
	}
	return ctx
}

// rawConn returns the socket of a connection; ok is false if it has none.
func rawConn(c net.Conn) (raw syscall.RawConn, ok bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := sc.SyscallConn()
	return raw, err == nil
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
type connections struct {
	limit int
	now   func() time.Time

	mu   sync.Mutex
	open map[net.Conn]*list.Element
	// idle holds the idle connections, the longest idle first.
	idle *list.List
	// unread holds the connections whose first request has not been read yet.
	unread map[net.Conn]struct{}
}

// ConnectionCounts are the numbers of connections of callers, by state.
type ConnectionCounts struct {
	// Open counts all connections but those that are being refused.
	Open int
	// Unread counts the open connections whose first request has not been read yet.
	Unread int
	// Idle counts the open connections that wait for another request.
	Idle int
	// Refusing counts the connections that are being refused without parsing a request.
	Refusing int
}

type idleConn struct {
	net.Conn
	since time.Time
}

func newConnections(limit int, now func() time.Time) *connections {
	return &connections{limit: limit, now: now, open: map[net.Conn]*list.Element{}, idle: list.New(), unread: map[net.Conn]struct{}{}}
}

// stateChanged is the ConnState hook of the server.
func (c *connections) stateChanged(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.open[conn]; e != nil {
		c.idle.Remove(e)
	}
	c.open[conn] = nil
	delete(c.unread, conn)
	switch state {
	case http.StateIdle:
		c.open[conn] = c.idle.PushBack(idleConn{conn, c.now()})
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	case http.StateNew:
		c.unread[conn] = struct{}{}
		if c.limit > 0 && len(c.open) > c.limit {
			c.closeLongestIdleLocked()
		}
	}
}

// closeLongestIdleLocked closes the connection that has been idle the longest. The caller at
// its other end opens a new one for the next request.
//
// It sets a read deadline that ends the server's wait for a request. Close would also abort
// a request that the server has just read, on a connection that still counts as idle here.
func (c *connections) closeLongestIdleLocked() {
	e := c.idle.Front()
	if e == nil {
		return
	}
	longest := c.idle.Remove(e).(idleConn)
	c.open[longest.Conn] = nil
	_ = longest.SetReadDeadline(pastDeadline) // fails only if the connection is already closed
}

// closeIdleSince closes the connections that have been idle since before cutoff.
func (c *connections) closeIdleSince(cutoff time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.idle.Front(); e != nil && e.Value.(idleConn).since.Before(cutoff); e = c.idle.Front() {
		c.closeLongestIdleLocked()
	}
}

// counts returns the numbers of the connections that are not being refused.
func (c *connections) counts() ConnectionCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ConnectionCounts{Open: len(c.open), Unread: len(c.unread), Idle: c.idle.Len()}
}
