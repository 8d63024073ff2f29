// Package native is the adapter for installations that use the project's own formats:
// discovery and readiness over HTTP with JSON, and the list of instances as one JSON
// document. Operators change routing with marigoldshuntctl, so the adapter has no operator
// interface of its own.
package native

import (
	"context"
	"encoding/json"
	"net/http"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/edge"
	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/gateway"
)

// Adapter implements edge.Adapter.
type Adapter struct{}

// HeaderNames implements edge.Adapter.
func (Adapter) HeaderNames() gateway.HeaderNames { return gateway.NativeHeaderNames() }

// OperatorHandler implements edge.Adapter. It answers every request with 404: operators use
// the admin interface instead, which checks their credentials.
func (Adapter) OperatorHandler(edge.HostAPI) http.Handler { return http.NotFoundHandler() }

// ReadinessHandler implements edge.Adapter: GET /v1/ready answers 200 or 503.
func (Adapter) ReadinessHandler(h edge.HostAPI) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !h.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	return mux
}

// ConnectAnswer is the answer to GET /v1/connect.
type ConnectAnswer struct {
	Addresses []string `json:"addresses"`
	KeepForMS int64    `json:"keep_for_ms"`
}

// DiscoveryHandler implements edge.Adapter: GET /v1/connect?data_centre=NAME.
func (Adapter) DiscoveryHandler(h edge.HostAPI) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/connect", func(w http.ResponseWriter, r *http.Request) {
		answer, err := h.GatewayAddresses(r.URL.Query().Get("data_centre"))
		if err != nil {
			e := fault.As(err)
			if e.RetryAfter > 0 {
				w.Header().Set("Retry-After", fault.FormatRetryAfter(e.RetryAfter))
			}
			http.Error(w, string(e.Code), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(ConnectAnswer{answer.Addresses, answer.KeepFor.Milliseconds()}) // a caller that has disconnected asks again
	})
	return mux
}

// InstanceSource implements edge.Adapter.
func (Adapter) InstanceSource(address string) catalog.Source {
	return &instanceSource{address: address, client: engine.New(engine.Options{})}
}

type instanceSource struct {
	address string
	client  *engine.Client
}

// maxListBytes is enough for a list of several thousand instances.
const maxListBytes = 4 << 20

// Instances implements catalog.Source.
func (s *instanceSource) Instances(ctx context.Context) ([]catalog.Instance, error) {
	status, body, err := s.client.Get(ctx, s.address, "/v1/instances", maxListBytes)
	if err != nil {
		return nil, fault.Wrap(err, fault.UpstreamFailed, "", "list of instances")
	}
	if status != http.StatusOK {
		return nil, fault.New(fault.UpstreamFailed, "", "the list of instances answers with %d", status)
	}
	return catalog.DecodeEntries(body)
}
