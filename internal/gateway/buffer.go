package gateway

import "io"

const (
	// maxBuffered is the size up to which a response is read whole before it is relayed, so
	// that a truncated one can still be retried or turned into an error.
	maxBuffered = 1 << 20
	// freeBufferedBytes is what each response may hold without a part of MaxBufferedBytes.
	freeBufferedBytes = 64 << 10
)

// bufferBody reads the beginning of a body; whole is true if that is all of it. A body of more
// than freeBufferedBytes is read up to maxBuffered only if there is room.
func bufferBody(r io.Reader, room *room) (body []byte, whole bool, err error) {
	body, err = io.ReadAll(io.LimitReader(r, freeBufferedBytes+1))
	if err != nil || len(body) <= freeBufferedBytes || !room.reserve() {
		return body, len(body) <= freeBufferedBytes, err
	}
	rest, err := io.ReadAll(io.LimitReader(r, int64(maxBuffered+1-len(body))))
	body = append(body, rest...)
	return body, len(body) <= maxBuffered, err
}

// room is what one response holds of MaxBufferedBytes: maxBuffered or nothing.
type room struct {
	server *Server
	held   bool
}

func (s *Server) newRoom() *room { return &room{server: s} }

// reserve returns false if MaxBufferedBytes is in use.
func (r *room) reserve() bool {
	if r.held {
		return true
	}
	limit := r.server.opts.MaxBufferedBytes
	r.held = r.server.buffered.Add(maxBuffered) <= limit || limit == 0
	if !r.held {
		r.server.buffered.Add(-maxBuffered)
	}
	return r.held
}

// release may be called more than once.
func (r *room) release() {
	if r.held {
		r.server.buffered.Add(-maxBuffered)
		r.held = false
	}
}
