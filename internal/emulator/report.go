package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// sample is a load report and the time from which it is valid.
type sample struct {
	at       time.Time
	Instance string `json:"instance"`
	Running  int    `json:"running"`
	Queued   int    `json:"queued"`
}

// sampleLocked records the current load and drops samples that no report needs any more.
func (e *Emulator) sampleLocked() {
	now := time.Now()
	e.busyTime = e.busyTimeLocked(now)
	e.samples = append(e.samples, sample{now, e.instance, e.running, e.queued})
	expired := 0
	for expired+1 < len(e.samples) && now.Sub(e.samples[expired+1].at) >= e.opts.ReportLag {
		expired++
	}
	e.samples = e.samples[expired:]
}

// busyTimeLocked returns the busy time of all slots since the start: the number of running
// requests integrated over time.
func (e *Emulator) busyTimeLocked(now time.Time) time.Duration {
	if len(e.samples) == 0 {
		return e.busyTime
	}
	last := e.samples[len(e.samples)-1]
	return e.busyTime + time.Duration(last.Running)*now.Sub(last.at)
}

// Load is the current load of an emulator, without lag.
type Load struct {
	Running int
	Queued  int
	// Runs counts the runs since the start.
	Runs int
	// BusyTime is the number of running requests integrated over time.
	BusyTime time.Duration
}

// Load returns the current load.
func (e *Emulator) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Load{Running: e.running, Queued: e.queued, Runs: e.debug.Runs, BusyTime: e.busyTimeLocked(time.Now())}
}

func (e *Emulator) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	s := e.samples[0]
	for _, next := range e.samples[1:] {
		if time.Since(next.at) < e.opts.ReportLag {
			break
		}
		s = next
	}
	e.markShownLocked(s.Instance)
	e.mu.Unlock()
	w.Header().Set("X-Instance-Id", s.Instance)
	writeJSON(w, s)
}

// cacheEvent is one change of the prefix cache.
type cacheEvent struct {
	at      time.Time
	Seq     uint64   `json:"seq"`
	Added   []string `json:"added"`
	Removed []string `json:"removed"`
}

// maxEvents bounds the events that are kept for readers that lag behind.
const maxEvents = 4096

// cache is a FIFO cache of prefix digests.
type cache struct {
	size   int
	order  []string
	cached map[string]bool
	seq    uint64
	events []cacheEvent
}

// reset empties the cache; sequence numbers continue.
func (c *cache) reset(size int) {
	c.size, c.order, c.cached, c.events = size, nil, map[string]bool{}, nil
}

// use adds a digest to the cache and reports whether it was there already.
func (c *cache) use(d string, e *Emulator) bool {
	if d == "" {
		return false
	}
	if c.cached[d] {
		return true
	}
	change := cacheEvent{at: time.Now(), Added: []string{d}, Removed: []string{}}
	c.cached[d] = true
	c.order = append(c.order, d)
	if len(c.order) > c.size {
		change.Removed = append(change.Removed, c.order[0])
		delete(c.cached, c.order[0])
		c.order = c.order[1:]
	}
	c.seq++
	change.Seq = c.seq
	// A lost event leaves a gap in the sequence numbers.
	if e.rng.Float64() >= e.opts.EventLossRate {
		c.events = append(c.events, change)
		c.events = c.events[max(len(c.events)-maxEvents, 0):]
	}
	return false
}

func (e *Emulator) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	e.mu.Lock()
	list := []cacheEvent{}
	seq := since
	for _, ev := range e.cache.events {
		if time.Since(ev.at) < e.opts.EventLag {
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

// handleOrder accepts an order. An order with the highest fence seen is a resend and is
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
		if e.opts.ChecksFence {
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
