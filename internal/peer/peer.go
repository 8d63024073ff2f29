// Package peer carries messages between the hosts of the fleet over TCP with mutual
// authentication by a shared key.
package peer

import (
	"context"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/hlc"
	"marigoldshunt/internal/wire"
)

// Handler receives a message of one kind. from and boot are authenticated. Handlers of
// one peer run one at a time, in order; they must not block.
type Handler func(from string, boot uint64, kind wire.Kind, payload []byte)

// Options configure a Node. Zero durations select the defaults.
type Options struct {
	// Host is the name of this host, at most MaxHostBytes long.
	Host string
	// Boot identifies this run of the process.
	Boot uint64
	// Key is the key shared by all hosts.
	Key   []byte
	Clock *hlc.Clock
	// Resolve returns the peer address of a host.
	Resolve func(host string) (address string, ok bool)
	// Dial opens connections; nil means TCP.
	Dial     func(ctx context.Context, address string) (net.Conn, error)
	Log      logrus.FieldLogger
	Registry metrics.Registry
	// KeepAlive is the idle time after which a keepalive frame is sent.
	KeepAlive time.Duration
	// Dead is how long a connection may be silent or a write may block.
	Dead time.Duration
	// Handshake limits the time from connect to authentication.
	Handshake time.Duration
}

// Traffic counts bytes and frames exchanged with one peer. Bytes include frame headers
// and handshakes, and exclude TCP and IP headers. Frames exclude keepalives.
type Traffic struct {
	BytesSent          uint64 `json:"bytes_sent"`
	BytesReceived      uint64 `json:"bytes_received"`
	FramesSent         uint64 `json:"frames_sent"`
	FramesReceived     uint64 `json:"frames_received"`
	KeepalivesSent     uint64 `json:"keepalives_sent"`
	KeepalivesReceived uint64 `json:"keepalives_received"`
}

// Node is the local end of the peer protocol.
type Node struct{ o Options }

// New returns a node. Sending works at once; Serve accepts connections of others.
func New(o Options) *Node { return &Node{o: o} }

// Handle sets the handler of a kind. It must be called before Serve and Send.
func (n *Node) Handle(kind wire.Kind, h Handler) {}

// OnPeer adds a function that is told when a peer is connected (up) or when messages
// from or to it may have been lost (not up). The function must not block; it may Send.
func (n *Node) OnPeer(f func(host string, boot uint64, up bool)) {}

// Send queues a message for a host and returns without waiting for the network.
func (n *Node) Send(to string, kind wire.Kind, msg any) error { return nil }

// Serve accepts connections until Close.
func (n *Node) Serve(ln net.Listener) error { return nil }

// Run waits until ctx ends and closes the node.
func (n *Node) Run(ctx context.Context) error { return nil }

// Close ends all connections and waits for the goroutines of the node.
func (n *Node) Close() {}

// Bytes returns the traffic per peer.
func (n *Node) Bytes() map[string]Traffic { return nil }
