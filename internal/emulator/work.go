package emulator

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// CrashTrigger in a body makes the upstream crash.
const CrashTrigger = "CRASH-UPSTREAM"

// CutTrigger in a body makes the upstream cut the first stream of that request after
// half of its events.
const CutTrigger = "CUT-STREAM"

// maxTracked bounds the counters per request and key.
const maxTracked = 1 << 20

// Debug holds the counters that tests check.
type Debug struct {
	Instance string `json:"instance"`
	// Requests and Keys count runs by X-Request-Id and Idempotency-Key. Resumed streams
	// are not runs.
	Requests map[string]int `json:"requests"`
	Keys     map[string]int `json:"keys"`
	Runs     int            `json:"runs"`
	// LastRunMS is when the latest run or resumption began, in milliseconds of Unix time.
	LastRunMS int64 `json:"last_run_ms"`
	// Ended counts runs whose whole answer was written, Cancelled those whose
	// connection ended before.
	Ended     int `json:"ended"`
	Cancelled int `json:"cancelled"`
	Resumed   int `json:"resumed"`
	// ColdOverloads counts falls because of more work than a cold upstream bears.
	// HiddenOverloads counts those soon after TurnCold or a fall, by work that was granted
	// before the fleet could know.
	ColdOverloads   int `json:"cold_overloads"`
	HiddenOverloads int `json:"hidden_overloads"`
	Crashes         int `json:"crashes"`
	TurnedCold      int `json:"turned_cold"`
	MaxRunning      int `json:"max_running"`
	MaxQueued       int `json:"max_queued"`
	// StaleOrders counts refused orders, StaleAccepted those taken in spite of an old
	// fence by an upstream that does not check it.
	StaleOrders   int     `json:"stale_orders"`
	StaleAccepted int     `json:"stale_accepted"`
	Orders        []Order `json:"orders"`
}

// Debug returns a copy of the counters.
func (e *Emulator) Debug() Debug {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.debug
	d.Instance = e.instance
	d.Orders = append([]Order{}, e.orders...)
	d.Requests = make(map[string]int, len(e.debug.Requests))
	for k, v := range e.debug.Requests {
		d.Requests[k] = v
	}
	d.Keys = make(map[string]int, len(e.debug.Keys))
	for k, v := range e.debug.Keys {
		d.Keys[k] = v
	}
	return d
}

// job is one accepted request.
type job struct {
	ctx      context.Context
	id       string
	key      string
	instance string
	queued   int
	boot     int
	cached   bool
	stop     context.CancelFunc
	slots    chan struct{}
	hasSlot  bool
}

// admit accepts a request, or answers 503 or falls over. It returns nil when the
// request was not accepted.
func (e *Emulator) admit(w http.ResponseWriter, r *http.Request, body string, offset int) *job {
	e.mu.Lock()
	if time.Now().Before(e.notRun) {
		e.mu.Unlock()
		w.Header().Set("X-Not-Run", "true")
		w.Header().Set("X-Instance-Id", e.Instance())
		http.Error(w, "not accepting work", http.StatusServiceUnavailable)
		return nil
	}
	if strings.Contains(body, CrashTrigger) {
		e.countRun(r, offset)
		e.debug.Crashes++
		e.crashLocked(e.o.CrashDown)
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if limit := e.capacityLocked(); e.running+e.queued+1 > limit {
		e.countRun(r, offset)
		e.countOverloadLocked()
		e.log.WithFields(logrus.Fields{
			"running": e.running, "queued": e.queued, "capacity": limit, "instance": e.instance, "hidden": e.hidden,
			"cold_for": time.Since(e.coldAt), "shown_for": time.Since(e.shown),
		}).Warn("Fell over from more work than a cold upstream bears.")
		e.fallOverLocked()
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	defer e.mu.Unlock()
	if e.engine == nil {
		e.countRun(r, offset)
	}
	j := &job{id: r.Header.Get("X-Request-Id"), key: r.Header.Get("Idempotency-Key"), instance: e.instance, boot: e.boots, slots: e.slots}
	j.cached = e.cache.use(r.Header.Get("X-Prefix-Digest"), e)
	ctx, stop := context.WithCancel(r.Context())
	unhook := context.AfterFunc(e.life, stop)
	j.ctx, j.stop = ctx, func() { unhook(); stop() }
	e.queued++
	j.queued = max(e.running+e.queued-e.o.Slots, 0)
	e.debug.MaxQueued = max(e.debug.MaxQueued, j.queued)
	return j
}

// countRun counts a run that is not the resumption of a stream.
func (e *Emulator) countRun(r *http.Request, offset int) {
	e.debug.LastRunMS = time.Now().UnixMilli()
	if offset > 0 {
		e.debug.Resumed++
		return
	}
	e.debug.Runs++
	count(e.debug.Requests, r.Header.Get("X-Request-Id"))
	count(e.debug.Keys, r.Header.Get("Idempotency-Key"))
}

func count(m map[string]int, k string) {
	if k == "" {
		return
	}
	if _, ok := m[k]; ok || len(m) < maxTracked {
		m[k]++
	}
}

// showLocked records that an instance identity became visible.
func (e *Emulator) showLocked(instance string) {
	if e.hidden && instance == e.instance {
		e.hidden, e.shown = false, time.Now()
	}
}

func (e *Emulator) countOverloadLocked() {
	if e.hidden || time.Since(e.shown) < grantAge {
		e.debug.HiddenOverloads++
		return
	}
	e.debug.ColdOverloads++
}

// unlimited is the capacity of a warm upstream, which queues beyond its slots.
const unlimited = 1 << 30

// capacityLocked returns the number of requests that the upstream bears now.
func (e *Emulator) capacityLocked() int {
	if e.o.ColdCapacity <= 0 {
		return unlimited
	}
	if e.o.ColdTime > 0 && time.Since(e.coldAt) >= e.o.ColdTime {
		return unlimited
	}
	c := e.o.ColdCapacity
	if e.o.WarmAfter > 0 {
		for range min(e.success/e.o.WarmAfter, 30) {
			if c *= 2; c >= e.o.Slots {
				return unlimited
			}
		}
	}
	return c
}

// run waits for a slot. It returns false when the connection or the instance ended.
func (e *Emulator) run(j *job) bool {
	select {
	case j.slots <- struct{}{}:
		j.hasSlot = true
	case <-j.ctx.Done():
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.slots == e.slots {
		e.queued = max(e.queued-1, 0)
		e.running++
		e.debug.MaxRunning = max(e.debug.MaxRunning, e.running)
		e.sampleLocked()
	}
	return true
}

// release ends a job.
func (e *Emulator) release(j *job, whole bool) {
	j.stop()
	if j.hasSlot {
		<-j.slots
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if whole {
		e.debug.Ended++
	} else {
		e.debug.Cancelled++
	}
	if j.slots == e.slots {
		if j.hasSlot {
			e.running = max(e.running-1, 0)
		} else {
			e.queued = max(e.queued-1, 0)
		}
	}
	if whole && j.boot == e.boots {
		e.success++
	}
	e.sampleLocked()
}

// pause waits for d or until the job ends.
func (j *job) pause(d time.Duration) bool {
	if d <= 0 {
		return j.ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-j.ctx.Done():
		return false
	}
}

func (e *Emulator) head(w http.ResponseWriter, j *job) {
	e.mu.Lock()
	e.showLocked(j.instance)
	e.mu.Unlock()
	w.Header().Set("X-Instance-Id", j.instance)
	w.Header().Set("X-Queue-Length", strconv.Itoa(j.queued))
}
