package eventstream

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a stream that is not checked because of how its type is written, and against taking other types for one.
func TestHasMediaType(t *testing.T) {
	for _, test := range []struct {
		values []string
		want   bool
	}{
		{[]string{"text/event-stream"}, true},
		{[]string{"Text/Event-Stream"}, true},
		{[]string{" text/event-stream ; charset=UTF-8"}, true},
		{[]string{"text/event-stream; charset"}, true},
		{nil, false},
		{[]string{""}, false},
		{[]string{"text/plain"}, false},
		{[]string{"text/event-streams"}, false},
		{[]string{"text/event-stream+json"}, false},
		{[]string{"text/event-stream, text/plain"}, false},
		{[]string{"application/json; as=text/event-stream"}, false},
		{[]string{"text/event-stream", "text/event-stream"}, false},
	} {
		qt.Check(t, HasMediaType(test.values), qt.Equals, test.want, qt.Commentf("%q", test.values))
	}
}

// Guards against control characters that pass, and against refusing text.
func TestIsText(t *testing.T) {
	for b := range 256 {
		want := b >= ' ' || b == '\t'
		qt.Check(t, IsText([]byte{'a', byte(b), 'b'}), qt.Equals, want, qt.Commentf("%#x", b))
	}
	qt.Check(t, IsText(nil), qt.IsTrue)
}
