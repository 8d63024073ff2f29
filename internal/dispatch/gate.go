package dispatch

import "time"

// AdmissionID identifies an admission request across all hosts.
type AdmissionID struct {
	Host string
	Seq  uint64
}

// AdmissionRequest is an admission request for one engine.
type AdmissionRequest struct {
	ID AdmissionID
	// Parts describe the prompt. Without them, Tokens is the number of prompt tokens that
	// the engine has to read.
	Parts  []Part
	Tokens int
	// FirstEventDue is the target time of the first event, Deadline the time after which
	// the event is useless.
	FirstEventDue, Deadline time.Time
	// Rank is the request's priority, which follows from its account's share.
	Rank Rank
	// CallerID is the caller's id of the request, for the log. LastAttempt is true when a
	// refusal ends the request.
	CallerID    string
	LastAttempt bool
}

// AdmissionReply is the reply to an AdmissionRequest.
type AdmissionReply struct {
	// Granted means that the request may be sent now, Queued that a grant may follow. If
	// both are false, the request was refused.
	Granted, Queued bool
	// Wait is the expected time until the first event.
	Wait time.Duration
}

// Parameters of a gate.
const (
	// maxReadingTokens bounds the prompt tokens in progress. A prompt that would exceed it
	// waits, unless the engine reads nothing. The bound is about one step of an engine:
	// prompts sent earlier lengthen the steps of all running streams and can't be recalled.
	maxReadingTokens = 4_000
	// maxWaiting bounds the queue of one gate.
	maxWaiting = 1_024
)

// maxWaitFraction is the largest expected wait of an accepted prompt, as a fraction of the
// time until its first event is due. The rest covers what the estimate does not include.
// Requests beyond their account's share are only sent to idle engines, so they never delay
// others for long.
var maxWaitFraction = [...]float64{WithinConfiguredShare: 0.85, WithinCurrentShare: 0.3, BeyondShare: 0}

// Gate is the admission queue of one engine, or of an upstream without a model engine that names
// a rate limit. It paces the prompts, so that requests wait
// here, in the order of their ranks and due times, and not at the engine. It refuses at
// once those that would be late. This handles loads in which prompts arrive faster than the
// engine reads (prefills) them.
type Gate struct {
	speed *SpeedEstimator
	cache *partCache
	slots int
	// running holds the admitted requests.
	running map[AdmissionID]*admittedRequest
	// readingTokens counts the prompt tokens in progress, which are admitted but not read.
	readingTokens int
	// readingSince is when the engine began to read the prompts in progress.
	readingSince time.Time
	// tokensRead sums the prompts whose first events were reported when they came.
	tokensRead int
	// oldestAt is when the oldest prompt in progress was admitted.
	oldestAt time.Time
	waiting  []waitingRequest
	// rateLimit is the rate of requests that the upstream takes from all hosts.
	rateLimit RateLimit
	restart   restartWatch
	// OnRefusal is called with each refused request and what decided, unless it is nil.
	OnRefusal func(AdmissionRequest, Refusal)
}

type admittedRequest struct {
	tokens  int
	reading bool
	at      time.Time
	// confirmedAt is when the request's host last said that it runs.
	confirmedAt time.Time
	// tokensToFirstEvent estimates, at admission, the prompt tokens that the engine reads
	// until this request's first event, its own included.
	tokensToFirstEvent int
	// tokensReadBefore is what the gate's tokensRead was at admission.
	tokensReadBefore int
}

type waitingRequest struct {
	AdmissionRequest
	tokens int
}

// NewGate returns the gate of an engine with a number of slots and a memory in tokens.
func NewGate(slots, memory int, speed *SpeedEstimator) *Gate {
	return &Gate{speed: speed, cache: newPartCache(memory), slots: slots, running: map[AdmissionID]*admittedRequest{}}
}

// Request grants, queues or refuses a request.
func (g *Gate) Request(r AdmissionRequest, now time.Time) AdmissionReply {
	if reply, known := g.repeatedReply(r.ID, now); known {
		return reply
	}
	tokens := g.tokensToRead(r, now)
	if g.Phase(now) == EngineUnreachable {
		return g.requestTrial(r, tokens, now)
	}
	limit := r.FirstEventDue.Sub(now)
	if limit < 0 {
		// A retry after a failed attempt may arrive after its first event was due. It must not
		// make others late, so it is queued as due at its deadline.
		r.FirstEventDue, limit = r.Deadline, maxLateWait
	}
	wait := g.expectedWait(r, tokens, now)
	limit = time.Duration(maxWaitFraction[r.Rank] * float64(limit))
	if late := wait > limit && !g.idle(now); late || len(g.waiting) >= maxWaiting {
		reason := RefusedFull
		if late {
			reason = RefusedLate
		}
		_, queued := g.queuedAhead(r)
		g.refused(r, reason, wait, queued, tokens, limit, now)
		return AdmissionReply{Wait: wait}
	}
	if len(g.waiting) == 0 && g.hasRoom(tokens, now) {
		g.admit(r, tokens, now)
		return AdmissionReply{Granted: true, Wait: wait}
	}
	g.enqueue(waitingRequest{r, tokens})
	return AdmissionReply{Queued: true, Wait: wait}
}

// repeatedReply returns the reply to a request that was received before.
func (g *Gate) repeatedReply(id AdmissionID, now time.Time) (AdmissionReply, bool) {
	if g.running[id] != nil {
		return AdmissionReply{Granted: true}, true
	}
	for _, w := range g.waiting {
		if w.ID == id {
			return AdmissionReply{Queued: true, Wait: g.expectedWait(w.AdmissionRequest, w.tokens, now)}, true
		}
	}
	return AdmissionReply{}, false
}

// maxLateWait stands for the time until the first event is due in the limit on the expected
// wait of a late request.
const maxLateWait = 300 * time.Millisecond

func (g *Gate) idle(now time.Time) bool {
	return g.readingTokens == 0 && len(g.waiting) == 0 && g.paceWait(0, now) == 0
}

// SetRateLimit sets the requests per second that the upstream takes from all hosts; 0 is no limit.
func (g *Gate) SetRateLimit(perSecond float64, now time.Time) { g.rateLimit.Set(perSecond, now) }

// tokensToRead estimates the prompt tokens that the engine has to read.
func (g *Gate) tokensToRead(r AdmissionRequest, now time.Time) int {
	if len(r.Parts) == 0 {
		return max(r.Tokens, 1)
	}
	return max(g.cache.uncachedTokens(r.Parts, now), 1)
}

// expectedWait estimates the time until the first event: to read the prompts in progress,
// the queued ones that are admitted first, and the request's own.
func (g *Gate) expectedWait(r AdmissionRequest, tokens int, now time.Time) time.Duration {
	requests, queued := g.queuedAhead(r)
	return g.firstEventIn(requests, g.unreadTokens(now)+queued, tokens, now)
}

// firstEventIn estimates the time until the first event of a request with a number of queued
// requests, and of unread tokens, before it. The rate limit passes while the engine reads. An engine
// that is late may go on being late.
func (g *Gate) firstEventIn(requestsAhead, tokensAhead, tokens int, now time.Time) time.Duration {
	return max(g.speed.readTime(tokensAhead), g.paceWait(requestsAhead, now)) + g.speed.readTime(tokens) + g.overdue(now)
}

// queuedAhead returns the number of queued requests that are admitted before a request, and
// their tokens.
func (g *Gate) queuedAhead(r AdmissionRequest) (requests, tokens int) {
	for _, w := range g.waiting {
		if w.Rank < r.Rank || w.Rank == r.Rank && !w.FirstEventDue.After(r.FirstEventDue) {
			requests++
			tokens += w.tokens
		}
	}
	return requests, tokens
}

// unreadTokens estimates the tokens in progress that are not read yet.
func (g *Gate) unreadTokens(now time.Time) int {
	if g.readingTokens == 0 {
		return 0
	}
	return max(g.readingTokens-g.speed.tokensIn(now.Sub(g.readingSince)), 0)
}

func (g *Gate) hasRoom(tokens int, now time.Time) bool {
	return g.paceWait(0, now) == 0 && (g.readingTokens == 0 || g.readingTokens+tokens <= maxReadingTokens) && (g.slots <= 0 || len(g.running) < g.slots)
}

// enqueue inserts a request in the order of ranks, then of due times.
func (g *Gate) enqueue(w waitingRequest) {
	at := len(g.waiting)
	for at > 0 && moreUrgent(w, g.waiting[at-1]) {
		at--
	}
	g.waiting = append(g.waiting, waitingRequest{})
	copy(g.waiting[at+1:], g.waiting[at:])
	g.waiting[at] = w
}

func moreUrgent(a, b waitingRequest) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.FirstEventDue.Before(b.FirstEventDue)
}

func (g *Gate) admit(r AdmissionRequest, tokens int, now time.Time) {
	if g.readingTokens == 0 {
		g.readingSince, g.oldestAt = now, now
	}
	g.takePace(now)
	g.readingTokens += tokens
	g.running[r.ID] = &admittedRequest{tokens: tokens, reading: true, at: now, confirmedAt: now, tokensToFirstEvent: g.unreadTokens(now), tokensReadBefore: g.tokensRead}
	g.cache.markUsed(r.Parts, now)
}

// FirstEvent records that the engine has read the prompt of a request.
func (g *Gate) FirstEvent(id AdmissionID, now time.Time) {
	r := g.running[id]
	if r == nil || !r.reading {
		return
	}
	g.engineRead(r.at, now)
	g.tokensRead += r.tokens
	// A prompt that was to be read before this one, and of which nothing was heard, may have been read
	// before this one was admitted. It doesn't count.
	g.speed.addSample(min(r.tokensToFirstEvent, g.tokensRead-r.tokensReadBefore), now.Sub(r.at))
	g.finishReading(r, now)
}

func (g *Gate) finishReading(r *admittedRequest, now time.Time) {
	r.reading = false
	g.readingTokens -= r.tokens
	g.readingSince = now
	g.findOldest()
}

// Done ends a request, admitted or waiting.
func (g *Gate) Done(id AdmissionID, now time.Time) {
	if r := g.running[id]; r != nil {
		if r.reading {
			g.finishReading(r, now)
		}
		delete(g.running, id)
		return
	}
	g.stopWaiting(id)
}

func (g *Gate) stopWaiting(id AdmissionID) {
	for i, w := range g.waiting {
		if w.ID == id {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			return
		}
	}
}

// RefuseLate removes the waiting requests that can't have their first event in time any
// more, because more urgent ones arrived after them or the engine is slower than estimated,
// and returns their IDs. Keeping them longer would only delay their refusal.
func (g *Gate) RefuseLate(now time.Time) (refused []AdmissionID) {
	unread := g.unreadTokens(now)
	ahead := unread
	kept := g.waiting[:0]
	for _, w := range g.waiting {
		wait := g.firstEventIn(len(kept), ahead, w.tokens, now)
		if !now.Add(wait).After(w.FirstEventDue) {
			ahead += w.tokens
			kept = append(kept, w)
			continue
		}
		refused = append(refused, w.ID)
		g.refused(w.AdmissionRequest, RefusedFromQueue, wait, ahead-unread, w.tokens, w.FirstEventDue.Sub(now), now)
	}
	g.waiting = kept
	return refused
}

// AdmitWaiting admits the waiting requests that have room now and returns their IDs.
// Requests whose deadline has passed are returned as refused.
func (g *Gate) AdmitWaiting(now time.Time) (granted, refused []AdmissionID) {
	for len(g.waiting) > 0 {
		w := g.waiting[0]
		if w.Deadline.Before(now) {
			g.waiting = g.waiting[1:]
			refused = append(refused, w.ID)
			g.refused(w.AdmissionRequest, RefusedPastDeadline, g.expectedWait(w.AdmissionRequest, w.tokens, now), 0, w.tokens, w.Deadline.Sub(now), now)
			continue
		}
		// The engine may have read parts of this prompt for others since the request
		// arrived.
		w.tokens = g.tokensToRead(w.AdmissionRequest, now)
		if !g.hasRoom(w.tokens, now) {
			return granted, refused
		}
		g.waiting = g.waiting[1:]
		g.admit(w.AdmissionRequest, w.tokens, now)
		granted = append(granted, w.ID)
	}
	return granted, refused
}

// Backlog returns the prompt tokens in progress and queued, and the number of admitted
// requests. The wait for the limits on its rate, and how late the engine is, count as the tokens that it reads
// in that time, so that other upstreams are preferred.
func (g *Gate) Backlog(now time.Time) (tokens, running int) {
	if g.Phase(now) == EngineUnreachable && now.Before(g.restart.trialAt) {
		return g.speed.tokensIn(unreachableBacklog), len(g.running) // hosts that see less send the next trial
	}
	tokens = g.unreadTokens(now) + g.speed.tokensIn(g.overdue(now))
	for _, w := range g.waiting {
		tokens += w.tokens
	}
	return max(tokens, g.speed.tokensIn(g.paceWait(len(g.waiting), now))), len(g.running)
}

// SpeedEstimator estimates the speed at which the engines of a service read prompts.
type SpeedEstimator struct {
	// perMs is the speed in tokens per ms.
	perMs float64
}

const (
	// minSampleTokens is the smallest sample that counts. With fewer tokens, the round
	// trip and the engine's step are too large a fraction of the time.
	minSampleTokens = 3_000
	// sampleWeight is the weight of a new sample in the mean.
	sampleWeight   = 0.05
	minTokensPerMs = 1.0
	maxTokensPerMs = 5_000.0
)

// NewSpeedEstimator returns a SpeedEstimator that starts at readTokensPerMs.
func NewSpeedEstimator() *SpeedEstimator { return &SpeedEstimator{perMs: readTokensPerMs} }

func (s *SpeedEstimator) addSample(tokens int, took time.Duration) {
	if tokens < minSampleTokens || took <= 0 {
		return
	}
	v := min(max(float64(tokens)/(took.Seconds()*1000), minTokensPerMs), maxTokensPerMs)
	// A sample far off the mean includes work that the gate does not know of, or lacks
	// work that it counted.
	v = min(max(v, s.perMs/2), s.perMs*2)
	s.perMs += sampleWeight * (v - s.perMs)
}

func (s *SpeedEstimator) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.perMs * float64(time.Millisecond))
}

// PerMs returns the speed in tokens per ms.
func (s *SpeedEstimator) PerMs() float64 { return s.perMs }

func (s *SpeedEstimator) tokensIn(d time.Duration) int {
	return int(d.Seconds() * 1000 * s.perMs)
}

// partCache estimates which prompt parts an engine has cached: the most recently used
// ones, within partCachePercent of its memory.
type partCache struct {
	maxTokens, usedTokens int
	parts                 map[uint64]*cachedPart
}

type cachedPart struct {
	tokens   int
	lastUsed time.Time
}

// partCachePercent is the percentage of an engine's memory that cached prompt parts are
// expected to have; running requests use the rest.
const partCachePercent = 40

// Callers name the parts and their tokens, so that tokens alone don't bound the memory of a
// partCache: it holds at most maxCachedParts, of each prompt the first maxPartsOfPrompt.
const (
	maxCachedParts   = 2_048
	maxPartsOfPrompt = 64
)

func newPartCache(memory int) *partCache {
	return &partCache{maxTokens: memory * partCachePercent / 100, parts: map[uint64]*cachedPart{}}
}

// uncachedTokens returns the tokens of a prompt that are not cached. A part counts as
// cached only if all parts before it are.
func (c *partCache) uncachedTokens(parts []Part, now time.Time) int {
	tokens, cached := 0, true
	for i, p := range parts {
		cached = cached && i < len(parts)-1 && c.parts[p.ID] != nil
		if !cached {
			tokens += p.Tokens
		}
	}
	return tokens
}

// markUsed records that a prompt is read. Its last part belongs to one request and is not
// cached for others.
func (c *partCache) markUsed(parts []Part, now time.Time) {
	for i := range min(max(len(parts)-1, 0), maxPartsOfPrompt) {
		p := c.parts[parts[i].ID]
		if p == nil {
			p = &cachedPart{tokens: parts[i].Tokens}
			c.parts[parts[i].ID] = p
			c.usedTokens += p.tokens
		}
		p.lastUsed = now
	}
	for (c.usedTokens > c.maxTokens || len(c.parts) > maxCachedParts) && len(c.parts) > 1 {
		c.evict()
	}
}

func (c *partCache) clear() {
	clear(c.parts)
	c.usedTokens = 0
}

func (c *partCache) evict() {
	var oldest uint64
	var at time.Time
	for id, p := range c.parts {
		if at.IsZero() || p.lastUsed.Before(at) {
			oldest, at = id, p.lastUsed
		}
	}
	c.usedTokens -= c.parts[oldest].tokens
	delete(c.parts, oldest)
}
