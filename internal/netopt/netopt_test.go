package netopt

import (
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// Guards against connections on which a remote end that stops responding is not detected.
func TestDialerSetsOptions(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	nc, err := Dialer(time.Second, &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9)}).DialContext(t.Context(), "tcp", ln.Addr().String())
	c.Assert(err, qt.IsNil)
	defer nc.Close()
	c.Assert(nc.LocalAddr().(*net.TCPAddr).IP.String(), qt.Equals, "127.0.0.9")
	raw, err := nc.(*net.TCPConn).SyscallConn()
	c.Assert(err, qt.IsNil)
	for option, want := range map[int]int{unix.TCP_USER_TIMEOUT: 2000, unix.TCP_KEEPIDLE: 1, unix.TCP_KEEPINTVL: 1, unix.TCP_KEEPCNT: 3} {
		var got int
		var gotErr error
		c.Assert(raw.Control(func(fd uintptr) { got, gotErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option) }), qt.IsNil)
		c.Assert(gotErr, qt.IsNil)
		c.Assert(got, qt.Equals, want, qt.Commentf("option %d", option))
	}
}

// newConnPair returns both ends of a connection, and the socket of the accepted one.
func newConnPair(c *qt.C) (dialled, accepted net.Conn, raw syscall.RawConn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	dialled, err = net.Dial("tcp", ln.Addr().String())
	c.Assert(err, qt.IsNil)
	accepted, err = ln.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { accepted.Close() })
	raw, err = accepted.(*net.TCPConn).SyscallConn()
	c.Assert(err, qt.IsNil)
	return dialled, accepted, raw
}

// Guards against a connection that counts as open after the remote end has closed it, and
// against a check that consumes bytes.
func TestCheckConn(t *testing.T) {
	c := qt.New(t)
	dialled, accepted, raw := newConnPair(c)
	state := func() [2]bool {
		open, unread := CheckConn(raw)
		return [2]bool{open, unread}
	}
	waitFor := func(want [2]bool) {
		for end := time.Now().Add(10 * time.Second); state() != want; time.Sleep(time.Millisecond) {
			c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%v, want %v", state(), want))
		}
	}
	c.Assert(state(), qt.Equals, [2]bool{true, false})
	_, err := dialled.Write([]byte("x"))
	c.Assert(err, qt.IsNil)
	waitFor([2]bool{true, true})
	c.Assert(dialled.Close(), qt.IsNil)
	c.Assert(state(), qt.Equals, [2]bool{true, true})
	b := make([]byte, 2)
	n, err := accepted.Read(b)
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, 1)
	waitFor([2]bool{false, false})
}

// Guards against a look at what has arrived that consumes it or waits.
func TestPeekConsumesNothing(t *testing.T) {
	c := qt.New(t)
	dialled, _, raw := newConnPair(c)
	p := make([]byte, 8)
	c.Assert(Peek(raw, p), qt.Equals, 0)
	_, err := dialled.Write([]byte("request"))
	c.Assert(err, qt.IsNil)
	for end := time.Now().Add(10 * time.Second); Peek(raw, p) == 0; time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
	c.Assert(string(p[:Peek(raw, p)]), qt.Equals, "request")
	c.Assert(string(p[:ReadAvailable(raw, p)]), qt.Equals, "request")
	c.Assert(dialled.Close(), qt.IsNil)
	c.Assert(Peek(raw, p), qt.Equals, 0)
}
