package gateway

import "marigoldshunt/internal/dispatch"

// setOrigin records where the stream of the request began, at its first event. It goes on only
// there.
func (q *request) setOrigin(p *dispatch.Placement) {
	if q.job.Origin == nil {
		q.job.Origin = &dispatch.Origin{Service: p.Instance.Service, Version: p.Instance.Version}
	}
}
