package gateway

import (
	"container/list"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/netopt"
)

// Limits for connections that are refused before their requests are parsed.
const (
	// refuseTimeout bounds the wait for the request of such a connection, and
	// refuseReadBytes one read of it. The request is read, because closing a connection with
	// unread bytes resets it and may lose the response.
	refuseTimeout   = 300 * time.Millisecond
	refuseReadBytes = 16 << 10
	maxDrainReads   = 4
	// refusingDivisor is the ratio of the connection limit to the number of connections that
	// wait at once for the request that they refuse; maxRefusing is that number without a
	// connection limit. As many may be ending.
	refusingDivisor = 16
	maxRefusing     = 256
	// An overloaded host pauses for acceptPause after acceptBatch connections, so that other goroutines get a turn.
	// The pause lasts longer where CPU time is short, so that the two are no rate.
	acceptBatch = 8
	acceptPause = time.Millisecond
)

// The responses to the first request of a connection that is refused, by a host that stays and one that leaves. A
// 503 guarantees that the request was not run.
var (
	shedResponse        = overloadedRefusal.onNewConnection()
	leavingShedResponse = leavingRefusal.onNewConnection()
)

// onNewConnection returns the whole refusal of a request that was not parsed, after which the connection ends.
func (r *earlyRefusal) onNewConnection() string {
	return r.head + connectionClose + "\r\n" + r.body
}

// shedListener refuses new connections at the connection limit, and a fraction of them while
// the host is overloaded. That takes a tenth of the time of a refusal that parses the request.
type shedListener struct {
	net.Listener
	server *Server
	// offloads is true if requests may be passed on to other hosts.
	offloads bool
	// accepted counts the connections since the last pause.
	accepted int
	pause    func()
	// buf receives the requests that are refused by Accept itself.
	buf []byte
}

func newShedListener(ln net.Listener, s *Server, offloads bool) *shedListener {
	return &shedListener{Listener: ln, server: s, offloads: offloads, pause: func() { time.Sleep(acceptPause) }, buf: make([]byte, refuseReadBytes)}
}

// Accept implements net.Listener.
func (l *shedListener) Accept() (net.Conn, error) {
	for {
		l.pauseInAFlood()
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		received := l.received(c)
		if received.Ended {
			l.server.count("shed_abandoned")
			_ = c.Close() // nobody waits for a response
			continue
		}
		if !l.refuses(c) {
			if l.server.makeRoom() {
				return c, nil
			}
			l.server.loads.refuseConnection()
			l.server.count("shed_no_room")
		}
		l.countRefused(received)
		l.refuse(c)
	}
}

// makeRoom reports whether one more connection may be opened. An overloaded host ends no idle connection for it: the
// request that is next on that one may be on the way, and its caller would open a new connection too, which costs the
// host more CPU time than the request.
func (s *Server) makeRoom() bool { return s.conns.makeRoom(!s.Busy()) }

// received returns what a connection received until it was accepted. On an overloaded host many callers give up
// before that. It returns the zero value on another host, and if it is not known.
func (l *shedListener) received(c net.Conn) netopt.Received {
	raw, ok := netopt.RawConn(c)
	if !ok || !l.server.Busy() {
		return netopt.Received{}
	}
	received, _ := netopt.LastReceived(raw) // it fails only if the connection is already closed
	return received
}

// countRefused counts a connection that is refused.
func (l *shedListener) countRefused(received netopt.Received) {
	l.server.count("shed")
	l.server.shedWaited().Update(received.Ago)
	if l.server.opts.View().Leaving {
		l.server.count("shed_leaving")
	}
}

// pauseInAFlood pauses after acceptBatch connections while the host is overloaded. Where connections
// always wait, Accept never does, and the scheduler looks for network events only if no goroutine can run: all
// other connections would wait for hundreds of milliseconds, which timers don't show.
func (l *shedListener) pauseInAFlood() {
	if l.accepted++; l.accepted < acceptBatch {
		return
	}
	l.accepted = 0
	if l.server.Busy() {
		l.pause()
	}
}

// refuses reports whether to refuse a new connection. It looks at the request first, if its head has
// arrived, and spares it if its account may still be served or passed on. That takes little more time than
// to refuse any connection.
func (l *shedListener) refuses(c net.Conn) bool {
	s := l.server
	if !s.shed() {
		return false
	}
	account, mayOffload := l.look(c)
	if account == "" {
		s.loads.refuseConnection()
		return true
	}
	s.limiter.Lock()
	refused := s.limiter.RefusesAtOnce(account, mayOffload, time.Now())
	s.limiter.Unlock()
	if refused {
		s.loads.refuse(account, causeRateLimited)
	}
	return refused
}

// shedFields returns what became of the refused connections since the start, as fields of a log line.
func (s *Server) shedFields() logrus.Fields {
	fields := logrus.Fields{"shed_waited_ms": time.Duration(s.shedWaited().Mean()).Milliseconds()}
	for _, name := range []string{"shed", "shed_abandoned", "shed_leaving", "shed_evicted", "shed_unread"} {
		fields[name] = metrics.GetOrRegisterCounter("gateway."+name, s.opts.Registry).Count()
	}
	return fields
}

// shedWaited is how long refused connections had waited to be accepted.
func (s *Server) shedWaited() metrics.Timer {
	return metrics.GetOrRegisterTimer("gateway.shed_waited", s.opts.Registry)
}

// look returns the account of the request that has arrived on a connection, empty if it is not known,
// and whether the request may be passed on. It consumes nothing.
func (l *shedListener) look(c net.Conn) (account string, mayOffload bool) {
	raw, ok := netopt.RawConn(c)
	if !ok {
		return "", false
	}
	h, ok := l.server.opts.HeaderNames.parseHead(l.buf[:netopt.Peek(raw, l.buf)])
	if !ok {
		return "", false
	}
	view := l.server.opts.View()
	if view.Check(l.server.opts.MaxAges) != nil {
		return "", false
	}
	a, route := view.accountAndRoute(&h)
	if a == nil {
		return "", false
	}
	return a.Name, l.offloads && route != nil && h.mayOffload() && l.server.offloader.usable()
}

// refuse responds to the first request of a connection without parsing it. On a host that is
// short of CPU time the request has arrived already, and no goroutine or buffer is held for
// it. The number of connections that wait for their request is bounded; above it they are
// closed unread, which tells callers that nothing has run.
func (l *shedListener) refuse(c net.Conn) {
	n := 0
	if raw, ok := netopt.RawConn(c); ok {
		n = netopt.ReadAvailable(raw, l.buf)
		if n > 0 && l.server.readAvailableRest(raw, l.buf, n) {
			l.server.respondRefusal(c, l.buf)
			return
		}
	}
	waiting := l.server.beginRefusal(c)
	switch {
	case waiting != nil:
		go func() {
			defer l.server.endRefusal(waiting)
			l.server.refuseConn(c, n > 0)
		}()
	case n > 0:
		l.server.respondRefusal(c, l.buf)
	default:
		l.server.count("shed_unread")
		_ = c.Close() // no error matters on a connection without an exchange
	}
}

// readAvailableRest reads what has arrived of a request that begins with the first n bytes of
// buf, and reports whether that is all of it. It uses buf.
func (s *Server) readAvailableRest(raw syscall.RawConn, buf []byte, n int) bool {
	h, ok := s.opts.HeaderNames.parseHead(buf[:n])
	if !ok {
		return false
	}
	for missing := h.headBytes + h.bodyBytes - n; missing > 0; missing -= n {
		if n = netopt.ReadAvailable(raw, buf); n == 0 {
			return false
		}
	}
	return true
}

// beginRefusal counts one more connection that waits for the request that it refuses. If there
// are too many, it ends the wait of the first one, so that callers that send nothing keep no
// refusal from others. It returns nil if too many have not ended yet.
func (s *Server) beginRefusal(c net.Conn) *list.Element {
	most := int64(maxRefusing)
	if s.opts.MaxConnections > 0 {
		most = int64(max(s.opts.MaxConnections/refusingDivisor, 1))
	}
	if s.refusing.Load() >= 2*most || c.SetReadDeadline(time.Now().Add(refuseTimeout)) != nil {
		return nil
	}
	s.refusing.Add(1)
	s.awaited.Lock()
	defer s.awaited.Unlock()
	if int64(s.awaited.Len()) >= most {
		s.count("shed_evicted")
		first := s.awaited.Remove(s.awaited.Front()).(net.Conn)
		_ = first.SetReadDeadline(pastDeadline) // fails only if it is already closed
	}
	return s.awaited.PushBack(c)
}

func (s *Server) endRefusal(e *list.Element) {
	s.awaited.Lock()
	s.awaited.Remove(e) // does nothing if its wait was ended
	s.awaited.Unlock()
	s.refusing.Add(-1)
}

// shed reports whether to refuse a new connection.
func (s *Server) shed() bool {
	fraction := s.randomFraction()
	s.limiter.Lock()
	defer s.limiter.Unlock()
	return s.limiter.Shed(fraction)
}

// refuseConn waits for the first request of a connection, unless its beginning was read, and
// responds to it. If the rest of the request may still arrive, it closes the connection once the
// caller has closed its side, or at the read deadline.
func (s *Server) refuseConn(c net.Conn, begun bool) {
	defer c.Close()
	buf := make([]byte, refuseReadBytes)
	whole := false
	if !begun {
		n, _ := c.Read(buf)
		// A goroutine that gets CPU time late finds its deadline passed and the request there.
		if n == 0 && !netopt.HasUnread(c) {
			return // the caller sent nothing
		}
		raw, ok := netopt.RawConn(c)
		whole = ok && s.readAvailableRest(raw, buf, n)
	}
	if !s.writeRefusal(c, buf) || whole || closeWrite(c) != nil {
		return
	}
	for {
		if _, err := c.Read(buf); err != nil {
			return
		}
	}
}

// closeWrite ends the sending side of a connection, so that the caller closes its own.
func closeWrite(c net.Conn) error {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return t.CloseWrite()
}

// respondRefusal responds to a request that was read, and closes the connection.
func (s *Server) respondRefusal(c net.Conn, buf []byte) {
	defer c.Close()
	s.writeRefusal(c, buf)
}

// writeRefusal responds to a request of which the beginning was read, and reads what else has
// arrived, because unread bytes would make Close reset the connection. The response fits into
// the socket buffer, so writing it does not wait.
func (s *Server) writeRefusal(c net.Conn, buf []byte) bool {
	response := shedResponse
	if s.opts.View().Leaving || s.stopping.Err() != nil {
		response = leavingShedResponse
	}
	if _, err := io.WriteString(c, response); err != nil {
		return false
	}
	raw, ok := netopt.RawConn(c)
	for range maxDrainReads {
		if !ok || netopt.ReadAvailable(raw, buf) == 0 {
			break
		}
	}
	return true
}
