package netopt

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"marigoldshunt/internal/fault"
)

// Received is what the kernel knows of the receiving side of a TCP connection.
type Received struct {
	// Ago is the time since the last bytes arrived, or since the handshake if none have.
	Ago time.Duration
	// Ended is true once the remote end has closed its side or reset the connection, also while bytes
	// wait to be read.
	Ended bool
}

// LastReceived reads the state of the receiving side without waiting and without consuming bytes.
func LastReceived(c syscall.RawConn) (Received, error) {
	var info *unix.TCPInfo
	var optionErr error
	err := c.Control(func(fd uintptr) {
		info, optionErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err == nil {
		err = optionErr
	}
	if err != nil {
		return Received{}, fault.Wrap(err, fault.Internal, "", "read the state of a connection")
	}
	return Received{
		Ago:   time.Duration(info.Last_data_recv) * time.Millisecond,
		Ended: hasEnded(info.State),
	}, nil
}

// hasEnded reports whether a connection in a state of TCP receives nothing any more. It names these states, because a
// kernel that tells no state leaves 0.
func hasEnded(state uint8) bool {
	switch state {
	case unix.BPF_TCP_CLOSE, unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_CLOSING, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_TIME_WAIT:
		return true
	}
	return false
}
