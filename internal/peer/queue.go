package peer

import (
	"time"

	"marigoldshunt/internal/wire"
)

// Bounds of a send queue.
const (
	maxQueueMessages = 4096
	maxQueueBytes    = 16 << 20
)

// item is an encoded message that waits to be sent.
type item struct {
	kind wire.Kind
	body []byte
	at   time.Time
}

// queue is a bounded send queue.
type queue struct {
	items []item
	bytes int
}

// droppable reports whether the loss of a message of this kind needs no repair, because
// the sender repeats it periodically (heartbeats) or its protocol retransmits (raft).
func droppable(k wire.Kind) bool {
	switch k {
	case wire.KindBeat, wire.KindRenew, wire.KindRaft:
		return true
	}
	return false
}

// push adds it. dropped counts the messages that were dropped to make room, which may
// include it. full is true when there is no room and nothing may be dropped.
func (q *queue) push(it item) (dropped int, full bool) {
	for len(q.items) >= maxQueueMessages || q.bytes+len(it.body) > maxQueueBytes {
		if !q.dropOldest() {
			if droppable(it.kind) {
				return dropped + 1, false
			}
			return dropped, true
		}
		dropped++
	}
	q.items = append(q.items, it)
	q.bytes += len(it.body)
	return dropped, false
}

func (q *queue) dropOldest() bool {
	for i, it := range q.items {
		if droppable(it.kind) {
			q.bytes -= len(it.body)
			q.items = append(q.items[:i], q.items[i+1:]...)
			return true
		}
	}
	return false
}

// take empties the queue and returns its messages.
func (q *queue) take() []item {
	items := q.items
	*q = queue{}
	return items
}

// expire removes the messages queued before t and returns how many there were.
func (q *queue) expire(t time.Time) int {
	n := 0
	for n < len(q.items) && q.items[n].at.Before(t) {
		q.bytes -= len(q.items[n].body)
		n++
	}
	q.items = q.items[n:]
	return n
}
