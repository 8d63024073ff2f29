package catalog

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulate runs hosts that tell each other of their reads, except dead ones. It returns the
// number of reads and the longest time for which a live host knew of no read.
func simulate(hosts, seconds int, dead func(host int, ms int) bool) (reads int, longestGap time.Duration) {
	var names []string
	var schedules []*ReadSchedule
	for i := range hosts {
		names = append(names, fmt.Sprintf("h%03d", i))
		schedules = append(schedules, NewReadSchedule(names[i], start))
	}
	for _, s := range schedules {
		s.SetHosts(names)
	}
	for ms := 0; ms < seconds*1000; ms += 50 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for i, s := range schedules {
			if dead(i, ms) || !s.ShouldRead(now) {
				continue
			}
			reads++
			for j, other := range schedules {
				if !dead(j, ms) {
					other.RecordRead(now)
				}
			}
		}
		for i, s := range schedules {
			if !dead(i, ms) {
				longestGap = max(longestGap, now.Sub(later(s.lastRead, start)))
			}
		}
	}
	return reads, longestGap
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Guards against several hosts that read the list at the same time. Only one must read it,
// whatever the size of the fleet.
func TestOneHostReads(t *testing.T) {
	c := qt.New(t)
	for _, hosts := range []int{1, 12, 370} {
		reads, longestGap := simulate(hosts, 60, func(int, int) bool { return false })
		c.Assert(reads >= 55 && reads <= 61, qt.IsTrue, qt.Commentf("%d reads with %d hosts", reads, hosts))
		c.Assert(longestGap <= ReadInterval+100*time.Millisecond, qt.IsTrue)
	}
}

// Guards against a list that no host reads after the reading host and the next one are
// lost. Drained instances must stop getting work within 3 s.
func TestNextHostTakesOver(t *testing.T) {
	c := qt.New(t)
	reads, longestGap := simulate(12, 60, func(host, ms int) bool { return host < 2 && ms > 10_000 })
	c.Assert(longestGap < 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", longestGap))
	c.Assert(reads <= 120, qt.IsTrue)
}
