package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// sample is a load report with the time from which it holds.
type sample struct {
	at       time.Time
	Instance string `json:"instance"`
	Running  int    `json:"running"`
	Queued   int    `json:"queued"`
}

// sampleLocked records the present load and drops samples that no report needs.
func (e *Emulator) sampleLocked() {
	now := time.Now()
	e.busy = e.busyLocked(now)
	e.samples = append(e.samples, sample{now, e.instance, e.running, e.queued})
	old := 0
	for old+1 < len(e.samples) && now.Sub(e.samples[old+1].at) >= e.o.ReportLag {
		old++
	}
	e.samples = e.samples[old:]
}

// busyLocked returns the slot time in use since the start: the running count integrated
// over time.
func (e *Emulator) busyLocked(now time.Time) time.Duration {
	if len(e.samples) == 0 {
		return e.busy
	}
	last := e.samples[len(e.samples)-1]
	return e.busy + time.Duration(last.Running)*now.Sub(last.at)
}

// Load is the present load of an emulator, without lag.
type Load struct {
	Running int
	Queued  int
	// Runs counts the runs since the start.
	Runs int
	// Busy is the running count integrated over time.
	Busy time.Duration
}

// Load returns the present load.
func (e *Emulator) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Load{Running: e.running, Queued: e.queued, Runs: e.debug.Runs, Busy: e.busyLocked(time.Now())}
}

func (e *Emulator) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	s := e.samples[0]
	for _, next := range e.samples[1:] {
		if time.Since(next.at) < e.o.ReportLag {
			break
		}
		s = next
	}
	e.showLocked(s.Instance)
	e.mu.Unlock()
	w.Header().Set("X-Instance-Id", s.Instance)
	writeJSON(w, s)
}

// event is one change of the prefix cache.
type event struct {
	at      time.Time
	Seq     uint64   `json:"seq"`
	Added   []string `json:"added"`
	Removed []string `json:"removed"`
}

// maxEvents bounds the events that are kept for late readers.
const maxEvents = 4096

// cache holds prefix digests in the order of their first use.
type cache struct {
	size   int
	order  []string
	held   map[string]bool
	seq    uint64
	events []event
}

// reset empties the cache; sequence numbers go on.
func (c *cache) reset(size int) {
	c.size, c.order, c.held, c.events = size, nil, map[string]bool{}, nil
}

// use marks a digest as used and says whether it was cached.
func (c *cache) use(d string, e *Emulator) bool {
	if d == "" {
		return false
	}
	if c.held[d] {
		return true
	}
	ev := event{at: time.Now(), Added: []string{d}, Removed: []string{}}
	c.held[d] = true
	c.order = append(c.order, d)
	if len(c.order) > c.size {
		ev.Removed = append(ev.Removed, c.order[0])
		delete(c.held, c.order[0])
		c.order = c.order[1:]
	}
	c.seq++
	ev.Seq = c.seq
	// A lost event leaves a gap in the sequence numbers.
	if e.rng.Float64() >= e.o.EventGap {
		c.events = append(c.events, ev)
		c.events = c.events[max(len(c.events)-maxEvents, 0):]
	}
	return false
}

func (e *Emulator) handleEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	e.mu.Lock()
	list := []event{}
	seq := since
	for _, ev := range e.cache.events {
		if time.Since(ev.at) < e.o.EventLag {
			break
		}
		if ev.Seq > since {
			list = append(list, ev)
			seq = ev.Seq
		}
	}
	instance := e.instance
	e.mu.Unlock()
	w.Header().Set("X-Instance-Id", instance)
	writeJSON(w, map[string]any{"seq": seq, "events": list})
}

// Order is an order as the upstream received it.
type Order struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// handleOrder takes an order. An order with the highest fence seen is a resend and is
// accepted again without effect.
func (e *Emulator) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&o); err != nil {
		http.Error(w, "order is not JSON", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.maxFence {
		if e.o.ChecksFence {
			e.debug.StaleOrders++
			http.Error(w, "a higher fence was seen", http.StatusConflict)
			return
		}
		e.debug.StaleAccepted++
	}
	if o.Fence != e.maxFence {
		e.orders = append(e.orders, o)
	}
	e.maxFence = max(e.maxFence, o.Fence)
	writeJSON(w, map[string]uint64{"fence": o.Fence})
}
