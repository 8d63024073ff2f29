package control

import (
	"time"

	"marigoldshunt/internal/wire"
)

// Parameters of chunked transfers.
const (
	chunkBytes = 256 << 10
	// chunkWindow is the number of unacknowledged parts. It keeps a transfer from
	// filling the bounded send queue of the peer.
	chunkWindow = 4
	chunkResend = time.Second
	// chunkGiveUp is the time without progress after which a transfer is dropped.
	chunkGiveUp = 10 * time.Second
	// maxChunks bounds a received message to 256 MiB.
	maxChunks    = 1_024
	maxTransfers = 64
)

type transferKey struct {
	peer  string
	inner wire.Kind
}

type outgoing struct {
	id          uint64
	data        []byte
	parts       int
	acked, next int
	progress    time.Duration
	resent      time.Duration
}

type incoming struct {
	id       uint64
	parts    int
	next     int
	data     []byte
	progress time.Duration
}

// chunker splits messages that are too large for a frame and joins received parts.
// There is one transfer per peer and kind in each direction.
type chunker struct {
	send   func(to string, kind wire.Kind, msg any) error
	lastID uint64
	out    map[transferKey]*outgoing
	in     map[transferKey]*incoming
}

// newChunker returns a chunker whose transfer ids start at seed, which differs between
// boots so that parts of an earlier run are not mixed in.
func newChunker(seed uint64, send func(to string, kind wire.Kind, msg any) error) *chunker {
	return &chunker{send: send, lastID: seed, out: map[transferKey]*outgoing{}, in: map[transferKey]*incoming{}}
}

// start begins a transfer. It does nothing while an earlier transfer of the kind to
// this peer makes progress; the sender repeats the message later.
func (c *chunker) start(to string, inner wire.Kind, data []byte, now time.Duration) {
	key := transferKey{to, inner}
	if c.busy(to, inner) {
		return
	}
	c.lastID++
	o := &outgoing{id: c.lastID, data: data, parts: (len(data) + chunkBytes - 1) / chunkBytes, progress: now}
	if o.parts > maxChunks {
		return
	}
	c.out[key] = o
	c.pump(key, o)
}

// busy reports whether start would do nothing for this peer and kind.
func (c *chunker) busy(to string, inner wire.Kind) bool {
	return c.out[transferKey{to, inner}] != nil || len(c.out) >= maxTransfers
}

func (c *chunker) pump(key transferKey, o *outgoing) {
	for ; o.next < o.parts && o.next < o.acked+chunkWindow; o.next++ {
		part := o.data[o.next*chunkBytes : min((o.next+1)*chunkBytes, len(o.data))]
		if c.send(key.peer, wire.KindSnapshotChunk, wire.Chunk{
			Inner: key.inner, ID: o.id, Part: o.next, Parts: o.parts, Data: part,
		}) != nil {
			return
		}
	}
}

// acknowledged handles the receiver's count of parts.
func (c *chunker) acknowledged(from string, m wire.Chunk, now time.Duration) {
	key := transferKey{from, m.Inner}
	o := c.out[key]
	if o == nil || o.id != m.ID || m.Part <= o.acked || m.Part > o.parts {
		return
	}
	o.acked, o.progress = m.Part, now
	o.next = max(o.next, o.acked)
	if o.acked == o.parts {
		delete(c.out, key)
		return
	}
	c.pump(key, o)
}

// received handles a part and returns the whole message after the last one.
func (c *chunker) received(from string, m wire.Chunk, now time.Duration) []byte {
	key := transferKey{from, m.Inner}
	in := c.in[key]
	if in == nil || in.id != m.ID {
		if m.Part != 0 || m.Parts < 1 || m.Parts > maxChunks || (in == nil && len(c.in) >= maxTransfers) {
			return nil
		}
		in = &incoming{id: m.ID, parts: m.Parts}
		c.in[key] = in
	}
	var whole []byte
	if m.Part == in.next && m.Part < in.parts && len(m.Data) <= chunkBytes {
		in.data = append(in.data, m.Data...)
		in.next++
		in.progress = now
		if in.next == in.parts {
			whole, in.data = in.data, nil
		}
	}
	_ = c.send(from, wire.KindSnapshotChunk, wire.Chunk{Inner: m.Inner, ID: m.ID, Part: in.next, Ack: true})
	return whole
}

// tick resends parts and drops transfers without progress.
func (c *chunker) tick(now time.Duration) {
	for key, o := range c.out {
		switch {
		case now-o.progress > chunkGiveUp:
			delete(c.out, key)
		case now-max(o.progress, o.resent) > chunkResend:
			o.resent, o.next = now, o.acked
			c.pump(key, o)
		}
	}
	for key, in := range c.in {
		if now-in.progress > chunkGiveUp {
			delete(c.in, key)
		}
	}
}
