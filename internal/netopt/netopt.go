// Package netopt dials TCP connections that are closed when the remote end stops
// responding, and inspects the state of connections.
//
// Without its options, a connection whose packets are all lost, without a reset, accepts
// writes for many minutes, while new connections to the same address work.
package netopt

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"marigoldshunt/internal/fault"
)

// UserTimeout is how long the remote end may leave data unacknowledged. It is also the time
// after which hosts consider a silent peer lost, and several times the longest
// retransmission on a link that loses some packets.
const UserTimeout = 2 * time.Second

// TCP keepalive probes of a connection without traffic. Linux closes the connection if a
// probe is unanswered and nothing was received for UserTimeout. It uses probeCount only for
// connections without TCP_USER_TIMEOUT.
const (
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 3
)

// Dialer returns a dialer of connections that are closed when the remote end stops
// responding. local is the local address; it may be nil.
func Dialer(timeout time.Duration, local net.Addr) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout, LocalAddr: local, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT, the time for which written data may stay
// unacknowledged.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err == nil {
		err = optionErr
	}
	return fault.Wrap(err, fault.Internal, "", "set the user timeout of a connection")
}

// RawConn returns the socket of a connection; ok is false if it has none.
func RawConn(c net.Conn) (raw syscall.RawConn, ok bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := sc.SyscallConn()
	return raw, err == nil
}

// HasUnread reports whether bytes have arrived on a connection that were not read. It is false for a
// connection without a socket.
func HasUnread(c net.Conn) bool {
	raw, ok := RawConn(c)
	if !ok {
		return false
	}
	_, unread := CheckConn(raw)
	return unread
}

// CheckConn reports the state of a connection without waiting and without consuming bytes.
// open is false once the remote end has closed or reset the connection and no bytes wait to
// be read. unread is true while bytes wait to be read.
func CheckConn(c syscall.RawConn) (open, unread bool) {
	err := c.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
		open = unread || errors.Is(err, syscall.EAGAIN)
	})
	return open && err == nil, unread
}

// Peek copies bytes that have arrived without consuming them, and without waiting. It returns 0 if there
// are none or the connection has ended.
func Peek(c syscall.RawConn, p []byte) int {
	n := 0
	err := c.Control(func(fd uintptr) {
		if read, _, err := syscall.Recvfrom(int(fd), p, syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err == nil {
			n = read
		}
	})
	if err != nil {
		return 0
	}
	return max(n, 0)
}

// ReadAvailable reads bytes that have arrived, without waiting. It returns 0 if there are
// none or the connection has ended.
func ReadAvailable(c syscall.RawConn, p []byte) int {
	n := 0
	err := c.Control(func(fd uintptr) {
		if read, err := syscall.Read(int(fd), p); err == nil {
			n = read
		}
	})
	if err != nil {
		return 0
	}
	return n
}
