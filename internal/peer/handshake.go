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
// A proof is an HMAC with the shared key over a label and both hellos. Labels differ per
// side, so a proof can't be reflected, and both names are covered, so a connection that
// reached the wrong host is refused.
const (
	protocolVersion = 1
	nonceBytes      = 32
	proofBytes      = sha256.Size
	// MaxHostBytes bounds host names, so that two of them fit a handshake message.
	MaxHostBytes = 64

	helloFixedBytes = 1 + 8 + nonceBytes + 2

	labelAcceptorProof = "marigoldshunt acceptor proof"
	labelDiallerProof  = "marigoldshunt dialler proof"
	labelForward       = "marigoldshunt dialler to acceptor"
	labelBackward      = "marigoldshunt acceptor to dialler"

	// messageBuffer holds some twenty messages of a request; larger frames pass by it.
	messageBuffer = 4 << 10
	// keepaliveBuffer is that of the direction from acceptor to dialler, which carries
	// keepalives of overheadBytes only. A host with hundreds of peers has as many buffers.
	keepaliveBuffer = 256
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

// decodeHello returns the hello at the start of b and the bytes after it. It uses no
// general decoder, because b comes from an unauthenticated peer.
func decodeHello(b []byte) (hello, []byte, error) {
	var h hello
	size := len(b)
	if len(b) < helloFixedBytes {
		return h, nil, malformed(size)
	}
	if b[0] != protocolVersion {
		return h, nil, fault.New(fault.FrameInvalid, "", "protocol version %d is not %d", b[0], protocolVersion)
	}
	h.boot = binary.BigEndian.Uint64(b[1:])
	copy(h.nonce[:], b[9:])
	b = b[9+nonceBytes:]
	for _, name := range []*string{&h.from, &h.to} {
		if len(b) == 0 || b[0] == 0 || b[0] > MaxHostBytes || len(b) < 1+int(b[0]) {
			return h, nil, malformed(size)
		}
		*name, b = string(b[1:1+b[0]]), b[1+b[0]:]
	}
	return h, b, nil
}

func malformed(size int) error {
	return fault.New(fault.FrameInvalid, "", "malformed handshake message of %d bytes", size)
}

func derive(key []byte, label string, transcript []byte) []byte {
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
}

// newConn returns a connection whose reader and writer have buffers of the given sizes.
func newConn(nc net.Conn, peer hello, sendKey, receiveKey []byte, readBytes, writeBytes int) *conn {
	return &conn{
		Conn: nc, host: peer.from, boot: peer.boot,
		r: frameReader{r: bufio.NewReaderSize(nc, readBytes), seal: newSealer(receiveKey)},
		w: frameWriter{w: bufio.NewWriterSize(nc, writeBytes), seal: newSealer(sendKey)},
	}
}

// dialHandshake authenticates an outgoing connection to the host named to. Deadlines
// are the caller's.
func (n *Node) dialHandshake(nc net.Conn, to string) (*conn, error) {
	if len(n.key) == 0 {
		return nil, fault.New(fault.PeerUnauthorised, "", "no peer key is set")
	}
	sent := newHello(n.o.Host, to, n.o.Boot).encode()
	if err := writePlain(nc, sent); err != nil {
		return nil, err
	}
	got, err := readPlain(nc)
	if err != nil {
		return nil, err
	}
	theirs, proof, err := decodeHello(got)
	if err != nil {
		return nil, err
	}
	transcript := append(sent, got[:len(got)-len(proof)]...)
	if !hmac.Equal(proof, derive(n.key, labelAcceptorProof, transcript)) {
		return nil, fault.New(fault.PeerUnauthorised, "", "host %s did not prove knowledge of the peer key", to)
	}
	if theirs.from != to {
		return nil, fault.New(fault.PeerUnauthorised, "", "the address of host %s belongs to host %s", to, theirs.from)
	}
	if err := writePlain(nc, derive(n.key, labelDiallerProof, transcript)); err != nil {
		return nil, err
	}
	return newConn(nc, theirs, derive(n.key, labelForward, transcript), derive(n.key, labelBackward, transcript),
		keepaliveBuffer, messageBuffer), nil
}

// acceptHandshake authenticates an incoming connection. Deadlines are the caller's.
func (n *Node) acceptHandshake(nc net.Conn) (*conn, error) {
	if len(n.key) == 0 {
		return nil, fault.New(fault.PeerUnauthorised, "", "no peer key is set")
	}
	got, err := readPlain(nc)
	if err != nil {
		return nil, err
	}
	theirs, rest, err := decodeHello(got)
	if err != nil {
		return nil, err
	}
	if len(rest) != 0 || theirs.to != n.o.Host || theirs.from == n.o.Host {
		return nil, fault.New(fault.PeerUnauthorised, "", "handshake is not meant for host %s", n.o.Host)
	}
	mine := newHello(n.o.Host, theirs.from, n.o.Boot).encode()
	transcript := append(got, mine...)
	proof := derive(n.key, labelAcceptorProof, transcript)
	if err := writePlain(nc, append(mine[:len(mine):len(mine)], proof...)); err != nil {
		return nil, err
	}
	answer, err := readPlain(nc)
	if err != nil {
		return nil, err
	}
	if !hmac.Equal(answer, derive(n.key, labelDiallerProof, transcript)) {
		return nil, fault.New(fault.PeerUnauthorised, "", "peer at %s did not prove knowledge of the peer key", nc.RemoteAddr())
	}
	return newConn(nc, theirs, derive(n.key, labelBackward, transcript), derive(n.key, labelForward, transcript),
		messageBuffer, keepaliveBuffer), nil
}
