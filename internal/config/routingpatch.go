package config

import (
	"crypto/sha256"
	"reflect"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/routing"
)

// RoutingPatch turns one routing document into a later one. It holds the routes, accounts and parts
// of the source that differ, so that a host that has the earlier document gets only these.
type RoutingPatch struct {
	// Revision is the configuration revision at which the later document came into force.
	Revision uint64    `msgpack:"r"`
	From     RoutingID `msgpack:"f"`
	To       RoutingID `msgpack:"t"`

	Source   []Edit[byte]            `msgpack:"s"`
	Routes   []Edit[routing.Route]   `msgpack:"o"`
	Accounts []Edit[routing.Account] `msgpack:"a"`
	Services []routing.Service       `msgpack:"e"`
	Limits   routing.Limits          `msgpack:"l"`
}

// RoutingID identifies a routing document with its content.
type RoutingID struct {
	Version uint64   `msgpack:"v"`
	Digest  [32]byte `msgpack:"d"`
}

func (r *Routing) id() RoutingID { return RoutingID{r.Version, r.Digest} }

// Sizes of the largest document that Apply builds, far above what routing.Document.Check allows.
const (
	maxPatchedSourceBytes = 64 << 20
	maxPatchedObjects     = 1 << 20
)

// NewRoutingPatch returns the patch that turns one document into another.
func NewRoutingPatch(from, to *Routing) *RoutingPatch {
	old, next := &from.Document, &to.Document
	return &RoutingPatch{
		Revision: to.Revision, From: from.id(), To: to.id(),
		Source: editSource(from.Source, to.Source),
		Routes: newEdits(old.Routes, next.Routes,
			func(r *routing.Route) routeKey { return routeKey{r.Host, r.PathPrefix} }, (*routing.Route).Equal),
		Accounts: newEdits(old.Accounts, next.Accounts,
			func(a *routing.Account) string { return a.Name }, func(a, b *routing.Account) bool { return reflect.DeepEqual(a, b) }),
		Services: next.Services, Limits: next.Limits,
	}
}

// routeKey is what no two routes of a document share.
type routeKey struct{ host, pathPrefix string }

// Apply returns the later document. It returns InvalidConfig if r is not the document to which the
// patch belongs or the result is not the one that the patch names.
func (p *RoutingPatch) Apply(r *Routing) (*Routing, error) {
	if r == nil || r.id() != p.From {
		return nil, fault.New(fault.InvalidConfig, "", "the patch to version %d belongs to another document", p.To.Version)
	}
	source, ok := applyEdits(r.Source, p.Source, maxPatchedSourceBytes)
	if !ok || sha256.Sum256(source) != p.To.Digest {
		return nil, fault.New(fault.InvalidConfig, "", "the patch to version %d gives another source", p.To.Version)
	}
	routes, ok := applyEdits(r.Document.Routes, p.Routes, maxPatchedObjects)
	if !ok {
		return nil, fault.New(fault.InvalidConfig, "", "the patch to version %d names missing routes", p.To.Version)
	}
	accounts, ok := applyEdits(r.Document.Accounts, p.Accounts, maxPatchedObjects)
	if !ok {
		return nil, fault.New(fault.InvalidConfig, "", "the patch to version %d names missing accounts", p.To.Version)
	}
	return &Routing{
		Version: p.To.Version, Digest: p.To.Digest, Source: source, Revision: p.Revision,
		Document: routing.Document{Version: p.To.Version, Routes: routes, Services: p.Services, Accounts: accounts, Limits: p.Limits},
	}, nil
}
