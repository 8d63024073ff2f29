package frontend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
)

// Guards against connections without a bound when callers are refused before they have sent
// their whole requests: one whose close lingers still counts.
func TestLingeringConnectionsCountAgainstTheLimit(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := &listener{Listener: ln, maxConnections: 1, writeTimeout: time.Second, open: map[*callerConn]struct{}{}, removed: make(chan struct{}, 1)}
	c.Cleanup(func() { l.Close() })
	caller, err := net.Dial("tcp", ln.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { caller.Close() })
	accepted, err := l.Accept()
	c.Assert(err, qt.IsNil)
	accepted.(*callerConn).requestUnread = true
	c.Assert(accepted.Close(), qt.IsNil)
	c.Assert(l.add(&callerConn{}), qt.IsFalse)
	c.Assert(caller.Close(), qt.IsNil)
	l.waitEmpty(10 * time.Second)
	c.Assert(l.add(&callerConn{}), qt.IsTrue)
}

// heldConn is a connection whose goroutine gets no CPU time to read a second request until release.
type heldConn struct {
	*net.TCPConn
	reads   atomic.Int32
	release chan struct{}
}

func (c *heldConn) Read(p []byte) (int, error) {
	if c.reads.Add(1) == 2 {
		<-c.release
	}
	return c.TCPConn.Read(p)
}

type heldListener struct {
	net.Listener
	release chan struct{}
}

func (l heldListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{TCPConn: nc.(*net.TCPConn), release: l.release}, nil
}

// Guards against a stop that resets a kept connection on which a request has arrived that nobody has read.
func TestRequestOnAConnectionThatAStopEndsIsRefused(t *testing.T) {
	ts := startServer(t, Options{}, echo)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Assert(err, qt.IsNil)
	held := heldListener{ln, make(chan struct{})}
	s, served, stopped := New(ts.server.opts), make(chan error, 1), make(chan error, 1)
	go func() { served <- s.Serve(held) }()
	ts.address = ln.Addr().String()
	nc, request := ts.dial(), "GET /v1/discover HTTP/1.1\r\n"+authHeaders+"\r\n"
	ts.Assert(ts.roundTrip(nc, request).StatusCode, qt.Equals, 200)
	_, err = io.WriteString(nc, request)
	ts.Assert(err, qt.IsNil)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	ts.Assert(nc.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	close(held.release)
	ts.Assert(err, qt.IsNil)
	ts.wantError(resp, 503, fault.HostLeaving, fault.NotRun)
	ts.Assert(resp.Close, qt.IsTrue)
	nc.Close()
	ts.Assert(<-stopped, qt.IsNil)
	ts.Assert(<-served, qt.IsNil)
}
