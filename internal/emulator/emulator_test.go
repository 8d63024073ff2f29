package emulator

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/config"
)

type bench struct {
	*qt.C
	e    *Emulator
	base string
	http *http.Client
}

func start(t *testing.T, o Options) *bench {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	e := New(o)
	done := make(chan error, 1)
	go func() { done <- e.Serve(ln) }()
	b := &bench{c, e, "http://" + ln.Addr().String(), &http.Client{Transport: &http.Transport{}}}
	c.Cleanup(func() {
		_ = e.Close()
		c.Check(<-done, qt.IsNil)
	})
	return b
}

func (b *bench) post(path, id, body string) (*http.Response, string, error) {
	req, err := http.NewRequest("POST", b.base+path, strings.NewReader(body))
	b.Assert(err, qt.IsNil)
	req.GetBody = nil
	req.Header.Set("X-Request-Id", id)
	r, err := b.http.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	return r, string(text), err
}

func (b *bench) get(path string, v any) {
	r, err := b.http.Get(b.base + path)
	b.Assert(err, qt.IsNil)
	defer r.Body.Close()
	b.Assert(json.NewDecoder(r.Body).Decode(v), qt.IsNil)
}

const chat = "/v1/chat/completions"

// Guards the crash trigger that the quarantine is tested with: the connection breaks,
// connections are refused for a while, and the upstream returns as a new instance.
func TestCrashRefusesAndReturnsAsNewInstance(t *testing.T) {
	b := start(t, Options{CrashDown: 50 * time.Millisecond})
	before := b.e.Instance()
	_, _, err := b.post(chat, "r1", `{"user":"`+CrashTrigger+`"}`)
	b.Assert(err, qt.IsNotNil)
	refused := 0
	for {
		r, _, err := b.post(chat, "r2", `{}`)
		if err == nil {
			b.Assert(r.Header.Get("X-Instance-Id"), qt.Equals, b.e.Instance())
			break
		}
		refused++
		time.Sleep(time.Millisecond)
	}
	b.Assert(refused > 0, qt.IsTrue)
	b.Assert(b.e.Instance() != before, qt.IsTrue)
	d := b.e.Debug()
	b.Assert(d.Crashes, qt.Equals, 1)
	b.Assert(d.Requests, qt.DeepEquals, map[string]int{"r1": 1, "r2": 1})
}

// Guards the detector of cold overload: the limit holds, one more request makes the
// upstream fall over, and successes raise the limit.
func TestColdOverloadIsCounted(t *testing.T) {
	b := start(t, Options{Slots: 4, ColdCapacity: 1, WarmAfter: 1, TokensPerAnswer: 1})
	for range 3 {
		_, _, err := b.post(chat, "", `{}`)
		b.Assert(err, qt.IsNil)
	}
	b.Assert(b.e.Debug().ColdOverloads, qt.Equals, 0)
	b.e.mu.Lock()
	b.Assert(b.e.capacityLocked(), qt.Equals, unlimited)
	b.e.mu.Unlock()

	b = start(t, Options{Slots: 4, ColdCapacity: 1, TokensPerAnswer: 1, TokensPerSecond: 0.01})
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			_, _, err := b.post(chat, "", `{}`)
			b.Check(err, qt.IsNotNil)
		})
	}
	wg.Wait()
	d := b.e.Debug()
	b.Assert(d.ColdOverloads, qt.Equals, 1)
	b.Assert(d.MaxRunning <= 1, qt.IsTrue)
	b.Assert(strings.HasPrefix(d.Instance, "upstream-2-"), qt.IsTrue)
}

// Guards against blaming the fleet for work sent before a cold start was visible.
func TestHiddenColdStartIsCountedApart(t *testing.T) {
	b := start(t, Options{Slots: 4, ColdCapacity: 1, WarmAfter: 1, TokensPerAnswer: 1, TokensPerSecond: 0.01})
	b.e.success = 9
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { _, _, _ = b.post(chat, "", `{}`) })
	}
	for b.e.Debug().MaxRunning < 2 {
		time.Sleep(time.Millisecond)
	}
	b.e.TurnCold()
	_, _, err := b.post(chat, "", `{}`)
	b.Assert(err, qt.IsNotNil)
	wg.Wait()
	d := b.e.Debug()
	b.Assert([]int{d.ColdOverloads, d.HiddenOverloads, d.TurnedCold}, qt.DeepEquals, []int{0, 1, 1})
}

// Guards the counters that detect double runs, and refusals that are not runs.
func TestRunsAreCounted(t *testing.T) {
	b := start(t, Options{Kind: config.KindService})
	for range 2 {
		_, text, err := b.post("/orders/1?x=y", "r1", "abc")
		b.Assert(err, qt.IsNil)
		b.Assert(text, qt.Contains, `"path":"/orders/1","query":"x=y","bytes":3`)
	}
	b.e.RefuseRequests(time.Hour)
	r, _, err := b.post("/orders/1", "r1", "")
	b.Assert(err, qt.IsNil)
	b.Assert(r.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	b.Assert(r.Header.Get("X-Not-Run"), qt.Equals, "true")
	var d Debug
	b.get("/debug/runs", &d)
	b.Assert(d.Requests, qt.DeepEquals, map[string]int{"r1": 2})
}

// Guards lagging reports and gaps in cache events.
func TestReportsLagAndEventsHaveGaps(t *testing.T) {
	b := start(t, Options{ReportLag: time.Hour, EventGap: 0.5, Seed: 1, TokensPerAnswer: 1})
	b.e.mu.Lock()
	for _, d := range strings.Fields("a b c d e f g h") {
		b.e.cache.use(d, b.e)
	}
	b.e.running = 3
	b.e.sampleLocked()
	b.e.mu.Unlock()
	var s sample
	b.get("/load", &s)
	b.Assert(s.Running, qt.Equals, 0)
	var ev struct{ Events []event }
	b.get("/cache/events?since=1", &ev)
	b.Assert(len(ev.Events) > 0 && len(ev.Events) < 7, qt.IsTrue, qt.Commentf("%v", ev))
	b.Assert(ev.Events[0].Seq > 1, qt.IsTrue)
}
