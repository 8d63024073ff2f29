package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/eventstream"
	"marigoldshunt/internal/logsink"
)

// errNotStream reports a success on a stream route that is no event stream.
var errNotStream = errors.New("the answer is no event stream")

// relayStreamSuccess relays a success on a stream route. The route says that the answer is a stream;
// the type is only what the upstream says of it. So a success of another type or status is garbage, and
// so is one that says that the request did not run.
func (q *request) relayStreamSuccess(ctx context.Context, p *dispatch.Placement, resp *engine.ForwardResponse) (dispatch.Outcome, error) {
	switch {
	case !isStream(resp) || q.server.opts.HeaderNames.notRun(resp.Header):
		q.recordNotStream(p, resp)
		return q.garbled(p, resp, errNotStream)
	case q.r.Method == http.MethodHead:
		return q.relayPlain(ctx, p, resp)
	}
	return q.relayStream(ctx, p, resp)
}

// isStream reports whether a response is a successful event stream, for callers too.
func isStream(resp *engine.ForwardResponse) bool {
	const contentType = "Content-Type"
	return resp.Status == http.StatusOK && eventstream.HasMediaType(resp.Header.Values(contentType)) && endToEnd(resp.Header, contentType)
}

// recordNotStream counts and logs a success on a stream route that is not an event stream.
func (q *request) recordNotStream(p *dispatch.Placement, resp *engine.ForwardResponse) {
	q.server.count("answers_not_streams")
	if logsink.Drops(q.server.log, logrus.WarnLevel) {
		return
	}
	contentType := strings.Join(resp.Header.Values("Content-Type"), ", ")
	q.server.log.WithFields(logrus.Fields{
		"request": q.id, "route": q.route.Name, "instance": p.Instance.ID, "address": p.Instance.Address,
		"status": resp.Status, "content_type": contentType[:min(len(contentType), maxGarbageLogged)], "framed": resp.Framed, "resumed_after": q.lastEventID,
		"says_not_run": q.server.opts.HeaderNames.notRun(resp.Header),
	}).Warn("Upstream answered a request for a stream with a success that is no event stream.")
}
