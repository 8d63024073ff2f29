package catalog

import (
	"encoding/json"
	"time"

	"marigoldshunt/internal/fault"
)

// Entry is the JSON form of an Instance in the project's own list.
type Entry struct {
	ID         string `json:"id"`
	Born       int64  `json:"born"`
	Service    string `json:"service"`
	Version    string `json:"version,omitempty"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Slots      int    `json:"slots"`
	Draining   bool   `json:"draining"`
	ColdForMS  int64  `json:"cold_for_ms"`
}

// Entries is the JSON form of a list.
type Entries struct {
	Instances []Entry `json:"instances"`
}

// Instance converts the entry. ok is false if it describes no usable instance.
func (e Entry) Instance() (i Instance, ok bool) {
	if e.ColdForMS < 0 || e.ColdForMS > maxColdFor.Milliseconds() {
		return Instance{}, false
	}
	i = Instance{
		ID: e.ID, Born: e.Born, Service: e.Service, Version: e.Version, Address: e.Address, DataCentre: e.DataCentre, Slots: e.Slots,
		Draining: e.Draining, ColdFor: time.Duration(e.ColdForMS) * time.Millisecond,
	}
	return i, i.Usable()
}

// DecodeEntries decodes a list in the project's own form. Entries that can't be decoded describe no
// usable instance and are skipped.
func DecodeEntries(body []byte) ([]Instance, error) {
	var in struct {
		Instances []json.RawMessage `json:"instances"`
	}
	if err := json.Unmarshal(DropUnreadable(body), &in); err != nil {
		return nil, fault.Wrap(err, fault.UpstreamFailed, "", "the list of instances can't be read")
	}
	var out []Instance
	for _, raw := range in.Instances {
		var e Entry
		if json.Unmarshal(raw, &e) != nil {
			continue
		}
		if i, ok := e.Instance(); ok {
			out = append(out, i)
		}
	}
	return out, nil
}
