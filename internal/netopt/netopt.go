// Package netopt makes TCP connections that end when the other side falls silent, and
// looks at their state.
//
// A connection whose packets are lost for good, without a reset, otherwise takes what is
// written to it for many minutes, while new connections to the same place work.
package netopt

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"marigoldshunt/internal/fault"
)

// SilentFor is how long the other side may leave data without acknowledgement. It is the
// time after which hosts take a silent peer for lost, and several times the longest
// retransmission of a link that loses some packets.
const SilentFor = 2 * time.Second

// Probes of a connection without traffic: three lost ones end it.
const (
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 3
)

// Dialer returns a dialer of such connections. local may be nil.
func Dialer(timeout time.Duration, local net.Addr) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout, LocalAddr: local, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}
}

// setUserTimeout bounds the time for which written data may stay without acknowledgement.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(SilentFor.Milliseconds()))
	})
	if err == nil {
		err = set
	}
	return fault.Wrap(err, fault.Internal, "", "set the user timeout of a connection")
}

// Peek reports what the other side of a connection has done, without waiting and without
// taking anything: open is false once it has closed or reset the connection, and unread is
// true while bytes wait to be read.
func Peek(c syscall.RawConn) (open, unread bool) {
	err := c.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
		open = unread || errors.Is(err, syscall.EAGAIN)
	})
	return open && err == nil, unread
}
