package frontend

import (
	"time"

	"marigoldshunt/internal/fault"
)

// retryElsewhereDelay is the retry delay for callers that should use another host.
const retryElsewhereDelay = time.Second

// requireAvailable refuses new requests while the configuration is unconfirmed or the host
// is stopping. A host that is leaving still serves callers that use its address.
func (s *Server) requireAvailable(next handler) handler {
	return func(r *request) error {
		if s.stopping.Load() {
			return fault.New(fault.HostLeaving, fault.NotRun, "host is stopping").WithRetryAfter(retryElsewhereDelay)
		}
		if !s.opts.ControlView.ConfigCurrent() {
			return fault.New(fault.HostIsolated, fault.NotRun, "the configuration of this host is not confirmed").WithRetryAfter(retryElsewhereDelay)
		}
		return next(r)
	}
}
