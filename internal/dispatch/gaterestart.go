package dispatch

import "time"

// An engine that starts again is cold, and the list of instances says so seconds later. Hosts learn sooner, from
// connections that fail, that it has ended. What this file does keeps all hosts to the cold-start limit until the
// list names the new process, which has a gate of its own.

// ColdStart is what an upstream takes from all hosts after its start.
type ColdStart struct {
	// PerSecond is the number of requests that it takes in a second, 0 for no limit.
	PerSecond float64
	// WarmUpTime is how long the limit applies.
	WarmUpTime time.Duration
}

// Parameters of a gate whose engine seems to have ended.
const (
	// trialInterval is the time between two requests by which a gate finds out whether its engine has started again.
	trialInterval = 250 * time.Millisecond
	// minUnreachableHosts is the number of hosts that must fail to connect, because one host may have lost its own
	// link to the engine.
	minUnreachableHosts = 2
	// minSilence is the time in which the engine must have read nothing. Some hosts may have lost their links to an
	// engine that goes on serving the others.
	minSilence = 250 * time.Millisecond
	// unreachableBacklog is the time for whose prompts an engine without a process counts as busy. It is longer than
	// callers wait for a first event, so that other engines are preferred.
	unreachableBacklog = 5 * time.Second
)

// GatePhase is what a gate believes of the process of its engine.
type GatePhase uint8

// Phases of a gate.
const (
	// EngineRuns means that nothing speaks against it.
	EngineRuns GatePhase = iota
	// EngineUnreachable means that hosts can't connect to the engine.
	EngineUnreachable
	// EngineRestarted means that it has answered again, and is kept to its cold-start limit.
	EngineRestarted
)

// restartWatch is what a gate knows of the end and the start of its engine's process.
type restartWatch struct {
	// unreachableFrom holds the hosts that failed to connect since the engine last read a prompt.
	unreachableFrom map[string]bool
	// readAt is when the engine last read a prompt.
	readAt    time.Time
	coldStart ColdStart
	down      bool
	downAt    time.Time
	// trialAt is when the next request is sent to an engine that is down.
	trialAt time.Time
	// coldUntil is until when pace applies.
	coldUntil time.Time
	pace      RateLimit
}

// Unreachable records that a host, one of a number of live ones, could not connect to the engine. Once the engine
// counts as ended, all waiting requests are refused.
func (g *Gate) Unreachable(host string, hosts int, c ColdStart, now time.Time) {
	w := &g.restart
	if w.unreachableFrom == nil {
		w.unreachableFrom = map[string]bool{}
	}
	w.unreachableFrom[host] = true
	if len(w.unreachableFrom) < min(minUnreachableHosts, hosts) || now.Sub(w.readAt) < minSilence {
		return
	}
	w.coldStart, w.trialAt = c, now.Add(trialInterval)
	if w.down {
		return
	}
	w.down, w.downAt, w.coldUntil = true, now, time.Time{}
	for _, r := range g.waiting {
		g.refused(r.AdmissionRequest, RefusedUnreachable, 0, 0, r.tokens, 0, now)
	}
	g.waiting = nil
}

// Phase returns what the gate believes of the process of its engine.
func (g *Gate) Phase(now time.Time) GatePhase {
	switch {
	case g.restart.down:
		return EngineUnreachable
	case now.Before(g.restart.coldUntil):
		return EngineRestarted
	}
	return EngineRuns
}

// ColdPerSecond returns the cold-start limit of an engine that is down or restarted, in requests per second.
func (g *Gate) ColdPerSecond() float64 { return g.restart.coldStart.PerSecond }

// requestTrial decides on a request while the engine is down.
func (g *Gate) requestTrial(r AdmissionRequest, tokens int, now time.Time) AdmissionReply {
	w := &g.restart
	if wait := w.trialAt.Sub(now); wait > 0 {
		g.refused(r, RefusedUnreachable, wait, 0, tokens, 0, now)
		return AdmissionReply{Wait: wait}
	}
	w.trialAt = now.Add(trialInterval)
	g.admit(r, tokens, now)
	return AdmissionReply{Granted: true}
}

// engineRead records that the engine has read the prompt of a request that was admitted at a time. If it was
// down then, it has started again since; otherwise the process has gone on running.
func (g *Gate) engineRead(admittedAt, now time.Time) {
	w := &g.restart
	clear(w.unreachableFrom)
	w.readAt = now
	if !w.down {
		return
	}
	w.down = false
	if admittedAt.Before(w.downAt) {
		return
	}
	g.cache.clear()
	if w.coldStart.PerSecond > 0 {
		w.coldUntil, w.pace = now.Add(w.coldStart.WarmUpTime), RateLimit{}
	}
}

// coldWait returns the time until the cold-start limit allows a request after ahead others.
func (g *Gate) coldWait(ahead int, now time.Time) time.Duration {
	w := &g.restart
	if !now.Before(w.coldUntil) {
		return 0
	}
	w.pace.Set(w.coldStart.PerSecond, now) // keeps it from expiring
	return w.pace.Wait(ahead, now)
}

// paceWait returns the time until all limits on the rate allow a request after ahead others.
func (g *Gate) paceWait(ahead int, now time.Time) time.Duration {
	return max(g.rateLimit.Wait(ahead, now), g.coldWait(ahead, now))
}

// takePace counts a request that is admitted.
func (g *Gate) takePace(now time.Time) {
	g.rateLimit.Take(now)
	if g.Phase(now) == EngineRestarted {
		g.coldWait(0, now)
		g.restart.pace.Take(now)
	}
}
