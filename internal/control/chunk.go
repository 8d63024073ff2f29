package control

import (
	"slices"
	"time"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// Parameters of chunked transfers.
const (
	chunkBytes = 64 << 10
	// maxChunkBytes is the largest chunk that is accepted. Earlier versions send chunks of
	// this size.
	maxChunkBytes = 256 << 10
	// chunkWindow is the maximum number of unacknowledged chunks. It keeps a transfer from
	// filling the bounded send queue of the peer.
	chunkWindow         = 4
	chunkResendInterval = 500 * time.Millisecond
	// chunkTimeout is the time without progress after which a transfer is dropped.
	chunkTimeout = 10 * time.Second
	// maxChunks bounds a message to maxChunkedBytes.
	maxChunks       = 4_096
	maxChunkedBytes = maxChunks * chunkBytes
	// maxIncomingTransfers bounds the messages that are received at once.
	maxIncomingTransfers = 64
	// maxActivePushes bounds the pushes that are sent at once, and with chunkWindow the memory
	// for their chunks. The others wait for their turn.
	maxActivePushes = 32
	// stalledAfter is the time without progress after which a push no longer counts as active,
	// so that hosts that don't answer delay the others by this time only.
	stalledAfter = 250 * time.Millisecond
)

type transferKey struct {
	peer  string
	inner wire.Kind
}

// isPush reports whether the leader sends this message to many hosts at once.
func (k transferKey) isPush() bool { return slices.Contains(pushKinds, k.inner) }

type outgoingTransfer struct {
	id          uint64
	data        []byte
	chunkCount  int
	acked, next int
	// waiting is true until the first chunk is sent.
	waiting    bool
	progressAt time.Duration
	resentAt   time.Duration
}

type incomingTransfer struct {
	id         uint64
	chunkCount int
	next       int
	data       []byte
	progressAt time.Duration
}

// chunker splits messages that are too large for a frame into chunks and joins received
// chunks. There is one transfer per peer and kind in each direction. Transfers of one message
// to many peers share its bytes.
type chunker struct {
	send   func(to string, kind wire.Kind, msg any) error
	lastID uint64
	out    map[transferKey]*outgoingTransfer
	// waiting lists the transfers that wait for their turn, in order. It may name transfers
	// that have been cancelled.
	waiting []transferKey
	in      map[transferKey]*incomingTransfer
}

// newChunker returns a chunker whose transfer ids count up from idBase. The base differs
// between boots, so that chunks of an earlier run are not mixed in.
func newChunker(idBase uint64, send func(to string, kind wire.Kind, msg any) error) *chunker {
	return &chunker{send: send, lastID: idBase, out: map[transferKey]*outgoingTransfer{}, in: map[transferKey]*incomingTransfer{}}
}

// start begins a transfer. It does nothing while a transfer of this kind to this peer is open;
// the caller repeats the message later. It returns FrameTooLarge for more than maxChunks chunks.
func (c *chunker) start(to string, inner wire.Kind, data []byte, now time.Duration) error {
	key := transferKey{to, inner}
	if c.busy(to, inner) {
		return nil
	}
	o := &outgoingTransfer{data: data, chunkCount: (len(data) + chunkBytes - 1) / chunkBytes, waiting: true, progressAt: now}
	if o.chunkCount > maxChunks {
		return fault.New(fault.FrameTooLarge, "", "message of %d bytes exceeds %d", len(data), maxChunkedBytes)
	}
	c.lastID++
	o.id = c.lastID
	c.out[key] = o
	if key.isPush() {
		c.waiting = append(c.waiting, key)
		c.startWaiting(now)
		return nil
	}
	c.begin(key, o, now)
	return nil
}

func (c *chunker) begin(key transferKey, o *outgoingTransfer, now time.Duration) {
	o.waiting, o.progressAt = false, now
	c.sendWindow(key, o)
}

// startWaiting starts the pushes whose turn has come.
func (c *chunker) startWaiting(now time.Duration) {
	if len(c.waiting) == 0 {
		return
	}
	free := maxActivePushes
	for key, o := range c.out {
		if key.isPush() && !o.waiting && now-o.progressAt < stalledAfter {
			free--
		}
	}
	for ; free > 0 && len(c.waiting) > 0; c.waiting = c.waiting[1:] {
		key := c.waiting[0]
		if o := c.out[key]; o != nil && o.waiting {
			c.begin(key, o, now)
			free--
		}
	}
}

// busy reports whether a transfer of one of these kinds to this peer is open.
func (c *chunker) busy(to string, inner ...wire.Kind) bool {
	return slices.ContainsFunc(inner, func(k wire.Kind) bool { return c.out[transferKey{to, k}] != nil })
}

// cancel drops the transfers of these kinds to this peer.
func (c *chunker) cancel(to string, inner ...wire.Kind) {
	for _, k := range inner {
		delete(c.out, transferKey{to, k})
	}
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

// onAck handles the receiver's count of received chunks. It reports whether the transfer has
// ended. A receiver that knows nothing of a transfer that it has acknowledged, because it has
// started anew, counts 0; the transfer then begins again.
func (c *chunker) onAck(from string, m wire.Chunk, now time.Duration) (done bool) {
	key := transferKey{from, m.Inner}
	o := c.out[key]
	if o == nil || o.id != m.ID {
		return false
	}
	if m.Part == 0 && o.acked > 0 {
		o.acked, o.next, o.progressAt = 0, 0, now
		c.sendWindow(key, o)
		return false
	}
	if m.Part <= o.acked || m.Part > o.chunkCount {
		return false
	}
	o.acked, o.progressAt = m.Part, now
	o.next = max(o.next, o.acked)
	if o.acked == o.chunkCount {
		delete(c.out, key)
		c.startWaiting(now)
		return true
	}
	c.sendWindow(key, o)
	return false
}

// receiveChunk handles a received chunk and returns the complete message after the last
// one.
func (c *chunker) receiveChunk(from string, m wire.Chunk, now time.Duration) []byte {
	key := transferKey{from, m.Inner}
	in := c.in[key]
	if in == nil || in.id != m.ID {
		if m.Part != 0 && (in == nil || in.id < m.ID) {
			c.acknowledge(from, m, 0)
			return nil
		}
		if m.Part != 0 || m.Parts < 1 || m.Parts > maxChunks || (in == nil && len(c.in) >= maxIncomingTransfers) {
			return nil
		}
		in = &incomingTransfer{id: m.ID, chunkCount: m.Parts}
		c.in[key] = in
	}
	var whole []byte
	if m.Part == in.next && m.Part < in.chunkCount && len(m.Data) <= maxChunkBytes && len(in.data)+len(m.Data) <= maxChunkedBytes {
		in.data = append(in.data, m.Data...)
		in.next++
		in.progressAt = now
		if in.next == in.chunkCount {
			whole, in.data = in.data, nil
		}
	}
	c.acknowledge(from, m, in.next)
	return whole
}

// acknowledge tells the sender of a chunk how many chunks of its transfer have come. A lost
// acknowledgement is repeated with the next chunk.
func (c *chunker) acknowledge(to string, m wire.Chunk, received int) {
	_ = c.send(to, wire.KindChunk, wire.Chunk{Inner: m.Inner, ID: m.ID, Part: received, Ack: true})
}

// tick resends chunks, drops transfers without progress and starts others in their place.
func (c *chunker) tick(now time.Duration) {
	for key, o := range c.out {
		switch {
		case o.waiting:
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
	c.startWaiting(now)
}
