package netopt

import (
	"net"
	"time"
)

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 10 * time.Millisecond

// RetryAccept returns a listener whose Accept waits and tries again after a failure that may
// pass, such as a lack of file descriptors. A server of fasthttp would end, and the process
// with it.
func RetryAccept(ln net.Listener) net.Listener { return retryListener{ln} }

type retryListener struct{ net.Listener }

// Accept implements net.Listener.
func (l retryListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if passing, ok := err.(interface{ Temporary() bool }); !ok || !passing.Temporary() {
			return c, err
		}
		time.Sleep(acceptRetryDelay)
	}
}
