package frontend

import (
	"time"

	"marigoldshunt/internal/fault"
)

// retryElsewhere is the delay suggested to callers that should ask another host.
const retryElsewhere = time.Second

// admit refuses new requests while the configuration is unconfirmed or the host stops.
// A host that is leaving still serves callers that keep its address.
func (s *Server) admit(next handler) handler {
	return func(r *request) error {
		if s.stopping.Load() {
			return fault.New(fault.HostLeaving, fault.NotRun, "host is stopping").After(retryElsewhere)
		}
		if !s.o.Directory.Current() {
			return fault.New(fault.HostIsolated, fault.NotRun, "the configuration of this host is not confirmed").After(retryElsewhere)
		}
		return next(r)
	}
}
