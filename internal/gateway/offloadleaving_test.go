package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
)

// Guards against a leaving host that refuses what other hosts can serve, keeps its callers, or refuses an account that
// does not flood it.
func TestLeavingHostPassesItsFloodOnAndMovesCallersAway(t *testing.T) {
	pair := newOffloadPair(t, newUpstream(t, writeRaw("%s", rawResponse(200, "ok"))))
	pair.setView(func(v *View) { v.Leaving = true })
	for _, key := range []string{"k1", "k2"} {
		nc, err := net.Dial("tcp", pair.address)
		pair.Assert(err, qt.IsNil)
		defer nc.Close()
		br := bufio.NewReader(nc)
		resp, body := exchange(pair.C, nc, br, rawRequest("POST", key, "r1", "", "body"))
		pair.Check(resp.StatusCode, qt.Equals, 200)
		pair.Check(body, qt.Equals, "ok")
		pair.Check(resp.Header.Get("X-Proof"), qt.Equals, "p1")
		pair.Check(resp.Close, qt.IsTrue)
		_, err = br.ReadByte()
		pair.Check(err, qt.Equals, io.EOF)
	}
	pair.Check(pair.counted("offloaded_leaving"), qt.Equals, int64(1))
}

// Guards against a request that a stopping host passes on and then cuts, because it may last longer than the stop.
func TestPassedOnRequestThatTheStopWouldCutIsRefused(t *testing.T) {
	u := newUpstream(t, writeRaw("%s", rawResponse(200, "ok")))
	pair := newOffloadPair(t, u)
	nc, err := net.Dial("tcp", pair.address)
	pair.Assert(err, qt.IsNil)
	defer nc.Close()
	request := rawRequest("POST", "k1", "r1", "", "body")
	_, err = io.WriteString(nc, request[:len(request)-1])
	pair.Assert(err, qt.IsNil)
	pair.waitFor(func(n ConnectionCounts) bool { return n.Open == 1 && n.Unread == 0 }) // the host has read the head
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- pair.server.Shutdown(ctx) }()
	<-pair.server.stopping.Done()
	resp, body := exchange(pair.C, nc, bufio.NewReader(nc), request[len(request)-1:])
	pair.Check(resp.StatusCode, qt.Equals, 503)
	pair.Check(body, qt.Equals, failureBody(fault.HostLeaving, fault.NotRun))
	pair.Check(resp.Header.Get("Retry-After"), qt.Equals, "0.100")
	pair.Check(resp.Close, qt.IsTrue)
	pair.Check(u.requests(), qt.HasLen, 0)
	pair.Check(<-stopped, qt.IsNil)
}
