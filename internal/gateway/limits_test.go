package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"marigoldshunt/internal/admission"
	"marigoldshunt/internal/routing"
)

// Guards against bodies without any bound where the document sets none.
func TestBodyLimitWithoutSetting(t *testing.T) {
	d := document()
	d.Limits.BodyBytes = 0
	u := newUpstream(t, writeRaw("%s", rawResponse(200, "ok")))
	gw := newTestGateway(t, d, u)
	resp, _, ok := gw.do("POST", "/order/x", strings.Repeat("b", routing.DefaultBodyBytes))
	gw.Assert(ok, qt.IsTrue)
	gw.Check(resp.StatusCode, qt.Equals, 200)
	answer := gw.sendRaw(fmt.Sprintf("POST /order/x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", routing.DefaultBodyBytes+1))
	gw.Check(answer, qt.Contains, " 413 ")
	gw.Check(answer, qt.Contains, `"code":"body_too_large","run_state":"not_run"`)
	gw.Check(u.requests(), qt.HasLen, 1)
}

// Guards against event_gap having no effect: a stream with a longer pause is late, and is
// counted once.
func TestStreamWithLongPauseCountsAsLate(t *testing.T) {
	for gap, want := range map[time.Duration]int64{0: 0, time.Millisecond: 1, time.Hour: 0} {
		d := document()
		d.Routes[2].EventGap = gap
		received := make(chan struct{})
		waitForCaller := func(*receivedRequest) { <-received }
		u := newUpstream(t, sequence(writeRaw("%s", streamHead+eventChunk(1)), waitForCaller, writeRaw("%s", eventChunk(2)), waitForCaller, writeRaw("%s", eventChunk(3)+streamEnd)))
		gw := newTestGateway(t, d, u)
		nc, err := net.Dial("tcp", gw.address)
		gw.Assert(err, qt.IsNil)
		defer nc.Close()
		_, err = io.WriteString(nc, "GET /stream/x HTTP/1.1\r\nHost: h\r\n\r\n")
		gw.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		gw.Assert(err, qt.IsNil)
		body := bufio.NewReader(resp.Body)
		events := newEventReader(body, "", "")
		for range 2 {
			_, err := events.next(func() bool { return true })
			gw.Assert(err, qt.IsNil)
			time.Sleep(20 * time.Millisecond) // the pause, longer than one of the gaps
			received <- struct{}{}
		}
		_, err = io.Copy(io.Discard, body)
		gw.Assert(err, qt.IsNil)
		late := metrics.GetOrRegisterCounter("gateway.late_streams", gw.server.opts.Registry).Count()
		gw.Check(late, qt.Equals, want, qt.Commentf("gap %s", gap))
	}
}

// Guards against priorities having no effect: a host that serves nearly as many requests as
// it can must keep its last places for requests of the highest priority.
func TestLowerPriorityIsRefusedFirst(t *testing.T) {
	const maxRunning = 100
	low, high := 5, 1
	d := document()
	d.Routes[1].Priority = 3
	d.Accounts = []routing.Account{
		{Name: "plain", Credentials: []string{"plain"}}, {Name: "low", Credentials: []string{"low"}, Priority: &low}, {Name: "high", Credentials: []string{"high"}, Priority: &high},
	}
	u := newUpstream(t, writeRaw("%s", rawResponse(200, "ok")))
	gw := newTestGatewayWith(t, d, func(o *Options) { o.MaxRunning = maxRunning }, u)
	status := func(running int64, path, credential string) int {
		// The request itself is the last of the running ones.
		gw.server.running.Add(running - 1)
		defer gw.server.running.Add(1 - running)
		resp, body, _ := gw.do("GET", path, "", "X-Api-Key: "+credential)
		for gw.server.Running() >= int(running) {
			time.Sleep(time.Millisecond) // the handler ends after its response
		}
		if resp.StatusCode == 503 {
			gw.Check(body, qt.Contains, `"code":"host_overloaded","run_state":"not_run"`)
			gw.Check(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
		}
		return resp.StatusCode
	}
	// The document has the priorities 0, 1, 3 and 5; each lower one may use a tenth less.
	for _, x := range []struct {
		path, credential string
		most             int64
	}{
		{"/read/x", "plain", 100}, {"/read/x", "high", 90}, {"/order/x", "plain", 80}, {"/order/x", "high", 90}, {"/read/x", "low", 70},
	} {
		gw.Check(status(x.most, x.path, x.credential), qt.Equals, 200, qt.Commentf("%+v", x))
		gw.Check(status(x.most+1, x.path, x.credential), qt.Equals, 503, qt.Commentf("%+v", x))
	}
	gw.Check(status(1, "/read/x", "low"), qt.Equals, 200)
}

// Guards against refusing requests early when all have the same priority.
func TestOnePriorityUsesAllPlaces(t *testing.T) {
	d := document()
	for i := range d.Routes {
		d.Routes[i].Priority = 2
	}
	u := newUpstream(t, writeRaw("%s", rawResponse(200, "ok")))
	gw := newTestGatewayWith(t, d, func(o *Options) { o.MaxRunning = 100 }, u)
	gw.server.running.Add(99)
	defer gw.server.running.Add(-99)
	resp, _, _ := gw.do("GET", "/read/x", "")
	gw.Check(resp.StatusCode, qt.Equals, 200)
}

// Guards against header_bytes of the routing document having no effect.
func TestHeaderBytesOfDocument(t *testing.T) {
	d := document()
	d.Limits.HeaderBytes = 1000
	u := newUpstream(t, writeRaw("%s", rawResponse(200, "ok")))
	gw := newTestGateway(t, d, u)
	const fixed = "GET /read/x HTTP/1.1\r\nHost:h\r\nConnection:close\r\nX-Fill:\r\n\r\n"
	send := func(size int) string {
		return gw.sendRaw(strings.Replace(fixed, "X-Fill:", "X-Fill:"+strings.Repeat("f", size-len(fixed)), 1))
	}
	gw.Check(send(1000), qt.Contains, "HTTP/1.1 200 ")
	answer := send(1001)
	gw.Check(answer, qt.Contains, "HTTP/1.1 431 ")
	gw.Check(answer, qt.Contains, `"code":"header_too_large","run_state":"not_run"`)
	gw.Check(u.requests(), qt.HasLen, 1)
	gw.setView(func(v *View) {
		n := *d
		n.Limits.HeaderBytes = 0
		v.Table = routing.NewTable(&n)
	})
	gw.Check(send(1001), qt.Contains, "HTTP/1.1 200 ")
}

// Guards against header_timeout of the routing document having no effect, on a new connection
// or on one that has carried a request.
func TestHeaderTimeoutOfDocument(t *testing.T) {
	d := document()
	u := newUpstream(t, writeRaw("%s", rawResponse(200, "ok")))
	gw := newTestGatewayWith(t, d, func(o *Options) { o.ReadHeaderTimeout = time.Minute }, u)
	whole, part := "GET /read/x HTTP/1.1\r\nHost: h\r\n\r\n", "GET /read/x HTTP/1.1\r\nHo"
	dial := func() (net.Conn, *bufio.Reader) {
		nc, err := net.Dial("tcp", gw.address)
		gw.Assert(err, qt.IsNil)
		t.Cleanup(func() { nc.Close() })
		gw.Assert(nc.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
		return nc, bufio.NewReader(nc)
	}
	sendWhole := func(nc net.Conn, br *bufio.Reader) {
		_, err := io.WriteString(nc, whole)
		gw.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(br, nil)
		gw.Assert(err, qt.IsNil)
		gw.Check(resp.StatusCode, qt.Equals, 200)
		_, err = io.Copy(io.Discard, resp.Body)
		gw.Assert(err, qt.IsNil)
	}
	// The server closes the connection at the limit, in some cases after a 400.
	sendPart := func(nc net.Conn, br *bufio.Reader) {
		_, err := io.WriteString(nc, part)
		gw.Assert(err, qt.IsNil)
		answer, err := io.ReadAll(br)
		gw.Check(err, qt.IsNil)
		gw.Check(string(answer), qt.Matches, "(?s)|HTTP/1.1 400 .*")
	}
	used, usedReader := dial()
	sendWhole(used, usedReader)

	limited := *d
	limited.Limits.HeaderTimeout = 100 * time.Millisecond
	gw.setView(func(v *View) { v.Table = routing.NewTable(&limited) })
	fresh, freshReader := dial()
	sendPart(fresh, freshReader)
	time.Sleep(2 * limited.Limits.HeaderTimeout) // an idle connection isn't reading a header
	sendWhole(used, usedReader)
	sendPart(used, usedReader)
	gw.Check(u.requests(), qt.HasLen, 2)
}

// Guards against a header_timeout that also bounds the body or the response, on a connection
// whose header came in two parts.
func TestHeaderTimeoutEndsWithTheHeader(t *testing.T) {
	d := document()
	d.Limits.HeaderTimeout = 300 * time.Millisecond
	pause := func(*receivedRequest) { time.Sleep(2 * d.Limits.HeaderTimeout) }
	u := newUpstream(t, sequence(pause, writeRaw("%s", rawResponse(200, "ok"))))
	gw := newTestGatewayWith(t, d, func(o *Options) { o.ReadHeaderTimeout = time.Minute }, u)
	nc, err := net.Dial("tcp", gw.address)
	gw.Assert(err, qt.IsNil)
	defer nc.Close()
	br := bufio.NewReader(nc)
	for range 2 {
		for _, part := range []string{"POST /read/x HTTP/1.1\r\nHo", "st: h\r\nContent-Length: 4\r\n\r\nab", "cd"} {
			_, err := io.WriteString(nc, part)
			gw.Assert(err, qt.IsNil)
			if part == "cd" {
				break
			}
			time.Sleep(d.Limits.HeaderTimeout / 30)
		}
		resp, err := http.ReadResponse(br, nil)
		gw.Assert(err, qt.IsNil)
		gw.Check(resp.StatusCode, qt.Equals, 200)
		_, err = io.Copy(io.Discard, resp.Body)
		gw.Assert(err, qt.IsNil)
	}
}

// countingAdmitter admits every request after calling before.
type countingAdmitter struct {
	before func()
	calls  atomic.Int64
}

func (a *countingAdmitter) Admit(context.Context, *admission.Request) (*admission.Permit, error) {
	a.calls.Add(1)
	a.before()
	return nil, nil
}

// Guards against asking further engines, and spending the budget of retries, for a request that
// this host must not send to any of them.
func TestRequestsOfAnIsolatedHostAreNotRetried(t *testing.T) {
	for name, change := range map[string]func(v *View){
		"isolated":           func(v *View) { v.Age = 2 * time.Second },
		"credential revoked": func(v *View) { v.Table = routing.NewTable(revokedDocument()) },
	} {
		t.Run(name, func(t *testing.T) {
			d := revokedDocument()
			d.Accounts[0].Credentials = append(d.Accounts[0].Credentials, "k1")
			d.Services[0].Engine = &routing.Engine{Slots: 4, MemoryTokens: 1_000}
			var gw *testGateway
			a := &countingAdmitter{before: func() { gw.setView(change) }}
			gw = newTestGatewayWith(t, d, func(opts *Options) { opts.Admission = a }, newUpstream(t), newUpstream(t), newUpstream(t))
			resp, _, _ := gw.do("GET", "/read/x", "", "X-Api-Key: k1")
			gw.Check(resp.StatusCode == 503 || resp.StatusCode == 401, qt.IsTrue, qt.Commentf("%d", resp.StatusCode))
			gw.Check(a.calls.Load(), qt.Equals, int64(1))
		})
	}
}

// revokedDocument returns a document whose account has one credential left, k2.
func revokedDocument() *routing.Document {
	d := document()
	d.Accounts = []routing.Account{{Name: "acc", Credentials: []string{"k2"}}}
	return d
}
