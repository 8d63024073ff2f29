package config

import (
	"maps"
	"slices"
)

// uniqueValues returns the values of the change's object that no other object may
// have: credential hashes and addresses. The key names the field for error messages.
func (ch Change) uniqueValues() (key string, values []string) {
	switch {
	case ch.Contract != nil:
		return "key_hashes", ch.Contract.KeyHashes
	case ch.Operator != nil:
		return "key_hashes", ch.Operator.KeyHashes
	case ch.Upstream != nil:
		return "address", []string{ch.Upstream.Address}
	case ch.Host != nil:
		return "address", []string{ch.Host.CallerAddress, ch.Host.AdminAddress, ch.Host.PeerAddress}
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
	c.eachUnique(func(ref ObjectRef, values []string) bool {
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

func (x *uniqueIndex) drop(ref ObjectRef) {
	for _, v := range x.values[ref] {
		delete(x.owner, v)
	}
	delete(x.values, ref)
}

// eachUnique visits the unique values of all objects until visit returns false.
func (c *Config) eachUnique(visit func(ref ObjectRef, values []string) bool) {
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

// claimUnique refuses a value that another object has. The message does not contain
// a credential hash.
func (e *editor) claimUnique(ref ObjectRef, ch Change) error {
	key, values := ch.uniqueValues()
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
	e.index.drop(ref)
	e.index.set(ref, values)
	return nil
}

func (e *editor) scanUnique(ref ObjectRef, key string, values []string) error {
	c := e.next
	var found ObjectRef
	// The plain comparisons keep this scan over all contracts free of allocation. The
	// first owner by kind and name is reported, so that all replicas give one answer.
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

// Validate tests a whole configuration, for example one that came from a snapshot.
func (c *Config) Validate() error {
	e := &editor{next: c, index: &uniqueIndex{owner: map[string]ObjectRef{}, values: map[ObjectRef][]string{}}}
	for _, ch := range c.All() {
		if err := ch.check(); err != nil {
			return err
		}
		if err := c.checkReferences(ch); err != nil {
			return err
		}
		ref, _ := ch.Ref()
		if err := e.claimUnique(ref, ch); err != nil {
			return err
		}
	}
	return nil
}

// All returns the objects as changes, in an order in which references precede their
// users, sorted by name within a kind.
func (c *Config) All() []Change {
	var out []Change
	for _, n := range slices.Sorted(maps.Keys(c.DataCentres)) {
		o := c.DataCentres[n]
		out = append(out, Change{DataCentre: &o})
	}
	for _, n := range slices.Sorted(maps.Keys(c.Pools)) {
		o := c.Pools[n]
		out = append(out, Change{Pool: &o})
	}
	for _, n := range slices.Sorted(maps.Keys(c.Hosts)) {
		o := c.Hosts[n]
		out = append(out, Change{Host: &o})
	}
	for _, n := range slices.Sorted(maps.Keys(c.Upstreams)) {
		o := c.Upstreams[n]
		out = append(out, Change{Upstream: &o})
	}
	for _, n := range slices.Sorted(maps.Keys(c.Contracts)) {
		o := c.Contracts[n]
		out = append(out, Change{Contract: &o})
	}
	for _, n := range slices.Sorted(maps.Keys(c.Operators)) {
		o := c.Operators[n]
		out = append(out, Change{Operator: &o})
	}
	if c.Routing != nil {
		out = append(out, Change{Routing: c.Routing})
	}
	p := c.Policy
	return append(out, Change{Policy: &p})
}
