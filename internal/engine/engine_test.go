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

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/emulator"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// sink records an answer.
type sink struct {
	status  int
	header  [][2]string
	body    strings.Builder
	writes  int
	onWrite func() error
}

func (s *sink) Begin(status int, _ string, h [][2]string) error {
	s.status, s.header = status, h
	return nil
}

func (s *sink) Write(p []byte) error {
	s.writes++
	s.body.Write(p)
	if s.onWrite != nil {
		return s.onWrite()
	}
	return nil
}

// script answers each request on each connection with the next of the given texts and
// then closes the connection where the text ends with closeMark. It counts requests.
const closeMark = "<close>"

type scripted struct {
	address  string
	requests atomic.Int64
	gone     chan struct{}
}

func script(t testing.TB, answers ...string) *scripted {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { ln.Close() })
	s := &scripted{address: ln.Addr().String(), gone: make(chan struct{}, 16)}
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
						s.gone <- struct{}{}
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					s.requests.Add(1)
					a := answers[min(int(next.Add(1))-1, len(answers)-1)]
					text, closes := strings.CutSuffix(a, closeMark)
					if _, err := io.WriteString(nc, text); err != nil || closes {
						return
					}
				}
			}()
		}
	}()
	return s
}

func chat(address string, stream bool) *Request {
	return &Request{
		Pool: config.Pool{Name: "m", Kind: config.KindModel}, Upstream: "u", Address: address, Method: "POST",
		Path: "/v1/chat/completions", ContentType: "application/json", Body: []byte(`{"model":"m","stream":true}`), ID: "r1", Stream: stream,
	}
}

const okJSON = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Instance-Id: i1\r\nX-Queue-Length: 3\r\nContent-Length: 52\r\n\r\n" +
	`{"usage":{"prompt_tokens":16,"completion_tokens":7}}`
const okStream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// Guards the classification of every way in which an upstream can end an attempt: a
// truncated answer must never count as whole, and "not run" must be true.
func TestOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name, answer string
		stream       bool
		outcome      wire.Outcome
		code         fault.Code
		run          fault.RunState
		delivered    int
		began        bool
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
			u := script(t, tc.answer)
			cl := New(Options{MaxAnswerBytes: 1000, MaxEventBytes: 4096})
			defer cl.Close()
			var s sink
			res := cl.Do(context.Background(), chat(u.address, tc.stream), &s)
			c.Assert(res.Outcome, qt.Equals, tc.outcome, qt.Commentf("%v", res.Err))
			c.Assert(res.Began, qt.Equals, tc.began)
			c.Assert(res.Delivered, qt.Equals, tc.delivered)
			if tc.code == "" {
				c.Assert(res.Err == nil, qt.IsTrue)
			} else {
				c.Assert(res.Err.Code, qt.Equals, tc.code)
				c.Assert(res.Err.Run, qt.Equals, tc.run)
			}
			c.Assert(u.requests.Load(), qt.Equals, int64(1))
		})
	}
}

// Guards the cost, instance and queue that the scheduler accounts with.
func TestResultCarriesUsageAndHeaders(t *testing.T) {
	c := qt.New(t)
	u := script(t, okJSON)
	cl := New(Options{})
	defer cl.Close()
	var s sink
	res := cl.Do(context.Background(), chat(u.address, false), &s)
	c.Assert(res.Cost, qt.Equals, 16.0/8+7)
	c.Assert(res.Instance, qt.Equals, "i1")
	c.Assert(res.Queued, qt.Equals, 3)
	c.Assert(s.header, qt.DeepEquals, [][2]string{{"Content-Length", "52"}})
}

// Guards against an upstream that does not see the caller's headers, or a prompt prefix
// that its cache events cannot name.
func TestRequestHeaders(t *testing.T) {
	c := qt.New(t)
	got := make(chan http.Header, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got <- r.Header }))
	defer srv.Close()
	cl := New(Options{})
	defer cl.Close()
	r := chat(srv.Listener.Addr().String(), false)
	r.Header, r.Prefix = [][2]string{{"If-Match", "v7"}}, wire.Digest{1}
	c.Assert(cl.Do(context.Background(), r, &sink{}).Outcome, qt.Equals, wire.OutcomeDone)
	h := <-got
	c.Assert(h.Get("If-Match"), qt.Equals, "v7")
	c.Assert(h.Get("X-Prefix-Digest"), qt.Equals, "01000000000000000000000000000000")
}

// Guards against silent repetition and against a false "not run": a kept connection
// that the upstream closes on the second request may have run it.
func TestNoSilentRetryOnKeptConnection(t *testing.T) {
	for _, method := range []string{"POST", "GET"} {
		c := qt.New(t)
		u := script(t, okJSON, closeMark, okJSON)
		cl := New(Options{})
		defer cl.Close()
		r := chat(u.address, false)
		r.Method = method
		c.Assert(cl.Do(context.Background(), r, &sink{}).Outcome, qt.Equals, wire.OutcomeDone)
		res := cl.Do(context.Background(), r, &sink{})
		c.Assert(res.Outcome, qt.Equals, wire.OutcomeBroken)
		c.Assert(res.Err.Run, qt.Equals, fault.MayHaveRun)
		c.Assert(u.requests.Load(), qt.Equals, int64(2))
	}
}

// Guards against reporting a request as possibly run when no connection existed.
func TestRefusedConnectIsUnreachable(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ln.Close()
	cl := New(Options{})
	res := cl.Do(context.Background(), chat(ln.Addr().String(), false), &sink{})
	c.Assert(res.Outcome, qt.Equals, wire.OutcomeUnreachable)
	c.Assert(res.Err.Run, qt.Equals, fault.NotRun)
	c.Assert(res.Cost, qt.Equals, 0.0)
}

// Guards I9 and the caller's disconnect: cancelling must close the upstream connection,
// both before the answer and inside a stream.
func TestCancelClosesUpstreamConnection(t *testing.T) {
	for _, answer := range []string{"", okStream + "a\r\ndata: {}\n\n\r\n"} {
		c := qt.New(t)
		u := script(t, answer)
		cl := New(Options{})
		defer cl.Close()
		ctx, cancel := context.WithCancel(context.Background())
		s := &sink{onWrite: func() error { cancel(); return nil }}
		if answer == "" {
			go func() {
				for u.requests.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				cancel()
			}()
		}
		res := cl.Do(ctx, chat(u.address, true), s)
		c.Assert(res.Outcome, qt.Equals, wire.OutcomeCancelled)
		c.Assert(res.Err.Code, qt.Equals, fault.CallerGone)
		<-u.gone
	}
}

// Guards against a run that goes on after the sink reported that its caller left.
func TestSinkErrorCancels(t *testing.T) {
	c := qt.New(t)
	u := script(t, okStream+"a\r\ndata: {}\n\n\r\n")
	cl := New(Options{})
	defer cl.Close()
	res := cl.Do(context.Background(), chat(u.address, true), &sink{onWrite: func() error { return errors.New("gone") }})
	c.Assert(res.Outcome, qt.Equals, wire.OutcomeCancelled)
	<-u.gone
}

// Guards the idle timeout: a silent upstream must not hold a slot for ever.
func TestIdleTimeout(t *testing.T) {
	c := qt.New(t)
	u := script(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
	cl := New(Options{IdleTimeout: 20 * time.Millisecond})
	defer cl.Close()
	res := cl.Do(context.Background(), chat(u.address, false), &sink{})
	c.Assert(res.Outcome, qt.Equals, wire.OutcomeBroken)
	<-u.gone
}

// Guards against connections that stay open to upstreams without calls.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	cl := New(Options{Now: func() time.Time { return now }})
	defer cl.Close()
	old, other := script(t, okJSON), script(t, okJSON)
	c.Assert(cl.Do(context.Background(), chat(old.address, false), &sink{}).Outcome, qt.Equals, wire.OutcomeDone)
	now = now.Add(defaultKeepIdle)
	c.Assert(cl.Do(context.Background(), chat(other.address, false), &sink{}).Outcome, qt.Equals, wire.OutcomeDone)
	<-old.gone
}

func emulate(t testing.TB, o emulator.Options) (*emulator.Emulator, string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	e := emulator.New(o)
	go func() { _ = e.Serve(ln) }()
	t.Cleanup(func() { _ = e.Close() })
	return e, ln.Addr().String()
}

// Guards the resume offset: the two parts of a cut stream must join without a lost or
// repeated event, and an engine that ignores the offset must not deliver events twice.
func TestResume(t *testing.T) {
	for _, resumes := range []bool{true, false} {
		c := qt.New(t)
		e, address := emulate(t, emulator.Options{Resume: resumes, TokensPerAnswer: 10})
		cl := New(Options{})
		r := chat(address, true)
		r.Body = []byte(`{"model":"m","stream":true,"user":"` + emulator.CutTrigger + `"}`)
		var s sink
		res := cl.Do(context.Background(), r, &s)
		c.Assert(res.Outcome, qt.Equals, wire.OutcomeBroken)
		c.Assert(res.Delivered, qt.Equals, 5)
		r.Offset = res.Delivered
		res = cl.Do(context.Background(), r, &s)
		if !resumes {
			c.Assert(res.Outcome, qt.Equals, wire.OutcomeBroken)
			c.Assert(res.Delivered, qt.Equals, 0)
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

// Guards the side calls: load, cache events and the fence of orders.
func TestSideCalls(t *testing.T) {
	c := qt.New(t)
	e, address := emulate(t, emulator.Options{ChecksFence: true})
	cl := New(Options{})
	defer cl.Close()
	ctx := context.Background()
	l, err := cl.Load(ctx, address)
	c.Assert(err, qt.IsNil)
	c.Assert(l, qt.Equals, Load{Instance: e.Instance()})
	r := chat(address, false)
	r.Prefix = wire.Digest{1}
	c.Assert(cl.Do(ctx, r, &sink{}).Outcome, qt.Equals, wire.OutcomeDone)
	b, err := cl.CacheEvents(ctx, address, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(b.Events, qt.DeepEquals, []CacheEvent{{Seq: 1, Added: []string{"01" + strings.Repeat("00", 15)}, Removed: []string{}}})
	c.Assert(cl.Order(ctx, address, Order{Fence: 7, Kind: "load", Model: "m"}), qt.IsNil)
	err = cl.Order(ctx, address, Order{Fence: 6, Kind: "load", Model: "m"})
	c.Assert(fault.CodeOf(err), qt.Equals, fault.StaleFence)
	c.Assert(e.Debug().Orders, qt.HasLen, 1)
}

// Guards against a reachable upstream without load reports that counts as unreachable, and
// against one that refuses work or does not answer and counts as reachable.
func TestLoadWithoutReport(t *testing.T) {
	answer := func(status, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	for _, tc := range []struct {
		answer string
		want   Load
		fails  bool
	}{
		{answer("200 OK", `{"instance":"i","running":2,"queued":1}`), Load{"i", 2, 1}, false},
		{answer("404 Not Found", "no such page"), noReport, false},
		{answer("500 Internal Server Error", ""), noReport, false},
		{answer("200 OK", "hello"), noReport, false},
		{answer("200 OK", `{"running":-3}`), noReport, false},
		{answer("503 Service Unavailable", ""), Load{}, true},
		{closeMark, Load{}, true},
		{"HTTP/1.1 404 Not Found\r\nContent-Length: 9\r\n\r\ncut" + closeMark, Load{}, true},
	} {
		cl := New(Options{})
		l, err := cl.Load(context.Background(), script(t, tc.answer).address)
		qt.Check(t, l, qt.Equals, tc.want, qt.Commentf("%q", tc.answer))
		qt.Check(t, err != nil, qt.Equals, tc.fails, qt.Commentf("%q: %v", tc.answer, err))
		cl.Close()
	}
}

// BenchmarkDo measures the cost of one attempt on a kept connection.
func BenchmarkDo(b *testing.B) {
	u := script(b, okJSON)
	cl := New(Options{})
	defer cl.Close()
	r := chat(u.address, false)
	b.ReportAllocs()
	for b.Loop() {
		if res := cl.Do(context.Background(), r, &sink{}); res.Err != nil {
			b.Fatal(res.Err)
		}
	}
}
