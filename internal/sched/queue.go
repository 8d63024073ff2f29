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

// element is an entry of an indexedHeap. It knows its order and keeps its position.
type element[T any] interface {
	// precedes says whether the entry leaves the heap before the other one.
	precedes(T) bool
	// heapPosition returns where the heap keeps the entry's index, -1 outside of it.
	heapPosition() *int
}

// indexedHeap is a binary heap whose entries can be removed or moved in O(log n).
type indexedHeap[T element[T]] struct{ items []T }

// accountHeap orders ready accounts by tag, then name; dueHeap waiting items by deadline.
type (
	accountHeap = indexedHeap[*account]
	dueHeap     = indexedHeap[*item]
)

func (a *account) heapPosition() *int { return &a.heapIndex }

func (a *account) precedes(b *account) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.name < b.name
}

func (it *item) heapPosition() *int { return &it.dueIndex }

func (it *item) precedes(other *item) bool { return it.deadline < other.deadline }

func (h *indexedHeap[T]) push(e T) {
	h.items = append(h.items, e)
	i := len(h.items) - 1
	*e.heapPosition() = i
	h.up(i)
}

func (h *indexedHeap[T]) remove(e T) {
	i, last := *e.heapPosition(), len(h.items)-1
	h.swap(i, last)
	clear(h.items[last:])
	h.items = h.items[:last]
	*e.heapPosition() = -1
	if i < last {
		h.fix(h.items[i])
	}
}

// fix restores the order after the order of one entry changed.
func (h *indexedHeap[T]) fix(e T) {
	if i := *e.heapPosition(); !h.down(i) {
		h.up(i)
	}
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.items[i].heapPosition() = i
	*h.items[j].heapPosition() = j
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.items[i].precedes(h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && h.items[right].precedes(h.items[child]) {
			child = right
		}
		if !h.items[child].precedes(h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i != start
}
