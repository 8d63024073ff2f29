package gateway

import (
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// connEnd is why the host ends a connection that waits for a request; empty if it doesn't.
type connEnd string

const (
	// endIdle ends a connection that was idle for longer than the routing document allows.
	endIdle connEnd = "idle"
	// endRoom ends an idle connection to make room for a new one.
	endRoom connEnd = "room"
	// endStop ends an idle connection because the host stops.
	endStop connEnd = "stop"
	// endAbort closes any connection at once at the end of the host.
	endAbort connEnd = "abort"
)

var allConnEnds = []connEnd{endIdle, endRoom, endStop, endAbort}

// connectionEnds counts the connections that were ended, by reason, and those of them on which bytes
// of a request had arrived that were not read.
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
