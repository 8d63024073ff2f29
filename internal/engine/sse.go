package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

var (
	doneMark  = []byte("[DONE]")
	dataField = []byte("data:")
	errEvent  = errors.New("event exceeds the size limit")
)

// eventReader splits a stream into server-sent events.
type eventReader struct {
	br    *bufio.Reader
	limit int
	buf   []byte
}

// next returns the bytes of one event with its final blank line, and its data. An end
// of the stream inside an event is io.ErrUnexpectedEOF. Both slices are valid until the
// next call.
func (r *eventReader) next() (event, data []byte, err error) {
	r.buf = r.buf[:0]
	start := -1
	end := -1
	for {
		mark := len(r.buf)
		for {
			part, err := r.br.ReadSlice('\n')
			r.buf = append(r.buf, part...)
			if len(r.buf) > r.limit {
				return nil, nil, errEvent
			}
			if err == nil {
				break
			}
			if errors.Is(err, bufio.ErrBufferFull) {
				continue
			}
			if errors.Is(err, io.EOF) && len(r.buf) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, nil, err
		}
		line := bytes.TrimRight(r.buf[mark:], "\r\n")
		if len(line) == 0 {
			if mark == 0 {
				// Blank lines before an event carry nothing.
				r.buf = r.buf[:0]
				continue
			}
			if start >= 0 {
				data = bytes.TrimSpace(r.buf[start:end])
			}
			return r.buf, data, nil
		}
		if bytes.HasPrefix(line, dataField) && start < 0 {
			start, end = mark+len(dataField), mark+len(line)
		}
	}
}
