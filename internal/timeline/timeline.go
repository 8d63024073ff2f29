// Package timeline keeps the latest events of a process and merges the events of many
// hosts into one sequence.
package timeline

import (
	"sort"
	"sync"

	"marigoldshunt/internal/hlc"
)

// Capacity is the number of events that a Ring keeps.
const Capacity = 8192

// Event is one occurrence on one host. Component is the part of the program that recorded
// it. Fields never contain secrets.
type Event struct {
	HLC       uint64            `json:"hlc"`
	Host      string            `json:"host"`
	Component string            `json:"part"`
	Kind      string            `json:"kind"`
	Fields    map[string]string `json:"fields,omitempty"`
}

// Ring keeps the latest Capacity events of one process, safe for concurrent use.
// Methods of a nil Ring record and return nothing.
type Ring struct {
	host  string
	clock *hlc.Clock

	mu     sync.Mutex
	events []Event
	// oldest is the index of the oldest event once the ring is full.
	oldest int
}

// NewRing returns an empty ring for the events of host.
func NewRing(host string, clock *hlc.Clock) *Ring {
	return &Ring{host: host, clock: clock}
}

// Add records an event. kv holds alternating keys and values; a last key without a value
// gets an empty one.
func (r *Ring) Add(component, kind string, kv ...string) {
	if r == nil {
		return
	}
	e := Event{Host: r.host, Component: component, Kind: kind, Fields: fieldMap(kv)}
	r.mu.Lock()
	defer r.mu.Unlock()
	// The clock is read under the lock, so that the ring is in clock order.
	e.HLC = r.clock.Now()
	if len(r.events) < Capacity {
		r.events = append(r.events, e)
		return
	}
	r.events[r.oldest] = e
	r.oldest = (r.oldest + 1) % Capacity
}

func fieldMap(kv []string) map[string]string {
	if len(kv) == 0 {
		return nil
	}
	m := make(map[string]string, (len(kv)+1)/2)
	for i := 0; i < len(kv); i += 2 {
		value := ""
		if i+1 < len(kv) {
			value = kv[i+1]
		}
		m[kv[i]] = value
	}
	return m
}

// Since returns the oldest events with a clock value above after, at most limit of
// them; a limit of 0 or less means all. Callers must not change the Fields maps.
func (r *Ring) Since(after uint64, limit int) []Event {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.events)
	first := sort.Search(n, func(i int) bool { return r.eventAt(i).HLC > after })
	count := n - first
	if limit > 0 && count > limit {
		count = limit
	}
	out := make([]Event, count)
	for i := range out {
		out[i] = r.eventAt(first + i)
	}
	return out
}

func (r *Ring) eventAt(i int) Event { return r.events[(r.oldest+i)%len(r.events)] }
