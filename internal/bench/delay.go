package bench

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// network adds one-way delays to loopback connections.
type network struct {
	off   atomic.Bool
	done  chan struct{}
	mu    sync.Mutex
	lines map[time.Duration]*line
	open  map[net.Conn]struct{}
}

func newNetwork() *network {
	return &network{done: make(chan struct{}), lines: map[time.Duration]*line{}, open: map[net.Conn]struct{}{}}
}

// endDelays breaks all delayed connections; those that replace them have no delay.
func (n *network) endDelays() {
	n.off.Store(true)
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.open {
		c.Close()
	}
}

// hold registers an open connection, and removes it when its copy has ended.
func (n *network) hold(c net.Conn, copying func()) {
	n.mu.Lock()
	n.open[c] = struct{}{}
	n.mu.Unlock()
	go func() {
		copying()
		n.mu.Lock()
		delete(n.open, c)
		n.mu.Unlock()
	}()
}

// dial opens a TCP connection whose data takes d longer in each direction.
func (n *network) dial(ctx context.Context, address string, d time.Duration) (net.Conn, error) {
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil || d <= 0 || n.off.Load() {
		return raw, err
	}
	near, far := net.Pipe()
	l := n.line(d)
	go l.pump(far, raw)
	n.hold(raw, func() { l.pump(raw, far) })
	return delayedConn{near, raw}, nil
}

// line returns the line for a delay.
func (n *network) line(d time.Duration) *line {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.lines[d]
	if l == nil {
		l = &line{delay: d, in: make(chan packet, 4096), done: n.done}
		n.lines[d] = l
		go l.run()
	}
	return l
}

// close ends the lines; open connections carry no more data.
func (n *network) close() { close(n.done) }

// delayedConn is the near end of a pipe whose far end is copied to and from a TCP
// connection. The pipe supplies the deadlines.
type delayedConn struct {
	net.Conn
	raw net.Conn
}

// LocalAddr returns the address of the TCP connection.
func (c delayedConn) LocalAddr() net.Addr { return c.raw.LocalAddr() }

// RemoteAddr returns the address of the TCP connection.
func (c delayedConn) RemoteAddr() net.Addr { return c.raw.RemoteAddr() }

// packet is data on its way. A nil data means the end of the connection.
type packet struct {
	data []byte
	due  time.Time
	out  *outlet
}

// line holds data back for one constant delay, so packets fall due in order. It sleeps
// by system call, because the runtime's timers round a wait of an idle process up to a
// whole millisecond.
type line struct {
	delay time.Duration
	in    chan packet
	done  chan struct{}
}

func (l *line) run() {
	for {
		var p packet
		select {
		case p = <-l.in:
		case <-l.done:
			return
		}
		if wait := time.Until(p.due); wait > 0 {
			t := syscall.NsecToTimespec(int64(wait))
			_ = syscall.Nanosleep(&t, nil)
		}
		p.out.put(p.data)
	}
}

// pump copies one direction until it ends, then closes the other side.
func (l *line) pump(from, to net.Conn) {
	out := &outlet{wake: make(chan struct{}, 1)}
	go out.run(from, to)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			l.send(append([]byte(nil), buffer[:n]...), out)
		}
		if err != nil {
			l.send(nil, out)
			return
		}
	}
}

func (l *line) send(data []byte, out *outlet) {
	select {
	case l.in <- packet{data, time.Now().Add(l.delay), out}:
	case <-l.done:
		out.put(nil)
	}
}

// outlet writes the data that has fallen due, so that a slow reader holds up only its
// own connection.
type outlet struct {
	mu    sync.Mutex
	queue [][]byte
	wake  chan struct{}
}

func (o *outlet) put(b []byte) {
	o.mu.Lock()
	o.queue = append(o.queue, b)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// run writes until the end of the data or a failed write, then closes both sides.
func (o *outlet) run(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	for range o.wake {
		o.mu.Lock()
		queue := o.queue
		o.queue = nil
		o.mu.Unlock()
		for _, b := range queue {
			if b == nil {
				return
			}
			if _, err := to.Write(b); err != nil {
				return
			}
		}
	}
}
