package timeline

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"marigoldshunt/internal/hlc"
)

func newTestRing(host string) *Ring {
	return NewRing(host, hlc.New(func() time.Time { return time.UnixMilli(1) }))
}

// Guards against lost, repeated or reordered events when the ring wraps.
func TestRing(t *testing.T) {
	c := qt.New(t)
	r := newTestRing("h")
	const total = Capacity + 100
	for i := range total {
		r.Add("part", "kind", "i", fmt.Sprint(i), "odd")
	}
	all := r.Since(0, 0)
	c.Assert(len(all), qt.Equals, Capacity)
	for i, e := range all {
		c.Assert(e.Fields["i"], qt.Equals, fmt.Sprint(100+i))
	}
	page := r.Since(all[9].HLC, 5)
	c.Assert(page, qt.DeepEquals, all[10:15])
	c.Assert(r.Since(all[Capacity-1].HLC, 5), qt.HasLen, 0)
	var nilRing *Ring
	nilRing.Add("part", "kind")
	c.Assert(nilRing.Since(0, 0), qt.HasLen, 0)
}

// Guards against a merge that loses events, breaks a host's own order, or is not in
// clock order for hosts whose clock values never decrease.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clocksGoBack := rapid.Bool().Draw(t, "clocks go back")
		lists := make([][]Event, rapid.IntRange(0, 5).Draw(t, "hosts"))
		total := 0
		for h := range lists {
			clock := uint64(100)
			for i := range rapid.IntRange(0, 20).Draw(t, "events") {
				clock += rapid.Uint64Range(0, 5).Draw(t, "step")
				if clocksGoBack && rapid.IntRange(0, 5).Draw(t, "back") == 0 {
					clock -= 50
				}
				lists[h] = append(lists[h], Event{HLC: clock, Host: fmt.Sprint(h), Kind: fmt.Sprint(i)})
				total++
			}
		}
		next := make([]int, len(lists))
		merged := Merge(lists...)
		for i, e := range merged {
			var h int
			fmt.Sscan(e.Host, &h)
			if e.Kind != fmt.Sprint(next[h]) {
				t.Fatalf("event %s of host %d, expected %d", e.Kind, h, next[h])
			}
			next[h]++
			if !clocksGoBack && i > 0 && merged[i-1].HLC > e.HLC {
				t.Fatalf("clock %d before %d", merged[i-1].HLC, e.HLC)
			}
		}
		if len(merged) != total {
			t.Fatalf("%d events of %d", len(merged), total)
		}
	})
}
