package peer

import (
	"bufio"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"hash"
	"io"

	"marigoldshunt/internal/fault"
)

// Sizes of frames in bytes.
const (
	// MaxFrameBytes bounds the body of a frame after the handshake.
	MaxFrameBytes = 1 << 20
	// maxHandshakeBytes bounds a handshake message, so that an unauthenticated peer can't
	// make the receiver allocate more than this.
	maxHandshakeBytes = 256

	lengthBytes   = 4
	macBytes      = 16
	overheadBytes = lengthBytes + macBytes
	// maxRetainedBufferBytes is the largest body buffer that a connection keeps for reuse.
	maxRetainedBufferBytes = 64 << 10
)

// frameMAC computes the message authentication codes of the frames of one direction. A
// code covers the frame's sequence number, so a repeated, reordered or omitted frame is
// detected.
type frameMAC struct {
	hash hash.Hash
	seq  uint64
	sum  [sha256.Size]byte
}

func newFrameMAC(key []byte) *frameMAC { return &frameMAC{hash: hmac.New(sha256.New, key)} }

// next returns the code of the next frame. The result is valid until the next call.
func (m *frameMAC) next(body []byte) []byte {
	var seq [8]byte
	binary.BigEndian.PutUint64(seq[:], m.seq)
	m.seq++
	m.hash.Reset()
	m.hash.Write(seq[:])
	m.hash.Write(body)
	return m.hash.Sum(m.sum[:0])[:macBytes]
}

// frameWriter writes authenticated frames. An empty body is a keepalive.
type frameWriter struct {
	w   *bufio.Writer
	mac *frameMAC
}

func (f *frameWriter) write(body []byte) error {
	var header [overheadBytes]byte
	binary.BigEndian.PutUint32(header[:], uint32(macBytes+len(body)))
	copy(header[lengthBytes:], f.mac.next(body))
	if _, err := f.w.Write(header[:]); err != nil {
		return err
	}
	_, err := f.w.Write(body)
	return err
}

// frameReader reads authenticated frames.
type frameReader struct {
	r   *bufio.Reader
	mac *frameMAC
	buf []byte
}

// read returns the body of the next frame, which is valid until the next call. It returns
// a FrameTooLarge error for a body above MaxFrameBytes and a FrameInvalid error for a wrong
// authentication code; the connection can't be used after either. Other errors come from
// the connection.
func (f *frameReader) read() ([]byte, error) {
	var header [overheadBytes]byte
	if _, err := io.ReadFull(f.r, header[:lengthBytes]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length < macBytes {
		return nil, fault.New(fault.FrameInvalid, "", "frame of %d bytes is shorter than its authentication code", length)
	}
	size := int64(length) - macBytes
	if size > MaxFrameBytes {
		return nil, fault.New(fault.FrameTooLarge, "", "frame body of %d bytes exceeds %d", size, MaxFrameBytes)
	}
	if _, err := io.ReadFull(f.r, header[lengthBytes:]); err != nil {
		return nil, unexpectedEOF(err)
	}
	body := f.bodyBuffer(int(size))
	if _, err := io.ReadFull(f.r, body); err != nil {
		return nil, unexpectedEOF(err)
	}
	if !hmac.Equal(f.mac.next(body), header[lengthBytes:]) {
		return nil, fault.New(fault.FrameInvalid, "", "frame %d has a wrong authentication code", f.mac.seq-1)
	}
	return body, nil
}

func (f *frameReader) bodyBuffer(size int) []byte {
	if size > maxRetainedBufferBytes {
		return make([]byte, size)
	}
	if cap(f.buf) < size {
		f.buf = make([]byte, size, max(size, 512))
	}
	return f.buf[:size]
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF: a connection that ends inside a
// frame was not closed in order.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// writeHandshakeMessage writes the length of a handshake message and its bytes.
func writeHandshakeMessage(w io.Writer, body []byte) error {
	b := binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(body)), uint32(len(body)))
	_, err := w.Write(append(b, body...))
	return err
}

// readHandshakeMessage reads a handshake message of at most maxHandshakeBytes.
func readHandshakeMessage(r io.Reader) ([]byte, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxHandshakeBytes {
		return nil, fault.New(fault.FrameTooLarge, "", "handshake message of %d bytes exceeds %d", length, maxHandshakeBytes)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, unexpectedEOF(err)
	}
	return body, nil
}
