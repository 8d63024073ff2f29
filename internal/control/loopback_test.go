package control

import "marigoldshunt/internal/wire"

// Loopback delivers messages to its own host directly and passes all others to Next.
type Loopback struct {
	Host     string
	Boot     uint64
	Next     Transport
	handlers map[wire.Kind][]func(from string, boot uint64, kind wire.Kind, payload []byte)
}

// Handle adds a handler for messages of a kind to this host. It must be called before the
// first Send. Handlers must not block.
func (l *Loopback) Handle(kind wire.Kind, h func(from string, boot uint64, kind wire.Kind, payload []byte)) {
	if l.handlers == nil {
		l.handlers = map[wire.Kind][]func(string, uint64, wire.Kind, []byte){}
	}
	l.handlers[kind] = append(l.handlers[kind], h)
}

// Send implements Transport.
func (l *Loopback) Send(to string, kind wire.Kind, msg any) error {
	if to != l.Host {
		return l.Next.Send(to, kind, msg)
	}
	payload, err := wire.Marshal(msg)
	if err != nil {
		return err
	}
	l.deliver(l.Host, l.Boot, kind, payload)
	return nil
}

func (l *Loopback) deliver(from string, boot uint64, kind wire.Kind, payload []byte) {
	for _, h := range l.handlers[kind] {
		h(from, boot, kind, payload)
	}
}
