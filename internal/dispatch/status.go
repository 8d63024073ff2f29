package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// InstanceStatus is a host's view of an upstream instance.
type InstanceStatus struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Version is that of the instance's software, empty when unknown.
	Version string `json:"version,omitempty"`
	// State is ready, cold, suspect, paused, draining, out or gone.
	State string `json:"state"`
	// Running counts the requests of this host.
	Running int `json:"running"`
	// Backlog counts the prompt tokens in progress and queued, as reported by the owner
	// of the gate.
	Backlog int `json:"backlog_tokens"`
	// Failing is the fraction of recent responses that failed.
	Failing float64 `json:"failing"`
	// RateLimit is the number of requests per second that the instance takes from all hosts, 0
	// for no limit.
	RateLimit float64 `json:"rate_limit,omitempty"`
}

// Status lists the instances in order of service and ID.
func (d *Dispatcher) Status(now time.Time) []InstanceStatus {
	out := make([]InstanceStatus, 0, len(d.instances))
	for _, x := range d.instances {
		out = append(out, InstanceStatus{
			ID: x.ID, Service: x.Service, Address: x.Address, DataCentre: x.DataCentre, Version: x.Version, State: d.state(x, now),
			Running: x.running, Backlog: x.gate.Backlog, Failing: d.failureRate(x, now), RateLimit: x.rateLimit,
		})
	}
	slices.SortFunc(out, func(a, b InstanceStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func (d *Dispatcher) state(x *instance, now time.Time) string {
	switch {
	case x.replaced:
		return "gone"
	case x.Draining || x.leaving:
		return "draining"
	case d.outOfService[x.DataCentre]:
		return "out"
	case now.Before(x.pausedUntil):
		return "paused"
	case now.Before(x.suspectUntil):
		return "suspect"
	case now.Before(x.coldUntil):
		return "cold"
	}
	return "ready"
}
