package daemon

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/control"
	"marigoldshunt/internal/settings"
	"marigoldshunt/internal/wal"
)

// Guards against a log that grows until no snapshot fits on the disk beside it, so that its host never
// has a control role again, or until the host runs out of memory.
func TestLogLeavesRoomForTwoSnapshots(t *testing.T) {
	const largestCommand, largestSnapshot = 8 << 20, 16 << 20 // of documents of 8 MiB with their decoded form
	for _, test := range []struct{ diskMB, memoryMB int }{{64, 134}, {64, 112}, {64, 0}, {100, 32}, {1 << 20, 1 << 20}, {0, 0}} {
		c := qt.New(t)
		b := newLogBounds(&settings.Settings{DiskMB: test.diskMB, MemoryMB: test.memoryMB})
		c.Check(b.entries >= minLogBytes, qt.IsTrue)
		c.Check(b.segment > 0 && b.segment <= b.entries, qt.IsTrue)
		if test.diskMB > 0 {
			most := b.entries + largestCommand + b.segment + 2*largestSnapshot
			c.Check(most <= test.diskMB<<20, qt.IsTrue, qt.Commentf("%+v: %d bytes", test, most))
		}
		if test.memoryMB > 0 {
			c.Check(b.entries <= test.memoryMB<<20/memoryPerLog, qt.IsTrue)
		}
	}
	c := qt.New(t)
	c.Check(newLogBounds(&settings.Settings{}), qt.Equals, logBounds{control.DefaultMaxLogBytes, wal.DefaultSegmentBytes})
}
