package gateway

import (
	"io"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/netopt"
)

// connEnd is why the host ends a connection that waits for a request; empty if it doesn't.
type connEnd string

const (
	// endIdle ends a connection that was idle for longer than the routing document allows.
	endIdle connEnd = "idle"
	// endHeader ends a connection whose header did not arrive in time.
	endHeader connEnd = "header"
	// endRoom ends an idle connection to make room for a new one.
	endRoom connEnd = "room"
	// endStop ends an idle connection because the host stops.
	endStop connEnd = "stop"
	// endLate ends a connection on which no request was read when the host is about to end.
	endLate connEnd = "late"
	// endAbort closes any connection at once at the end of the host.
	endAbort connEnd = "abort"
)

var allConnEnds = []connEnd{endIdle, endHeader, endRoom, endStop, endLate, endAbort}

// refuses reports whether a request that has arrived on the connection is refused as not run. For the
// other reasons it is served.
func (e connEnd) refuses() bool { return e == endRoom || e == endLate }

// refuseAtEnd refuses the request of a connection that ends. The first n bytes of buf are what was read
// last. The HTTP server would spend more CPU time on it, and a host that needs the room has none to spare.
func (s *Server) refuseAtEnd(c *net.TCPConn, buf []byte, n int) {
	s.loads.refuseConnection()
	raw, ok := netopt.RawConn(c)
	whole := ok && s.readAvailableRest(raw, buf, n)
	if c.SetDeadline(time.Now().Add(refuseTimeout)) != nil || !s.writeRefusal(c, buf) || whole {
		return
	}
	_ = c.CloseWrite() // fails only if the connection is already closed, and then so does the read
	_, _ = io.Copy(io.Discard, c)
}

// connectionEnds counts the waits for requests that were ended, by reason, and those of them at whose
// end bytes of a request had arrived.
type connectionEnds struct{ registry metrics.Registry }

func (e connectionEnds) ended(reason connEnd) metrics.Counter {
	return metrics.GetOrRegisterCounter("gateway.ended_"+string(reason), e.registry)
}

func (e connectionEnds) unread(reason connEnd) metrics.Counter {
	return metrics.GetOrRegisterCounter("gateway.ended_unread_"+string(reason), e.registry)
}

func (e connectionEnds) count(reason connEnd, unread bool) {
	e.ended(reason).Inc(1)
	if unread {
		e.unread(reason).Inc(1)
	}
}

// logFields returns the counts that are not 0 as fields of a log line.
func (e connectionEnds) logFields() logrus.Fields {
	fields := logrus.Fields{}
	for _, reason := range allConnEnds {
		for name, c := range map[string]metrics.Counter{string(reason): e.ended(reason), string(reason) + "_unread": e.unread(reason)} {
			if n := c.Count(); n > 0 {
				fields[name] = n
			}
		}
	}
	return fields
}
