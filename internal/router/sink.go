package router

import (
	"marigoldshunt/internal/frontend"
)

// sink passes an upstream's answer to the caller. An answer of a non-idempotent
// request is held back until its end has been recorded.
type sink struct {
	answer frontend.Answer
	hold   bool

	began       bool
	status      int
	contentType string
	header      [][2]string
	held        []byte
}

func newSink(a frontend.Answer, hold bool) *sink {
	return &sink{answer: a, hold: hold}
}

// Begin implements engine.Sink. A resumed stream has begun already.
func (s *sink) Begin(status int, contentType string, header [][2]string) error {
	if s.began {
		return nil
	}
	s.began, s.status, s.contentType, s.header = true, status, contentType, header
	if s.hold {
		return nil
	}
	return s.answer.Begin(status, contentType, header)
}

// Write implements engine.Sink.
func (s *sink) Write(p []byte) error {
	if s.hold {
		s.held = append(s.held, p...)
		return nil
	}
	return s.answer.Write(p)
}

// finish passes a held answer on.
func (s *sink) finish() error {
	if !s.hold || !s.began {
		return nil
	}
	s.hold = false
	if err := s.answer.Begin(s.status, s.contentType, s.header); err != nil {
		return err
	}
	return s.answer.Write(s.held)
}
