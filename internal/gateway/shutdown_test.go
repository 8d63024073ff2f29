package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a request that was read whole and gets no response, because the shutdown
// began before the HTTP server called its handler.
func TestRequestReadAtShutdownIsAnswered(t *testing.T) {
	gw := newTestGateway(t, document(), newUpstream(t, writeRaw("%s", rawResponse(200, "ok"))))
	stopped := make(chan error, 1)
	addresses := make(chan string, 1)
	begin := func(s *Server, state http.ConnState) {
		if state != http.StateActive {
			return
		}
		address := <-addresses
		go func() { stopped <- s.Shutdown(context.Background()) }()
		for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
			nc, err := net.Dial("tcp", address)
			if err != nil {
				return // the shutdown has begun
			}
			nc.Close()
		}
	}
	nc := gw.serveWithHook(begin, func(*Server, http.ConnState) {})
	addresses <- nc.RemoteAddr().String()
	fmt.Fprint(nc, "GET /read/x HTTP/1.1\r\nHost: h\r\n\r\n")
	answer, err := io.ReadAll(nc)
	gw.Check(err, qt.IsNil)
	gw.Check(string(answer), qt.Contains, "HTTP/1.1 200 ")
	gw.Check(<-stopped, qt.IsNil)
}

// slowListener is closed twice before its Accept returns, as on a host whose goroutines get no
// CPU time.
type slowListener struct {
	net.Listener
	accepting, closed, closedAgain chan struct{}
	closes                         atomic.Int64
}

func (l *slowListener) Accept() (net.Conn, error) {
	close(l.accepting)
	<-l.closedAgain
	return nil, net.ErrClosed
}

func (l *slowListener) Close() error {
	err := l.Listener.Close()
	switch l.closes.Add(1) {
	case 1:
		close(l.closed)
	case 2:
		close(l.closedAgain)
	}
	return err
}

// Guards against a shutdown that reports a failure because it closes a closed listener again.
func TestShutdownWhileTheListenerIsBeingClosed(t *testing.T) {
	gw := newTestGateway(t, document())
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	gw.Assert(err, qt.IsNil)
	ln := &slowListener{Listener: tcp, accepting: make(chan struct{}), closed: make(chan struct{}), closedAgain: make(chan struct{})}
	s := New(gw.server.opts)
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	<-ln.accepting
	s.stop()
	<-ln.closed
	gw.Check(s.Shutdown(context.Background()), qt.IsNil)
	gw.Check(<-served, qt.IsNil)
}

// Operators saw requests that came late in a planned stop passed on and then cut without an answer,
// among them requests that may not be repeated.
func TestRequestsThatTheStopWouldCutAreRefused(t *testing.T) {
	const grace = 800 * time.Millisecond
	for _, tc := range []struct {
		name, begin, rest string
		timeout           time.Duration
		status            int
	}{
		{"order", "", "POST /order/x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok", 2 * time.Second, 503},
		{"stream", "", "GET /stream/x HTTP/1.1\r\nHost: h\r\n\r\n", 2 * time.Second, 503},
		{"body that ends late", "POST /order/x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\no", "k", 2 * time.Second, 503},
		{"order that ends in time", "", "POST /order/x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok", 100 * time.Millisecond, 504},
	} {
		t.Run(tc.name, func(t *testing.T) {
			silent := func(req *receivedRequest) { _, _ = io.Copy(io.Discard, req.conn) }
			u := newUpstream(t, silent)
			d := document()
			for i := range d.Routes {
				d.Routes[i].Timeout = tc.timeout
			}
			gw := newTestGateway(t, d, u)
			awaited := http.StateNew
			if tc.begin != "" {
				awaited = http.StateActive
			}
			reached := make(chan *Server, 1)
			nc := gw.serveWithHook(func(*Server, http.ConnState) {}, func(s *Server, state http.ConnState) {
				if state == awaited {
					reached <- s
				}
			})
			_, err := io.WriteString(nc, tc.begin)
			gw.Assert(err, qt.IsNil)
			server := <-reached
			ctx, cancel := context.WithTimeout(t.Context(), grace)
			defer cancel()
			stopped := make(chan error, 1)
			go func() { stopped <- server.Shutdown(ctx) }()
			<-server.stopping.Done()
			_, err = io.WriteString(nc, tc.rest)
			gw.Assert(err, qt.IsNil)
			answer, err := io.ReadAll(nc)
			gw.Check(err, qt.IsNil)
			gw.Check(string(answer), qt.Contains, fmt.Sprintf("HTTP/1.1 %d ", tc.status))
			if tc.status == http.StatusServiceUnavailable {
				gw.Check(string(answer), qt.Contains, "Connection: close")
				gw.Check(string(answer), qt.Contains, `"run_state":"not_run"`)
				gw.Check(string(answer), qt.Contains, "Retry-After: ")
				gw.Check(u.requests(), qt.HasLen, 0)
			}
			gw.Check(<-stopped, qt.IsNil)
		})
	}
}
