package logsink

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against requests that block in Write because nobody reads the log output, here a
// pipe.
func TestWriteDoesNotBlockOnStalledReader(t *testing.T) {
	c := qt.New(t)
	r, w := io.Pipe()
	defer r.Close()
	now := start
	s := New(w, func() time.Time { return now })
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 200_000 {
			if i%1_000 == 0 {
				now = now.Add(time.Second)
			}
			fmt.Fprintf(s, "level=info msg=line n=%d\n", i)
			fmt.Fprintf(s, "level=warning msg=line n=%d\n", i)
		}
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		c.Fatal("Write blocks while nobody reads")
	}
	s.Close(10 * time.Millisecond)
}

// Guards against an unbounded log volume, and against lines that are dropped uncounted.
func TestLineBudgetAndDropCount(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	now := start
	s := New(&out, func() time.Time { return now })
	for range 1_000 {
		fmt.Fprintln(s, "level=info msg=many")
	}
	fmt.Fprintln(s, "level=error msg=rare")
	now = now.Add(time.Second)
	fmt.Fprintln(s, "level=info msg=next")
	s.Close(time.Second)
	c.Assert(strings.Count(out.String(), "msg=many"), qt.Equals, linesPerSecond)
	c.Assert(strings.Count(out.String(), "msg=rare"), qt.Equals, 1)
	c.Assert(out.String(), qt.Contains, fmt.Sprintf("lines=%d", 1_000-linesPerSecond))
	c.Assert(out.String(), qt.Contains, "msg=next")
}
