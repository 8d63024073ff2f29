package catalog

import (
	"net/netip"
	"time"
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

// Instance converts the entry. ok is false without an ID, a service or a valid address, or
// with a negative ColdForMS: such an entry describes no usable instance.
func (e Entry) Instance() (i Instance, ok bool) {
	if _, err := netip.ParseAddrPort(e.Address); err != nil || e.ID == "" || e.Service == "" || e.ColdForMS < 0 {
		return Instance{}, false
	}
	return Instance{
		ID: e.ID, Born: e.Born, Service: e.Service, Version: e.Version, Address: e.Address, DataCentre: e.DataCentre, Slots: e.Slots,
		Draining: e.Draining, ColdFor: time.Duration(e.ColdForMS) * time.Millisecond,
	}, true
}
