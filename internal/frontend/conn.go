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
	"marigoldshunt/internal/netopt"
)

// Limits for a lingering close, used if the caller may still be sending. Closing a socket
// with unread data resets the connection, and the reset can discard the response before the
// caller has read it.
const (
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
)

// maxLingering is how many connections above the connection limit may linger at a time.
// Further ones are closed at once.
const maxLingering = 256

// tooManyConnections is the whole response on a connection above the limit.
var tooManyConnections = rawRefusal(fault.New(fault.QueueFull, fault.NotRun, "too many connections").WithRetryAfter(time.Second))

// connectionEnds is the whole response to a request that had arrived on an idle connection when that
// was closed.
var connectionEnds = rawRefusal(fault.New(fault.HostLeaving, fault.NotRun, "the connection ends").WithRetryAfter(time.Second))

// rawRefusal encodes e as an HTTP response that ends its connection.
func rawRefusal(e *fault.Error) []byte {
	var resp fasthttp.Response
	resp.SetStatusCode(statusOf(e.Code))
	setError(&resp, e)
	resp.SetConnectionClose()
	var b bytes.Buffer
	_, _ = resp.WriteTo(&b)
	return b.Bytes()
}

// listener limits the number of connections and keeps track of them.
type listener struct {
	net.Listener
	maxConnections int
	writeTimeout   time.Duration
	mu             sync.Mutex
	open           map[*callerConn]struct{}
	// removed signals that a connection was removed.
	removed   chan struct{}
	lingering atomic.Int64
}

// Accept returns the next connection within the limit. Connections above the limit get a
// typed error response.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &callerConn{Conn: nc, listener: l}
		if l.add(c) {
			return c, nil
		}
		l.refuse(nc)
	}
}

// refuse responds to a connection above the limit and closes it.
func (l *listener) refuse(nc net.Conn) {
	_ = nc.SetDeadline(time.Now().Add(lingerTimeout))
	_, _ = nc.Write(tooManyConnections)
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
	if len(l.open) >= l.maxConnections {
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
	case l.removed <- struct{}{}:
	default:
	}
}

// waitEmpty waits until all connections are closed, for at most d.
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
		case <-l.removed:
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
	listener  *listener
	closeOnce sync.Once
	// requestUnread is set if the response is sent before the whole request was read.
	requestUnread bool
	// idle is true while the HTTP server waits for another request.
	idle atomic.Bool
}

// connStateChanged is the ConnState hook of the HTTP server.
func connStateChanged(nc net.Conn, state fasthttp.ConnState) {
	if c, ok := nc.(*callerConn); ok && state != fasthttp.StateClosed {
		c.idle.Store(state == fasthttp.StateIdle)
	}
}

// Write bounds the time of each write, so that a caller that stops reading does not keep
// its connection, which counts against MaxConnections, forever.
func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.listener.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close closes the connection. If the request is not fully read, the connection lingers and
// counts until that has ended. A request that has arrived on an idle connection is refused: the HTTP
// server closes those without a look at a shutdown and at the idle timeout.
func (c *callerConn) Close() error {
	c.closeOnce.Do(func() {
		refused := c.idle.Load() && netopt.HasUnread(c.Conn)
		if refused || c.requestUnread {
			go func() {
				defer c.listener.remove(c)
				if refused {
					_ = c.SetWriteDeadline(time.Now().Add(lingerTimeout))
					_, _ = c.Conn.Write(connectionEnds) // if it fails, the caller is gone
				}
				linger(c.Conn)
			}()
			return
		}
		c.listener.remove(c)
		c.Conn.Close()
	})
	return nil
}

// linger sends FIN after the response and discards, within limits, what the caller still
// sends.
func linger(nc net.Conn) {
	defer nc.Close()
	if t, ok := nc.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_ = nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, nc, maxLingerBytes)
}

// callerWatch detects that a caller closes its connection while its request is served. It
// waits until the connection is readable but does not read, so it costs nothing until then.
// If a caller has sent further data before, its close is detected only by a failing write.
type callerWatch struct {
	conn net.Conn
	done chan struct{}
}

// watchCaller calls onClose when the caller closes nc.
func watchCaller(nc net.Conn, onClose func()) *callerWatch {
	w := &callerWatch{conn: nc, done: make(chan struct{})}
	cc, ok := nc.(*callerConn)
	if !ok {
		close(w.done)
		return w
	}
	raw, ok := netopt.RawConn(cc.Conn)
	if !ok {
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
			onClose()
		}
	}()
	return w
}

// stop ends the watch and leaves the connection without a read deadline.
func (w *callerWatch) stop() {
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

// callerGone reports whether ctx was cancelled because the caller closed its connection.
func callerGone(ctx context.Context) bool {
	return fault.CodeOf(context.Cause(ctx)) == fault.CallerGone
}
