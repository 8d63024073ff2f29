package engine

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

func chunkedAnswer(status int, fields string, chunks ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\n%sTransfer-Encoding: chunked\r\n\r\n", status, fields)
	for _, c := range chunks {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(c), c)
	}
	return text + "0\r\n\r\n"
}

// Guards against foreign bytes that reach the caller of a stream by their label, status or lines.
func TestStreamRequestTakesOnlySoundEventStreams(t *testing.T) {
	const (
		eventType = "Content-Type: text/event-stream\r\n"
		first     = "data: {}\n\n"
		done      = "data: [DONE]\n\n"
	)
	for _, test := range []struct {
		name, answer string
		outcome      wire.Outcome
		code         fault.Code
		passed       string
	}{
		{"sound", chunkedAnswer(200, eventType, first, done), wire.OutcomeDone, "", first + done},
		{"other case and a parameter", chunkedAnswer(200, "Content-Type: Text/Event-Stream; charset=utf-8\r\n", first, done), wire.OutcomeDone, "", first + done},
		{"CR LF", chunkedAnswer(200, eventType, "data: {}\r\n\r\n", "data: [DONE]\r\n\r\n"), wire.OutcomeDone, "", strings.ReplaceAll(first+done, "\n", "\r\n")},
		{"plain text", chunkedAnswer(200, "Content-Type: text/plain\r\n", first, done), wire.OutcomeBroken, fault.UpstreamGarbled, ""},
		{"no type", chunkedAnswer(200, "", first, done), wire.OutcomeBroken, fault.UpstreamGarbled, ""},
		{"JSON", okJSON, wire.OutcomeBroken, fault.UpstreamGarbled, ""},
		{"longer type", chunkedAnswer(200, "Content-Type: text/event-streams\r\n", first, done), wire.OutcomeBroken, fault.UpstreamGarbled, ""},
		{"created", chunkedAnswer(201, eventType, first, done), wire.OutcomeBroken, fault.UpstreamGarbled, ""},
		{"no content", "HTTP/1.1 204 X\r\n" + eventType + "\r\n", wire.OutcomeBroken, fault.UpstreamGarbled, ""},
		{"partial", chunkedAnswer(206, eventType, first, done), wire.OutcomeBroken, fault.UpstreamGarbled, ""},
		{"caller's fault", "HTTP/1.1 422 No\r\n" + eventType + "Content-Length: 2\r\n\r\nno", wire.OutcomeDone, "", "no"},
		{"failure", "HTTP/1.1 500 No\r\n" + eventType + "Content-Length: 2\r\n\r\nno", wire.OutcomeFailed, fault.UpstreamFailed, ""},
		{"two lone CR", chunkedAnswer(200, eventType, first, "data: a\r\rdata: foreign\n\n", done), wire.OutcomeBroken, fault.StreamCut, first},
		{"CR CR LF", chunkedAnswer(200, eventType, first, "data: a\r\r\n\n", done), wire.OutcomeBroken, fault.StreamCut, first},
		{"NUL", chunkedAnswer(200, eventType, first, "data: a\x00\n\n", done), wire.OutcomeBroken, fault.StreamCut, first},
		{"bytes above 127", chunkedAnswer(200, eventType, first, "data: \xe9\xff\n\n", done), wire.OutcomeBroken, fault.StreamCut, first},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			cl := New(Options{})
			defer cl.Close()
			var s recordingSink
			res := cl.Do(t.Context(), chatRequest(startScripted(t, test.answer).address, true), &s)
			c.Check(res.Outcome, qt.Equals, test.outcome, qt.Commentf("%v", res.Err))
			c.Check(fault.CodeOf(errorOf(res)), qt.Equals, test.code)
			c.Check(s.body.String(), qt.Equals, test.passed)
			if res.Outcome == wire.OutcomeBroken {
				c.Check(res.Err.RunState, qt.Equals, fault.MayHaveRun)
			}
		})
	}
}

// errorOf avoids an error that holds a nil pointer.
func errorOf(res Result) error {
	if res.Err == nil {
		return nil
	}
	return res.Err
}
