package bench

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// network adds a delay in each direction to loopback connections.
type network struct {
	disabled   atomic.Bool
	done       chan struct{}
	mu         sync.Mutex
	delayLines map[time.Duration]*delayLine
	openConns  map[net.Conn]struct{}
}

func newNetwork() *network {
	return &network{done: make(chan struct{}), delayLines: map[time.Duration]*delayLine{}, openConns: map[net.Conn]struct{}{}}
}

// disableDelays closes all delayed connections; those that replace them have no delay.
func (n *network) disableDelays() {
	n.disabled.Store(true)
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.openConns {
		c.Close()
	}
}

// track registers an open connection, and removes it when its copy has ended.
func (n *network) track(c net.Conn, copying func()) {
	n.mu.Lock()
	n.openConns[c] = struct{}{}
	n.mu.Unlock()
	go func() {
		copying()
		n.mu.Lock()
		delete(n.openConns, c)
		n.mu.Unlock()
	}()
}

// dial opens a TCP connection whose data arrives d later in each direction.
func (n *network) dial(ctx context.Context, address string, d time.Duration) (net.Conn, error) {
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil || d <= 0 || n.disabled.Load() {
		return raw, err
	}
	near, far := net.Pipe()
	l := n.delayLine(d)
	go l.forward(far, raw)
	n.track(raw, func() { l.forward(raw, far) })
	return delayedConn{near, raw}, nil
}

// delayLine returns the delay line that all connections with delay d share. It starts one if
// there is none.
func (n *network) delayLine(d time.Duration) *delayLine {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.delayLines[d]
	if l == nil {
		l = &delayLine{delay: d, chunks: make(chan chunk, 4096), done: n.done}
		n.delayLines[d] = l
		go l.run()
	}
	return l
}

// close stops the delay lines; open connections carry no more data.
func (n *network) close() { close(n.done) }

// delayedConn is the near end of a pipe whose far end is copied to and from a TCP
// connection. The pipe implements the deadlines.
type delayedConn struct {
	net.Conn
	raw net.Conn
}

// LocalAddr returns the address of the TCP connection.
func (c delayedConn) LocalAddr() net.Addr { return c.raw.LocalAddr() }

// RemoteAddr returns the address of the TCP connection.
func (c delayedConn) RemoteAddr() net.Addr { return c.raw.RemoteAddr() }

// chunk is delayed data. Nil data marks the end of the connection.
type chunk struct {
	data   []byte
	dueAt  time.Time
	writer *delayedWriter
}

// delayLine delays data by a constant time, so chunks fall due in order. It sleeps with a
// system call, because the runtime's timers round a wait of an idle process up to a whole
// millisecond.
type delayLine struct {
	delay  time.Duration
	chunks chan chunk
	done   chan struct{}
}

func (l *delayLine) run() {
	for {
		var c chunk
		select {
		case c = <-l.chunks:
		case <-l.done:
			return
		}
		if wait := time.Until(c.dueAt); wait > 0 {
			t := syscall.NsecToTimespec(int64(wait))
			_ = syscall.Nanosleep(&t, nil)
		}
		c.writer.enqueue(c.data)
	}
}

// forward copies one direction until it ends, then closes both connections.
func (l *delayLine) forward(from, to net.Conn) {
	writer := &delayedWriter{ready: make(chan struct{}, 1)}
	go writer.run(from, to)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			l.send(append([]byte(nil), buffer[:n]...), writer)
		}
		if err != nil {
			l.send(nil, writer)
			return
		}
	}
}

func (l *delayLine) send(data []byte, writer *delayedWriter) {
	select {
	case l.chunks <- chunk{data, time.Now().Add(l.delay), writer}:
	case <-l.done:
		writer.enqueue(nil)
	}
}

// delayedWriter writes the data that has fallen due, so that a slow reader blocks only its
// own connection.
type delayedWriter struct {
	mu    sync.Mutex
	queue [][]byte
	ready chan struct{}
}

func (w *delayedWriter) enqueue(b []byte) {
	w.mu.Lock()
	w.queue = append(w.queue, b)
	w.mu.Unlock()
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

// run writes until the end of the data or a failed write, then closes both connections.
func (w *delayedWriter) run(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	for range w.ready {
		w.mu.Lock()
		queue := w.queue
		w.queue = nil
		w.mu.Unlock()
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
