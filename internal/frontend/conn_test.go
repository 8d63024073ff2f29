package frontend

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
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
