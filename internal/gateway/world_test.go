package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/routing"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wire"
)

// receivedRequest is a request as an upstream received it.
type receivedRequest struct {
	*http.Request
	body         string
	conn         net.Conn
	disconnected chan struct{}
}

// upstream is a scripted server on loopback. Each request runs the next script; the last one
// repeats.
type upstream struct {
	ln      net.Listener
	mu      sync.Mutex
	scripts []func(req *receivedRequest)
	got     []*receivedRequest
}

func newUpstream(t testing.TB, scripts ...func(req *receivedRequest)) *upstream {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{ln: ln, scripts: scripts}
	t.Cleanup(func() { ln.Close() })
	go u.acceptAll(ln)
	return u
}

// acceptAll serves the connections of ln until it is closed.
func (u *upstream) acceptAll(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go u.serve(c)
	}
}

// sharedScripts returns two upstreams that take their scripts from one list, because a
// request is not sent to the same upstream twice.
func sharedScripts(t testing.TB, scripts ...func(req *receivedRequest)) (a, b *upstream) {
	next := make(chan func(req *receivedRequest), len(scripts))
	for _, f := range scripts {
		next <- f
	}
	runNext := func(req *receivedRequest) { (<-next)(req) }
	return newUpstream(t, runNext), newUpstream(t, runNext)
}

func (u *upstream) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		req := &receivedRequest{Request: r, body: string(body), conn: c, disconnected: make(chan struct{})}
		u.mu.Lock()
		u.got = append(u.got, req)
		script := u.scripts[min(len(u.got), len(u.scripts))-1]
		u.mu.Unlock()
		script(req)
	}
}

func (u *upstream) requests() []*receivedRequest {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.got
}

// writeRaw writes raw bytes as the response.
func writeRaw(format string, args ...any) func(req *receivedRequest) {
	return func(req *receivedRequest) { fmt.Fprintf(req.conn, format, args...) }
}

// sequence runs scripts one after another.
func sequence(scripts ...func(req *receivedRequest)) func(req *receivedRequest) {
	return func(req *receivedRequest) {
		for _, f := range scripts {
			f(req)
		}
	}
}

func closeConn(req *receivedRequest) { req.conn.Close() }

func resetConn(req *receivedRequest) {
	_ = req.conn.(*net.TCPConn).SetLinger(0)
	req.conn.Close()
}

// streamHead begins a chunked stream; events from eventChunk and streamEnd follow.
const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Proof: p1\r\n\r\n"

func eventChunk(id int) string {
	e := fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
	return fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
}

const streamEnd = "0\r\n\r\n"

func rawResponse(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\nX-Proof: p1\r\n\r\n%s", status, len(body), body)
}

// testHeaderNames is NativeHeaderNames with a proof header, by which forged responses are
// recognised.
func testHeaderNames() HeaderNames {
	names := NativeHeaderNames()
	names.UpstreamProof = "X-Proof"
	names.Dropped = []string{"X-Hold"}
	return names
}

// discardCrashMarks stands in for a control group that records nothing.
type discardCrashMarks struct{}

func (discardCrashMarks) ChangeCrashMarks(context.Context, []wire.CrashMark, []wire.CrashMark) {}

// memoryStreamStore stands in for a control group; hosts that share one are a fleet.
type memoryStreamStore struct {
	mu    sync.Mutex
	state *state.State
	index uint64
}

func newMemoryStreamStore() *memoryStreamStore { return &memoryStreamStore{state: state.New("f")} }

func (m *memoryStreamStore) ChangeStreams(_ context.Context, change *wire.StreamChange) (*wire.StreamAnswer, error) {
	command, err := state.StreamCommand(change).Encode()
	if err != nil {
		return nil, err
	}
	batch, err := state.Batch{Time: time.Now().UnixMilli(), Commands: [][]byte{command}}.Encode()
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index++
	r := m.state.ApplyBatch(m.index, batch)[0]
	return r.Streams, r.Err()
}

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// testGateway is a gateway in front of scripted upstreams.
type testGateway struct {
	*qt.C
	server  *Server
	address string
	view    View
	mu      sync.Mutex
}

func document() *routing.Document {
	to := []routing.WeightedService{{Service: "svc", Weight: 1}}
	return &routing.Document{
		Version: 1,
		Routes: []routing.Route{
			{Name: "read", Host: "h", PathPrefix: "/read/", Kind: routing.Idempotent, Attempts: 2, Timeout: 2 * time.Second, Objective: time.Second, Split: to},
			{Name: "order", Host: "h", PathPrefix: "/order/", Kind: routing.NonIdempotent, Attempts: 2, Timeout: 2 * time.Second, Objective: time.Second, Split: to},
			{Name: "stream", Host: "h", PathPrefix: "/stream/", Kind: routing.Stream, Attempts: 2, Timeout: 2 * time.Second, Objective: time.Second, Split: to},
			{Name: "resume", Host: "h", PathPrefix: "/resume/", Kind: routing.Stream, Resumable: true, Attempts: 2, Timeout: 2 * time.Second, Objective: time.Second, Split: to},
		},
		Services: []routing.Service{{Name: "svc"}},
		Limits:   routing.Limits{BodyBytes: 1 << 20},
	}
}

func newTestGateway(t testing.TB, d *routing.Document, upstreams ...*upstream) *testGateway {
	return newTestGatewayWith(t, d, func(*Options) {}, upstreams...)
}

// newTestGatewayWith lets a test change the options of the gateway.
func newTestGatewayWith(t testing.TB, d *routing.Document, change func(*Options), upstreams ...*upstream) *testGateway {
	c := qt.New(t)
	dispatcher := NewLockedDispatcher(dispatch.New(dispatch.Options{Host: "h1", DataCentre: "dc"}), time.Now)
	dispatcher.SetDocument(d)
	var list []catalog.Instance
	for i, u := range upstreams {
		list = append(list, catalog.Instance{ID: fmt.Sprint("i", i), Service: "svc", Address: u.ln.Addr().String(), DataCentre: "dc", Slots: 4})
	}
	dispatcher.SetInstances(catalog.List{Instances: list})
	gw := &testGateway{C: c, view: View{Table: routing.NewTable(d)}}
	opts := Options{
		View: func() View {
			gw.mu.Lock()
			defer gw.mu.Unlock()
			return gw.view
		},
		HeaderNames: testHeaderNames(), Forwarder: engine.New(engine.Options{}), Dispatcher: dispatcher, MaxAges: MaxAges{Config: time.Second, List: catalog.MaxContactAge}, CrashStore: discardCrashMarks{}, StreamStore: newMemoryStreamStore(),
		MaxHeaderBytes: 8 << 10, ReadHeaderTimeout: time.Second, Log: discardLog(), Registry: metrics.NewRegistry(),
	}
	change(&opts)
	gw.server = New(opts)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	gw.address = ln.Addr().String()
	go func() { _ = gw.server.Serve(ln) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = gw.server.Shutdown(ctx)
	})
	return gw
}

func (gw *testGateway) setView(f func(v *View)) {
	gw.mu.Lock()
	defer gw.mu.Unlock()
	f(&gw.view)
}

// endRequests stops the server once all requests have ended. A caller can have its response
// before the server has given back what the request held.
func (gw *testGateway) endRequests() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	gw.Assert(gw.server.Shutdown(ctx), qt.IsNil)
	gw.Assert(gw.server.Running(), qt.Equals, 0)
}

// sendRaw sends raw bytes and returns everything received until the host closes the
// connection.
func (gw *testGateway) sendRaw(request string) string {
	nc, err := net.Dial("tcp", gw.address)
	gw.Assert(err, qt.IsNil)
	defer nc.Close()
	_, err = io.WriteString(nc, request)
	gw.Assert(err, qt.IsNil)
	_ = nc.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, _ := io.ReadAll(nc) // a reset ends the read too
	return string(response)
}

// do sends one request and returns the response; complete is false if it was truncated.
func (gw *testGateway) do(method, path, body string, header ...string) (resp *http.Response, respBody string, complete bool) {
	nc, err := net.Dial("tcp", gw.address)
	gw.Assert(err, qt.IsNil)
	defer nc.Close()
	h := strings.Join(append(header, ""), "\r\n")
	_, err = fmt.Fprintf(nc, "%s %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n%sContent-Length: %d\r\n\r\n%s", method, path, h, len(body), body)
	gw.Assert(err, qt.IsNil)
	_ = nc.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err = http.ReadResponse(bufio.NewReader(nc), &http.Request{Method: method})
	if err != nil {
		return nil, "", false
	}
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err == nil
}
