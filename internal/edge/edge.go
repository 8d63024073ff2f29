// Package edge defines what an installation's adapter supplies to a host and what it may
// ask of one. An adapter translates names and formats; it decides nothing.
package edge

import (
	"context"
	"net/http"
	"time"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/gateway"
	"marigoldshunt/internal/routing"
)

// Directory is an answer to a caller who asks where to connect.
type Directory struct {
	// Addresses are those of the hosts' gateways, in the order of preference.
	Addresses []string
	// KeepFor is how long the caller may keep the answer.
	KeepFor time.Duration
}

// Fleet is what a host offers to its adapter. Errors are of type fault.Error.
type Fleet interface {
	// Ready reports whether the host takes requests.
	Ready() bool
	// Resolve returns where a caller in a data centre may connect. It returns HostIsolated
	// while no host is known.
	Resolve(dataCentre string) (Directory, error)
	// PutDocument puts a routing document in force unless a higher version is. source is
	// what the operator sent. It returns InvalidConfig or RevisionConflict for a document
	// that is refused, and any other code when the outcome is unknown.
	PutDocument(ctx context.Context, d *routing.Document, source []byte) error
	// Document returns the source of the document in force, not older than the call. It
	// returns NotFound before the first one and HostIsolated if that can't be confirmed.
	Document(ctx context.Context) ([]byte, error)
	// SetOut takes a data centre out of service or back. It returns when that is durable.
	SetOut(ctx context.Context, dataCentre string, out bool) error
}

// Adapter speaks the formats of one installation.
type Adapter interface {
	// Dialect names the headers between callers, hosts and upstreams.
	Dialect() gateway.Dialect
	// Instances reads the installation's list of upstream instances at an address.
	Instances(address string) catalog.Source
	// Operators, Callers and Readiness serve the installation's calls for the
	// configuration, for discovery and for the host's state.
	Operators(f Fleet) http.Handler
	Callers(f Fleet) http.Handler
	Readiness(f Fleet) http.Handler
}
