package gateway

import (
	"net/http"
	"strings"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/eventstream"
	"marigoldshunt/internal/logsink"
)

// isStream reports whether a response is a successful event stream.
func isStream(resp *engine.ForwardResponse) bool {
	return resp.Status == http.StatusOK && eventstream.HasMediaType(resp.Header.Values("Content-Type"))
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
	}).Warn("Upstream answered a request for a stream with a success that is no event stream.")
}
