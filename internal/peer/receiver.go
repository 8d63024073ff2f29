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
	// maxPending bounds the connections that have not authenticated yet.
	maxPending = 64
	// acceptPause is the wait after a failed accept, for example for lack of descriptors.
	acceptPause = 10 * time.Millisecond
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
			time.Sleep(acceptPause)
			continue
		}
		n.addPending(nc)
		if !n.spawn(func() { n.accept(nc) }) {
			nc.Close()
		}
	}
}

// addPending records an unauthenticated connection. When there are too many, the oldest
// is closed: a peer with the key needs only milliseconds, so a flood of connections that
// say nothing does not lock it out.
func (n *Node) addPending(nc net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		nc.Close()
		return
	}
	if len(n.pending) >= maxPending {
		n.pending[0].Close()
		n.pending = n.pending[1:]
		n.count.pendingClosed.Inc(1)
	}
	n.pending = append(n.pending, nc)
}

func (n *Node) removePending(nc net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, p := range n.pending {
		if p == nc {
			n.pending = append(n.pending[:i:i], n.pending[i+1:]...)
			return
		}
	}
}

// accept authenticates an incoming connection and reads its messages.
func (n *Node) accept(nc net.Conn) {
	defer nc.Close()
	var t traffic
	counted := &countedConn{Conn: nc, t: &t}
	nc.SetDeadline(time.Now().Add(n.o.Handshake))
	c, err := n.acceptHandshake(counted)
	n.removePending(nc)
	if err != nil {
		n.count.handshakeFailures.Inc(1)
		n.log.WithField("address", nc.RemoteAddr().String()).WithError(err).Debug("Handshake refused.")
		return
	}
	nc.SetDeadline(time.Time{})
	r := n.remote(c.host)
	if r == nil {
		return
	}
	// The bytes of the handshake are counted for the peer only now that it is known.
	r.traffic.bytesSent.Add(t.bytesSent.Load())
	r.traffic.bytesReceived.Add(t.bytesReceived.Load())
	counted.t = &r.traffic
	r.attach(c, true)
	defer r.lost(c)
	if n.ctx.Err() != nil {
		return
	}
	done := make(chan struct{})
	defer close(done)
	n.spawn(func() { r.sendKeepalives(c, done) })
	n.noteBadFrame(c.host, r.read(c))
}

// read dispatches the messages of an incoming connection until it fails.
func (r *remote) read(c *conn) error {
	silence := r.n.o.Dead
	for {
		c.SetReadDeadline(time.Now().Add(silence))
		body, err := c.r.read()
		if err != nil {
			return err
		}
		silence = r.n.o.Dead
		if bytes.Equal(body, quietMark) {
			silence *= quietFactor
		}
		if len(body) <= len(quietMark) {
			r.traffic.keepalivesReceived.Add(1)
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
		r.traffic.framesReceived.Add(1)
		r.n.o.Clock.Observe(e.HLC)
		if !r.dispatch(c, e.Kind, e.Payload) {
			return nil
		}
	}
}

// sendKeepalives lets the dialler see that this end is alive, unless the connection of
// the other direction shows it already.
func (r *remote) sendKeepalives(c *conn, done chan struct{}) {
	defer r.lost(c)
	t := time.NewTicker(r.n.o.KeepAlive)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			if !r.speaks(c) && r.writeKeepalive(c, nil) != nil {
				return
			}
		}
	}
}

// speaks reports whether the session of the incoming connection c has an outgoing one,
// on which this end sends keepalives.
func (r *remote) speaks(c *conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.in == c && r.out != nil
}
