package daemon

import (
	"marigoldshunt/internal/control"
	"marigoldshunt/internal/settings"
	"marigoldshunt/internal/wal"
)

// Shares of a host's limits that the entries of the control group's log may take before a snapshot
// replaces them.
const (
	// diskPerLog leaves room for the old and the new snapshot, which exist together for a moment, for
	// a segment that the snapshot covers only in part, and for the largest command.
	diskPerLog = 8
	// memoryPerLog leaves room for the state, its snapshot and the requests. The entries are held in
	// memory too.
	memoryPerLog = 4
	// segmentsPerLog is the number of segments among which the entries are divided.
	segmentsPerLog = 2
	// minLogBytes keeps small limits from forcing a snapshot at every change.
	minLogBytes = 1 << 20
)

// logBounds holds the limits of the log of a control host, in bytes.
type logBounds struct {
	// entries is the size of the entries since the last snapshot that forces the next one.
	entries int
	// segment is the size after which a new segment of the log is begun.
	segment int
}

// newLogBounds returns the limits of the log that follow from those of the host.
func newLogBounds(s *settings.Settings) logBounds {
	b := logBounds{control.DefaultMaxLogBytes, wal.DefaultSegmentBytes}
	b.limitEntries(s.DiskMB, diskPerLog)
	b.limitEntries(s.MemoryMB, memoryPerLog)
	b.segment = min(b.segment, b.entries/segmentsPerLog)
	return b
}

// limitEntries bounds the entries by a part of a limit in MB; 0 is no limit.
func (b *logBounds) limitEntries(limitMB, part int) {
	if limitMB > 0 {
		b.entries = min(b.entries, max(limitMB<<20/part, minLogBytes))
	}
}
