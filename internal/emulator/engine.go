package emulator

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"marigoldshunt/internal/enginemodel"
)

// engineDriver runs an engine model in real time.
type engineDriver struct {
	mu    sync.Mutex
	model *enginemodel.Engine
	seq   uint64
	// streams holds the event channel of each request in the model.
	streams map[uint64]chan enginemodel.Event
	// wake signals a new request to run.
	wake chan struct{}
}

func newEngineDriver(ctx context.Context, opts enginemodel.Options) *engineDriver {
	d := &engineDriver{
		model: enginemodel.New(opts, time.Now()), streams: map[uint64]chan enginemodel.Event{}, wake: make(chan struct{}, 1),
	}
	go d.run(ctx)
	return d
}

// run advances the model at the end of each step until ctx ends.
func (d *engineDriver) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-timer.C:
		}
		d.mu.Lock()
		d.deliver(d.model.Advance(time.Now()))
		at, busy := d.model.Next()
		d.mu.Unlock()
		if busy {
			timer.Reset(time.Until(at))
		}
	}
}

// deliver sends events to their streams. It does not block, since a stream's buffer holds
// all events of its request.
func (d *engineDriver) deliver(events []enginemodel.Event) {
	for _, v := range events {
		if s := d.streams[v.ID]; s != nil {
			s <- v
			if v.Kind != enginemodel.Produced {
				delete(d.streams, v.ID)
			}
		}
	}
}

// add passes a request to the model. accepted is false if the engine is full or the request
// is larger than its memory. failed is true if the request makes a cold engine fail.
func (d *engineDriver) add(parts []enginemodel.Part, output int) (id uint64, events <-chan enginemodel.Event, accepted, failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	// One more for the final event.
	stream := make(chan enginemodel.Event, output+1)
	d.streams[d.seq] = stream
	accepted, aborted := d.model.Add(enginemodel.Request{ID: d.seq, Parts: parts, Output: output}, time.Now())
	if !accepted {
		delete(d.streams, d.seq)
	}
	d.deliver(aborted)
	select {
	case d.wake <- struct{}{}:
	default:
	}
	return d.seq, stream, accepted, len(aborted) > 0
}

// remove removes a request whose response has ended. It does nothing if the model has
// already finished the request.
func (d *engineDriver) remove(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.streams, id)
	d.model.Remove(id, time.Now())
}

func (d *engineDriver) turnCold() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.model.TurnCold(time.Now())
}

func (d *engineDriver) report() enginemodel.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.model.Report(time.Now())
}

func (d *engineDriver) counts() enginemodel.Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.model.Counts()
}

// parsePrompt parses the parts of a prompt and the number of output tokens from the headers
// of a request. ok is false if they are missing or malformed.
func parsePrompt(h http.Header) (parts []enginemodel.Part, output int, ok bool) {
	for field := range strings.SplitSeq(h.Get("X-Prompt-Parts"), ",") {
		id, tokens, _ := strings.Cut(strings.TrimSpace(field), ":")
		n, err := strconv.ParseUint(id, 16, 64)
		t, err2 := strconv.Atoi(tokens)
		if err != nil || err2 != nil || t < 0 {
			return nil, 0, false
		}
		parts = append(parts, enginemodel.Part{ID: n, Tokens: t})
	}
	_, out, _ := strings.Cut(h.Get("X-Token-Usage"), ",")
	output, err := strconv.Atoi(strings.TrimSpace(out))
	return parts, output, err == nil && output > 0
}

// serveEngine responds with the stream that the model produces. It returns false if the
// response is incomplete.
func (e *Emulator) serveEngine(w http.ResponseWriter, r *http.Request, j *job, lastEvent int, cut bool) bool {
	parts, output, ok := parsePrompt(r.Header)
	if !ok {
		j.refused = true
		http.Error(w, "X-Prompt-Parts and X-Token-Usage are needed", http.StatusBadRequest)
		return true
	}
	e.mu.Lock()
	d := e.engine
	e.mu.Unlock()
	remaining := output - lastEvent*max(e.opts.Engine.TokensPerEvent, 1)
	if remaining <= 0 {
		// The stream broke off between its last event and its end.
		e.mu.Lock()
		e.countRunLocked(r, lastEvent)
		e.mu.Unlock()
		return true
	}
	id, events, accepted, failed := d.add(parts, remaining)
	switch {
	case failed:
		e.mu.Lock()
		e.countRunLocked(r, lastEvent)
		e.countOverloadLocked()
		e.failLocked()
		e.mu.Unlock()
		return false
	case !accepted:
		j.refused = true
		w.Header().Set("X-Not-Run", "true")
		http.Error(w, "the engine is full", http.StatusServiceUnavailable)
		return true
	}
	defer d.remove(id)
	e.mu.Lock()
	e.countRunLocked(r, lastEvent)
	e.mu.Unlock()
	return e.streamEngine(w, j, events, lastEvent, cut)
}

func (e *Emulator) streamEngine(w http.ResponseWriter, j *job, events <-chan enginemodel.Event, lastEvent int, cut bool) bool {
	for n := lastEvent + 1; ; n++ {
		select {
		case <-j.ctx.Done():
			return false
		case v := <-events:
			if v.Kind != enginemodel.Produced {
				return v.Kind == enginemodel.Finished
			}
			if cut && n > lastEvent+1 || e.sendEvent(w, j, n) != nil {
				return false
			}
		}
	}
}
