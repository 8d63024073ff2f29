package gateway

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against cutting a slow stream that is sound: its route's timeout is its only bound.
func TestSlowButSoundStreamIsNotCut(t *testing.T) {
	const events, pause = 5, 150 * time.Millisecond
	u := newUpstream(t, func(req *receivedRequest) {
		writeRaw("%s", streamHead)(req)
		for id := range events {
			time.Sleep(pause)
			writeRaw("%s", eventChunk(id+1))(req)
		}
		writeRaw("%s", streamEnd)(req)
	})
	d := document()
	for i := range d.Routes {
		d.Routes[i].Timeout, d.Routes[i].Objective, d.Routes[i].EventGap = 20*time.Second, time.Millisecond, time.Millisecond
	}
	for _, path := range []string{"/stream/x", "/resume/x"} {
		gw := newTestGateway(t, d, u)
		resp, body, complete := gw.do("POST", path, "")
		gw.Check(resp.StatusCode, qt.Equals, 200)
		gw.Check(complete, qt.IsTrue)
		gw.Check(body, qt.Contains, "id: 5\n")
	}
}

// Guards against a stalled stream that never ends, because its upstream sends a byte now and then.
func TestStalledStreamThatSendsBytesEnds(t *testing.T) {
	const bytesOfAnEvent = "6\r\ndata: \r\n" // as often as it comes, it is one long line
	for _, begin := range []string{streamHead + chunkOf("id: 1\n"), streamHead + eventChunk(1) + chunkOf("id: 2\n")} {
		ended := make(chan struct{})
		u := newUpstream(t, func(req *receivedRequest) {
			defer close(ended)
			writeRaw("%s", begin)(req)
			for range 1_000 {
				time.Sleep(10 * time.Millisecond)
				if _, err := req.conn.Write([]byte(bytesOfAnEvent)); err != nil {
					return
				}
			}
		})
		d := document()
		for i := range d.Routes {
			d.Routes[i].Timeout, d.Routes[i].Attempts = 300*time.Millisecond, 1
		}
		gw := newTestGateway(t, d, u)
		resp, _, complete := gw.do("POST", "/resume/x", "")
		if !strings.Contains(begin, eventChunk(1)) {
			gw.Check(resp.StatusCode, qt.Equals, 504)
		} else {
			gw.Check(resp.StatusCode, qt.Equals, 200)
			gw.Check(complete, qt.IsFalse)
		}
		select {
		case <-ended:
		case <-time.After(testTimeout):
			t.Fatal("the upstream still works on the stream")
		}
	}
}
