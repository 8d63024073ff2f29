package engine

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// conn is one connection to an upstream, used by one call at a time.
type conn struct {
	net.Conn
	br     *bufio.Reader
	bw     *bufio.Writer
	raw    syscall.RawConn
	idle   time.Duration
	sent   int64
	since  time.Time
	reused bool
}

// Write writes with the idle timeout and counts the bytes that the kernel accepted.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.idle)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.sent += int64(n)
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
	open := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && open
}

// pool keeps unused connections by address.
type pool struct {
	o      *Options
	mu     sync.Mutex
	idle   map[string][]*conn
	swept  time.Time
	closed bool
}

// take returns an unused connection or nil.
func (p *pool) take(address string) *conn {
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
		if p.o.Now().Sub(c.since) < p.o.KeepIdle && c.usable() {
			c.sent, c.reused = 0, true
			return c
		}
		c.Close()
	}
}

// put keeps c for a later call, or closes it.
func (p *pool) put(address string, c *conn) {
	c.since = p.o.Now()
	p.mu.Lock()
	p.sweepLocked(c.since)
	if p.closed || len(p.idle[address]) >= p.o.MaxIdlePerAddress {
		p.mu.Unlock()
		c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
	p.mu.Unlock()
}

// sweepLocked closes connections that were unused for too long, also to upstreams that
// get no calls any more.
func (p *pool) sweepLocked(now time.Time) {
	if now.Sub(p.swept) < p.o.KeepIdle {
		return
	}
	p.swept = now
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.since) < p.o.KeepIdle {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// dial opens a connection within the connect timeout.
func (p *pool) dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{Timeout: p.o.ConnectTimeout}
	nc, err := d.DialContext(ctx, "tcp", address)
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
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
	}
	p.idle = map[string][]*conn{}
}
