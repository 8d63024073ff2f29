// Package edge defines the interfaces between a host and the adapter for an installation.
// An adapter translates names and formats; it makes no decisions.
package edge

import (
	"context"
	"net/http"
	"time"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/gateway"
	"marigoldshunt/internal/routing"
)

// ConnectAnswer is the answer to a caller that asks where to connect.
type ConnectAnswer struct {
	// Addresses are the gateway addresses of hosts, in order of preference.
	Addresses []string
	// KeepFor is how long the caller may cache the answer.
	KeepFor time.Duration
}

// DataCentreOrder takes a data centre out of service, or puts it back.
type DataCentreOrder struct {
	Name string
	Out  bool
	// IfRevision is the revision of the data centre that a host told the sender; nil in the first
	// request of an order.
	IfRevision *uint64
}

// DataCentreOrderResult is the result of a DataCentreOrder that did not fail.
type DataCentreOrderResult struct {
	// InForce is true once the order is durable. Otherwise the sender repeats it with Revision.
	InForce bool
	// Revision is the current revision of the data centre; 0 if it was never ordered out.
	Revision uint64
}

// HostAPI is what a host offers to its adapter. Errors are of type *fault.Error.
type HostAPI interface {
	// Ready reports whether the host takes requests.
	Ready() bool
	// GatewayAddresses returns where a caller in a data centre may connect. It returns
	// HostIsolated while no host is known.
	GatewayAddresses(dataCentre string) (ConnectAnswer, error)
	// PutDocument puts a routing document in force unless a higher version is in force.
	// source is what the operator sent. It returns InvalidConfig or RevisionConflict for a
	// document that is refused, and any other code when the outcome is unknown.
	PutDocument(ctx context.Context, d *routing.Document, source []byte) error
	// DocumentSource returns the source of a routing document that was in force at some time
	// between the call and its return. It returns NotFound if there is none yet, and
	// HostIsolated if the host can't confirm which document is in force.
	DocumentSource(ctx context.Context) ([]byte, error)
	// OrderDataCentre carries out an order that names the current revision of the data centre. Any
	// other order only learns that revision, unless it is in force already: an order without a
	// revision may have waited in the connection while its sender left and ordered something else,
	// and only a sender that is still there repeats it. It returns HostIsolated if the host can't
	// confirm the revision, and any other code when the outcome is unknown.
	OrderDataCentre(ctx context.Context, o DataCentreOrder) (DataCentreOrderResult, error)
}

// Adapter translates the formats of one installation.
type Adapter interface {
	// HeaderNames names the headers between callers, hosts and upstreams.
	HeaderNames() gateway.HeaderNames
	// InstanceSource reads the installation's list of upstream instances at an address.
	InstanceSource(address string) catalog.Source
	// OperatorHandler, DiscoveryHandler and ReadinessHandler return the handlers of the
	// installation's requests for the configuration, for discovery and for the host's
	// readiness.
	OperatorHandler(h HostAPI) http.Handler
	DiscoveryHandler(h HostAPI) http.Handler
	ReadinessHandler(h HostAPI) http.Handler
}
