package dispatch

import (
	"time"

	"marigoldshunt/internal/routing"
)

// Parameters of the cost in ms.
const (
	// readTokensPerMs is the speed at which engines read prompts when nothing else is
	// known, a usual figure for a 70B model on one accelerator.
	readTokensPerMs = 40.0
	// slotMs is the time for which a running request holds its slot of a plain service,
	// used to compare queues.
	slotMs = 50.0
	// remoteMs is added for another data centre, and remoteMsPerKB for each KB of request
	// and answer that crosses to it and back.
	remoteMs      = 5.0
	remoteMsPerKB = 20.0
	// failingMs is added for an instance whose answers all fail, in proportion below.
	failingMs = 2_000.0
	// againMs is added for each shared token that is read again: the time, and the memory
	// that a further copy takes from other parts.
	againMs = 0.2
	// lateMs is added for an event that is expected after lateShare of its objective.
	lateMs    = 2_000.0
	lateShare = 0.8
	// suspectMs keeps an unreachable instance behind all others.
	suspectMs = 60_000.0
	// reportMaxAge is the age after which a load that an instance has told is ignored.
	reportMaxAge = 400 * time.Millisecond
)

// cost estimates the time in ms until the instance would answer, with penalties.
func (d *Dispatcher) cost(s *routing.Service, j *Job, x *instance, home bool, now time.Time) float64 {
	c := x.failing.value(now) * failingMs
	if now.Before(x.suspectUntil) {
		c += suspectMs
	}
	if x.DataCentre != d.o.DataCentre {
		c += remoteMs + remoteMsPerKB*float64(j.Bytes)/1000
	}
	if s.Engine != nil {
		return c + d.engineCost(s, j, x, home, now)
	}
	return c + d.plainCost(x, now)
}

// plainCost is the wait for a slot of a plain service.
func (d *Dispatcher) plainCost(x *instance, now time.Time) float64 {
	busy := float64(x.running + d.peerLoad(x, now).Running)
	if x.report.fresh(now) {
		busy = max(busy, float64(x.report.running+x.report.waiting))
	}
	slots := float64(max(x.Slots, 1))
	if busy < slots {
		return busy / slots * slotMs / 2
	}
	return (busy - slots + 1) / slots * slotMs * 2
}

// engineCost is the time until the first event: the prompts ahead, and what the engine
// would have to read of this one. Shared parts that have to be read again weigh more than
// their time, and so does an event that comes too late.
func (d *Dispatcher) engineCost(s *routing.Service, j *Job, x *instance, home bool, now time.Time) float64 {
	missing := x.missing(j, home, now)
	c := float64(d.ahead(x, now)+missing) / x.speed()
	if j.Objective > 0 && c > lateShare*float64(j.Objective.Milliseconds()) {
		c += lateMs
	}
	c += float64(missing-j.ownTokens()) * againMs
	running := d.admitted(x, now)
	if slots := s.Engine.Slots; slots > 0 && running >= slots {
		c += float64(running-slots+1) * slotMs
	}
	return c
}

// ahead are the prompt tokens that an engine has to read first: what the owner of its gate
// told, and what this host has sent since.
func (d *Dispatcher) ahead(x *instance, now time.Time) int {
	if now.Sub(x.gate.at) < peerMaxAge {
		return x.gate.Backlog + x.asked
	}
	return x.reading + d.peerLoad(x, now).Reading
}

// admitted is the number of requests at an engine.
func (d *Dispatcher) admitted(x *instance, now time.Time) int {
	if now.Sub(x.gate.at) < peerMaxAge {
		return x.gate.Running
	}
	return x.running + d.peerLoad(x, now).Running
}
