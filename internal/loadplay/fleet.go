package loadplay

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/routing"
)

// engineService is the name of the engines' service.
const engineService = "engines"

// fleet is the policy of the real hosts: each host picks engines with its own dispatcher,
// and each engine has one gate. Loads are exchanged every exchangeInterval.
type fleet struct {
	sim       *Simulation
	hosts     []*dispatch.Dispatcher
	gates     []*dispatch.Gate
	speed     *dispatch.SpeedEstimator
	instances []catalog.Instance
	// placed holds the attempts that wait at the gate of an engine or were sent to it.
	placed map[dispatch.AdmissionID]*placedAttempt
	// admissionIDs holds the IDs of these attempts at the gates.
	admissionIDs map[*Attempt]dispatch.AdmissionID
	seq          uint64
	// freeAt is, by host, when it can handle the next attempt.
	freeAt []time.Time
}

type placedAttempt struct {
	attempt   *Attempt
	job       *dispatch.Job
	placement *dispatch.Placement
	engine    int
	// declined counts the gates that refused the request.
	declined int
}

func newFleet(sim *Simulation) Policy {
	f := &fleet{
		sim: sim, speed: dispatch.NewSpeedEstimator(), placed: map[dispatch.AdmissionID]*placedAttempt{}, admissionIDs: map[*Attempt]dispatch.AdmissionID{},
	}
	opts := sim.load.engineOptions()
	names := []string{}
	for i := range sim.load.Hosts {
		names = append(names, fmt.Sprintf("host-%d", i))
	}
	services := []routing.Service{{Name: engineService, Engine: &routing.Engine{Slots: opts.Slots, MemoryTokens: opts.MemoryTokens, TokensPerEvent: opts.TokensPerEvent},
		WarmUpTime: sim.load.WarmUpTime, ColdPerSecond: sim.load.ColdPerSecond}}
	for i, name := range names {
		d := dispatch.New(dispatch.Options{Host: name, DataCentre: f.dataCentre(i)})
		d.SetServices(services, sim.load.TokensPerSecond)
		d.SetHosts(names)
		f.hosts, f.freeAt = append(f.hosts, d), append(f.freeAt, simStart)
	}
	for i := range sim.load.Engines {
		f.gates = append(f.gates, dispatch.NewGate(opts.Slots, opts.MemoryTokens, f.speed))
		f.instances = append(f.instances, catalog.Instance{
			ID: fmt.Sprintf("engine-%d", i), Service: engineService, DataCentre: f.dataCentre(i), Slots: opts.Slots, Born: 1, Version: sim.load.versionOf(i),
		})
	}
	return f
}

func (f *fleet) dataCentre(i int) string { return fmt.Sprintf("centre-%d", i%f.sim.load.DataCentres) }

// Name implements Policy.
func (f *fleet) Name() string { return "fleet" }

// HandleAttempt implements Policy.
func (f *fleet) HandleAttempt(a *Attempt, now time.Time) {
	free := f.freeAt[a.Host]
	if free.Before(now) {
		free = now
	}
	f.freeAt[a.Host] = free.Add(f.sim.load.HandlingTime)
	f.sim.After(f.freeAt[a.Host].Sub(now), func(now time.Time) {
		if !a.ended {
			f.rank(a, now)
		}
	})
}

func (f *fleet) rank(a *Attempt, now time.Time) {
	j := &dispatch.Job{
		Service: engineService, InputTokens: a.inputTokens(), OutputTokens: a.Output, Objective: a.Kind.Objective,
		Account: a.Account, Remaining: a.Kind.CallerTimeout - now.Sub(a.At), Resumed: a.Origin != nil, Origin: a.Origin,
	}
	for _, p := range a.Parts {
		j.Parts = append(j.Parts, dispatch.Part(p))
	}
	f.hosts[a.Host].RecordDemand(j, now)
	f.requestAdmission(&placedAttempt{attempt: a, job: j}, now)
}

// requestAdmission asks the gate of the engine that the host picks to admit a request.
func (f *fleet) requestAdmission(p *placedAttempt, now time.Time) {
	placement, err := f.hosts[p.attempt.Host].Pick(p.job, now)
	if err != nil {
		f.declined(p, exchangeInterval, now)
		return
	}
	p.job.Tried = append(p.job.Tried, placement.Instance.Key())
	p.placement, p.engine = placement, f.engineIndex(placement.Instance)
	f.seq++
	id := dispatch.AdmissionID{Host: fmt.Sprint(p.attempt.Host), Seq: f.seq}
	f.placed[id], f.admissionIDs[p.attempt] = p, id
	f.sim.After(f.sim.load.MessageDelay, func(now time.Time) {
		if f.placed[id] == p {
			f.requestAtGate(id, p, now)
		}
	})
}

func (f *fleet) requestAtGate(id dispatch.AdmissionID, p *placedAttempt, now time.Time) {
	a, j := p.attempt, p.job
	firstEventDue := a.At.Add(a.Kind.Objective)
	if a.Origin != nil {
		firstEventDue = a.startedAt.Add(a.Kind.Objective)
	}
	reply := f.gates[p.engine].Request(dispatch.AdmissionRequest{
		ID: id, Parts: j.Parts, Tokens: j.InputTokens, FirstEventDue: firstEventDue, Deadline: a.At.Add(a.Kind.CallerTimeout), Rank: j.Rank,
	}, now)
	switch {
	case reply.Granted:
		f.send(id)
	case !reply.Queued:
		f.replyToHost(id, func(p *placedAttempt, now time.Time) {
			f.unplace(id, dispatch.Refused, now)
			f.declined(p, reply.Wait, now)
		})
	}
}

// replyToHost brings the reply of a gate to the host of a request, unless the request ends before.
func (f *fleet) replyToHost(id dispatch.AdmissionID, handle func(*placedAttempt, time.Time)) {
	p := f.placed[id]
	f.sim.After(f.sim.load.MessageDelay, func(now time.Time) {
		if p != nil && f.placed[id] == p {
			handle(p, now)
		}
	})
}

// declined asks another gate or refuses the request. wait is the expected time until its first
// event.
func (f *fleet) declined(p *placedAttempt, wait time.Duration, now time.Time) {
	p.declined++
	if p.job.MayTryAnotherEngine(p.declined) {
		f.requestAdmission(p, now)
		return
	}
	f.hosts[p.attempt.Host].RecordRefusal(p.job, now)
	f.sim.Refuse(p.attempt, dispatch.RetryAfter(wait, p.attempt.Kind.Objective))
}

// unplace forgets a request that waited at a gate or was sent.
func (f *fleet) unplace(id dispatch.AdmissionID, o dispatch.Outcome, now time.Time) {
	p := f.placed[id]
	delete(f.admissionIDs, p.attempt)
	delete(f.placed, id)
	p.placement.Done(o, now)
}

func (f *fleet) engineIndex(i catalog.Instance) int {
	for n := range f.instances {
		if f.instances[n].ID == i.ID {
			return n
		}
	}
	panic("an instance that was never listed: " + i.ID)
}

func (f *fleet) send(id dispatch.AdmissionID) {
	f.replyToHost(id, func(p *placedAttempt, _ time.Time) { f.sim.Send(p.attempt, p.engine) })
}

// FirstEvent implements Policy.
func (f *fleet) FirstEvent(a *Attempt, now time.Time) {
	id := f.admissionIDs[a]
	p := f.placed[id]
	p.placement.FirstEvent()
	f.gates[p.engine].FirstEvent(id, now)
	f.runGate(p.engine, now)
}

// Done implements Policy.
func (f *fleet) Done(a *Attempt, outcome dispatch.Outcome, now time.Time) { f.end(a, outcome, now) }

// Cancelled implements Policy.
func (f *fleet) Cancelled(a *Attempt, now time.Time) {
	if id, known := f.admissionIDs[a]; known {
		f.hosts[a.Host].RecordRefusal(f.placed[id].job, now)
	}
	f.end(a, dispatch.Cancelled, now)
}

func (f *fleet) end(a *Attempt, o dispatch.Outcome, now time.Time) {
	id, known := f.admissionIDs[a]
	if !known {
		return
	}
	p := f.placed[id]
	f.unplace(id, o, now)
	f.gates[p.engine].Done(id, now)
	f.runGate(p.engine, now)
}

// runGate sends the requests that a gate grants now and refuses those whose deadline has
// passed.
func (f *fleet) runGate(engine int, now time.Time) {
	granted, refused := f.gates[engine].AdmitWaiting(now)
	for _, id := range granted {
		f.send(id)
	}
	f.refuse(refused)
}

// refuse refuses requests that waited at a gate.
func (f *fleet) refuse(ids []dispatch.AdmissionID) {
	for _, id := range ids {
		f.replyToHost(id, func(p *placedAttempt, now time.Time) {
			f.unplace(id, dispatch.Refused, now)
			f.hosts[p.attempt.Host].RecordRefusal(p.job, now)
			f.sim.Refuse(p.attempt, dispatch.RetryAfter(0, p.attempt.Kind.Objective))
		})
	}
}

// ExchangeLoads implements Policy.
func (f *fleet) ExchangeLoads(now time.Time) {
	for i, g := range f.gates {
		f.refuse(g.RefuseLate(now))
		f.runGate(i, now)
		backlog, running := g.Backlog(now)
		for _, d := range f.hosts {
			d.SetGate(f.instances[i].Key(), dispatch.GateLoad{Backlog: backlog, Running: running, PerMs: f.speed.PerMs()}, now)
		}
	}
	for i, from := range f.hosts {
		rates := from.OwnRates(now)
		for j, to := range f.hosts {
			if i != j {
				f.sim.After(f.sim.load.RatesDelay, func(now time.Time) { to.SetPeerRates(fmt.Sprint(i), rates, now) })
			}
		}
	}
}

// waitingAt returns the requests that wait at the gate of an engine, in the order of arrival.
func (f *fleet) waitingAt(engine int) (ids []dispatch.AdmissionID) {
	for id, p := range f.placed {
		if p.engine == engine && !p.attempt.sent {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b dispatch.AdmissionID) int { return cmp.Compare(a.Seq, b.Seq) })
	return ids
}

// SetEngines implements Policy.
func (f *fleet) SetEngines(up []bool, now time.Time) {
	var list []catalog.Instance
	opts := f.sim.load.engineOptions()
	for i := range f.instances {
		if !up[i] {
			f.refuse(f.waitingAt(i))
			f.instances[i].Born++
			f.gates[i] = dispatch.NewGate(opts.Slots, opts.MemoryTokens, f.speed)
			continue
		}
		list = append(list, f.instances[i])
	}
	for _, d := range f.hosts {
		d.SetInstances(list, now)
	}
}
