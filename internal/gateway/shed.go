package gateway

import (
	"io"
	"net"
	"strconv"
	"time"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/netopt"
)

// Limits for connections that are refused before their requests are parsed.
const (
	// shedTimeout bounds the time spent on such a connection, and shedReadBytes one read of
	// its request. The request is read, because closing a connection with unread bytes resets
	// it and may lose the response.
	shedTimeout   = 300 * time.Millisecond
	shedReadBytes = 16 << 10
	maxDrainReads = 4
)

// shedResponse is a 503, which guarantees that the request was not run.
var shedResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nConnection: close\r\nRetry-After: " +
	fault.FormatRetryAfter(overloadRetryAfter) + "\r\nContent-Length: " + strconv.Itoa(len(shedBody)) + "\r\n\r\n" + shedBody

var shedBody = failureBody(fault.HostOverloaded, fault.NotRun)

// shedListener refuses new connections at the connection limit, and a fraction of them while
// the host is overloaded. That takes a tenth of the time of a refusal that parses the request.
type shedListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l shedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.server.shed() && l.server.conns.makeRoom() {
			return c, nil
		}
		l.server.count("shed")
		l.server.refusing.Add(1)
		go func() {
			defer l.server.refusing.Add(-1)
			refuseConn(c)
		}()
	}
}

// shed reports whether to refuse a new connection.
func (s *Server) shed() bool {
	fraction := s.randomFraction()
	s.limiter.Lock()
	defer s.limiter.Unlock()
	return s.limiter.Shed(fraction)
}

// refuseConn responds to the first request of a connection without parsing it.
func refuseConn(c net.Conn) {
	defer c.Close()
	if c.SetDeadline(time.Now().Add(shedTimeout)) != nil {
		return
	}
	buf := make([]byte, shedReadBytes)
	if _, err := c.Read(buf); err != nil {
		return
	}
	if _, err := io.WriteString(c, shedResponse); err != nil {
		return
	}
	// Unread bytes would make Close reset the connection.
	for range maxDrainReads {
		if !hasUnread(c) {
			return
		}
		if _, err := c.Read(buf); err != nil {
			return
		}
	}
}

func hasUnread(c net.Conn) bool {
	raw, ok := rawConn(c)
	if !ok {
		return false
	}
	_, waiting := netopt.CheckConn(raw)
	return waiting
}
