package frontend

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

var testTime = time.UnixMilli(1_800_000_000_000)

type fakeControlView struct {
	mu      sync.Mutex
	cfg     *config.Config
	current bool
	leaving bool
}

func (d *fakeControlView) Config() *config.Config {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cfg
}
func (d *fakeControlView) ConfigCurrent() bool { d.mu.Lock(); defer d.mu.Unlock(); return d.current }
func (d *fakeControlView) Hosts() []wire.HostStatus {
	return []wire.HostStatus{{Host: "h1", Alive: true}}
}
func (d *fakeControlView) Leaving() bool { d.mu.Lock(); defer d.mu.Unlock(); return d.leaving }

type callHandlerFunc func(ctx context.Context, call *Call, w ResponseWriter) error

func (f callHandlerFunc) Serve(ctx context.Context, call *Call, w ResponseWriter) error {
	return f(ctx, call, w)
}

func hashHex(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

func testConfig(account, key string) *config.Config {
	cfg := config.New()
	cfg.Policy.KeepFor = 10 * time.Second
	cfg.Contracts[account] = config.Contract{
		Account: account, KeyHashes: []string{hashHex(key)}, MaxBodyBytes: 4096,
		MaxRun: time.Minute, MaxWait: time.Second, Pools: []string{"m", "s"},
	}
	cfg.Pools["m"] = config.Pool{Name: "m", Kind: config.KindModel}
	cfg.Pools["other"] = config.Pool{Name: "other", Kind: config.KindModel}
	cfg.Pools["s"] = config.Pool{Name: "s", Kind: config.KindService, Routes: []config.ServiceRoute{
		{Method: "GET", PathPrefix: "/orders", Idempotent: true},
		{Method: "POST", PathPrefix: "/orders"},
		{Method: "POST", PathPrefix: "/orders/preview", Idempotent: true},
	}}
	cfg.Hosts["h1"] = config.Host{Name: "h1", DataCentre: "a", CallerAddress: "127.0.0.1:1"}
	return cfg
}

type testServer struct {
	*qt.C
	server      *Server
	controlView *fakeControlView
	address     string
}

func startServer(t testing.TB, opts Options, f callHandlerFunc) *testServer {
	c := qt.New(t)
	d := &fakeControlView{cfg: testConfig("acme", "k1"), current: true}
	opts.ControlView, opts.CallHandler, opts.DataCentre = d, f, "a"
	opts.Now = func() time.Time { return testTime }
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := New(opts)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	ts := &testServer{C: c, server: s, controlView: d, address: ln.Addr().String()}
	// The server registers its listener before it accepts the first connection.
	ts.dial().Close()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Shutdown(ctx)
		<-done
	})
	return ts
}

func (ts *testServer) dial() net.Conn {
	nc, err := net.Dial("tcp", ts.address)
	ts.Assert(err, qt.IsNil)
	ts.Cleanup(func() { nc.Close() })
	return nc
}

// roundTrip sends the text of a request on nc and reads the response.
func (ts *testServer) roundTrip(nc net.Conn, request string) *http.Response {
	_, err := io.WriteString(nc, request)
	ts.Assert(err, qt.IsNil)
	method, _, _ := strings.Cut(request, " ")
	r, err := http.ReadResponse(bufio.NewReader(nc), &http.Request{Method: method})
	ts.Assert(err, qt.IsNil)
	return r
}

const authHeaders = "Host: x\r\nAuthorization: Bearer k1\r\n"

func (ts *testServer) send(method, path, header, body string) *http.Response {
	return ts.roundTrip(ts.dial(), fmt.Sprintf("%s %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", method, path, header, len(body), body))
}

func (ts *testServer) wantError(r *http.Response, status int, code fault.Code, run fault.RunState) errorDetail {
	ts.Helper()
	body, err := io.ReadAll(r.Body)
	ts.Assert(err, qt.IsNil)
	var e errorBody
	ts.Assert(json.Unmarshal(body, &e), qt.IsNil, qt.Commentf("%s", body))
	ts.Assert(e.Error.Code, qt.Equals, code)
	ts.Assert(e.Error.RunState, qt.Equals, run)
	ts.Assert(r.StatusCode, qt.Equals, status)
	ts.Assert(r.Header.Get("X-Error-Code"), qt.Equals, string(code))
	ts.Assert(r.Header.Get("X-Run-State"), qt.Equals, string(run))
	return e.Error
}

func echo(_ context.Context, c *Call, w ResponseWriter) error {
	if err := w.Begin(200, "application/json", [][2]string{{"X-Pool", c.Pool}}); err != nil {
		return err
	}
	return w.Write([]byte(fmt.Sprintf("%s %s %s %v %s", c.Method, c.Path, c.Query, c.Idempotent, c.Body)))
}

func uuidV7(at time.Time) string {
	var id uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6], id[8] = 0x70, 0x80
	return id.String()
}

const chatJSON = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`

// Guards against refusals before the CallHandler runs that are not typed, or that have a
// wrong status or code or lack the run state "not run".
func TestRefusals(t *testing.T) {
	ts := startServer(t, Options{MaxHeaderBytes: 4096}, func(context.Context, *Call, ResponseWriter) error {
		panic("a refused request reached the CallHandler")
	})
	idem := func(k string) string { return authHeaders + "Idempotency-Key: " + k + "\r\n" }
	for _, tc := range []struct {
		name, method, path, header, body string
		status                           int
		code                             fault.Code
	}{
		{"no credential", "POST", chatPath, "Host: x\r\n", chatJSON, 401, fault.Unauthenticated},
		{"wrong credential", "POST", chatPath, "Host: x\r\nAuthorization: Bearer k2\r\n", chatJSON, 401, fault.Unauthenticated},
		{"wrong scheme", "GET", "/v1/models", "Host: x\r\nAuthorization: Basic k1\r\n", "", 401, fault.Unauthenticated},
		{"unknown path", "GET", "/v2", authHeaders, "", 404, fault.NotFound},
		{"oversize", "POST", chatPath, authHeaders, strings.Repeat("x", 5000), 413, fault.BodyTooLarge},
		{"not JSON", "POST", chatPath, authHeaders, "{", 400, fault.BadRequest},
		{"no model", "POST", chatPath, authHeaders, "{}", 400, fault.BadRequest},
		{"unknown pool", "POST", chatPath, authHeaders, `{"model":"zzz"}`, 404, fault.PoolUnknown},
		{"service as model", "POST", chatPath, authHeaders, `{"model":"s"}`, 404, fault.PoolUnknown},
		{"pool not in contract", "POST", chatPath, authHeaders, `{"model":"other"}`, 403, fault.PoolNotAllowed},
		{"bad deadline", "POST", chatPath, authHeaders + "X-Deadline-Ms: -1\r\n", chatJSON, 400, fault.BadRequest},
		{"no route", "DELETE", "/services/s/orders", authHeaders, "", 404, fault.NotFound},
		{"prefix inside a segment", "GET", "/services/s/orders2", authHeaders, "", 404, fault.NotFound},
		{"dot segment", "GET", "/services/s/orders/../admin", authHeaders, "", 400, fault.BadRequest},
		{"encoded slash", "POST", "/services/s/orders%2Fpreview", authHeaders, "", 400, fault.BadRequest},
		{"empty segment", "POST", "/services/s//orders", authHeaders, "", 400, fault.BadRequest},
		{"no key", "POST", "/services/s/orders/1", authHeaders, "{}", 400, fault.IdempotencyKeyRequired},
		{"key of version 4", "POST", "/services/s/orders", idem("9b2c3f40-0000-4000-8000-000000000000"), "{}", 400, fault.IdempotencyKeyInvalid},
		{"key in other spelling", "POST", "/services/s/orders", idem("{" + uuidV7(testTime) + "}"), "{}", 400, fault.IdempotencyKeyInvalid},
		{"old key", "POST", "/services/s/orders", idem(uuidV7(testTime.Add(-defaultClaimRetention - time.Second))), "{}", 422, fault.IdempotencyKeyExpired},
		{"future key", "POST", "/services/s/orders", idem(uuidV7(testTime.Add(maxClockAhead + time.Second))), "{}", 400, fault.IdempotencyKeyInvalid},
		{"large header", "GET", "/v1/models", authHeaders + "X-Long: " + strings.Repeat("x", 5000) + "\r\n", "", 431, fault.BadRequest},
	} {
		ts.Run(tc.name, func(c *qt.C) {
			sub := *ts
			sub.C = c
			sub.wantError(sub.send(tc.method, tc.path, tc.header, tc.body), tc.status, tc.code, fault.NotRun)
		})
	}
	ts.controlView.mu.Lock()
	ts.controlView.current = false
	ts.controlView.mu.Unlock()
	r := ts.send("POST", chatPath, authHeaders, chatJSON)
	ts.Assert(r.Header.Get("Retry-After"), qt.Equals, "1")
	ts.wantError(r, 503, fault.HostIsolated, fault.NotRun)
}

// Guards against a body limit that is checked only after the body was read. A body whose
// Content-Length is too large is refused before it is sent, a chunked one while it is read,
// and a slow or short one in bounded time.
func TestBodiesAreRefusedEarly(t *testing.T) {
	const reached, unreached = 30 * time.Millisecond, time.Minute
	head := "POST " + chatPath + " HTTP/1.1\r\n" + authHeaders
	slow := startServer(t, Options{BodyTimeout: reached, HeaderTimeout: unreached}, echo)
	slow.wantError(slow.roundTrip(slow.dial(), head+"Content-Length: 100\r\n\r\n{"), 408, fault.Timeout, fault.NotRun)
	slow = startServer(t, Options{BodyTimeout: unreached, HeaderTimeout: reached}, echo)
	slow.wantError(slow.roundTrip(slow.dial(), head), 408, fault.Timeout, fault.NotRun)
	// A busy host may read late what has arrived in time, so the other refusals need long limits.
	ts := startServer(t, Options{BodyTimeout: unreached, HeaderTimeout: unreached}, echo)
	ts.wantError(ts.roundTrip(ts.dial(), head+"Content-Length: 1000000000\r\n\r\n{"), 413, fault.BodyTooLarge, fault.NotRun)
	ts.wantError(ts.roundTrip(ts.dial(), head+"Transfer-Encoding: chunked\r\n\r\n2000\r\n"+strings.Repeat("x", 0x2000)), 413, fault.BodyTooLarge, fault.NotRun)
	nc := ts.dial()
	_, _ = io.WriteString(nc, head+"Content-Length: 100\r\n\r\n{")
	_ = nc.(*net.TCPConn).CloseWrite()
	r, err := http.ReadResponse(bufio.NewReader(nc), nil)
	ts.Assert(err, qt.IsNil)
	ts.wantError(r, 400, fault.BadRequest, fault.NotRun)
}

// Guards against a wrong mapping from path to pool, route and key, and against a connection
// that can't serve several requests, also after streamed responses.
func TestCallsReachTheHandler(t *testing.T) {
	ts := startServer(t, Options{}, echo)
	nc := ts.dial()
	br := bufio.NewReader(nc)
	for _, tc := range []struct{ method, path, header, body, want string }{
		{"GET", "/services/s/orders/7?a=b", "", "", "GET /orders/7 a=b true "},
		{"POST", "/services/s/orders/preview/1", "", "x", "POST /orders/preview/1  true x"},
		{"POST", "/services/s/orders", "Idempotency-Key: " + uuidV7(testTime.Add(maxClockAhead)) + "\r\n", "y", "POST /orders  false y"},
		{"POST", chatPath, "", chatJSON, "POST " + chatPath + "  true " + chatJSON},
	} {
		_, err := fmt.Fprintf(nc, "%s %s HTTP/1.1\r\n%s%sContent-Length: %d\r\n\r\n%s", tc.method, tc.path, authHeaders, tc.header, len(tc.body), tc.body)
		ts.Assert(err, qt.IsNil)
		r, err := http.ReadResponse(br, nil)
		ts.Assert(err, qt.IsNil)
		body, err := io.ReadAll(r.Body)
		ts.Assert(err, qt.IsNil)
		ts.Assert(string(body), qt.Equals, tc.want)
	}
	r := ts.send("GET", "/v1/discover", authHeaders, "")
	body, _ := io.ReadAll(r.Body)
	ts.Assert(string(body), qt.Equals, `{"addresses":[{"address":"127.0.0.1:1","data_centre":"a"}],"keep_for_ms":10000}`)
	r = ts.send("GET", "/v1/models", authHeaders, "")
	body, _ = io.ReadAll(r.Body)
	ts.Assert(string(body), qt.Equals, `{"object":"list","data":[{"id":"m","object":"model"}]}`)
}

// Guards against wrong values in the fields of Call that the scheduler and the claims depend
// on.
func TestCallFields(t *testing.T) {
	calls := make(chan *Call, 8)
	ts := startServer(t, Options{}, func(_ context.Context, c *Call, w ResponseWriter) error {
		calls <- c
		return w.Begin(204, "", [][2]string{{"Content-Length", "0"}})
	})
	get := func(header, body string) *Call { ts.send("POST", chatPath, authHeaders+header, body); return <-calls }
	one := get("X-Deadline-Ms: 250\r\n", chatJSON)
	ts.Assert(one.Stream, qt.IsTrue)
	ts.Assert(one.Deadline.Equal(testTime.Add(250*time.Millisecond)), qt.IsTrue)
	ts.Assert(one.Fingerprint, qt.Equals, fingerprint("acme", "POST m"+chatPath+"?", []byte(chatJSON)))
	two := get("X-Deadline-Ms: 99999999\r\n", strings.Replace(chatJSON, "true", "false", 1))
	ts.Assert(two.Stream, qt.IsFalse)
	ts.Assert(two.Deadline.Equal(testTime.Add(61*time.Second)), qt.IsTrue)
	ts.Assert(two.PrefixDigest, qt.Equals, one.PrefixDigest)
	ts.Assert(two.Fingerprint != one.Fingerprint, qt.IsTrue)
	three := get("", strings.Replace(chatJSON, "hi", "ho", 1))
	ts.Assert(three.PrefixDigest != one.PrefixDigest, qt.IsTrue)
	ts.Assert(one.Header, qt.HasLen, 0)
}

// Guards against losing the caller's conditional headers, and against passing its
// credential or connection headers on to a plain service.
func TestServiceCallHeaders(t *testing.T) {
	calls := make(chan *Call, 1)
	ts := startServer(t, Options{}, func(_ context.Context, c *Call, w ResponseWriter) error {
		calls <- c
		return w.Begin(204, "", [][2]string{{"Content-Length", "0"}})
	})
	ts.send("GET", "/services/s/orders", authHeaders+"If-None-Match: v7\r\nX-Other: y\r\n", "")
	ts.Assert((<-calls).Header, qt.DeepEquals, [][2]string{{"If-None-Match", "v7"}})
}

// Guards against a credential index that keeps a revoked credential.
func TestCredentialChangeTakesEffect(t *testing.T) {
	ts := startServer(t, Options{}, echo)
	ts.Assert(ts.send("GET", "/v1/models", authHeaders, "").StatusCode, qt.Equals, 200)
	ts.controlView.mu.Lock()
	ts.controlView.cfg = testConfig("acme", "k2")
	ts.controlView.mu.Unlock()
	ts.wantError(ts.send("GET", "/v1/models", authHeaders, ""), 401, fault.Unauthenticated, fault.NotRun)
}

// Guards against sending new callers to a host that is leaving; it still serves requests.
func TestLeavingHost(t *testing.T) {
	ts := startServer(t, Options{Host: "h1"}, echo)
	ts.controlView.mu.Lock()
	ts.controlView.leaving = true
	ts.controlView.mu.Unlock()
	body, err := io.ReadAll(ts.send("GET", "/v1/discover", authHeaders, "").Body)
	ts.Assert(err, qt.IsNil)
	ts.Assert(string(body), qt.Equals, `{"addresses":[],"keep_for_ms":10000}`)
	ts.Assert(ts.send("POST", chatPath, authHeaders, chatJSON).StatusCode, qt.Equals, 200)
	ts.wantError(ts.send("GET", "/healthz", "Host: x\r\n", ""), 503, fault.HostLeaving, fault.NotRun)
}

// Guards against a typed error of the CallHandler that reaches the caller changed, or whose
// retry delay is not rounded up.
func TestCallHandlerRefusal(t *testing.T) {
	ts := startServer(t, Options{}, func(context.Context, *Call, ResponseWriter) error {
		return fault.New(fault.QueueFull, fault.NotRun, "full").WithRetryAfter(1200 * time.Millisecond)
	})
	r := ts.send("POST", chatPath, authHeaders, chatJSON)
	ts.Assert(r.Header.Get("Retry-After"), qt.Equals, "2")
	e := ts.wantError(r, 429, fault.QueueFull, fault.NotRun)
	ts.Assert(e.RetryAfterMS, qt.Equals, int64(1200))
}

// Guards against events that are not flushed one by one: the second event is produced only
// after the caller has received the first.
func TestEventsAreFlushed(t *testing.T) {
	next := make(chan struct{})
	ts := startServer(t, Options{}, func(_ context.Context, _ *Call, w ResponseWriter) error {
		_ = w.Begin(200, eventStream, nil)
		_ = w.Write([]byte("data: 1\n\n"))
		<-next
		return w.Write([]byte("data: [DONE]\n\n"))
	})
	r := ts.send("POST", chatPath, authHeaders, chatJSON)
	p := make([]byte, 9)
	_, err := io.ReadFull(r.Body, p)
	ts.Assert(err, qt.IsNil)
	close(next)
	rest, err := io.ReadAll(r.Body)
	ts.Assert(err, qt.IsNil)
	ts.Assert(string(p)+string(rest), qt.Equals, "data: 1\n\ndata: [DONE]\n\n")
}

// Guards invariant I5 of docs/design.md against a response that looks complete although the
// CallHandler could not finish it.
func TestUnfinishedResponsesAreDetectable(t *testing.T) {
	for _, header := range [][][2]string{nil, {{"Content-Length", "100"}}} {
		for _, kind := range []string{eventStream, "application/json"} {
			ts := startServer(t, Options{}, func(_ context.Context, _ *Call, w ResponseWriter) error {
				_ = w.Begin(200, kind, header)
				_ = w.Write([]byte("data: 1\n\n"))
				return fault.New(fault.StreamCut, fault.MayHaveRun, "cut")
			})
			nc := ts.dial()
			_, err := fmt.Fprintf(nc, "POST %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", chatPath, authHeaders, len(chatJSON), chatJSON)
			ts.Assert(err, qt.IsNil)
			var body []byte
			r, err := http.ReadResponse(bufio.NewReader(nc), nil)
			if err == nil {
				body, err = io.ReadAll(r.Body)
			}
			ts.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
			if kind == eventStream && header == nil {
				ts.Assert(string(body), qt.Contains, "event: error\ndata: {\"error\":{\"code\":\"stream_cut\"")
			}
		}
	}
}

// Guards against a partial response to a call that is not streamed.
func TestFailureAfterBeginIsTyped(t *testing.T) {
	ts := startServer(t, Options{}, func(_ context.Context, _ *Call, w ResponseWriter) error {
		_ = w.Begin(200, "text/plain", [][2]string{{"Content-Length", "9"}, {"ETag", "x"}})
		_ = w.Write([]byte("half"))
		return fault.New(fault.StreamCut, fault.MayHaveRun, "cut")
	})
	r := ts.send("POST", chatPath, authHeaders, strings.Replace(chatJSON, "true", "false", 1))
	ts.Assert(r.Header.Get("ETag"), qt.Equals, "")
	ts.Assert(r.Header.Get("X-Request-Id"), qt.Not(qt.Equals), "")
	ts.wantError(r, 502, fault.StreamCut, fault.MayHaveRun)
}

// Guards against work for callers that have gone, before and after the response began.
func TestDisconnectCancels(t *testing.T) {
	for i, begin := range []bool{false, false, true} {
		body := chatJSON
		if i == 0 {
			body = strings.Replace(chatJSON, "true", "null", 1)
		}
		arrived, cancelled := make(chan struct{}), make(chan error)
		ts := startServer(t, Options{}, func(ctx context.Context, _ *Call, w ResponseWriter) error {
			if begin {
				_ = w.Begin(200, eventStream, nil)
				_ = w.Write([]byte("data: 1\n\n"))
			}
			close(arrived)
			<-ctx.Done()
			cancelled <- context.Cause(ctx)
			return errGone
		})
		nc := ts.dial()
		_, _ = fmt.Fprintf(nc, "POST %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", chatPath, authHeaders, len(body), body)
		<-arrived
		ts.Assert(ts.server.Running(), qt.Equals, 1)
		nc.Close()
		ts.Assert(fault.CodeOf(<-cancelled), qt.Equals, fault.CallerGone)
	}
}

// Guards invariant I9 of docs/design.md against a shutdown that ends running requests before
// its context does, and against a missing typed error for requests that are cancelled when
// the context ends.
func TestShutdown(t *testing.T) {
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	ts := startServer(t, Options{}, func(ctx context.Context, _ *Call, w ResponseWriter) error {
		arrived <- struct{}{}
		select {
		case <-release:
			_ = w.Begin(200, "text/plain", nil)
			return w.Write([]byte("whole"))
		case <-ctx.Done():
			return fault.New(fault.CallerGone, fault.MayHaveRun, "cancelled")
		}
	})
	responses := make(chan *http.Response, 1)
	sendChat := func() { responses <- ts.send("POST", chatPath, authHeaders, chatJSON) }
	go sendChat()
	<-arrived
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- ts.server.Shutdown(ctx) }()
	cancel()
	ts.wantError(<-responses, 503, fault.HostLeaving, fault.MayHaveRun)
	ts.Assert(fault.CodeOf(<-ended), qt.Equals, fault.Timeout)

	ts2 := startServer(t, Options{}, ts.server.opts.CallHandler.(callHandlerFunc))
	ts.address = ts2.address
	go sendChat()
	<-arrived
	go func() { ended <- ts2.server.Shutdown(context.Background()) }()
	close(release)
	body, err := io.ReadAll((<-responses).Body)
	ts.Assert(err, qt.IsNil)
	ts.Assert(string(body), qt.Equals, "whole")
	ts.Assert(<-ended, qt.IsNil)
}

// Guards against a refusal at the connection limit that is not typed or that affects open
// connections.
func TestConnectionLimit(t *testing.T) {
	ts := startServer(t, Options{MaxConnections: 1}, echo)
	var kept net.Conn
	for kept == nil {
		// The connection of startServer may not have been removed yet.
		nc := ts.dial()
		if r := ts.roundTrip(nc, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"); r.StatusCode == 200 {
			kept = nc
		}
	}
	r, err := http.ReadResponse(bufio.NewReader(ts.dial()), nil)
	ts.Assert(err, qt.IsNil)
	ts.wantError(r, 429, fault.QueueFull, fault.NotRun)
	ts.Assert(ts.roundTrip(kept, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").StatusCode, qt.Equals, 200)
}

// BenchmarkCall measures one call on a reused connection without an upstream.
func BenchmarkCall(b *testing.B) {
	for _, mode := range []string{"true", "false"} {
		b.Run("stream="+mode, func(tb *testing.B) {
			ts := startServer(tb, Options{}, echo)
			nc := ts.dial()
			br := bufio.NewReader(nc)
			body := strings.Replace(chatJSON, "true", mode, 1)
			request := fmt.Sprintf("POST %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", chatPath, authHeaders, len(body), body)
			tb.ReportAllocs()
			for tb.Loop() {
				_, _ = io.WriteString(nc, request)
				r, err := http.ReadResponse(br, nil)
				if err != nil {
					tb.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, r.Body)
			}
		})
	}
}
