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

// unknownQueueLength bounds the connections that a listener accepts whose queue has an unknown length.
// It is the usual limit of the kernel.
const unknownQueueLength = 4096

// DrainingListener is a TCP listener that can be closed without a reset of the connections that wait
// in its queue.
type DrainingListener struct {
	*net.TCPListener
	// left is the number of connections that may be accepted since Drain.
	left             int
	draining, closed atomic.Bool
	// queueLength returns the number of connections that wait to be accepted, 0 also if it is not known.
	queueLength func(fd int) int
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
	return &DrainingListener{TCPListener: tcp, left: -1, queueLength: queueLength}, true
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
	waiting := false
	l.control(func(fd int) { waiting = acceptable(fd) })
	if l.left < 0 {
		l.left = l.longestQueue() + maxLateAccepts
		l.shortenQueue()
	}
	l.left--
	return waiting && l.left >= 0 && l.SetDeadline(time.Time{}) == nil
}

// acceptable reports whether a connection waits to be accepted.
func acceptable(fd int) bool {
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := unix.Poll(p, 0)
	for errors.Is(err, unix.EINTR) {
		n, err = unix.Poll(p, 0)
	}
	return err == nil && n == 1 && p[0].Revents&unix.POLLIN != 0
}

// longestQueue bounds the number of connections that wait to be accepted.
func (l *DrainingListener) longestQueue() (n int) {
	l.control(func(fd int) { n = l.queueLength(fd) })
	if n == 0 {
		return unknownQueueLength
	}
	return n
}

// queueLength returns what Linux says of a listener's queue. Other kernels with its interface leave it out.
func queueLength(fd int) int {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return int(info.Unacked) // of a listener: the length of its queue
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
