package dispatch

import "time"

// AskID identifies a request for admission over all hosts.
type AskID struct {
	Host string
	Seq  uint64
}

// Ask is a request for admission to one engine.
type Ask struct {
	ID AskID
	// Parts describe the prompt; without them Tokens is all that the engine reads.
	Parts  []Part
	Tokens int
	// Aim is when the first event should be delivered, End when it has no use any more.
	Aim, End time.Time
	// Rank says how the request stands to its account's share.
	Rank Rank
}

// Verdict is the answer to an Ask.
type Verdict struct {
	// Granted lets the request be sent now; Queued means that a grant may follow. Neither
	// means that the request was refused.
	Granted, Queued bool
	// Wait is the expected time until the first event.
	Wait time.Duration
}

// Parameters of a gate.
const (
	// maxReading is the number of prompt tokens under way above which the next prompt
	// waits, unless the engine reads nothing. It is about one step of an engine: what is
	// sent earlier lengthens the steps of all running streams and can't be taken back.
	maxReading = 4_000
	// maxWaiting bounds the queue of one gate.
	maxWaiting = 1_024
	// lostAfter is when an admitted request without any news is dropped; its host has died
	// or its messages were lost.
	lostAfter = 15 * time.Second
)

// aimShare is the part of the time to the aim that an accepted prompt may be expected to
// take. The rest covers what the estimate does not see. Requests beyond their account's
// share fill idle engines and never delay others for long.
var aimShare = [...]float64{WithinContract: 0.85, WithinCapacity: 0.3, Excess: 0}

// Gate admits requests to one engine. It paces the prompts, so that what waits, waits here
// in the order of its aims, and refuses at once what would come too late. It answers loads
// in which prompts arrive faster than the engine reads them.
type Gate struct {
	speed *Speedometer
	cache *partCache
	slots int
	// running holds the admitted requests.
	running map[AskID]*admitted
	// reading are the prompt tokens under way.
	reading int
	// since is when the engine began to read what is under way.
	since   time.Time
	waiting []waitingAsk
}

type admitted struct {
	tokens  int
	reading bool
	at      time.Time
	// ahead are the tokens that were under way, this request included.
	ahead int
}

type waitingAsk struct {
	Ask
	tokens int
	// late requests came after their aim and wait until their end.
	late bool
}

// NewGate returns the gate of an engine with a number of slots and tokens of memory.
func NewGate(slots, memory int, speed *Speedometer) *Gate {
	return &Gate{speed: speed, cache: newPartCache(memory), slots: slots, running: map[AskID]*admitted{}}
}

// Ask decides about a request.
func (g *Gate) Ask(a Ask, now time.Time) Verdict {
	if v, known := g.known(a.ID, now); known {
		return v
	}
	tokens := g.tokens(a, now)
	wait := g.expected(a, tokens, now)
	late := a.Aim.Before(now)
	if late {
		// A request that comes back after a refusal may be late already. It is served while
		// nobody waits for an aim that can still be met.
		a.Aim = now.Add(lateAim)
	}
	if wait > time.Duration(aimShare[a.Rank]*float64(a.Aim.Sub(now))) && !g.idle() || len(g.waiting) >= maxWaiting {
		return Verdict{Wait: wait}
	}
	if len(g.waiting) == 0 && g.room(tokens) {
		g.admit(a, tokens, now)
		return Verdict{Granted: true, Wait: wait}
	}
	g.enqueue(waitingAsk{a, tokens, late})
	return Verdict{Queued: true, Wait: wait}
}

// known answers a repeated ask.
func (g *Gate) known(id AskID, now time.Time) (Verdict, bool) {
	if g.running[id] != nil {
		return Verdict{Granted: true}, true
	}
	for _, w := range g.waiting {
		if w.ID == id {
			return Verdict{Queued: true, Wait: g.expected(w.Ask, w.tokens, now)}, true
		}
	}
	return Verdict{}, false
}

// lateAim is the aim of a request whose own has passed.
const lateAim = 300 * time.Millisecond

func (g *Gate) idle() bool { return g.reading == 0 && len(g.waiting) == 0 }

// tokens estimates what the engine has to read.
func (g *Gate) tokens(a Ask, now time.Time) int {
	if len(a.Parts) == 0 {
		return max(a.Tokens, 1)
	}
	return max(g.cache.missing(a.Parts, now), 1)
}

// expected is the time until the first event: what is under way, what waits with an
// earlier aim, and the request itself.
func (g *Gate) expected(a Ask, tokens int, now time.Time) time.Duration {
	ahead := g.left(now) + tokens
	for _, w := range g.waiting {
		if w.Rank < a.Rank || w.Rank == a.Rank && !w.Aim.After(a.Aim) {
			ahead += w.tokens
		}
	}
	return g.speed.time(ahead)
}

// left estimates the tokens under way that are not read yet.
func (g *Gate) left(now time.Time) int {
	if g.reading == 0 {
		return 0
	}
	return max(g.reading-g.speed.tokens(now.Sub(g.since)), 0)
}

func (g *Gate) room(tokens int) bool {
	return (g.reading == 0 || g.reading+tokens <= maxReading) && (g.slots <= 0 || len(g.running) < g.slots)
}

// enqueue keeps the queue in order of ranks, then of aims.
func (g *Gate) enqueue(w waitingAsk) {
	at := len(g.waiting)
	for at > 0 && before(w, g.waiting[at-1]) {
		at--
	}
	g.waiting = append(g.waiting, waitingAsk{})
	copy(g.waiting[at+1:], g.waiting[at:])
	g.waiting[at] = w
}

func before(a, b waitingAsk) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.Aim.Before(b.Aim)
}

func (g *Gate) admit(a Ask, tokens int, now time.Time) {
	if g.reading == 0 {
		g.since = now
	}
	g.reading += tokens
	g.running[a.ID] = &admitted{tokens: tokens, reading: true, at: now, ahead: g.left(now)}
	g.cache.use(a.Parts, now)
}

// Adopt takes over a request that another owner of the gate has admitted.
func (g *Gate) Adopt(a Ask, read bool, now time.Time) {
	if g.running[a.ID] != nil {
		return
	}
	g.admit(a, g.tokens(a, now), now)
	if read {
		g.read(g.running[a.ID], now)
	}
}

// FirstEvent notes that the engine has read the prompt of a request.
func (g *Gate) FirstEvent(id AskID, now time.Time) {
	r := g.running[id]
	if r == nil || !r.reading {
		return
	}
	g.speed.learn(r.ahead, now.Sub(r.at))
	g.read(r, now)
}

func (g *Gate) read(r *admitted, now time.Time) {
	r.reading = false
	g.reading -= r.tokens
	g.since = now
}

// Done ends a request, admitted or waiting.
func (g *Gate) Done(id AskID, now time.Time) {
	if r := g.running[id]; r != nil {
		if r.reading {
			g.read(r, now)
		}
		delete(g.running, id)
		return
	}
	for i, w := range g.waiting {
		if w.ID == id {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			return
		}
	}
}

// Expire removes the waiting requests that can't have their first event in time any more,
// because others with an earlier aim came after them, and returns their ids. To keep them
// longer would only delay the answer that they come back with.
func (g *Gate) Expire(now time.Time) (refused []AskID) {
	ahead := g.left(now)
	kept := g.waiting[:0]
	for _, w := range g.waiting {
		if w.late || !now.Add(g.speed.time(ahead+w.tokens)).After(w.Aim) {
			ahead += w.tokens
			kept = append(kept, w)
			continue
		}
		refused = append(refused, w.ID)
	}
	g.waiting = kept
	return refused
}

// Next admits what has room now and returns the ids. Requests whose end has passed are
// returned as refused.
func (g *Gate) Next(now time.Time) (granted, refused []AskID) {
	for len(g.waiting) > 0 {
		w := g.waiting[0]
		if w.End.Before(now) {
			g.waiting = g.waiting[1:]
			refused = append(refused, w.ID)
			continue
		}
		// What this engine has read since the request came may be among its parts.
		w.tokens = g.tokens(w.Ask, now)
		if !g.room(w.tokens) {
			return granted, refused
		}
		g.waiting = g.waiting[1:]
		g.admit(w.Ask, w.tokens, now)
		granted = append(granted, w.ID)
	}
	return granted, refused
}

// Sweep drops admitted requests of which nothing was heard for long.
func (g *Gate) Sweep(now time.Time) {
	for id, r := range g.running {
		if now.Sub(r.at) > lostAfter {
			g.Done(id, now)
		}
	}
}

// Backlog returns the tokens under way and waiting, and the number of requests admitted.
func (g *Gate) Backlog(now time.Time) (tokens, running int) {
	tokens = g.left(now)
	for _, w := range g.waiting {
		tokens += w.tokens
	}
	return tokens, len(g.running)
}

// Speedometer learns the speed at which the engines of a service read prompts.
type Speedometer struct {
	// perMs is the speed in tokens per ms.
	perMs float64
}

const (
	// minSample is the least number of tokens whose time says something about the speed:
	// below it the round trip and the engine's step weigh too much.
	minSample = 3_000
	// sampleWeight is the weight of a new sample in the mean.
	sampleWeight = 0.05
	minSpeed     = 1.0
	maxSpeed     = 5_000.0
)

// NewSpeedometer returns a Speedometer with a usual speed.
func NewSpeedometer() *Speedometer { return &Speedometer{perMs: readTokensPerMs} }

func (s *Speedometer) learn(tokens int, took time.Duration) {
	if tokens < minSample || took <= 0 {
		return
	}
	v := min(max(float64(tokens)/(took.Seconds()*1000), minSpeed), maxSpeed)
	// A sample far off the mean saw work that the gate does not know of, or less of it.
	v = min(max(v, s.perMs/2), s.perMs*2)
	s.perMs += sampleWeight * (v - s.perMs)
}

func (s *Speedometer) time(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.perMs * float64(time.Millisecond))
}

// PerMs returns the speed in tokens per ms.
func (s *Speedometer) PerMs() float64 { return s.perMs }

func (s *Speedometer) tokens(d time.Duration) int {
	return int(d.Seconds() * 1000 * s.perMs)
}

// partCache estimates which prompt parts an engine keeps: the ones used last, within a
// part of its memory.
type partCache struct {
	capacity, used int
	parts          map[uint64]*cachedPart
}

type cachedPart struct {
	tokens int
	last   time.Time
}

// cachePercent is the part of an engine's memory that kept parts are expected to have
// beside running requests.
const cachePercent = 40

func newPartCache(memory int) *partCache {
	return &partCache{capacity: memory * cachePercent / 100, parts: map[uint64]*cachedPart{}}
}

// missing returns the tokens of a prompt that are not kept. A part counts only if all
// parts before it are kept.
func (c *partCache) missing(parts []Part, now time.Time) int {
	tokens, kept := 0, true
	for i, p := range parts {
		kept = kept && i < len(parts)-1 && c.parts[p.ID] != nil
		if !kept {
			tokens += p.Tokens
		}
	}
	return tokens
}

// use notes that a prompt is read. Its own last part is not kept for others.
func (c *partCache) use(parts []Part, now time.Time) {
	for i := range max(len(parts)-1, 0) {
		p := c.parts[parts[i].ID]
		if p == nil {
			p = &cachedPart{tokens: parts[i].Tokens}
			c.parts[parts[i].ID] = p
			c.used += p.tokens
		}
		p.last = now
	}
	for c.used > c.capacity && len(c.parts) > 1 {
		c.evict()
	}
}

func (c *partCache) evict() {
	var oldest uint64
	var at time.Time
	for id, p := range c.parts {
		if at.IsZero() || p.last.Before(at) {
			oldest, at = id, p.last
		}
	}
	c.used -= c.parts[oldest].tokens
	delete(c.parts, oldest)
}
