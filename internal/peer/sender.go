package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"time"

	"marigoldshunt/internal/fault"
)

// Time limits for outgoing connections.
const (
	minBackoff = 10 * time.Millisecond
	// maxBackoff is below the permitted 500 ms, so that a restarted peer is reached
	// within about 200 ms even when it does not connect by itself.
	maxBackoff = 200 * time.Millisecond
	// dialTimeout bounds one connection attempt, so that the first SYN after the end of a
	// partition is at most this late.
	dialTimeout = time.Second
	// queueMaxAge is how long a message may wait for a connection. Later delivery is of
	// no use, since the leases and deadlines of the fleet are about as long.
	queueMaxAge = 2 * time.Second
	// reconnectWindow is how long after the latest message a lost connection is made again.
	reconnectWindow = time.Minute
)

// run maintains the outgoing connection to a peer while messages are sent to it.
func (r *remote) run() {
	backoff := minBackoff
	failing := false
	for r.waitUntilNeeded() {
		c, err := r.connect()
		if err == nil {
			backoff, failing = minBackoff, false
			r.write(c)
			r.connLost(c)
		} else {
			r.mu.Lock()
			r.dropExpiredLocked()
			r.mu.Unlock()
			if !failing && r.n.ctx.Err() == nil {
				r.n.log.WithField("peer", r.host).WithError(err).Warn("Failed to connect to the peer. Retrying.")
			}
			failing = true
		}
		if !r.waitBackoff(backoff) {
			backoff = minBackoff
			continue
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// waitUntilNeeded waits until there are or recently were messages for the peer. It returns
// false when the node closes.
func (r *remote) waitUntilNeeded() bool {
	for {
		r.mu.Lock()
		needed := len(r.queue.messages) > 0 || time.Since(r.lastSend) < reconnectWindow
		r.mu.Unlock()
		if r.n.ctx.Err() != nil {
			return false
		}
		if needed {
			return true
		}
		select {
		case <-r.wake:
		case <-r.n.ctx.Done():
		}
	}
}

// waitBackoff waits for a backoff with jitter. It returns false when the wait ended early.
func (r *remote) waitBackoff(backoff time.Duration) bool {
	t := time.NewTimer(backoff/2 + rand.N(backoff/2))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.dialNow:
	case <-r.n.ctx.Done():
	}
	return false
}

// connect dials and authenticates the peer and joins the connection to the session.
func (r *remote) connect() (*conn, error) {
	address, ok := r.n.opts.Resolve(r.host)
	if !ok {
		return nil, fault.New(fault.PeerUnreachable, "", "host %s has no known peer address", r.host)
	}
	if len(r.host) > MaxHostBytes {
		return nil, fault.New(fault.PeerUnreachable, "", "host name of %d bytes exceeds %d", len(r.host), MaxHostBytes)
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, fault.Wrap(err, fault.PeerUnreachable, "", "peer address of host %s is not IP:port", r.host)
	}
	ctx, cancel := context.WithTimeout(r.n.ctx, dialTimeout)
	defer cancel()
	dialled, err := r.n.opts.Dial(ctx, address)
	if err != nil {
		return nil, fault.Wrap(err, fault.PeerUnreachable, "", "connect to host %s", r.host)
	}
	// Close must not wait for the deadline of the handshake.
	stop := context.AfterFunc(r.n.ctx, func() { dialled.Close() })
	defer stop()
	nc := &countingConn{Conn: dialled, traffic: &r.traffic}
	nc.SetDeadline(time.Now().Add(r.n.opts.HandshakeTimeout))
	c, err := r.n.dialHandshake(nc, r.host)
	if err != nil {
		nc.Close()
		r.n.count.handshakeFailures.Inc(1)
		return nil, fault.Wrap(err, fault.PeerUnreachable, "", "handshake with host %s", r.host)
	}
	nc.SetDeadline(time.Time{})
	r.attach(c, false)
	if r.n.ctx.Err() != nil {
		r.connLost(c)
	}
	r.n.count.connects.Inc(1)
	r.n.spawn(func() { r.readKeepalives(c) })
	return c, nil
}

// write sends queued messages and keepalives until the connection fails.
func (r *remote) write(c *conn) {
	ticker := time.NewTicker(r.n.opts.KeepAlive)
	defer ticker.Stop()
	// idleIntervals counts the intervals since the last message.
	idleIntervals := 0
	for {
		messages, current := r.takeMessages(c)
		if !current {
			return
		}
		if len(messages) > 0 {
			if r.writeMessages(c, messages) != nil {
				return
			}
			idleIntervals = 0
			continue
		}
		select {
		case <-r.wake:
		case <-r.n.ctx.Done():
			return
		case <-ticker.C:
			if idleIntervals++; r.keepAlive(c, idleIntervals) != nil {
				return
			}
		}
	}
}

// An idle connection carries fewer keepalives, since in a large fleet most pairs of hosts
// are idle most of the time.
const (
	// idleAfterIntervals is the number of keepalive intervals without a message after which
	// a connection counts as idle. An idle connection sends one keepalive per
	// idleKeepaliveFactor intervals, and the receiver takes it for lost only after a
	// silence of idleKeepaliveFactor times SilenceTimeout.
	idleAfterIntervals  = 8
	idleKeepaliveFactor = 4
)

// idleKeepalive is the body of a keepalive on an idle connection. No message is that short.
var idleKeepalive = []byte{0}

// keepAlive sends the keepalive that is due, if any, after the given number of intervals
// without a message.
func (r *remote) keepAlive(c *conn, idleIntervals int) error {
	switch {
	case idleIntervals == 1:
		// The last message is less than an interval old.
		return nil
	case idleIntervals < idleAfterIntervals:
		return r.writeKeepalive(c, nil)
	case idleIntervals%idleKeepaliveFactor == 0:
		return r.writeKeepalive(c, idleKeepalive)
	}
	return nil
}

func (r *remote) takeMessages(c *conn) ([]queuedMessage, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outgoing != c {
		return nil, false
	}
	return r.queue.take(), true
}

func (r *remote) writeMessages(c *conn, messages []queuedMessage) error {
	for _, m := range messages {
		c.SetWriteDeadline(time.Now().Add(r.n.opts.SilenceTimeout))
		if err := c.w.write(m.body); err != nil {
			return err
		}
		r.traffic.framesSent.Add(1)
	}
	return c.w.w.Flush()
}

func (r *remote) writeKeepalive(c *conn, body []byte) error {
	c.SetWriteDeadline(time.Now().Add(r.n.opts.SilenceTimeout))
	if err := c.w.write(body); err != nil {
		return err
	}
	r.traffic.keepalivesSent.Add(1)
	return c.w.w.Flush()
}

// readKeepalives detects the loss of an outgoing connection. The acceptor sends only
// keepalives on it, and only while it has no outgoing connection of its own. When it has
// one, the keepalives there show that it is alive, so silence here is no loss.
func (r *remote) readKeepalives(c *conn) {
	defer r.connLost(c)
	for {
		c.SetReadDeadline(time.Now().Add(r.n.opts.SilenceTimeout))
		// A deadline that expires in Peek leaves the reader at the start of a frame.
		if _, err := c.r.r.Peek(1); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && r.hasIncoming(c) {
				continue
			}
			return
		}
		c.SetReadDeadline(time.Now().Add(r.n.opts.SilenceTimeout))
		body, err := c.r.read()
		if err == nil && len(body) != 0 {
			err = fault.New(fault.FrameInvalid, "", "message from the acceptor of a connection")
		}
		if err != nil {
			r.n.recordInvalidFrame(r.host, err)
			return
		}
		r.traffic.keepalivesReceived.Add(1)
	}
}

// hasIncoming reports whether the session of the outgoing connection c also has an
// incoming one, whose own read deadline detects a silent peer.
func (r *remote) hasIncoming(c *conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outgoing == c && r.incoming != nil
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	traffic *trafficCounters
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.bytesReceived.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.bytesSent.Add(uint64(n))
	return n, err
}
