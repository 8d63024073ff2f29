package emulator

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marigoldshunt/internal/catalog"
)

// RoutedStreamPath is the prefix of paths whose response is a stream of numbered events.
const RoutedStreamPath = "/events/"

// withRoutedHeaders adds what upstreams of routed services do: they refuse requests for
// another instance without running them, and put the request's ID and the load into
// responses.
func (e *Emulator) withRoutedHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("X-Instance-Id"); want != "" && want != e.Instance() {
			w.Header().Set("X-Instance-Id", e.Instance())
			http.Error(w, "another instance has this address", http.StatusMisdirectedRequest)
			return
		}
		if id := r.Header.Get("X-Request-Id"); id != "" {
			w.Header().Set("X-Request-Id", id)
		}
		if e.isLeaving() {
			w.Header().Set("X-Leaving", "1")
		}
		if e.opts.RateLimit > 0 {
			w.Header().Set("X-Rate-Limit", strconv.FormatFloat(e.opts.RateLimit, 'f', -1, 64))
		}
		running, queued := e.reportedLoad()
		w.Header().Set("X-Load", fmt.Sprintf("%d,%d,%d", running, queued, e.opts.Slots))
		next.ServeHTTP(w, r)
	})
}

func (e *Emulator) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// hasCrashPart reports whether the prompt of a request has the part on which the upstream crashes.
func (e *Emulator) hasCrashPart(r *http.Request) bool {
	parts := strings.Split(r.Header.Get("X-Prompt-Parts"), ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(strings.TrimSpace(part), ":"); e.opts.CrashPart != "" && id == e.opts.CrashPart {
			return true
		}
	}
	return false
}

// reportedLoad returns the load that responses report.
func (e *Emulator) reportedLoad() (running, queued int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.engine != nil {
		r := e.engine.report()
		return r.Running, r.Waiting
	}
	return e.running, e.queued
}

// handleInstances serves a list of instances that holds only this upstream.
func (e *Emulator) handleInstances(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, catalog.Entries{Instances: []catalog.Entry{e.entry(r.Host)}})
}

// handleRoutedStream streams the numbered events after the one in Last-Event-Id.
func (e *Emulator) handleRoutedStream(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "body not read", http.StatusBadRequest)
		return
	}
	lastEvent, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	j := e.admit(w, r, string(body), lastEvent)
	if j == nil {
		return
	}
	complete := false
	defer func() { e.finish(j, complete) }()
	if g, ok := e.pickResponseGarbage(); ok {
		complete = e.sendGarbageResponse(w, r, j, lastEvent, g)
		return
	}
	cut := strings.Contains(string(body), CutTrigger) && e.firstCut(j.id)
	w.Header().Set("Content-Type", eventStreamType)
	if e.opts.Engine != nil {
		e.setInstanceHeaders(w, j)
		if complete = e.serveEngine(w, r, j, lastEvent, cut); !complete {
			panic(http.ErrAbortHandler)
		}
		return
	}
	if !e.acquireSlot(j) || lastEvent == 0 && !j.pause(e.opts.Prefill) {
		panic(http.ErrAbortHandler)
	}
	e.setInstanceHeaders(w, j)
	start := time.Now()
	for n := lastEvent + 1; n <= e.opts.TokensPerResponse; n++ {
		if !j.pause(e.tokenDelay(n-lastEvent)-time.Since(start)) || cut && n > e.opts.TokensPerResponse/2 {
			panic(http.ErrAbortHandler)
		}
		if e.sendEvent(w, j, n) != nil {
			panic(http.ErrAbortHandler)
		}
	}
	complete = true
}
