// Package logsink writes log lines without ever holding up the code that logs them.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds of the volume of logs.
const (
	// bufferLines is the number of lines that may wait for a slow reader.
	bufferLines = 4_096
	// linesPerSecond is the budget of lines below the level of a warning. It leaves room
	// for a few hundred failed requests a second and for every change of state.
	linesPerSecond = 400
	// writeShare of the buffer is left for warnings when it fills up.
	reserved = bufferLines / 4
)

// Sink is an io.Writer for a logger. Each Write is one line.
type Sink struct {
	out   io.Writer
	now   func() time.Time
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	second  int64
	count   int
	dropped int
	closed  bool
}

// New returns a Sink that writes to out from a goroutine of its own.
func New(out io.Writer, now func() time.Time) *Sink {
	s := &Sink{out: out, now: now, lines: make(chan []byte, bufferLines), done: make(chan struct{})}
	go s.run()
	return s
}

// important lines are passed on beyond the budget.
func important(p []byte) bool {
	return bytes.Contains(p, []byte("level=warning")) || bytes.Contains(p, []byte("level=error")) || bytes.Contains(p, []byte("level=fatal"))
}

// Write takes one line, or drops and counts it. It never blocks and never fails.
func (s *Sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if sec := now.Unix(); sec != s.second {
		s.second, s.count = sec, 0
		s.tellDropped(now)
	}
	s.count++
	full := len(s.lines) >= bufferLines-reserved
	if s.closed || !important(p) && (s.count > linesPerSecond || full) {
		s.dropped++
		return len(p), nil
	}
	s.offer(bytes.Clone(p))
	return len(p), nil
}

// tellDropped says once a second how many lines were left out.
func (s *Sink) tellDropped(now time.Time) {
	if s.dropped == 0 || s.closed {
		return
	}
	line := fmt.Sprintf("time=%q level=warning msg=\"Log lines were left out.\" part=log lines=%d\n", now.Format(time.RFC3339), s.dropped)
	s.dropped = 0
	s.offer([]byte(line))
}

func (s *Sink) offer(line []byte) {
	select {
	case s.lines <- line:
	default:
		s.dropped++
	}
}

func (s *Sink) run() {
	defer close(s.done)
	for line := range s.lines {
		// An output that fails has no other place where that could be told.
		_, _ = s.out.Write(line)
	}
}

// Close writes what waits, for at most d.
func (s *Sink) Close(d time.Duration) {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(d):
	}
}
