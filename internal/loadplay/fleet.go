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
	sim       *World
	hosts     []*dispatch.Dispatcher
	gates     []*dispatch.Gate
	speed     *dispatch.SpeedEstimator
	instances []catalog.Instance
	// admitted holds the tries that wait at the gate of an engine or were sent to it.
	admitted map[dispatch.AdmissionID]*admittedTry
	// askIDs holds the IDs of these tries at the gates.
	askIDs map[*Try]dispatch.AdmissionID
	seq    uint64
}

type admittedTry struct {
	try       *Try
	job       *dispatch.Job
	placement *dispatch.Placement
	engine    int
}

func newFleet(sim *World) Policy {
	f := &fleet{
		sim: sim, speed: dispatch.NewSpeedEstimator(), admitted: map[dispatch.AdmissionID]*admittedTry{}, askIDs: map[*Try]dispatch.AdmissionID{},
	}
	o := sim.load.engineOptions()
	names := []string{}
	for i := range sim.load.Hosts {
		names = append(names, fmt.Sprintf("host-%d", i))
	}
	services := []routing.Service{{Name: engineService, Engine: &routing.Engine{Slots: o.Slots, MemoryTokens: o.MemoryTokens, TokensPerEvent: o.TokensPerEvent}}}
	for i, name := range names {
		d := dispatch.New(dispatch.Options{Host: name, DataCentre: f.dataCentre(i)})
		d.SetServices(services, sim.load.TokensPerSecond)
		d.SetHosts(names)
		f.hosts = append(f.hosts, d)
	}
	for i := range sim.load.Engines {
		f.gates = append(f.gates, dispatch.NewGate(o.Slots, o.MemoryTokens, f.speed))
		f.instances = append(f.instances, catalog.Instance{
			ID: fmt.Sprintf("engine-%d", i), Service: engineService, DataCentre: f.dataCentre(i), Slots: o.Slots, Born: 1,
		})
	}
	return f
}

func (f *fleet) dataCentre(i int) string { return fmt.Sprintf("centre-%d", i%f.sim.load.DataCentres) }

// Name implements Policy.
func (f *fleet) Name() string { return "fleet" }

// Arrive implements Policy.
func (f *fleet) Arrive(t *Try, now time.Time) {
	j := &dispatch.Job{
		Service: engineService, InputTokens: t.inputTokens(), OutputTokens: t.Output, Objective: t.Kind.Objective,
		Account: t.Account, Remaining: t.Kind.Patience - now.Sub(t.At),
	}
	for _, p := range t.Parts {
		j.Parts = append(j.Parts, dispatch.Part(p))
	}
	f.hosts[t.Host].RecordDemand(j, now)
	for declined := 1; ; declined++ {
		wait, ok := f.askEngine(t, j, now)
		if ok {
			return
		}
		if !j.MayTryAnotherEngine(declined) {
			f.hosts[t.Host].RecordRefusal(j, now)
			f.sim.Refuse(t, dispatch.RetryAfter(wait, t.Kind.Objective))
			return
		}
	}
}

// askEngine asks the gate of the engine that the host picks to admit a request. If the gate
// refuses, ok is false and wait is the expected time until the first event.
func (f *fleet) askEngine(t *Try, j *dispatch.Job, now time.Time) (wait time.Duration, ok bool) {
	placement, err := f.hosts[t.Host].Pick(j, now)
	if err != nil {
		return exchangeInterval, false
	}
	j.Tried = append(j.Tried, placement.Instance.Key())
	engine := f.engineIndex(placement.Instance)
	f.seq++
	id := dispatch.AdmissionID{Host: fmt.Sprint(t.Host), Seq: f.seq}
	verdict := f.gates[engine].Request(dispatch.AdmissionRequest{
		ID: id, Parts: j.Parts, Tokens: j.InputTokens, FirstEventDue: t.At.Add(t.Kind.Objective), Deadline: t.At.Add(t.Kind.Patience), Rank: j.Rank,
	}, now)
	if !verdict.Granted && !verdict.Queued {
		placement.Done(dispatch.Refused, now)
		return verdict.Wait, false
	}
	f.admitted[id], f.askIDs[t] = &admittedTry{t, j, placement, engine}, id
	if verdict.Granted {
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
	p := f.admitted[id]
	f.sim.Send(p.try, p.engine)
}

// FirstEvent implements Policy.
func (f *fleet) FirstEvent(t *Try, now time.Time) {
	id := f.askIDs[t]
	p := f.admitted[id]
	p.placement.FirstEvent()
	f.gates[p.engine].FirstEvent(id, now)
	f.runGate(p.engine, now)
}

// Done implements Policy.
func (f *fleet) Done(t *Try, now time.Time) { f.end(t, dispatch.Answered, now) }

// Withdrawn implements Policy.
func (f *fleet) Withdrawn(t *Try, now time.Time) { f.end(t, dispatch.Cancelled, now) }

func (f *fleet) end(t *Try, o dispatch.Outcome, now time.Time) {
	id, known := f.askIDs[t]
	if !known {
		return
	}
	p := f.admitted[id]
	delete(f.askIDs, t)
	delete(f.admitted, id)
	p.placement.Done(o, now)
	f.gates[p.engine].Done(id, now)
	f.runGate(p.engine, now)
}

// runGate sends the requests that a gate grants now and refuses those whose end has passed.
func (f *fleet) runGate(engine int, now time.Time) {
	granted, refused := f.gates[engine].AdmitWaiting(now)
	for _, id := range granted {
		f.send(id)
	}
	f.refuse(refused, now)
}

func (f *fleet) refuse(ids []dispatch.AdmissionID, now time.Time) {
	for _, id := range ids {
		p := f.admitted[id]
		delete(f.askIDs, p.try)
		delete(f.admitted, id)
		p.placement.Done(dispatch.Refused, now)
		f.hosts[p.try.Host].RecordRefusal(p.job, now)
		f.sim.Refuse(p.try, dispatch.RetryAfter(0, p.try.Kind.Objective))
	}
}

// Tell implements Policy.
func (f *fleet) Tell(now time.Time) {
	for i, g := range f.gates {
		g.DropLost(now)
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

// Engines implements Policy.
func (f *fleet) Engines(up []bool, now time.Time) {
	var list []catalog.Instance
	o := f.sim.load.engineOptions()
	for i := range f.instances {
		if !up[i] {
			f.instances[i].Born++
			f.gates[i] = dispatch.NewGate(o.Slots, o.MemoryTokens, f.speed)
			continue
		}
		list = append(list, f.instances[i])
	}
	for _, d := range f.hosts {
		d.SetInstances(list, now)
	}
}
