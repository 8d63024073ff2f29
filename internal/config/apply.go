package config

import (
	"maps"
	"slices"

	"marigoldshunt/internal/fault"
)

// Names of object kinds in ObjectRef and in error messages.
const (
	ObjContract   = "contract"
	ObjPool       = "pool"
	ObjUpstream   = "upstream"
	ObjDataCentre = "data_centre"
	ObjHost       = "host"
	ObjOperator   = "operator"
	ObjPolicy     = "policy"
	ObjRouting    = "routing"
)

// indexThreshold is the number of changes from which a batch builds an index of the
// values that must be unique. Below it, a scan per change costs less than the index.
const indexThreshold = 8

// Apply returns the configuration after one change. c stays as it was: only the map
// that holds the changed object is copied, the other maps are shared.
//
// It returns InvalidConfig when a check fails, NotFound for the deletion of an absent
// object and RevisionConflict when IfRevision is not the object's revision.
func (c *Config) Apply(ch Change, revision uint64) (*Config, error) {
	return c.ApplyAll([]Change{ch}, revision)
}

// ApplyAll applies several changes as one revision. Either all are applied or none,
// and an object may occur only once. Each touched map is copied once for the batch.
func (c *Config) ApplyAll(chs []Change, revision uint64) (*Config, error) {
	if revision <= c.Revision {
		return nil, fault.New(fault.Internal, fault.NotRun, "revision %d does not follow %d", revision, c.Revision)
	}
	next := *c
	next.Revision = revision
	e := &editor{next: &next, copied: map[string]bool{}, seen: map[ObjectRef]bool{}}
	if len(chs) >= indexThreshold {
		e.index = newUniqueIndex(c)
	}
	for _, ch := range chs {
		if err := e.apply(ch); err != nil {
			return nil, err
		}
	}
	return e.next, nil
}

// Ref names the object that the change concerns.
// It returns InvalidConfig unless the change holds exactly one object.
func (ch Change) Ref() (ObjectRef, error) {
	var refs []ObjectRef
	if ch.Contract != nil {
		refs = append(refs, ObjectRef{ObjContract, ch.Contract.Account})
	}
	if ch.Pool != nil {
		refs = append(refs, ObjectRef{ObjPool, ch.Pool.Name})
	}
	if ch.Upstream != nil {
		refs = append(refs, ObjectRef{ObjUpstream, ch.Upstream.Name})
	}
	if ch.DataCentre != nil {
		refs = append(refs, ObjectRef{ObjDataCentre, ch.DataCentre.Name})
	}
	if ch.Host != nil {
		refs = append(refs, ObjectRef{ObjHost, ch.Host.Name})
	}
	if ch.Operator != nil {
		refs = append(refs, ObjectRef{ObjOperator, ch.Operator.Name})
	}
	if ch.Policy != nil {
		refs = append(refs, ObjectRef{ObjPolicy, ""})
	}
	if ch.Routing != nil {
		refs = append(refs, ObjectRef{ObjRouting, ""})
	}
	if ch.Delete != nil {
		refs = append(refs, *ch.Delete)
	}
	if len(refs) != 1 {
		return ObjectRef{}, fault.New(fault.InvalidConfig, fault.NotRun,
			"a change holds %d objects, exactly one is allowed", len(refs))
	}
	return refs[0], nil
}

// RevisionOf returns the revision of an object, and whether the object exists.
func (c *Config) RevisionOf(ref ObjectRef) (uint64, bool) {
	switch ref.Kind {
	case ObjContract:
		o, ok := c.Contracts[ref.Name]
		return o.Revision, ok
	case ObjPool:
		o, ok := c.Pools[ref.Name]
		return o.Revision, ok
	case ObjUpstream:
		o, ok := c.Upstreams[ref.Name]
		return o.Revision, ok
	case ObjDataCentre:
		o, ok := c.DataCentres[ref.Name]
		return o.Revision, ok
	case ObjHost:
		o, ok := c.Hosts[ref.Name]
		return o.Revision, ok
	case ObjOperator:
		o, ok := c.Operators[ref.Name]
		return o.Revision, ok
	case ObjPolicy:
		return c.Policy.Revision, true
	case ObjRouting:
		if c.Routing != nil {
			return c.Routing.Revision, true
		}
	}
	return 0, false
}

// editor applies changes to a copy whose maps are still shared with the original
// until they are first written.
type editor struct {
	next   *Config
	copied map[string]bool
	seen   map[ObjectRef]bool
	index  *uniqueIndex
}

func own[V any](e *editor, kind string, m *map[string]V) map[string]V {
	if !e.copied[kind] {
		e.copied[kind] = true
		if *m = maps.Clone(*m); *m == nil {
			*m = map[string]V{}
		}
	}
	return *m
}

func (e *editor) apply(ch Change) error {
	ref, err := ch.Ref()
	if err != nil {
		return err
	}
	if e.seen[ref] {
		return invalid(ref, "", "the object occurs twice in one request")
	}
	e.seen[ref] = true
	if ch.Routing != nil {
		return e.putRouting(ch.Routing)
	}
	if err := e.compare(ref, ch); err != nil {
		return err
	}
	if ch.Delete != nil {
		return e.remove(ref)
	}
	if err := ch.check(); err != nil {
		return err
	}
	if err := e.next.checkReferences(ch); err != nil {
		return err
	}
	if err := e.checkRoom(ref); err != nil {
		return err
	}
	if err := e.claimUnique(ref, ch); err != nil {
		return err
	}
	e.put(ch.clone())
	return nil
}

// compare refuses a change that was made against another revision of the object.
func (e *editor) compare(ref ObjectRef, ch Change) error {
	current, exists := e.next.RevisionOf(ref)
	if current != ch.IfRevision {
		conflict := fault.New(fault.RevisionConflict, fault.NotRun, "%s %q is at revision %d, the change expects %d",
			ref.Kind, ref.Name, current, ch.IfRevision)
		conflict.Revision = current
		return conflict
	}
	if ch.Delete != nil && !exists {
		return fault.New(fault.NotFound, fault.NotRun, "%s %q does not exist", ref.Kind, ref.Name)
	}
	return nil
}

// maxObjects bounds the number of objects of each kind; about three times the target
// scale of the fleet.
var maxObjects = map[string]int{
	ObjContract: 20_000, ObjPool: 512, ObjUpstream: 4_000, ObjDataCentre: 64, ObjHost: 2_000, ObjOperator: 1_000,
}

// checkRoom refuses a new object when the limit of its kind is reached.
func (e *editor) checkRoom(ref ObjectRef) error {
	c := e.next
	if _, exists := c.RevisionOf(ref); exists {
		return nil
	}
	count := map[string]int{
		ObjContract: len(c.Contracts), ObjPool: len(c.Pools), ObjUpstream: len(c.Upstreams),
		ObjDataCentre: len(c.DataCentres), ObjHost: len(c.Hosts), ObjOperator: len(c.Operators),
	}[ref.Kind]
	if limit := maxObjects[ref.Kind]; count >= limit {
		return invalid(ref, "", "there are %d objects of this kind already, the most allowed", limit)
	}
	return nil
}

func (e *editor) put(ch Change) {
	c, rev := e.next, e.next.Revision
	switch {
	case ch.Contract != nil:
		ch.Contract.Revision = rev
		own(e, ObjContract, &c.Contracts)[ch.Contract.Account] = *ch.Contract
	case ch.Pool != nil:
		ch.Pool.Revision = rev
		own(e, ObjPool, &c.Pools)[ch.Pool.Name] = *ch.Pool
	case ch.Upstream != nil:
		ch.Upstream.Revision = rev
		own(e, ObjUpstream, &c.Upstreams)[ch.Upstream.Name] = *ch.Upstream
	case ch.DataCentre != nil:
		ch.DataCentre.Revision = rev
		own(e, ObjDataCentre, &c.DataCentres)[ch.DataCentre.Name] = *ch.DataCentre
	case ch.Host != nil:
		ch.Host.Revision = rev
		own(e, ObjHost, &c.Hosts)[ch.Host.Name] = *ch.Host
	case ch.Operator != nil:
		ch.Operator.Revision = rev
		own(e, ObjOperator, &c.Operators)[ch.Operator.Name] = *ch.Operator
	case ch.Policy != nil:
		c.Policy = *ch.Policy
		c.Policy.Revision = rev
	}
}

func (e *editor) remove(ref ObjectRef) error {
	c := e.next
	if err := c.checkUnused(ref); err != nil {
		return err
	}
	if e.index != nil {
		e.index.drop(ref)
	}
	switch ref.Kind {
	case ObjContract:
		delete(own(e, ref.Kind, &c.Contracts), ref.Name)
	case ObjPool:
		delete(own(e, ref.Kind, &c.Pools), ref.Name)
	case ObjUpstream:
		delete(own(e, ref.Kind, &c.Upstreams), ref.Name)
	case ObjDataCentre:
		delete(own(e, ref.Kind, &c.DataCentres), ref.Name)
	case ObjHost:
		delete(own(e, ref.Kind, &c.Hosts), ref.Name)
	case ObjOperator:
		delete(own(e, ref.Kind, &c.Operators), ref.Name)
	default:
		return invalid(ref, "", "objects of this kind cannot be deleted")
	}
	return nil
}

// Clone returns a deep copy.
func (c *Config) Clone() *Config {
	n := *c
	n.Contracts = cloneMap(c.Contracts, cloneContract)
	n.Pools = cloneMap(c.Pools, clonePool)
	n.Upstreams = cloneMap(c.Upstreams, func(u Upstream) Upstream { return u })
	n.DataCentres = cloneMap(c.DataCentres, func(d DataCentre) DataCentre { return d })
	n.Hosts = cloneMap(c.Hosts, func(h Host) Host { return h })
	n.Operators = cloneMap(c.Operators, cloneOperator)
	return &n
}

func cloneMap[V any](m map[string]V, clone func(V) V) map[string]V {
	n := make(map[string]V, len(m))
	for k, v := range m {
		n[k] = clone(v)
	}
	return n
}

func cloneContract(o Contract) Contract {
	o.KeyHashes, o.Pools = slices.Clone(o.KeyHashes), slices.Clone(o.Pools)
	return o
}

func clonePool(o Pool) Pool {
	o.Routes = slices.Clone(o.Routes)
	return o
}

func cloneOperator(o Operator) Operator {
	o.KeyHashes = slices.Clone(o.KeyHashes)
	return o
}

// clone keeps a later write to the caller's objects out of the configuration.
func (ch Change) clone() Change {
	if ch.Contract != nil {
		o := cloneContract(*ch.Contract)
		ch.Contract = &o
	}
	if ch.Pool != nil {
		o := clonePool(*ch.Pool)
		ch.Pool = &o
	}
	if ch.Upstream != nil {
		o := *ch.Upstream
		ch.Upstream = &o
	}
	if ch.DataCentre != nil {
		o := *ch.DataCentre
		ch.DataCentre = &o
	}
	if ch.Host != nil {
		o := *ch.Host
		ch.Host = &o
	}
	if ch.Operator != nil {
		o := cloneOperator(*ch.Operator)
		ch.Operator = &o
	}
	return ch
}

// Load puts an object of a snapshot into c with the revision that it carries. It is
// only for a configuration that nobody else reads yet.
func (c *Config) Load(ch Change) error {
	if _, err := ch.Ref(); err != nil {
		return err
	}
	switch {
	case ch.Contract != nil:
		c.Contracts[ch.Contract.Account] = *ch.Contract
	case ch.Pool != nil:
		c.Pools[ch.Pool.Name] = *ch.Pool
	case ch.Upstream != nil:
		c.Upstreams[ch.Upstream.Name] = *ch.Upstream
	case ch.DataCentre != nil:
		c.DataCentres[ch.DataCentre.Name] = *ch.DataCentre
	case ch.Host != nil:
		c.Hosts[ch.Host.Name] = *ch.Host
	case ch.Operator != nil:
		c.Operators[ch.Operator.Name] = *ch.Operator
	case ch.Policy != nil:
		c.Policy = *ch.Policy
	case ch.Routing != nil:
		c.Routing = ch.Routing
	case ch.Delete != nil:
		return invalid(*ch.Delete, "", "a snapshot holds no deletions")
	}
	return nil
}
