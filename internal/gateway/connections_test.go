package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	testMaxConnections = 32
	// maxWithClosing is the bound of all connections, with those that are being closed.
	maxWithClosing = testMaxConnections + testMaxConnections/16 + 1
	// testTimeout bounds waits for events that always happen on a correct host.
	testTimeout = 5 * time.Second
)

// starvedConn sends one request. After it, reads end only with Close and not at the read
// deadline, as on a host whose goroutines get no CPU time.
type starvedConn struct {
	net.Conn
	request   io.Reader
	responded chan struct{}
	closed    chan struct{}
	once      [2]sync.Once
}

func newStarvedConn() *starvedConn {
	end, _ := net.Pipe()
	request := strings.NewReader("GET /unknown HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n")
	return &starvedConn{Conn: end, request: request, responded: make(chan struct{}), closed: make(chan struct{})}
}

func (c *starvedConn) Read(p []byte) (int, error) {
	if n, err := c.request.Read(p); err == nil {
		return n, nil
	}
	<-c.closed
	return 0, net.ErrClosed
}

func (c *starvedConn) Write(p []byte) (int, error) {
	c.once[0].Do(func() { close(c.responded) })
	return len(p), nil
}

func (c *starvedConn) Close() error {
	c.once[1].Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// chanListener accepts the connections of a channel.
type chanListener struct {
	net.Listener
	conns chan net.Conn
}

func (l chanListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func limitConnections(opts *Options) { opts.MaxConnections = testMaxConnections }

// Guards against a host that ends by memory because connections that it is closing don't count.
func TestConnectionsAreBoundedWhileClosingIsSlow(t *testing.T) {
	gw := newTestGatewayWith(t, document(), limitConnections)
	ln := chanListener{conns: make(chan net.Conn)}
	real, err := net.Listen("tcp", "127.0.0.1:0")
	gw.Assert(err, qt.IsNil)
	ln.Listener = real
	go func() { _ = gw.server.Serve(ln) }()
	t.Cleanup(func() { close(ln.conns) })
	for i := range 8 * testMaxConnections {
		c := newStarvedConn()
		t.Cleanup(func() { c.Close() })
		ln.conns <- c
		select {
		case <-c.responded:
		case <-c.closed:
		case <-time.After(testTimeout):
			t.Fatalf("connection %d was neither served nor refused", i)
		}
	}
	gw.Assert(gw.server.Connections().Open <= maxWithClosing, qt.IsTrue, qt.Commentf("%+v", gw.server.Connections()))
}

// Guards against a host that ends by memory because connections whose first request has not
// arrived whole have no bound.
func TestHalfSentRequestsAreBounded(t *testing.T) {
	gw := newTestGatewayWith(t, document(), func(opts *Options) {
		limitConnections(opts)
		opts.ReadHeaderTimeout = time.Minute
	})
	const callers = 8 * testMaxConnections
	refused := make(chan struct{}, callers)
	for range callers {
		c, err := net.Dial("tcp", gw.address)
		gw.Assert(err, qt.IsNil)
		t.Cleanup(func() { c.Close() })
		fmt.Fprint(c, "GET /read/x HTTP/1.1\r\nHost: h\r\n")
		go func() {
			_, _ = c.Read(make([]byte, 1))
			refused <- struct{}{}
		}()
	}
	for n := range callers - testMaxConnections {
		select {
		case <-refused:
		case <-time.After(testTimeout):
			t.Fatalf("%d of %d callers were refused; connections: %+v", n, callers, gw.server.Connections())
		}
	}
	gw.Assert(gw.server.Connections().Open <= maxWithClosing, qt.IsTrue, qt.Commentf("%+v", gw.server.Connections()))
}

// Guards against a host at its limit that cuts off a whole request without telling that it
// has not run.
func TestRequestsAboveTheConnectionLimitAreRefused(t *testing.T) {
	gw := newTestGatewayWith(t, document(), limitConnections)
	for range testMaxConnections {
		c, err := net.Dial("tcp", gw.address)
		gw.Assert(err, qt.IsNil)
		t.Cleanup(func() { c.Close() })
		fmt.Fprint(c, "GET /read/x HTTP/1.1\r\nHost: h\r\n")
	}
	gw.waitFor(func(n ConnectionCounts) bool { return n.Open == testMaxConnections })
	resp, body, _ := gw.do("POST", "/order/x", strings.Repeat("b", 9_000))
	gw.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	gw.Assert(resp.Header.Get("Retry-After"), qt.Equals, "0.400")
	gw.Assert(body, qt.Equals, shedBody)
}

// Guards against refusals without a bound when callers connect faster than the host refuses
// them and send nothing.
func TestRefusalsOfSilentConnectionsAreBounded(t *testing.T) {
	gw := newTestGatewayWith(t, document(), limitConnections)
	gw.overload()
	most := 0
	for range 8 * testMaxConnections {
		c, err := net.Dial("tcp", gw.address)
		gw.Assert(err, qt.IsNil)
		t.Cleanup(func() { c.Close() })
		most = max(most, gw.server.Connections().Refusing)
	}
	gw.Assert(most <= testMaxConnections/2, qt.IsTrue, qt.Commentf("%d connections were being refused at once", most))
}

// overload feeds the limiter timers that fire later and later, so that it refuses most new
// connections. It returns the time before the first of them.
func (gw *testGateway) overload() time.Time {
	now := time.Now()
	gw.server.limiter.Lock()
	defer gw.server.limiter.Unlock()
	for i := range 100 {
		gw.server.limiter.Admit("hot", now)
		gw.server.limiter.Observe(time.Duration(1+i)*time.Second, now.Add(time.Duration(i)*20*time.Millisecond))
	}
	return now
}

// waitFor waits until the counts of the callers' connections meet a condition.
func (gw *testGateway) waitFor(condition func(ConnectionCounts) bool) {
	for end := time.Now().Add(testTimeout); !condition(gw.server.Connections()); time.Sleep(time.Millisecond) {
		gw.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%+v", gw.server.Connections()))
	}
}

// Callers of an overloaded host at its connection limit had their kept connections cut, each for a new one, as their
// next requests were on the way.
func TestOverloadedHostEndsNoKeptConnectionForANewOne(t *testing.T) {
	const limit = 3
	gw := newTestGatewayWith(t, document(), func(opts *Options) { opts.MaxConnections = limit }, newUpstream(t, writeRaw("%s", rawResponse(200, "ok"))))
	exchange := func(nc net.Conn) (status int, err error) {
		fmt.Fprint(nc, plainRequest)
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, nil
	}
	dial := func() net.Conn {
		nc, err := net.Dial("tcp", gw.address)
		gw.Assert(err, qt.IsNil)
		t.Cleanup(func() { nc.Close() })
		return nc
	}
	var kept []net.Conn
	for range limit {
		nc := dial()
		status, err := exchange(nc)
		gw.Assert(err, qt.IsNil)
		gw.Assert(status, qt.Equals, http.StatusOK)
		kept = append(kept, nc)
	}
	gw.waitFor(func(n ConnectionCounts) bool { return n.Idle == limit })
	gw.overload()
	for range 8 * limit {
		status, err := exchange(dial())
		gw.Assert(err, qt.IsNil)
		gw.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	}
	for _, nc := range kept {
		_, err := exchange(nc)
		gw.Assert(err, qt.IsNil)
	}
}
