package emulator

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/freeport"
)

type harness struct {
	*qt.C
	emulator *Emulator
	baseURL  string
	client   *http.Client
}

func startEmulator(t *testing.T, opts Options) *harness {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	return serveEmulator(c, opts, ln)
}

func serveEmulator(c *qt.C, opts Options, ln net.Listener) *harness {
	e := New(opts)
	done := make(chan error, 1)
	go func() { done <- e.Serve(ln) }()
	h := &harness{c, e, "http://" + ln.Addr().String(), &http.Client{Transport: &http.Transport{}}}
	c.Cleanup(func() {
		_ = e.Close()
		c.Check(<-done, qt.IsNil)
	})
	return h
}

func (h *harness) post(path, id, body string) (*http.Response, string, error) {
	req, err := http.NewRequest("POST", h.baseURL+path, strings.NewReader(body))
	h.Assert(err, qt.IsNil)
	req.GetBody = nil
	req.Header.Set("X-Request-Id", id)
	r, err := h.client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	return r, string(text), err
}

func (h *harness) get(path string, v any) {
	r, err := h.client.Get(h.baseURL + path)
	h.Assert(err, qt.IsNil)
	defer r.Body.Close()
	h.Assert(json.NewDecoder(r.Body).Decode(v), qt.IsNil)
}

const chatPath = "/v1/chat/completions"

// Guards the crash trigger that tests of the quarantine use: the connection breaks,
// connections are refused for a while, and the upstream returns as a new instance.
func TestCrashRefusesAndReturnsAsNewInstance(t *testing.T) {
	c := qt.New(t)
	port, err := freeport.Reserve("127.0.0.1", 0)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(port.Close(), qt.IsNil) })
	ln, err := net.Listen("tcp", port.Address())
	c.Assert(err, qt.IsNil)
	const downtime = time.Hour
	h := serveEmulator(c, Options{CrashDowntime: downtime}, ln)
	before := h.emulator.Instance()
	_, _, err = h.post(chatPath, "r1", `{"user":"`+CrashTrigger+`"}`)
	h.Assert(err, qt.IsNotNil)
	_, _, err = h.post(chatPath, "r2", `{}`)
	h.Assert(errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue, qt.Commentf("%v", err))
	h.emulator.mu.Lock()
	h.Check(time.Until(h.emulator.refuseConnsUntil) <= downtime, qt.IsTrue)
	h.emulator.refuseConnsUntil = time.Now() // as after the downtime
	h.emulator.mu.Unlock()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		r, _, err := h.post(chatPath, "r2", `{}`)
		if err == nil {
			h.Assert(r.Header.Get("X-Instance-Id"), qt.Equals, h.emulator.Instance())
			break
		}
		h.Assert(errors.Is(err, syscall.ECONNREFUSED) && time.Now().Before(end), qt.IsTrue, qt.Commentf("%v", err))
	}
	h.Assert(h.emulator.Instance() != before, qt.IsTrue)
	d := h.emulator.Debug()
	h.Assert(d.Crashes, qt.Equals, 1)
	h.Assert(d.Requests, qt.DeepEquals, map[string]int{"r1": 1, "r2": 1})
}

// Guards the prompt part that tests of the quarantine use: it crashes the upstream unless it is the
// last one of its prompt.
func TestCrashPartCrashesUnlessItIsTheLast(t *testing.T) {
	h := startEmulator(t, Options{CrashPart: "bad", RateLimit: 2.5})
	for _, test := range []struct {
		parts   string
		crashes int
	}{{"", 0}, {"a1:5,bad:5", 0}, {"bad", 0}, {"a1:5,bad:5,c3:5", 1}} {
		r, err := http.NewRequest("POST", h.baseURL+"/orders/1", nil)
		h.Assert(err, qt.IsNil)
		r.Header.Set("X-Prompt-Parts", test.parts)
		resp, err := h.client.Do(r)
		h.Check(err != nil, qt.Equals, test.crashes > 0, qt.Commentf("%q: %v", test.parts, err))
		if err == nil {
			h.Check(resp.Header.Get("X-Rate-Limit"), qt.Equals, "2.5")
			resp.Body.Close()
		}
		h.Check(h.emulator.Debug().Crashes, qt.Equals, test.crashes, qt.Commentf("%q", test.parts))
	}
}

// Guards the detection of cold overload: the limit holds, one more request makes the
// upstream fail, and successes raise the limit.
func TestColdOverloadIsCounted(t *testing.T) {
	h := startEmulator(t, Options{Slots: 4, ColdCapacity: 1, WarmAfter: 1, TokensPerResponse: 1})
	for range 3 {
		_, _, err := h.post(chatPath, "", `{}`)
		h.Assert(err, qt.IsNil)
	}
	h.Assert(h.emulator.Debug().ColdOverloads, qt.Equals, 0)
	h.emulator.mu.Lock()
	h.Assert(h.emulator.capacityLocked(), qt.Equals, unlimited)
	h.emulator.mu.Unlock()

	h = startEmulator(t, Options{Slots: 4, ColdCapacity: 1, TokensPerResponse: 1, TokensPerSecond: 0.01})
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			_, _, err := h.post(chatPath, "", `{}`)
			h.Check(err, qt.IsNotNil)
		})
	}
	wg.Wait()
	d := h.emulator.Debug()
	h.Assert(d.ColdOverloads, qt.Equals, 1)
	h.Assert(d.MaxRunning <= 1, qt.IsTrue)
	h.Assert(strings.HasPrefix(d.Instance, "upstream-2-"), qt.IsTrue)
}

// Guards against counting an overload as ColdOverloads if the work was sent before the cold
// start was visible to the fleet.
func TestOverloadOfHiddenColdStartIsCountedSeparately(t *testing.T) {
	h := startEmulator(t, Options{Slots: 4, ColdCapacity: 1, WarmAfter: 1, TokensPerResponse: 1, TokensPerSecond: 0.01})
	h.emulator.successes = 9
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { _, _, _ = h.post(chatPath, "", `{}`) })
	}
	for h.emulator.Debug().MaxRunning < 2 {
		time.Sleep(time.Millisecond)
	}
	h.emulator.TurnCold()
	_, _, err := h.post(chatPath, "", `{}`)
	h.Assert(err, qt.IsNotNil)
	wg.Wait()
	d := h.emulator.Debug()
	h.Assert([]int{d.ColdOverloads, d.HiddenOverloads, d.TurnedCold}, qt.DeepEquals, []int{0, 1, 1})
}

// Guards the counters that detect repeated runs; refusals must not count as runs.
func TestRunsAreCounted(t *testing.T) {
	h := startEmulator(t, Options{Kind: config.KindService})
	for range 2 {
		_, text, err := h.post("/orders/1?x=y", "r1", "abc")
		h.Assert(err, qt.IsNil)
		h.Assert(text, qt.Contains, `"path":"/orders/1","query":"x=y","bytes":3`)
	}
	h.emulator.RefuseRequests(time.Hour)
	r, _, err := h.post("/orders/1", "r1", "")
	h.Assert(err, qt.IsNil)
	h.Assert(r.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	h.Assert(r.Header.Get("X-Not-Run"), qt.Equals, "true")
	var d Debug
	h.get("/debug/runs", &d)
	h.Assert(d.Requests, qt.DeepEquals, map[string]int{"r1": 2})
}

// Guards the lag of load reports and the gaps in cache events.
func TestLoadReportsLagAndCacheEventsHaveGaps(t *testing.T) {
	h := startEmulator(t, Options{ReportLag: time.Hour, EventLossRate: 0.5, Seed: 1, TokensPerResponse: 1})
	h.emulator.mu.Lock()
	for _, d := range strings.Fields("a b c d e f g h") {
		h.emulator.cache.use(d, h.emulator)
	}
	h.emulator.running = 3
	h.emulator.sampleLocked()
	h.emulator.mu.Unlock()
	var s sample
	h.get("/load", &s)
	h.Assert(s.Running, qt.Equals, 0)
	var ev struct{ Events []cacheEvent }
	h.get("/cache/events?since=1", &ev)
	h.Assert(len(ev.Events) > 0 && len(ev.Events) < 7, qt.IsTrue, qt.Commentf("%v", ev))
	h.Assert(ev.Events[0].Seq > 1, qt.IsTrue)
}

// recordingListener records when it is first closed and its connections are first written to
// and closed.
type recordingListener struct {
	net.Listener
	mu     sync.Mutex
	events []string
}

func (l *recordingListener) record(event string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(l.events, event) {
		l.events = append(l.events, event)
	}
}

func (l *recordingListener) Close() error {
	l.record("listener closed")
	return l.Listener.Close()
}

func (l *recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return recordedConn{c, l}, err
}

type recordedConn struct {
	net.Conn
	listener *recordingListener
}

func (c recordedConn) Write(b []byte) (int, error) {
	c.listener.record("response written")
	return c.Conn.Write(b)
}

func (c recordedConn) Close() error {
	c.listener.record("connection closed")
	return c.Conn.Close()
}

// Guards against a crash that is visible to callers while connections are still accepted.
func TestListenerIsClosedBeforeCrashIsVisible(t *testing.T) {
	for _, test := range []struct{ path, body, visibleAs string }{
		{chatPath, `{"user":"` + CrashTrigger + `"}`, "connection closed"},
		{"/debug/refuse?for_ms=50", "", "response written"},
	} {
		c := qt.New(t)
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		ln := &recordingListener{Listener: tcp}
		h := serveEmulator(c, Options{}, ln)
		_, _, err = h.post(test.path, "r1", test.body)
		c.Check(err != nil, qt.Equals, test.visibleAs == "connection closed")
		ln.mu.Lock()
		c.Check(ln.events[:2], qt.DeepEquals, []string{"listener closed", test.visibleAs})
		ln.mu.Unlock()
	}
}

// lateListener accepts one connection when it is closed, and none before.
type lateListener struct {
	net.Listener
	accepted chan net.Conn
	closed   sync.Once
}

func (l *lateListener) Close() error {
	l.closed.Do(func() {
		_, near := net.Pipe()
		l.accepted <- near
		close(l.accepted)
	})
	return l.Listener.Close()
}

func (l *lateListener) Accept() (net.Conn, error) {
	if c, ok := <-l.accepted; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

// Guards against a Close that never returns because a connection is accepted meanwhile.
func TestCloseWhileConnectionIsAccepted(t *testing.T) {
	c := qt.New(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ln := &lateListener{Listener: tcp, accepted: make(chan net.Conn, 1)}
	e := New(Options{})
	served, closed := make(chan error, 1), make(chan error, 1)
	go func() { served <- e.Serve(ln) }()
	for listening := false; !listening; {
		e.mu.Lock()
		listening = e.srv != nil
		e.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	go func() { closed <- e.Close() }()
	select {
	case err = <-closed:
		c.Assert(err, qt.IsNil)
		c.Assert(<-served, qt.IsNil)
	case <-time.After(10 * time.Second):
		t.Fatal("Close waits for the goroutine that accepts connections, which waits for Close")
	}
}
