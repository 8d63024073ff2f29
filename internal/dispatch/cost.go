package dispatch

import (
	"time"

	"marigoldshunt/internal/routing"
)

// Parameters of the cost in ms.
const (
	// readTokensPerMs is the speed at which engines read prompts when nothing else is
	// known, typical of a 70B model on one accelerator.
	readTokensPerMs = 40.0
	// slotHoldMs is the assumed time for which a running request holds its slot, used to
	// compare queues.
	slotHoldMs = 50.0
	// crossDataCentreMs is added for an instance in another data centre, and
	// crossDataCentreMsPerKB for each KB of request and response sent there and back.
	crossDataCentreMs      = 5.0
	crossDataCentreMsPerKB = 20.0
	// failurePenaltyMs is added for an instance whose responses all fail, and in proportion to
	// the square of a lower failure rate: the few failures that all instances have must not
	// leave slots free while requests wait elsewhere. A quarter of it exceeds the cost of
	// reading a long prompt's shared parts again.
	failurePenaltyMs = 8_000.0
	// rereadMsPerToken is added for each shared token that has to be read again. It
	// stands for the time, and for the memory that another copy takes from other parts.
	rereadMsPerToken = 0.2
	// latePenaltyMs is added if the first event is expected after lateFraction of its
	// objective.
	latePenaltyMs = 2_000.0
	lateFraction  = 0.8
	// suspectPenaltyMs ranks an instance that was unreachable recently behind all others.
	suspectPenaltyMs = 60_000.0
	// reportMaxAge is the age after which a load reported by an instance is ignored.
	reportMaxAge = 400 * time.Millisecond
)

// cost estimates the time in ms until the instance would respond, plus penalties.
func (d *Dispatcher) cost(s *routing.Service, j *Job, x *instance, preferred bool, now time.Time) float64 {
	rate := d.failureRate(x, now)
	c := rate * rate * failurePenaltyMs
	if now.Before(x.suspectUntil) {
		c += suspectPenaltyMs
	}
	if x.DataCentre != d.opts.DataCentre {
		c += crossDataCentreMs + crossDataCentreMsPerKB*float64(j.Bytes)/1000
	}
	if s.Engine != nil {
		return c + d.engineCost(s, j, x, preferred, now)
	}
	return c + d.slotCost(x, now)
}

// slotCost estimates the cost in ms of waiting for a slot of an instance without a model
// engine. While slots are free there is no wait, and the cost grows with the load, so that
// requests spread.
func (d *Dispatcher) slotCost(x *instance, now time.Time) float64 {
	busy := float64(x.running + d.peerLoad(x, now).Running)
	if x.report.fresh(now) {
		busy = max(busy, float64(x.report.running+x.report.waiting))
	}
	slots := float64(max(x.Slots, 1))
	limited := d.rateLimitWaitMs(x, now)
	if busy < slots {
		return limited + busy/slots*slotHoldMs/2
	}
	return limited + (busy-slots+1)/slots*slotHoldMs*2
}

// rateLimitWaitMs returns the wait for the rate limit of an instance without a model engine, in
// ms, that the owner of its gate reported.
func (d *Dispatcher) rateLimitWaitMs(x *instance, now time.Time) float64 {
	if x.rateLimit == 0 || now.Sub(x.gate.at) >= peerMaxAge {
		return 0
	}
	return float64(x.gate.Backlog) / x.speed()
}

// engineCost estimates the time in ms until the first event: to read the prompts ahead
// and the uncached part of this one. Shared parts that have to be read again cost more
// than their time, and so does a late first event.
func (d *Dispatcher) engineCost(s *routing.Service, j *Job, x *instance, preferred bool, now time.Time) float64 {
	uncached := x.uncachedTokens(j, preferred, now)
	c := float64(d.backlogTokens(x, now)+uncached) / x.speed()
	if j.Objective > 0 && c > lateFraction*float64(j.Objective.Milliseconds()) {
		c += latePenaltyMs
	}
	c += float64(uncached-j.ownTokens()) * rereadMsPerToken
	running := d.runningRequests(x, now)
	if slots := s.Engine.Slots; slots > 0 && running >= slots {
		c += float64(running-slots+1) * slotHoldMs
	}
	return c
}

// backlogTokens returns the prompt tokens that an engine has to read first: those that
// the owner of its gate reported, and those that this host has sent since.
func (d *Dispatcher) backlogTokens(x *instance, now time.Time) int {
	if now.Sub(x.gate.at) < peerMaxAge {
		return x.gate.Backlog + x.sentSinceReport
	}
	return x.readingTokens + d.peerLoad(x, now).Reading
}

// runningRequests returns the number of requests at an engine.
func (d *Dispatcher) runningRequests(x *instance, now time.Time) int {
	if now.Sub(x.gate.at) < peerMaxAge {
		return x.gate.Running
	}
	return x.running + d.peerLoad(x, now).Running
}
