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
