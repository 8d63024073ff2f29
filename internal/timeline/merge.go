package timeline

import "container/heap"

// Merge returns the events of all lists in clock order. Each list holds the events of
// one host. Its order is kept even where its clock values decrease, for example after a
// restart. Equal clock values are ordered by host, then by list.
func Merge(lists ...[]Event) []Event {
	total := 0
	var h cursors
	for i, l := range lists {
		if len(l) > 0 {
			total += len(l)
			h = append(h, cursor{rest: l, list: i, clock: l[0].HLC})
		}
	}
	heap.Init(&h)
	out := make([]Event, 0, total)
	for len(h) > 0 {
		next := &h[0]
		out = append(out, next.rest[0])
		next.rest = next.rest[1:]
		if len(next.rest) == 0 {
			heap.Pop(&h)
			continue
		}
		// An event whose clock value is below its predecessor's is sorted by the latter: it
		// can't have happened before the predecessor, and must not delay events of other
		// hosts.
		next.clock = max(next.clock, next.rest[0].HLC)
		heap.Fix(&h, 0)
	}
	return out
}

type cursor struct {
	rest  []Event
	list  int
	clock uint64
}

type cursors []cursor

func (c cursors) Len() int { return len(c) }

func (c cursors) Less(i, j int) bool {
	a, b := &c[i], &c[j]
	if a.clock != b.clock {
		return a.clock < b.clock
	}
	if x, y := a.rest[0].Host, b.rest[0].Host; x != y {
		return x < y
	}
	return a.list < b.list
}

func (c cursors) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

func (c *cursors) Push(x any) { *c = append(*c, x.(cursor)) }

func (c *cursors) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}
