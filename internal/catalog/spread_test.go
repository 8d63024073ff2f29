package catalog

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// play runs hosts that spread the list to each other, except dead ones, and returns the
// number of reads and the longest time without news at a live host.
func play(hosts, seconds int, dead func(host int, ms int) bool) (reads int, silence time.Duration) {
	var names []string
	var all []*Spread
	for i := range hosts {
		names = append(names, fmt.Sprintf("h%03d", i))
		all = append(all, NewSpread(names[i], start))
	}
	for _, s := range all {
		s.SetHosts(names)
	}
	for ms := 0; ms < seconds*1000; ms += 50 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for i, s := range all {
			if dead(i, ms) || !s.Reads(now) {
				continue
			}
			reads++
			for j, o := range all {
				if !dead(j, ms) {
					o.Heard(now)
				}
			}
		}
		for i, s := range all {
			if !dead(i, ms) {
				silence = max(silence, now.Sub(max2(s.heard, start)))
			}
		}
	}
	return reads, silence
}

func max2(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Guards against a list that every host reads, whatever the size of the fleet.
func TestOneHostReads(t *testing.T) {
	c := qt.New(t)
	for _, hosts := range []int{1, 12, 370} {
		reads, silence := play(hosts, 60, func(int, int) bool { return false })
		c.Assert(reads >= 55 && reads <= 61, qt.IsTrue, qt.Commentf("%d reads with %d hosts", reads, hosts))
		c.Assert(silence <= ReadInterval+100*time.Millisecond, qt.IsTrue)
	}
}

// Guards against a list that nobody reads after the loss of its reader and of the next
// one, within the 3 s in which drained instances must get no more work.
func TestNextHostTakesOver(t *testing.T) {
	c := qt.New(t)
	reads, silence := play(12, 60, func(host, ms int) bool { return host < 2 && ms > 10_000 })
	c.Assert(silence < 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", silence))
	c.Assert(reads <= 120, qt.IsTrue)
}
