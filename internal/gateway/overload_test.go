package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/routing"
)

// Guards against forwarding everything while the host is short of CPU time, and against
// refusing a request that ran or refusing without a Retry-After.
func TestOverloadedHostRefuses(t *testing.T) {
	d := document()
	d.Accounts = []routing.Account{{Name: "hot", Credentials: []string{"k1"}}, {Name: "small", Credentials: []string{"k2"}}}
	u := newUpstream(t, writeRaw("%s", rawResponse(200, "ok")))
	gw := newTestGateway(t, d, u)
	for range 40 {
		resp, _, _ := gw.do("GET", "/read/x", "", "X-Api-Key: k1")
		gw.Assert(resp.StatusCode, qt.Equals, 200)
	}
	// Timers fire late for a while, but not so late that connections are refused.
	now := time.Now()
	gw.server.limiter.Lock()
	for i := range 100 {
		gw.server.limiter.Observe(60*time.Millisecond, now.Add(time.Duration(i)*20*time.Millisecond))
	}
	gw.server.limiter.Unlock()
	refused := 0
	for range 40 {
		before := len(u.requests())
		resp, body, _ := gw.do("GET", "/read/x", "", "X-Api-Key: k1")
		if resp.StatusCode == 200 {
			continue
		}
		refused++
		gw.Assert(resp.StatusCode, qt.Equals, 503)
		gw.Assert(resp.Header.Get("Retry-After"), qt.Equals, "0.400")
		gw.Assert(body, qt.Contains, `"code":"host_overloaded","run_state":"not_run"`)
		gw.Assert(len(u.requests()), qt.Equals, before)
	}
	gw.Assert(refused > 20, qt.IsTrue, qt.Commentf("%d", refused))
	resp, _, _ := gw.do("GET", "/read/x", "", "X-Api-Key: k2")
	gw.Assert(resp.StatusCode, qt.Equals, 200)
}

// Guards against refusing new connections without a response, and against still refusing them
// when the host is no longer overloaded.
func TestNewConnectionsAreShed(t *testing.T) {
	u := newUpstream(t, writeRaw("%s", rawResponse(200, "ok")))
	gw := newTestGateway(t, document(), u)
	now := gw.overload()
	refused := 0
	for range 100 {
		before := len(u.requests())
		resp, body, _ := gw.do("POST", "/order/x", strings.Repeat("b", 9_000))
		if resp.StatusCode != 503 {
			continue
		}
		refused++
		gw.Assert(resp.Header.Get("Retry-After"), qt.Equals, "0.400")
		gw.Assert(body, qt.Equals, shedBody)
		gw.Assert(len(u.requests()), qt.Equals, before)
	}
	gw.Assert(refused > 50, qt.IsTrue, qt.Commentf("%d", refused))
	for i := range 3_000 {
		gw.server.limiter.Lock()
		gw.server.limiter.Observe(0, now.Add(time.Minute+time.Duration(i)*100*time.Millisecond))
		gw.server.limiter.Unlock()
	}
	for range 50 {
		resp, _, _ := gw.do("POST", "/order/x", "b")
		gw.Assert(resp.StatusCode, qt.Equals, 200)
	}
}

// Guards against an unbounded number of concurrent requests that exhausts the host's memory.
func TestConcurrentRequestsAreBounded(t *testing.T) {
	begun, end := make(chan struct{}, 8), make(chan struct{})
	u := newUpstream(t, func(req *receivedRequest) {
		begun <- struct{}{}
		<-end
		writeRaw("%s", rawResponse(200, "ok"))(req)
	})
	gw := newTestGatewayWith(t, document(), func(opts *Options) { opts.MaxRunning = 2 }, u)
	done := make(chan int, 2)
	for range 2 {
		go func() {
			resp, _, _ := gw.do("GET", "/read/x", "")
			done <- resp.StatusCode
		}()
		<-begun
	}
	resp, _, _ := gw.do("GET", "/read/x", "")
	gw.Assert(resp.StatusCode, qt.Equals, 503)
	close(end)
	gw.Assert([]int{<-done, <-done}, qt.DeepEquals, []int{200, 200})
	resp, _, _ = gw.do("GET", "/read/x", "")
	gw.Assert(resp.StatusCode, qt.Equals, 200)
}

// Guards against an unbounded number of idle connections, and against closing active or new
// ones at the limit.
func TestConnectionsAreBounded(t *testing.T) {
	gw := newTestGatewayWith(t, document(), func(opts *Options) { opts.MaxConnections = 3 }, newUpstream(t, writeRaw("%s", rawResponse(200, "ok"))))
	var conns []net.Conn
	exchange := func(nc net.Conn) error {
		fmt.Fprint(nc, "GET /read/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n")
		_, err := http.ReadResponse(bufio.NewReader(nc), nil)
		return err
	}
	for range 6 {
		nc, err := net.Dial("tcp", gw.address)
		gw.Assert(err, qt.IsNil)
		t.Cleanup(func() { nc.Close() })
		gw.Assert(exchange(nc), qt.IsNil)
		conns = append(conns, nc)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		for gw.server.conns.idleCount() < min(len(conns), 3) && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}
	gw.Assert(exchange(conns[0]), qt.IsNotNil)
	gw.Assert(exchange(conns[5]), qt.IsNil)
	gw.waitFor(func(n ConnectionCounts) bool { return n.Open <= 3 })
}

func (c *connections) idleCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle.Len()
}

// Guards against forwarding requests after their callers have disconnected, which a busy host
// notices late.
func TestCallerDisconnected(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	callerConn, err := net.Dial("tcp", ln.Addr().String())
	c.Assert(err, qt.IsNil)
	hostConn, err := ln.Accept()
	c.Assert(err, qt.IsNil)
	defer hostConn.Close()
	ctx := withRawConn(context.Background(), hostConn)
	c.Assert(callerDisconnected(ctx), qt.IsFalse)
	c.Assert(callerConn.Close(), qt.IsNil)
	for end := time.Now().Add(10 * time.Second); !callerDisconnected(ctx); time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
	c.Assert(callerDisconnected(context.Background()), qt.IsFalse)
}
