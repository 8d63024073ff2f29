package frontend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"marigoldshunt/internal/fault"
)

// Limits of closing a connection whose caller may still be sending. Closing a socket
// with unread data resets it, and the reset can destroy the answer before the caller
// has read it.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// maxLingering bounds the connections above the limit that are drained at once; more
// are closed without a drain.
const maxLingering = 256

// tooMany is the whole answer on a connection above the limit.
var tooMany = rawRefusal(fault.New(fault.QueueFull, fault.NotRun, "too many connections").After(time.Second))

// rawRefusal encodes a typed failure as an HTTP answer that ends its connection.
func rawRefusal(e *fault.Error) []byte {
	var resp fasthttp.Response
	resp.SetStatusCode(statusOf(e.Code))
	setError(&resp, e)
	resp.SetConnectionClose()
	var b bytes.Buffer
	_, _ = resp.WriteTo(&b)
	return b.Bytes()
}

// listener bounds the number of connections and keeps track of them.
type listener struct {
	net.Listener
	max   int
	write time.Duration
	mu    sync.Mutex
	open  map[*callerConn]struct{}
	// changed signals that a connection was removed.
	changed   chan struct{}
	lingering atomic.Int64
}

// Accept returns the next connection within the limit. Connections above it get a
// typed refusal.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &callerConn{Conn: nc, l: l}
		if l.add(c) {
			return c, nil
		}
		l.refuse(nc)
	}
}

// refuse answers a connection above the limit.
func (l *listener) refuse(nc net.Conn) {
	_ = nc.SetDeadline(time.Now().Add(lingerTime))
	_, _ = nc.Write(tooMany)
	if l.lingering.Add(1) > maxLingering {
		l.lingering.Add(-1)
		nc.Close()
		return
	}
	go func() {
		defer l.lingering.Add(-1)
		linger(nc)
	}()
}

func (l *listener) add(c *callerConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.max {
		return false
	}
	l.open[c] = struct{}{}
	return true
}

func (l *listener) remove(c *callerConn) {
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// waitEmpty waits until all connections have ended, for at most d.
func (l *listener) waitEmpty(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		l.mu.Lock()
		n := len(l.open)
		l.mu.Unlock()
		if n == 0 {
			return
		}
		select {
		case <-l.changed:
		case <-t.C:
			return
		}
	}
}

// closeAll closes all connections at once.
func (l *listener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.Conn.Close()
	}
}

// callerConn is one connection of a caller.
type callerConn struct {
	net.Conn
	l    *listener
	once sync.Once
	// unread is set when the answer was given before the whole request was read.
	unread bool
}

// Write bounds each write, so that a caller that stops reading frees its slot.
func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.l.write)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close closes the connection, after a short drain where the request is unread.
func (c *callerConn) Close() error {
	c.once.Do(func() {
		c.l.remove(c)
		if c.unread {
			go linger(c.Conn)
			return
		}
		c.Conn.Close()
	})
	return nil
}

// linger sends the end of the answer and drops what the caller still sends.
func linger(nc net.Conn) {
	defer nc.Close()
	if t, ok := nc.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_ = nc.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, nc, lingerBytes)
}

// watch notices when a caller closes its connection while its request is served. It
// waits for readability without reading, so it costs nothing until something happens.
// A caller that sends further data early is noticed only by a failing write.
type watch struct {
	conn net.Conn
	done chan struct{}
}

// watchCaller calls gone when the caller closes nc.
func watchCaller(nc net.Conn, gone func()) *watch {
	w := &watch{conn: nc, done: make(chan struct{})}
	cc, ok := nc.(*callerConn)
	if !ok {
		close(w.done)
		return w
	}
	sc, ok := cc.Conn.(syscall.Conn)
	if !ok {
		close(w.done)
		return w
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		close(w.done)
		return w
	}
	_ = nc.SetReadDeadline(time.Time{})
	go func() {
		defer close(w.done)
		closed := false
		err := raw.Read(func(fd uintptr) bool {
			var b [1]byte
			n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
				return false
			}
			closed = err != nil || n == 0
			return true
		})
		if closed || errors.Is(err, net.ErrClosed) {
			gone()
		}
	}()
	return w
}

// stop ends the watch and leaves the connection without a read deadline.
func (w *watch) stop() {
	select {
	case <-w.done:
		return
	default:
	}
	_ = w.conn.SetReadDeadline(time.Unix(1, 0))
	<-w.done
	_ = w.conn.SetReadDeadline(time.Time{})
}

// errGone is the cause of cancelling a call whose caller closed its connection.
var errGone = fault.New(fault.CallerGone, fault.MayHaveRun, "caller went away")

// callerGone says whether ctx ended because the caller closed its connection.
func callerGone(ctx context.Context) bool {
	return fault.CodeOf(context.Cause(ctx)) == fault.CallerGone
}
