package logsink

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against requests that block in Write because nobody reads the log output, here a
// pipe.
func TestWriteDoesNotBlockOnStalledReader(t *testing.T) {
	c := qt.New(t)
	r, w := io.Pipe()
	defer r.Close()
	now := start
	s := New(w, func() time.Time { return now }, "")
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
	s := New(&out, func() time.Time { return now }, "")
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

// countingFormatter counts the lines that it formats.
type countingFormatter struct{ lines int }

func (f *countingFormatter) Format(e *logrus.Entry) ([]byte, error) {
	f.lines++
	return fmt.Appendf(nil, "level=%s msg=%s\n", e.Level, e.Message), nil
}

// Guards against an overloaded host that spends its CPU time on lines that are dropped, and
// against lines that are dropped uncounted.
func TestDroppedLinesAreNotFormatted(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	now := start
	s := New(&out, func() time.Time { return now }, "")
	f := &countingFormatter{}
	log := logrus.New()
	log.SetOutput(s)
	log.SetFormatter(Formatter{Formatter: f, Sink: s})
	for range 1_000 {
		log.Info("many")
		log.Error("rare")
	}
	c.Check(f.lines, qt.Equals, 1_000+linesPerSecond/2)
	now = now.Add(time.Second)
	log.Info("next")
	s.Close(time.Second)
	c.Check(strings.Count(out.String(), "msg=many"), qt.Equals, linesPerSecond/2)
	c.Check(strings.Count(out.String(), "msg=rare"), qt.Equals, 1_000)
	c.Check(out.String(), qt.Contains, fmt.Sprintf("lines=%d", 1_000-linesPerSecond/2))
	c.Check(out.String(), qt.Contains, "msg=next")
}

// Guards against a host that ends by memory because nobody reads its log output while callers
// send long paths and identifiers, which the lines contain.
func TestQueuedLinesAreBoundedInBytes(t *testing.T) {
	const maxQueuedBytes = 8 << 20
	c := qt.New(t)
	r, w := io.Pipe()
	defer r.Close()
	s := New(w, func() time.Time { return start }, "")
	long := "level=warning msg=" + strings.Repeat("x", 64<<10) + "\n"
	for range 2 * bufferLines {
		fmt.Fprint(s, long)
	}
	s.Close(10 * time.Millisecond)
	bytes, last := 0, []byte(nil)
	for line := range s.lines {
		bytes, last = bytes+len(line), line
	}
	c.Assert(bytes <= maxQueuedBytes, qt.IsTrue, qt.Commentf("%d bytes", bytes))
	c.Assert(string(last), qt.Matches, "(?s)level=warning msg=x.*\n")
}

// Guards against lines of which nobody can tell the host once the logs of several hosts are in
// one file, the sink's own report of dropped lines included.
func TestEachLineNamesItsHost(t *testing.T) {
	c := qt.New(t)
	for host, field := range map[string]string{"10.0.0.1": " host=10.0.0.1\n", "host 2": " host=\"host 2\"\n"} {
		var out bytes.Buffer
		now := start
		s := New(&out, func() time.Time { return now }, host)
		log := logrus.New()
		log.SetOutput(s)
		log.SetFormatter(Formatter{Formatter: &logrus.TextFormatter{DisableColors: true}, Sink: s})
		for range 2 * linesPerSecond {
			log.WithField("request", "r").Info("many")
		}
		now = now.Add(time.Second)
		log.Error("next")
		fmt.Fprint(s, "level=error msg=unterminated")
		s.Close(time.Second)
		lines := strings.SplitAfter(out.String(), "\n")
		c.Assert(lines[len(lines)-1], qt.Equals, "level=error msg=unterminated"+strings.TrimSuffix(field, "\n"))
		c.Assert(out.String(), qt.Contains, "Log lines were dropped.")
		for _, line := range lines[:len(lines)-1] {
			c.Assert(line, qt.Contains, field)
		}
	}
}

// Guards against a host that builds the lines of refused requests although they are dropped.
func TestDroppedLinesAreNotBuilt(t *testing.T) {
	c := qt.New(t)
	now := start
	var out bytes.Buffer
	sink := New(&out, func() time.Time { return now }, "h1")
	log := logrus.New()
	log.SetOutput(sink)
	log.SetFormatter(Formatter{Sink: sink, Formatter: &logrus.TextFormatter{DisableColors: true}})
	entry := log.WithField("part", "gateway")
	c.Assert(Drops(entry, logrus.InfoLevel), qt.IsFalse)
	for range 2 * linesPerSecond {
		entry.Info("line")
	}
	c.Assert(Drops(entry, logrus.InfoLevel), qt.IsTrue)
	c.Assert(Drops(log, logrus.InfoLevel), qt.IsTrue)
	c.Assert(Drops(entry, logrus.WarnLevel), qt.IsFalse)
	c.Assert(Drops(entry, logrus.DebugLevel), qt.IsTrue, qt.Commentf("below the level of the log"))
	now = now.Add(time.Second)
	c.Assert(Drops(entry, logrus.InfoLevel), qt.IsFalse)
	sink.Close(time.Second)
	// Those that the test asked for and those that the loop wrote are counted once each.
	c.Assert(out.String(), qt.Contains, fmt.Sprintf("lines=%d", linesPerSecond+2))
}

// Guards against lines about requests of other hosts that take the place of lines about a host's
// own requests.
func TestSecondaryLinesUseHalfOfASecond(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	now := start
	sink := New(&out, func() time.Time { return now }, "h1")
	log := logrus.New()
	log.SetOutput(sink)
	log.SetFormatter(Formatter{Sink: sink, Formatter: &logrus.TextFormatter{DisableColors: true}})
	for range 2 * linesPerSecond {
		if !DropsSecondary(log, logrus.InfoLevel) {
			log.Info("secondary")
		}
	}
	for range linesPerSecond / 4 {
		log.Info("own")
	}
	now = now.Add(time.Second)
	c.Check(DropsSecondary(log, logrus.InfoLevel), qt.IsFalse)
	sink.Close(time.Second)
	c.Check(strings.Count(out.String(), "msg=secondary"), qt.Equals, linesPerSecond/2)
	c.Check(strings.Count(out.String(), "msg=own"), qt.Equals, linesPerSecond/4)
	c.Check(out.String(), qt.Contains, fmt.Sprintf("lines=%d", linesPerSecond+linesPerSecond/2))
}
