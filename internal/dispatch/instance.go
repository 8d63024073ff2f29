package dispatch

import (
	"time"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/rendezvous"
	"marigoldshunt/internal/routing"
)

// partLifetime is how long an engine is expected to cache a prompt part after its last
// use.
const partLifetime = 10 * time.Second

// maxTrackedParts bounds the prompt parts tracked for one instance.
const maxTrackedParts = 4_096

// instance is this host's view of one upstream instance.
type instance struct {
	catalog.Instance
	// hash identifies the instance in rendezvous hashing.
	hash     uint64
	replaced bool
	// pausedUntil is until when the instance wants no requests of this host.
	pausedUntil time.Time
	// leaving is true once the instance has said in a response that it is about to stop.
	leaving    bool
	coldUntil  time.Time
	coldBucket bucket
	// unreachableAt is when this host last failed to connect, zero once the instance has answered since.
	// mayBeColdUntil is until when it may be cold, because it may have started again.
	unreachableAt, mayBeColdUntil time.Time
	// running counts the requests of this host; readingTokens counts the prompt tokens of
	// those that have not had their first event.
	running, readingTokens int
	report                 report
	// rateLimit is the number of requests per second that the instance last said it takes from
	// all hosts; 0 means no limit.
	rateLimit float64
	// results are the latest results of this host's requests; a failure counts 1.
	results         decayingMean
	suspectUntil    time.Time
	connectFailures int
	// gate is the load that the owner of the engine's gate reported last; sentSinceReport
	// counts the prompt tokens that this host has sent to the engine since.
	gate            gateView
	sentSinceReport int
	// partLastUsed maps a prompt part to its last use by this host.
	partLastUsed map[uint64]time.Time
}

func newInstance(i catalog.Instance, now time.Time) *instance {
	return &instance{Instance: i, hash: rendezvous.Hash(i.ID), partLastUsed: map[uint64]time.Time{}, coldBucket: bucket{tokens: 1, at: now}}
}

// gateView is the load of an engine as reported by the owner of its gate.
type gateView struct {
	GateLoad
	at time.Time
}

// speed returns the speed in tokens per ms at which the engine reads prompts.
func (x *instance) speed() float64 {
	if x.gate.PerMs > 0 {
		return x.gate.PerMs
	}
	return readTokensPerMs
}

// report is the load that an instance reported with a response.
type report struct {
	running, waiting int
	at               time.Time
}

func (r report) fresh(now time.Time) bool { return !r.at.IsZero() && now.Sub(r.at) < reportMaxAge }

// uncachedTokens returns the prompt tokens that the instance is expected to read. Shared
// parts are expected to be cached at the preferred instance, and where this host has sent
// them recently.
func (x *instance) uncachedTokens(j *Job, preferred bool, now time.Time) int {
	if len(j.Parts) == 0 {
		return j.InputTokens
	}
	tokens, cached := 0, true
	for i, p := range j.Parts {
		at, sent := x.partLastUsed[p.ID]
		cached = cached && i < len(j.Parts)-1 && (preferred || sent && now.Sub(at) < partLifetime)
		if !cached {
			tokens += p.Tokens
		}
	}
	return tokens
}

// place counts a job of a service at the instance.
func (x *instance) place(s *routing.Service, j *Job, preferred bool, now time.Time) *Placement {
	p := &Placement{target: x, Instance: x.Instance, RateLimit: x.rateLimitOf(s, now), placedAt: now, warmUpTime: s.WarmUpTime, readingTokens: x.uncachedTokens(j, preferred, now)}
	p.Instance.Service = j.Service // the upstream may serve others too
	x.running++
	x.readingTokens += p.readingTokens
	x.sentSinceReport += p.readingTokens
	if len(x.partLastUsed) > maxTrackedParts {
		clear(x.partLastUsed)
	}
	for i := range max(len(j.Parts)-1, 0) {
		x.partLastUsed[j.Parts[i].ID] = now
	}
	return p
}

// Placement is a job that was assigned to an instance.
type Placement struct {
	Instance catalog.Instance
	// RateLimit is the number of requests per second that the instance takes from all hosts, as
	// this host knew it at the choice; 0 means no limit.
	RateLimit     float64
	target        *instance
	placedAt      time.Time
	warmUpTime    time.Duration
	readingTokens int
	done          bool
}

// FirstEvent records that the engine has read the prompt.
func (p *Placement) FirstEvent() {
	p.target.readingTokens -= p.readingTokens
	p.readingTokens = 0
}

// Outcome is how a placement ended.
type Outcome uint8

// Outcomes of placements.
const (
	// Answered means that the instance sent its whole response, whatever the content.
	Answered Outcome = iota + 1
	// Failed means that the instance responded with a failure of its own, or that its
	// response broke off.
	Failed
	// Unreachable means that the instance could not be connected to.
	Unreachable
	// Refused means that the instance provably did not run the request.
	Refused
	// Cancelled means that the caller disconnected or the request's time ran out.
	Cancelled
)

// Limits of the time for which an unreachable instance counts as suspect and is avoided.
const (
	minSuspectTime = 250 * time.Millisecond
	maxSuspectTime = 4 * time.Second
)

// Done ends the placement. Further calls do nothing.
func (p *Placement) Done(o Outcome, now time.Time) {
	if p.done {
		return
	}
	p.done = true
	p.FirstEvent()
	x := p.target
	x.running--
	switch o {
	case Answered:
		x.results.add(0, now)
		x.connectFailures, x.suspectUntil = 0, time.Time{}
		x.answered(p, now)
	case Failed:
		x.results.add(1, now)
	case Unreachable:
		x.suspectUntil = now.Add(min(minSuspectTime<<min(x.connectFailures, 8), maxSuspectTime))
		x.connectFailures++
		x.unreachableAt, x.mayBeColdUntil = now, now.Add(p.warmUpTime)
	case Refused, Cancelled:
	}
}

// answered records that the instance has answered a placement. If it could not be reached meanwhile, its process
// has either gone on running since the placement, or has started again and is cold.
func (x *instance) answered(p *Placement, now time.Time) {
	if x.unreachableAt.IsZero() {
		return
	}
	if p.placedAt.Before(x.unreachableAt) {
		x.mayBeColdUntil = time.Time{}
	} else {
		x.mayBeColdUntil = now.Add(p.warmUpTime)
		clear(x.partLastUsed)
	}
	x.unreachableAt = time.Time{}
}

// SetRateLimit records the number of requests per second that the instance says it takes from
// all hosts, 0 for no limit, and returns the number that was known before.
func (p *Placement) SetRateLimit(perSecond float64) (before float64) {
	before, p.target.rateLimit = p.target.rateLimit, perSecond
	return before
}

// MarkLeaving records that the instance says that it is about to stop, and reports whether that is
// new. It stays so until the instance is not listed any more: a restarted one has another key.
func (p *Placement) MarkLeaving() (isNew bool) {
	isNew = !p.target.leaving
	p.target.leaving = true
	return isNew
}

// maxPause bounds the time for which an instance can keep requests from itself.
const maxPause = 10 * time.Minute

// Pause records that the instance wants no requests of this host for some time.
func (p *Placement) Pause(d time.Duration, now time.Time) {
	if until := now.Add(min(d, maxPause)); until.After(p.target.pausedUntil) {
		p.target.pausedUntil = until
	}
}

// Report records the load that the instance reported with a response.
func (p *Placement) Report(running, waiting int, now time.Time) {
	p.target.report = report{running: running, waiting: waiting, at: now}
}
