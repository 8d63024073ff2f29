package gateway

import (
	"bytes"
	"net/http"
	"strconv"

	"marigoldshunt/internal/fault"
)

// responseFraming follows the body of an HTTP/1.1 response and finds its end, without decoding it.
// A body whose end only the end of its connection tells is not accepted, because it could not be
// told from one that broke off.
type responseFraming struct {
	// closes is true if the sender closes the connection after the response.
	closes  bool
	chunked bool
	// left counts the bytes until the end of the body or of the present chunk.
	left  int64
	state chunkState
	// digits counts the digits of the size of the present chunk, lineBytes the bytes of the
	// present line of the trailer.
	digits, lineBytes int
}

// chunkState is the position in a chunked body.
type chunkState int

const (
	inChunkSize chunkState = iota
	inChunkExtension
	inChunkData
	afterChunkData
	inTrailer
	atEnd
)

// maxChunkDigits bounds the size of a chunk to 2^60 bytes.
const maxChunkDigits = 15

func malformedResponse(reason string) error {
	return fault.New(fault.FrameInvalid, fault.MayHaveRun, "malformed response of another host: %s", reason)
}

// parseResponseHead parses the head of a response at the beginning of p. headBytes is 0 if the head
// is not complete.
func parseResponseHead(p []byte) (f responseFraming, headBytes int, err error) {
	end := bytes.Index(p, []byte("\r\n\r\n"))
	if end < 0 {
		return f, 0, nil
	}
	statusLine, fields, _ := bytes.Cut(p[:end+len(crlf)], crlf)
	status, err := parseStatus(statusLine)
	if err != nil {
		return f, 0, err
	}
	f.left = -1
	for len(fields) > 0 {
		var line []byte
		line, fields, _ = bytes.Cut(fields, crlf)
		if err := f.parseField(line); err != nil {
			return f, 0, err
		}
	}
	switch {
	case status == http.StatusNoContent || status == http.StatusNotModified:
		f.chunked, f.left = false, 0
	case f.chunked && f.left >= 0:
		return f, 0, malformedResponse("it has a length and chunks")
	case !f.chunked && f.left < 0:
		return f, 0, malformedResponse("it has no length")
	}
	f.left = max(f.left, 0)
	return f, end + 2*len(crlf), nil
}

// parseStatus returns the status of a final response.
func parseStatus(line []byte) (int, error) {
	rest, found := bytes.CutPrefix(line, []byte("HTTP/1.1 "))
	if !found || len(rest) < 3 {
		return 0, malformedResponse("no status line")
	}
	status, err := strconv.Atoi(string(rest[:3]))
	if err != nil || status < http.StatusOK {
		return 0, malformedResponse("not a final status")
	}
	return status, nil
}

func (f *responseFraming) parseField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found {
		return malformedResponse("a header line has no colon")
	}
	value = bytes.Trim(value, " \t")
	switch {
	case isField(name, "Content-Length"):
		n, err := strconv.ParseInt(string(value), 10, 63)
		if err != nil || n < 0 || f.left >= 0 {
			return malformedResponse("invalid length")
		}
		f.left = n
	case isField(name, "Transfer-Encoding"):
		if !isField(value, "chunked") {
			return malformedResponse("unknown transfer encoding")
		}
		f.chunked = true
	case isField(name, "Connection"):
		f.closes = f.closes || isField(value, "close")
	}
	return nil
}

// consume follows the body through p and returns how many bytes of p belong to it.
func (f *responseFraming) consume(p []byte) (n int, err error) {
	if !f.chunked {
		n = int(min(f.left, int64(len(p))))
		f.left -= int64(n)
		return n, nil
	}
	for n < len(p) && f.state != atEnd {
		if f.state == inChunkData {
			part := min(f.left, int64(len(p)-n))
			n += int(part)
			if f.left -= part; f.left == 0 {
				f.state = afterChunkData
			}
			continue
		}
		if err := f.next(p[n]); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}

// ended reports whether the end of the body was consumed.
func (f *responseFraming) ended() bool {
	if f.chunked {
		return f.state == atEnd
	}
	return f.left == 0
}

// next follows one byte of a chunked body outside the data of its chunks.
func (f *responseFraming) next(b byte) error {
	switch f.state {
	case inChunkSize:
		return f.nextOfSize(b)
	case inChunkExtension:
		if b == '\n' {
			return f.beginChunk()
		}
	case afterChunkData:
		switch b {
		case '\r':
		case '\n':
			f.state, f.digits = inChunkSize, 0
		default:
			return malformedResponse("a chunk is longer than its size")
		}
	case inTrailer:
		f.nextOfTrailer(b)
	}
	return nil
}

func (f *responseFraming) nextOfSize(b byte) error {
	digit, ok := hexDigit(b)
	switch {
	case ok && f.digits < maxChunkDigits:
		f.left, f.digits = f.left<<4|digit, f.digits+1
		return nil
	case f.digits == 0 || ok:
		return malformedResponse("invalid size of a chunk")
	case b == '\n':
		return f.beginChunk()
	case b == '\r' || b == ';' || b == ' ':
		f.state = inChunkExtension
		return nil
	}
	return malformedResponse("invalid size of a chunk")
}

func (f *responseFraming) beginChunk() error {
	f.state = inChunkData
	if f.left == 0 {
		f.state, f.lineBytes = inTrailer, 0
	}
	return nil
}

func (f *responseFraming) nextOfTrailer(b byte) {
	switch {
	case b == '\n' && f.lineBytes == 0:
		f.state = atEnd
	case b == '\n':
		f.lineBytes = 0
	case b != '\r':
		f.lineBytes++
	}
}

func hexDigit(b byte) (digit int64, ok bool) {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}
