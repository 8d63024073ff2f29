package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"marigoldshunt/internal/eventstream"
)

var (
	doneData         = []byte("[DONE]")
	dataField        = []byte("data:")
	errEventTooLarge = errors.New("event exceeds the size limit")
)

// eventReader splits a stream into server-sent events.
type eventReader struct {
	br    *bufio.Reader
	limit int
	buf   []byte
}

// next returns the bytes of one event with its final blank line, and the event's first data
// field. If the stream ends inside an event, the error is io.ErrUnexpectedEOF; a line that readers may
// split otherwise is an error too. Both slices
// are valid until the next call.
func (r *eventReader) next() (event, data []byte, err error) {
	r.buf = r.buf[:0]
	dataStart := -1
	dataEnd := -1
	for {
		lineStart := len(r.buf)
		for {
			part, err := r.br.ReadSlice('\n')
			r.buf = append(r.buf, part...)
			if len(r.buf) > r.limit {
				return nil, nil, errEventTooLarge
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
		line := eventstream.TrimLineEnd(r.buf[lineStart:])
		if err := eventstream.CheckLine(line); err != nil {
			return nil, nil, err
		}
		if len(line) == 0 {
			if lineStart == 0 {
				// Blank lines before an event are skipped.
				r.buf = r.buf[:0]
				continue
			}
			if dataStart >= 0 {
				data = bytes.TrimSpace(r.buf[dataStart:dataEnd])
			}
			return r.buf, data, nil
		}
		if bytes.HasPrefix(line, dataField) && dataStart < 0 {
			dataStart, dataEnd = lineStart+len(dataField), lineStart+len(line)
		}
	}
}
