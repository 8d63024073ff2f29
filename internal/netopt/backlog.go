package netopt

import (
	"net"
	"syscall"

	"marigoldshunt/internal/fault"
)

// SetBacklog sets how many connections may wait to be accepted by a listener. Callers beyond that get no connection.
func SetBacklog(ln *net.TCPListener, connections int) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return fault.Wrap(err, fault.Internal, "", "set the backlog of %s", ln.Addr())
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), connections) })
	if err == nil {
		err = listenErr
	}
	return fault.Wrap(err, fault.Internal, "", "set the backlog of %s", ln.Addr())
}
