package emulator

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// CrashTrigger in a request body makes the upstream crash.
const CrashTrigger = "CRASH-UPSTREAM"

// CutTrigger in a request body makes the upstream abort the first stream of that request:
// after half of its events, or after one event with a simulated engine.
const CutTrigger = "CUT-STREAM"

// maxCountedIDs bounds the number of request IDs and of keys that are counted.
const maxCountedIDs = 1 << 20

// Debug holds the counters that tests check.
type Debug struct {
	Instance string `json:"instance"`
	// Requests and Keys count runs by X-Request-Id and Idempotency-Key. A resumed stream
	// is not a run.
	Requests map[string]int `json:"requests"`
	Keys     map[string]int `json:"keys"`
	// ResumedStreams counts the resumptions of each stream by the id of the request that its caller
	// names in X-Resumes, or by that of the request itself without one.
	ResumedStreams map[string]int `json:"resumed_streams"`
	Runs           int            `json:"runs"`
	// LastRunMS is when the latest run or resumption began, in Unix milliseconds.
	LastRunMS int64 `json:"last_run_ms"`
	// Ended counts the admitted requests whose complete response was written, Refused those
	// that a simulated engine refused. Cancelled counts the other admitted requests.
	Ended     int `json:"ended"`
	Refused   int `json:"refused"`
	Cancelled int `json:"cancelled"`
	Resumed   int `json:"resumed"`
	// ColdOverloads counts failures because of more work than a cold upstream can handle.
	// HiddenOverloads counts those soon after TurnCold or a failure, caused by work that
	// was granted before the fleet could know of the cold start.
	ColdOverloads   int `json:"cold_overloads"`
	HiddenOverloads int `json:"hidden_overloads"`
	Crashes         int `json:"crashes"`
	TurnedCold      int `json:"turned_cold"`
	MaxRunning      int `json:"max_running"`
	MaxQueued       int `json:"max_queued"`
	// Garbage counts the spoiled events and responses of routed streams by kind.
	Garbage map[GarbageKind]int `json:"garbage"`
	// StaleOrders counts orders refused for an old fence, StaleAccepted those accepted in
	// spite of one by an upstream that does not check it.
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
	d.Requests, d.Keys = maps.Clone(e.debug.Requests), maps.Clone(e.debug.Keys)
	d.ResumedStreams, d.Garbage = maps.Clone(e.debug.ResumedStreams), maps.Clone(e.debug.Garbage)
	return d
}

// job is one admitted request.
type job struct {
	ctx         context.Context
	id          string
	key         string
	instance    string
	queueLength int
	boot        int
	cached      bool
	cancel      context.CancelFunc
	slots       chan struct{}
	hasSlot     bool
	// refused is true if the response is a refusal of the simulated engine.
	refused bool
}

// admit admits a request, refuses it with 503, or lets the upstream crash or fail under it.
// It returns nil after a 503 and panics with http.ErrAbortHandler after a crash or failure.
func (e *Emulator) admit(w http.ResponseWriter, r *http.Request, body string, resumedAfter int) *job {
	e.mu.Lock()
	if time.Now().Before(e.refuseRequestsUntil) {
		e.mu.Unlock()
		w.Header().Set("X-Not-Run", "true")
		w.Header().Set("X-Instance-Id", e.Instance())
		http.Error(w, "not accepting work", http.StatusServiceUnavailable)
		return nil
	}
	if strings.Contains(body, CrashTrigger) || e.hasCrashPart(r) {
		e.countRunLocked(r, resumedAfter)
		e.debug.Crashes++
		e.crashLocked(e.opts.CrashDowntime)
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if limit := e.capacityLocked(); e.running+e.queued+1 > limit {
		e.countRunLocked(r, resumedAfter)
		e.countOverloadLocked()
		e.log.WithFields(logrus.Fields{
			"running": e.running, "queued": e.queued, "capacity": limit, "instance": e.instance, "hidden": e.hidden,
			"cold_for": time.Since(e.coldSince), "shown_for": time.Since(e.shownAt),
		}).Warn("Failed because of more work than a cold upstream can handle.")
		e.failLocked()
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	defer e.mu.Unlock()
	if e.engine == nil {
		e.countRunLocked(r, resumedAfter)
	}
	j := &job{id: r.Header.Get("X-Request-Id"), key: r.Header.Get("Idempotency-Key"), instance: e.instance, boot: e.boots, slots: e.slots}
	j.cached = e.cache.use(r.Header.Get("X-Prefix-Digest"), e)
	ctx, cancel := context.WithCancel(r.Context())
	stopAfterFunc := context.AfterFunc(e.instanceCtx, cancel)
	j.ctx, j.cancel = ctx, func() { stopAfterFunc(); cancel() }
	e.queued++
	j.queueLength = max(e.running+e.queued-e.opts.Slots, 0)
	e.debug.MaxQueued = max(e.debug.MaxQueued, j.queueLength)
	return j
}

// countRunLocked counts a run, or the resumption of a stream after an event.
func (e *Emulator) countRunLocked(r *http.Request, resumedAfter int) {
	e.debug.LastRunMS = time.Now().UnixMilli()
	if resumedAfter > 0 {
		e.debug.Resumed++
		countID(e.debug.ResumedStreams, cmp.Or(r.Header.Get("X-Resumes"), r.Header.Get("X-Request-Id")))
		return
	}
	e.debug.Runs++
	countID(e.debug.Requests, r.Header.Get("X-Request-Id"))
	countID(e.debug.Keys, r.Header.Get("Idempotency-Key"))
}

func countID(m map[string]int, k string) {
	if k == "" {
		return
	}
	if _, ok := m[k]; ok || len(m) < maxCountedIDs {
		m[k]++
	}
}

// markShownLocked records that an instance ID became visible.
func (e *Emulator) markShownLocked(instance string) {
	if e.hidden && instance == e.instance {
		e.hidden, e.shownAt = false, time.Now()
	}
}

func (e *Emulator) countOverloadLocked() {
	if e.hidden || time.Since(e.shownAt) < maxGrantAge {
		e.debug.HiddenOverloads++
		return
	}
	e.debug.ColdOverloads++
}

// unlimited is the capacity of a warm upstream, which queues beyond its slots.
const unlimited = 1 << 30

// capacityLocked returns the number of requests that the upstream can handle now.
func (e *Emulator) capacityLocked() int {
	if e.opts.ColdCapacity <= 0 {
		return unlimited
	}
	if e.opts.ColdTime > 0 && time.Since(e.coldSince) >= e.opts.ColdTime {
		return unlimited
	}
	c := e.opts.ColdCapacity
	if e.opts.WarmAfter > 0 {
		for range min(e.successes/e.opts.WarmAfter, 30) {
			if c *= 2; c >= e.opts.Slots {
				return unlimited
			}
		}
	}
	return c
}

// acquireSlot waits for a slot. It returns false if the connection or the instance ended.
func (e *Emulator) acquireSlot(j *job) bool {
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

// finish ends a job, frees its slot and counts its outcome.
func (e *Emulator) finish(j *job, complete bool) {
	j.cancel()
	if j.hasSlot {
		<-j.slots
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case j.refused:
		e.debug.Refused++
	case complete:
		e.debug.Ended++
	default:
		e.debug.Cancelled++
	}
	if j.slots == e.slots {
		if j.hasSlot {
			e.running = max(e.running-1, 0)
		} else {
			e.queued = max(e.queued-1, 0)
		}
	}
	if complete && !j.refused && j.boot == e.boots {
		e.successes++
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

func (e *Emulator) setInstanceHeaders(w http.ResponseWriter, j *job) {
	e.mu.Lock()
	e.markShownLocked(j.instance)
	e.mu.Unlock()
	w.Header().Set("X-Instance-Id", j.instance)
	w.Header().Set("X-Queue-Length", strconv.Itoa(j.queueLength))
}
