package state

import (
	"slices"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/wire"
)

// Bounds of the patches that are kept. Hosts that lack more get the whole document.
const (
	maxRoutingPatches     = 256
	maxRoutingPatchesSize = 4 << 20
)

// routingPatches holds the latest changes of the routing document.
type routingPatches struct {
	// since is the revision from which on all changes are held.
	since uint64
	list  []sizedPatch
	// size is the encoded size of list in bytes.
	size int
}

type sizedPatch struct {
	patch *config.RoutingPatch
	size  int
}

// add adds the change from one document to the next. from is nil for the first document.
func (p *routingPatches) add(from, to *config.Routing) {
	if from == nil {
		*p = routingPatches{since: to.Revision}
		return
	}
	patch := config.NewRoutingPatch(from, to)
	encoded, err := wire.Marshal(patch)
	if err != nil || len(encoded) > maxRoutingPatchesSize {
		*p = routingPatches{since: to.Revision}
		return
	}
	p.list = append(p.list, sizedPatch{patch, len(encoded)})
	p.size += len(encoded)
	for len(p.list) > maxRoutingPatches || p.size > maxRoutingPatchesSize {
		p.since = p.list[0].patch.Revision
		p.size -= p.list[0].size
		p.list = slices.Delete(p.list, 0, 1)
	}
}

// RoutingPatches returns the changes of the routing document after a revision, in order. ok is false
// if they are not all kept or are no smaller than the document in force.
func (s *State) RoutingPatches(from uint64) (patches []*config.RoutingPatch, ok bool) {
	if from < s.patches.since || s.config.Routing == nil {
		return nil, false
	}
	size := 0
	for _, p := range s.patches.list {
		if p.patch.Revision > from {
			patches = append(patches, p.patch)
			size += p.size
		}
	}
	return patches, len(patches) > 0 && size < len(s.config.Routing.Source)
}

// WithoutRouting returns a delta in which the routing documents are replaced by placeholders, for
// hosts that get the patches instead.
func WithoutRouting(d *config.Delta) *config.Delta {
	out := &config.Delta{From: d.From, To: d.To, Changes: slices.Clone(d.Changes)}
	for i, c := range out.Changes {
		if r := c.Change.Routing; r != nil && !r.Superseded {
			out.Changes[i].Change = supersededRouting(r)
		}
	}
	return out
}
