package emulator

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/enginemodel"
)

// streamed sends a generation and returns the answer without reading its body.
func (b *bench) streamed(id, parts, usage string) *http.Response {
	req, err := http.NewRequest("POST", b.base+"/events/x", strings.NewReader("body"))
	b.Assert(err, qt.IsNil)
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Prompt-Parts", parts)
	req.Header.Set("X-Token-Usage", usage)
	r, err := b.http.Do(req)
	b.Assert(err, qt.IsNil)
	b.Cleanup(func() { _ = r.Body.Close() })
	return r
}

func fastEngine() *enginemodel.Options {
	o := enginemodel.Typical()
	o.Step, o.StepPerRequest, o.ReadPerMs, o.ReportLag = 100*time.Microsecond, 0, 1_000, 0
	return &o
}

// Guards against a modelled engine whose streams lack events or never end.
func TestEngineStreams(t *testing.T) {
	b := start(t, Options{Engine: fastEngine(), Seed: 1})
	r := b.streamed("a", "1:6000,2:50", "6050,30")
	text, err := io.ReadAll(r.Body)
	b.Assert(err, qt.IsNil)
	b.Assert(strings.Count(string(text), "id: "), qt.Equals, 5)
	b.Assert(strings.HasPrefix(string(text), "id: 1\ndata: "+Token("a", 1)+"\n\n"), qt.IsTrue, qt.Commentf("%s", text))
	_, err = io.ReadAll(b.streamed("b", "1:6000,3:50", "6050,30").Body)
	b.Assert(err, qt.IsNil)
	b.Assert(b.e.engine.counts().Read, qt.Equals, 6_100)
	b.Assert(b.e.Debug().Requests, qt.DeepEquals, map[string]int{"a": 1, "b": 1})
	b.Assert(b.streamed("c", "1:x", "1,1").StatusCode, qt.Equals, http.StatusBadRequest)
}

// Guards against a refusal that counts as a run, and against a slot that stays taken after
// its caller has left.
func TestEngineRefusesAndReleases(t *testing.T) {
	o := fastEngine()
	o.Slots, o.QueueLength, o.Step = 1, 0, 5*time.Millisecond
	b := start(t, Options{Engine: o, Seed: 1})
	first := b.streamed("a", "1:10", "10,100000")
	refused := b.streamed("b", "1:10", "10,10")
	b.Assert(refused.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	b.Assert(refused.Header.Get("X-Not-Run"), qt.Equals, "true")
	b.Assert(b.e.Debug().Requests["b"], qt.Equals, 0)
	b.Assert(first.Body.Close(), qt.IsNil)
	for {
		if r := b.streamed("c", "1:10", "10,10"); r.StatusCode == http.StatusOK {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a cold engine that bears any rate.
func TestEngineFallsWhenCold(t *testing.T) {
	o := fastEngine()
	o.ColdFor, o.ColdPerSecond = time.Hour, 1
	b := start(t, Options{Engine: o, Seed: 1})
	old := b.e.Instance()
	r := b.streamed("a", "1:10", "10,100000")
	req, err := http.NewRequest("POST", b.base+"/events/x", nil)
	b.Assert(err, qt.IsNil)
	req.Header.Set("X-Prompt-Parts", "1:10")
	req.Header.Set("X-Token-Usage", "10,10")
	_, err = b.http.Do(req)
	b.Assert(err, qt.IsNotNil)
	_, err = io.ReadAll(r.Body)
	b.Assert(err, qt.IsNotNil)
	b.Assert(b.e.Instance() == old, qt.IsFalse)
	b.Assert(b.e.Debug().ColdOverloads+b.e.Debug().HiddenOverloads, qt.Equals, 1)
}
