package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/netopt"
)

// heldConn is a connection of a caller whose goroutine at the host gets no CPU time from a state on,
// until release.
type heldConn struct {
	net.Conn
	server  *Server
	release func()
}

// hold returns a connection that was held in state, after it sent request.
func (gw *testGateway) hold(state http.ConnState, request string) heldConn {
	reached, released := make(chan *Server, 1), make(chan struct{})
	nc := gw.serveWithHook(func(*Server, http.ConnState) {}, func(s *Server, current http.ConnState) {
		if current == state {
			select {
			case reached <- s:
			default:
			}
			<-released
		}
	})
	release := sync.OnceFunc(func() { close(released) })
	gw.Cleanup(release)
	_, err := io.WriteString(nc, request)
	gw.Assert(err, qt.IsNil)
	select {
	case s := <-reached:
		return heldConn{nc, s, release}
	case <-time.After(testTimeout):
		gw.Fatalf("the connection was not held in state %s", state)
	}
	return heldConn{}
}

// sendUnread sends bytes and waits until they have arrived at the host.
func (h *heldConn) sendUnread(c *qt.C, p string) {
	_, err := io.WriteString(h, p)
	c.Assert(err, qt.IsNil)
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if _, unread := h.server.conns.countUnread(); unread > 0 {
			return
		}
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("the request doesn't arrive"))
	}
}

func (h *heldConn) waitForClosing(c *qt.C) {
	for end := time.Now().Add(testTimeout); h.server.Connections().Closing == 0; time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("no wait was ended: %+v", h.server.Connections()))
	}
}

const plainRequest = "GET /read/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n"

// Callers on a stopping and on a full host saw kept connections reset although their request had arrived.
func TestRequestOnAConnectionThatEndsIsAnsweredOrRefused(t *testing.T) {
	room := func(s *Server) { s.conns.makeRoom(true) }
	stop := func(s *Server) { go func() { _ = s.Shutdown(context.Background()) }() }
	for _, tc := range []struct {
		name        string
		end         func(s *Server)
		begin, rest string
		status      int
		closes      bool
		reason      connEnd
	}{
		{"idle time", closeAllIdle, plainRequest, "", 200, false, endIdle},
		{"room", room, plainRequest, "", 503, true, endRoom},
		{"stop", stop, plainRequest, "", 200, true, endStop},
		{"idle time, half a head", closeAllIdle, plainRequest[:9], plainRequest[9:], 200, false, endIdle},
		{"stop, half a head", stop, plainRequest[:9], plainRequest[9:], 200, true, endStop},
		{"room, half a head", room, plainRequest[:9], plainRequest[9:], 503, true, endRoom},
		{"room, two requests", room, plainRequest + plainRequest, "", 503, true, endRoom},
		{"room, a body that arrives later", room, "POST /order/x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n", "ok", 503, true, endRoom},
	} {
		t.Run(tc.name, func(t *testing.T) {
			gw := newTestGatewayWith(t, document(), func(opts *Options) { opts.MaxConnections = 1 }, newUpstream(t, writeRaw("%s", rawResponse(200, "ok"))))
			h := gw.hold(http.StateIdle, plainRequest)
			gw.setView(func(v *View) { v.Leaving = tc.reason == endStop })
			br := bufio.NewReader(h)
			read := func() *http.Response {
				resp, err := http.ReadResponse(br, nil)
				gw.Assert(err, qt.IsNil)
				_, err = io.Copy(io.Discard, resp.Body)
				gw.Assert(err, qt.IsNil)
				return resp
			}
			h.sendUnread(gw.C, tc.begin)
			tc.end(h.server)
			h.waitForClosing(gw.C)
			unread := h.server.ends.unread(tc.reason)
			h.release()
			_, err := io.WriteString(h, tc.rest)
			gw.Assert(err, qt.IsNil)
			gw.Assert(read().StatusCode, qt.Equals, 200)
			resp := read()
			gw.Assert(resp.StatusCode, qt.Equals, tc.status)
			gw.Assert(resp.Close, qt.Equals, tc.closes)
			gw.Assert(resp.Header.Get("Retry-After") != "", qt.Equals, tc.status == 503)
			gw.Assert(unread.Count(), qt.Equals, int64(1))
			if tc.closes {
				_, err := br.ReadByte()
				gw.Assert(err, qt.Equals, io.EOF)
			}
		})
	}
}

// Callers saw connections reset that waited in the queue of a stopping host's listener.
func TestRequestsInTheListenersQueueAtAStopAreAnswered(t *testing.T) {
	const callers = 20
	gw := newTestGateway(t, document(), newUpstream(t, writeRaw("%s", rawResponse(200, "ok"))))
	gw.setView(func(v *View) { v.Leaving = true })
	h := gw.hold(http.StateNew, plainRequest) // the listener accepts no other connection meanwhile
	queued := []net.Conn{h}
	for range callers {
		nc, err := net.Dial("tcp", h.RemoteAddr().String())
		gw.Assert(err, qt.IsNil)
		t.Cleanup(func() { nc.Close() })
		gw.Assert(nc.SetReadDeadline(time.Now().Add(testTimeout)), qt.IsNil)
		fmt.Fprint(nc, plainRequest)
		queued = append(queued, nc)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- h.server.Shutdown(context.Background()) }()
	<-h.server.stopping.Done()
	h.release()
	answered := 0
	for _, nc := range queued {
		if resp, err := http.ReadResponse(bufio.NewReader(nc), nil); err == nil && resp.StatusCode == 200 {
			answered++
		}
	}
	gw.Assert(answered, qt.Equals, callers+1)
	gw.Assert(<-stopped, qt.IsNil)
}

// Callers saw connections reset at the end of a stop whose requests a busy host had not begun to read.
func TestRequestThatNobodyReadIsRefusedAtTheEndOfAStop(t *testing.T) {
	var logged bytes.Buffer
	gw := newTestGatewayWith(t, document(), func(opts *Options) {
		log := logrus.New()
		log.SetOutput(&logged)
		opts.Log = log
	})
	h := gw.hold(http.StateNew, plainRequest)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- h.server.Shutdown(ctx) }()
	h.waitForClosing(gw.C)
	h.release()
	answer, err := io.ReadAll(h)
	gw.Assert(err, qt.IsNil)
	gw.Assert(string(answer), qt.Contains, "HTTP/1.1 503 ")
	gw.Assert(string(answer), qt.Contains, `"run_state":"not_run"`)
	gw.Assert(<-stopped, qt.IsNil)
	gw.Assert(logged.String(), qt.Contains, "late=1 late_unread=1")
}

// Callers saw requests cut at the limit for headers although these had arrived whole before a busy host read them.
func TestHeaderThatHasArrivedIsReadAfterItsLimit(t *testing.T) {
	gw := newTestGateway(t, document())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	gw.Assert(err, qt.IsNil)
	defer ln.Close()
	caller, err := net.Dial("tcp", ln.Addr().String())
	gw.Assert(err, qt.IsNil)
	defer caller.Close()
	nc, err := ln.Accept()
	gw.Assert(err, qt.IsNil)
	defer nc.Close()
	notEarly := func(*headerConn, []byte) (bool, error) { return false, nil }
	c := &headerConn{TCPConn: nc.(*net.TCPConn), server: gw.server, handleEarly: notEarly, headerStart: time.Now()}
	gw.Assert(c.SetReadDeadline(pastDeadline), qt.IsNil)
	fmt.Fprint(caller, plainRequest)
	for end := time.Now().Add(testTimeout); !netopt.HasUnread(c); time.Sleep(time.Millisecond) {
		gw.Assert(time.Now().Before(end), qt.IsTrue)
	}
	p := make([]byte, 4<<10)
	n, err := c.Read(p)
	gw.Assert(err, qt.IsNil)
	gw.Assert(string(p[:n]), qt.Equals, plainRequest)
	_, err = c.Read(p[n:])
	gw.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded)
}

// Guards against callers that keep a connection for ever with half a head, because the idle limit ended their wait.
func TestHeadThatTheIdleLimitMetIsStillBounded(t *testing.T) {
	gw := newTestGatewayWith(t, document(), func(opts *Options) { opts.ReadHeaderTimeout = 200 * time.Millisecond }, newUpstream(t, writeRaw("%s", rawResponse(200, "ok"))))
	h := gw.hold(http.StateIdle, plainRequest)
	h.sendUnread(gw.C, plainRequest[:9])
	h.release()
	for hasUnread := 1; hasUnread > 0; time.Sleep(time.Millisecond) {
		_, hasUnread = h.server.conns.countUnread()
	}
	closeAllIdle(h.server)
	gw.Assert(h.SetReadDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	_, err := io.Copy(io.Discard, h)
	gw.Assert(err, qt.IsNil)
}

// lateContext is one of a stop that is about to end and doesn't.
type lateContext struct{ context.Context }

func (lateContext) Deadline() (time.Time, bool) { return time.Now(), true }

// Guards against a process that ends while it waits for the requests of connections that it refuses.
func TestStopWaitsForConnectionsThatAreBeingRefused(t *testing.T) {
	gw := newTestGateway(t, document())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	gw.Assert(err, qt.IsNil)
	defer ln.Close()
	caller, err := net.Dial("tcp", ln.Addr().String())
	gw.Assert(err, qt.IsNil)
	defer caller.Close()
	accepted, err := ln.Accept()
	gw.Assert(err, qt.IsNil)
	newShedListener(ln, gw.server, true).refuse(accepted)
	gw.Assert(gw.server.Connections().Refusing, qt.Equals, 1)
	gw.Assert(gw.server.Shutdown(lateContext{context.Background()}), qt.IsNil)
	gw.Assert(gw.server.Connections().Refusing, qt.Equals, 0)
}
