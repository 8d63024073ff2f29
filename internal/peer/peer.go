// Package peer carries messages between the hosts of the fleet over TCP with mutual
// authentication by a shared key.
package peer

import (
	"bytes"
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/hlc"
	"marigoldshunt/internal/wire"
)

// Handler receives a message of one kind. from is the sending host, and boot identifies the
// run of its process; both are authenticated. Handlers of one peer run one at a time, in
// order; they must not block.
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
	// Resolve returns the peer address of a host; ok is false if it is unknown.
	Resolve func(host string) (address string, ok bool)
	// Dial opens connections; nil means TCP.
	Dial     func(ctx context.Context, address string) (net.Conn, error)
	Log      logrus.FieldLogger
	Registry metrics.Registry
	// KeepAlive is the interval between the keepalive frames of a connection that carries no
	// messages.
	KeepAlive time.Duration
	// SilenceTimeout is how long a connection may receive nothing, or a write may block,
	// before the connection is closed.
	SilenceTimeout time.Duration
	// HandshakeTimeout limits the time from connect to authentication.
	HandshakeTimeout time.Duration
}

// Traffic counts the bytes and frames exchanged with one peer. Bytes include frame headers
// and handshakes, but not TCP and IP headers. Frames do not include keepalives.
type Traffic struct {
	BytesSent          uint64 `json:"bytes_sent"`
	BytesReceived      uint64 `json:"bytes_received"`
	FramesSent         uint64 `json:"frames_sent"`
	FramesReceived     uint64 `json:"frames_received"`
	KeepalivesSent     uint64 `json:"keepalives_sent"`
	KeepalivesReceived uint64 `json:"keepalives_received"`
}

// Defaults of Options.
const (
	// DefaultKeepAlive costs two hosts that exchange no messages 40 bytes per second and
	// direction, until their connections count as idle (see idleAfterIntervals).
	DefaultKeepAlive = 500 * time.Millisecond
	// DefaultSilenceTimeout is four keepalive intervals, and less than the 3 s within which
	// another scheduler takes over.
	DefaultSilenceTimeout = 2 * time.Second
	// DefaultHandshakeTimeout is the time that a peer has to authenticate.
	DefaultHandshakeTimeout = 2 * time.Second
)

// Node is the local end of the peer protocol.
type Node struct {
	opts     Options
	key      []byte
	log      logrus.FieldLogger
	count    counters
	handlers [256]atomic.Pointer[Handler]
	local    localQueue
	losses   lossLog

	ctx    context.Context
	cancel context.CancelFunc

	// spawnMu ensures that no goroutine starts after Close has begun. No other lock is taken
	// while it is held.
	spawnMu sync.Mutex
	wg      sync.WaitGroup

	mu                sync.Mutex
	closed            bool
	peerStates        map[string]*peerState
	listeners         []net.Listener
	pendingHandshakes []net.Conn
	onSessionChange   []func(host string, boot uint64, up bool)
}

// counters are the metrics of a node.
type counters struct {
	connects, losses, overflows                     metrics.Counter
	dropped, expired, discarded, tooLarge           metrics.Counter
	handshakeFailures, pendingClosed, invalidFrames metrics.Counter
}

// New returns a node. It can send at once; Serve accepts the connections of other hosts.
func New(opts Options) *Node {
	if opts.KeepAlive <= 0 {
		opts.KeepAlive = DefaultKeepAlive
	}
	if opts.SilenceTimeout <= 0 {
		opts.SilenceTimeout = DefaultSilenceTimeout
	}
	if opts.HandshakeTimeout <= 0 {
		opts.HandshakeTimeout = DefaultHandshakeTimeout
	}
	if opts.Dial == nil {
		opts.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		}
	}
	if opts.Registry == nil {
		opts.Registry = metrics.NewRegistry()
	}
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	if opts.Clock == nil {
		opts.Clock = hlc.New(nil)
	}
	n := &Node{key: bytes.Clone(opts.Key), log: opts.Log.WithField("part", "peer"), peerStates: map[string]*peerState{}}
	opts.Key = nil
	n.opts = opts
	n.losses.log = n.log
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.local.wake = make(chan struct{}, 1)
	for name, c := range map[string]*metrics.Counter{
		"connects": &n.count.connects, "losses": &n.count.losses,
		"dropped_heartbeats": &n.count.dropped, "overflows": &n.count.overflows,
		"expired": &n.count.expired, "discarded": &n.count.discarded, "too_large": &n.count.tooLarge, "handshake_failures": &n.count.handshakeFailures,
		"pending_closed": &n.count.pendingClosed, "invalid_frames": &n.count.invalidFrames,
	} {
		*c = metrics.GetOrRegisterCounter("peer."+name, opts.Registry)
	}
	return n
}

// Handle sets the handler of a kind. Messages without a handler are discarded.
func (n *Node) Handle(kind wire.Kind, h Handler) { n.handlers[kind].Store(&h) }

// OnSessionChange adds a function that is called when a session with a peer begins or
// ends. up is true when a session begins, which is before its first message. It is false
// when the session has ended: messages from or to the peer may have been lost. A message
// that is sent after the end of a session is either delivered in the next session or lost
// before the next session begins. The functions and the handlers of one peer run one at a
// time; they must not block, and may Send.
func (n *Node) OnSessionChange(f func(host string, boot uint64, up bool)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onSessionChange = append(n.onSessionChange, f)
}

// Send queues a message for a host and returns without waiting for the network. A
// message to the host itself is handled later by another goroutine, in order. Send
// returns a FrameTooLarge error for a message above MaxMessageBytes, and a
// PeerUnreachable error when the node is closed or the queue of messages to the host
// itself is full.
func (n *Node) Send(to string, kind wire.Kind, msg any) error {
	payload, err := wire.Marshal(msg)
	if err != nil {
		return err
	}
	if to == n.opts.Host {
		return n.sendLocal(localMessage{kind: kind, payload: payload})
	}
	if len(payload) > MaxMessageBytes {
		n.count.tooLarge.Inc(1)
		n.losses.record("too_large", to, kind, len(payload), time.Now())
		return fault.New(fault.FrameTooLarge, "", "message of %d bytes exceeds %d", len(payload), MaxMessageBytes)
	}
	messages, err := n.encode(kind, payload)
	if err != nil {
		return err
	}
	p := n.peerState(to)
	if p == nil {
		return errClosed()
	}
	p.send(messages)
	return nil
}

// encode returns the bodies of the frames that carry a message.
func (n *Node) encode(kind wire.Kind, payload []byte) ([]queuedMessage, error) {
	if len(payload) <= MaxFrameBytes-maxEnvelopeBytes {
		m, err := n.envelope(kind, payload)
		return []queuedMessage{m}, err
	}
	var out []queuedMessage
	for _, f := range fragments(kind, payload) {
		encoded, err := wire.Marshal(f)
		if err != nil {
			return nil, err
		}
		m, err := n.envelope(wire.KindFragment, encoded)
		if err != nil {
			return nil, err
		}
		out = append(out, m)
	}
	return out, nil
}

// maxEnvelopeBytes bounds what an envelope adds to its payload: the name of a host and four numbers.
const maxEnvelopeBytes = MaxHostBytes + 64

func (n *Node) envelope(kind wire.Kind, payload []byte) (queuedMessage, error) {
	body, err := wire.Marshal(&wire.Envelope{Kind: kind, From: n.opts.Host, Boot: n.opts.Boot, HLC: n.opts.Clock.Now(), Payload: payload})
	return queuedMessage{kind: kind, body: body, at: time.Now()}, err
}

func errClosed() error { return fault.New(fault.PeerUnreachable, "", "the peer transport is closed") }

// Run waits until ctx ends, closes the node and returns nil.
func (n *Node) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-n.ctx.Done():
	}
	n.Close()
	return nil
}

// Close ends all connections and waits for the goroutines of the node. Queued messages
// are lost. It must not be called by a handler.
func (n *Node) Close() {
	n.spawnMu.Lock()
	n.cancel()
	n.spawnMu.Unlock()
	n.mu.Lock()
	n.closed = true
	for _, ln := range n.listeners {
		ln.Close()
	}
	for _, nc := range n.pendingHandshakes {
		nc.Close()
	}
	states := slices.Collect(maps.Values(n.peerStates))
	n.mu.Unlock()
	for _, p := range states {
		p.mu.Lock()
		p.endSessionLocked()
		p.mu.Unlock()
	}
	n.wg.Wait()
}

// Traffic returns the traffic per peer.
func (n *Node) Traffic() map[string]Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[string]Traffic, len(n.peerStates))
	for host, p := range n.peerStates {
		out[host] = p.trafficSnapshot()
	}
	return out
}

// peerState returns the state of a peer, or nil when the node is closed.
func (n *Node) peerState(host string) *peerState {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil
	}
	p := n.peerStates[host]
	if p == nil {
		p = newPeerState(n, host)
		n.peerStates[host] = p
	}
	return p
}

// spawn runs f in a goroutine that Close waits for. It returns false, without running
// f, when the node is closing.
func (n *Node) spawn(f func()) bool {
	n.spawnMu.Lock()
	defer n.spawnMu.Unlock()
	if n.ctx.Err() != nil {
		return false
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
	return true
}

// notifySessionChange passes a change of a session to the OnSessionChange functions.
func (n *Node) notifySessionChange(host string, change sessionChange) {
	n.mu.Lock()
	functions := n.onSessionChange
	n.mu.Unlock()
	for _, f := range functions {
		f(host, change.boot, change.up)
	}
}

// callHandler passes a message to its handler.
func (n *Node) callHandler(from string, boot uint64, kind wire.Kind, payload []byte) {
	if h := n.handlers[kind].Load(); h != nil {
		(*h)(from, boot, kind, payload)
	}
}

// recordInvalidFrame counts and logs a violation of the protocol. It ignores other errors,
// which are ordinary losses of a connection.
func (n *Node) recordInvalidFrame(host string, err error) {
	switch fault.CodeOf(err) {
	case fault.FrameInvalid, fault.FrameTooLarge:
		n.count.invalidFrames.Inc(1)
		n.log.WithField("peer", host).WithError(err).Warn("Invalid frame. Connection reset.")
	}
}
