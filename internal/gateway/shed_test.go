package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/netopt"
)

// shedBody is the body of the refusals of an overloaded host.
var shedBody = failureBody(fault.HostOverloaded, fault.NotRun)

// Guards against callers that are cut off without a refusal because others connect to an
// overloaded host and send nothing.
func TestSilentConnectionsKeepNoRefusalFromOthers(t *testing.T) {
	gw := newTestGatewayWith(t, document(), limitConnections)
	gw.overload()
	dial := func() net.Conn {
		nc, err := net.Dial("tcp", gw.address)
		gw.Assert(err, qt.IsNil)
		t.Cleanup(func() { nc.Close() })
		return nc
	}
	for range 2 * testMaxConnections {
		dial()
	}
	shed := metrics.GetOrRegisterCounter("gateway.shed", gw.server.opts.Registry)
	settled := func(n ConnectionCounts) bool {
		return int(shed.Count())+n.Open >= 2*testMaxConnections && n.Refusing <= testMaxConnections/refusingDivisor
	}
	refused := 0
	for range 16 {
		gw.waitFor(settled)
		nc := dial()
		// The request of a distant caller arrives after its connection was accepted.
		time.Sleep(5 * time.Millisecond)
		fmt.Fprint(nc, "GET /read/x HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		gw.Assert(err, qt.IsNil, qt.Commentf("after %d refusals", refused))
		if resp.StatusCode == http.StatusServiceUnavailable {
			refused++
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	gw.Assert(refused > 8, qt.IsTrue, qt.Commentf("%d", refused))
}

// Guards against resetting a connection whose request is still arriving when it is refused, which
// may lose the refusal.
func TestRefusalIsNotLostWhileTheBodyArrives(t *testing.T) {
	gw := newTestGatewayWith(t, document(), limitConnections)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	gw.Assert(err, qt.IsNil)
	defer ln.Close()
	shed := newShedListener(ln, gw.server, true)
	const bodyBytes = 20_000
	for _, test := range []struct {
		name string
		// early is what arrives before the refusal, late after it.
		early, late string
	}{
		{"body", fmt.Sprintf("POST /read/x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("x", bodyBytes/2)), strings.Repeat("x", bodyBytes/2)},
		{"head", "GET /read/x HTTP/1.1\r\nHo", "st: h\r\n\r\n"},
		{"chunked", "POST /read/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxx\r\n", "0\r\n\r\n"},
		{"nothing", "POST /read/x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxx", ""},
	} {
		caller, err := net.Dial("tcp", ln.Addr().String())
		gw.Assert(err, qt.IsNil)
		_, err = io.WriteString(caller, test.early)
		gw.Assert(err, qt.IsNil)
		accepted, err := ln.Accept()
		gw.Assert(err, qt.IsNil)
		gw.Assert(hasUnreadWithin(accepted, testTimeout), qt.IsTrue)
		shed.refuse(accepted)
		// The response shows that the host has decided; the rest of the request comes after that.
		br := bufio.NewReader(caller)
		resp, err := http.ReadResponse(br, nil)
		gw.Assert(err, qt.IsNil, qt.Commentf(test.name))
		gw.Check(resp.StatusCode, qt.Equals, 503)
		for part := range slices.Chunk([]byte(test.late), 2_000) {
			_, err = caller.Write(part)
			gw.Check(err, qt.IsNil, qt.Commentf(test.name))
		}
		gw.Check(caller.(*net.TCPConn).CloseWrite(), qt.IsNil, qt.Commentf(test.name))
		_, err = io.Copy(io.Discard, br)
		gw.Check(err, qt.IsNil, qt.Commentf(test.name))
		caller.Close()
	}
}

func hasUnreadWithin(c net.Conn, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if netopt.HasUnread(c) {
			return true
		}
	}
	return false
}

// settledListener accepts connections once their requests have arrived, as a busy host does.
type settledListener struct{ net.Listener }

func (l settledListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		hasUnreadWithin(c, testTimeout)
	}
	return c, err
}

// newFloodedGateway returns an overloaded gateway that the account with the credential k1 floods, and its address.
func newFloodedGateway(t *testing.T, u *upstream) (gw *testGateway, address string) {
	gw = newTestGatewayWith(t, accountsDocument(), quiet, u)
	gw.overload()
	gw.server.limiter.Lock()
	defer gw.server.limiter.Unlock()
	for gw.server.limiter.Admit("hot", time.Now().Add(time.Hour)) {
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	gw.Assert(err, qt.IsNil)
	go func() { _ = gw.server.Serve(settledListener{ln}) }()
	return gw, ln.Addr().String()
}

// callAnew sends a request on a new connection.
func (gw *testGateway) callAnew(address, key string) (*http.Response, string) {
	nc, err := net.Dial("tcp", address)
	gw.Assert(err, qt.IsNil)
	defer nc.Close()
	return exchange(gw.C, nc, bufio.NewReader(nc), rawRequest("POST", key, "r1", "", strings.Repeat("b", 9_000)))
}

// Guards against a flood of one account for which the new connections of all others are refused.
func TestFloodOfOneAccountRefusesNoConnectionOfAnother(t *testing.T) {
	gw, address := newFloodedGateway(t, newUpstream(t, writeRaw("%s", rawResponse(200, "ok"))))
	for range 3 {
		resp, body := gw.callAnew(address, "k2")
		gw.Check(resp.StatusCode, qt.Equals, 200)
		gw.Check(body, qt.Equals, "ok")
		resp, body = gw.callAnew(address, "k1")
		gw.Check(resp.StatusCode, qt.Equals, 503)
		gw.Check(resp.Header.Get("Retry-After"), qt.Equals, "0.400")
		gw.Check(body, qt.Equals, shedBody)
	}
}

// Guards against a leaving host that refuses the connections of all accounts because one floods it.
func TestLeavingHostRefusesOnlyTheConnectionsOfItsFlood(t *testing.T) {
	gw, address := newFloodedGateway(t, newUpstream(t, writeRaw("%s", rawResponse(200, "ok"))))
	gw.setView(func(v *View) { v.Leaving = true })
	for range 3 {
		resp, body := gw.callAnew(address, "k2")
		gw.Check(resp.StatusCode, qt.Equals, 200)
		gw.Check(body, qt.Equals, "ok")
		gw.Check(resp.Close, qt.IsTrue)
		resp, body = gw.callAnew(address, "k1")
		gw.Check(resp.StatusCode, qt.Equals, 503)
		gw.Check(resp.Header.Get("Retry-After"), qt.Equals, "0.100")
		gw.Check(body, qt.Equals, failureBody(fault.HostLeaving, fault.NotRun))
		gw.Check(resp.Close, qt.IsTrue)
	}
}

// unwrittenConn fails a test if the host responds on it.
type unwrittenConn struct {
	*net.TCPConn
	t *testing.T
}

func (c unwrittenConn) Write([]byte) (int, error) {
	c.t.Error("the host responded to a caller that had left")
	return 0, net.ErrClosed
}

// Guards against a flooded host that spends its processor time on connections whose callers have given up in its queue.
func TestConnectionThatItsCallerHasGivenUpGetsNoResponse(t *testing.T) {
	gw := newTestGatewayWith(t, document(), quiet)
	gw.overload()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	gw.Assert(err, qt.IsNil)
	ln := chanListener{Listener: tcp, conns: make(chan net.Conn)}
	t.Cleanup(func() { close(ln.conns) })
	go func() { _ = gw.server.Serve(ln) }()
	for range 20 {
		caller, err := net.Dial("tcp", tcp.Addr().String())
		gw.Assert(err, qt.IsNil)
		_, err = io.WriteString(caller, "GET /read/x HTTP/1.1\r\nHost: h\r\n\r\n")
		gw.Assert(err, qt.IsNil)
		gw.Assert(caller.Close(), qt.IsNil)
		c, err := tcp.Accept()
		gw.Assert(err, qt.IsNil)
		gw.Assert(endedWithin(c, testTimeout), qt.IsTrue)
		ln.conns <- unwrittenConn{c.(*net.TCPConn), t}
	}
	last, err := net.Dial("tcp", tcp.Addr().String())
	gw.Assert(err, qt.IsNil)
	defer last.Close()
	c, err := tcp.Accept()
	gw.Assert(err, qt.IsNil)
	ln.conns <- c // the listener takes it once it is done with the one before
	gw.Check(gw.counted("shed_abandoned"), qt.Equals, int64(20))
	gw.Check(gw.counted("shed_unread"), qt.Equals, int64(0))
}

func endedWithin(c net.Conn, timeout time.Duration) bool {
	raw, ok := netopt.RawConn(c)
	for end := time.Now().Add(timeout); ok && time.Now().Before(end); time.Sleep(time.Millisecond) {
		if received, err := netopt.LastReceived(raw); err == nil && received.Ended {
			return true
		}
	}
	return false
}

// Guards against a flood of connections that keeps the host from reading any other one, because the
// scheduler looks for network events only between goroutines that can run.
func TestAcceptingAFloodPauses(t *testing.T) {
	gw := newTestGatewayWith(t, document(), quiet)
	l := newShedListener(nil, gw.server, false)
	pauses := 0
	l.pause = func() { pauses++ }
	for range 10 * acceptBatch {
		l.pauseInAFlood()
	}
	gw.Assert(pauses, qt.Equals, 0)
	gw.overload()
	for range 10 * acceptBatch {
		l.pauseInAFlood()
	}
	gw.Assert(pauses, qt.Equals, 10)
}
