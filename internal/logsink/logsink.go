// Package logsink writes log lines without ever blocking the code that logs them.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits of the log volume.
const (
	// bufferLines is the number of lines that can be queued for a slow reader.
	bufferLines = 4_096
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

	mu            sync.Mutex
	currentSecond int64 // Unix time that linesInSecond counts
	linesInSecond int
	dropped       int
	closed        bool
}

// New returns a Sink that writes to out from a goroutine of its own.
func New(out io.Writer, now func() time.Time) *Sink {
	s := &Sink{out: out, now: now, lines: make(chan []byte, bufferLines), done: make(chan struct{})}
	go s.writeQueued()
	return s
}

// isImportant reports whether p is a warning, an error or a fatal error. These lines are kept
// beyond linesPerSecond.
func isImportant(p []byte) bool {
	return bytes.Contains(p, []byte("level=warning")) || bytes.Contains(p, []byte("level=error")) || bytes.Contains(p, []byte("level=fatal"))
}

// Write queues one line, or drops and counts it. It never blocks and never fails.
func (s *Sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if sec := now.Unix(); sec != s.currentSecond {
		s.currentSecond, s.linesInSecond = sec, 0
		s.reportDropped(now)
	}
	s.linesInSecond++
	full := len(s.lines) >= bufferLines-reservedLines
	if s.closed || !isImportant(p) && (s.linesInSecond > linesPerSecond || full) {
		s.dropped++
		return len(p), nil
	}
	s.enqueue(bytes.Clone(p))
	return len(p), nil
}

// reportDropped logs how many lines were dropped since its last report. Write calls it at
// most once a second.
func (s *Sink) reportDropped(now time.Time) {
	if s.dropped == 0 || s.closed {
		return
	}
	line := fmt.Sprintf("time=%q level=warning msg=\"Log lines were dropped.\" part=log lines=%d\n", now.Format(time.RFC3339), s.dropped)
	s.dropped = 0
	s.enqueue([]byte(line))
}

func (s *Sink) enqueue(line []byte) {
	select {
	case s.lines <- line:
	default:
		s.dropped++
	}
}

func (s *Sink) writeQueued() {
	defer close(s.done)
	for line := range s.lines {
		// There is no other place to report that the log output fails.
		_, _ = s.out.Write(line)
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
