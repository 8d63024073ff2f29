package peer

import (
	"sync"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// maxLocalMessages bounds the messages of the host to itself.
const maxLocalMessages = 65536

// local is the queue of messages of the host to itself.
type local struct {
	wake chan struct{}

	mu      sync.Mutex
	started bool
	items   []localItem
}

type localItem struct {
	kind    wire.Kind
	payload []byte
}

func (n *Node) sendLocal(it localItem) error {
	l := &n.local
	l.mu.Lock()
	defer l.mu.Unlock()
	if n.ctx.Err() != nil {
		return errClosed()
	}
	if len(l.items) >= maxLocalMessages {
		return fault.New(fault.PeerUnreachable, "", "%d messages of the host to itself are waiting", len(l.items))
	}
	l.items = append(l.items, it)
	if !l.started {
		l.started = n.spawn(n.runLocal)
	}
	signal(l.wake)
	return nil
}

// runLocal calls the handlers of local messages in order.
func (n *Node) runLocal() {
	l := &n.local
	for {
		l.mu.Lock()
		items := l.items
		l.items = nil
		l.mu.Unlock()
		for _, it := range items {
			if n.ctx.Err() != nil {
				return
			}
			n.call(n.o.Host, n.o.Boot, it.kind, it.payload)
		}
		if len(items) > 0 {
			continue
		}
		select {
		case <-l.wake:
		case <-n.ctx.Done():
			return
		}
	}
}
