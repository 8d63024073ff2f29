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

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	if raw, ok := rawConn(c); ok {
		return context.WithValue(ctx, connKey{}, raw)
	}
	return ctx
}

// rawConn returns the socket of a connection; ok is false for one without a socket.
func rawConn(c net.Conn) (raw syscall.RawConn, ok bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := sc.SyscallConn()
	return raw, err == nil
}

// callerLeft reports whether the caller of a request has closed its connection. The server
// notices that by itself, but on a busy host long after.
func callerLeft(ctx context.Context) bool {
	raw, ok := ctx.Value(connKey{}).(syscall.RawConn)
	if !ok {
		return false
	}
	open, _ := netopt.Peek(raw)
	return !open
}

// connections knows the connections of callers and closes unused ones: those that are
// unused for too long, and the longest unused ones when there are too many.
type connections struct {
	limit int
	now   func() time.Time

	mu   sync.Mutex
	open map[net.Conn]*list.Element
	// idle holds the unused connections, the longest unused first.
	idle *list.List
}

// idleConn is an unused connection.
type idleConn struct {
	net.Conn
	since time.Time
}

func newConnections(limit int, now func() time.Time) *connections {
	return &connections{limit: limit, now: now, open: map[net.Conn]*list.Element{}, idle: list.New()}
}

// changed follows the states of the server's connections.
func (c *connections) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.open[conn]; e != nil {
		c.idle.Remove(e)
	}
	c.open[conn] = nil
	switch state {
	case http.StateIdle:
		c.open[conn] = c.idle.PushBack(idleConn{conn, c.now()})
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	case http.StateNew:
		if c.limit > 0 && len(c.open) > c.limit {
			c.closeFirstLocked()
		}
	}
}

// closeFirstLocked ends the connection that is unused for the longest time. Its caller
// opens a new one for its next request.
//
// The read deadline ends the server's wait for a request. Close would also end one that
// the server has just read, and that is unused only as far as is known here.
func (c *connections) closeFirstLocked() {
	e := c.idle.Front()
	if e == nil {
		return
	}
	i := c.idle.Remove(e).(idleConn)
	c.open[i.Conn] = nil
	_ = i.SetReadDeadline(past) // a connection that is closed already needs none
}

// closeOlder closes what is unused since before a time.
func (c *connections) closeOlder(limit time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.idle.Front(); e != nil && e.Value.(idleConn).since.Before(limit); e = c.idle.Front() {
		c.closeFirstLocked()
	}
}

// count returns the number of open connections.
func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}
