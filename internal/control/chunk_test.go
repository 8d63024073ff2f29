package control

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/wire"
)

// chunkLink connects a sender and a receiver of messages in chunks.
type chunkLink struct {
	now              time.Duration
	sender, receiver *chunker
	toReceiver       []wire.Chunk
	toSender         []wire.Chunk
	received         [][]byte
}

func newChunkLink() *chunkLink {
	l := &chunkLink{}
	l.startSender(1 << 20)
	l.startReceiver()
	return l
}

func (l *chunkLink) startSender(lastID uint64) {
	l.sender = newChunker(lastID, func(_ string, _ wire.Kind, msg any) error {
		l.toReceiver = append(l.toReceiver, msg.(wire.Chunk))
		return nil
	})
}

func (l *chunkLink) startReceiver() {
	l.receiver = newChunker(0, func(_ string, _ wire.Kind, msg any) error {
		l.toSender = append(l.toSender, msg.(wire.Chunk))
		return nil
	})
}

// deliver delivers up to count chunks and their acknowledgements.
func (l *chunkLink) deliver(count int) {
	for ; count > 0 && len(l.toReceiver) > 0; count-- {
		m := l.toReceiver[0]
		l.toReceiver = l.toReceiver[1:]
		if whole := l.receiver.receiveChunk("sender", m, l.now); whole != nil {
			l.received = append(l.received, whole)
		}
		for ; len(l.toSender) > 0; l.toSender = l.toSender[1:] {
			l.sender.onAck("receiver", l.toSender[0], l.now)
		}
	}
}

// run delivers everything for some time.
func (l *chunkLink) run(d time.Duration) {
	for end := l.now + d; l.now < end; {
		l.deliver(1 << 20)
		l.now += TickInterval
		l.sender.tick(l.now)
		l.receiver.tick(l.now)
	}
}

func (l *chunkLink) start(c *qt.C, data []byte) {
	c.Helper()
	c.Assert(l.sender.start("receiver", wire.KindRaft, data, l.now), qt.IsNil)
}

// Guards against a control host that restarts while it receives a large entry of the log and gets
// none for 10 s, so that the group does not survive the loss of another disk meanwhile.
func TestReceiverThatRestartsGetsTheTransferAnew(t *testing.T) {
	c := qt.New(t)
	for received := range 40 {
		l := newChunkLink()
		data := bytes.Repeat([]byte{7}, 40*chunkBytes)
		l.start(c, data)
		l.deliver(received)
		l.startReceiver()
		l.run(time.Second)
		c.Assert(l.received, qt.HasLen, 1, qt.Commentf("restarted after %d chunks", received))
		c.Assert(bytes.Equal(l.received[0], data), qt.IsTrue)
		c.Assert(l.sender.busy("receiver", wire.KindRaft), qt.IsFalse)
	}
}

// Guards against beginning a transfer again because of chunks that overtake the first one, or of
// late acknowledgements.
func TestReorderedChunksDoNotKeepATransferFromItsEnd(t *testing.T) {
	c := qt.New(t)
	l := newChunkLink()
	data := bytes.Repeat([]byte{7}, 40*chunkBytes)
	l.start(c, data)
	for range 100 {
		for i, j := 0, len(l.toReceiver)-1; i < j; i, j = i+1, j-1 {
			l.toReceiver[i], l.toReceiver[j] = l.toReceiver[j], l.toReceiver[i]
		}
		l.run(TickInterval)
	}
	l.run(20 * time.Second)
	c.Assert(l.received, qt.HasLen, 1)
	c.Assert(bytes.Equal(l.received[0], data), qt.IsTrue)
}
