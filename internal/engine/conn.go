package engine

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/netopt"
)

// conn is one connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	br        *bufio.Reader
	bw        *bufio.Writer
	raw       syscall.RawConn
	ioTimeout time.Duration
	// readDeadline, unless zero, bounds all reads together.
	readDeadline time.Time
	// headBytesLeft is how many more bytes of a response head may be read, -1 while no head
	// is read.
	headBytesLeft int
	// bytesSent is the number of bytes of the current request that the kernel accepted.
	bytesSent atomic.Int64
	// namesIDs is true once a response on the connection has named the id of its request.
	namesIDs  bool
	idleSince time.Time
	// idleFor is how long the connection was idle before the current request.
	idleFor time.Duration
	// maxIdle is how long the connection may stay idle, 0 for Options.IdleConnTimeout.
	maxIdle time.Duration
	// onClose is called by the first Close; it may be nil.
	onClose   func()
	closeOnce sync.Once
}

// Close closes the connection; further calls do nothing.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		if c.onClose != nil {
			c.onClose()
		}
	})
	return err
}

// Write bounds each write by ioTimeout and counts the bytes that the kernel accepted.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.ioTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.bytesSent.Add(int64(n))
	return n, err
}

// errHeadTooLarge reports a response head that is larger than maxHeadBytes.
var errHeadTooLarge = errors.New("the head of the response exceeds the size limit")

// Read bounds each read by ioTimeout, all of them by readDeadline, and the bytes by
// headBytesLeft.
func (c *conn) Read(p []byte) (int, error) {
	deadline := time.Now().Add(c.ioTimeout)
	if !c.readDeadline.IsZero() && c.readDeadline.Before(deadline) {
		deadline = c.readDeadline
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	if c.headBytesLeft < 0 {
		return c.Conn.Read(p)
	}
	if c.headBytesLeft == 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headBytesLeft)])
	c.headBytesLeft -= n
	return n, err
}

// usable reports whether an idle connection is open and has no unread data. Data that
// arrives before a request is sent cannot be its response, so such a connection is not
// used either.
func (c *conn) usable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	open, unread := netopt.CheckConn(c.raw)
	return open && !unread
}

// answers reports whether a response that names the request id named is the one to the request want.
// An upstream may name none, but not one that has named others on this connection.
func (c *conn) answers(named, want string) bool {
	if named == "" && want != "" {
		return !c.namesIDs
	}
	c.namesIDs = c.namesIDs || named != ""
	return named == want
}

// connPool keeps idle connections by address.
type connPool struct {
	opts      *Options
	mu        sync.Mutex
	idleConns map[string][]*conn
	// openCount counts the open connections that Forward dialled, by address.
	openCount map[string]int
	// sweeping is true while the next sweep of the idle connections is due.
	sweeping bool
	closed   bool
	// minDroppedIdle is the shortest time for which a connection had been idle when an
	// upstream turned out to have dropped it without notice. It applies until
	// minDroppedIdleUntil.
	minDroppedIdle      time.Duration
	minDroppedIdleUntil time.Time
}

// minDroppedIdleTTL is how long minDroppedIdle applies after the latest dropped connection.
const minDroppedIdleTTL = 20 * time.Second

// maxIdleAfterDrop bounds the idle time of connections for requests that can't be repeated
// while minDroppedIdle applies. The connection may have been dropped long before it was used.
const maxIdleAfterDrop = 200 * time.Millisecond

// acquire returns an idle connection, or a new one if there is none, or if reuse is false.
// For a request that can't be repeated it takes no connection that the upstream has probably
// dropped.
func (p *connPool) acquire(ctx context.Context, address string, reuse, repeatable bool, maxConnections int) (c *conn, reused bool, err error) {
	if reuse {
		if c = p.takeIdle(address, repeatable); c != nil {
			return c, true, nil
		}
	}
	c, err = p.dialLimited(ctx, address, maxConnections)
	return c, false, err
}

// closeFailed closes a connection on which a request failed with err before its response. It
// learns from a reused one that the upstream had dropped.
func (p *connPool) closeFailed(ctx context.Context, c *conn, reused bool, err error) {
	c.Close()
	if reused && ctx.Err() == nil && isDropped(err) {
		p.recordDropped(c)
	}
}

// isDropped reports whether err shows that a reused connection ended without a response, as
// it does if the upstream had dropped the connection while it was idle.
func isDropped(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.ErrUnexpectedEOF)
}

// recordDropped records that an upstream had dropped an idle connection.
func (p *connPool) recordDropped(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Now()
	if now.After(p.minDroppedIdleUntil) || c.idleFor < p.minDroppedIdle {
		p.minDroppedIdle = c.idleFor
	}
	p.minDroppedIdleUntil = now.Add(minDroppedIdleTTL)
}

// probablyOpen reports whether an idle connection may carry a request that can't be
// repeated. Half of minDroppedIdle leaves room for upstreams that drop connections earlier.
func (p *connPool) probablyOpen(c *conn, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.After(p.minDroppedIdleUntil) || now.Sub(c.idleSince) < min(p.minDroppedIdle/2, maxIdleAfterDrop)
}

// takeIdle removes and returns an idle connection, nil if there is none. For a request that
// can't be repeated it closes connections that the upstream may have dropped.
func (p *connPool) takeIdle(address string, repeatable bool) *conn {
	for {
		p.mu.Lock()
		list := p.idleConns[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idleConns[address] = list[:len(list)-1]
		p.mu.Unlock()
		now := p.opts.Now()
		if p.withinIdleLimit(c, now) && (repeatable || p.probablyOpen(c, now)) && c.usable() {
			c.bytesSent.Store(0)
			c.idleFor = now.Sub(c.idleSince)
			return c
		}
		c.Close()
	}
}

// sweepInterval is the time between two sweeps of the idle connections.
const sweepInterval = time.Second

// withinIdleLimit reports whether a connection has been idle for less than its limit. The caller
// holds mu or has taken the connection.
func (p *connPool) withinIdleLimit(c *conn, now time.Time) bool {
	limit := p.opts.IdleConnTimeout
	if c.maxIdle > 0 {
		limit = min(limit, c.maxIdle)
	}
	return now.Sub(c.idleSince) < limit
}

// dialLimited opens a connection that counts against limit until it is closed; a limit of 0
// means no limit. It returns a QueueFull error if the limit is reached.
func (p *connPool) dialLimited(ctx context.Context, address string, limit int) (*conn, error) {
	p.mu.Lock()
	if limit > 0 && p.openCount[address] >= limit {
		p.mu.Unlock()
		return nil, fault.New(fault.QueueFull, fault.NotRun, "all %d connections to upstream %s are in use", limit, address)
	}
	p.openCount[address]++
	p.mu.Unlock()
	c, err := p.dial(ctx, address)
	if err != nil {
		p.decrementOpenCount(address)
		return nil, fault.Wrap(err, fault.UpstreamFailed, fault.NotRun, "no connection to upstream %s", address)
	}
	c.onClose = func() { p.decrementOpenCount(address) }
	return c, nil
}

func (p *connPool) decrementOpenCount(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openCount[address]--; p.openCount[address] <= 0 {
		delete(p.openCount, address)
	}
}

// put keeps c for a later request. It closes c if the pool is closed or full, or if bytes
// came after the response, which belong to no request.
func (p *connPool) put(address string, c *conn) {
	now := p.opts.Now()
	p.mu.Lock()
	c.idleSince = now // sweep reads it under mu
	if p.closed || len(p.idleConns[address]) >= p.opts.MaxIdlePerAddress || c.br.Buffered() > 0 {
		p.mu.Unlock()
		c.Close()
		return
	}
	p.idleConns[address] = append(p.idleConns[address], c)
	p.scheduleSweepLocked()
	p.mu.Unlock()
}

func (p *connPool) scheduleSweepLocked() {
	if !p.sweeping && !p.closed && len(p.idleConns) > 0 {
		p.sweeping = true
		time.AfterFunc(sweepInterval, p.sweep)
	}
}

// sweep closes the idle connections that were idle for too long, that upstreams closed, or
// on which bytes came that belong to no request. These would fill the receive buffer of a
// connection that is not used again.
func (p *connPool) sweep() {
	idle, unusable := p.allIdle(p.opts.Now())
	for _, c := range idle {
		if open, unread := netopt.CheckConn(c.raw); !open || unread {
			unusable[c] = true
		}
	}
	for _, c := range p.removeIdle(unusable) {
		c.Close()
	}
}

// allIdle returns the idle connections, and which of them have been idle for too long.
func (p *connPool) allIdle(now time.Time) (all []*conn, expired map[*conn]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	expired = map[*conn]bool{}
	for _, list := range p.idleConns {
		all = append(all, list...)
	}
	for _, c := range all {
		if !p.withinIdleLimit(c, now) {
			expired[c] = true
		}
	}
	return all, expired
}

// removeIdle removes and returns those of the connections that are still idle, and schedules
// the next sweep.
func (p *connPool) removeIdle(conns map[*conn]bool) (removed []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idleConns {
		remaining := list[:0]
		for _, c := range list {
			if conns[c] {
				removed = append(removed, c)
			} else {
				remaining = append(remaining, c)
			}
		}
		if p.idleConns[address] = remaining; len(remaining) == 0 {
			delete(p.idleConns, address)
		}
	}
	p.sweeping = false
	p.scheduleSweepLocked()
	return removed
}

// dial opens a connection within the connect timeout.
func (p *connPool) dial(ctx context.Context, address string) (*conn, error) {
	nc, err := netopt.Dialer(p.opts.ConnectTimeout, nil).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, ioTimeout: p.opts.IOTimeout, headBytesLeft: -1}
	if c.raw, err = nc.(*net.TCPConn).SyscallConn(); err != nil {
		nc.Close()
		return nil, err
	}
	c.br = bufio.NewReaderSize(c, readBufferBytes)
	c.bw = bufio.NewWriterSize(c, writeBufferBytes)
	return c, nil
}

func (p *connPool) close() {
	p.mu.Lock()
	p.closed = true
	idleConns := p.idleConns
	p.idleConns = map[string][]*conn{}
	p.mu.Unlock()
	for _, list := range idleConns {
		for _, c := range list {
			c.Close()
		}
	}
}
