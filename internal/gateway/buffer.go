package gateway

import (
	"io"
	"sync"
)

const (
	// maxBuffered is the size up to which a response is read whole before it is relayed, so
	// that a truncated one can still be retried or turned into an error.
	maxBuffered = 1 << 20
	// freeBufferedBytes is what each response may hold without a part of MaxBufferedBytes.
	freeBufferedBytes = 64 << 10
)

// bufferBody reads the beginning of a body; whole is true if that is all of it. A body of more
// than freeBufferedBytes is read up to maxBuffered only while MaxBufferedBytes allows it.
// release gives that part of MaxBufferedBytes back and may be called more than once.
func (s *Server) bufferBody(r io.Reader) (body []byte, whole bool, release func(), err error) {
	release = func() {}
	body, err = io.ReadAll(io.LimitReader(r, freeBufferedBytes+1))
	if err != nil || len(body) <= freeBufferedBytes || !s.reserveBuffer() {
		return body, len(body) <= freeBufferedBytes, release, err
	}
	release = sync.OnceFunc(func() { s.buffered.Add(-maxBuffered) })
	rest, err := io.ReadAll(io.LimitReader(r, int64(maxBuffered+1-len(body))))
	body = append(body, rest...)
	return body, len(body) <= maxBuffered, release, err
}

// reserveBuffer reserves maxBuffered bytes of MaxBufferedBytes.
func (s *Server) reserveBuffer() bool {
	if s.buffered.Add(maxBuffered) <= s.opts.MaxBufferedBytes || s.opts.MaxBufferedBytes == 0 {
		return true
	}
	s.buffered.Add(-maxBuffered)
	return false
}
