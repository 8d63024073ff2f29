package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"marigoldshunt/internal/dispatch"
)

// foreignEvent is an event that a reader takes for one although no run made it.
const foreignEvent = "data: foreign\n\n"

// answerHead returns the head of an answer in chunks, with the proof of its upstream.
func answerHead(status int, fields string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sTransfer-Encoding: chunked\r\nX-Proof: p1\r\n\r\n", status, fields)
}

const (
	eventType = "Content-Type: text/event-stream\r\n"
	plainType = "Content-Type: text/plain\r\n"
)

// soundAnswer is a whole answer in chunks whose body is a sound stream.
func soundAnswer(status int, fields string) string {
	return answerHead(status, fields) + eventChunk(1) + eventChunk(2) + streamEnd
}

// foreignAnswer is a whole answer in chunks whose body is a sound event with a foreign one after it.
func foreignAnswer(status int, fields string) string {
	return answerHead(status, fields) + eventChunk(1) + chunkOf(foreignEvent) + streamEnd
}

// afterEvent1 is a stream whose event 1 is followed by chunks and a sound end.
func afterEvent1(chunks ...string) string {
	text := streamHead + eventChunk(1)
	for _, c := range chunks {
		text += chunkOf(c)
	}
	return text + streamEnd
}

// badAnswers are answers that no sound run gives on a route of the kind stream, all with their proof.
// sound is the number of events that the caller may get of each.
var badAnswers = []struct {
	name   string
	sound  int
	answer string
}{
	{"plain text", 0, foreignAnswer(200, plainType)},
	{"sound events as plain text", 0, soundAnswer(200, plainType)},
	{"no type", 0, foreignAnswer(200, "")},
	{"plain text with a length", 0, "HTTP/1.1 200 OK\r\n" + plainType + "Content-Length: 15\r\nX-Proof: p1\r\n\r\n" + foreignEvent},
	{"no type and a length", 0, "HTTP/1.1 200 OK\r\nContent-Length: 15\r\nX-Proof: p1\r\n\r\n" + foreignEvent},
	{"no type and no end", 0, "HTTP/1.1 200 OK\r\nX-Proof: p1\r\n\r\nid: 1\ndata: piece 1\n\n" + foreignEvent},
	{"no body", 0, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Proof: p1\r\n\r\n"},
	{"two types", 0, foreignAnswer(200, eventType+plainType)},
	{"longer type", 0, foreignAnswer(200, "Content-Type: text/event-streams\r\n")},
	{"other case", 1, foreignAnswer(200, "Content-Type: Text/Event-Stream\r\n")},
	{"other case and a parameter", 1, foreignAnswer(200, "Content-Type: TEXT/event-stream; charset=utf-8\r\n")},
	{"parameter", 1, foreignAnswer(200, "Content-Type: text/event-stream; charset=utf-8\r\n")},
	{"created stream", 0, soundAnswer(201, eventType)},
	{"created", 0, foreignAnswer(201, plainType)},
	{"stream of a proxy", 0, soundAnswer(203, eventType)},
	{"no content stream", 0, "HTTP/1.1 204 X\r\n" + eventType + "X-Proof: p1\r\n\r\n"},
	{"no content", 0, "HTTP/1.1 204 X\r\nX-Proof: p1\r\n\r\n"},
	{"reset content stream", 0, soundAnswer(205, eventType)},
	{"partial stream", 0, soundAnswer(206, eventType)},
	{"partial", 0, foreignAnswer(206, plainType)},
	{"lone CR", 1, afterEvent1("id: 2\ndata: a\rdata: foreign\n\n")},
	{"two lone CR", 1, afterEvent1("id: 2\ndata: a\r\rdata: foreign\n\n")},
	{"CR CR LF", 1, afterEvent1("id: 2\ndata: a\r\r\ndata: foreign\n\n")},
	{"CR CR LF ends the event", 1, afterEvent1("id: 2\ndata: a\r\r\n\r\n")},
	{"lone CR at the end of a chunk", 1, afterEvent1("id: 2\ndata: a\r", "data: foreign\n\n")},
	{"lone CR at the end of the read buffer", 1, afterEvent1("id: 2\ndata: "+strings.Repeat("a", 4096-len("id: 2\ndata: ")-1)+"\r", "data: foreign\n\n")},
	{"lone CR in the field event", 1, afterEvent1("id: 2\nevent: a\rb\ndata: a\n\n")},
	{"lone CR after the id", 1, afterEvent1("id: 2\rdata: a\n\n")},
	{"NUL in data", 1, afterEvent1("id: 2\ndata: a\x00b\n\n")},
	{"BEL in data", 1, afterEvent1("id: 2\ndata: a\ab\n\n")},
	{"vertical tab in data", 1, afterEvent1("id: 2\ndata: a\vb\n\n")},
	{"form feed in data", 1, afterEvent1("id: 2\ndata: a\fb\n\n")},
	{"escape in the field event", 1, afterEvent1("id: 2\nevent: \x1b[0m\ndata: a\n\n")},
	{"byte order mark", 0, streamHead + chunkOf("\ufeff") + eventChunk(1) + streamEnd},
	{"byte order mark between events", 1, afterEvent1("\ufeffid: 2\ndata: a\n\n")},
	{"bytes above 127 in data", 1, afterEvent1("id: 2\ndata: a\xe9\xff\ndata: foreign\n\n")},
	{"overlong encoding in data", 1, afterEvent1("id: 2\ndata: \xc0\xaf\n\n")},
	{"surrogate in data", 1, afterEvent1("id: 2\ndata: \xed\xa0\x80\n\n")},
	{"half a character at the end of data", 1, afterEvent1("id: 2\ndata: \xe2\x82\ndata: \xac\n\n")},
	{"bytes above 127 in the field event", 1, afterEvent1("id: 2\nevent: \xff\ndata: a\n\n")},
	{"id with zeros before it", 1, afterEvent1("id: 002\ndata: a\n\n")},
	{"not run", 0, strings.Replace(soundAnswer(200, eventType), "X-Proof", "X-Not-Run: true\r\nX-Proof", 1)},
}

// sendBad sends an answer and reports when the host has closed the connection.
func sendBad(answer string, closed chan<- struct{}) func(req *receivedRequest) {
	return func(req *receivedRequest) {
		writeRaw("%s", answer)(req)
		_, _ = req.conn.Read(make([]byte, 1)) // returns when the host closes the connection
		closed <- struct{}{}
	}
}

func failures(gw *testGateway) (failed float64) {
	gw.server.opts.Dispatcher.Update(func(d *dispatch.Dispatcher, _ time.Time) {
		for _, f := range d.OwnFailures(time.Now()) {
			failed += f.Failed
		}
	})
	return failed
}

// Guards against foreign bytes that reach the caller by their label, status or lines, and against counting their upstream as sound.
func TestAnswersThatAreNoSoundStreamDoNotReachTheCaller(t *testing.T) {
	for _, test := range badAnswers {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			closed := make(chan struct{}, 2)
			script := sendBad(test.answer, closed)
			u, other := newUpstream(t, script), newUpstream(t, script)
			registry := metrics.NewRegistry()
			gw := newTestGatewayWith(t, document(), func(o *Options) { o.Registry = registry }, u, other)
			resp, body, complete := gw.do("POST", "/stream/x", "")
			if test.sound == 0 {
				c.Check(resp.StatusCode, qt.Equals, 502)
				c.Check(body, qt.Contains, `"code":"upstream_garbled","run_state":"may_have_run"`)
			} else {
				c.Check(resp.StatusCode, qt.Equals, 200)
				c.Check(body, qt.Equals, wholeStream()[:len("id: 1\ndata: piece 1\n\n")*test.sound])
				c.Check(complete, qt.IsFalse)
			}
			awaitClosed(c, closed)
			c.Check(len(u.requests())+len(other.requests()), qt.Equals, 1)
			gw.endRequests()
			c.Check(failures(gw) > 0.5, qt.IsTrue)
			c.Check(metrics.GetOrRegisterCounter("gateway.garbled_streams", registry).Count(), qt.Equals, int64(1))
			c.Check(metrics.GetOrRegisterCounter("gateway.connections_broken", registry).Count(), qt.Equals, int64(0))

			a, b := sharedScripts(t, script, soundStream)
			resp, body, complete = newTestGateway(t, document(), a, b).do("POST", "/resume/x", "")
			c.Check(resp.StatusCode, qt.Equals, 200)
			c.Check(complete, qt.IsTrue)
			c.Check(body, qt.Equals, wholeStream())
			awaitClosed(c, closed)
		})
	}
}

// Guards against a resumed run that answers with something else and whose bytes reach the caller, and against giving up after it.
func TestResumedStreamGoesOnAfterAnAnswerThatIsNoStream(t *testing.T) {
	cut := sequence(writeRaw("%s", streamHead+eventChunk(1)+eventChunk(2)), closeConn)
	rest := "id: 3\ndata: piece 3\n\n"
	for name, second := range map[string]string{
		"plain text":     answerHead(200, plainType) + chunkOf(rest) + streamEnd,
		"no type":        answerHead(200, "") + chunkOf(rest) + streamEnd,
		"created stream": answerHead(201, eventType) + chunkOf(rest) + streamEnd,
		"partial stream": answerHead(206, eventType) + chunkOf(rest) + streamEnd,
		"no content":     "HTTP/1.1 204 X\r\nX-Proof: p1\r\n\r\n",
		"not found":      rawResponse(404, rest),
		"failure":        rawResponse(500, rest),
		"encoded":        answerHead(200, eventType+"Content-Encoding: gzip\r\n") + chunkOf(rest) + streamEnd,
		"foreign event":  answerHead(200, eventType) + chunkOf(foreignEvent) + streamEnd,
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			next := make(chan func(req *receivedRequest), 3)
			next <- cut
			next <- writeRaw("%s", second)
			next <- soundStream
			runNext := func(req *receivedRequest) { (<-next)(req) }
			d := document()
			for i := range d.Routes {
				d.Routes[i].Attempts = 3
			}
			gw := newTestGateway(t, d, newUpstream(t, runNext), newUpstream(t, runNext), newUpstream(t, runNext))
			resp, body, complete := gw.do("POST", "/resume/x", "")
			c.Check(resp.StatusCode, qt.Equals, 200)
			c.Check(complete, qt.IsTrue)
			c.Check(body, qt.Equals, wholeStream())
		})
	}
}

// Guards against refusing sound answers on a stream route, and against changing what passes.
func TestSoundAnswersOnStreamRoutesPass(t *testing.T) {
	events := wholeStream()
	text := "id: 1\ndata: \ta\u2028b\ufeff\u00e9\u0085\x7f\n\n"
	for _, test := range []struct {
		name, method, answer string
		status               int
		body                 string
	}{
		{"chunks", "POST", streamHead + chunkOf(events) + streamEnd, 200, events},
		{"length", "POST", fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\nX-Proof: p1\r\n\r\n%s", eventType, len(events), events), 200, events},
		{"end of the connection", "POST", "HTTP/1.1 200 OK\r\n" + eventType + "X-Proof: p1\r\n\r\n" + events, 200, events},
		{"interim responses", "POST", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nContent-Type: text/plain\r\n\r\n" + streamHead + chunkOf(events) + streamEnd, 200, events},
		{"trailer", "POST", answerHead(200, eventType+"Trailer: X-Later\r\n") + chunkOf(events) + "0\r\nX-Later: foreign\r\n\r\n", 200, events},
		{"other case and a parameter", "POST", answerHead(200, "Content-Type: Text/Event-Stream; charset=UTF-8\r\n") + chunkOf(events) + streamEnd, 200, events},
		{"CR LF", "POST", streamHead + chunkOf(strings.ReplaceAll(events, "\n", "\r\n")) + streamEnd, 200, strings.ReplaceAll(events, "\n", "\r\n")},
		{"CR LF over two chunks", "POST", streamHead + chunkOf("id: 1\r\ndata: a\r") + chunkOf("\n\r\n") + streamEnd, 200, "id: 1\r\ndata: a\r\n\r\n"},
		{"characters", "POST", streamHead + chunkOf(text) + streamEnd, 200, text},
		{"character over two chunks", "POST", streamHead + chunkOf("id: 1\ndata: \xe2\x82") + chunkOf("\xac\n\n") + streamEnd, 200, "id: 1\ndata: \u20ac\n\n"},
		{"HEAD with a length", "HEAD", "HTTP/1.1 200 OK\r\n" + eventType + "Content-Length: 5\r\nX-Proof: p1\r\n\r\n", 200, ""},
		{"HEAD with chunks", "HEAD", streamHead, 200, ""},
		{"HEAD without an end", "HEAD", "HTTP/1.1 200 OK\r\n" + eventType + "X-Proof: p1\r\n\r\n", 200, ""},
		{"failure with the type of events", "POST", answerHead(404, eventType) + chunkOf(foreignEvent) + streamEnd, 404, foreignEvent},
		{"failure of its own with the type of events", "POST", answerHead(500, eventType) + chunkOf(foreignEvent) + streamEnd, 500, foreignEvent},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			gw := newTestGateway(t, document(), newUpstream(t, sequence(writeRaw("%s", test.answer), closeConn)))
			resp, body, complete := gw.do(test.method, "/stream/x", "")
			c.Assert(resp, qt.IsNotNil)
			c.Check(resp.StatusCode, qt.Equals, test.status)
			c.Check(complete, qt.IsTrue)
			c.Check(body, qt.Equals, test.body)
			c.Check(resp.Trailer, qt.HasLen, 0)
			c.Check(resp.Header.Get("X-Proof"), qt.Equals, "p1")
		})
	}
}

// Guards against a false length in the answer to HEAD where the upstream names none.
func TestAnswerToHeadHasNoLengthOfItsOwn(t *testing.T) {
	for path, answer := range map[string]string{"/stream/x": streamHead, "/read/x": answerHead(200, plainType)} {
		gw := newTestGateway(t, document(), newUpstream(t, writeRaw("%s", answer)))
		resp, _, _ := gw.do(http.MethodHead, path, "")
		gw.Check(resp.StatusCode, qt.Equals, 200)
		gw.Check(resp.Header.Values("Content-Length"), qt.HasLen, 0)
	}
}

// Guards against checking an answer as a stream where the route promises none.
func TestStreamTypeOnAnotherRouteIsPassedOnAsItCame(t *testing.T) {
	for _, path := range []string{"/read/x", "/order/x"} {
		gw := newTestGateway(t, document(), newUpstream(t, writeRaw("%s", foreignAnswer(200, eventType))))
		resp, body, complete := gw.do("POST", path, "")
		gw.Check(resp.StatusCode, qt.Equals, 200)
		gw.Check(complete, qt.IsTrue)
		gw.Check(body, qt.Equals, "id: 1\ndata: piece 1\n\n"+foreignEvent)
	}
}

// Guards against a success that says "not run" and is believed: an unsafe request would run twice.
func TestSuccessThatSaysNotRunMayHaveRun(t *testing.T) {
	answer := strings.Replace(rawResponse(200, "done"), "X-Proof", "X-Not-Run: true\r\nX-Proof", 1)
	u, other := newUpstream(t, writeRaw("%s", answer)), newUpstream(t, writeRaw("%s", answer))
	gw := newTestGateway(t, document(), u, other)
	resp, body, _ := gw.do("POST", "/order/x", "x")
	gw.Check(resp.StatusCode, qt.Equals, 502)
	gw.Check(body, qt.Contains, `"run_state":"may_have_run"`)
	gw.Check(len(u.requests())+len(other.requests()), qt.Equals, 1)
}

// Guards against reading on for long while an upstream sends a line before the data of an event that can't be sound.
func TestLinesBeforeTheDataAreShort(t *testing.T) {
	const enough = 64
	for _, begin := range []string{"id: 1", "version: 4", "version: 4\nid: 1"} {
		for _, endless := range []string{"x", "1", "\x00", "\r", " "} {
			c := qt.New(t)
			input := bytes.NewBufferString(begin + strings.Repeat(endless, 1_000))
			size := input.Len()
			events := newEventReader(bufio.NewReaderSize(onlyOneByte{input}, 16), "version", "")
			_, err := events.next(func() bool { return true })
			var garbage *garbageError
			c.Check(errors.As(err, &garbage), qt.IsTrue, qt.Commentf("%q %q: %v", begin, endless, err))
			c.Check(size-input.Len() < enough, qt.IsTrue, qt.Commentf("%q %q: read %d bytes", begin, endless, size-input.Len()))
		}
	}
}

// onlyOneByte reads one byte at a time.
type onlyOneByte struct{ r io.Reader }

func (o onlyOneByte) Read(p []byte) (int, error) { return o.r.Read(p[:1]) }
