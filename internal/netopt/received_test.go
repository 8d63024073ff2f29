package netopt

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// Guards against a caller that has closed its connection and counts as waiting because its request is unread.
func TestLastReceivedTellsThatTheRemoteEndHasClosed(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	dialled, err := net.Dial("tcp", ln.Addr().String())
	c.Assert(err, qt.IsNil)
	accepted, err := ln.Accept()
	c.Assert(err, qt.IsNil)
	raw, err := accepted.(*net.TCPConn).SyscallConn()
	c.Assert(err, qt.IsNil)
	_, err = dialled.Write([]byte("request"))
	c.Assert(err, qt.IsNil)
	received, err := LastReceived(raw)
	c.Assert(err, qt.IsNil)
	c.Assert(received.Ended, qt.IsFalse)
	c.Assert(dialled.Close(), qt.IsNil)
	for end := time.Now().Add(10 * time.Second); !received.Ended; time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
		received, err = LastReceived(raw)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(Peek(raw, make([]byte, 8)), qt.Equals, len("request"))
	c.Assert(accepted.Close(), qt.IsNil)
	_, err = LastReceived(raw)
	c.Assert(err, qt.IsNotNil)
}

// Guards against a busy host that drops every new connection where the kernel doesn't tell the state of TCP.
func TestUnknownStateOfAConnectionIsNotItsEnd(t *testing.T) {
	c := qt.New(t)
	c.Check(hasEnded(0), qt.IsFalse)
	c.Check(hasEnded(unix.BPF_TCP_ESTABLISHED), qt.IsFalse)
	c.Check(hasEnded(unix.BPF_TCP_CLOSE_WAIT), qt.IsTrue)
	c.Check(hasEnded(unix.BPF_TCP_CLOSE), qt.IsTrue)
}
