package peer

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"net"

	"marigoldshunt/internal/fault"
)

// The handshake has three messages:
//
//	dialler  -> acceptor: hello{version, boot, nonce, from, to}
//	acceptor -> dialler:  hello{version, boot, nonce, from, to}, proof
//	dialler  -> acceptor: proof
//
// A proof is an HMAC with the shared key over a label and both hellos. The two sides use
// different labels, so a proof can't be reflected. The hellos contain both host names, so
// a connection that reached the wrong host is refused. The keys of the two directions are
// HMACs of the same kind with labels of their own.
const (
	protocolVersion = 1
	nonceBytes      = 32
	proofBytes      = sha256.Size
	// MaxHostBytes bounds host names, so that two of them fit a handshake message.
	MaxHostBytes = 64

	helloFixedBytes = 1 + 8 + nonceBytes + 2

	labelAcceptorProof     = "marigoldshunt acceptor proof"
	labelDiallerProof      = "marigoldshunt dialler proof"
	labelDiallerToAcceptor = "marigoldshunt dialler to acceptor"
	labelAcceptorToDialler = "marigoldshunt acceptor to dialler"

	// messageBufferBytes is enough for about twenty messages about single requests, such as
	// tickets and grants; larger frames bypass the buffer.
	messageBufferBytes = 4 << 10
	// keepaliveBufferBytes is the size for the direction from acceptor to dialler, which
	// carries only keepalives of overheadBytes. It is small because a host with hundreds of
	// peers has as many of these buffers.
	keepaliveBufferBytes = 256
)

type hello struct {
	boot     uint64
	nonce    [nonceBytes]byte
	from, to string
}

func newHello(from, to string, boot uint64) hello {
	h := hello{boot: boot, from: from, to: to}
	rand.Read(h.nonce[:])
	return h
}

func (h hello) encode() []byte {
	b := make([]byte, 0, helloFixedBytes+len(h.from)+len(h.to))
	b = append(b, protocolVersion)
	b = binary.BigEndian.AppendUint64(b, h.boot)
	b = append(b, h.nonce[:]...)
	b = append(append(b, byte(len(h.from))), h.from...)
	return append(append(b, byte(len(h.to))), h.to...)
}

// decodeHello returns the hello at the start of b and the bytes after it. It does not use
// a general decoder, because b comes from an unauthenticated peer.
func decodeHello(b []byte) (hello, []byte, error) {
	var h hello
	size := len(b)
	if len(b) < helloFixedBytes {
		return h, nil, malformedHello(size)
	}
	if b[0] != protocolVersion {
		return h, nil, fault.New(fault.FrameInvalid, "", "protocol version %d is not %d", b[0], protocolVersion)
	}
	h.boot = binary.BigEndian.Uint64(b[1:])
	copy(h.nonce[:], b[9:])
	b = b[9+nonceBytes:]
	for _, name := range []*string{&h.from, &h.to} {
		if len(b) == 0 || b[0] == 0 || b[0] > MaxHostBytes || len(b) < 1+int(b[0]) {
			return h, nil, malformedHello(size)
		}
		*name, b = string(b[1:1+b[0]]), b[1+b[0]:]
	}
	return h, b, nil
}

func malformedHello(size int) error {
	return fault.New(fault.FrameInvalid, "", "malformed handshake message of %d bytes", size)
}

func labelledMAC(key []byte, label string, transcript []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(label))
	m.Write(transcript)
	return m.Sum(nil)
}

// conn is an authenticated connection.
type conn struct {
	net.Conn
	host string
	boot uint64
	r    frameReader
	w    frameWriter
	// fragments belongs to the goroutine that reads.
	fragments reassembly
}

// newConn returns a connection whose reader and writer have buffers of the given sizes.
func newConn(nc net.Conn, peerHello hello, sendKey, receiveKey []byte, readBytes, writeBytes int) *conn {
	return &conn{
		Conn: nc, host: peerHello.from, boot: peerHello.boot,
		r: frameReader{r: bufio.NewReaderSize(nc, readBytes), mac: newFrameMAC(receiveKey)},
		w: frameWriter{w: bufio.NewWriterSize(nc, writeBytes), mac: newFrameMAC(sendKey)},
	}
}

// dialHandshake authenticates an outgoing connection to the host named to. The caller sets
// the deadlines.
func (n *Node) dialHandshake(nc net.Conn, to string) (*conn, error) {
	if len(n.key) == 0 {
		return nil, fault.New(fault.PeerUnauthorised, "", "no peer key is set")
	}
	ownHello := newHello(n.opts.Host, to, n.opts.Boot).encode()
	if err := writeHandshakeMessage(nc, ownHello); err != nil {
		return nil, err
	}
	reply, err := readHandshakeMessage(nc)
	if err != nil {
		return nil, err
	}
	peerHello, proof, err := decodeHello(reply)
	if err != nil {
		return nil, err
	}
	transcript := append(ownHello, reply[:len(reply)-len(proof)]...)
	if !hmac.Equal(proof, labelledMAC(n.key, labelAcceptorProof, transcript)) {
		return nil, fault.New(fault.PeerUnauthorised, "", "host %s did not prove knowledge of the peer key", to)
	}
	if peerHello.from != to {
		return nil, fault.New(fault.PeerUnauthorised, "", "the address of host %s belongs to host %s", to, peerHello.from)
	}
	if err := writeHandshakeMessage(nc, labelledMAC(n.key, labelDiallerProof, transcript)); err != nil {
		return nil, err
	}
	return newConn(nc, peerHello, labelledMAC(n.key, labelDiallerToAcceptor, transcript),
		labelledMAC(n.key, labelAcceptorToDialler, transcript), keepaliveBufferBytes, messageBufferBytes), nil
}

// acceptHandshake authenticates an incoming connection. The caller sets the deadlines.
func (n *Node) acceptHandshake(nc net.Conn) (*conn, error) {
	if len(n.key) == 0 {
		return nil, fault.New(fault.PeerUnauthorised, "", "no peer key is set")
	}
	received, err := readHandshakeMessage(nc)
	if err != nil {
		return nil, err
	}
	peerHello, rest, err := decodeHello(received)
	if err != nil {
		return nil, err
	}
	if len(rest) != 0 || peerHello.to != n.opts.Host || peerHello.from == n.opts.Host {
		return nil, fault.New(fault.PeerUnauthorised, "", "handshake is not meant for host %s", n.opts.Host)
	}
	ownHello := newHello(n.opts.Host, peerHello.from, n.opts.Boot).encode()
	transcript := append(received, ownHello...)
	proof := labelledMAC(n.key, labelAcceptorProof, transcript)
	if err := writeHandshakeMessage(nc, append(ownHello[:len(ownHello):len(ownHello)], proof...)); err != nil {
		return nil, err
	}
	peerProof, err := readHandshakeMessage(nc)
	if err != nil {
		return nil, err
	}
	if !hmac.Equal(peerProof, labelledMAC(n.key, labelDiallerProof, transcript)) {
		return nil, fault.New(fault.PeerUnauthorised, "", "peer at %s did not prove knowledge of the peer key", nc.RemoteAddr())
	}
	return newConn(nc, peerHello, labelledMAC(n.key, labelAcceptorToDialler, transcript),
		labelledMAC(n.key, labelDiallerToAcceptor, transcript), messageBufferBytes, keepaliveBufferBytes), nil
}
