package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/fault"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// stream passes on the events of a stream one by one. The answer begins with the first
// event, so that a stream that breaks before it is like a request without an answer. A
// resumed stream continues the answer of the first instance.
func (q *request) stream(ctx context.Context, p *dispatch.Placement, f *engine.Forwarded) (dispatch.Outcome, error) {
	br := bufio.NewReader(f.Body)
	rc := http.NewResponseController(q.w)
	first := true
	for {
		event, err := readEvent(br)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			if !q.began {
				q.head(f)
				q.begin(f.Status)
			}
			return dispatch.Answered, nil
		}
		if err != nil {
			return q.broken(ctx, p, err)
		}
		if first {
			first = false
			q.s.time("first_event", q.arrived)
			q.s.o.Dispatch.firstEvent(p)
			q.ticket.FirstEvent()
		}
		id := eventID(event)
		if q.began && !follows(id, q.lastEvent) {
			// A resumed stream repeats what the caller has already.
			continue
		}
		if !q.began {
			q.head(f)
			q.begin(f.Status)
		}
		if _, err := q.w.Write(event); err != nil {
			return dispatch.Withdrawn, fault.Wrap(err, fault.CallerGone, fault.MayHaveRun, "the caller left")
		}
		if err := rc.Flush(); err != nil {
			return dispatch.Withdrawn, fault.Wrap(err, fault.CallerGone, fault.MayHaveRun, "the caller left")
		}
		if id != "" {
			q.lastEvent = id
		}
	}
}

// readEvent reads one event with the empty line that ends it. It returns io.EOF with no
// bytes at the end of the stream and io.ErrUnexpectedEOF inside an event.
func readEvent(br *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := br.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(event) > 0:
			return event, io.ErrUnexpectedEOF
		case err != nil:
			return event, err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return event, nil
		}
		if len(event) > maxEventBytes {
			return event, fault.New(fault.UpstreamFailed, fault.MayHaveRun, "an event exceeds %d bytes", maxEventBytes)
		}
	}
}

// eventID returns the id of an event, empty when it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v))
		}
	}
	return ""
}

// follows reports whether an event comes after the last one that the caller got.
func follows(id, last string) bool {
	if id == "" || last == "" {
		return true
	}
	a, err := strconv.ParseInt(id, 10, 64)
	b, err2 := strconv.ParseInt(last, 10, 64)
	return err != nil || err2 != nil || a > b
}
