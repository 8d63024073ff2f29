// Package enginemodel models a model engine on a clock that its user advances.
//
// An engine works in steps. Each step makes one token of every request whose prompt is
// read, and reads a chunk of the prompts that are not. More work makes a step longer, so
// long prompts stretch the pauses of all streams beside them. Running requests and kept
// prompt parts share one memory. Requests are taken in the order of arrival.
//
// The package does no I/O and reads no clock. The emulator runs a model on the clock of
// the machine, the load player on a simulated one.
package enginemodel

import (
	"slices"
	"time"
)

// Part is one part of a prompt. Requests share parts; the last one is the request's own.
type Part struct {
	ID     uint64
	Tokens int
}

// Options describe an engine.
type Options struct {
	// Slots is the number of requests that run at once, QueueLength of those that wait.
	Slots, QueueLength int
	// MemoryTokens is shared by running requests and kept parts.
	MemoryTokens int
	// Step is the duration of a step without work, StepPerRequest is added for each
	// request that a token is made of.
	Step, StepPerRequest time.Duration
	// ReadPerMs is the number of prompt tokens read in one ms, ChunkTokens the most that
	// one step reads.
	ReadPerMs   float64
	ChunkTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// ColdFor is how long a started engine is cold. A cold engine is ColdSlowdown times
	// slower, and falls over at more than ColdPerSecond requests in one second (0 for no
	// limit).
	ColdFor       time.Duration
	ColdSlowdown  float64
	ColdPerSecond int
	// ReportLag is the age of reports, EventLag that of cache events. Every EventGap-th
	// cache event is lost; 0 loses none.
	ReportLag, EventLag time.Duration
	EventGap            int
}

// Typical returns an engine with a usual speed for a large model on one accelerator.
func Typical() Options {
	return Options{
		Slots: 64, QueueLength: 64, MemoryTokens: 218_000,
		Step: 3400 * time.Microsecond, StepPerRequest: 100 * time.Microsecond,
		ReadPerMs: 44, ChunkTokens: 2_048, TokensPerEvent: 6, ColdSlowdown: 2,
		ReportLag: 200 * time.Millisecond, EventLag: 100 * time.Millisecond,
	}
}

// Request is a request to the engine.
type Request struct {
	ID    uint64
	Parts []Part
	// Output is the number of tokens that the engine makes.
	Output int
}

func (r *Request) promptTokens() (n int) {
	for _, p := range r.Parts {
		n += p.Tokens
	}
	return n
}

// EventKind says what happened to a request.
type EventKind uint8

// Kinds of events.
const (
	// Produced means that the tokens of one stream event are complete.
	Produced EventKind = iota + 1
	// Finished means that the last token was made. It follows the last Produced.
	Finished
	// Broken means that the engine fell over under the request.
	Broken
)

// Event is something that happened to a request.
type Event struct {
	ID   uint64
	Kind EventKind
	At   time.Time
	// Number counts the stream events of the request, from 1.
	Number int
}

// Engine is a model of one engine. It is not safe for concurrent use.
type Engine struct {
	o     Options
	clock time.Time
	// stepEnd is when the present step ends; zero while there is none.
	stepEnd   time.Time
	coldUntil time.Time
	arrivals  []time.Time
	queue     []*run
	running   []*run
	memory    memory
	samples   []sample
	counts    Counts
}

// Counts are totals since the model was made.
type Counts struct {
	// Read are prompt tokens read, Found those that were found kept, Again the read tokens
	// of parts that had been kept before.
	Read, Found, Again int
	Made, Preempted    int
	Falls              int
}

// run is a request in the engine.
type run struct {
	Request
	// unread are the prompt tokens left to read; after a preemption they include what was
	// made already.
	unread int
	// reading is what the present step reads.
	reading    int
	generating bool
	made       int
	// held is the memory of the request's own, beside the parts that it shares.
	held int
}

// New returns an engine that starts at a time.
func New(o Options, now time.Time) *Engine {
	o.ChunkTokens, o.TokensPerEvent = max(o.ChunkTokens, 1), max(o.TokensPerEvent, 1)
	o.ColdSlowdown = max(o.ColdSlowdown, 1)
	return &Engine{o: o, clock: now, coldUntil: now.Add(o.ColdFor), memory: newMemory(o)}
}

// TurnCold makes the engine cold from now on.
func (e *Engine) TurnCold(now time.Time) { e.coldUntil = now.Add(e.o.ColdFor) }

// Cold reports whether the engine is cold.
func (e *Engine) Cold(now time.Time) bool { return now.Before(e.coldUntil) }

// Counts returns the totals.
func (e *Engine) Counts() Counts { return e.counts }

// Add gives a request to the engine. It returns false if the engine does not take it: its
// queue is full, or the request is larger than its memory. The events are those of
// requests that break because a cold engine falls over.
func (e *Engine) Add(r Request, now time.Time) (taken bool, broken []Event) {
	e.advanceTo(now)
	if len(e.queue)+len(e.running) >= e.o.Slots+e.o.QueueLength || r.promptTokens()+r.Output > e.o.MemoryTokens {
		return false, nil
	}
	e.queue = append(e.queue, &run{Request: r})
	if e.overloadsCold(now) {
		return true, e.fall(now)
	}
	e.begin()
	return true, nil
}

// overloadsCold notes an arrival and reports whether it is too much for a cold engine.
func (e *Engine) overloadsCold(now time.Time) bool {
	if e.o.ColdPerSecond <= 0 || !e.Cold(now) {
		e.arrivals = nil
		return false
	}
	e.arrivals = append(e.arrivals, now)
	for now.Sub(e.arrivals[0]) >= time.Second {
		e.arrivals = e.arrivals[1:]
	}
	return len(e.arrivals) > e.o.ColdPerSecond
}

// fall ends all requests and starts the engine again, cold and with nothing kept.
func (e *Engine) fall(now time.Time) (broken []Event) {
	for _, r := range slices.Concat(e.running, e.queue) {
		broken = append(broken, Event{ID: r.ID, Kind: Broken, At: now, Number: r.made / e.o.TokensPerEvent})
	}
	e.counts.Falls++
	e.running, e.queue, e.arrivals = nil, nil, nil
	e.stepEnd = time.Time{}
	e.memory.clear(now)
	e.TurnCold(now)
	return broken
}

// Remove withdraws a request whose caller has left.
func (e *Engine) Remove(id uint64, now time.Time) {
	e.advanceTo(now)
	is := func(r *run) bool { return r.ID == id }
	e.queue = slices.DeleteFunc(e.queue, is)
	for i, r := range e.running {
		if r.ID == id {
			e.memory.release(r, now)
			e.running = slices.Delete(e.running, i, i+1)
			return
		}
	}
}

// Next returns when the present step ends. ok is false while the engine has no work.
func (e *Engine) Next() (at time.Time, ok bool) { return e.stepEnd, !e.stepEnd.IsZero() }

// Advance runs all steps that end until now and returns what happened, in order.
func (e *Engine) Advance(now time.Time) (events []Event) {
	for !e.stepEnd.IsZero() && !e.stepEnd.After(now) {
		e.advanceTo(e.stepEnd)
		events = append(events, e.endStep()...)
		e.begin()
	}
	e.advanceTo(now)
	return events
}

func (e *Engine) advanceTo(now time.Time) {
	if now.After(e.clock) {
		e.clock = now
	}
}

// begin starts a step if there is work and none is under way.
func (e *Engine) begin() {
	if !e.stepEnd.IsZero() {
		return
	}
	e.takeFromQueue()
	e.sample()
	if len(e.running) == 0 {
		return
	}
	room, generating := e.o.ChunkTokens, 0
	for _, r := range e.running {
		r.generating = r.unread == 0
		if r.generating {
			generating++
		}
		r.reading = min(r.unread, room)
		room -= r.reading
	}
	read := float64(e.o.ChunkTokens-room) / e.o.ReadPerMs * float64(time.Millisecond)
	d := e.o.Step + time.Duration(generating)*e.o.StepPerRequest + time.Duration(read)
	if e.Cold(e.clock) {
		d = time.Duration(float64(d) * e.o.ColdSlowdown)
	}
	e.stepEnd = e.clock.Add(d)
}

// takeFromQueue lets requests run in the order of arrival while there are slots and
// memory.
func (e *Engine) takeFromQueue() {
	for len(e.queue) > 0 && len(e.running) < e.o.Slots {
		r := e.queue[0]
		missing, ok := e.memory.take(r, e.clock)
		if !ok {
			return
		}
		e.counts.Found += r.promptTokens() - missing.tokens
		e.counts.Again += missing.again
		r.unread = missing.tokens + r.made
		e.queue = e.queue[1:]
		e.running = append(e.running, r)
	}
}

// endStep accounts for the present step.
func (e *Engine) endStep() (events []Event) {
	e.stepEnd = time.Time{}
	for _, r := range slices.Clone(e.running) {
		if !slices.Contains(e.running, r) {
			// Another request's token has taken its memory.
			continue
		}
		e.counts.Read += r.reading
		r.unread -= r.reading
		if r.generating || r.reading > 0 && r.unread == 0 {
			events = append(events, e.makeToken(r)...)
		}
	}
	return events
}

// makeToken makes one token of a request, for which the newest other one may have to
// yield.
func (e *Engine) makeToken(r *run) (events []Event) {
	for !e.memory.grow(r, e.clock) {
		newest := e.running[len(e.running)-1]
		e.preempt(newest)
		if newest == r {
			return nil
		}
	}
	r.made++
	e.counts.Made++
	done := r.made >= r.Output
	if r.made%e.o.TokensPerEvent == 0 || done {
		number := (r.made + e.o.TokensPerEvent - 1) / e.o.TokensPerEvent
		events = append(events, Event{ID: r.ID, Kind: Produced, At: e.clock, Number: number})
	}
	if done {
		e.memory.release(r, e.clock)
		e.running = slices.DeleteFunc(e.running, func(x *run) bool { return x == r })
		events = append(events, Event{ID: r.ID, Kind: Finished, At: e.clock, Number: (r.made + e.o.TokensPerEvent - 1) / e.o.TokensPerEvent})
	}
	return events
}

// preempt puts a running request back to the front of the queue. Its prompt and what it
// has made are read again.
func (e *Engine) preempt(r *run) {
	e.counts.Preempted++
	e.memory.release(r, e.clock)
	e.running = slices.DeleteFunc(e.running, func(x *run) bool { return x == r })
	e.queue = slices.Insert(e.queue, 0, r)
}

// Report is what an engine tells of itself.
type Report struct {
	Running, Waiting int
	// UsedTokens is the memory of running requests.
	UsedTokens int
}

type sample struct {
	Report
	at time.Time
}

// sample keeps a report for the time when it may be seen.
func (e *Engine) sample() {
	e.samples = append(e.samples, sample{Report{len(e.running), len(e.queue), e.memory.held}, e.clock})
	for len(e.samples) > 1 && e.clock.Sub(e.samples[1].at) >= e.o.ReportLag {
		e.samples = e.samples[1:]
	}
}

// Report returns the report that may be seen now, which is as old as the lag.
func (e *Engine) Report(now time.Time) Report {
	var r Report
	for _, s := range e.samples {
		if now.Sub(s.at) >= e.o.ReportLag {
			r = s.Report
		}
	}
	return r
}

// CacheEvents returns the published changes of what is kept, with numbers above since.
func (e *Engine) CacheEvents(since int, now time.Time) []CacheEvent {
	return e.memory.published(since, now)
}
