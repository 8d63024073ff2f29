package gateway

import (
	"sync"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/logsink"
)

// causeNoEvent is that of a resumed stream whose upstream answered without an event.
const causeNoEvent = "no_event"

// streamTally counts requests for resumable streams, and those whose callers got an event.
type streamTally struct{ asked, begun int }

// streamCounts counts the requests for resumable streams of one second: new ones, and those that
// continue a stream which a caller resumes.
type streamCounts struct {
	sync.Mutex
	created, resumed streamTally
	// refused counts the resumed streams without an event, by cause.
	refused map[string]int
}

func newStreamCounts() *streamCounts { return &streamCounts{refused: map[string]int{}} }

func (c *streamCounts) add(resumed, begun bool, cause string) {
	c.Lock()
	defer c.Unlock()
	n := &c.created
	if resumed {
		n = &c.resumed
	}
	n.asked++
	switch {
	case begun:
		n.begun++
	case resumed:
		c.refused[cause]++
	}
}

// take returns the counts since the last call and begins new ones.
func (c *streamCounts) take() (created, resumed streamTally, refused map[string]int) {
	c.Lock()
	defer c.Unlock()
	created, resumed, refused = c.created, c.resumed, c.refused
	c.created, c.resumed, c.refused = streamTally{}, streamTally{}, map[string]int{}
	return created, resumed, refused
}

// resumesStream reports whether the caller resumes a stream.
func (q *request) resumesStream() bool {
	return q.r.Header.Get(q.server.opts.HeaderNames.LastEventID) != ""
}

// countStream counts a request that has ended, with an error or nil, if it is for a resumable stream.
// It leaves out those that were refused before the HTTP server saw them.
func (q *request) countStream(err error) {
	if q.route == nil || !q.route.Resumable {
		return
	}
	name, resumed := "streams_new", q.resumesStream()
	if resumed {
		name = "streams_resumed"
	}
	cause := causeNoEvent
	if err != nil {
		cause = refusalCause(fault.As(err), &q.gate)
	}
	begun := !q.lastEventAt.IsZero()
	q.server.count(name)
	switch {
	case begun:
		q.server.count(name + "_begun")
	case resumed:
		q.server.count(name + "_refused." + cause)
	}
	q.server.streamCounts.add(resumed, begun, cause)
}

// ReportStreams logs, for the time since the last call, how many of the streams that callers resumed
// went on and how many new ones began, if callers resumed any.
func (s *Server) ReportStreams() {
	created, resumed, refused := s.streamCounts.take()
	if resumed.asked == 0 || logsink.Drops(s.log, logrus.InfoLevel) {
		return
	}
	s.log.WithFields(logrus.Fields{
		"resumed": resumed.asked, "resumed_begun": resumed.begun, "new": created.asked, "new_begun": created.begun, "refused": countsText(refused),
	}).Info("Callers resumed streams in the last second.")
}
