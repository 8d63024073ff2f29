// Package enginemodel simulates a model engine on a clock that its user advances.
//
// An engine works in steps. Each step generates one token for every request whose prompt
// has been read, and reads at most one chunk of the remaining prompts in total. More work
// makes a step longer, so long prompts lengthen the pauses of all concurrent streams.
// Running requests and cached prompt parts share one memory. Requests start in the order of
// arrival.
//
// The package does no I/O and reads no clock. The emulator runs a model in real time,
// package loadplay on a simulated clock.
package enginemodel

import (
	"slices"
	"time"
)

// Part is one part of a prompt. Requests can share all parts but the last one, which
// belongs to the request alone.
type Part struct {
	ID     uint64
	Tokens int
}

// Options describe an engine.
type Options struct {
	// Slots is the number of requests that run concurrently, QueueLength that of requests
	// that wait.
	Slots, QueueLength int
	// MemoryTokens is the memory that running requests and cached parts share.
	MemoryTokens int
	// Step is the duration of a step without work, StepPerRequest is added for each
	// request that a token is generated for.
	Step, StepPerRequest time.Duration
	// PromptTokensPerMs is the number of prompt tokens read in one ms, ChunkTokens the
	// maximum that one step reads.
	PromptTokensPerMs float64
	ChunkTokens       int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// ColdTime is how long an engine is cold after its start. A cold engine is ColdSlowdown
	// times slower, and fails at more than ColdPerSecond requests in one second (0 for no
	// limit).
	ColdTime      time.Duration
	ColdSlowdown  float64
	ColdPerSecond int
	// ReportLag is the age of load reports, EventLag that of cache events. With n in
	// LoseEveryNthEvent, every n-th cache event is lost; 0 loses none.
	ReportLag, EventLag time.Duration
	LoseEveryNthEvent   int
}

// TypicalOptions returns options of an engine with the usual speed of a large model on one
// accelerator.
func TypicalOptions() Options {
	return Options{
		Slots: 64, QueueLength: 64, MemoryTokens: 218_000,
		Step: 3400 * time.Microsecond, StepPerRequest: 100 * time.Microsecond,
		PromptTokensPerMs: 44, ChunkTokens: 2_048, TokensPerEvent: 6, ColdSlowdown: 2,
		ReportLag: 200 * time.Millisecond, EventLag: 100 * time.Millisecond,
	}
}

// Request is a request to the engine.
type Request struct {
	ID    uint64
	Parts []Part
	// Output is the number of tokens that the engine generates.
	Output int
}

func (r *Request) promptTokens() (n int) {
	for _, p := range r.Parts {
		n += p.Tokens
	}
	return n
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	// Produced means that the tokens of one stream event are complete.
	Produced EventKind = iota + 1
	// Finished means that the last token was generated. It follows the last Produced.
	Finished
	// Aborted means that the engine failed while it had the request.
	Aborted
)

// Event is something that happened to a request.
type Event struct {
	ID   uint64
	Kind EventKind
	At   time.Time
	// Number is the number of complete stream events of the request, this one included.
	Number int
}

// Engine simulates one engine. It is not safe for concurrent use.
type Engine struct {
	opts  Options
	clock time.Time
	// stepEnd is when the current step ends; zero if there is none.
	stepEnd   time.Time
	coldUntil time.Time
	arrivals  []time.Time
	queue     []*engineRequest
	running   []*engineRequest
	memory    memory
	samples   []sample
	counts    Counts
}

// Counts are totals since New.
type Counts struct {
	// ReadTokens counts prompt tokens that were read, CachedTokens those that were cached,
	// RereadTokens the read tokens of shared parts that had been cached before.
	ReadTokens, CachedTokens, RereadTokens int
	// GeneratedTokens counts generated tokens, Preempted preemptions, Failures the failures
	// of a cold engine.
	GeneratedTokens, Preempted int
	Failures                   int
}

// engineRequest is a request that the engine has queued or runs.
type engineRequest struct {
	Request
	// unreadTokens is the number of tokens left to read; after a preemption it includes the
	// tokens that were generated already.
	unreadTokens int
	// stepRead is the number of tokens that the current step reads.
	stepRead   int
	generating bool
	generated  int
	// ownTokens is the memory that the request holds beside the parts that it shares.
	ownTokens int
}

// New returns an engine that starts at now.
func New(opts Options, now time.Time) *Engine {
	opts.ChunkTokens, opts.TokensPerEvent = max(opts.ChunkTokens, 1), max(opts.TokensPerEvent, 1)
	opts.ColdSlowdown = max(opts.ColdSlowdown, 1)
	return &Engine{opts: opts, clock: now, coldUntil: now.Add(opts.ColdTime), memory: newMemory(opts)}
}

// TurnCold makes the engine cold from now on.
func (e *Engine) TurnCold(now time.Time) { e.coldUntil = now.Add(e.opts.ColdTime) }

// Cold reports whether the engine is cold.
func (e *Engine) Cold(now time.Time) bool { return now.Before(e.coldUntil) }

// Counts returns the totals.
func (e *Engine) Counts() Counts { return e.counts }

// Add passes a request to the engine. It returns false if the engine refuses it: its queue
// is full, or the request is larger than its memory. The events are those of requests that
// are aborted because a cold engine fails.
func (e *Engine) Add(r Request, now time.Time) (accepted bool, aborted []Event) {
	e.advanceTo(now)
	if len(e.queue)+len(e.running) >= e.opts.Slots+e.opts.QueueLength || r.promptTokens()+r.Output > e.opts.MemoryTokens {
		return false, nil
	}
	e.queue = append(e.queue, &engineRequest{Request: r})
	if e.overloadsCold(now) {
		return true, e.fail(now)
	}
	e.startStep()
	return true, nil
}

// overloadsCold records an arrival and reports whether it overloads a cold engine.
func (e *Engine) overloadsCold(now time.Time) bool {
	if e.opts.ColdPerSecond <= 0 || !e.Cold(now) {
		e.arrivals = nil
		return false
	}
	e.arrivals = append(e.arrivals, now)
	for now.Sub(e.arrivals[0]) >= time.Second {
		e.arrivals = e.arrivals[1:]
	}
	return len(e.arrivals) > e.opts.ColdPerSecond
}

// fail aborts all requests and restarts the engine, cold and with an empty cache.
func (e *Engine) fail(now time.Time) (aborted []Event) {
	for _, r := range slices.Concat(e.running, e.queue) {
		aborted = append(aborted, Event{ID: r.ID, Kind: Aborted, At: now, Number: r.generated / e.opts.TokensPerEvent})
	}
	e.counts.Failures++
	e.running, e.queue, e.arrivals = nil, nil, nil
	e.stepEnd = time.Time{}
	e.memory.reset(now)
	e.TurnCold(now)
	return aborted
}

// Remove removes a request whose caller has disconnected.
func (e *Engine) Remove(id uint64, now time.Time) {
	e.advanceTo(now)
	hasID := func(r *engineRequest) bool { return r.ID == id }
	e.queue = slices.DeleteFunc(e.queue, hasID)
	for i, r := range e.running {
		if r.ID == id {
			e.memory.release(r, now)
			e.running = slices.Delete(e.running, i, i+1)
			return
		}
	}
}

// Next returns when the current step ends. ok is false if the engine has no work.
func (e *Engine) Next() (at time.Time, ok bool) { return e.stepEnd, !e.stepEnd.IsZero() }

// Advance runs all steps that end by now and returns their events in order.
func (e *Engine) Advance(now time.Time) (events []Event) {
	for !e.stepEnd.IsZero() && !e.stepEnd.After(now) {
		e.advanceTo(e.stepEnd)
		events = append(events, e.endStep()...)
		e.startStep()
	}
	e.advanceTo(now)
	return events
}

func (e *Engine) advanceTo(now time.Time) {
	if now.After(e.clock) {
		e.clock = now
	}
}

// startStep starts a step if there is work and no step is running.
func (e *Engine) startStep() {
	if !e.stepEnd.IsZero() {
		return
	}
	e.startQueued()
	e.recordSample()
	if len(e.running) == 0 {
		return
	}
	unusedChunk, generating := e.opts.ChunkTokens, 0
	for _, r := range e.running {
		r.generating = r.unreadTokens == 0
		if r.generating {
			generating++
		}
		r.stepRead = min(r.unreadTokens, unusedChunk)
		unusedChunk -= r.stepRead
	}
	readTime := float64(e.opts.ChunkTokens-unusedChunk) / e.opts.PromptTokensPerMs * float64(time.Millisecond)
	duration := e.opts.Step + time.Duration(generating)*e.opts.StepPerRequest + time.Duration(readTime)
	if e.Cold(e.clock) {
		duration = time.Duration(float64(duration) * e.opts.ColdSlowdown)
	}
	e.stepEnd = e.clock.Add(duration)
}

// startQueued starts queued requests in the order of arrival while there are slots and
// memory.
func (e *Engine) startQueued() {
	for len(e.queue) > 0 && len(e.running) < e.opts.Slots {
		r := e.queue[0]
		unread, ok := e.memory.reserve(r, e.clock)
		if !ok {
			return
		}
		e.counts.CachedTokens += r.promptTokens() - unread.tokens
		e.counts.RereadTokens += unread.reread
		r.unreadTokens = unread.tokens + r.generated
		e.queue = e.queue[1:]
		e.running = append(e.running, r)
	}
}

// endStep ends the current step and returns its events.
func (e *Engine) endStep() (events []Event) {
	e.stepEnd = time.Time{}
	for _, r := range slices.Clone(e.running) {
		if !slices.Contains(e.running, r) {
			// The request was preempted to free memory for another request's token.
			continue
		}
		e.counts.ReadTokens += r.stepRead
		r.unreadTokens -= r.stepRead
		if r.generating || r.stepRead > 0 && r.unreadTokens == 0 {
			events = append(events, e.generateToken(r)...)
		}
	}
	return events
}

// generateToken generates one token of a request. Without memory for it, it preempts the
// newest requests, possibly this one.
func (e *Engine) generateToken(r *engineRequest) (events []Event) {
	for !e.memory.grow(r, e.clock) {
		newest := e.running[len(e.running)-1]
		e.preempt(newest)
		if newest == r {
			return nil
		}
	}
	r.generated++
	e.counts.GeneratedTokens++
	done := r.generated >= r.Output
	if r.generated%e.opts.TokensPerEvent == 0 || done {
		eventNumber := (r.generated + e.opts.TokensPerEvent - 1) / e.opts.TokensPerEvent
		events = append(events, Event{ID: r.ID, Kind: Produced, At: e.clock, Number: eventNumber})
	}
	if done {
		e.memory.release(r, e.clock)
		e.running = slices.DeleteFunc(e.running, func(x *engineRequest) bool { return x == r })
		events = append(events, Event{ID: r.ID, Kind: Finished, At: e.clock, Number: (r.generated + e.opts.TokensPerEvent - 1) / e.opts.TokensPerEvent})
	}
	return events
}

// preempt returns a running request to the front of the queue. Its prompt and the tokens
// generated so far will be read again.
func (e *Engine) preempt(r *engineRequest) {
	e.counts.Preempted++
	e.memory.release(r, e.clock)
	e.running = slices.DeleteFunc(e.running, func(x *engineRequest) bool { return x == r })
	e.queue = slices.Insert(e.queue, 0, r)
}

// Report is the load report of an engine.
type Report struct {
	Running, Waiting int
	// UsedTokens is the memory of running requests.
	UsedTokens int
}

type sample struct {
	Report
	at time.Time
}

// recordSample records a report that becomes visible after ReportLag.
func (e *Engine) recordSample() {
	e.samples = append(e.samples, sample{Report{len(e.running), len(e.queue), e.memory.ownTokens}, e.clock})
	for len(e.samples) > 1 && e.clock.Sub(e.samples[1].at) >= e.opts.ReportLag {
		e.samples = e.samples[1:]
	}
}

// Report returns the latest report that is at least ReportLag old.
func (e *Engine) Report(now time.Time) Report {
	var r Report
	for _, s := range e.samples {
		if now.Sub(s.at) >= e.opts.ReportLag {
			r = s.Report
		}
	}
	return r
}

// CacheEvents returns the published cache events with numbers above since.
func (e *Engine) CacheEvents(since int, now time.Time) []CacheEvent {
	return e.memory.publishedSince(since, now)
}
