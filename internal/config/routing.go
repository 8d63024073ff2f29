package config

import (
	"crypto/sha256"
	"slices"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/routing"
)

// NewRouting returns the routing object of a document that was parsed from source.
func NewRouting(d *routing.Document, source []byte) *Routing {
	return &Routing{Version: d.Version, Digest: sha256.Sum256(source), Source: source, Document: *d}
}

// clone returns a deep copy; nil if r is nil.
func (r *Routing) clone() *Routing {
	if r == nil {
		return nil
	}
	n := *r
	n.Source, n.Document = slices.Clone(r.Source), r.Document.Clone()
	return &n
}

// putRouting replaces the routing document by one with a higher version. A lower version
// and a resend of the version in force change nothing. Both are accepted, because the
// document in force is at least as new. Other content under the version in force is a
// RevisionConflict.
func (e *editor) putRouting(r *Routing) error {
	ref := ObjectRef{Kind: ObjRouting}
	if r.Superseded {
		return nil
	}
	if current := e.next.Routing; current != nil && r.Version <= current.Version {
		if r.Version == current.Version && r.Digest != current.Digest {
			conflict := fault.New(fault.RevisionConflict, fault.NotRun, "version %d is in force with other content", r.Version)
			conflict.Revision = current.Revision
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
