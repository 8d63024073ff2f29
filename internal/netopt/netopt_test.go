package netopt

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// Guards against connections on which a silent other side is not noticed.
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
