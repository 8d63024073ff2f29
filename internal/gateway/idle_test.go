package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// deadlineConn is a connection that reports whether its wait for a request was ended.
type deadlineConn struct {
	net.Conn
	ended bool
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.ended = !t.IsZero()
	return nil
}

// Guards against a host that refuses every new connection for as long as its idle ones stay
// open, after requests arrived on connections that it was closing.
func TestIdleConnectionsMakeRoomAtTheHighestCount(t *testing.T) {
	c := qt.New(t)
	conns := newConnections(testMaxConnections, time.Now)
	var all []*deadlineConn
	open := func() {
		nc := &deadlineConn{}
		all = append(all, nc)
		for _, state := range []http.ConnState{http.StateNew, http.StateActive, http.StateIdle} {
			conns.stateChanged(nc, state)
		}
	}
	for range testMaxConnections {
		open()
	}
	for conns.makeRoom(true) {
		open()
	}
	for _, nc := range all {
		if nc.ended {
			conns.stateChanged(nc, http.StateActive)
			conns.stateChanged(nc, http.StateIdle)
			nc.ended = false
		}
	}
	c.Assert(conns.counts().Closing, qt.Equals, 0)
	for range testMaxConnections {
		conns.makeRoom(true)
	}
	for _, nc := range all {
		if nc.ended {
			conns.stateChanged(nc, http.StateClosed)
		}
	}
	c.Assert(conns.makeRoom(true), qt.IsTrue, qt.Commentf("%+v", conns.counts()))
}

// serveWithHook starts a server like gw's with before and after called around the ConnState
// hook, and returns a connection to it.
func (gw *testGateway) serveWithHook(before, after func(s *Server, state http.ConnState)) net.Conn {
	s := New(gw.server.opts)
	hook := s.http.ConnState
	s.http.ConnState = func(c net.Conn, state http.ConnState) {
		before(s, state)
		hook(c, state)
		after(s, state)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	gw.Assert(err, qt.IsNil)
	go func() { _ = s.Serve(ln) }()
	gw.Cleanup(func() { _ = s.Close() })
	nc, err := net.Dial("tcp", ln.Addr().String())
	gw.Assert(err, qt.IsNil)
	gw.Cleanup(func() { _ = nc.Close() })
	gw.Assert(nc.SetReadDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	return nc
}

func closeAllIdle(s *Server) { s.conns.endIdleSince(time.Now().Add(time.Hour), endIdle) }

// Guards against a connection that counts as being closed and stays open, because it was
// chosen before the HTTP server began to wait for its next request.
func TestClosingBeforeTheWaitForARequestTakesEffect(t *testing.T) {
	gw := newTestGateway(t, document(), newUpstream(t, writeRaw("%s", rawResponse(200, "ok"))))
	nc := gw.serveWithHook(func(*Server, http.ConnState) {}, func(s *Server, state http.ConnState) {
		if state == http.StateIdle {
			closeAllIdle(s)
		}
	})
	fmt.Fprint(nc, "GET /read/x HTTP/1.1\r\nHost: h\r\n\r\n")
	answer, err := io.ReadAll(nc)
	gw.Assert(err, qt.IsNil, qt.Commentf("the connection stays open after %q", answer))
	gw.Assert(string(answer), qt.Contains, "HTTP/1.1 200 ")
}

// Guards against a request that is cut off after it was read, because its connection was
// chosen to be closed before it counted as active.
func TestRequestOnAConnectionThatIsBeingClosedIsAnswered(t *testing.T) {
	pause := func(*receivedRequest) { time.Sleep(100 * time.Millisecond) }
	gw := newTestGateway(t, document(), newUpstream(t, sequence(pause, writeRaw("%s", rawResponse(200, "ok")))))
	nc := gw.serveWithHook(func(s *Server, state http.ConnState) {
		if state == http.StateActive {
			closeAllIdle(s)
		}
	}, func(*Server, http.ConnState) {})
	br := bufio.NewReader(nc)
	for range 3 {
		fmt.Fprint(nc, "GET /read/x HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(br, nil)
		gw.Assert(err, qt.IsNil)
		gw.Assert(resp.StatusCode, qt.Equals, 200)
		_, err = io.Copy(io.Discard, resp.Body)
		gw.Assert(err, qt.IsNil)
	}
}
