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

type directory struct {
	mu      sync.Mutex
	cfg     *config.Config
	current bool
	leaving bool
}

func (d *directory) Config() *config.Config {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cfg
}
func (d *directory) Current() bool            { d.mu.Lock(); defer d.mu.Unlock(); return d.current }
func (d *directory) Hosts() []wire.HostStatus { return []wire.HostStatus{{Host: "h1", Alive: true}} }
func (d *directory) Leaving() bool            { d.mu.Lock(); defer d.mu.Unlock(); return d.leaving }

type serviceFunc func(ctx context.Context, call *Call, a Answer) error

func (f serviceFunc) Serve(ctx context.Context, call *Call, a Answer) error { return f(ctx, call, a) }

func hash(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

func testConfig(account, key string) *config.Config {
	cfg := config.New()
	cfg.Policy.KeepFor = 10 * time.Second
	cfg.Contracts[account] = config.Contract{
		Account: account, KeyHashes: []string{hash(key)}, MaxBodyBytes: 4096,
		MaxRun: time.Minute, MaxWait: time.Second, Pools: []string{"m", "s"},
	}
	cfg.Pools["m"] = config.Pool{Name: "m", Kind: config.KindModel}
	cfg.Pools["other"] = config.Pool{Name: "other", Kind: config.KindModel}
	cfg.Pools["s"] = config.Pool{Name: "s", Kind: config.KindService, Routes: []config.Route{
		{Method: "GET", PathPrefix: "/orders", Idempotent: true},
		{Method: "POST", PathPrefix: "/orders"},
		{Method: "POST", PathPrefix: "/orders/preview", Idempotent: true},
	}}
	cfg.Hosts["h1"] = config.Host{Name: "h1", DataCentre: "a", CallerAddress: "127.0.0.1:1"}
	return cfg
}

type bench struct {
	*qt.C
	s       *Server
	d       *directory
	address string
}

func start(t testing.TB, o Options, f serviceFunc) *bench {
	c := qt.New(t)
	d := &directory{cfg: testConfig("acme", "k1"), current: true}
	o.Directory, o.Service, o.DataCentre = d, f, "a"
	o.Now = func() time.Time { return testTime }
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := New(o)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	b := &bench{C: c, s: s, d: d, address: ln.Addr().String()}
	// The server registers its listener before it accepts the first connection.
	b.dial().Close()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Shutdown(ctx)
		<-done
	})
	return b
}

func (b *bench) dial() net.Conn {
	nc, err := net.Dial("tcp", b.address)
	b.Assert(err, qt.IsNil)
	b.Cleanup(func() { nc.Close() })
	return nc
}

// raw sends a request text and returns the answer on the same connection.
func (b *bench) raw(nc net.Conn, text string) *http.Response {
	_, err := io.WriteString(nc, text)
	b.Assert(err, qt.IsNil)
	method, _, _ := strings.Cut(text, " ")
	r, err := http.ReadResponse(bufio.NewReader(nc), &http.Request{Method: method})
	b.Assert(err, qt.IsNil)
	return r
}

const auth = "Host: x\r\nAuthorization: Bearer k1\r\n"

func (b *bench) send(method, path, header, body string) *http.Response {
	return b.raw(b.dial(), fmt.Sprintf("%s %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", method, path, header, len(body), body))
}

func (b *bench) wantError(r *http.Response, status int, code fault.Code, run fault.RunState) errorDetail {
	b.Helper()
	body, err := io.ReadAll(r.Body)
	b.Assert(err, qt.IsNil)
	var e errorBody
	b.Assert(json.Unmarshal(body, &e), qt.IsNil, qt.Commentf("%s", body))
	b.Assert(e.Error.Code, qt.Equals, code)
	b.Assert(e.Error.RunState, qt.Equals, run)
	b.Assert(r.StatusCode, qt.Equals, status)
	b.Assert(r.Header.Get("X-Error-Code"), qt.Equals, string(code))
	b.Assert(r.Header.Get("X-Run-State"), qt.Equals, string(run))
	return e.Error
}

func echo(_ context.Context, c *Call, a Answer) error {
	if err := a.Begin(200, "application/json", [][2]string{{"X-Pool", c.Pool}}); err != nil {
		return err
	}
	return a.Write([]byte(fmt.Sprintf("%s %s %s %v %s", c.Method, c.Path, c.Query, c.Idempotent, c.Body)))
}

func key(at time.Time) string {
	var id uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6], id[8] = 0x70, 0x80
	return id.String()
}

const chatText = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`

// Guards every refusal before the service runs: each must be typed, with status, code
// and a true "not run".
func TestRefusals(t *testing.T) {
	b := start(t, Options{MaxHeaderBytes: 4096}, func(context.Context, *Call, Answer) error {
		panic("a refused request reached the service")
	})
	idem := func(k string) string { return auth + "Idempotency-Key: " + k + "\r\n" }
	for _, tc := range []struct {
		name, method, path, header, body string
		status                           int
		code                             fault.Code
	}{
		{"no credential", "POST", chatPath, "Host: x\r\n", chatText, 401, fault.Unauthenticated},
		{"wrong credential", "POST", chatPath, "Host: x\r\nAuthorization: Bearer k2\r\n", chatText, 401, fault.Unauthenticated},
		{"wrong scheme", "GET", "/v1/models", "Host: x\r\nAuthorization: Basic k1\r\n", "", 401, fault.Unauthenticated},
		{"unknown path", "GET", "/v2", auth, "", 404, fault.NotFound},
		{"oversize", "POST", chatPath, auth, strings.Repeat("x", 5000), 413, fault.BodyTooLarge},
		{"not JSON", "POST", chatPath, auth, "{", 400, fault.BadRequest},
		{"no model", "POST", chatPath, auth, "{}", 400, fault.BadRequest},
		{"unknown pool", "POST", chatPath, auth, `{"model":"zzz"}`, 404, fault.PoolUnknown},
		{"service as model", "POST", chatPath, auth, `{"model":"s"}`, 404, fault.PoolUnknown},
		{"pool not in contract", "POST", chatPath, auth, `{"model":"other"}`, 403, fault.PoolNotAllowed},
		{"bad deadline", "POST", chatPath, auth + "X-Deadline-Ms: -1\r\n", chatText, 400, fault.BadRequest},
		{"no route", "DELETE", "/services/s/orders", auth, "", 404, fault.NotFound},
		{"prefix inside a segment", "GET", "/services/s/orders2", auth, "", 404, fault.NotFound},
		{"dot segment", "GET", "/services/s/orders/../admin", auth, "", 400, fault.BadRequest},
		{"encoded slash", "POST", "/services/s/orders%2Fpreview", auth, "", 400, fault.BadRequest},
		{"empty segment", "POST", "/services/s//orders", auth, "", 400, fault.BadRequest},
		{"no key", "POST", "/services/s/orders/1", auth, "{}", 400, fault.KeyRequired},
		{"key of version 4", "POST", "/services/s/orders", idem("9b2c3f40-0000-4000-8000-000000000000"), "{}", 400, fault.KeyInvalid},
		{"key in other spelling", "POST", "/services/s/orders", idem("{" + key(testTime) + "}"), "{}", 400, fault.KeyInvalid},
		{"old key", "POST", "/services/s/orders", idem(key(testTime.Add(-defaultRetention - time.Second))), "{}", 422, fault.KeyExpired},
		{"future key", "POST", "/services/s/orders", idem(key(testTime.Add(maxFuture + time.Second))), "{}", 400, fault.KeyInvalid},
		{"large header", "GET", "/v1/models", auth + "X-Long: " + strings.Repeat("x", 5000) + "\r\n", "", 431, fault.BadRequest},
	} {
		b.Run(tc.name, func(c *qt.C) {
			bb := *b
			bb.C = c
			bb.wantError(bb.send(tc.method, tc.path, tc.header, tc.body), tc.status, tc.code, fault.NotRun)
		})
	}
	b.d.mu.Lock()
	b.d.current = false
	b.d.mu.Unlock()
	r := b.send("POST", chatPath, auth, chatText)
	b.Assert(r.Header.Get("Retry-After"), qt.Equals, "1")
	b.wantError(r, 503, fault.HostIsolated, fault.NotRun)
}

// Guards against a body limit that is checked only after the body was read: an oversize
// declared body is refused before it is sent, a chunked one while it is read, and a
// slow or short one in bounded time.
func TestBodiesAreRefusedEarly(t *testing.T) {
	b := start(t, Options{BodyTimeout: 30 * time.Millisecond, HeaderTimeout: 30 * time.Millisecond}, echo)
	head := "POST " + chatPath + " HTTP/1.1\r\n" + auth
	b.wantError(b.raw(b.dial(), head+"Content-Length: 1000000000\r\n\r\n{"), 413, fault.BodyTooLarge, fault.NotRun)
	b.wantError(b.raw(b.dial(), head+"Transfer-Encoding: chunked\r\n\r\n2000\r\n"+strings.Repeat("x", 0x2000)), 413, fault.BodyTooLarge, fault.NotRun)
	b.wantError(b.raw(b.dial(), head+"Content-Length: 100\r\n\r\n{"), 408, fault.Timeout, fault.NotRun)
	b.wantError(b.raw(b.dial(), head), 408, fault.Timeout, fault.NotRun)
	nc := b.dial()
	_, _ = io.WriteString(nc, head+"Content-Length: 100\r\n\r\n{")
	_ = nc.(*net.TCPConn).CloseWrite()
	r, err := http.ReadResponse(bufio.NewReader(nc), nil)
	b.Assert(err, qt.IsNil)
	b.wantError(r, 400, fault.BadRequest, fault.NotRun)
}

// Guards the mapping from path to pool, route and key, and that one connection serves
// several requests after streamed answers.
func TestCallsReachTheService(t *testing.T) {
	b := start(t, Options{}, echo)
	nc := b.dial()
	br := bufio.NewReader(nc)
	for _, tc := range []struct{ method, path, header, body, want string }{
		{"GET", "/services/s/orders/7?a=b", "", "", "GET /orders/7 a=b true "},
		{"POST", "/services/s/orders/preview/1", "", "x", "POST /orders/preview/1  true x"},
		{"POST", "/services/s/orders", "Idempotency-Key: " + key(testTime.Add(maxFuture)) + "\r\n", "y", "POST /orders  false y"},
		{"POST", chatPath, "", chatText, "POST " + chatPath + "  true " + chatText},
	} {
		_, err := fmt.Fprintf(nc, "%s %s HTTP/1.1\r\n%s%sContent-Length: %d\r\n\r\n%s", tc.method, tc.path, auth, tc.header, len(tc.body), tc.body)
		b.Assert(err, qt.IsNil)
		r, err := http.ReadResponse(br, nil)
		b.Assert(err, qt.IsNil)
		body, err := io.ReadAll(r.Body)
		b.Assert(err, qt.IsNil)
		b.Assert(string(body), qt.Equals, tc.want)
	}
	r := b.send("GET", "/v1/discover", auth, "")
	body, _ := io.ReadAll(r.Body)
	b.Assert(string(body), qt.Equals, `{"addresses":[{"address":"127.0.0.1:1","data_centre":"a"}],"keep_for_ms":10000}`)
	r = b.send("GET", "/v1/models", auth, "")
	body, _ = io.ReadAll(r.Body)
	b.Assert(string(body), qt.Equals, `{"object":"list","data":[{"id":"m","object":"model"}]}`)
}

// Guards the fields that the scheduler and the claims rely on.
func TestCallFields(t *testing.T) {
	calls := make(chan *Call, 8)
	b := start(t, Options{}, func(_ context.Context, c *Call, a Answer) error {
		calls <- c
		return a.Begin(204, "", [][2]string{{"Content-Length", "0"}})
	})
	get := func(header, body string) *Call { b.send("POST", chatPath, auth+header, body); return <-calls }
	one := get("X-Deadline-Ms: 250\r\n", chatText)
	b.Assert(one.Stream, qt.IsTrue)
	b.Assert(one.Deadline.Equal(testTime.Add(250*time.Millisecond)), qt.IsTrue)
	b.Assert(one.Fingerprint, qt.Equals, fingerprint("acme", "POST m"+chatPath+"?", []byte(chatText)))
	two := get("X-Deadline-Ms: 99999999\r\n", strings.Replace(chatText, "true", "false", 1))
	b.Assert(two.Stream, qt.IsFalse)
	b.Assert(two.Deadline.Equal(testTime.Add(61*time.Second)), qt.IsTrue)
	b.Assert(two.Prefix, qt.Equals, one.Prefix)
	b.Assert(two.Fingerprint != one.Fingerprint, qt.IsTrue)
	three := get("", strings.Replace(chatText, "hi", "ho", 1))
	b.Assert(three.Prefix != one.Prefix, qt.IsTrue)
	b.Assert(one.Header, qt.HasLen, 0)
}

// Guards against a caller's conditions that get lost, and against its credential or
// connection headers reaching a plain service.
func TestServiceCallHeaders(t *testing.T) {
	calls := make(chan *Call, 1)
	b := start(t, Options{}, func(_ context.Context, c *Call, a Answer) error {
		calls <- c
		return a.Begin(204, "", [][2]string{{"Content-Length", "0"}})
	})
	b.send("GET", "/services/s/orders", auth+"If-None-Match: v7\r\nX-Other: y\r\n", "")
	b.Assert((<-calls).Header, qt.DeepEquals, [][2]string{{"If-None-Match", "v7"}})
}

// Guards against an index that keeps a revoked credential.
func TestCredentialChangeTakesEffect(t *testing.T) {
	b := start(t, Options{}, echo)
	b.Assert(b.send("GET", "/v1/models", auth, "").StatusCode, qt.Equals, 200)
	b.d.mu.Lock()
	b.d.cfg = testConfig("acme", "k2")
	b.d.mu.Unlock()
	b.wantError(b.send("GET", "/v1/models", auth, ""), 401, fault.Unauthenticated, fault.NotRun)
}

// Guards against sending callers to a host that leaves, while it serves those it has.
func TestLeavingHost(t *testing.T) {
	b := start(t, Options{Host: "h1"}, echo)
	b.d.mu.Lock()
	b.d.leaving = true
	b.d.mu.Unlock()
	body, err := io.ReadAll(b.send("GET", "/v1/discover", auth, "").Body)
	b.Assert(err, qt.IsNil)
	b.Assert(string(body), qt.Equals, `{"addresses":[],"keep_for_ms":10000}`)
	b.Assert(b.send("POST", chatPath, auth, chatText).StatusCode, qt.Equals, 200)
	b.wantError(b.send("GET", "/healthz", "Host: x\r\n", ""), 503, fault.HostLeaving, fault.NotRun)
}

// Guards the typed refusal of the service, with its retry delay rounded up.
func TestServiceRefusal(t *testing.T) {
	b := start(t, Options{}, func(context.Context, *Call, Answer) error {
		return fault.New(fault.QueueFull, fault.NotRun, "full").After(1200 * time.Millisecond)
	})
	r := b.send("POST", chatPath, auth, chatText)
	b.Assert(r.Header.Get("Retry-After"), qt.Equals, "2")
	e := b.wantError(r, 429, fault.QueueFull, fault.NotRun)
	b.Assert(e.RetryAfterMS, qt.Equals, int64(1200))
}

// Guards the flush of each event: the second event is produced only after the caller
// has the first.
func TestEventsAreFlushed(t *testing.T) {
	next := make(chan struct{})
	b := start(t, Options{}, func(_ context.Context, _ *Call, a Answer) error {
		_ = a.Begin(200, eventStream, nil)
		_ = a.Write([]byte("data: 1\n\n"))
		<-next
		return a.Write([]byte("data: [DONE]\n\n"))
	})
	r := b.send("POST", chatPath, auth, chatText)
	p := make([]byte, 9)
	_, err := io.ReadFull(r.Body, p)
	b.Assert(err, qt.IsNil)
	close(next)
	rest, err := io.ReadAll(r.Body)
	b.Assert(err, qt.IsNil)
	b.Assert(string(p)+string(rest), qt.Equals, "data: 1\n\ndata: [DONE]\n\n")
}

// Guards I5: an answer that the service could not finish must not look whole.
func TestUnfinishedAnswersAreDetectable(t *testing.T) {
	for _, header := range [][][2]string{nil, {{"Content-Length", "100"}}} {
		for _, kind := range []string{eventStream, "application/json"} {
			b := start(t, Options{}, func(_ context.Context, _ *Call, a Answer) error {
				_ = a.Begin(200, kind, header)
				_ = a.Write([]byte("data: 1\n\n"))
				return fault.New(fault.StreamCut, fault.MayHaveRun, "cut")
			})
			nc := b.dial()
			_, err := fmt.Fprintf(nc, "POST %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", chatPath, auth, len(chatText), chatText)
			b.Assert(err, qt.IsNil)
			var body []byte
			r, err := http.ReadResponse(bufio.NewReader(nc), nil)
			if err == nil {
				body, err = io.ReadAll(r.Body)
			}
			b.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
			if kind == eventStream && header == nil {
				b.Assert(string(body), qt.Contains, "event: error\ndata: {\"error\":{\"code\":\"stream_cut\"")
			}
		}
	}
}

// Guards against a half answer to a call that is not streamed.
func TestFailureAfterBeginIsTyped(t *testing.T) {
	b := start(t, Options{}, func(_ context.Context, _ *Call, a Answer) error {
		_ = a.Begin(200, "text/plain", [][2]string{{"Content-Length", "9"}, {"ETag", "x"}})
		_ = a.Write([]byte("half"))
		return fault.New(fault.StreamCut, fault.MayHaveRun, "cut")
	})
	r := b.send("POST", chatPath, auth, strings.Replace(chatText, "true", "false", 1))
	b.Assert(r.Header.Get("ETag"), qt.Equals, "")
	b.Assert(r.Header.Get("X-Request-Id"), qt.Not(qt.Equals), "")
	b.wantError(r, 502, fault.StreamCut, fault.MayHaveRun)
}

// Guards against work for callers that left, before and after the answer began.
func TestDisconnectCancels(t *testing.T) {
	for i, begin := range []bool{false, false, true} {
		text := chatText
		if i == 0 {
			text = strings.Replace(chatText, "true", "null", 1)
		}
		arrived, cancelled := make(chan struct{}), make(chan error)
		b := start(t, Options{}, func(ctx context.Context, _ *Call, a Answer) error {
			if begin {
				_ = a.Begin(200, eventStream, nil)
				_ = a.Write([]byte("data: 1\n\n"))
			}
			close(arrived)
			<-ctx.Done()
			cancelled <- context.Cause(ctx)
			return errGone
		})
		nc := b.dial()
		_, _ = fmt.Fprintf(nc, "POST %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", chatPath, auth, len(text), text)
		<-arrived
		b.Assert(b.s.Running(), qt.Equals, 1)
		nc.Close()
		b.Assert(fault.CodeOf(<-cancelled), qt.Equals, fault.CallerGone)
	}
}

// Guards I9 and the typed end of requests that a second signal ends early.
func TestShutdown(t *testing.T) {
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	b := start(t, Options{}, func(ctx context.Context, _ *Call, a Answer) error {
		arrived <- struct{}{}
		select {
		case <-release:
			_ = a.Begin(200, "text/plain", nil)
			return a.Write([]byte("whole"))
		case <-ctx.Done():
			return fault.New(fault.CallerGone, fault.MayHaveRun, "cancelled")
		}
	})
	answers := make(chan *http.Response, 1)
	ask := func() { answers <- b.send("POST", chatPath, auth, chatText) }
	go ask()
	<-arrived
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- b.s.Shutdown(ctx) }()
	cancel()
	b.wantError(<-answers, 503, fault.HostLeaving, fault.MayHaveRun)
	b.Assert(fault.CodeOf(<-ended), qt.Equals, fault.Timeout)

	b2 := start(t, Options{}, b.s.o.Service.(serviceFunc))
	b.address = b2.address
	go ask()
	<-arrived
	go func() { ended <- b2.s.Shutdown(context.Background()) }()
	close(release)
	body, err := io.ReadAll((<-answers).Body)
	b.Assert(err, qt.IsNil)
	b.Assert(string(body), qt.Equals, "whole")
	b.Assert(<-ended, qt.IsNil)
}

// Guards the connection limit: the refusal is typed and leaves open connections alone.
func TestConnectionLimit(t *testing.T) {
	b := start(t, Options{MaxConnections: 1}, echo)
	var kept net.Conn
	for kept == nil {
		// The connection of start may not have been removed yet.
		nc := b.dial()
		if r := b.raw(nc, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"); r.StatusCode == 200 {
			kept = nc
		}
	}
	r, err := http.ReadResponse(bufio.NewReader(b.dial()), nil)
	b.Assert(err, qt.IsNil)
	b.wantError(r, 429, fault.QueueFull, fault.NotRun)
	b.Assert(b.raw(kept, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").StatusCode, qt.Equals, 200)
}

// BenchmarkCall measures one call on a kept connection without an upstream.
func BenchmarkCall(b *testing.B) {
	for _, mode := range []string{"true", "false"} {
		b.Run("stream="+mode, func(tb *testing.B) {
			bb := start(tb, Options{}, echo)
			nc := bb.dial()
			br := bufio.NewReader(nc)
			body := strings.Replace(chatText, "true", mode, 1)
			text := fmt.Sprintf("POST %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", chatPath, auth, len(body), body)
			tb.ReportAllocs()
			for tb.Loop() {
				_, _ = io.WriteString(nc, text)
				r, err := http.ReadResponse(br, nil)
				if err != nil {
					tb.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, r.Body)
			}
		})
	}
}
