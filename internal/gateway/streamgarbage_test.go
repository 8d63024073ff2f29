package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// foreignPieces are bytes that are no event of a run after the events 1 and 2.
var foreignPieces = map[string]string{
	"bytes above 127":             strings.Repeat("\xe9\xff", 150) + "\n\n",
	"event without id":            "data: foreign\n\n",
	"empty id":                    "id: \ndata: foreign\n\n",
	"id that is no number":        "id: seven\ndata: foreign\n\n",
	"signed id":                   "id: +3\ndata: foreign\n\n",
	"comment with data":           ": foreign\ndata: foreign\n\n",
	"comment":                     ": foreign\n\n",
	"id 0":                        "id: 0\ndata: foreign\n\n",
	"earlier id":                  "id: 1\ndata: foreign\n\n",
	"the same id again":           "id: 2\ndata: foreign\n\n",
	"id that leaves hundreds out": "id: 700\ndata: foreign\n\n",
	"id above 64 bits":            "id: 99999999999999999999999999\ndata: foreign\n\n",
	"id that leaves one out":      "id: 4\ndata: foreign\n\n",
	"two ids":                     "id: 3\nid: 4\ndata: foreign\n\n",
	"no data":                     "id: 3\n\n",
	"empty line":                  "\n",
	"unknown field":               "id: 3\nforeign: 3\ndata: foreign\n\n",
	"head of a response":          "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign",
}

func chunkOf(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// garbledStream is a stream whose events 1 to sound are followed by a foreign piece, by a sound event
// and by a sound end. It reports when the host has closed the connection.
func garbledStream(sound int, piece string, closed chan<- struct{}) func(req *receivedRequest) {
	return func(req *receivedRequest) {
		text := streamHead
		for id := range sound {
			text += eventChunk(id + 1)
		}
		writeRaw("%s", text+chunkOf(piece)+eventChunk(sound+1))(req)
		_, _ = req.conn.Read(make([]byte, 1)) // returns when the host closes the connection
		closed <- struct{}{}
	}
}

// soundStream answers with the events after the one in Last-Event-Id, up to event 5.
func soundStream(req *receivedRequest) {
	last := 0
	_, _ = fmt.Sscan(req.Header.Get("Last-Event-Id"), &last) // no header means 0
	text := streamHead
	for id := last + 1; id <= 5; id++ {
		text += eventChunk(id)
	}
	writeRaw("%s", text+streamEnd)(req)
}

func wholeStream() (text string) {
	for id := range 5 {
		text += fmt.Sprintf("id: %d\ndata: piece %d\n\n", id+1, id+1)
	}
	return text
}

func awaitClosed(c *qt.C, closed <-chan struct{}) {
	select {
	case <-closed:
	case <-time.After(testTimeout):
		c.Fatal("the connection to the upstream that sent garbage is still open")
	}
}

// Guards against a piece that no run made and that reaches the caller, and against a stream that ends
// as complete after it.
func TestForeignPiecesOfAStreamDoNotReachTheCaller(t *testing.T) {
	for name, piece := range foreignPieces {
		for _, sound := range []int{0, 2} {
			if sound == 0 && name == "earlier id" {
				continue // it is the first event of the run
			}
			t.Run(fmt.Sprintf("%s after %d", name, sound), func(t *testing.T) {
				c := qt.New(t)
				closed := make(chan struct{}, 1)
				a, b := sharedScripts(t, garbledStream(sound, piece, closed), soundStream)
				gw := newTestGateway(t, document(), a, b)
				resp, body, complete := gw.do("POST", "/resume/x", "")
				c.Check(resp.StatusCode, qt.Equals, 200)
				c.Check(complete, qt.IsTrue)
				c.Check(body, qt.Equals, wholeStream())
				awaitClosed(c, closed)
			})
		}
	}
}

// Guards against a stream that may not be run again and whose foreign piece or sound end reaches the
// caller, and against a second run of it.
func TestStreamWithAForeignPieceEndsBroken(t *testing.T) {
	for name, piece := range foreignPieces {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			closed := make(chan struct{}, 2)
			u, other := newUpstream(t, garbledStream(2, piece, closed)), newUpstream(t, garbledStream(2, piece, closed))
			gw := newTestGateway(t, document(), u, other)
			resp, body, complete := gw.do("POST", "/stream/x", "")
			c.Check(resp.StatusCode, qt.Equals, 200)
			c.Check(complete, qt.IsFalse)
			c.Check(body, qt.Equals, wholeStream()[:len("id: 1\ndata: piece 1\n\n")*2])
			awaitClosed(c, closed)
			c.Check(len(u.requests())+len(other.requests()), qt.Equals, 1)
		})
	}
}

// Guards against a refusal that says "not run", and against a second run, after garbage before the first event.
func TestGarbageBeforeTheFirstEventMayHaveRun(t *testing.T) {
	c := qt.New(t)
	closed := make(chan struct{}, 2)
	script := garbledStream(0, foreignPieces["bytes above 127"], closed)
	u, other := newUpstream(t, script), newUpstream(t, script)
	gw := newTestGateway(t, document(), u, other)
	resp, body, complete := gw.do("POST", "/stream/x", "")
	c.Check(resp.StatusCode, qt.Equals, 502)
	c.Check(complete, qt.IsTrue)
	c.Check(body, qt.Contains, `"run_state":"may_have_run"`)
	c.Check(len(u.requests())+len(other.requests()), qt.Equals, 1)
}

// Guards against a resumed stream that leaves events out, repeats some, or ends before the last one
// that the caller has.
func TestResumedRunGoesOnAfterTheLastEvent(t *testing.T) {
	for _, test := range []struct {
		name, resumed string
		run, want     []int64
		complete      bool
	}{
		{"goes on", "7", []int64{8, 9}, []int64{8, 9}, true},
		{"repeats from the begin", "7", []int64{1, 2, 3, 4, 5, 6, 7, 8}, []int64{8}, true},
		{"repeats the last events", "7", []int64{6, 7, 8}, []int64{8}, true},
		{"nothing is left", "7", nil, nil, true},
		{"only the last event", "7", []int64{7}, nil, true},
		{"leaves an event out", "7", []int64{9, 10}, nil, false},
		{"ends before the last event", "7", []int64{1, 2, 3}, nil, false},
		{"leaves out one of the repeated events", "7", []int64{5, 7, 8}, nil, false},
		{"a new run leaves the first event out", "", []int64{2, 3}, nil, false},
		{"the last event has the largest number", "9223372036854775807", []int64{9223372036854775807}, nil, true},
		{"the last event is no number", "x", []int64{8, 9}, []int64{8, 9}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			text := ""
			for _, id := range test.run {
				text += fmt.Sprintf("id: %d\ndata: piece\n\n", id)
			}
			events := newEventReader(bufio.NewReader(strings.NewReader(text)), "", test.resumed)
			var got []int64
			var err error
			for err == nil {
				if _, err = events.next(func() bool { return true }); err == nil && !events.repeated() {
					got = append(got, events.last)
				}
			}
			c.Check(got, qt.DeepEquals, test.want)
			c.Check(errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF), qt.Equals, test.complete, qt.Commentf("%v", err))
		})
	}
}

// Guards against refusing events with the lines that upstreams may add.
func TestEventsWithMoreLinesReachTheCaller(t *testing.T) {
	c := qt.New(t)
	text := "weight-version: 4\nid: 1\ndata: a\ndata: b\n\n" + "id:2\r\nevent: token\r\ndata:\r\n\r\n"
	names := testHeaderNames()
	names.EventVersion = "weight-version"
	gw := newTestGatewayWith(t, document(), func(o *Options) { o.HeaderNames = names }, newUpstream(t, writeRaw("%s", streamHead+chunkOf(text)+streamEnd)))
	resp, body, complete := gw.do("POST", "/stream/x", "")
	c.Check(resp.StatusCode, qt.Equals, 200)
	c.Check(complete, qt.IsTrue)
	c.Check(body, qt.Equals, text)
}

// Guards against reading on while an upstream sends bytes that can't begin an event, even if they
// never fill a line.
func TestFirstBytesOfGarbageEndTheStream(t *testing.T) {
	c := qt.New(t)
	closed := make(chan struct{}, 1)
	begin := func(req *receivedRequest) {
		writeRaw("%s", streamHead+eventChunk(1)+chunkOf("\x80"))(req)
		_, _ = req.conn.Read(make([]byte, 1)) // returns when the host closes the connection
		closed <- struct{}{}
	}
	d := document()
	for i := range d.Routes {
		d.Routes[i].Timeout = time.Minute
	}
	gw := newTestGateway(t, d, newUpstream(t, begin))
	nc, err := net.Dial("tcp", gw.address)
	c.Assert(err, qt.IsNil)
	defer nc.Close()
	_, err = io.WriteString(nc, "POST /stream/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	c.Assert(err, qt.IsNil)
	awaitClosed(c, closed) // the caller is still there
}

// Guards against garbage that nobody can find in logs and metrics, or that counts as a crash of the
// upstream by the request.
func TestGarbageIsCountedAndIsNoCrash(t *testing.T) {
	c := qt.New(t)
	closed := make(chan struct{}, 1)
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	registry := metrics.NewRegistry()
	gw := newTestGatewayWith(t, document(), func(o *Options) { o.Log, o.Registry = log, registry }, newUpstream(t, garbledStream(2, "data: foreign\n\n", closed)))
	gw.do("POST", "/stream/x", "")
	awaitClosed(c, closed)
	gw.endRequests()
	c.Check(metrics.GetOrRegisterCounter("gateway.garbled_streams", registry).Count(), qt.Equals, int64(1))
	c.Check(metrics.GetOrRegisterCounter("gateway.connections_broken", registry).Count(), qt.Equals, int64(0))
	c.Check(out.String(), qt.Contains, `msg="Upstream sent bytes that are no event of the stream."`)
	c.Check(out.String(), qt.Contains, "instance=i0")
	c.Check(out.String(), qt.Contains, "expected_event=3")
}
