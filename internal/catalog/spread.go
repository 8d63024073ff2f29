package catalog

import (
	"slices"
	"time"
)

// Timing of reads, and of the takeover by another host when the reading host is lost.
const (
	// ReadInterval is the time between two reads of the list by the reading host.
	ReadInterval = time.Second
	// A host takes over when the list was last read takeoverDelay ago, plus takeoverStep
	// for each host that comes before it.
	takeoverDelay = 1300 * time.Millisecond
	takeoverStep  = 300 * time.Millisecond
	// maxReadingHosts bounds the hosts that read the list when the reading host is lost.
	maxReadingHosts = 4
)

// ReadSchedule decides whether a host reads the list. The first live host in the order of
// names reads it for all; the next ones take over when they hear of no read. A ReadSchedule
// does no I/O and reads no clock, and is not safe for concurrent use.
type ReadSchedule struct {
	host  string
	hosts []string
	// lastRead is the time of the latest read known to this host, its own reads included.
	lastRead  time.Time
	createdAt time.Time
}

// NewReadSchedule returns the ReadSchedule of a host that knows no other host yet.
func NewReadSchedule(host string, now time.Time) *ReadSchedule {
	return &ReadSchedule{host: host, hosts: []string{host}, createdAt: now}
}

// SetHosts replaces the live hosts. This host comes last if it is not among them.
func (s *ReadSchedule) SetHosts(hosts []string) {
	s.hosts = slices.Sorted(slices.Values(hosts))
	if !slices.Contains(s.hosts, s.host) {
		s.hosts = append(s.hosts, s.host)
	}
}

// Readers returns the hosts that read the list or take over when its reader is lost.
func (s *ReadSchedule) Readers() []string { return s.hosts[:min(len(s.hosts), maxReadingHosts)] }

// RecordRead records that the list was read at readAt, by this host or another one.
func (s *ReadSchedule) RecordRead(readAt time.Time) {
	if readAt.After(s.lastRead) {
		s.lastRead = readAt
	}
}

// ShouldRead reports whether this host should read the list now.
func (s *ReadSchedule) ShouldRead(now time.Time) bool {
	position := slices.Index(s.hosts, s.host)
	elapsed := now.Sub(s.lastRead)
	switch {
	case position == 0:
		return elapsed >= ReadInterval
	case position >= maxReadingHosts:
		return false
	}
	if s.lastRead.IsZero() {
		elapsed = now.Sub(s.createdAt)
	}
	return elapsed >= takeoverDelay+time.Duration(position)*takeoverStep
}
