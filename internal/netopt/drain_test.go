package netopt

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against connections that are reset in the queue of a listener that stops, and against a drain that never ends.
func TestDrainAcceptsWhatWaits(t *testing.T) {
	testDrainAcceptsWhatWaits(t, queueLength)
}

// Guards against the same on a kernel that doesn't tell the length of a listener's queue.
func TestDrainAcceptsWhatWaitsInAQueueOfUnknownLength(t *testing.T) {
	testDrainAcceptsWhatWaits(t, func(int) int { return 0 })
}

func testDrainAcceptsWhatWaits(t *testing.T, queueLength func(fd int) int) {
	c := qt.New(t)
	const callers = 200
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ln, ok := NewDrainingListener(tcp)
	c.Assert(ok, qt.IsTrue)
	ln.queueLength = queueLength
	t.Cleanup(func() { ln.Close() })
	for range callers {
		nc, err := net.Dial("tcp", ln.Addr().String())
		c.Assert(err, qt.IsNil)
		t.Cleanup(func() { nc.Close() })
	}
	ln.Drain()
	accepted := 0
	for {
		nc, err := ln.Accept()
		if err != nil {
			c.Assert(err, qt.Equals, net.ErrClosed)
			break
		}
		accepted++
		nc.Close()
	}
	c.Assert(accepted, qt.Equals, callers)
	c.Assert(ln.Drained(), qt.IsTrue)
	_, err = net.Dial("tcp", ln.Addr().String())
	c.Assert(err, qt.IsNotNil)
}

// Guards against a drain that waits for a connection that doesn't come.
func TestDrainEndsABlockedAccept(t *testing.T) {
	c := qt.New(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ln, _ := NewDrainingListener(tcp)
	done := make(chan error, 1)
	go func() {
		_, err := ln.Accept()
		done <- err
	}()
	ln.Drain()
	select {
	case err := <-done:
		c.Assert(err, qt.Equals, net.ErrClosed)
	case <-time.After(10 * time.Second):
		t.Fatal("Accept still waits")
	}
}
