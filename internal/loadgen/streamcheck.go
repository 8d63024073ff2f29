package loadgen

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"
)

// StreamFault is what is wrong with a stream that a caller got. Each is a fault of the fleet, also if
// the connection ends after it.
type StreamFault string

// Faults of streams.
const (
	// ForeignBytes means that bytes came that no upstream makes for the request.
	ForeignBytes StreamFault = "foreign_bytes"
	// MissingEvent means that a later event came than the one that was due.
	MissingEvent StreamFault = "missing_event"
	// RepeatedEvent means that an event came again.
	RepeatedEvent StreamFault = "repeated_event"
	// EarlyEnd means that the stream ended as complete before its last event.
	EarlyEnd StreamFault = "complete_before_last_event"
)

// maxBytesShown is the number of wrong bytes that the description of a fault shows.
const maxBytesShown = 64

// maxFailureBytes is the length up to which the body of a failure is parsed.
const maxFailureBytes = 4 << 10

// streamCheck compares the stream of one request, byte by byte, with the events that upstreams make
// for it.
type streamCheck struct {
	id string
	// events is the number of events of the whole stream, received the number of those that came.
	events, received int
}

// expected returns event n as the upstream emulator makes it.
func (c *streamCheck) expected(n int) []byte {
	return fmt.Appendf(nil, "id: %d\ndata: %s/%d \n\n", n, c.id, n)
}

// event checks a whole event. It returns what is wrong with it, empty for nothing.
func (c *streamCheck) event(v streamEvent) StreamFault {
	due := c.received + 1
	if due <= c.events && bytes.Equal(v.raw, c.expected(due)) {
		c.received = due
		return ""
	}
	genuine := v.id >= 1 && v.id <= c.events && bytes.Equal(v.raw, c.expected(v.id))
	switch {
	case genuine && v.id < due:
		return RepeatedEvent
	case genuine:
		return MissingEvent
	}
	return ForeignBytes
}

// part checks the bytes after the last whole event. They may be the first ones of the event that is
// due, because a host may end while it sends.
func (c *streamCheck) part(raw []byte) StreamFault {
	due := c.received + 1
	if len(raw) == 0 || due <= c.events && bytes.HasPrefix(c.expected(due), raw) {
		return ""
	}
	return ForeignBytes
}

// end checks the end of a complete response, raw being the bytes after the last whole event.
func (c *streamCheck) end(raw []byte) StreamFault {
	if wrong := c.part(raw); wrong != "" {
		return wrong
	}
	if len(raw) > 0 || c.received < c.events {
		return EarlyEnd
	}
	return ""
}

// checkEvents reads a stream to its end and checks it up to its first fault. It returns an error if
// the connection ends inside the response.
func (r *RoutedResult) checkEvents(body io.Reader, q *RoutedRequest) error {
	events := newEventStream(body)
	check := &streamCheck{id: q.ID, events: q.Events, received: q.LastEvent}
	r.Events = q.LastEvent
	for r.StreamFault == "" {
		v, err := events.next()
		switch {
		case errors.Is(err, errLongEvent):
			r.recordStreamFault(ForeignBytes, check, v.raw)
		case errors.Is(err, io.EOF):
			r.recordStreamFault(check.end(v.raw), check, v.raw)
			return nil
		case err != nil:
			r.recordStreamFault(check.part(v.raw), check, v.raw)
			r.PartialEvent = len(v.raw) > 0 && r.StreamFault == ""
			return err
		default:
			r.recordStreamFault(check.event(v), check, v.raw)
		}
		if check.received > q.LastEvent && r.First.IsZero() {
			r.First = time.Now()
		}
		r.Events = check.received
	}
	_, err := io.Copy(io.Discard, body)
	return err
}

// recordStreamFault records a fault, if there is one, with what came before it and its first bytes.
func (r *RoutedResult) recordStreamFault(wrong StreamFault, check *streamCheck, raw []byte) {
	if wrong == "" {
		return
	}
	r.StreamFault = wrong
	r.recordFault("%s: %d of %d events came, then %q", wrong, check.received, check.events, raw[:min(len(raw), maxBytesShown)])
}

// readFailure reads the body of a failure, which is no stream, whatever its content type says.
func (r *RoutedResult) readFailure(resp *http.Response) error {
	start, err := io.ReadAll(io.LimitReader(resp.Body, maxFailureBytes))
	n := int64(len(start))
	if err == nil {
		var rest int64
		rest, err = io.Copy(io.Discard, resp.Body)
		n += rest
	}
	var body struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal(start, &body) // what an upstream answers has no code
	r.FailureCode = body.Error.Code
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0 for no number
	r.RetryAfter = time.Duration(seconds * float64(time.Second))
	mediaType, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type")) // empty if it is malformed
	r.FailureAsStream = n > 0 && mediaType == "text/event-stream"
	return err
}
