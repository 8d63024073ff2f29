package dispatch

import (
	"math"
	"time"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/rendezvous"
)

// keptFor is how long an engine is expected to keep a prompt part after its last use.
const keptFor = 10 * time.Second

// maxKnownParts bounds the parts remembered for one instance.
const maxKnownParts = 4_096

// instance is what this host knows of one upstream instance.
type instance struct {
	catalog.Instance
	// hash identifies the instance in rendezvous hashing.
	hash      uint64
	gone      bool
	coldUntil time.Time
	cold      bucket
	// running counts the requests of this host; reading are the prompt tokens of those
	// that have not had their first event.
	running, reading int
	report           report
	failing          decaying
	suspectUntil     time.Time
	suspicions       int
	// gate is what the owner of the engine's gate told last; asked are the prompt tokens
	// that this host has sent there since.
	gate  gateView
	asked int
	// parts maps a prompt part to its last use by this host.
	parts map[uint64]time.Time
}

func newInstance(i catalog.Instance, now time.Time) *instance {
	return &instance{Instance: i, hash: rendezvous.Hash(i.ID), parts: map[uint64]time.Time{}, cold: bucket{tokens: 1, at: now}}
}

// gateView is the load of an engine as the owner of its gate told it.
type gateView struct {
	GateLoad
	at time.Time
}

// speed is the speed in tokens per ms at which the engine reads prompts.
func (x *instance) speed() float64 {
	if x.gate.PerMs > 0 {
		return x.gate.PerMs
	}
	return readTokensPerMs
}

// report is the load that an instance has told with an answer.
type report struct {
	running, waiting int
	at               time.Time
}

func (r report) fresh(now time.Time) bool { return !r.at.IsZero() && now.Sub(r.at) < reportMaxAge }

// missing returns the prompt tokens that the instance has to read. Shared parts are
// expected at the home instance, and where this host has sent them lately.
func (x *instance) missing(j *Job, home bool, now time.Time) int {
	if len(j.Parts) == 0 {
		return j.InputTokens
	}
	tokens, kept := 0, true
	for i, p := range j.Parts {
		at, sent := x.parts[p.ID]
		kept = kept && i < len(j.Parts)-1 && (home || sent && now.Sub(at) < keptFor)
		if !kept {
			tokens += p.Tokens
		}
	}
	return tokens
}

// place counts a job at the instance.
func (x *instance) place(j *Job, home bool, now time.Time) *Placement {
	p := &Placement{x: x, Instance: x.Instance, reading: x.missing(j, home, now)}
	x.running++
	x.reading += p.reading
	x.asked += p.reading
	if len(x.parts) > maxKnownParts {
		clear(x.parts)
	}
	for i := range max(len(j.Parts)-1, 0) {
		x.parts[j.Parts[i].ID] = now
	}
	return p
}

// Placement is a job that was given to an instance.
type Placement struct {
	Instance catalog.Instance
	x        *instance
	reading  int
	done     bool
}

// FirstEvent notes that the engine has read the prompt.
func (p *Placement) FirstEvent() {
	p.x.reading -= p.reading
	p.reading = 0
}

// Outcome is how a placement ended.
type Outcome uint8

// Outcomes of placements.
const (
	// Answered means that the instance gave its whole answer, whatever it said.
	Answered Outcome = iota + 1
	// Failed means that the instance answered with a failure of its own or broke off.
	Failed
	// Unreachable means that the instance could not be connected to.
	Unreachable
	// Refused means that the instance provably did not run the request.
	Refused
	// Withdrawn means that the caller left or the time was up.
	Withdrawn
)

// Limits of the time for which an unreachable instance is avoided.
const (
	minSuspicion = 250 * time.Millisecond
	maxSuspicion = 4 * time.Second
)

// Done ends the placement. Further calls do nothing.
func (p *Placement) Done(o Outcome, now time.Time) {
	if p.done {
		return
	}
	p.done = true
	p.FirstEvent()
	x := p.x
	x.running--
	switch o {
	case Answered:
		x.failing.add(0, now)
		x.suspicions, x.suspectUntil = 0, time.Time{}
	case Failed:
		x.failing.add(1, now)
	case Unreachable:
		x.suspectUntil = now.Add(min(minSuspicion<<min(x.suspicions, 8), maxSuspicion))
		x.suspicions++
	case Refused, Withdrawn:
	}
}

// Report takes the load that the instance told with an answer.
func (p *Placement) Report(running, waiting int, now time.Time) {
	p.x.report = report{running: running, waiting: waiting, at: now}
}

// decaying is a mean of results that forgets old ones.
type decaying struct {
	sum, weight float64
	at          time.Time
}

// meanLife is the time in which the weight of a result falls to 1/e.
const meanLife = 4 * time.Second

func (d *decaying) decay(now time.Time) {
	if f := math.Exp(-now.Sub(d.at).Seconds() / meanLife.Seconds()); !d.at.IsZero() {
		d.sum *= f
		d.weight *= f
	}
	d.at = now
}

func (d *decaying) add(v float64, now time.Time) {
	d.decay(now)
	d.sum += v
	d.weight++
}

// value is the mean; a few successes are assumed, so that one failure does not condemn.
func (d *decaying) value(now time.Time) float64 {
	d.decay(now)
	return d.sum / (d.weight + 2)
}
