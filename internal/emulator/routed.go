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

// RoutedStreamPath is the prefix of paths that are answered by a stream of numbered events.
const RoutedStreamPath = "/events/"

// routed adds what upstreams of routed services do: they refuse requests for another
// instance without running them, and repeat the request's id and the load in answers.
func (e *Emulator) routed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("X-Instance-Id"); want != "" && want != e.Instance() {
			w.Header().Set("X-Instance-Id", e.Instance())
			http.Error(w, "another instance has this address", http.StatusMisdirectedRequest)
			return
		}
		if id := r.Header.Get("X-Request-Id"); id != "" {
			w.Header().Set("X-Request-Id", id)
		}
		running, queued := e.routedLoad()
		w.Header().Set("X-Load", fmt.Sprintf("%d,%d,%d", running, queued, e.o.Slots))
		next.ServeHTTP(w, r)
	})
}

// routedLoad returns the load that answers tell.
func (e *Emulator) routedLoad() (running, queued int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.engine != nil {
		r := e.engine.report()
		return r.Running, r.Waiting
	}
	return e.running, e.queued
}

// handleInstances publishes this upstream as the installation's list of instances.
func (e *Emulator) handleInstances(w http.ResponseWriter, r *http.Request) {
	cold := int64(0)
	if e.o.ColdTime > 0 {
		e.mu.Lock()
		cold = max((e.o.ColdTime - time.Since(e.coldAt)).Milliseconds(), 0)
		e.mu.Unlock()
	}
	writeJSON(w, catalog.Entries{Instances: []catalog.Entry{{
		ID: e.Instance(), Service: e.o.Service, DataCentre: e.o.DataCentre, Address: r.Host, Slots: e.o.Slots, ColdForMS: cold,
	}}})
}

// handleRoutedStream answers with numbered events after the one in Last-Event-Id.
func (e *Emulator) handleRoutedStream(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "body not read", http.StatusBadRequest)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	j := e.admit(w, r, string(body), last)
	if j == nil {
		return
	}
	whole := false
	defer func() { e.release(j, whole) }()
	cut := strings.Contains(string(body), CutTrigger) && e.cutOnce(j.id)
	w.Header().Set("Content-Type", "text/event-stream")
	if e.o.Engine != nil {
		e.head(w, j)
		if whole = e.serveEngine(w, r, j, last, cut); !whole {
			panic(http.ErrAbortHandler)
		}
		return
	}
	if !e.run(j) || last == 0 && !j.pause(e.o.Prefill) {
		panic(http.ErrAbortHandler)
	}
	e.head(w, j)
	flush := http.NewResponseController(w).Flush
	start := time.Now()
	for n := last + 1; n <= e.o.TokensPerAnswer; n++ {
		if !j.pause(e.due(n-last)-time.Since(start)) || cut && n > e.o.TokensPerAnswer/2 {
			panic(http.ErrAbortHandler)
		}
		if e.writeEvent(w, j, n) != nil || flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	whole = true
}

// writeEvent writes event n of a routed stream.
func (e *Emulator) writeEvent(w io.Writer, j *job, n int) error {
	_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, Token(j.id, n))
	return err
}
