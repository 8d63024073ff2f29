package sched

import (
	"time"

	"marigoldshunt/internal/wire"
)

// ticketState is the state of one ticket, waiting or granted. The memory is reused.
type ticketState struct {
	ticket  wire.Ticket
	account *account
	fp      *fingerprint

	submittedAt time.Duration
	deadline    time.Duration
	// ringPosition is the position in the account's ring while the ticket waits.
	ringPosition uint64
	// deadlineIndex is the index in the deadline heap, -1 when the ticket does not wait.
	deadlineIndex int

	// The remaining fields describe a grant; upstream is nil while the ticket waits.
	upstream  *upstream
	grantedAt time.Duration
	estimate  float64
	weight    float64
	epoch     uint64
	instance  string
	// estimateUnknown is true for an adopted request without a known estimate.
	estimateUnknown bool
	orphan          bool
	orphanUntil     time.Duration
	// resend is true while Pool.resend lists the ticket and the grant has to be sent again.
	resend bool
	// prevRunning and nextRunning link the tickets that run at the same upstream.
	prevRunning, nextRunning *ticketState
	// trialGeneration is the fingerprint's generation when the grant took one of its trial
	// entries, 0 when it took none.
	trialGeneration uint32
}

// ring is a queue of tickets with removal from the middle. A removed ticket's slot is nil
// until the head passes it or the ring is rebuilt.
type ring struct {
	slots      []*ticketState
	head, tail uint64
	count      int
}

func (r *ring) at(i uint64) **ticketState { return &r.slots[i&uint64(len(r.slots)-1)] }

// push appends a ticket. A full ring is compacted when more than half of its slots are nil
// and doubled otherwise, so its size stays within four times the number of waiting tickets.
func (r *ring) push(ts *ticketState) {
	if int(r.tail-r.head) == len(r.slots) {
		r.rebuild()
	}
	ts.ringPosition = r.tail
	*r.at(r.tail) = ts
	r.tail++
	r.count++
}

func (r *ring) rebuild() {
	const smallest = 8
	size := max(len(r.slots), smallest)
	if r.count*2 >= size && len(r.slots) > 0 {
		size *= 2
	}
	old, head, tail := r.slots, r.head, r.tail
	r.slots, r.head, r.tail = make([]*ticketState, size), 0, 0
	for i := head; i != tail; i++ {
		if ts := old[i&uint64(len(old)-1)]; ts != nil {
			ts.ringPosition = r.tail
			r.slots[r.tail] = ts
			r.tail++
		}
	}
}

// remove takes a ticket out of the queue.
func (r *ring) remove(ts *ticketState) {
	*r.at(ts.ringPosition) = nil
	r.count--
	for r.head != r.tail && *r.at(r.head) == nil {
		r.head++
	}
}

// heapElement is an element of an indexedHeap. It defines the order and stores its index.
type heapElement[T any] interface {
	// precedes reports whether the element leaves the heap before the other one.
	precedes(T) bool
	// heapPosition returns a pointer to the element's index, which is -1 outside the heap.
	heapPosition() *int
}

// indexedHeap is a binary heap whose elements can be removed or reordered in O(log n).
type indexedHeap[T heapElement[T]] struct{ items []T }

// accountHeap orders ready accounts by tag, then name. deadlineHeap orders waiting tickets
// by deadline.
type (
	accountHeap  = indexedHeap[*account]
	deadlineHeap = indexedHeap[*ticketState]
)

func (a *account) heapPosition() *int { return &a.heapIndex }

func (a *account) precedes(b *account) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.name < b.name
}

func (ts *ticketState) heapPosition() *int { return &ts.deadlineIndex }

func (ts *ticketState) precedes(other *ticketState) bool { return ts.deadline < other.deadline }

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

// fix restores the heap order after the key of one element changed.
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
