// Package membership is a failure detector: it decides from heartbeats which hosts are
// alive. Callers pass it the time.
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
	// SuspectAfterMissed is the number of missed heartbeats after which a host is suspect.
	SuspectAfterMissed int
	// RecoverAfterHeartbeats is the number of consecutive heartbeats that a suspect host
	// needs to count as alive again. It keeps a host with a bad link from changing state all the
	// time.
	RecoverAfterHeartbeats int
	// ForgetAfter is the time without a heartbeat after which a host is dropped.
	ForgetAfter time.Duration
	// MaxHosts bounds the number of tracked hosts.
	MaxHosts int
}

// Heartbeat is what a host reports about itself.
type Heartbeat struct {
	Host    string
	Boot    uint64
	Leaving bool
	// Ready is true when the host can take work.
	Ready bool
	// DataCentre is the data centre of the host.
	DataCentre string
}

// Status is the last heartbeat of one host and whether the host counts as alive.
type Status struct {
	Heartbeat
	Alive bool
	// LastHeartbeat is the time of the last heartbeat.
	LastHeartbeat time.Duration
	// consecutiveHeartbeats counts the heartbeats that a suspect host has sent since its last
	// silence.
	consecutiveHeartbeats int
}

// Tracker holds the hosts that sent heartbeats. It is not safe for concurrent use.
type Tracker struct {
	opts    Options
	hosts   map[string]*Status
	version uint64
}

// New returns an empty tracker.
func New(opts Options) *Tracker { return &Tracker{opts: opts, hosts: map[string]*Status{}} }

// suspectAfter returns the time without a heartbeat after which a host is suspect. The
// half interval allows for the delay of the network and of the sender's timer.
func (t *Tracker) suspectAfter() time.Duration {
	return time.Duration(t.opts.SuspectAfterMissed)*t.opts.Interval + t.opts.Interval/2
}

// RecordHeartbeat records a heartbeat. A new host counts as alive at once; it is ignored
// when MaxHosts hosts are tracked already.
func (t *Tracker) RecordHeartbeat(h Heartbeat, now time.Duration) {
	s := t.hosts[h.Host]
	if s == nil {
		if len(t.hosts) >= t.opts.MaxHosts {
			return
		}
		t.hosts[h.Host] = &Status{Heartbeat: h, Alive: true, LastHeartbeat: now}
		t.version++
		return
	}
	if now-s.LastHeartbeat > t.suspectAfter() {
		t.setAlive(s, false)
	}
	if s.Heartbeat != h {
		s.Heartbeat = h
		t.version++
	}
	s.LastHeartbeat = now
	if s.Alive {
		return
	}
	if s.consecutiveHeartbeats++; s.consecutiveHeartbeats >= t.opts.RecoverAfterHeartbeats {
		t.setAlive(s, true)
	}
}

// Tick marks silent hosts as suspect, and drops those that are silent for longer than
// ForgetAfter.
func (t *Tracker) Tick(now time.Duration) {
	for name, s := range t.hosts {
		switch silence := now - s.LastHeartbeat; {
		case silence > t.opts.ForgetAfter:
			delete(t.hosts, name)
			t.version++
		case silence > t.suspectAfter():
			t.setAlive(s, false)
		}
	}
}

func (t *Tracker) setAlive(s *Status, alive bool) {
	s.consecutiveHeartbeats = 0
	if s.Alive != alive {
		s.Alive = alive
		t.version++
	}
}

// Version changes whenever a host is added or dropped, changes between alive and suspect,
// or reports something new about itself.
func (t *Tracker) Version() uint64 { return t.version }

// Get returns the status of a host.
func (t *Tracker) Get(host string) (Status, bool) {
	if s := t.hosts[host]; s != nil {
		return *s, true
	}
	return Status{}, false
}

// Hosts returns all tracked hosts, sorted by name.
func (t *Tracker) Hosts() []Status {
	list := make([]Status, 0, len(t.hosts))
	for _, s := range t.hosts {
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Host, b.Host) })
	return list
}
