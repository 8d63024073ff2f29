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
	// maxBackoff limits the delay between attempts. It is below the permitted 500 ms, so
	// that a restarted peer is reached within about 200 ms even if it does not connect first.
	maxBackoff = 200 * time.Millisecond
	// dialTimeout bounds one connection attempt, so that the first SYN after the end of a
	// partition is at most this late.
	dialTimeout = time.Second
	// queueMaxAge is how long a message may wait for a connection. A later message is
	// useless, because the leases and deadlines of the fleet expire after about the same time.
	queueMaxAge = 2 * time.Second
	// reconnectWindow is how long after the latest message a lost connection is still
	// replaced by a new one.
	reconnectWindow = time.Minute
)

// connectLoop maintains the outgoing connection to a peer while messages are sent to it.
func (p *peerState) connectLoop() {
	backoff := minBackoff
	failing := false
	for p.waitUntilNeeded() {
		c, err := p.connect()
		if err == nil {
			backoff, failing = minBackoff, false
			p.sendLoop(c)
			p.connLost(c)
		} else {
			p.mu.Lock()
			p.dropExpiredLocked()
			p.mu.Unlock()
			if !failing && p.n.ctx.Err() == nil {
				p.n.log.WithField("peer", p.host).WithError(err).Warn("Failed to connect to the peer. Retrying.")
			}
			failing = true
		}
		if !p.waitBackoff(backoff) {
			backoff = minBackoff
			continue
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// waitUntilNeeded waits until there are or recently were messages for the peer. It returns
// false when the node closes.
func (p *peerState) waitUntilNeeded() bool {
	for {
		p.mu.Lock()
		needed := len(p.queue.messages) > 0 || time.Since(p.lastSend) < reconnectWindow
		p.mu.Unlock()
		if p.n.ctx.Err() != nil {
			return false
		}
		if needed {
			return true
		}
		select {
		case <-p.wake:
		case <-p.n.ctx.Done():
		}
	}
}

// waitBackoff waits for a backoff with jitter. It returns false when the wait ended early.
func (p *peerState) waitBackoff(backoff time.Duration) bool {
	t := time.NewTimer(backoff/2 + rand.N(backoff/2))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-p.dialNow:
	case <-p.n.ctx.Done():
	}
	return false
}

// connect dials and authenticates the peer and joins the connection to the session.
func (p *peerState) connect() (*conn, error) {
	address, ok := p.n.opts.Resolve(p.host)
	if !ok {
		return nil, fault.New(fault.PeerUnreachable, "", "host %s has no known peer address", p.host)
	}
	if len(p.host) > MaxHostBytes {
		return nil, fault.New(fault.PeerUnreachable, "", "host name of %d bytes exceeds %d", len(p.host), MaxHostBytes)
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, fault.Wrap(err, fault.PeerUnreachable, "", "peer address of host %s is not IP:port", p.host)
	}
	ctx, cancel := context.WithTimeout(p.n.ctx, dialTimeout)
	defer cancel()
	dialled, err := p.n.opts.Dial(ctx, address)
	if err != nil {
		return nil, fault.Wrap(err, fault.PeerUnreachable, "", "connect to host %s", p.host)
	}
	// Close must not wait for the deadline of the handshake.
	stop := context.AfterFunc(p.n.ctx, func() { dialled.Close() })
	defer stop()
	nc := &countingConn{Conn: dialled, traffic: &p.traffic}
	nc.SetDeadline(time.Now().Add(p.n.opts.HandshakeTimeout))
	c, err := p.n.dialHandshake(nc, p.host)
	if err != nil {
		nc.Close()
		p.n.count.handshakeFailures.Inc(1)
		return nil, fault.Wrap(err, fault.PeerUnreachable, "", "handshake with host %s", p.host)
	}
	nc.SetDeadline(time.Time{})
	p.attach(c, false)
	if p.n.ctx.Err() != nil {
		p.connLost(c)
	}
	p.n.count.connects.Inc(1)
	p.n.spawn(func() { p.readKeepalives(c) })
	return c, nil
}

// sendLoop sends queued messages and keepalives until the connection fails.
func (p *peerState) sendLoop(c *conn) {
	ticker := time.NewTicker(p.n.opts.KeepAlive)
	defer ticker.Stop()
	// idleIntervals counts the intervals since the last message.
	idleIntervals := 0
	for {
		messages, current := p.takeMessages(c)
		if !current {
			return
		}
		if len(messages) > 0 {
			if p.writeMessages(c, messages) != nil {
				return
			}
			idleIntervals = 0
			continue
		}
		select {
		case <-p.wake:
		case <-p.n.ctx.Done():
			return
		case <-ticker.C:
			if idleIntervals++; p.keepAlive(c, idleIntervals) != nil {
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
	// idleKeepaliveFactor intervals, and the receiver considers it lost only after a
	// silence of idleKeepaliveFactor times SilenceTimeout.
	idleAfterIntervals  = 8
	idleKeepaliveFactor = 4
)

// idleKeepalive is the body of a keepalive on an idle connection. No message is that short.
var idleKeepalive = []byte{0}

// keepAlive sends the keepalive that is due, if any, after the given number of intervals
// without a message.
func (p *peerState) keepAlive(c *conn, idleIntervals int) error {
	switch {
	case idleIntervals == 1:
		// The last message is less than an interval old.
		return nil
	case idleIntervals < idleAfterIntervals:
		return p.writeKeepalive(c, nil)
	case idleIntervals%idleKeepaliveFactor == 0:
		return p.writeKeepalive(c, idleKeepalive)
	}
	return nil
}

func (p *peerState) takeMessages(c *conn) ([]queuedMessage, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.outgoing != c {
		return nil, false
	}
	return p.queue.take(), true
}

func (p *peerState) writeMessages(c *conn, messages []queuedMessage) error {
	for i, m := range messages {
		c.SetWriteDeadline(time.Now().Add(p.n.opts.SilenceTimeout))
		if err := c.w.write(m.body); err != nil {
			p.recordLost("session_ended", p.n.count.discarded, messages[i:])
			return err
		}
		p.traffic.framesSent.Add(1)
	}
	return c.w.w.Flush()
}

func (p *peerState) writeKeepalive(c *conn, body []byte) error {
	c.SetWriteDeadline(time.Now().Add(p.n.opts.SilenceTimeout))
	if err := c.w.write(body); err != nil {
		return err
	}
	p.traffic.keepalivesSent.Add(1)
	return c.w.w.Flush()
}

// readKeepalives detects the loss of an outgoing connection. The acceptor sends only
// keepalives on it, and only while it has no outgoing connection of its own. When it has
// one, the keepalives there show that it is alive, so silence here is no loss.
func (p *peerState) readKeepalives(c *conn) {
	defer p.connLost(c)
	for {
		c.SetReadDeadline(time.Now().Add(p.n.opts.SilenceTimeout))
		// A deadline that expires in Peek leaves the reader at the start of a frame.
		if _, err := c.r.r.Peek(1); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && p.hasIncoming(c) {
				continue
			}
			return
		}
		c.SetReadDeadline(time.Now().Add(p.n.opts.SilenceTimeout))
		body, err := c.r.read()
		if err == nil && len(body) != 0 {
			err = fault.New(fault.FrameInvalid, "", "message from the acceptor of a connection")
		}
		if err != nil {
			p.n.recordInvalidFrame(p.host, err)
			return
		}
		p.traffic.keepalivesReceived.Add(1)
	}
}

// hasIncoming reports whether the session of the outgoing connection c also has an
// incoming one, whose own read deadline detects a silent peer.
func (p *peerState) hasIncoming(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outgoing == c && p.incoming != nil
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
