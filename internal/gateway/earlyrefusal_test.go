package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/routing"
)

// newLimitedGateway returns a gateway whose limiter refuses all requests of the account with the
// credential k1.
func newLimitedGateway(t testing.TB, u *upstream, change func(*Options)) *testGateway {
	d := document()
	d.Accounts = []routing.Account{{Name: "hot", Credentials: []string{"k1"}}, {Name: "small", Credentials: []string{"k2"}}}
	gw := newTestGatewayWith(t, d, change, u)
	now := time.Now()
	gw.server.limiter.Lock()
	defer gw.server.limiter.Unlock()
	for range 10_000 {
		gw.server.limiter.Admit("hot", now)
	}
	// Timers fire late for a while, but not so late that connections are refused.
	for i := range 100 {
		gw.server.limiter.Observe(60*time.Millisecond, now.Add(time.Duration(i)*20*time.Millisecond))
	}
	gw.Assert(math.IsInf(gw.server.limiter.RateLimit(), 1), qt.IsFalse)
	for gw.server.limiter.Admit("hot", now.Add(time.Hour)) {
	}
	return gw
}

func quiet(opts *Options) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.ErrorLevel)
	opts.Log = log
}

// rawRequest returns a request of the account with the credential key.
func rawRequest(method, key, id, header, body string) string {
	return fmt.Sprintf("%s /order/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nx-api-key: %s\r\nContent-Length: %d\r\n%s\r\n%s", method, id, key, len(body), header, body)
}

// exchange sends a request on a connection and returns the response with its body.
func exchange(c *qt.C, nc net.Conn, br *bufio.Reader, request string) (*http.Response, string) {
	_, err := io.WriteString(nc, request)
	c.Assert(err, qt.IsNil)
	c.Assert(nc.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	resp, err := http.ReadResponse(br, nil)
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	return resp, string(body)
}

// Guards against a flood whose refusals take most of the CPU time of a host: a refused request
// must cost a tenth of a served one at most. Allocations stand for CPU time here, because they
// don't depend on the machine.
func TestRefusalsOfLimitedAccountsAreCheap(t *testing.T) {
	c := qt.New(t)
	allocations := func(gw *testGateway, key, status string) float64 {
		nc, err := net.Dial("tcp", gw.address)
		c.Assert(err, qt.IsNil)
		defer nc.Close()
		request := []byte(rawRequest("POST", key, "r1", "", strings.Repeat("b", 9_000)))
		want, response, failures := []byte("HTTP/1.1 "+status), make([]byte, 4<<10), 0
		n := testing.AllocsPerRun(200, func() {
			_, writeErr := nc.Write(request)
			n, readErr := nc.Read(response)
			if writeErr != nil || readErr != nil || !bytes.HasPrefix(response[:n], want) {
				failures++
			}
		})
		c.Assert(failures, qt.Equals, 0, qt.Commentf("%s", response))
		return n
	}
	refused := allocations(newLimitedGateway(t, newUpstream(t, writeRaw("%s", rawResponse(200, "ok"))), quiet), "k1", "503")
	served := allocations(newTestGatewayWith(t, document(), quiet, newUpstream(t, writeRaw("%s", rawResponse(200, "ok")))), "", "200")
	c.Assert(refused*10 <= served, qt.IsTrue, qt.Commentf("%.0f allocations for a refused request, %.0f for a served one", refused, served))
}

// Guards against early refusals that break the connection for the next request, refuse other
// accounts, miss the count of refusals or give no id and no time to come back.
func TestEarlyRefusalsKeepTheConnection(t *testing.T) {
	c := qt.New(t)
	u := newUpstream(t, writeRaw("%s", rawResponse(200, "ok")))
	gw := newLimitedGateway(t, u, quiet)
	nc, err := net.Dial("tcp", gw.address)
	c.Assert(err, qt.IsNil)
	defer nc.Close()
	br := bufio.NewReader(nc)
	for i, size := range []int{0, 100, 9_000, 200_000} {
		id := fmt.Sprint("r", i)
		resp, body := exchange(c, nc, br, rawRequest("POST", "k1", id, "", strings.Repeat("b", size)))
		c.Assert(resp.StatusCode, qt.Equals, 503)
		c.Assert(resp.Header.Get("X-Request-Id"), qt.Equals, id)
		c.Assert(resp.Header.Get("Retry-After"), qt.Equals, "0.400")
		c.Assert(body, qt.Equals, shedBody)
		resp, body = exchange(c, nc, br, rawRequest("POST", "k2", "s"+id, "", strings.Repeat("b", size)))
		c.Assert(resp.StatusCode, qt.Equals, 200)
		c.Assert(body, qt.Equals, "ok")
	}
	c.Assert(u.requests(), qt.HasLen, 4)
	c.Assert(metrics.GetOrRegisterCounter("gateway.failed.host_overloaded", gw.server.opts.Registry).Count(), qt.Equals, int64(4))
	c.Assert(gw.server.Connections().Idle+gw.server.Connections().Unread <= 1, qt.IsTrue)
}

// Guards against an early refusal that reads another end of a request than the HTTP server
// would: the bytes after it must not be taken for a request, nor a request for the rest of it.
func TestUnusualRequestsAreNotRefusedEarly(t *testing.T) {
	c := qt.New(t)
	names := testHeaderNames()
	head := func(fields string) string {
		return "POST /order/x HTTP/1.1\r\nHost: h\r\nX-Api-Key: k1\r\n" + fields + "\r\n"
	}
	h, ok := names.parseHead([]byte(head("Content-Length: 3\r\nConnection: Keep-Alive\r\nX-Request-Id: r1\r\n") + "ab"))
	c.Assert(ok, qt.IsTrue)
	c.Assert([]string{string(h.credential), string(h.id)}, qt.DeepEquals, []string{"k1", "r1"})
	c.Assert(h.bodyBytes, qt.Equals, 3)
	for _, request := range []string{
		"", "POST /order/x HTTP/1.1\r\nHost: h\r\n", "GET / HTTP/1.0\r\nX-Api-Key: k1\r\n\r\n", "HEAD / HTTP/1.1\r\nX-Api-Key: k1\r\n\r\n",
		head("Transfer-Encoding: chunked\r\n"), head("Content-Length: 1\r\nContent-Length: 1\r\n"), head("Content-Length: -1\r\n"), head("Content-Length: 1,1\r\n"),
		head("Content-Length: 300000\r\n"), head("Content-Length : 1\r\n"), head("X: a\r\n Content-Length: 1\r\n"), head("X: a\nContent-Length: 1\r\n"),
		head("Expect: 100-continue\r\n"), head("Connection: close\r\n"), head("Upgrade: x\r\n"), head("X-Api-Key: k2\r\n"), head("X\r\n"),
	} {
		_, ok := names.parseHead([]byte(request))
		c.Check(ok, qt.IsFalse, qt.Commentf("%q", request))
	}
	gw := newLimitedGateway(t, newUpstream(t, writeRaw("%s", rawResponse(200, "ok"))), quiet)
	// The second request has begun in the same segment as the first one.
	pair := rawRequest("GET", "k2", "r1", "", "") + rawRequest("GET", "k1", "r2", "Connection: close\r\n", "")
	got := gw.sendRaw(pair[:len(pair)-40]) // the rest is missing, so that the host waits for it
	c.Assert(strings.Count(got, "HTTP/1.1"), qt.Equals, 1, qt.Commentf("%s", got))
}

// Guards against a host that waits without end for the body of a request that it refused, by
// account or because there is no route.
func TestRefusalWaitsForTheBodyForALimitedTime(t *testing.T) {
	c := qt.New(t)
	gw := newLimitedGateway(t, newUpstream(t, writeRaw("%s", rawResponse(200, "ok"))), func(opts *Options) {
		quiet(opts)
		opts.ReadHeaderTimeout = 100 * time.Millisecond
	})
	request := rawRequest("POST", "k1", "r1", "", strings.Repeat("b", 9_000))
	begun := time.Now()
	got := gw.sendRaw(request[:len(request)-1])
	c.Assert(strings.HasPrefix(got, "HTTP/1.1 503"), qt.IsTrue, qt.Commentf("%s", got))
	gw.sendRaw("POST /none HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n")
	// sendRaw itself gives up after ten seconds.
	c.Assert(time.Since(begun) < 9*time.Second, qt.IsTrue)
}

// Guards against losing a later refusal on a connection, because the time to write an early one
// still bounds it.
func TestRefusalLongAfterAnEarlyOneIsDelivered(t *testing.T) {
	c := qt.New(t)
	gw := newLimitedGateway(t, newUpstream(t, writeRaw("%s", rawResponse(200, "ok"))), quiet)
	nc, err := net.Dial("tcp", gw.address)
	c.Assert(err, qt.IsNil)
	defer nc.Close()
	br := bufio.NewReader(nc)
	resp, _ := exchange(c, nc, br, rawRequest("POST", "k1", "r1", "", "body"))
	c.Assert(resp.StatusCode, qt.Equals, 503)
	time.Sleep(writeGrace + writeGrace/10)
	// A request that asks for the end of the connection is refused in the HTTP server.
	gw.setView(func(v *View) { v.Leaving = true })
	resp, body := exchange(c, nc, br, rawRequest("POST", "k1", "r2", "Connection: close\r\n", "body"))
	c.Assert(resp.StatusCode, qt.Equals, 503)
	c.Assert(body, qt.Equals, failureBody(fault.HostLeaving, fault.NotRun))
	c.Assert(resp.Close, qt.IsTrue)
}

// Guards against a second response, to no request, on a connection whose refused request did not
// arrive whole.
func TestRefusedRequestThatEndsEarlyGetsOneResponse(t *testing.T) {
	gw := newLimitedGateway(t, newUpstream(t, writeRaw("%s", rawResponse(200, "ok"))), func(opts *Options) {
		quiet(opts)
		opts.ReadHeaderTimeout = 100 * time.Millisecond
	})
	request := rawRequest("POST", "k1", "r1", "", strings.Repeat("b", 9_000))
	got := gw.sendRaw(request[:len(request)-1])
	gw.Assert(strings.Count(got, "HTTP/1.1"), qt.Equals, 1, qt.Commentf("%s", got))
}

// Guards against an overloaded host that parses every request only to refuse it, once it leaves or may serve nobody.
func TestHostThatLeavesOrMayNotServeRefusesFromTheFirstBytes(t *testing.T) {
	isolated := failureBody(fault.HostIsolated, fault.NotRun)
	for _, tc := range []struct {
		name, key, body string
		change          func(v *View)
		closes          bool
	}{
		{"leaving", "k1", failureBody(fault.HostLeaving, fault.NotRun), func(v *View) { v.Leaving = true }, true},
		{"old configuration", "k1", isolated, func(v *View) { v.Age = time.Minute }, false},
		{"old configuration, other account", "k2", isolated, func(v *View) { v.Age = time.Minute }, false},
		{"unconfirmed list", "", isolated, func(v *View) { v.ListContactAge = time.Minute }, false},
		{"no document", "k1", isolated, func(v *View) { v.Table = nil }, false},
		{"no document, leaving", "k1", isolated, func(v *View) { v.Table, v.Leaving = nil, true }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := newUpstream(t, writeRaw("%s", rawResponse(200, "ok")))
			gw := newLimitedGateway(t, u, quiet)
			gw.setView(tc.change)
			nc, err := net.Dial("tcp", gw.address)
			gw.Assert(err, qt.IsNil)
			defer nc.Close()
			resp, body := exchange(gw.C, nc, bufio.NewReader(nc), rawRequest("POST", tc.key, "r1", "", strings.Repeat("b", 9_000)))
			gw.Check(resp.StatusCode, qt.Equals, 503)
			gw.Check(body, qt.Equals, tc.body)
			gw.Check(resp.Header.Get("Retry-After"), qt.Equals, "0.100")
			gw.Check(resp.Header.Get("X-Request-Id"), qt.Equals, "r1")
			gw.Check(resp.Close, qt.Equals, tc.closes)
			early := gw.counted("refused_early.host_leaving") + gw.counted("refused_early.host_isolated")
			gw.Check(early, qt.Equals, int64(1))
			gw.Check(u.requests(), qt.HasLen, 0)
		})
	}
}

// Guards against the end of a connection that its last response did not announce, because the stop began after that.
func TestRefusalBeforeAStopDoesNotEndTheConnectionUnannounced(t *testing.T) {
	gw := newLimitedGateway(t, newUpstream(t, writeRaw("%s", rawResponse(200, "ok"))), quiet)
	nc, err := net.Dial("tcp", gw.address)
	gw.Assert(err, qt.IsNil)
	defer nc.Close()
	refused, br := rawRequest("POST", "k1", "r1", "", "body"), bufio.NewReader(nc)
	resp, _ := exchange(gw.C, nc, br, refused[:len(refused)-1])
	gw.Assert(resp.StatusCode, qt.Equals, 503)
	gw.Assert(resp.Close, qt.IsFalse)
	go func() { _ = gw.server.Shutdown(context.Background()) }()
	<-gw.server.stopping.Done()
	resp, _ = exchange(gw.C, nc, br, refused[len(refused)-1:]+rawRequest("POST", "k2", "r2", "", ""))
	gw.Assert(resp.StatusCode, qt.Equals, 200)
}
