package netopt

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// maxLateAccepts bounds the connections that a listener accepts beyond those that waited when its
// drain began: one enters the queue whenever it is empty.
const maxLateAccepts = 64

// DrainingListener is a TCP listener that can be closed without a reset of the connections that wait
// in its queue.
type DrainingListener struct {
	*net.TCPListener
	// left is the number of connections that may be accepted since Drain.
	left             int
	draining, closed atomic.Bool
}

// NewDrainingListener returns a DrainingListener that takes over ln, without the retries of RetryAccept.
// ok is false if ln is none of TCP.
func NewDrainingListener(ln net.Listener) (l *DrainingListener, ok bool) {
	if r, isRetry := ln.(retryListener); isRetry {
		ln = r.Listener
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return nil, false
	}
	return &DrainingListener{TCPListener: tcp, left: -1}, true
}

// Drain lets Accept close the listener once it has accepted the connections that wait. New ones are
// kept out of the queue meanwhile, and their callers then find the port closed.
func (l *DrainingListener) Drain() {
	l.draining.Store(true)
	_ = l.SetDeadline(time.Unix(1, 0)) // ends Accept; fails only if the listener is already closed
}

// Drained reports whether the listener is closed.
func (l *DrainingListener) Drained() bool { return l.closed.Load() }

// Accept implements net.Listener.
func (l *DrainingListener) Accept() (net.Conn, error) {
	for {
		if l.draining.Load() && !l.prepareDrain() {
			_ = l.Close()
			return nil, net.ErrClosed
		}
		c, err := l.TCPListener.Accept()
		if l.draining.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		return c, err
	}
}

// prepareDrain reports whether one more connection is to be accepted.
func (l *DrainingListener) prepareDrain() bool {
	waiting := l.queueLength()
	if l.left < 0 {
		l.left = waiting + maxLateAccepts
		l.shortenQueue()
	}
	l.left--
	return waiting > 0 && l.left >= 0 && l.SetDeadline(time.Time{}) == nil
}

// queueLength returns the number of connections that wait to be accepted.
func (l *DrainingListener) queueLength() (n int) {
	l.control(func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n = int(info.Unacked) // of a listener: the length of its queue
		}
	})
	return n
}

// shortenQueue keeps new connections out of the queue, which keeps those that are in it.
func (l *DrainingListener) shortenQueue() {
	l.control(func(fd int) { _ = unix.Listen(fd, 0) }) // fails only if the listener is closed
}

// control calls f unless the listener is closed.
func (l *DrainingListener) control(f func(fd int)) {
	if raw, err := l.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) })
	}
}

// Close implements net.Listener. Connections that wait in the queue are reset.
func (l *DrainingListener) Close() error {
	if l.closed.Swap(true) {
		return nil
	}
	return l.TCPListener.Close()
}
