package daemon

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

const (
	// maxEdgeConnections is the number of connections of one of the edge's ports other than the
	// gateway's, above which the one that has waited the longest for a request is closed.
	maxEdgeConnections = 128
	// maxEdgeClosing is how many more may be open while closed ones end.
	maxEdgeClosing = 32
)

// limitListener bounds the connections of an HTTP server. New ones take the place of those
// that wait for a request, so that silent callers don't keep others out.
type limitListener struct {
	net.Listener
	mu sync.Mutex
	// open holds all connections until they have ended, with their elements of waiting, which
	// holds those that wait for a request, the longest waiting first.
	open    map[net.Conn]*list.Element
	waiting *list.List
}

func newLimitListener(ln net.Listener) *limitListener {
	return &limitListener{Listener: ln, open: map[net.Conn]*list.Element{}, waiting: list.New()}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || l.makeRoom() {
			return c, err
		}
		_ = c.Close() // no error matters on a connection without an exchange
	}
}

func (l *limitListener) makeRoom() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) < maxEdgeConnections {
		return true
	}
	if e := l.waiting.Front(); e != nil {
		_ = l.waiting.Remove(e).(net.Conn).Close() // the server reports its end
	}
	return len(l.open) < maxEdgeConnections+maxEdgeClosing
}

// stateChanged is the ConnState hook of the server.
func (l *limitListener) stateChanged(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.open[c]; e != nil {
		l.waiting.Remove(e) // does nothing if it was removed already
	}
	switch state {
	case http.StateNew, http.StateIdle:
		l.open[c] = l.waiting.PushBack(c)
	case http.StateActive:
		l.open[c] = nil
	default:
		delete(l.open, c)
	}
}
