package loadplay

import (
	"fmt"
	"time"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/routing"
)

// engineService is the name of the engines' service.
const engineService = "engines"

// fleet is the policy of the real hosts: each host picks engines with its own dispatcher,
// and each engine has one gate. Messages between hosts take no time, except that loads are
// exchanged every exchangeInterval.
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
}

type placedAttempt struct {
	attempt   *Attempt
	job       *dispatch.Job
	placement *dispatch.Placement
	engine    int
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
	services := []routing.Service{{Name: engineService, Engine: &routing.Engine{Slots: opts.Slots, MemoryTokens: opts.MemoryTokens, TokensPerEvent: opts.TokensPerEvent}}}
	for i, name := range names {
		d := dispatch.New(dispatch.Options{Host: name, DataCentre: f.dataCentre(i)})
		d.SetServices(services, sim.load.TokensPerSecond)
		d.SetHosts(names)
		f.hosts = append(f.hosts, d)
	}
	for i := range sim.load.Engines {
		f.gates = append(f.gates, dispatch.NewGate(opts.Slots, opts.MemoryTokens, f.speed))
		f.instances = append(f.instances, catalog.Instance{
			ID: fmt.Sprintf("engine-%d", i), Service: engineService, DataCentre: f.dataCentre(i), Slots: opts.Slots, Born: 1,
		})
	}
	return f
}

func (f *fleet) dataCentre(i int) string { return fmt.Sprintf("centre-%d", i%f.sim.load.DataCentres) }

// Name implements Policy.
func (f *fleet) Name() string { return "fleet" }

// HandleAttempt implements Policy.
func (f *fleet) HandleAttempt(a *Attempt, now time.Time) {
	j := &dispatch.Job{
		Service: engineService, InputTokens: a.inputTokens(), OutputTokens: a.Output, Objective: a.Kind.Objective,
		Account: a.Account, Remaining: a.Kind.CallerTimeout - now.Sub(a.At),
	}
	for _, p := range a.Parts {
		j.Parts = append(j.Parts, dispatch.Part(p))
	}
	f.hosts[a.Host].RecordDemand(j, now)
	for declined := 1; ; declined++ {
		wait, ok := f.requestAdmission(a, j, now)
		if ok {
			return
		}
		if !j.MayTryAnotherEngine(declined) {
			f.hosts[a.Host].RecordRefusal(j, now)
			f.sim.Refuse(a, dispatch.RetryAfter(wait, a.Kind.Objective))
			return
		}
	}
}

// requestAdmission asks the gate of the engine that the host picks to admit a request. If
// the gate refuses, ok is false and wait is the expected time until the first event.
func (f *fleet) requestAdmission(a *Attempt, j *dispatch.Job, now time.Time) (wait time.Duration, ok bool) {
	placement, err := f.hosts[a.Host].Pick(j, now)
	if err != nil {
		return exchangeInterval, false
	}
	j.Tried = append(j.Tried, placement.Instance.Key())
	engine := f.engineIndex(placement.Instance)
	f.seq++
	id := dispatch.AdmissionID{Host: fmt.Sprint(a.Host), Seq: f.seq}
	reply := f.gates[engine].Request(dispatch.AdmissionRequest{
		ID: id, Parts: j.Parts, Tokens: j.InputTokens, FirstEventDue: a.At.Add(a.Kind.Objective), Deadline: a.At.Add(a.Kind.CallerTimeout), Rank: j.Rank,
	}, now)
	if !reply.Granted && !reply.Queued {
		placement.Done(dispatch.Refused, now)
		return reply.Wait, false
	}
	f.placed[id], f.admissionIDs[a] = &placedAttempt{a, j, placement, engine}, id
	if reply.Granted {
		f.send(id)
	}
	return 0, true
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
	p := f.placed[id]
	f.sim.Send(p.attempt, p.engine)
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
func (f *fleet) Cancelled(a *Attempt, now time.Time) { f.end(a, dispatch.Cancelled, now) }

func (f *fleet) end(a *Attempt, o dispatch.Outcome, now time.Time) {
	id, known := f.admissionIDs[a]
	if !known {
		return
	}
	p := f.placed[id]
	delete(f.admissionIDs, a)
	delete(f.placed, id)
	p.placement.Done(o, now)
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
	f.refuse(refused, now)
}

func (f *fleet) refuse(ids []dispatch.AdmissionID, now time.Time) {
	for _, id := range ids {
		p := f.placed[id]
		delete(f.admissionIDs, p.attempt)
		delete(f.placed, id)
		p.placement.Done(dispatch.Refused, now)
		f.hosts[p.attempt.Host].RecordRefusal(p.job, now)
		f.sim.Refuse(p.attempt, dispatch.RetryAfter(0, p.attempt.Kind.Objective))
	}
}

// ExchangeLoads implements Policy.
func (f *fleet) ExchangeLoads(now time.Time) {
	for i, g := range f.gates {
		f.refuse(g.RefuseLate(now), now)
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
				to.SetPeerRates(fmt.Sprint(i), rates, now)
			}
		}
	}
}

// SetEngines implements Policy.
func (f *fleet) SetEngines(up []bool, now time.Time) {
	var list []catalog.Instance
	opts := f.sim.load.engineOptions()
	for i := range f.instances {
		if !up[i] {
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
