package dispatch

import (
	"slices"
	"time"

	"marigoldshunt/internal/routing"
)

// LoadSource says whose figures the load of an instance is.
type LoadSource uint8

// Sources of a load.
const (
	// NoLoad means that no instance was chosen.
	NoLoad LoadSource = iota
	// LoadOfThisHost counts only this host's own requests, because no other host reported.
	LoadOfThisHost
	// LoadOfAllHosts is what the other hosts reported, with this host's own requests.
	LoadOfAllHosts
	// LoadOfGate is what the owner of the engine's gate reported, with what this host has sent
	// since.
	LoadOfGate
	// LoadOfInstance is what the instance reported with a response.
	LoadOfInstance
)

// String returns the name of the source in logs.
func (s LoadSource) String() string {
	return [...]string{NoLoad: "none", LoadOfThisHost: "this_host", LoadOfAllHosts: "all_hosts", LoadOfGate: "gate", LoadOfInstance: "instance"}[s]
}

// Decision holds what decided the last Pick for a job, for the log.
type Decision struct {
	// Instances counts the listed instances of the service, Candidates those that could take
	// the job.
	Instances, Candidates int
	LeftOut               LeftOut
	// LoadSource, LoadAge, Running and BacklogTokens describe the load of the candidate with
	// the lowest cost. LoadAge is the time since this host received the load. BacklogTokens
	// is 0 for instances without a model engine.
	LoadSource             LoadSource
	LoadAge                time.Duration
	Running, BacklogTokens int
	// Cost is the estimated time until that candidate would respond, with penalties.
	Cost time.Duration
}

// LeftOut counts the instances that could not take a job, by the first reason that applies.
type LeftOut struct {
	// OtherVersion counts those whose software differs from that which began the stream.
	OtherVersion int
	// Paused counts those that want no requests of this host for some time.
	Paused int
	// Tried counts those that were selected for the job before, Cold those whose cold-start
	// limit is used up, Replaced those whose address another instance has.
	Tried, Draining, OutOfService, Replaced, Cold int
}

// mayTake reports whether an instance can take a job, and counts the reason if not.
func (d *Dispatcher) mayTake(s *routing.Service, j *Job, x *instance, now time.Time) bool {
	left := &j.Decision.LeftOut
	switch reason := d.exclusion(x, now); {
	case reason != NotExcluded:
		left.count(reason)
	case !j.mayContinueAt(x):
		left.OtherVersion++
	case slices.Contains(j.Tried, x.Key()):
		left.Tried++
	case !d.coldLimitAllows(s, x, now):
		left.Cold++
	default:
		j.Decision.Candidates++
		return true
	}
	return false
}

// count counts an instance that may get no new requests.
func (l *LeftOut) count(reason ExclusionReason) {
	switch reason {
	case Draining:
		l.Draining++
	case Replaced:
		l.Replaced++
	case OutOfService:
		l.OutOfService++
	case Paused:
		l.Paused++
	}
}

// describeLoad records the load by which an instance was chosen.
func (c *Decision) describeLoad(d *Dispatcher, s *routing.Service, x *instance, cost float64, now time.Time) {
	c.Cost = time.Duration(cost * float64(time.Millisecond))
	c.LoadSource = LoadOfThisHost
	if now.Sub(d.peersUpdatedAt) < peerMaxAge {
		c.LoadSource, c.LoadAge = LoadOfAllHosts, now.Sub(d.peersReceivedAt)
	}
	if s.Engine != nil {
		c.Running, c.BacklogTokens = d.runningRequests(x, now), d.backlogTokens(x, now)
		if now.Sub(x.gate.at) < peerMaxAge {
			c.LoadSource, c.LoadAge = LoadOfGate, now.Sub(x.gate.ReceivedAt)
		}
		return
	}
	c.Running = x.running + d.peerLoad(x, now).Running
	if reported := x.report.running + x.report.waiting; x.report.fresh(now) && reported > c.Running {
		c.Running, c.LoadSource, c.LoadAge = reported, LoadOfInstance, now.Sub(x.report.at)
	}
}
