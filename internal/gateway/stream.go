package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/logsink"
)

// relayStream relays the events of a stream one by one. The response header is written with
// the first event, so that a stream that breaks before it counts as a request without a
// response. A resumed stream continues the response that the first instance began.
func (q *request) relayStream(ctx context.Context, p *dispatch.Placement, resp *engine.ForwardResponse) (dispatch.Outcome, error) {
	events := newEventReader(bufio.NewReader(resp.Body), q.server.opts.HeaderNames.EventVersion, q.lastEventID)
	rc := http.NewResponseController(q.w)
	room := reservation{budget: &q.server.buffered}
	defer room.release()
	for {
		room.release()
		event, err := events.next(func() bool { return room.growTo(maxBuffered) })
		if errors.Is(err, io.EOF) {
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
		var garbage *garbageError
		if errors.As(err, &garbage) {
			q.logGarbage(p, garbage)
			return q.garbled(p, resp, garbage)
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
		if events.repeated() {
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
		q.lastEventID = strconv.FormatInt(events.last, 10)
		q.recordEvent(time.Now())
	}
}

// garbled ends a run that sent garbage, and returns its outcome and error. Nothing more is read from
// the connection, even if the response has ended: what is there can't be trusted.
func (q *request) garbled(p *dispatch.Placement, resp *engine.ForwardResponse, err error) (dispatch.Outcome, error) {
	q.server.count("garbled_streams")
	resp.CloseConnection()
	return dispatch.Failed, fault.Wrap(err, fault.UpstreamGarbled, fault.MayHaveRun, "instance %s sent garbage", p.Instance.ID)
}

func (q *request) logGarbage(p *dispatch.Placement, garbage *garbageError) {
	if logsink.Drops(q.server.log, logrus.WarnLevel) {
		return
	}
	q.server.log.WithFields(logrus.Fields{
		"request": q.id, "instance": p.Instance.ID, "address": p.Instance.Address, "expected_event": garbage.expected,
		"reason": garbage.reason, "bytes": strconv.Quote(string(garbage.got)),
	}).Warn("Upstream sent bytes that are no event of the stream.")
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
