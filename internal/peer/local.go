package peer

import (
	"sync"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// maxLocalMessages bounds the queue of messages from the host to itself.
const maxLocalMessages = 65536

// localQueue is the queue of messages from the host to itself.
type localQueue struct {
	wake chan struct{}

	mu       sync.Mutex
	started  bool
	messages []localMessage
}

type localMessage struct {
	kind    wire.Kind
	payload []byte
}

func (n *Node) sendLocal(m localMessage) error {
	l := &n.local
	l.mu.Lock()
	defer l.mu.Unlock()
	if n.ctx.Err() != nil {
		return errClosed()
	}
	if len(l.messages) >= maxLocalMessages {
		return fault.New(fault.PeerUnreachable, "", "%d messages of the host to itself are waiting", len(l.messages))
	}
	l.messages = append(l.messages, m)
	if !l.started {
		l.started = n.spawn(n.runLocal)
	}
	signal(l.wake)
	return nil
}

// runLocal passes the local messages to their handlers in order.
func (n *Node) runLocal() {
	l := &n.local
	for {
		l.mu.Lock()
		messages := l.messages
		l.messages = nil
		l.mu.Unlock()
		for _, m := range messages {
			if n.ctx.Err() != nil {
				return
			}
			n.callHandler(n.opts.Host, n.opts.Boot, m.kind, m.payload)
		}
		if len(messages) > 0 {
			continue
		}
		select {
		case <-l.wake:
		case <-n.ctx.Done():
			return
		}
	}
}
