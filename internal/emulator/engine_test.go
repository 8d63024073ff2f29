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

// postStream sends a generation request and returns the response without reading its body.
func (h *harness) postStream(id, parts, usage string) *http.Response {
	return h.resumeStream(id, parts, usage, "")
}

// resumeStream is postStream after the event lastEvent, unless that is empty.
func (h *harness) resumeStream(id, parts, usage, lastEvent string) *http.Response {
	req, err := http.NewRequest("POST", h.baseURL+"/events/x", strings.NewReader("body"))
	h.Assert(err, qt.IsNil)
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Prompt-Parts", parts)
	req.Header.Set("X-Token-Usage", usage)
	if lastEvent != "" {
		req.Header.Set("Last-Event-Id", lastEvent)
	}
	r, err := h.client.Do(req)
	h.Assert(err, qt.IsNil)
	h.Cleanup(func() { _ = r.Body.Close() })
	return r
}

func fastEngine() *enginemodel.Options {
	opts := enginemodel.TypicalOptions()
	opts.Step, opts.StepPerRequest, opts.PromptTokensPerMs, opts.ReportLag = 100*time.Microsecond, 0, 1_000, 0
	return &opts
}

// Guards against a simulated engine whose streams lack events or never end.
func TestEngineStreamIsComplete(t *testing.T) {
	h := startEmulator(t, Options{Engine: fastEngine(), Seed: 1})
	r := h.postStream("a", "1:6000,2:50", "6050,30")
	text, err := io.ReadAll(r.Body)
	h.Assert(err, qt.IsNil)
	h.Assert(strings.Count(string(text), "id: "), qt.Equals, 5)
	h.Assert(strings.HasPrefix(string(text), "id: 1\ndata: "+Token("a", 1)+"\n\n"), qt.IsTrue, qt.Commentf("%s", text))
	_, err = io.ReadAll(h.postStream("b", "1:6000,3:50", "6050,30").Body)
	h.Assert(err, qt.IsNil)
	h.Assert(h.emulator.engine.counts().ReadTokens, qt.Equals, 6_100)
	h.Assert(h.emulator.Debug().Requests, qt.DeepEquals, map[string]int{"a": 1, "b": 1})
	h.Assert(h.postStream("c", "1:x", "1,1").StatusCode, qt.Equals, http.StatusBadRequest)
}

// Guards against a resumed stream with other events than the first one would have had, above all if
// that broke off between its last event and its end.
func TestResumedEngineStreamEndsAtTheSameEvent(t *testing.T) {
	h := startEmulator(t, Options{Engine: fastEngine(), Seed: 1})
	for last, events := range map[string]int{"": 5, "2": 3, "4": 1, "5": 0, "9": 0} {
		r := h.resumeStream("a", "1:6000,2:50", "6050,30", last)
		text, err := io.ReadAll(r.Body)
		h.Assert(err, qt.IsNil)
		h.Check(r.StatusCode, qt.Equals, http.StatusOK)
		h.Check(strings.Count(string(text), "id: "), qt.Equals, events, qt.Commentf("after event %q: %s", last, text))
	}
}

// Guards against a refusal that counts as a run, and against a slot that stays occupied
// after its caller has disconnected.
func TestEngineRefusesWhenFullAndFreesSlots(t *testing.T) {
	opts := fastEngine()
	opts.Slots, opts.QueueLength, opts.Step = 1, 0, 5*time.Millisecond
	h := startEmulator(t, Options{Engine: opts, Seed: 1})
	first := h.postStream("a", "1:10", "10,100000")
	refused := h.postStream("b", "1:10", "10,10")
	h.Assert(refused.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	h.Assert(refused.Header.Get("X-Not-Run"), qt.Equals, "true")
	h.Assert(h.emulator.Debug().Requests["b"], qt.Equals, 0)
	h.Assert(first.Body.Close(), qt.IsNil)
	for {
		if r := h.postStream("c", "1:10", "10,10"); r.StatusCode == http.StatusOK {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against refusals of a simulated engine that count as successes, which warm a cold
// upstream.
func TestEngineRefusalsAreNotSuccesses(t *testing.T) {
	opts := fastEngine()
	opts.Slots, opts.QueueLength, opts.Step = 1, 0, 5*time.Millisecond
	h := startEmulator(t, Options{Engine: opts, ColdCapacity: 4, WarmAfter: 1, Slots: 64, Seed: 1})
	h.postStream("a", "1:10", "10,100000")
	h.Assert(h.postStream("b", "1:10", "10,10").StatusCode, qt.Equals, http.StatusServiceUnavailable)
	h.Assert(h.postStream("c", "1:x", "1,1").StatusCode, qt.Equals, http.StatusBadRequest)
	for h.emulator.Load().Queued > 1 {
		time.Sleep(time.Millisecond)
	}
	h.emulator.mu.Lock()
	defer h.emulator.mu.Unlock()
	h.Check(h.emulator.debug.Refused, qt.Equals, 2)
	h.Check(h.emulator.debug.Ended, qt.Equals, 0)
	h.Check(h.emulator.debug.Cancelled, qt.Equals, 0)
	h.Check(h.emulator.capacityLocked(), qt.Equals, 4)
}

// Guards against a cold simulated engine that does not fail at more than ColdPerSecond
// requests in one second.
func TestColdEngineFailsUnderOverload(t *testing.T) {
	opts := fastEngine()
	opts.ColdTime, opts.ColdPerSecond = time.Hour, 1
	h := startEmulator(t, Options{Engine: opts, Seed: 1})
	old := h.emulator.Instance()
	r := h.postStream("a", "1:10", "10,100000")
	req, err := http.NewRequest("POST", h.baseURL+"/events/x", nil)
	h.Assert(err, qt.IsNil)
	req.Header.Set("X-Prompt-Parts", "1:10")
	req.Header.Set("X-Token-Usage", "10,10")
	_, err = h.client.Do(req)
	h.Assert(err, qt.IsNotNil)
	_, err = io.ReadAll(r.Body)
	h.Assert(err, qt.IsNotNil)
	h.Assert(h.emulator.Instance() == old, qt.IsFalse)
	h.Assert(h.emulator.Debug().ColdOverloads+h.emulator.Debug().HiddenOverloads, qt.Equals, 1)
}
