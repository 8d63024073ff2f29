package gateway

import (
	"context"
	"time"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wait"
	"marigoldshunt/internal/wire"
)

// SetInstances replaces the list of instances.
func (s *Server) SetInstances(l catalog.List) {
	s.opts.Dispatcher.SetInstances(l)
	s.streams.setList(l.Instances)
}

// ReportVersions has the fleet told of the versions in a list that this host has read itself.
func (s *Server) ReportVersions(l catalog.List) { s.streams.report(l.Instances) }

// setOrigin records where the stream of the request began, at its first event. It goes on only
// there.
func (q *request) setOrigin(p *dispatch.Placement) {
	if q.job.Origin == nil {
		q.job.Origin = &dispatch.Origin{Service: p.Instance.Service, Version: p.Instance.Version}
	}
	if q.route.Resumable && q.id != "" {
		q.server.streams.begin(q.streamID(), *q.job.Origin)
		q.tracked = true
	}
}

// streamID identifies the stream of the request, also if the caller resumes it.
func (q *request) streamID() wire.StreamID {
	if q.resumes != "" {
		return streamID(q.account, q.resumes)
	}
	return streamID(q.account, q.id)
}

// maxOriginWait bounds the wait for where a stream began.
const maxOriginWait = time.Second

// listPollInterval is the interval at which a resumed stream looks whether the list is confirmed.
const listPollInterval = 5 * time.Millisecond

// awaitList waits until another host has confirmed the list of instances in answer to a question from
// after the request arrived. The stream began before that, so its version is then in the list; a host
// that was out of step may know only the versions of before.
func (q *request) awaitList(ctx context.Context) error {
	for q.server.opts.View().ListContactAge > time.Since(q.arrived) {
		if q.server.opts.ConfirmList != nil {
			q.server.opts.ConfirmList()
		}
		if !wait.For(ctx, listPollInterval) {
			return fault.New(fault.StreamOriginUnknown, fault.NotRun, "no host has confirmed the list of upstreams since the request came").WithRetryAfter(shortRetryAfter)
		}
	}
	return nil
}

// findOrigin finds where a stream began that the caller resumes, and sends the request there. It
// returns StreamOriginUnknown if that is not known, or the route doesn't lead there any more.
func (q *request) findOrigin() error {
	if q.lastEventID == "" || !q.route.Resumable {
		return nil
	}
	ctx, cancel := context.WithTimeout(q.r.Context(), min(maxOriginWait, time.Until(q.deadline)))
	defer cancel()
	if err := q.awaitList(ctx); err != nil {
		return err
	}
	origin, err := q.server.streams.find(ctx, q.streamID(), q.service.Name)
	if err != nil || origin == nil {
		return err
	}
	if !q.route.LeadsTo(origin.Service) {
		return fault.New(fault.StreamOriginUnknown, fault.NotRun, "the route does not lead to service %q any more, where the stream began", origin.Service)
	}
	q.service, q.job.Origin = q.view.Table.Service(origin.Service), origin
	return nil
}
