package router

import (
	"marigoldshunt/internal/frontend"
)

// sink passes an upstream's answer to the caller. The answer to a non-idempotent request
// is buffered until it has been recorded.
type sink struct {
	answer    frontend.ResponseWriter
	buffering bool

	began       bool
	status      int
	contentType string
	header      [][2]string
	body        []byte
}

func newSink(w frontend.ResponseWriter, buffering bool) *sink {
	return &sink{answer: w, buffering: buffering}
}

// Begin implements engine.Sink. A resumed stream calls it again, which has no effect.
func (s *sink) Begin(status int, contentType string, header [][2]string) error {
	if s.began {
		return nil
	}
	s.began, s.status, s.contentType, s.header = true, status, contentType, header
	if s.buffering {
		return nil
	}
	return s.answer.Begin(status, contentType, header)
}

// Write implements engine.Sink.
func (s *sink) Write(p []byte) error {
	if s.buffering {
		s.body = append(s.body, p...)
		return nil
	}
	return s.answer.Write(p)
}

// flush passes a buffered answer to the caller.
func (s *sink) flush() error {
	if !s.buffering || !s.began {
		return nil
	}
	s.buffering = false
	if err := s.answer.Begin(s.status, s.contentType, s.header); err != nil {
		return err
	}
	return s.answer.Write(s.body)
}
