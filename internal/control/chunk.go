package control

import (
	"time"

	"marigoldshunt/internal/wire"
)

// Parameters of chunked transfers.
const (
	chunkBytes = 256 << 10
	// chunkWindow is the maximum number of unacknowledged chunks. It keeps a transfer from
	// filling the bounded send queue of the peer.
	chunkWindow         = 4
	chunkResendInterval = time.Second
	// chunkTimeout is the time without progress after which a transfer is dropped.
	chunkTimeout = 10 * time.Second
	// maxChunks bounds a received message to 256 MiB.
	maxChunks    = 1_024
	maxTransfers = 64
)

type transferKey struct {
	peer  string
	inner wire.Kind
}

type outgoingTransfer struct {
	id          uint64
	data        []byte
	chunkCount  int
	acked, next int
	progressAt  time.Duration
	resentAt    time.Duration
}

type incomingTransfer struct {
	id         uint64
	chunkCount int
	next       int
	data       []byte
	progressAt time.Duration
}

// chunker splits messages that are too large for a frame into chunks and joins received
// chunks. There is one transfer per peer and kind in each direction.
type chunker struct {
	send   func(to string, kind wire.Kind, msg any) error
	lastID uint64
	out    map[transferKey]*outgoingTransfer
	in     map[transferKey]*incomingTransfer
}

// newChunker returns a chunker whose transfer ids count up from idBase. The base differs
// between boots, so that chunks of an earlier run are not mixed in.
func newChunker(idBase uint64, send func(to string, kind wire.Kind, msg any) error) *chunker {
	return &chunker{send: send, lastID: idBase, out: map[transferKey]*outgoingTransfer{}, in: map[transferKey]*incomingTransfer{}}
}

// start begins a transfer. It does nothing while a transfer of this kind to this peer or
// maxTransfers in all are open; the caller repeats the message later. Data of more than
// maxChunks chunks is never sent.
func (c *chunker) start(to string, inner wire.Kind, data []byte, now time.Duration) {
	key := transferKey{to, inner}
	if c.busy(to, inner) {
		return
	}
	c.lastID++
	o := &outgoingTransfer{id: c.lastID, data: data, chunkCount: (len(data) + chunkBytes - 1) / chunkBytes, progressAt: now}
	if o.chunkCount > maxChunks {
		return
	}
	c.out[key] = o
	c.sendWindow(key, o)
}

// busy reports whether the open transfers keep start from sending to this peer and kind.
func (c *chunker) busy(to string, inner wire.Kind) bool {
	return c.out[transferKey{to, inner}] != nil || len(c.out) >= maxTransfers
}

// sendWindow sends the chunks that fit into the window.
func (c *chunker) sendWindow(key transferKey, o *outgoingTransfer) {
	for ; o.next < o.chunkCount && o.next < o.acked+chunkWindow; o.next++ {
		chunk := o.data[o.next*chunkBytes : min((o.next+1)*chunkBytes, len(o.data))]
		if c.send(key.peer, wire.KindChunk, wire.Chunk{
			Inner: key.inner, ID: o.id, Part: o.next, Parts: o.chunkCount, Data: chunk,
		}) != nil {
			return
		}
	}
}

// onAck handles the receiver's count of received chunks.
func (c *chunker) onAck(from string, m wire.Chunk, now time.Duration) {
	key := transferKey{from, m.Inner}
	o := c.out[key]
	if o == nil || o.id != m.ID || m.Part <= o.acked || m.Part > o.chunkCount {
		return
	}
	o.acked, o.progressAt = m.Part, now
	o.next = max(o.next, o.acked)
	if o.acked == o.chunkCount {
		delete(c.out, key)
		return
	}
	c.sendWindow(key, o)
}

// receiveChunk handles a received chunk and returns the complete message after the last
// one.
func (c *chunker) receiveChunk(from string, m wire.Chunk, now time.Duration) []byte {
	key := transferKey{from, m.Inner}
	in := c.in[key]
	if in == nil || in.id != m.ID {
		if m.Part != 0 || m.Parts < 1 || m.Parts > maxChunks || (in == nil && len(c.in) >= maxTransfers) {
			return nil
		}
		in = &incomingTransfer{id: m.ID, chunkCount: m.Parts}
		c.in[key] = in
	}
	var whole []byte
	if m.Part == in.next && m.Part < in.chunkCount && len(m.Data) <= chunkBytes {
		in.data = append(in.data, m.Data...)
		in.next++
		in.progressAt = now
		if in.next == in.chunkCount {
			whole, in.data = in.data, nil
		}
	}
	_ = c.send(from, wire.KindChunk, wire.Chunk{Inner: m.Inner, ID: m.ID, Part: in.next, Ack: true})
	return whole
}

// tick resends chunks and drops transfers without progress.
func (c *chunker) tick(now time.Duration) {
	for key, o := range c.out {
		switch {
		case now-o.progressAt > chunkTimeout:
			delete(c.out, key)
		case now-max(o.progressAt, o.resentAt) > chunkResendInterval:
			o.resentAt, o.next = now, o.acked
			c.sendWindow(key, o)
		}
	}
	for key, in := range c.in {
		if now-in.progressAt > chunkTimeout {
			delete(c.in, key)
		}
	}
}
