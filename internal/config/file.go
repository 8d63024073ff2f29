package config

import (
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"

	"marigoldshunt/internal/fault"
)

// configFile is the TOML structure of a configuration file. Each table but the routing
// document may name the revision of the object that it replaces; without it, the object
// must not exist yet.
type configFile struct {
	DataCentre []struct {
		DataCentre
		expectedRevision
	} `toml:"data_centre"`
	Pool []struct {
		Pool
		expectedRevision
	} `toml:"pool"`
	Host []struct {
		Host
		expectedRevision
	} `toml:"host"`
	Upstream []struct {
		Upstream
		expectedRevision
	} `toml:"upstream"`
	Contract []struct {
		Contract
		expectedRevision
	} `toml:"contract"`
	Operator []struct {
		Operator
		expectedRevision
	} `toml:"operator"`
	Policy *struct {
		Policy
		expectedRevision
	} `toml:"policy"`
	Routing *fileRouting `toml:"routing"`
}

type expectedRevision struct {
	IfRevision uint64 `toml:"if_revision"`
}

// durationKeys are the keys of each kind of object whose values are durations with a
// unit.
var durationKeys = map[string][]string{
	ObjContract: {"max_run", "max_wait"},
	ObjPolicy:   {"keep_for", "claim_retention"},
}

// ParseFile parses a configuration file into changes. An object comes before those that
// refer to it. For syntax errors, unknown keys and invalid values it returns
// InvalidConfig with file, key and reason.
func ParseFile(name string, data []byte) ([]Change, error) {
	var raw map[string]any
	if _, err := toml.Decode(string(data), &raw); err != nil {
		return nil, syntaxError(name, err)
	}
	if err := checkDurations(name, raw); err != nil {
		return nil, err
	}
	var f configFile
	meta, err := toml.Decode(string(data), &f)
	if err != nil {
		return nil, syntaxError(name, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fault.New(fault.InvalidConfig, fault.NotRun, "%s: %s: unknown key", name, unknown[0])
	}
	changes, err := f.changes()
	if err != nil {
		return nil, fault.New(fault.InvalidConfig, fault.NotRun, "%s: %s", name, fault.As(err).Message())
	}
	seen := map[ObjectRef]bool{}
	for _, change := range changes {
		ref, err := change.Ref()
		if err == nil {
			err = change.check()
		}
		if err == nil && seen[ref] {
			err = invalid(ref, "", "the object occurs twice")
		}
		if err != nil {
			return nil, fault.New(fault.InvalidConfig, fault.NotRun, "%s: %s", name, fault.As(err).Message())
		}
		seen[ref] = true
	}
	return changes, nil
}

func (f *configFile) changes() ([]Change, error) {
	var changes []Change
	for _, o := range f.DataCentre {
		changes = append(changes, Change{DataCentre: &o.DataCentre, IfRevision: o.IfRevision})
	}
	for _, o := range f.Pool {
		changes = append(changes, Change{Pool: &o.Pool, IfRevision: o.IfRevision})
	}
	for _, o := range f.Host {
		changes = append(changes, Change{Host: &o.Host, IfRevision: o.IfRevision})
	}
	for _, o := range f.Upstream {
		changes = append(changes, Change{Upstream: &o.Upstream, IfRevision: o.IfRevision})
	}
	for _, o := range f.Contract {
		changes = append(changes, Change{Contract: &o.Contract, IfRevision: o.IfRevision})
	}
	for _, o := range f.Operator {
		changes = append(changes, Change{Operator: &o.Operator, IfRevision: o.IfRevision})
	}
	if f.Policy != nil {
		changes = append(changes, Change{Policy: &f.Policy.Policy, IfRevision: f.Policy.IfRevision})
	}
	if f.Routing != nil {
		d, err := f.Routing.document()
		if err != nil {
			return nil, err
		}
		r := &Routing{Version: d.Version, Document: *d}
		if err := r.FillDerived(); err != nil {
			return nil, err
		}
		changes = append(changes, Change{Routing: r})
	}
	return changes, nil
}

func syntaxError(name string, err error) error {
	var p toml.ParseError
	if errors.As(err, &p) {
		return fault.New(fault.InvalidConfig, fault.NotRun, "%s: line %d: %s: %s", name, p.Position.Line, p.LastKey, p.Message)
	}
	return fault.New(fault.InvalidConfig, fault.NotRun, "%s: %s", name, err)
}

// checkDurations refuses a number without a unit, which the decoder would read as
// nanoseconds.
func checkDurations(name string, raw map[string]any) error {
	for kind, keys := range durationKeys {
		var tables []map[string]any
		switch v := raw[kind].(type) {
		case map[string]any:
			tables = []map[string]any{v}
		case []map[string]any:
			tables = v
		}
		for i, t := range tables {
			for _, key := range keys {
				if v, ok := t[key]; ok {
					if _, isString := v.(string); !isString {
						return fault.New(fault.InvalidConfig, fault.NotRun, "%s: %s: %v is not a duration such as \"30s\"",
							name, fmt.Sprintf("%s[%d].%s", kind, i, key), v)
					}
				}
			}
		}
	}
	return nil
}
