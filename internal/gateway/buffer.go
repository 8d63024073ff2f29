package gateway

import "io"

const (
	// maxBuffered is the size up to which a response is read whole before it is relayed, so
	// that a truncated one can still be retried or turned into an error.
	maxBuffered = 1 << 20
	// freeBufferedBytes is what each response may hold without a part of MaxBufferedBytes; above
	// it, a response holds maxBuffered of them.
	freeBufferedBytes = 64 << 10
)

// bufferBody reads the beginning of a body; whole is true if that is all of it. A body of more
// than freeBufferedBytes is read up to maxBuffered only if there is room.
func bufferBody(r io.Reader, room *reservation) (body []byte, whole bool, err error) {
	body, err = io.ReadAll(io.LimitReader(r, freeBufferedBytes+1))
	if err != nil || len(body) <= freeBufferedBytes || !room.growTo(maxBuffered) {
		return body, len(body) <= freeBufferedBytes, err
	}
	rest, err := io.ReadAll(io.LimitReader(r, int64(maxBuffered+1-len(body))))
	body = append(body, rest...)
	return body, len(body) <= maxBuffered, err
}
