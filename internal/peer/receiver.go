package peer

import (
	"bytes"
	"errors"
	"net"
	"time"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

const (
	// maxPendingHandshakes bounds the connections that have not authenticated yet.
	maxPendingHandshakes = 64
	// acceptRetryDelay is the delay after a failed accept, for example for lack of file
	// descriptors.
	acceptRetryDelay = 10 * time.Millisecond
)

// Serve accepts connections until Close, and then returns nil. It returns an error when
// the listener fails for good.
func (n *Node) Serve(ln net.Listener) error {
	n.mu.Lock()
	n.listeners = append(n.listeners, ln)
	n.mu.Unlock()
	if n.ctx.Err() != nil {
		ln.Close()
	}
	for {
		nc, err := ln.Accept()
		if n.ctx.Err() != nil {
			if err == nil {
				nc.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fault.Wrap(err, fault.PeerUnreachable, "", "accept peers")
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		n.addPending(nc)
		if !n.spawn(func() { n.accept(nc) }) {
			nc.Close()
		}
	}
}

// addPending records an unauthenticated connection. When there are too many, the oldest
// is closed. A peer with the key authenticates within milliseconds, so a flood of
// connections that send nothing does not keep it out.
func (n *Node) addPending(nc net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		nc.Close()
		return
	}
	if len(n.pendingHandshakes) >= maxPendingHandshakes {
		n.pendingHandshakes[0].Close()
		n.pendingHandshakes = n.pendingHandshakes[1:]
		n.count.pendingClosed.Inc(1)
	}
	n.pendingHandshakes = append(n.pendingHandshakes, nc)
}

func (n *Node) removePending(nc net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, p := range n.pendingHandshakes {
		if p == nc {
			n.pendingHandshakes = append(n.pendingHandshakes[:i:i], n.pendingHandshakes[i+1:]...)
			return
		}
	}
}

// accept authenticates an incoming connection and reads its messages.
func (n *Node) accept(nc net.Conn) {
	defer nc.Close()
	var handshakeTraffic trafficCounters
	counted := &countingConn{Conn: nc, traffic: &handshakeTraffic}
	nc.SetDeadline(time.Now().Add(n.opts.HandshakeTimeout))
	c, err := n.acceptHandshake(counted)
	n.removePending(nc)
	if err != nil {
		n.count.handshakeFailures.Inc(1)
		n.log.WithField("address", nc.RemoteAddr().String()).WithError(err).Debug("Handshake refused.")
		return
	}
	nc.SetDeadline(time.Time{})
	p := n.peerState(c.host)
	if p == nil {
		return
	}
	// The bytes of the handshake are added to the peer's traffic only now, since the peer
	// was not known before.
	p.traffic.bytesSent.Add(handshakeTraffic.bytesSent.Load())
	p.traffic.bytesReceived.Add(handshakeTraffic.bytesReceived.Load())
	counted.traffic = &p.traffic
	p.attach(c, true)
	defer p.connLost(c)
	if n.ctx.Err() != nil {
		return
	}
	done := make(chan struct{})
	defer close(done)
	n.spawn(func() { p.sendKeepalives(c, done) })
	n.recordInvalidFrame(c.host, p.readLoop(c))
}

// readLoop dispatches the messages of an incoming connection until it fails.
func (p *peerState) readLoop(c *conn) error {
	timeout := p.n.opts.SilenceTimeout
	for {
		c.SetReadDeadline(time.Now().Add(timeout))
		body, err := c.r.read()
		if err != nil {
			return err
		}
		timeout = p.n.opts.SilenceTimeout
		if bytes.Equal(body, idleKeepalive) {
			timeout *= idleKeepaliveFactor
		}
		if len(body) <= len(idleKeepalive) {
			p.traffic.keepalivesReceived.Add(1)
			continue
		}
		var e wire.Envelope
		if err := wire.Unmarshal(body, &e); err != nil {
			return err
		}
		if e.From != c.host || e.Boot != c.boot {
			return fault.New(fault.FrameInvalid, "", "message of host %s boot %d on a connection of host %s boot %d",
				e.From, e.Boot, c.host, c.boot)
		}
		p.traffic.framesReceived.Add(1)
		p.n.opts.Clock.Observe(e.HLC)
		kind, payload := e.Kind, e.Payload
		if kind == wire.KindFragment {
			if kind, payload, err = c.reassemble(payload); err != nil {
				return err
			}
			if payload == nil {
				continue
			}
		}
		if !p.dispatch(c, kind, payload) {
			return nil
		}
	}
}

// reassemble returns the message that a fragment completes; payload is nil if more fragments follow.
func (c *conn) reassemble(encoded []byte) (kind wire.Kind, payload []byte, err error) {
	var f wire.Fragment
	if err := wire.Unmarshal(encoded, &f); err != nil {
		return 0, nil, err
	}
	payload, err = c.fragments.add(f)
	return f.Kind, payload, err
}

// sendKeepalives sends keepalives to the dialler of c while this end has no outgoing
// connection of its own, whose keepalives would show already that this end is alive.
func (p *peerState) sendKeepalives(c *conn, done chan struct{}) {
	defer p.connLost(c)
	t := time.NewTicker(p.n.opts.KeepAlive)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			if !p.hasOutgoing(c) && p.writeKeepalive(c, nil) != nil {
				return
			}
		}
	}
}

// hasOutgoing reports whether the session of the incoming connection c also has an
// outgoing one, on which this end sends keepalives.
func (p *peerState) hasOutgoing(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incoming == c && p.outgoing != nil
}
