package config

import (
	"maps"
	"slices"
)

// uniqueValues returns the values of the change's object that no other object may
// have: credential hashes and addresses. key names these values in error messages and
// tells scanUnique which objects to scan.
func (change Change) uniqueValues() (key string, values []string) {
	switch {
	case change.Contract != nil:
		return "key_hashes", change.Contract.KeyHashes
	case change.Operator != nil:
		return "key_hashes", change.Operator.KeyHashes
	case change.Upstream != nil:
		return "address", []string{change.Upstream.Address}
	case change.Host != nil:
		return "address", []string{change.Host.CallerAddress, change.Host.AdminAddress, change.Host.PeerAddress}
	}
	return "", nil
}

// uniqueIndex maps each value that must be unique to the object that has it.
type uniqueIndex struct {
	owner  map[string]ObjectRef
	values map[ObjectRef][]string
}

func newUniqueIndex(c *Config) *uniqueIndex {
	x := &uniqueIndex{owner: map[string]ObjectRef{}, values: map[ObjectRef][]string{}}
	c.eachUniqueValues(func(ref ObjectRef, values []string) bool {
		x.set(ref, values)
		return true
	})
	return x
}

func (x *uniqueIndex) set(ref ObjectRef, values []string) {
	x.values[ref] = values
	for _, v := range values {
		x.owner[v] = ref
	}
}

func (x *uniqueIndex) remove(ref ObjectRef) {
	for _, v := range x.values[ref] {
		delete(x.owner, v)
	}
	delete(x.values, ref)
}

// eachUniqueValues visits the unique values of all objects until visit returns false.
func (c *Config) eachUniqueValues(visit func(ref ObjectRef, values []string) bool) {
	for n, o := range c.Contracts {
		if !visit(ObjectRef{ObjContract, n}, o.KeyHashes) {
			return
		}
	}
	for n, o := range c.Operators {
		if !visit(ObjectRef{ObjOperator, n}, o.KeyHashes) {
			return
		}
	}
	for n, o := range c.Upstreams {
		if !visit(ObjectRef{ObjUpstream, n}, []string{o.Address}) {
			return
		}
	}
	for n, o := range c.Hosts {
		if !visit(ObjectRef{ObjHost, n}, []string{o.CallerAddress, o.AdminAddress, o.PeerAddress}) {
			return
		}
	}
}

// reserveUnique refuses a change with a value that another object has; if there is an
// index, it updates it. The message does not contain a credential hash.
func (e *editor) reserveUnique(ref ObjectRef, change Change) error {
	key, values := change.uniqueValues()
	for i, v := range values {
		if slices.Contains(values[:i], v) {
			return invalid(ref, key, "the same value is given twice")
		}
	}
	if len(values) == 0 && e.index == nil {
		return nil
	}
	if e.index == nil {
		return e.scanUnique(ref, key, values)
	}
	for _, v := range values {
		if owner, ok := e.index.owner[v]; ok && owner != ref {
			return invalid(ref, key, "already in use by %s %q", owner.Kind, owner.Name)
		}
	}
	e.index.remove(ref)
	e.index.set(ref, values)
	return nil
}

func (e *editor) scanUnique(ref ObjectRef, key string, values []string) error {
	c := e.next
	var found ObjectRef
	// Plain comparisons keep this scan over all contracts free of allocations. The
	// first owner by kind and name is reported, so that all replicas give the same answer.
	match := func(kind, name, value string) {
		if !slices.Contains(values, value) || (kind == ref.Kind && name == ref.Name) {
			return
		}
		if found.Kind == "" || kind < found.Kind || kind == found.Kind && name < found.Name {
			found = ObjectRef{kind, name}
		}
	}
	if key == "address" {
		for n, o := range c.Upstreams {
			match(ObjUpstream, n, o.Address)
		}
		for n, o := range c.Hosts {
			match(ObjHost, n, o.CallerAddress)
			match(ObjHost, n, o.AdminAddress)
			match(ObjHost, n, o.PeerAddress)
		}
	} else {
		for n, o := range c.Contracts {
			for _, h := range o.KeyHashes {
				match(ObjContract, n, h)
			}
		}
		for n, o := range c.Operators {
			for _, h := range o.KeyHashes {
				match(ObjOperator, n, h)
			}
		}
	}
	if found.Kind != "" {
		return invalid(ref, key, "already in use by %s %q", found.Kind, found.Name)
	}
	return nil
}

// Validate checks a complete configuration, for example one from a snapshot.
func (c *Config) Validate() error {
	e := &editor{next: c, index: &uniqueIndex{owner: map[string]ObjectRef{}, values: map[ObjectRef][]string{}}}
	for _, change := range c.Objects() {
		if err := change.check(); err != nil {
			return err
		}
		if err := c.checkReferences(change); err != nil {
			return err
		}
		ref, _ := change.Ref()
		if err := e.reserveUnique(ref, change); err != nil {
			return err
		}
	}
	return nil
}

// appendSorted appends the objects of one kind, sorted by name.
func appendSorted[V any](changes []Change, objects map[string]V, change func(*V) Change) []Change {
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		o := objects[name]
		changes = append(changes, change(&o))
	}
	return changes
}

// Objects returns the objects as changes. An object precedes those that refer to it, and
// objects of one kind are sorted by name.
func (c *Config) Objects() []Change {
	var changes []Change
	changes = appendSorted(changes, c.DataCentres, func(o *DataCentre) Change { return Change{DataCentre: o} })
	changes = appendSorted(changes, c.Pools, func(o *Pool) Change { return Change{Pool: o} })
	changes = appendSorted(changes, c.Hosts, func(o *Host) Change { return Change{Host: o} })
	changes = appendSorted(changes, c.Upstreams, func(o *Upstream) Change { return Change{Upstream: o} })
	changes = appendSorted(changes, c.Contracts, func(o *Contract) Change { return Change{Contract: o} })
	changes = appendSorted(changes, c.Operators, func(o *Operator) Change { return Change{Operator: o} })
	if c.Routing != nil {
		changes = append(changes, Change{Routing: c.Routing})
	}
	p := c.Policy
	return append(changes, Change{Policy: &p})
}
