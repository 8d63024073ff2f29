package frontend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// answered returns how many of the connections get a whole answer or refusal.
func (ts *testServer) answered(conns []net.Conn) (n int) {
	for _, nc := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			continue
		}
		if _, err = io.Copy(io.Discard, resp.Body); err == nil && (resp.StatusCode == 200 || resp.StatusCode == 503) {
			n++
		}
	}
	return n
}

const stopCallers, healthRequest = 20, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"

// Callers of a stopping host saw kept connections reset although their request had arrived.
func TestRequestsThatHaveArrivedAtAStopAreAnswered(t *testing.T) {
	ts := startServer(t, Options{}, echo)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // the host's goroutines are slower than the callers
	var conns []net.Conn
	for range stopCallers {
		nc := ts.dial()
		ts.Assert(nc.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
		ts.Assert(ts.roundTrip(nc, healthRequest).StatusCode, qt.Equals, 200)
		conns = append(conns, nc)
	}
	for _, nc := range conns {
		_, err := io.WriteString(nc, healthRequest)
		ts.Assert(err, qt.IsNil)
	}
	ts.Check(ts.server.Shutdown(context.Background()), qt.IsNil)
	ts.Assert(ts.answered(conns), qt.Equals, stopCallers)
}

// Callers of a stopping host saw connections reset that waited in the queue of its listener.
func TestRequestsInTheQueueAtAStopAreAnswered(t *testing.T) {
	ts := startServer(t, Options{}, echo)
	ts.Assert(ts.roundTrip(ts.dial(), healthRequest).StatusCode, qt.Equals, 200)
	l := ts.server.listener.Load()
	l.mu.Lock() // the listener accepts one connection and then waits
	var conns []net.Conn
	for range stopCallers {
		nc := ts.dial()
		ts.Assert(nc.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
		_, err := io.WriteString(nc, healthRequest)
		ts.Assert(err, qt.IsNil)
		conns = append(conns, nc)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- ts.server.Shutdown(context.Background()) }()
	for !ts.server.stopping.Load() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond) // gives a server that closes its queue the time to do so
	l.mu.Unlock()
	ts.Assert(ts.answered(conns), qt.Equals, stopCallers)
	ts.Check(<-stopped, qt.IsNil)
}
