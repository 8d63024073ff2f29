package gateway

import (
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
