package gateway

import (
	"io"
	"net"
	"strconv"
	"time"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/netopt"
)

// Parameters of connections that are refused before their requests are looked at.
const (
	// shedWait is how long the request of such a connection is waited for, and shedBytes
	// what is read of it, so that the answer is not lost in a reset.
	shedWait  = 300 * time.Millisecond
	shedBytes = 16 << 10
	maxReads  = 4
)

// shedAnswer promises that the request was not run.
var shedAnswer = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nConnection: close\r\nRetry-After: " +
	fault.RetryAfterSeconds(retryOverloaded) + "\r\nContent-Length: " + strconv.Itoa(len(shedBody)) + "\r\n\r\n" + shedBody

var shedBody = failureBody(fault.HostOverloaded, fault.NotRun)

// shedListener refuses a part of the new connections while the host is overloaded, which
// takes a tenth of the time of a refusal that looks at the request.
type shedListener struct {
	net.Listener
	s *Server
}

// Accept implements net.Listener.
func (l shedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || !l.s.shed() {
			return c, err
		}
		l.s.count("shed")
		go refuseConn(c)
	}
}

// shed reports whether a new connection is refused.
func (s *Server) shed() bool {
	u := s.randomPoint()
	s.guard.Lock()
	defer s.guard.Unlock()
	return s.guard.Shed(u)
}

// refuseConn answers the first request of a connection without looking at it.
func refuseConn(c net.Conn) {
	defer c.Close()
	if c.SetDeadline(time.Now().Add(shedWait)) != nil {
		return
	}
	buf := make([]byte, shedBytes)
	if _, err := c.Read(buf); err != nil {
		return
	}
	if _, err := io.WriteString(c, shedAnswer); err != nil {
		return
	}
	// Bytes that are left unread make Close reset the connection.
	for range maxReads {
		if !unread(c) {
			return
		}
		if _, err := c.Read(buf); err != nil {
			return
		}
	}
}

func unread(c net.Conn) bool {
	raw, ok := rawConn(c)
	if !ok {
		return false
	}
	_, waiting := netopt.Peek(raw)
	return waiting
}
