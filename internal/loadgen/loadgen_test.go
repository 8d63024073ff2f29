package loadgen

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/emulator"
	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/frontend"
	"marigoldshunt/internal/wire"
)

// directService passes the calls for each pool to one upstream, without scheduling.
type directService struct {
	cfg       *config.Config
	hosts     []wire.HostStatus
	client    *engine.Client
	upstreams map[string]string
}

func (d *directService) Config() *config.Config   { return d.cfg }
func (d *directService) ConfigCurrent() bool      { return true }
func (d *directService) Hosts() []wire.HostStatus { return d.hosts }
func (d *directService) Leaving() bool            { return false }

func (d *directService) Serve(ctx context.Context, c *frontend.Call, w frontend.ResponseWriter) error {
	res := d.client.Do(ctx, &engine.Request{
		Pool: d.cfg.Pools[c.Pool], Upstream: c.Pool, Address: d.upstreams[c.Pool], Method: c.Method, Path: c.Path, Query: c.Query,
		ContentType: c.ContentType, Body: c.Body, ID: c.ID, IdempotencyKey: c.IdempotencyKey, PrefixDigest: c.PrefixDigest, Stream: c.Stream,
	}, w)
	if res.Err != nil {
		return res.Err
	}
	return nil
}

func listen(c *qt.C) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	return ln
}

func startEmulator(c *qt.C, opts emulator.Options) (*emulator.Emulator, string) {
	ln := listen(c)
	e := emulator.New(opts)
	go func() { _ = e.Serve(ln) }()
	c.Cleanup(func() { _ = e.Close() })
	return e, ln.Addr().String()
}

var fastModel = emulator.Options{Slots: 64, TokensPerResponse: 8}

// startHosts starts hosts in front of one emulator of each kind.
func startHosts(c *qt.C, hosts int, model emulator.Options) (*emulator.Emulator, *emulator.Emulator, []string) {
	m, ma := startEmulator(c, model)
	s, sa := startEmulator(c, emulator.Options{Kind: config.KindService, Slots: 64})
	cfg := config.New()
	sum := sha256.Sum256([]byte("k1"))
	cfg.Contracts["acme"] = config.Contract{Account: "acme", KeyHashes: []string{hex.EncodeToString(sum[:])}, MaxBodyBytes: 1 << 20, MaxRun: time.Minute, Pools: []string{"m", "s"}}
	cfg.Pools["m"] = config.Pool{Name: "m", Kind: config.KindModel}
	cfg.Pools["s"] = config.Pool{Name: "s", Kind: config.KindService, Routes: []config.ServiceRoute{{Method: "POST", PathPrefix: "/orders"}}}
	d := &directService{cfg: cfg, client: engine.New(engine.Options{}), upstreams: map[string]string{"m": ma, "s": sa}}
	c.Cleanup(d.client.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	var addresses []string
	for i := range hosts {
		name := string(rune('a' + i))
		ln := listen(c)
		addresses = append(addresses, ln.Addr().String())
		cfg.Hosts[name] = config.Host{Name: name, DataCentre: name, CallerAddress: ln.Addr().String()}
		d.hosts = append(d.hosts, wire.HostStatus{Host: name, Alive: true})
		srv := frontend.New(frontend.Options{Host: name, DataCentre: name, ControlView: d, CallHandler: d, Log: log})
		go func() { _ = srv.Serve(ln) }()
		c.Cleanup(func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_ = srv.Shutdown(ctx)
		})
	}
	return m, s, addresses
}

func testAccounts(mix ...RequestSpec) []Account {
	return []Account{{Name: "acme", Key: "k1", Workers: 8, Mix: mix}}
}

// Guards the path from discovery to the upstream and back: every response is complete and
// belongs to its request, and every request runs once.
func TestRunThroughHosts(t *testing.T) {
	c := qt.New(t)
	m, s, hosts := startHosts(c, 3, fastModel)
	r, err := Run(context.Background(), Options{
		Hosts: []string{"127.0.0.1:1", hosts[0]}, Requests: 300, Seed: 7, Retries: 1,
		Accounts: testAccounts(
			RequestSpec{Pool: "m", Kind: config.KindModel, Stream: true, PromptBytes: 100},
			RequestSpec{Pool: "m", Kind: config.KindModel, MaxTokens: 3},
			RequestSpec{Pool: "s", Kind: config.KindService, Method: "POST", Path: "/orders", BodyBytes: 9, Keyed: true}),
	})
	c.Assert(err, qt.IsNil)
	c.Assert(r.Total.Answered, qt.Equals, 300, qt.Commentf("%v", r.Total.Failures))
	c.Assert(r.Accounts["acme"].Tokens > 0, qt.IsTrue)
	c.Assert(r.Total.Discoveries, qt.Equals, 1)
	ran := 0
	for _, e := range []*emulator.Emulator{m, s} {
		d := e.Debug()
		ran += d.Runs
		for id, n := range d.Requests {
			c.Assert(n, qt.Equals, 1, qt.Commentf("%s", id))
		}
	}
	c.Assert(ran, qt.Equals, 300)
	c.Assert(s.Debug().Keys, qt.HasLen, s.Debug().Runs)
}

// Guards against upstream work that continues after the caller has disconnected.
func TestCallerDisconnectEndsUpstreamRun(t *testing.T) {
	for _, stream := range []bool{false, true} {
		c := qt.New(t)
		m, _, hosts := startHosts(c, 1, emulator.Options{TokensPerResponse: 1000, TokensPerSecond: 1})
		ctx, cancel := context.WithCancel(context.Background())
		opts := Options{Hosts: hosts, Requests: 1, Accounts: testAccounts(RequestSpec{Pool: "m", Kind: config.KindModel, Stream: stream})}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = Run(ctx, opts)
		}()
		waitUntil(func() bool { return m.Debug().MaxRunning == 1 })
		cancel()
		<-done
		waitUntil(func() bool { return m.Debug().Cancelled == 1 })
		c.Assert(m.Debug().Ended, qt.Equals, 0)
	}
}

// waitUntil polls for a state of an emulator, which has no notification.
func waitUntil(ok func() bool) {
	for !ok() {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a generator that accepts cut, foreign or untyped responses as good.
func TestFaultyResponsesAreDetected(t *testing.T) {
	const good = `{"id":"x","user":"USER","choices":[{"message":{"content":"x/0 x/1 "}}],"usage":{"completion_tokens":2}}`
	event := func(n string) string {
		return `data: {"id":"x","user":"USER","choices":[{"delta":{"content":"x/` + n + ` "}}]}` + "\n\n"
	}
	const end = `data: {"id":"x","user":"USER","choices":[],"usage":{"completion_tokens":2}}` + "\n\ndata: [DONE]\n\n"
	for _, tc := range []struct {
		name, kind, body string
		status           int
		code             fault.Code
	}{
		{"good", "application/json", good, 200, ""},
		{"missing token", "application/json", strings.Replace(good, "x/1 ", "", 1), 200, CodeIncomplete},
		{"no usage", "application/json", strings.Replace(good, "usage", "other", 1), 200, CodeIncomplete},
		{"foreign", "application/json", strings.Replace(good, "USER", "other", 1), 200, CodeForeign},
		{"untyped", "text/plain", "busy", 503, CodeUntyped},
		{"typed", "application/json", `{"error":{"code":"queue_full","run_state":"not_run"}}`, 429, fault.QueueFull},
		{"good stream", "text/event-stream", event("0") + event("1") + end, 200, ""},
		{"repeated event", "text/event-stream", event("0") + event("0") + end, 200, CodeIncomplete},
		{"lost event", "text/event-stream", event("1") + end, 200, CodeIncomplete},
		{"no done", "text/event-stream", event("0") + event("1"), 200, CodeIncomplete},
		{"typed cut", "text/event-stream", event("0") + "event: error\ndata: {\"error\":{\"code\":\"stream_cut\",\"run_state\":\"may_have_run\"}}\n\n", 200, fault.StreamCut},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			q := &request{user: "USER", spec: RequestSpec{Stream: tc.kind == "text/event-stream"}}
			resp := &http.Response{StatusCode: tc.status, Header: http.Header{"Content-Type": {tc.kind}}}
			var r Result
			q.check(strings.NewReader(tc.body), resp, &r)
			c.Assert(r.Code, qt.Equals, tc.code)
		})
	}
}

// Guards the bounds of a run: it sends no more requests than allowed, and a run without a
// bound or a reachable host fails.
func TestRunBoundsAndOptions(t *testing.T) {
	c := qt.New(t)
	_, _, hosts := startHosts(c, 1, fastModel)
	var mu sync.Mutex
	n := 0
	opts := Options{Hosts: hosts, Requests: 5, Duration: time.Hour, Accounts: testAccounts(RequestSpec{Pool: "m", Kind: config.KindModel})}
	opts.OnResult = func(string, Result) { mu.Lock(); n++; mu.Unlock() }
	r, err := Run(context.Background(), opts)
	c.Assert(err, qt.IsNil)
	c.Assert([]int{n, r.Total.Requests}, qt.DeepEquals, []int{5, 5})
	opts.Requests, opts.Duration = 0, 0
	_, err = Run(context.Background(), opts)
	c.Assert(fault.CodeOf(err), qt.Equals, fault.InvalidSettings)
	opts.Requests, opts.Hosts = 1, []string{"127.0.0.1:1"}
	_, err = Run(context.Background(), opts)
	c.Assert(fault.CodeOf(err), qt.Equals, fault.PeerUnreachable)
}

// BenchmarkAddedLatency compares a call through a host with a direct call.
func BenchmarkAddedLatency(b *testing.B) {
	c := qt.New(b)
	_, _, hosts := startHosts(c, 1, fastModel)
	rng := rand.New(rand.NewSource(1))
	_, upstream := startEmulator(c, emulator.Options{Kind: config.KindService, Slots: 64})
	opts := &Options{Hosts: hosts, Timeout: time.Minute, Now: time.Now}
	cl := newClient(opts, Account{Name: "acme", Key: "k1", Workers: 1}, time.Now())
	q := &request{spec: RequestSpec{Pool: "s", Kind: config.KindService}, method: "POST", path: "/orders/1"}
	b.Run("host", func(b *testing.B) {
		for b.Loop() {
			q.key = newIdempotencyKey(rng, time.Now())
			if r := cl.attempt(context.Background(), q, hosts[0]); r.Code != "" {
				b.Fatal(r)
			}
		}
	})
	b.Run("direct", func(b *testing.B) {
		for b.Loop() {
			q.spec.Kind, q.key = "", ""
			req, err := q.httpRequest(context.Background(), upstream, "")
			if err != nil {
				b.Fatal(err)
			}
			resp, err := cl.http.Do(req)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	})
}
