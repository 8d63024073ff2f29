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

// indexThreshold is the batch size from which ApplyAll builds an index of the values
// that must be unique. For smaller batches, a scan per change costs less than the index.
const indexThreshold = 8

// Apply returns the configuration after one change. c is not modified: only the map
// that holds the changed object is copied, the other maps are shared.
//
// It returns InvalidConfig when a check fails, NotFound for the deletion of an absent
// object and RevisionConflict when IfRevision is not the object's revision.
func (c *Config) Apply(change Change, revision uint64) (*Config, error) {
	return c.ApplyAll([]Change{change}, revision)
}

// ApplyAll applies several changes as one revision. Either all are applied or none,
// and an object may occur only once. Each map that changes is copied once per batch.
func (c *Config) ApplyAll(changes []Change, revision uint64) (*Config, error) {
	if revision <= c.Revision {
		return nil, fault.New(fault.Internal, fault.NotRun, "revision %d does not follow %d", revision, c.Revision)
	}
	next := *c
	next.Revision = revision
	e := &editor{next: &next, copied: map[string]bool{}, seen: map[ObjectRef]bool{}}
	if len(changes) >= indexThreshold {
		e.index = newUniqueIndex(c)
	}
	for _, change := range changes {
		if err := e.apply(change); err != nil {
			return nil, err
		}
	}
	return e.next, nil
}

// Ref returns the reference of the object that the change sets or deletes.
// It returns InvalidConfig unless the change holds exactly one object.
func (change Change) Ref() (ObjectRef, error) {
	var refs []ObjectRef
	if change.Contract != nil {
		refs = append(refs, ObjectRef{ObjContract, change.Contract.Account})
	}
	if change.Pool != nil {
		refs = append(refs, ObjectRef{ObjPool, change.Pool.Name})
	}
	if change.Upstream != nil {
		refs = append(refs, ObjectRef{ObjUpstream, change.Upstream.Name})
	}
	if change.DataCentre != nil {
		refs = append(refs, ObjectRef{ObjDataCentre, change.DataCentre.Name})
	}
	if change.Host != nil {
		refs = append(refs, ObjectRef{ObjHost, change.Host.Name})
	}
	if change.Operator != nil {
		refs = append(refs, ObjectRef{ObjOperator, change.Operator.Name})
	}
	if change.Policy != nil {
		refs = append(refs, ObjectRef{ObjPolicy, ""})
	}
	if change.Routing != nil {
		refs = append(refs, ObjectRef{ObjRouting, ""})
	}
	if change.Delete != nil {
		refs = append(refs, *change.Delete)
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

// editor applies changes to a copy of a configuration. The copy shares each map with
// the original until the first write to that map.
type editor struct {
	next   *Config
	copied map[string]bool
	seen   map[ObjectRef]bool
	index  *uniqueIndex
}

// writableMap returns the map of objects of a kind, which it clones before the first
// write.
func writableMap[V any](e *editor, kind string, m *map[string]V) map[string]V {
	if !e.copied[kind] {
		e.copied[kind] = true
		if *m = maps.Clone(*m); *m == nil {
			*m = map[string]V{}
		}
	}
	return *m
}

func (e *editor) apply(change Change) error {
	ref, err := change.Ref()
	if err != nil {
		return err
	}
	if e.seen[ref] {
		return invalid(ref, "", "the object occurs twice in one request")
	}
	e.seen[ref] = true
	if change.Routing != nil {
		return e.putRouting(change.Routing)
	}
	if err := e.checkRevision(ref, change); err != nil {
		return err
	}
	if change.Delete != nil {
		return e.remove(ref)
	}
	if err := change.check(); err != nil {
		return err
	}
	if err := e.next.checkReferences(change); err != nil {
		return err
	}
	if err := e.checkObjectLimit(ref); err != nil {
		return err
	}
	if err := e.reserveUnique(ref, change); err != nil {
		return err
	}
	e.put(change.clone())
	return nil
}

// checkRevision refuses a change that expects another revision of the object.
func (e *editor) checkRevision(ref ObjectRef, change Change) error {
	current, exists := e.next.RevisionOf(ref)
	if current != change.IfRevision {
		conflict := fault.New(fault.RevisionConflict, fault.NotRun, "%s %q is at revision %d, the change expects %d",
			ref.Kind, ref.Name, current, change.IfRevision)
		conflict.Revision = current
		return conflict
	}
	if change.Delete != nil && !exists {
		return fault.New(fault.NotFound, fault.NotRun, "%s %q does not exist", ref.Kind, ref.Name)
	}
	return nil
}

// maxObjects is the largest number of objects of each kind, about three times the
// target scale of the fleet.
var maxObjects = map[string]int{
	ObjContract: 20_000, ObjPool: 512, ObjUpstream: 4_000, ObjDataCentre: 64, ObjHost: 2_000, ObjOperator: 1_000,
}

// checkObjectLimit refuses a new object when the limit of its kind is reached.
func (e *editor) checkObjectLimit(ref ObjectRef) error {
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

func (e *editor) put(change Change) {
	c, revision := e.next, e.next.Revision
	switch {
	case change.Contract != nil:
		change.Contract.Revision = revision
		writableMap(e, ObjContract, &c.Contracts)[change.Contract.Account] = *change.Contract
	case change.Pool != nil:
		change.Pool.Revision = revision
		writableMap(e, ObjPool, &c.Pools)[change.Pool.Name] = *change.Pool
	case change.Upstream != nil:
		change.Upstream.Revision = revision
		writableMap(e, ObjUpstream, &c.Upstreams)[change.Upstream.Name] = *change.Upstream
	case change.DataCentre != nil:
		change.DataCentre.Revision = revision
		writableMap(e, ObjDataCentre, &c.DataCentres)[change.DataCentre.Name] = *change.DataCentre
	case change.Host != nil:
		change.Host.Revision = revision
		writableMap(e, ObjHost, &c.Hosts)[change.Host.Name] = *change.Host
	case change.Operator != nil:
		change.Operator.Revision = revision
		writableMap(e, ObjOperator, &c.Operators)[change.Operator.Name] = *change.Operator
	case change.Policy != nil:
		c.Policy = *change.Policy
		c.Policy.Revision = revision
	}
}

func (e *editor) remove(ref ObjectRef) error {
	c := e.next
	if err := c.checkUnreferenced(ref); err != nil {
		return err
	}
	if e.index != nil {
		e.index.remove(ref)
	}
	switch ref.Kind {
	case ObjContract:
		delete(writableMap(e, ref.Kind, &c.Contracts), ref.Name)
	case ObjPool:
		delete(writableMap(e, ref.Kind, &c.Pools), ref.Name)
	case ObjUpstream:
		delete(writableMap(e, ref.Kind, &c.Upstreams), ref.Name)
	case ObjDataCentre:
		delete(writableMap(e, ref.Kind, &c.DataCentres), ref.Name)
	case ObjHost:
		delete(writableMap(e, ref.Kind, &c.Hosts), ref.Name)
	case ObjOperator:
		delete(writableMap(e, ref.Kind, &c.Operators), ref.Name)
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
	n.Routing = c.Routing.clone()
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

// clone copies the object of the change, so that a later write by the caller does not
// reach the configuration.
func (change Change) clone() Change {
	if change.Contract != nil {
		o := cloneContract(*change.Contract)
		change.Contract = &o
	}
	if change.Pool != nil {
		o := clonePool(*change.Pool)
		change.Pool = &o
	}
	if change.Upstream != nil {
		o := *change.Upstream
		change.Upstream = &o
	}
	if change.DataCentre != nil {
		o := *change.DataCentre
		change.DataCentre = &o
	}
	if change.Host != nil {
		o := *change.Host
		change.Host = &o
	}
	if change.Operator != nil {
		o := cloneOperator(*change.Operator)
		change.Operator = &o
	}
	return change
}

// LoadObject adds an object of a snapshot to c and keeps the object's revision. It modifies
// c, so nothing else may read c yet.
func (c *Config) LoadObject(change Change) error {
	if _, err := change.Ref(); err != nil {
		return err
	}
	switch {
	case change.Contract != nil:
		c.Contracts[change.Contract.Account] = *change.Contract
	case change.Pool != nil:
		c.Pools[change.Pool.Name] = *change.Pool
	case change.Upstream != nil:
		c.Upstreams[change.Upstream.Name] = *change.Upstream
	case change.DataCentre != nil:
		c.DataCentres[change.DataCentre.Name] = *change.DataCentre
	case change.Host != nil:
		c.Hosts[change.Host.Name] = *change.Host
	case change.Operator != nil:
		c.Operators[change.Operator.Name] = *change.Operator
	case change.Policy != nil:
		c.Policy = *change.Policy
	case change.Routing != nil:
		c.Routing = change.Routing
	case change.Delete != nil:
		return invalid(*change.Delete, "", "a snapshot holds no deletions")
	}
	return nil
}
