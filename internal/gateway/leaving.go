package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/logsink"
)

// readLeaving keeps this host from sending more requests to an instance whose response says that
// it is about to stop. The list of instances may say so later.
func (q *request) readLeaving(p *dispatch.Placement, resp *engine.ForwardResponse) {
	if !q.server.opts.HeaderNames.leaving(resp.Header) || !q.server.opts.Dispatcher.markLeaving(p) || logsink.Drops(q.server.log, logrus.InfoLevel) {
		return
	}
	q.server.log.WithFields(logrus.Fields{"instance": p.Instance.ID, "service": p.Instance.Service, "request": q.id}).Info("Upstream says that it leaves.")
}

// readPause keeps this host from sending more requests to an instance that has turned one away, for
// as long as the instance says.
func (q *request) readPause(p *dispatch.Placement, resp *engine.ForwardResponse) {
	pause := q.server.opts.HeaderNames.pause(resp.Status, resp.Header)
	if pause == 0 {
		return
	}
	q.server.opts.Dispatcher.pause(p, pause)
	if logsink.DropsSecondary(q.server.log, logrus.InfoLevel) {
		return
	}
	q.server.log.WithFields(logrus.Fields{
		"instance": p.Instance.ID, "service": p.Instance.Service, "request": q.id, "pause_ms": pause.Milliseconds(),
	}).Info("Upstream wants no requests for some time.")
}

// pause returns for how long the upstream that sent a response wants no more requests of this host,
// 0 if it says nothing of that.
func (names *HeaderNames) pause(status int, h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(h.Get("Retry-After")), 64)
	if status != http.StatusServiceUnavailable || err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxPauseSeconds) * float64(time.Second))
}

// maxPauseSeconds keeps the pause in the range of a time.Duration.
const maxPauseSeconds = 1e6
