package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against resumed streams that fail unseen, and against counting them as new ones.
func TestResumedAndNewStreamsAreCountedApart(t *testing.T) {
	c := qt.New(t)
	f := newVersionFleet(t, "older", "newer")
	f.list(f.first, "older")
	f.first.do("POST", "/resume/x", "")
	f.waitForStream(t, "older")
	f.second.do("POST", "/resume/x", "", "Last-Event-Id: 1", "X-Resumes: r1")
	f.second.do("POST", "/resume/x", "", "Last-Event-Id: 1", "X-Resumes: unknown")
	created, resumed, _ := f.first.server.streamCounts.take()
	c.Check(created, qt.Equals, streamTally{asked: 1, begun: 1})
	c.Check(resumed, qt.Equals, streamTally{})
	created, resumed, refused := f.second.server.streamCounts.take()
	c.Check(created, qt.Equals, streamTally{})
	c.Check(resumed, qt.Equals, streamTally{asked: 2, begun: 1})
	c.Check(refused, qt.DeepEquals, map[string]int{"stream_origin_unknown": 1})
}
