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
	// maxHandshakeBytes bounds a handshake message: an unauthenticated peer can't make
	// the receiver reserve more than this.
	maxHandshakeBytes = 256

	lengthBytes   = 4
	macBytes      = 16
	overheadBytes = lengthBytes + macBytes
	// keptBufferBytes is the largest body buffer that stays with an idle connection.
	keptBufferBytes = 64 << 10
)

// sealer computes the authentication code of the frames of one direction. The frame's
// sequence number is part of it, so a repeated, reordered or omitted frame is detected.
type sealer struct {
	mac hash.Hash
	seq uint64
	sum [sha256.Size]byte
}

func newSealer(key []byte) *sealer { return &sealer{mac: hmac.New(sha256.New, key)} }

// next returns the code of the next frame. The result is valid until the next call.
func (s *sealer) next(body []byte) []byte {
	var seq [8]byte
	binary.BigEndian.PutUint64(seq[:], s.seq)
	s.seq++
	s.mac.Reset()
	s.mac.Write(seq[:])
	s.mac.Write(body)
	return s.mac.Sum(s.sum[:0])[:macBytes]
}

// frameWriter writes authenticated frames. An empty body is a keepalive.
type frameWriter struct {
	w    *bufio.Writer
	seal *sealer
}

func (f *frameWriter) write(body []byte) error {
	var head [overheadBytes]byte
	binary.BigEndian.PutUint32(head[:], uint32(macBytes+len(body)))
	copy(head[lengthBytes:], f.seal.next(body))
	if _, err := f.w.Write(head[:]); err != nil {
		return err
	}
	_, err := f.w.Write(body)
	return err
}

// frameReader reads authenticated frames.
type frameReader struct {
	r    *bufio.Reader
	seal *sealer
	buf  []byte
}

// read returns the body of the next frame, which is valid until the next call. A frame
// above MaxFrameBytes is a FrameTooLarge error, one with a wrong code a FrameInvalid
// error; the connection can't be used after either. Other errors come from the
// connection.
func (f *frameReader) read() ([]byte, error) {
	var head [overheadBytes]byte
	if _, err := io.ReadFull(f.r, head[:lengthBytes]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length < macBytes {
		return nil, fault.New(fault.FrameInvalid, "", "frame of %d bytes is shorter than its authentication code", length)
	}
	size := int64(length) - macBytes
	if size > MaxFrameBytes {
		return nil, fault.New(fault.FrameTooLarge, "", "frame body of %d bytes exceeds %d", size, MaxFrameBytes)
	}
	if _, err := io.ReadFull(f.r, head[lengthBytes:]); err != nil {
		return nil, noEOF(err)
	}
	body := f.buffer(int(size))
	if _, err := io.ReadFull(f.r, body); err != nil {
		return nil, noEOF(err)
	}
	if !hmac.Equal(f.seal.next(body), head[lengthBytes:]) {
		return nil, fault.New(fault.FrameInvalid, "", "frame %d has a wrong authentication code", f.seal.seq-1)
	}
	return body, nil
}

func (f *frameReader) buffer(size int) []byte {
	if size > keptBufferBytes {
		return make([]byte, size)
	}
	if cap(f.buf) < size {
		f.buf = make([]byte, size, max(size, 512))
	}
	return f.buf[:size]
}

// noEOF marks an end inside a frame, which is not an orderly end of the connection.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// writePlain writes a handshake message: its length and its bytes.
func writePlain(w io.Writer, body []byte) error {
	b := binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(body)), uint32(len(body)))
	_, err := w.Write(append(b, body...))
	return err
}

// readPlain reads a handshake message of at most maxHandshakeBytes.
func readPlain(r io.Reader) ([]byte, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length > maxHandshakeBytes {
		return nil, fault.New(fault.FrameTooLarge, "", "handshake message of %d bytes exceeds %d", length, maxHandshakeBytes)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, noEOF(err)
	}
	return body, nil
}
