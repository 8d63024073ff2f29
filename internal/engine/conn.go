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

// conn is one connection to an upstream, used by one call at a time.
type conn struct {
	net.Conn
	br   *bufio.Reader
	bw   *bufio.Writer
	raw  syscall.RawConn
	idle time.Duration
	// sent is the number of bytes of the current request that the kernel accepted.
	sent  atomic.Int64
	since time.Time
	// rested is how long the connection was unused before the present request.
	rested time.Duration
	// keep is how long the connection may stay unused, 0 for the pool's KeepIdle.
	keep time.Duration
	// closed is told of the first Close.
	closed func()
	once   sync.Once
}

// Close closes the connection; further calls do nothing.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.once.Do(func() {
		err = c.Conn.Close()
		if c.closed != nil {
			c.closed()
		}
	})
	return err
}

// Write writes with the idle timeout and counts the bytes that the kernel accepted.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.idle)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// Read reads with the idle timeout.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// usable says whether an unused connection is open and silent. Data before a request
// was sent cannot be an answer to it, so such a connection is not used either.
func (c *conn) usable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	open, unread := netopt.Peek(c.raw)
	return open && !unread
}

// pool keeps unused connections by address.
type pool struct {
	o    *Options
	mu   sync.Mutex
	idle map[string][]*conn
	// open counts the connections made by Forward, by address.
	open   map[string]int
	swept  time.Time
	closed bool
	// forgets is how long connections had rested that upstreams turned out to have dropped
	// without notice, the shortest one; it holds until forgetsUntil.
	forgets      time.Duration
	forgetsUntil time.Time
}

// forgetTime is how long upstreams are expected to drop connections early after one did.
const forgetTime = 20 * time.Second

// noteDropped notes that an upstream had dropped a kept connection.
func (p *pool) noteDropped(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Now()
	if now.After(p.forgetsUntil) || c.rested < p.forgets {
		p.forgets = c.rested
	}
	p.forgetsUntil = now.Add(forgetTime)
}

// trusted reports whether a kept connection may carry a request that can't be repeated.
// Half of the shortest time that was too long leaves room for upstreams that differ.
func (p *pool) trusted(c *conn, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.After(p.forgetsUntil) || now.Sub(c.since) < p.forgets/2
}

// take returns an unused connection or nil. For a request that can't be repeated it leaves
// out connections that the upstream may have dropped.
func (p *pool) take(address string, repeatable bool) *conn {
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		now := p.o.Now()
		if p.fresh(c, now) && (repeatable || p.trusted(c, now)) && c.usable() {
			c.sent.Store(0)
			c.rested = now.Sub(c.since)
			return c
		}
		c.Close()
	}
}

// sweepInterval is the least time between two sweeps over the unused connections.
const sweepInterval = time.Second

// fresh says whether an unused connection is younger than its upstream's idle time.
func (p *pool) fresh(c *conn, now time.Time) bool {
	keep := p.o.KeepIdle
	if c.keep > 0 {
		keep = min(keep, c.keep)
	}
	return now.Sub(c.since) < keep
}

// dialCounted opens a connection that counts against limit until it is closed. With a
// limit of 0 there is none. It returns QueueFull when the limit is reached.
func (p *pool) dialCounted(ctx context.Context, address string, limit int) (*conn, error) {
	p.mu.Lock()
	if limit > 0 && p.open[address] >= limit {
		p.mu.Unlock()
		return nil, fault.New(fault.QueueFull, fault.NotRun, "all %d connections to upstream %s are in use", limit, address)
	}
	p.open[address]++
	p.mu.Unlock()
	c, err := p.dial(ctx, address)
	if err != nil {
		p.release(address)
		return nil, fault.Wrap(err, fault.UpstreamFailed, fault.NotRun, "no connection to upstream %s", address)
	}
	c.closed = func() { p.release(address) }
	return c, nil
}

func (p *pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// put keeps c for a later call, or closes it.
func (p *pool) put(address string, c *conn) {
	c.since = p.o.Now()
	for _, old := range p.sweep(c.since) {
		old.Close()
	}
	p.mu.Lock()
	if p.closed || len(p.idle[address]) >= p.o.MaxIdlePerAddress {
		p.mu.Unlock()
		c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
	p.mu.Unlock()
}

// sweep removes and returns connections that were unused for too long, also to upstreams
// that get no calls any more.
func (p *pool) sweep(now time.Time) (old []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.swept) < sweepInterval {
		return nil
	}
	p.swept = now
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if p.fresh(c, now) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	return old
}

// dial opens a connection within the connect timeout.
func (p *pool) dial(ctx context.Context, address string) (*conn, error) {
	nc, err := netopt.Dialer(p.o.ConnectTimeout, nil).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, idle: p.o.IdleTimeout}
	if c.raw, err = nc.(*net.TCPConn).SyscallConn(); err != nil {
		nc.Close()
		return nil, err
	}
	c.br = bufio.NewReaderSize(c, readBufferBytes)
	c.bw = bufio.NewWriterSize(c, writeBufferBytes)
	return c, nil
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.Close()
		}
	}
}
