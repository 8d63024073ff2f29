package gateway

import (
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// strictReader reads event streams as their format says, independently of eventReader: CR, LF and CR LF end lines, and an empty
// line ends an event, which counts if it has data.
type strictReader struct {
	// ids are the ids that each event named, in order.
	ids [][]string
	// open is true inside an event, present are its ids; unknown holds the names of fields that no event has.
	open    bool
	present []string
	hasData bool
	unknown []string
}

// readStrictly returns what the strictest reader sees in the bytes of a stream.
func readStrictly(stream []byte) *strictReader {
	r := &strictReader{}
	text := strings.TrimPrefix(strings.ToValidUTF8(string(stream), "\ufffd"), "\ufeff")
	text = strings.ReplaceAll(text, "\r\n", "\n")
	text = strings.ReplaceAll(text, "\r", "\n")
	lines := strings.Split(text, "\n")
	for _, line := range lines[:len(lines)-1] {
		r.readLine(line)
	}
	r.open = r.open || lines[len(lines)-1] != ""
	return r
}

func (r *strictReader) readLine(line string) {
	if line == "" {
		r.endEvent()
		return
	}
	r.open = true
	name, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch name {
	case "id":
		if !strings.Contains(value, "\x00") {
			r.present = append(r.present, value)
		}
	case "data":
		r.hasData = true
	case "event":
	default:
		r.unknown = append(r.unknown, name)
	}
}

func (r *strictReader) endEvent() {
	if r.hasData {
		r.ids = append(r.ids, r.present)
	}
	r.open, r.hasData, r.present = false, false, nil
}

// Guards against a strict reader in these tests that sees less than callers do.
func TestStrictReader(t *testing.T) {
	for _, test := range []struct {
		stream string
		want   [][]string
		open   bool
	}{
		{"id: 1\ndata: a\n\nid:2\r\ndata\r\n\r\n", [][]string{{"1"}, {"2"}}, false},
		{"id: 1\rdata: a\r\rdata: b\n\n", [][]string{{"1"}, nil}, false},
		{"id: 1\ndata: a\r\r\nid: 2\ndata: b\n\n", [][]string{{"1"}, {"2"}}, false},
		{"id: 1\n\n\nid: 2\nid: 3\ndata: b\n\n", [][]string{{"2", "3"}}, false},
		{"\ufeffid: 1\ndata: a\n\nid: \x00\ndata: b\n\n", [][]string{{"1"}, nil}, false},
		{"id: 1\ndata: a\n", nil, true},
		{"id: 1", nil, true},
	} {
		got := readStrictly([]byte(test.stream))
		qt.Check(t, slices.EqualFunc(got.ids, test.want, slices.Equal), qt.IsTrue, qt.Commentf("%q: %q", test.stream, got.ids))
		qt.Check(t, got.open, qt.Equals, test.open, qt.Commentf("%q", test.stream))
	}
}
