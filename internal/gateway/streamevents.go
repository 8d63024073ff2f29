package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"marigoldshunt/internal/eventstream"
	"marigoldshunt/internal/fault"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// maxGarbageLogged is the number of foreign bytes that a log line shows.
const maxGarbageLogged = 64

// eventReader reads the events of one run of a stream, in the formats of the project and of
// installations alike.
//
// An event is, line by line: optionally the version of the model weights (HeaderNames.EventVersion),
// its id, at least one field data, and an empty line. Fields event may stand among those. Ids are
// decimal numbers that count up by one. A run begins with id 1, or, if the stream is resumed, at any id
// up to the one after the last event that the caller has: some upstreams repeat events.
//
// A line is UTF-8 without control characters other than tabs, and ends with LF or CR LF. Readers of
// event streams also take a lone CR for the end of a line, so that they would see other events than
// this host.
//
// Everything else was made by no run: the upstream sends garbage, and no later byte of the run can be
// trusted.
type eventReader struct {
	br *bufio.Reader
	// versionField is the name of the version field with its colon, nil if there is none.
	versionField []byte
	// last is the id of the last event that was read in this run, 0 before the first.
	last int64
	// resumed is the id of the last event that the caller had before this run. It is 0 if the
	// caller had none, and unknownEventID if it named one that is no number.
	resumed int64
}

// unknownEventID stands for an id that is no number, so that a run may begin anywhere.
const unknownEventID = -1

// newEventReader returns a reader of a run that resumes after lastEventID, empty for a new stream.
func newEventReader(br *bufio.Reader, versionName, lastEventID string) *eventReader {
	r := &eventReader{br: br}
	if versionName != "" {
		r.versionField = []byte(versionName + ":")
	}
	if lastEventID != "" {
		var ok bool
		if r.resumed, ok = parseEventID([]byte(lastEventID)); !ok {
			r.resumed = unknownEventID
		}
	}
	return r
}

// garbageError reports bytes that are no event of the run.
type garbageError struct {
	expected int64
	reason   string
	// got holds the first of the foreign bytes.
	got []byte
}

// Error implements error.
func (e *garbageError) Error() string {
	return "event " + strconv.FormatInt(e.expected, 10) + " was due: " + e.reason
}

func (r *eventReader) garbage(reason string, got []byte) error {
	return &garbageError{expected: r.expected(), reason: reason, got: bytes.Clone(got[:min(len(got), maxGarbageLogged)])}
}

// expected returns the id that is due, for messages.
func (r *eventReader) expected() int64 {
	if r.last > 0 {
		return r.last + 1
	}
	return max(r.resumed, 0) + 1
}

// repeated reports whether the caller had the last event that was read before this run.
func (r *eventReader) repeated() bool { return r.last <= r.resumed }

// next returns the next event of the run, including the empty line that ends it. It returns io.EOF at
// the end of the run, io.ErrUnexpectedEOF if the run ends inside an event or before the last event that
// the caller has, and a garbageError for anything that is no event of the run. An event of more than
// freeBufferedBytes is read only if reserve has room for it.
func (r *eventReader) next(reserve func() bool) ([]byte, error) {
	event, id, err := r.readHead()
	if err != nil {
		return nil, err
	}
	if event, err = r.readFields(event, reserve); err != nil {
		return nil, err
	}
	r.last = id
	return event, nil
}

// endError returns the error for the end of the run, between two events or inside one.
func (r *eventReader) endError(insideEvent bool) error {
	if insideEvent || r.last > 0 && r.last < r.resumed {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

var (
	idField    = []byte("id:")
	dataField  = []byte("data:")
	eventField = []byte("event:")
)

// readHead reads the lines up to the id, and checks that the id is due.
func (r *eventReader) readHead() (event []byte, id int64, err error) {
	event, field, id, err := r.readNumber(make([]byte, 0, typicalEventBytes), r.versionField, idField)
	if err != nil {
		return nil, 0, err
	}
	begin := 0
	if !bytes.Equal(field, idField) {
		begin = len(event)
		if event, _, id, err = r.readNumber(event, idField); err != nil {
			return nil, 0, err
		}
	}
	if !r.due(id) {
		return nil, 0, r.garbage("another id comes", event[begin:])
	}
	return event, id, nil
}

// readNumber reads a line that is one of some fields with a number, and appends it to event. It looks
// at the bytes one by one, so that garbage ends the run even if it never fills a line.
func (r *eventReader) readNumber(event []byte, fields ...[]byte) (whole, field []byte, number int64, err error) {
	begin := len(event)
	for {
		b, err := r.br.ReadByte()
		if errors.Is(err, io.EOF) {
			return nil, nil, 0, r.endError(len(event) > 0)
		}
		if err != nil {
			return nil, nil, 0, err
		}
		event = append(event, b)
		line := event[begin:]
		if field = fieldOf(line, fields); field == nil {
			return nil, nil, 0, r.garbage("the line does not begin an event", line)
		}
		if b == '\n' {
			value, _ := cutField(eventstream.TrimLineEnd(line), field)
			if number, ok := parseEventID(value); ok && (value[0] != '0' || len(value) == 1) {
				return event, field, number, nil
			}
			return nil, nil, 0, r.garbage("the line has no number that may stand there", line)
		}
	}
}

// fieldOf returns which of some fields a line may be that begins with some bytes, nil if none.
func fieldOf(begin []byte, fields [][]byte) []byte {
	for _, field := range fields {
		if len(field) > 0 && beginsNumber(begin, field) {
			return field
		}
	}
	return nil
}

// maxNumberDigits is the number of digits of the largest id.
const maxNumberDigits = 19

// beginsNumber reports whether a line that begins with some bytes may be a field with a number.
func beginsNumber(begin, field []byte) bool {
	n := min(len(begin), len(field))
	if !bytes.Equal(begin[:n], field[:n]) {
		return false
	}
	value := bytes.TrimPrefix(begin[n:], []byte(" "))
	end := bytes.TrimLeft(value, "0123456789")
	if len(value)-len(end) > maxNumberDigits {
		return false
	}
	return len(end) == 0 || string(end) == "\r" || string(end) == "\r\n" || string(end) == "\n"
}

// due reports whether an id may follow the last one of the run.
func (r *eventReader) due(id int64) bool {
	switch {
	case r.last > 0:
		return id == r.last+1
	case r.resumed == unknownEventID:
		return id > 0
	}
	return id > 0 && id-1 <= r.resumed
}

// readFields reads the lines after the id up to the empty line.
func (r *eventReader) readFields(event []byte, reserve func() bool) ([]byte, error) {
	hasData := false
	for {
		var line []byte
		var err error
		if event, line, err = r.readLine(event, reserve); err != nil {
			return nil, err
		}
		switch {
		case len(line) == 0 && hasData:
			return event, nil
		case bytes.HasPrefix(line, dataField):
			hasData = true
		case bytes.HasPrefix(line, eventField):
		default:
			return nil, r.garbage("the line is no field of an event", line)
		}
	}
}

// readLine appends a line to event, and returns the line without its end, which is valid until the
// next call.
func (r *eventReader) readLine(event []byte, reserve func() bool) (whole, line []byte, err error) {
	begin := len(event)
	for {
		part, err := r.br.ReadSlice('\n')
		event = append(event, part...)
		switch {
		case errors.Is(err, io.EOF):
			return nil, nil, io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return nil, nil, err
		case len(event) > maxEventBytes:
			return nil, nil, r.garbage("the event exceeds "+strconv.Itoa(maxEventBytes)+" bytes", event)
		case err == nil:
			line = eventstream.TrimLineEnd(event[begin:])
			if err := eventstream.CheckLine(line); err != nil {
				return nil, nil, r.garbage(err.Error(), line)
			}
			return event, line, nil
		case !eventstream.IsText(bytes.TrimSuffix(part, []byte("\r"))):
			return nil, nil, r.garbage(eventstream.ErrControlCharacter.Error(), part)
		case len(event) > freeBufferedBytes && !reserve():
			return nil, nil, fault.New(fault.UpstreamFailed, fault.MayHaveRun, "no room for an event of more than %d bytes", freeBufferedBytes)
		}
	}
}

// cutField returns the value of a field without the space that may follow the colon.
func cutField(line, field []byte) (value []byte, ok bool) {
	if len(field) == 0 {
		return nil, false
	}
	value, ok = bytes.CutPrefix(line, field)
	return bytes.TrimPrefix(value, []byte(" ")), ok
}

// parseEventID parses a decimal number without a sign.
func parseEventID(text []byte) (id int64, ok bool) {
	if len(text) == 0 || text[0] < '0' || text[0] > '9' {
		return 0, false
	}
	id, err := strconv.ParseInt(string(text), 10, 64)
	return id, err == nil
}
