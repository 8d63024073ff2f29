package gateway

import (
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/logsink"
)

// readRateLimit records the limit that a response names, and has the owner of the instance's gate
// told. Only a successful response of the instance itself ends a limit by naming none: refusals
// and forged responses may lack the header.
func (q *request) readRateLimit(p *dispatch.Placement, resp *engine.ForwardResponse) {
	names := &q.server.opts.HeaderNames
	perSecond, named := names.rateLimit(resp.Header)
	if !named && (resp.Status >= 300 || !names.proven(resp.Header)) {
		return
	}
	before := q.server.opts.Dispatcher.setRateLimit(p, perSecond)
	if named || before != 0 {
		q.permit.RateLimitChanged(perSecond)
	}
	if before == perSecond || logsink.Drops(q.server.log, logrus.InfoLevel) {
		return
	}
	log := q.server.log.WithFields(logrus.Fields{
		"instance": p.Instance.ID, "service": p.Instance.Service, "request": q.id, "per_second": perSecond, "before": before,
	})
	if named {
		log.Info("Upstream names a rate limit.")
		return
	}
	log.Info("Upstream names no rate limit any more.")
}
