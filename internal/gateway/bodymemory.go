package gateway

import (
	"errors"
	"io"
)

// uncountedBodyBytes is the part of each body that does not count, so that large bodies don't
// keep out small ones. The limit of concurrent requests bounds it.
const uncountedBodyBytes = 20 << 10

// errBodyMemory means that there is no memory for a body now.
var errBodyMemory = errors.New("no memory for the body")

// readAll reads a body of the given length, -1 if unknown. It reserves the memory that counts;
// the caller releases it once the body is no longer needed. It returns errBodyMemory if there
// is no memory for the body.
func readAll(r io.Reader, length int64, memory *reservation) ([]byte, error) {
	body := make([]byte, 0, uncountedBodyBytes)
	if length >= 0 && length < uncountedBodyBytes {
		body = make([]byte, 0, length)
	}
	for {
		if int64(len(body)) == length {
			return body, nil
		}
		if len(body) == cap(body) {
			size := length
			if length < 0 {
				size = 2 * int64(cap(body))
			}
			if !memory.growTo(size) {
				return nil, errBodyMemory
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
