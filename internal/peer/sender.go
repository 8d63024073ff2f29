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

// Times of the outgoing side.
const (
	minBackoff = 10 * time.Millisecond
	// maxBackoff is below the permitted 500 ms, so that a restarted peer is reached
	// within about 200 ms even when it does not connect by itself.
	maxBackoff = 200 * time.Millisecond
	// dialTimeout bounds one connection attempt, so that the first SYN after a partition
	// has ended is at most this late.
	dialTimeout = time.Second
	// queueMaxAge is how long a message may wait for a connection. Later delivery is of
	// no use: leases and deadlines of the fleet are of this order.
	queueMaxAge = 2 * time.Second
	// linger is how long a lost connection is re-established after the latest message.
	linger = time.Minute
)

// run keeps the outgoing connection of a peer that is in use.
func (r *remote) run() {
	backoff := minBackoff
	failing := false
	for r.waitWanted() {
		c, err := r.connect()
		if err == nil {
			backoff, failing = minBackoff, false
			r.write(c)
			r.lost(c)
		} else {
			r.mu.Lock()
			r.expire()
			r.mu.Unlock()
			if !failing && r.n.ctx.Err() == nil {
				r.n.log.WithField("peer", r.host).WithError(err).Warn("Peer not reached. Retrying.")
			}
			failing = true
		}
		if !r.pause(backoff) {
			backoff = minBackoff
			continue
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// waitWanted waits until a connection is wanted; it returns false when the node closes.
func (r *remote) waitWanted() bool {
	for {
		r.mu.Lock()
		wanted := len(r.queue.items) > 0 || time.Since(r.lastSend) < linger
		r.mu.Unlock()
		if r.n.ctx.Err() != nil {
			return false
		}
		if wanted {
			return true
		}
		select {
		case <-r.wake:
		case <-r.n.ctx.Done():
		}
	}
}

// pause waits for a jittered backoff; it returns false when the wait ended early.
func (r *remote) pause(backoff time.Duration) bool {
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
	address, ok := r.n.o.Resolve(r.host)
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
	dialled, err := r.n.o.Dial(ctx, address)
	if err != nil {
		return nil, fault.Wrap(err, fault.PeerUnreachable, "", "connect to host %s", r.host)
	}
	// A closing node must not wait for the deadline of the handshake.
	stop := context.AfterFunc(r.n.ctx, func() { dialled.Close() })
	defer stop()
	nc := &countedConn{Conn: dialled, t: &r.traffic}
	nc.SetDeadline(time.Now().Add(r.n.o.Handshake))
	c, err := r.n.dialHandshake(nc, r.host)
	if err != nil {
		nc.Close()
		r.n.count.handshakeFailures.Inc(1)
		return nil, fault.Wrap(err, fault.PeerUnreachable, "", "handshake with host %s", r.host)
	}
	nc.SetDeadline(time.Time{})
	r.attach(c, false)
	if r.n.ctx.Err() != nil {
		r.lost(c)
	}
	r.n.count.connects.Inc(1)
	r.n.spawn(func() { r.readKeepalives(c) })
	return c, nil
}

// write sends the queue until the connection fails.
func (r *remote) write(c *conn) {
	idle := time.NewTicker(r.n.o.KeepAlive)
	defer idle.Stop()
	// unused counts the intervals without a message.
	unused := 0
	for {
		items, current := r.takeFor(c)
		if !current {
			return
		}
		if len(items) > 0 {
			if r.writeItems(c, items) != nil {
				return
			}
			unused = 0
			continue
		}
		select {
		case <-r.wake:
		case <-r.n.ctx.Done():
			return
		case <-idle.C:
			if unused++; r.keepAlive(c, unused) != nil {
				return
			}
		}
	}
}

// Keepalives of a connection that carries no messages are fewer, since in a large fleet
// most pairs of hosts are idle at most times.
const (
	// quietAfter is the number of intervals without a message after which a connection is
	// quiet, quietFactor the number of intervals between two keepalives of a quiet one. Its
	// silence is a loss after as many times Dead.
	quietAfter  = 8
	quietFactor = 4
)

// quietMark is the body of a keepalive of a quiet connection. No message is that short.
var quietMark = []byte{0}

// keepAlive sends what is due after a number of intervals without a message.
func (r *remote) keepAlive(c *conn, unused int) error {
	switch {
	case unused == 1:
		// The last message is less than an interval old.
		return nil
	case unused < quietAfter:
		return r.writeKeepalive(c, nil)
	case unused%quietFactor == 0:
		return r.writeKeepalive(c, quietMark)
	}
	return nil
}

func (r *remote) takeFor(c *conn) ([]item, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.out != c {
		return nil, false
	}
	return r.queue.take(), true
}

func (r *remote) writeItems(c *conn, items []item) error {
	for _, it := range items {
		c.SetWriteDeadline(time.Now().Add(r.n.o.Dead))
		if err := c.w.write(it.body); err != nil {
			return err
		}
		r.traffic.framesSent.Add(1)
	}
	return c.w.w.Flush()
}

func (r *remote) writeKeepalive(c *conn, body []byte) error {
	c.SetWriteDeadline(time.Now().Add(r.n.o.Dead))
	if err := c.w.write(body); err != nil {
		return err
	}
	r.traffic.keepalivesSent.Add(1)
	return c.w.w.Flush()
}

// readKeepalives detects the loss of an outgoing connection: the acceptor sends nothing
// but keepalives on it, and only while it has no outgoing connection of its own. With
// one, its keepalives there show that it is alive, so silence here is no loss.
func (r *remote) readKeepalives(c *conn) {
	defer r.lost(c)
	for {
		c.SetReadDeadline(time.Now().Add(r.n.o.Dead))
		// A deadline that ends in Peek leaves the reader at the begin of a frame.
		if _, err := c.r.r.Peek(1); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && r.hears(c) {
				continue
			}
			return
		}
		c.SetReadDeadline(time.Now().Add(r.n.o.Dead))
		body, err := c.r.read()
		if err == nil && len(body) != 0 {
			err = fault.New(fault.FrameInvalid, "", "message from the acceptor of a connection")
		}
		if err != nil {
			r.n.noteBadFrame(r.host, err)
			return
		}
		r.traffic.keepalivesReceived.Add(1)
	}
}

// hears reports whether the session of the outgoing connection c has an incoming one,
// whose own read deadline detects a silent peer.
func (r *remote) hears(c *conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.out == c && r.in != nil
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	t *traffic
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.bytesReceived.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.t.bytesSent.Add(uint64(n))
	return n, err
}
