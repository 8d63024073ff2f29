// Package logsink writes log lines without ever blocking the code that logs them.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Limits of the log volume.
const (
	// bufferLines is the number of lines that can be queued for a slow reader.
	bufferLines = 4_096
	// bufferBytes bounds the queued lines in bytes, because they contain what callers send.
	bufferBytes = 4 << 20
	// linesPerSecond is the number of lines of all levels in a second after which lines below
	// warning level are dropped. It leaves room for a few hundred failed requests a second and
	// for every change of state.
	linesPerSecond = 400
	// reservedLines is the part of the buffer that only warnings and errors may use.
	reservedLines = bufferLines / 4
)

// Sink is an io.Writer for a logger. Each Write is one line.
type Sink struct {
	out   io.Writer
	now   func() time.Time
	lines chan []byte
	done  chan struct{}
	// hostField is the last field of each line; empty if the host has no name.
	hostField string
	// queuedBytes is the size of the queued lines.
	queuedBytes atomic.Int64

	mu            sync.Mutex
	currentSecond int64 // Unix time that linesInSecond counts
	linesInSecond int
	dropped       int
	closed        bool
}

// New returns a Sink that writes to out from a goroutine of its own. It adds the name of the
// host to each line, because the logs of several hosts may be collected in one file.
func New(out io.Writer, now func() time.Time, host string) *Sink {
	s := &Sink{out: out, now: now, lines: make(chan []byte, bufferLines), done: make(chan struct{}), hostField: hostField(host)}
	go s.writeQueued()
	return s
}

func hostField(host string) string {
	switch {
	case host == "":
		return ""
	case strings.ContainsAny(host, " \t\n\"="):
		return fmt.Sprintf(" host=%q", host)
	}
	return " host=" + host
}

// withHost returns a copy of a line with the field of the host.
func (s *Sink) withHost(p []byte) []byte {
	text := bytes.TrimSuffix(p, []byte("\n"))
	line := append(make([]byte, 0, len(p)+len(s.hostField)), text...)
	line = append(line, s.hostField...)
	return append(line, p[len(text):]...)
}

// isImportant reports whether p is a warning, an error or a fatal error. These lines are kept
// beyond linesPerSecond.
func isImportant(p []byte) bool {
	return bytes.Contains(p, []byte("level=warning")) || bytes.Contains(p, []byte("level=error")) || bytes.Contains(p, []byte("level=fatal"))
}

// Write queues one line, or drops and counts it. It never blocks and never fails.
func (s *Sink) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil // a line that Formatter dropped
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startSecond()
	s.linesInSecond++
	if s.closed || !isImportant(p) && s.overBudget() {
		s.dropped++
		return len(p), nil
	}
	s.enqueue(s.withHost(p))
	return len(p), nil
}

// startSecond begins to count the lines of the present second, if it is a new one.
func (s *Sink) startSecond() {
	now := s.now()
	if sec := now.Unix(); sec != s.currentSecond {
		s.currentSecond, s.linesInSecond = sec, 0
		s.reportDropped(now)
	}
}

// overBudget reports whether the next line is dropped unless it is important.
func (s *Sink) overBudget() bool {
	return s.linesInSecond > linesPerSecond || len(s.lines) >= bufferLines-reservedLines
}

// drops reports whether the next line of a level exceeds a limit of lines in this second or Write
// would drop it, and then counts it.
func (s *Sink) drops(level logrus.Level, limit int) bool {
	if level <= logrus.WarnLevel {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startSecond()
	if s.linesInSecond < limit && !s.overBudget() {
		return false
	}
	s.dropped++
	if limit == linesPerSecond {
		s.linesInSecond++ // secondary lines that are dropped leave their place to others
	}
	return true
}

// Drops reports whether a line of a level would be dropped, by its level or by a Sink, so that
// the caller need not build it. A line that a Sink drops is then counted.
func Drops(log logrus.FieldLogger, level logrus.Level) bool { return drops(log, level, linesPerSecond) }

// DropsSecondary is Drops for lines that add to a line of another host. They may only use the
// first half of what a second may have, so that they never take the place of a host's own lines.
func DropsSecondary(log logrus.FieldLogger, level logrus.Level) bool {
	return drops(log, level, linesPerSecond/2)
}

func drops(log logrus.FieldLogger, level logrus.Level, limit int) bool {
	var logger *logrus.Logger
	switch l := log.(type) {
	case *logrus.Entry:
		logger = l.Logger
	case *logrus.Logger:
		logger = l
	default:
		return false
	}
	if !logger.IsLevelEnabled(level) {
		return true
	}
	f, ok := logger.Formatter.(Formatter)
	return ok && f.Sink.drops(level, limit)
}

// Formatter formats the lines that Sink will keep. A host that refuses a thousand requests a
// second would spend more time on formatting lines that are dropped than on its refusals.
type Formatter struct {
	logrus.Formatter
	Sink *Sink
}

// Format implements logrus.Formatter. It returns no bytes for a line that is dropped.
func (f Formatter) Format(e *logrus.Entry) ([]byte, error) {
	if f.Sink.drops(e.Level, linesPerSecond) {
		return nil, nil
	}
	return f.Formatter.Format(e)
}

// reportDropped logs how many lines were dropped since its last report. Write calls it at
// most once a second.
func (s *Sink) reportDropped(now time.Time) {
	if s.dropped == 0 || s.closed {
		return
	}
	line := fmt.Sprintf("time=%q level=warning msg=\"Log lines were dropped.\" part=log lines=%d\n", now.Format(time.RFC3339), s.dropped)
	s.dropped = 0
	s.enqueue(s.withHost([]byte(line)))
}

func (s *Sink) enqueue(line []byte) {
	if s.queuedBytes.Load()+int64(len(line)) > bufferBytes {
		s.dropped++
		return
	}
	s.queuedBytes.Add(int64(len(line)))
	select {
	case s.lines <- line:
	default:
		s.queuedBytes.Add(-int64(len(line)))
		s.dropped++
	}
}

func (s *Sink) writeQueued() {
	defer close(s.done)
	for line := range s.lines {
		// There is no other place to report that the log output fails.
		_, _ = s.out.Write(line)
		s.queuedBytes.Add(-int64(len(line)))
	}
}

// Close writes the queued lines, for at most timeout.
func (s *Sink) Close(timeout time.Duration) {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}
