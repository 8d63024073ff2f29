package loadgen

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// maxEventBytes bounds one event. The events that upstream emulators make are far shorter.
const maxEventBytes = 4 << 10

// errLongEvent means that an event exceeds maxEventBytes.
var errLongEvent = errors.New("the event is too long")

// streamEvent is one event as its caller reads it.
type streamEvent struct {
	// raw holds the bytes of the event, including the empty line that ends it.
	raw []byte
	// id is the number in the last field id, or 0 if there is none or if it is no number.
	id int
}

// eventStream reads an event stream as the format of event streams defines it: a line feed, a
// carriage return and a line feed, and a carriage return alone each end a line, and an empty line ends
// an event. It shares no code with the reader of the gateway, so that a mistake there is found here.
type eventStream struct {
	br *bufio.Reader
	// afterCR is true if the last byte was a carriage return, so that a line feed is part of that
	// line end.
	afterCR bool
}

func newEventStream(r io.Reader) *eventStream { return &eventStream{br: bufio.NewReader(r)} }

// next returns the next event. With an error it returns what came of an event before the error:
// io.EOF at the end of the stream, errLongEvent, or the error of the connection.
func (s *eventStream) next() (streamEvent, error) {
	var v streamEvent
	var line []byte
	for len(v.raw) < maxEventBytes {
		b, err := s.br.ReadByte()
		if err != nil {
			return v, err
		}
		endsCRLF := s.afterCR && b == '\n'
		s.afterCR = b == '\r'
		if endsCRLF && len(v.raw) == 0 {
			continue // it ends the last line of the event before
		}
		v.raw = append(v.raw, b)
		switch {
		case endsCRLF:
		case b != '\n' && b != '\r':
			line = append(line, b)
		case len(line) == 0:
			return v, nil
		default:
			v.parseLine(string(line))
			line = line[:0]
		}
	}
	return v, errLongEvent
}

func (v *streamEvent) parseLine(line string) {
	name, value, _ := strings.Cut(line, ":")
	if name != "id" {
		return
	}
	v.id, _ = strconv.Atoi(strings.TrimPrefix(value, " ")) // 0 for no number
}
