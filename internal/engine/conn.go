package engine

import (
	"bufio"
	"context"
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
	// headerLimited is true while a response header is read, of which headerLeft bytes may
	// still be read.
	headerLimited bool
	headerLeft    int
	// bytesSent is the number of bytes of the current request that the kernel accepted.
	bytesSent atomic.Int64
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

// Read bounds each read by ioTimeout, and the size of a response header.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.ioTimeout)); err != nil {
		return 0, err
	}
	if !c.headerLimited {
		return c.Conn.Read(p)
	}
	if c.headerLeft <= 0 {
		return 0, fault.New(fault.UpstreamFailed, "", "the response header exceeds %d bytes", maxHeaderBytes)
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headerLeft)])
	c.headerLeft -= n
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

// connPool keeps idle connections by address.
type connPool struct {
	opts      *Options
	mu        sync.Mutex
	idleConns map[string][]*conn
	// openCount counts the open connections that Forward dialled, by address.
	openCount map[string]int
	lastSweep time.Time
	closed    bool
	// minDroppedIdle is the shortest time for which a connection had been idle when an
	// upstream turned out to have dropped it without notice. It applies until
	// minDroppedIdleUntil.
	minDroppedIdle      time.Duration
	minDroppedIdleUntil time.Time
}

// minDroppedIdleTTL is how long minDroppedIdle applies after the latest dropped connection.
const minDroppedIdleTTL = 20 * time.Second

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
	return now.After(p.minDroppedIdleUntil) || now.Sub(c.idleSince) < p.minDroppedIdle/2
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

// sweepInterval is the minimum time between two sweeps of the idle connections.
const sweepInterval = time.Second

// withinIdleLimit reports whether a connection has been idle for less than its limit.
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

// put keeps c for a later request, or closes it if the pool is closed or full.
func (p *connPool) put(address string, c *conn) {
	c.idleSince = p.opts.Now()
	for _, expired := range p.sweep(c.idleSince) {
		expired.Close()
	}
	p.mu.Lock()
	if p.closed || len(p.idleConns[address]) >= p.opts.MaxIdlePerAddress {
		p.mu.Unlock()
		c.Close()
		return
	}
	p.idleConns[address] = append(p.idleConns[address], c)
	p.mu.Unlock()
}

// sweep removes and returns connections that were idle for too long, including those to
// upstreams that receive no more requests.
func (p *connPool) sweep(now time.Time) (expired []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastSweep) < sweepInterval {
		return nil
	}
	p.lastSweep = now
	for address, list := range p.idleConns {
		remaining := list[:0]
		for _, c := range list {
			if p.withinIdleLimit(c, now) {
				remaining = append(remaining, c)
			} else {
				expired = append(expired, c)
			}
		}
		if p.idleConns[address] = remaining; len(remaining) == 0 {
			delete(p.idleConns, address)
		}
	}
	return expired
}

// dial opens a connection within the connect timeout.
func (p *connPool) dial(ctx context.Context, address string) (*conn, error) {
	nc, err := netopt.Dialer(p.opts.ConnectTimeout, nil).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, ioTimeout: p.opts.IOTimeout}
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
