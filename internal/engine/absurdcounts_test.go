package engine

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against counts that no upstream can have, which would charge an account for ever or overflow where they are added up.
func TestAbsurdCountsAreIgnored(t *testing.T) {
	const absurd = "9223372036854775807"
	for _, test := range []struct {
		prompt, completion string
		want               bool
	}{{"16", "7", true}, {"0", "0", true}, {absurd, "7", false}, {"16", absurd, false}, {"100000000", "7", false}, {"-1", "7", false}} {
		_, ok := parseUsage(fmt.Appendf(nil, `{"usage":{"prompt_tokens":%s,"completion_tokens":%s}}`, test.prompt, test.completion))
		qt.Check(t, ok, qt.Equals, test.want, qt.Commentf("%+v", test))
	}
	for _, test := range []struct {
		running, queued string
		want            int
	}{{"3", "4", 3}, {absurd, "4", -1}, {"3", absurd, -1}, {"100000000", "4", -1}, {"-1", "4", -1}} {
		body := fmt.Sprintf(`{"instance":"i","running":%s,"queued":%s}`, test.running, test.queued)
		u := startScripted(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		cl := New(Options{})
		l, err := cl.FetchLoad(t.Context(), u.address)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, l.Running, qt.Equals, test.want, qt.Commentf("%+v", test))
		cl.Close()
	}
	for length, want := range map[string]int{"3": 3, absurd: -1, "100000000": -1} {
		u := startScripted(t, "HTTP/1.1 200 OK\r\nX-Queue-Length: "+length+"\r\nContent-Length: 0\r\n\r\n")
		cl := New(Options{})
		qt.Check(t, cl.Do(t.Context(), chatRequest(u.address, false), &recordingSink{}).Queued, qt.Equals, want, qt.Commentf(length))
		cl.Close()
	}
}
