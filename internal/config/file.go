package config

import (
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"

	"marigoldshunt/internal/fault"
)

// file is the form of a configuration file. Each table may name the revision that it
// replaces; without it, the object must not exist yet.
type file struct {
	DataCentre []struct {
		DataCentre
		expected
	} `toml:"data_centre"`
	Pool []struct {
		Pool
		expected
	} `toml:"pool"`
	Host []struct {
		Host
		expected
	} `toml:"host"`
	Upstream []struct {
		Upstream
		expected
	} `toml:"upstream"`
	Contract []struct {
		Contract
		expected
	} `toml:"contract"`
	Operator []struct {
		Operator
		expected
	} `toml:"operator"`
	Policy *struct {
		Policy
		expected
	} `toml:"policy"`
	Routing *fileRouting `toml:"routing"`
}

type expected struct {
	IfRevision uint64 `toml:"if_revision"`
}

// durationKeys are the keys whose values are durations with a unit.
var durationKeys = map[string][]string{
	ObjContract: {"max_run", "max_wait"},
	ObjPolicy:   {"keep_for", "claim_retention"},
}

// ParseFile reads a configuration file into changes, ordered so that references come
// before their users. It returns InvalidConfig with file, key and reason for syntax
// errors, unknown keys and impossible values.
func ParseFile(name string, data []byte) ([]Change, error) {
	var raw map[string]any
	if _, err := toml.Decode(string(data), &raw); err != nil {
		return nil, syntaxError(name, err)
	}
	if err := checkDurations(name, raw); err != nil {
		return nil, err
	}
	var f file
	meta, err := toml.Decode(string(data), &f)
	if err != nil {
		return nil, syntaxError(name, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fault.New(fault.InvalidConfig, fault.NotRun, "%s: %s: unknown key", name, unknown[0])
	}
	chs, err := f.changes()
	if err != nil {
		return nil, fault.New(fault.InvalidConfig, fault.NotRun, "%s: %s", name, fault.As(err).Message())
	}
	seen := map[ObjectRef]bool{}
	for _, ch := range chs {
		ref, err := ch.Ref()
		if err == nil {
			err = ch.check()
		}
		if err == nil && seen[ref] {
			err = invalid(ref, "", "the object occurs twice")
		}
		if err != nil {
			return nil, fault.New(fault.InvalidConfig, fault.NotRun, "%s: %s", name, fault.As(err).Message())
		}
		seen[ref] = true
	}
	return chs, nil
}

func (f *file) changes() ([]Change, error) {
	var out []Change
	for _, o := range f.DataCentre {
		out = append(out, Change{DataCentre: &o.DataCentre, IfRevision: o.IfRevision})
	}
	for _, o := range f.Pool {
		out = append(out, Change{Pool: &o.Pool, IfRevision: o.IfRevision})
	}
	for _, o := range f.Host {
		out = append(out, Change{Host: &o.Host, IfRevision: o.IfRevision})
	}
	for _, o := range f.Upstream {
		out = append(out, Change{Upstream: &o.Upstream, IfRevision: o.IfRevision})
	}
	for _, o := range f.Contract {
		out = append(out, Change{Contract: &o.Contract, IfRevision: o.IfRevision})
	}
	for _, o := range f.Operator {
		out = append(out, Change{Operator: &o.Operator, IfRevision: o.IfRevision})
	}
	if f.Policy != nil {
		out = append(out, Change{Policy: &f.Policy.Policy, IfRevision: f.Policy.IfRevision})
	}
	if f.Routing != nil {
		d, err := f.Routing.document()
		if err != nil {
			return nil, err
		}
		r := &Routing{Version: d.Version, Document: *d}
		if err := r.Complete(); err != nil {
			return nil, err
		}
		out = append(out, Change{Routing: r})
	}
	return out, nil
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
					if _, isText := v.(string); !isText {
						return fault.New(fault.InvalidConfig, fault.NotRun, "%s: %s: %v is not a duration such as \"30s\"",
							name, fmt.Sprintf("%s[%d].%s", kind, i, key), v)
					}
				}
			}
		}
	}
	return nil
}
