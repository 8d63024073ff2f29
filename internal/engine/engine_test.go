package engine

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/emulator"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/freeport"
	"marigoldshunt/internal/wire"
)

// recordingSink records a response.
type recordingSink struct {
	status  int
	header  [][2]string
	body    strings.Builder
	writes  int
	onWrite func() error
}

func (s *recordingSink) Begin(status int, _ string, h [][2]string) error {
	s.status, s.header = status, h
	return nil
}

func (s *recordingSink) Write(p []byte) error {
	s.writes++
	s.body.Write(p)
	if s.onWrite != nil {
		return s.onWrite()
	}
	return nil
}

// testClock is a clock that tests advance. Sweeps of the idle connections read it too.
type testClock struct{ ns atomic.Int64 }

func newTestClock() *testClock {
	c := &testClock{}
	c.ns.Store(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano())
	return c
}

func (c *testClock) Now() time.Time          { return time.Unix(0, c.ns.Load()) }
func (c *testClock) Advance(d time.Duration) { c.ns.Add(int64(d)) }

// closeMark at the end of a response text closes the connection after the text.
const closeMark = "<close>"

// scriptedUpstream is an upstream with fixed responses; it counts the requests.
type scriptedUpstream struct {
	address         string
	requests        atomic.Int64
	connectionEnded chan struct{}
}

// startScripted starts an upstream that responds to each request, on any connection, with
// the next of the given texts. The last text repeats.
func startScripted(t testing.TB, responses ...string) *scriptedUpstream {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { ln.Close() })
	s := &scriptedUpstream{address: ln.Addr().String(), connectionEnded: make(chan struct{}, 16)}
	var next atomic.Int64
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				br := bufio.NewReader(nc)
				for {
					req, err := http.ReadRequest(br)
					if err != nil {
						s.connectionEnded <- struct{}{}
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					s.requests.Add(1)
					response := responses[min(int(next.Add(1))-1, len(responses)-1)]
					text, closes := strings.CutSuffix(response, closeMark)
					if _, err := io.WriteString(nc, text); err != nil || closes {
						return
					}
				}
			}()
		}
	}()
	return s
}

func chatRequest(address string, stream bool) *Request {
	return &Request{
		Pool: config.Pool{Name: "m", Kind: config.KindModel}, Upstream: "u", Address: address, Method: "POST",
		Path: "/v1/chat/completions", ContentType: "application/json", Body: []byte(`{"model":"m","stream":true}`), ID: "r1", Stream: stream,
	}
}

const okJSON = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Instance-Id: i1\r\nX-Queue-Length: 3\r\nContent-Length: 52\r\n\r\n" +
	`{"usage":{"prompt_tokens":16,"completion_tokens":7}}`
const okStream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// Guards against a truncated response that counts as complete and against a false "not run",
// for each way in which an upstream can end an attempt.
func TestOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name, response string
		stream         bool
		outcome        wire.Outcome
		code           fault.Code
		run            fault.RunState
		delivered      int
		began          bool
	}{
		{"whole", okJSON, false, wire.OutcomeDone, "", "", 0, true},
		{"short body", strings.Replace(okJSON, "52", "60", 1) + closeMark, false, wire.OutcomeBroken, fault.UpstreamFailed, fault.MayHaveRun, 0, false},
		{"no length", "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n\r\nabc" + closeMark, false, wire.OutcomeBroken, fault.UpstreamFailed, fault.MayHaveRun, 0, false},
		{"no answer", closeMark, false, wire.OutcomeBroken, fault.UpstreamFailed, fault.MayHaveRun, 0, false},
		{"half header", "HTTP/1.1 200 OK\r\nContent-" + closeMark, false, wire.OutcomeBroken, fault.UpstreamFailed, fault.MayHaveRun, 0, false},
		{"cut chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab" + closeMark, false, wire.OutcomeBroken, fault.UpstreamFailed, fault.MayHaveRun, 0, false},
		{"not run", "HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n", false, wire.OutcomeRefused, fault.UpstreamRefused, fault.NotRun, 0, false},
		{"plain 503", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false, wire.OutcomeFailed, fault.UpstreamFailed, fault.RanAndFailed, 0, false},
		{"caller's fault", "HTTP/1.1 422 No\r\nContent-Length: 2\r\n\r\nno", false, wire.OutcomeDone, "", "", 0, true},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n", false, wire.OutcomeFailed, fault.UpstreamFailed, fault.RanAndFailed, 0, false},
		{"whole stream", okStream + "a\r\ndata: {}\n\n\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n", true, wire.OutcomeDone, "", "", 1, true},
		{"stream ends without done", okStream + "a\r\ndata: {}\n\n\r\n0\r\n\r\n", true, wire.OutcomeBroken, fault.StreamCut, fault.MayHaveRun, 1, true},
		{"stream cut inside an event", okStream + "a\r\ndata: {}\n\n\r\n6\r\ndata: " + closeMark, true, wire.OutcomeBroken, fault.StreamCut, fault.MayHaveRun, 1, true},
		{"huge event", okStream + "fffff\r\ndata: " + strings.Repeat("x", 9000), true, wire.OutcomeBroken, fault.UpstreamFailed, fault.MayHaveRun, 0, false},
		{"stream without events", okStream + "0\r\n\r\n", true, wire.OutcomeBroken, fault.UpstreamFailed, fault.MayHaveRun, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			upstream := startScripted(t, tc.response)
			cl := New(Options{MaxResponseBytes: 1000, MaxEventBytes: 4096})
			defer cl.Close()
			var s recordingSink
			res := cl.Do(context.Background(), chatRequest(upstream.address, tc.stream), &s)
			c.Assert(res.Outcome, qt.Equals, tc.outcome, qt.Commentf("%v", res.Err))
			c.Assert(res.ResponseBegan, qt.Equals, tc.began)
			c.Assert(res.DeliveredEvents, qt.Equals, tc.delivered)
			if tc.code == "" {
				c.Assert(res.Err == nil, qt.IsTrue)
			} else {
				c.Assert(res.Err.Code, qt.Equals, tc.code)
				c.Assert(res.Err.RunState, qt.Equals, tc.run)
			}
			c.Assert(upstream.requests.Load(), qt.Equals, int64(1))
		})
	}
}

// Guards against a wrong cost, instance or queue length, which the scheduler uses.
func TestResultCarriesUsageAndHeaders(t *testing.T) {
	c := qt.New(t)
	u := startScripted(t, okJSON)
	cl := New(Options{})
	defer cl.Close()
	var s recordingSink
	res := cl.Do(context.Background(), chatRequest(u.address, false), &s)
	c.Assert(res.Cost, qt.Equals, 16.0/8+7)
	c.Assert(res.Instance, qt.Equals, "i1")
	c.Assert(res.Queued, qt.Equals, 3)
	c.Assert(s.header, qt.DeepEquals, [][2]string{{"Content-Length", "52"}})
}

// Guards against an upstream that does not receive the caller's headers, or the digest of
// the prompt prefix that it needs for its cache events.
func TestRequestHeaders(t *testing.T) {
	c := qt.New(t)
	got := make(chan http.Header, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got <- r.Header }))
	defer srv.Close()
	cl := New(Options{})
	defer cl.Close()
	r := chatRequest(srv.Listener.Addr().String(), false)
	r.Header, r.PrefixDigest = [][2]string{{"If-Match", "v7"}}, wire.Digest{1}
	c.Assert(cl.Do(context.Background(), r, &recordingSink{}).Outcome, qt.Equals, wire.OutcomeDone)
	h := <-got
	c.Assert(h.Get("If-Match"), qt.Equals, "v7")
	c.Assert(h.Get("X-Prefix-Digest"), qt.Equals, "01000000000000000000000000000000")
}

// Guards against a silent retry and against a false "not run": an upstream that closes a
// reused connection at the second request may have run that request.
func TestNoSilentRetryOnReusedConnection(t *testing.T) {
	for _, method := range []string{"POST", "GET"} {
		c := qt.New(t)
		u := startScripted(t, okJSON, closeMark, okJSON)
		cl := New(Options{})
		defer cl.Close()
		r := chatRequest(u.address, false)
		r.Method = method
		c.Assert(cl.Do(context.Background(), r, &recordingSink{}).Outcome, qt.Equals, wire.OutcomeDone)
		res := cl.Do(context.Background(), r, &recordingSink{})
		c.Assert(res.Outcome, qt.Equals, wire.OutcomeBroken)
		c.Assert(res.Err.RunState, qt.Equals, fault.MayHaveRun)
		c.Assert(u.requests.Load(), qt.Equals, int64(2))
	}
}

// Guards against reporting a request as possibly run if there was no connection.
func TestRefusedConnectIsUnreachable(t *testing.T) {
	c := qt.New(t)
	port, err := freeport.Reserve("127.0.0.1", 0)
	c.Assert(err, qt.IsNil)
	defer port.Close()
	cl := New(Options{})
	res := cl.Do(context.Background(), chatRequest(port.Address(), false), &recordingSink{})
	c.Assert(res.Outcome, qt.Equals, wire.OutcomeUnreachable)
	c.Assert(res.Err.RunState, qt.Equals, fault.NotRun)
	c.Assert(res.Cost, qt.Equals, 0.0)
}

// Guards invariant I9 of docs/design.md and against an upstream that continues to work on a
// cancelled request: cancelling must close the upstream connection, both before the response
// and inside a stream.
func TestCancelClosesUpstreamConnection(t *testing.T) {
	for _, response := range []string{"", okStream + "a\r\ndata: {}\n\n\r\n"} {
		c := qt.New(t)
		u := startScripted(t, response)
		cl := New(Options{})
		defer cl.Close()
		ctx, cancel := context.WithCancel(context.Background())
		s := &recordingSink{onWrite: func() error { cancel(); return nil }}
		if response == "" {
			go func() {
				for u.requests.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				cancel()
			}()
		}
		res := cl.Do(ctx, chatRequest(u.address, true), s)
		c.Assert(res.Outcome, qt.Equals, wire.OutcomeCancelled)
		c.Assert(res.Err.Code, qt.Equals, fault.CallerGone)
		<-u.connectionEnded
	}
}

// Guards against an upstream that continues after the sink reported that the caller left.
func TestSinkErrorCancels(t *testing.T) {
	c := qt.New(t)
	u := startScripted(t, okStream+"a\r\ndata: {}\n\n\r\n")
	cl := New(Options{})
	defer cl.Close()
	res := cl.Do(context.Background(), chatRequest(u.address, true), &recordingSink{onWrite: func() error { return errors.New("gone") }})
	c.Assert(res.Outcome, qt.Equals, wire.OutcomeCancelled)
	<-u.connectionEnded
}

// Guards against a silent upstream that occupies a slot forever, because no I/O timeout ends
// the attempt.
func TestIOTimeout(t *testing.T) {
	c := qt.New(t)
	u := startScripted(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
	cl := New(Options{IOTimeout: 20 * time.Millisecond})
	defer cl.Close()
	res := cl.Do(context.Background(), chatRequest(u.address, false), &recordingSink{})
	c.Assert(res.Outcome, qt.Equals, wire.OutcomeBroken)
	<-u.connectionEnded
}

// Guards against connections that stay open to upstreams without requests.
func TestIdleConnectionsAreClosed(t *testing.T) {
	c := qt.New(t)
	now := newTestClock()
	cl := New(Options{Now: now.Now})
	defer cl.Close()
	old, other := startScripted(t, okJSON), startScripted(t, okJSON)
	c.Assert(cl.Do(context.Background(), chatRequest(old.address, false), &recordingSink{}).Outcome, qt.Equals, wire.OutcomeDone)
	now.Advance(defaultIdleConnTimeout)
	c.Assert(cl.Do(context.Background(), chatRequest(other.address, false), &recordingSink{}).Outcome, qt.Equals, wire.OutcomeDone)
	<-old.connectionEnded
}

func startEmulator(t testing.TB, opts emulator.Options) (*emulator.Emulator, string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	e := emulator.New(opts)
	go func() { _ = e.Serve(ln) }()
	t.Cleanup(func() { _ = e.Close() })
	return e, ln.Addr().String()
}

// Guards against a lost or repeated event where an interrupted stream is resumed, and against
// events that are delivered twice because the engine ignores the resume offset.
func TestResume(t *testing.T) {
	for _, resumes := range []bool{true, false} {
		c := qt.New(t)
		e, address := startEmulator(t, emulator.Options{Resume: resumes, TokensPerResponse: 10})
		cl := New(Options{})
		r := chatRequest(address, true)
		r.Body = []byte(`{"model":"m","stream":true,"user":"` + emulator.CutTrigger + `"}`)
		var s recordingSink
		res := cl.Do(context.Background(), r, &s)
		c.Assert(res.Outcome, qt.Equals, wire.OutcomeBroken)
		c.Assert(res.DeliveredEvents, qt.Equals, 5)
		r.Offset = res.DeliveredEvents
		res = cl.Do(context.Background(), r, &s)
		if !resumes {
			c.Assert(res.Outcome, qt.Equals, wire.OutcomeBroken)
			c.Assert(res.DeliveredEvents, qt.Equals, 0)
			c.Assert(s.writes, qt.Equals, 5)
			continue
		}
		c.Assert(res.Outcome, qt.Equals, wire.OutcomeDone)
		c.Assert(res.Cost, qt.Equals, 6.0)
		c.Assert(strings.Count(s.body.String(), "data: "), qt.Equals, 12)
		for n := range 10 {
			c.Assert(strings.Count(s.body.String(), `"`+emulator.Token("r1", n)+`"`), qt.Equals, 1)
		}
		c.Assert(e.Debug().Requests["r1"], qt.Equals, 1)
		cl.Close()
	}
}

// Guards against load reports and cache events that the host reads wrongly, and against an
// order with an old fencing number that is not reported as refused.
func TestHostRequests(t *testing.T) {
	c := qt.New(t)
	e, address := startEmulator(t, emulator.Options{ChecksFence: true})
	cl := New(Options{})
	defer cl.Close()
	ctx := context.Background()
	l, err := cl.FetchLoad(ctx, address)
	c.Assert(err, qt.IsNil)
	c.Assert(l, qt.Equals, LoadReport{Instance: e.Instance()})
	r := chatRequest(address, false)
	r.PrefixDigest = wire.Digest{1}
	c.Assert(cl.Do(ctx, r, &recordingSink{}).Outcome, qt.Equals, wire.OutcomeDone)
	b, err := cl.CacheEvents(ctx, address, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(b.Events, qt.DeepEquals, []CacheEvent{{Seq: 1, Added: []string{"01" + strings.Repeat("00", 15)}, Removed: []string{}}})
	c.Assert(cl.SendOrder(ctx, address, Order{Fence: 7, Kind: "load", Model: "m"}), qt.IsNil)
	err = cl.SendOrder(ctx, address, Order{Fence: 6, Kind: "load", Model: "m"})
	c.Assert(fault.CodeOf(err), qt.Equals, fault.StaleFence)
	c.Assert(e.Debug().Orders, qt.HasLen, 1)
}

// Guards against counting a reachable upstream without load reports as unreachable, and
// against counting one that refuses work or does not respond as reachable.
func TestLoadWithoutReport(t *testing.T) {
	response := func(status, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	for _, tc := range []struct {
		response string
		want     LoadReport
		fails    bool
	}{
		{response("200 OK", `{"instance":"i","running":2,"queued":1}`), LoadReport{"i", 2, 1}, false},
		{response("404 Not Found", "no such page"), noReport, false},
		{response("500 Internal Server Error", ""), noReport, false},
		{response("200 OK", "hello"), noReport, false},
		{response("200 OK", `{"running":-3}`), noReport, false},
		{response("503 Service Unavailable", ""), LoadReport{}, true},
		{closeMark, LoadReport{}, true},
		{"HTTP/1.1 404 Not Found\r\nContent-Length: 9\r\n\r\ncut" + closeMark, LoadReport{}, true},
	} {
		cl := New(Options{})
		l, err := cl.FetchLoad(context.Background(), startScripted(t, tc.response).address)
		qt.Check(t, l, qt.Equals, tc.want, qt.Commentf("%q", tc.response))
		qt.Check(t, err != nil, qt.Equals, tc.fails, qt.Commentf("%q: %v", tc.response, err))
		cl.Close()
	}
}

// BenchmarkDo measures the cost of one attempt on a reused connection.
func BenchmarkDo(b *testing.B) {
	u := startScripted(b, okJSON)
	cl := New(Options{})
	defer cl.Close()
	r := chatRequest(u.address, false)
	b.ReportAllocs()
	for b.Loop() {
		if res := cl.Do(context.Background(), r, &recordingSink{}); res.Err != nil {
			b.Fatal(res.Err)
		}
	}
}

// Guards against more connections to an upstream than it accepts: those of requests to pools
// and of the host's own requests count, too.
func TestAllConnectionsCountForTheLimit(t *testing.T) {
	c := qt.New(t)
	u := startScripted(t, "")
	cl := New(Options{})
	defer cl.Close()
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error {
		cl.Do(ctx, chatRequest(u.address, false), &recordingSink{})
		return nil
	})
	g.Go(func() error {
		_, _ = cl.FetchLoad(ctx, u.address)
		return nil
	})
	for u.requests.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	forward := func(limit int) error {
		short, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := cl.Forward(short, &ForwardRequest{Address: u.address, Method: "GET", Target: "/", Host: "h", Header: http.Header{}, MaxConnections: limit})
		return err
	}
	err := forward(2)
	c.Assert(fault.CodeOf(err), qt.Equals, fault.QueueFull, qt.Commentf("%v", err))
	c.Assert(fault.As(err).RunState, qt.Equals, fault.NotRun)
	c.Assert(u.requests.Load(), qt.Equals, int64(2))
	c.Assert(fault.CodeOf(forward(3)), qt.Equals, fault.UpstreamFailed)
	cancel()
	_ = g.Wait()
	// Closed connections count no longer.
	c.Assert(fault.CodeOf(forward(1)), qt.Equals, fault.UpstreamFailed)
}
