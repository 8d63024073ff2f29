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

// queuedMessage is an encoded message that waits to be sent.
type queuedMessage struct {
	kind wire.Kind
	body []byte
	// at is when the message was queued.
	at time.Time
}

// queue is a bounded send queue.
type queue struct {
	messages []queuedMessage
	bytes    int
}

// droppable reports whether messages of this kind may be dropped, because the sender
// repeats them periodically (heartbeats) or their protocol retransmits them (Raft).
func droppable(k wire.Kind) bool {
	switch k {
	case wire.KindRouterHeartbeat, wire.KindRenew, wire.KindRaft:
		return true
	}
	return false
}

// push adds m to the queue. dropped are the messages that were dropped to make room, which may
// include m. full is true when there is no room and nothing may be dropped; m is then not added.
func (q *queue) push(m queuedMessage) (dropped []queuedMessage, full bool) {
	for len(q.messages) >= maxQueueMessages || q.bytes+len(m.body) > maxQueueBytes {
		oldest, ok := q.dropOldest()
		switch {
		case ok:
			dropped = append(dropped, oldest)
		case droppable(m.kind):
			return append(dropped, m), false
		default:
			return dropped, true
		}
	}
	q.messages = append(q.messages, m)
	q.bytes += len(m.body)
	return dropped, false
}

func (q *queue) dropOldest() (dropped queuedMessage, ok bool) {
	for i, m := range q.messages {
		if droppable(m.kind) {
			q.bytes -= len(m.body)
			q.messages = append(q.messages[:i], q.messages[i+1:]...)
			return m, true
		}
	}
	return queuedMessage{}, false
}

// take empties the queue and returns its messages.
func (q *queue) take() []queuedMessage {
	messages := q.messages
	*q = queue{}
	return messages
}

// expire removes the messages queued before t and returns them.
func (q *queue) expire(t time.Time) []queuedMessage {
	n := 0
	for n < len(q.messages) && q.messages[n].at.Before(t) {
		q.bytes -= len(q.messages[n].body)
		n++
	}
	expired := q.messages[:n:n]
	q.messages = q.messages[n:]
	return expired
}
