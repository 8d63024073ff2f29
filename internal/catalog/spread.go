package catalog

import (
	"slices"
	"time"
)

// Times of the spreading of the list.
const (
	// ReadInterval is the time between two reads of the list by its reader.
	ReadInterval = time.Second
	// takeOver is how long a host waits for the reader, and again for each of the hosts
	// that come before it as the next reader.
	takeOver = 1300 * time.Millisecond
	takeTurn = 300 * time.Millisecond
	// maxReaders bounds the hosts that read the list when its reader is silent.
	maxReaders = 4
)

// Spread decides which host reads the list and which list a host uses. One host reads for
// all; the hosts after it in the order of names take over when they hear of no read. It
// does no I/O and reads no clock, and is not safe for concurrent use.
type Spread struct {
	host  string
	hosts []string
	// heard is when this host last had news of a read, its own included.
	heard time.Time
	began time.Time
}

// NewSpread returns the Spread of a host that knows no other.
func NewSpread(host string, now time.Time) *Spread {
	return &Spread{host: host, hosts: []string{host}, began: now}
}

// SetHosts takes the live hosts.
func (s *Spread) SetHosts(hosts []string) {
	s.hosts = slices.Sorted(slices.Values(hosts))
	if !slices.Contains(s.hosts, s.host) {
		s.hosts = append(s.hosts, s.host)
	}
}

// Heard notes that the list was read at a time, by this host or another one.
func (s *Spread) Heard(read time.Time) {
	if read.After(s.heard) {
		s.heard = read
	}
}

// Reads reports whether this host should read the list now.
func (s *Spread) Reads(now time.Time) bool {
	turn := slices.Index(s.hosts, s.host)
	silence := now.Sub(s.heard)
	switch {
	case turn == 0:
		return silence >= ReadInterval
	case turn >= maxReaders:
		return false
	}
	if s.heard.IsZero() {
		silence = now.Sub(s.began)
	}
	return silence >= takeOver+time.Duration(turn)*takeTurn
}
