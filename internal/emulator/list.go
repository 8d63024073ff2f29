package emulator

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/fault"
)

// List is the list of instances that an installation publishes, for several emulators. It names each
// emulator once, under the service, version and data centre of its own options, and with the id and
// state that it has at the time of the reading.
type List struct {
	mu     sync.Mutex
	listed []listedEmulator
}

type listedEmulator struct {
	*Emulator
	address string
}

// Add lists an emulator at an address. It returns an error if one of that name or address is listed
// already, since an id belongs to one instance of one service.
func (l *List) Add(e *Emulator, address string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, other := range l.listed {
		if other.opts.Name == e.opts.Name || other.address == address {
			return fault.New(fault.InvalidSettings, "", "upstream %q at %s: upstream %q of service %q is listed at %s",
				e.opts.Name, address, other.opts.Name, other.opts.Service, other.address)
		}
	}
	l.listed = append(l.listed, listedEmulator{e, address})
	return nil
}

// Remove removes an emulator from the list.
func (l *List) Remove(e *Emulator) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed = slices.DeleteFunc(l.listed, func(other listedEmulator) bool { return other.Emulator == e })
}

// Emulators returns the listed emulators.
func (l *List) Emulators() (list []*Emulator) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.listed {
		list = append(list, e.Emulator)
	}
	return list
}

// Entries returns the list as hosts read it.
func (l *List) Entries() (out catalog.Entries) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.listed {
		out.Instances = append(out.Instances, e.entry(e.address))
	}
	return out
}

// ServeHTTP serves the list.
func (l *List) ServeHTTP(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.Entries()) }

// entry describes the present instance in a list.
func (e *Emulator) entry(address string) catalog.Entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := catalog.Entry{
		ID: e.instance, Service: e.opts.Service, Version: e.opts.Version, DataCentre: e.opts.DataCentre, Address: address, Slots: e.opts.Slots,
		Draining: e.leaving, ColdForMS: e.coldForLocked().Milliseconds(),
	}
	if !e.opts.KeepsID {
		return entry
	}
	entry.Born = e.bornAt.UnixMilli()
	if !e.bornBefore.IsZero() && time.Since(e.bornAt) < e.opts.ListLag {
		entry.Born, entry.ColdForMS = e.bornBefore.UnixMilli(), 0
	}
	return entry
}
