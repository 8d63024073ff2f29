// Package membership judges from heartbeats which hosts are alive. It reads no clock.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// Options set the sensitivity of a Tracker.
type Options struct {
	// Interval is the time between heartbeats of a host.
	Interval time.Duration
	// Missed is the number of missed heartbeats after which a host is suspect.
	Missed int
	// Recover is the number of heartbeats in a row that a suspect host needs to count
	// as alive again. It keeps a host with a bad link from changing state all the time.
	Recover int
	// Forget is the silence after which a host is dropped.
	Forget time.Duration
	// MaxHosts bounds the number of tracked hosts.
	MaxHosts int
}

// Heartbeat is what a host says about itself.
type Heartbeat struct {
	Host    string
	Boot    uint64
	Leaving bool
	// Ready is true when the host can take work.
	Ready bool
	// DataCentre is where the host stands.
	DataCentre string
}

// Status is the judgement about one host.
type Status struct {
	Heartbeat
	Alive bool
	// Heard is the time of the last heartbeat.
	Heard time.Duration
	run   int
}

// Tracker holds the hosts that were heard. It is not safe for concurrent use.
type Tracker struct {
	o       Options
	hosts   map[string]*Status
	version uint64
}

// New returns an empty tracker.
func New(o Options) *Tracker { return &Tracker{o: o, hosts: map[string]*Status{}} }

// limit is the silence that makes a host suspect. The half interval allows for the
// delay of the network and of the sender's ticks.
func (t *Tracker) limit() time.Duration {
	return time.Duration(t.o.Missed)*t.o.Interval + t.o.Interval/2
}

// Heard records a heartbeat. A host that was not known is alive at once.
func (t *Tracker) Heard(h Heartbeat, now time.Duration) {
	s := t.hosts[h.Host]
	if s == nil {
		if len(t.hosts) >= t.o.MaxHosts {
			return
		}
		t.hosts[h.Host] = &Status{Heartbeat: h, Alive: true, Heard: now}
		t.version++
		return
	}
	if now-s.Heard > t.limit() {
		t.setAlive(s, false)
	}
	if s.Heartbeat != h {
		s.Heartbeat = h
		t.version++
	}
	s.Heard = now
	if s.Alive {
		return
	}
	if s.run++; s.run >= t.o.Recover {
		t.setAlive(s, true)
	}
}

// Tick marks silent hosts as suspect and drops those that are silent for long.
func (t *Tracker) Tick(now time.Duration) {
	for name, s := range t.hosts {
		switch silence := now - s.Heard; {
		case silence > t.o.Forget:
			delete(t.hosts, name)
			t.version++
		case silence > t.limit():
			t.setAlive(s, false)
		}
	}
}

func (t *Tracker) setAlive(s *Status, alive bool) {
	s.run = 0
	if s.Alive != alive {
		s.Alive = alive
		t.version++
	}
}

// Version changes whenever the judgement about a host does.
func (t *Tracker) Version() uint64 { return t.version }

// Get returns the status of a host.
func (t *Tracker) Get(host string) (Status, bool) {
	if s := t.hosts[host]; s != nil {
		return *s, true
	}
	return Status{}, false
}

// Hosts returns all tracked hosts in order of names.
func (t *Tracker) Hosts() []Status {
	out := make([]Status, 0, len(t.hosts))
	for _, s := range t.hosts {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Host, b.Host) })
	return out
}
