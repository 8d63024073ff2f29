package sched

import (
	"time"

	"marigoldshunt/internal/wire"
)

// item is one ticket, waiting or granted. Items are reused.
type item struct {
	ticket  wire.Ticket
	account *account
	fp      *fingerprint

	submitted time.Duration
	deadline  time.Duration
	// position is the item's place in its account's ring while it waits.
	position uint64
	// dueIndex is the item's place in the deadline heap, -1 when it does not wait.
	dueIndex int

	// The remaining fields describe a grant; upstream is nil while the item waits.
	upstream *upstream
	granted  time.Duration
	estimate float64
	weight   float64
	epoch    uint64
	instance string
	// uncharged is true for an adopted request whose estimate is not known here.
	uncharged bool
	orphan    bool
	orphanEnd time.Duration
	// before and after link the items that run at the same upstream.
	before, after *item
	// fpGeneration is the fingerprint's generation when the grant took one of its
	// places, 0 when it took none.
	fpGeneration uint32
}

// ring is a queue of items with removal from the middle. Removed places are nil until
// the head passes them or the ring is compacted.
type ring struct {
	items      []*item
	head, tail uint64
	live       int
}

func (r *ring) at(i uint64) **item { return &r.items[i&uint64(len(r.items)-1)] }

// push appends an item. A full ring is compacted when half of it is empty places,
// otherwise doubled, so its size stays within four times the waiting items.
func (r *ring) push(it *item) {
	if int(r.tail-r.head) == len(r.items) {
		r.rebuild()
	}
	it.position = r.tail
	*r.at(r.tail) = it
	r.tail++
	r.live++
}

func (r *ring) rebuild() {
	const smallest = 8
	size := max(len(r.items), smallest)
	if r.live*2 >= size && len(r.items) > 0 {
		size *= 2
	}
	old, head, tail := r.items, r.head, r.tail
	r.items, r.head, r.tail = make([]*item, size), 0, 0
	for i := head; i != tail; i++ {
		if it := old[i&uint64(len(old)-1)]; it != nil {
			it.position = r.tail
			r.items[r.tail] = it
			r.tail++
		}
	}
}

// remove takes an item out.
func (r *ring) remove(it *item) {
	*r.at(it.position) = nil
	r.live--
	for r.head != r.tail && *r.at(r.head) == nil {
		r.head++
	}
}

// accountHeap orders ready accounts by tag, then name.
type accountHeap struct{ items []*account }

func accountLess(a, b *account) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.name < b.name
}

func (h *accountHeap) push(a *account) {
	h.items = append(h.items, a)
	a.heapIndex = len(h.items) - 1
	h.up(a.heapIndex)
}

func (h *accountHeap) remove(a *account) {
	i, last := a.heapIndex, len(h.items)-1
	h.swap(i, last)
	h.items[last] = nil
	h.items = h.items[:last]
	a.heapIndex = -1
	if i < last {
		h.fix(h.items[i])
	}
}

func (h *accountHeap) fix(a *account) {
	if !h.down(a.heapIndex) {
		h.up(a.heapIndex)
	}
}

func (h *accountHeap) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].heapIndex = i
	h.items[j].heapIndex = j
}

func (h *accountHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !accountLess(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *accountHeap) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && accountLess(h.items[right], h.items[child]) {
			child = right
		}
		if !accountLess(h.items[child], h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i != start
}

// dueHeap orders waiting items by deadline.
type dueHeap struct{ items []*item }

func (h *dueHeap) push(it *item) {
	h.items = append(h.items, it)
	it.dueIndex = len(h.items) - 1
	h.up(it.dueIndex)
}

func (h *dueHeap) remove(it *item) {
	i, last := it.dueIndex, len(h.items)-1
	h.swap(i, last)
	h.items[last] = nil
	h.items = h.items[:last]
	it.dueIndex = -1
	if i < last {
		h.fix(h.items[i])
	}
}

func (h *dueHeap) fix(it *item) {
	if !h.down(it.dueIndex) {
		h.up(it.dueIndex)
	}
}

func (h *dueHeap) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].dueIndex = i
	h.items[j].dueIndex = j
}

func (h *dueHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if h.items[i].deadline >= h.items[parent].deadline {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *dueHeap) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && h.items[right].deadline < h.items[child].deadline {
			child = right
		}
		if h.items[child].deadline >= h.items[i].deadline {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i != start
}
