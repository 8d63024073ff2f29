package gateway

import (
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
	for conns.makeRoom() {
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
		conns.makeRoom()
	}
	for _, nc := range all {
		if nc.ended {
			conns.stateChanged(nc, http.StateClosed)
		}
	}
	c.Assert(conns.makeRoom(), qt.IsTrue, qt.Commentf("%+v", conns.counts()))
}
