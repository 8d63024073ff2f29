package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

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
	if err := r.awaitBegin(); err != nil {
		return nil, err
	}
	event, id, err := r.readHead(reserve)
	if err != nil {
		return nil, err
	}
	if event, err = r.readFields(event, reserve); err != nil {
		return nil, err
	}
	r.last = id
	return event, nil
}

// awaitBegin looks at the first bytes of an event one by one, so that garbage ends the run even if it
// never fills a line. It returns once they are the name of a field.
func (r *eventReader) awaitBegin() error {
	for n := 1; ; n++ {
		begin, err := r.br.Peek(n)
		switch {
		case len(begin) < n && errors.Is(err, io.EOF):
			return r.endError(len(begin) > 0)
		case len(begin) < n:
			return err
		case !beginsField(begin, idField) && !beginsField(begin, r.versionField):
			return r.garbage("the line can't begin an event", begin)
		case bytes.Equal(begin, idField) || bytes.Equal(begin, r.versionField):
			return nil
		}
	}
}

// endError returns the error for the end of the run, between two events or inside one.
func (r *eventReader) endError(insideEvent bool) error {
	if insideEvent || r.last > 0 && r.last < r.resumed {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

// beginsField reports whether the first bytes of a line may be those of a field.
func beginsField(begin, field []byte) bool {
	n := min(len(begin), len(field))
	return n > 0 && bytes.Equal(begin[:n], field[:n])
}

var (
	idField    = []byte("id:")
	dataField  = []byte("data:")
	eventField = []byte("event:")
)

// readHead reads the lines up to the id, and checks that the id is due.
func (r *eventReader) readHead(reserve func() bool) (event []byte, id int64, err error) {
	event, line, err := r.readLine(nil, reserve)
	if err != nil {
		return nil, 0, err
	}
	if version, ok := cutField(line, r.versionField); ok {
		if _, isNumber := parseEventID(version); !isNumber {
			return nil, 0, r.garbage("the version is no number", line)
		}
		if event, line, err = r.readLine(event, reserve); err != nil {
			return nil, 0, err
		}
	}
	value, ok := cutField(line, idField)
	if !ok {
		return nil, 0, r.garbage("the event has no id", line)
	}
	id, ok = parseEventID(value)
	if !ok {
		return nil, 0, r.garbage("the id is no number", line)
	}
	if !r.due(id) {
		return nil, 0, r.garbage("another id comes", line)
	}
	return event, id, nil
}

// due reports whether an id may follow the last one of the run.
func (r *eventReader) due(id int64) bool {
	switch {
	case r.last > 0:
		return id == r.last+1
	case r.resumed == unknownEventID:
		return id > 0
	}
	return id > 0 && id <= r.resumed+1
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
			return event, trimLineEnd(event[begin:]), nil
		case len(event) > freeBufferedBytes && !reserve():
			return nil, nil, fault.New(fault.UpstreamFailed, fault.MayHaveRun, "no room for an event of more than %d bytes", freeBufferedBytes)
		}
	}
}

func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
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
