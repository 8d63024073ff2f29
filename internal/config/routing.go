package config

import (
	"crypto/sha256"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/routing"
)

// NewRouting returns the routing object of a document and of the bytes it was read from.
func NewRouting(d *routing.Document, source []byte) *Routing {
	return &Routing{Version: d.Version, Digest: sha256.Sum256(source), Source: source, Document: *d}
}

// putRouting replaces the routing document by one with a higher version. A lower version
// and a resend of the version in force change nothing; both count as accepted, because a
// higher version has overtaken them. Other content under the version in force is a
// RevisionConflict.
func (e *editor) putRouting(r *Routing) error {
	ref := ObjectRef{Kind: ObjRouting}
	if r.Superseded {
		return nil
	}
	if now := e.next.Routing; now != nil && r.Version <= now.Version {
		if r.Version == now.Version && r.Digest != now.Digest {
			conflict := fault.New(fault.RevisionConflict, fault.NotRun, "version %d is in force with other content", r.Version)
			conflict.Revision = now.Revision
			return conflict
		}
		return nil
	}
	if r.Version != r.Document.Version {
		return invalid(ref, "version", "%d differs from the document's %d", r.Version, r.Document.Version)
	}
	if err := r.Document.Check(); err != nil {
		return err
	}
	next := *r
	next.Revision = e.next.Revision
	e.next.Routing = &next
	return nil
}
