package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/fault"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// relayStream relays the events of a stream one by one. The response header is written with
// the first event, so that a stream that breaks before it counts as a request without a
// response. A resumed stream continues the response that the first instance began.
func (q *request) relayStream(ctx context.Context, p *dispatch.Placement, resp *engine.ForwardResponse) (dispatch.Outcome, error) {
	br := bufio.NewReader(resp.Body)
	rc := http.NewResponseController(q.w)
	room := reservation{budget: &q.server.buffered}
	defer room.release()
	for {
		room.release()
		event, err := readEvent(br, func() bool { return room.growTo(maxBuffered) })
		if errors.Is(err, io.EOF) && len(event) == 0 {
			if q.runEvents == 0 && !resp.Framed {
				// Where the end of the connection ends the stream, a crash before the first event looks
				// like an empty one.
				return q.truncated(ctx, p, io.ErrUnexpectedEOF)
			}
			if !q.headerWritten {
				q.copyHeader(resp)
				q.writeHeader(resp.Status)
			}
			return dispatch.Answered, nil
		}
		if err != nil {
			return q.truncated(ctx, p, err)
		}
		switch q.runEvents++; q.runEvents {
		case 1:
			q.server.observeSince("first_event", q.arrived)
			q.server.opts.Dispatcher.firstEvent(p)
			q.permit.FirstEvent()
		case 2:
			q.server.crashes.partsAnswered(q.service.Name, q.job.SharedParts)
		}
		id := eventID(event)
		if q.headerWritten && !isAfter(id, q.lastEventID) {
			// A resumed stream may repeat events that the caller already has.
			continue
		}
		if !q.headerWritten {
			q.setOrigin(p)
			q.copyHeader(resp)
			q.writeHeader(resp.Status)
		}
		if _, err := q.w.Write(event); err != nil {
			return dispatch.Cancelled, fault.Wrap(err, fault.CallerGone, fault.MayHaveRun, "the caller left")
		}
		if err := rc.Flush(); err != nil {
			return dispatch.Cancelled, fault.Wrap(err, fault.CallerGone, fault.MayHaveRun, "the caller left")
		}
		if id != "" {
			q.lastEventID = id
		}
		q.recordEvent(time.Now())
	}
}

// recordEvent counts the stream as late at the first pause between two events that is longer
// than the route's EventGap.
func (q *request) recordEvent(now time.Time) {
	if gap := q.route.EventGap; gap > 0 && !q.late && !q.lastEventAt.IsZero() && now.Sub(q.lastEventAt) > gap {
		q.late = true
		q.server.count("late_streams")
	}
	q.lastEventAt = now
}

// readEvent reads one event, including the empty line that ends it. It returns io.EOF and no
// bytes at the end of the stream, and io.ErrUnexpectedEOF if the stream ends inside an event.
// An event of more than freeBufferedBytes is read only if reserve has room for it.
func readEvent(br *bufio.Reader, reserve func() bool) ([]byte, error) {
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
		if len(event) > freeBufferedBytes && !reserve() {
			return event, fault.New(fault.UpstreamFailed, fault.MayHaveRun, "no room for an event of more than %d bytes", freeBufferedBytes)
		}
		if len(event) > maxEventBytes {
			return event, fault.New(fault.UpstreamFailed, fault.MayHaveRun, "an event exceeds %d bytes", maxEventBytes)
		}
	}
}

// eventID returns the id of an event, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v))
		}
	}
	return ""
}

// isAfter reports whether the event id comes after last, the id of the last event sent to
// the caller. It is true if the two can't be compared.
func isAfter(id, last string) bool {
	if id == "" || last == "" {
		return true
	}
	a, err := strconv.ParseInt(id, 10, 64)
	b, err2 := strconv.ParseInt(last, 10, 64)
	return err != nil || err2 != nil || a > b
}
