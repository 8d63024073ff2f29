package loadplay

import (
	"fmt"
	"time"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/routing"
)

// service is the name of the engines' service.
const service = "engines"

// fleet decides as the hosts do: each host places with its own dispatcher, and each engine
// has one gate. Messages between hosts take no time, except for loads.
type fleet struct {
	w         *World
	hosts     []*dispatch.Dispatcher
	gates     []*dispatch.Gate
	speed     *dispatch.Speedometer
	instances []catalog.Instance
	// placed holds what is at or before an engine.
	placed map[dispatch.AskID]*placed
	// asks are the ids of tries at gates.
	asks map[*Try]dispatch.AskID
	seq  uint64
}

type placed struct {
	t         *Try
	job       *dispatch.Job
	placement *dispatch.Placement
	engine    int
}

func newFleet(w *World) Policy {
	f := &fleet{
		w: w, speed: dispatch.NewSpeedometer(), placed: map[dispatch.AskID]*placed{}, asks: map[*Try]dispatch.AskID{},
	}
	o := w.load.engine()
	names := []string{}
	for i := range w.load.Hosts {
		names = append(names, fmt.Sprintf("host-%d", i))
	}
	services := []routing.Service{{Name: service, Engine: &routing.Engine{Slots: o.Slots, MemoryTokens: o.MemoryTokens, TokensPerEvent: o.TokensPerEvent}}}
	for i, name := range names {
		d := dispatch.New(dispatch.Options{Host: name, DataCentre: f.dataCentre(i)})
		d.SetServices(services, w.load.TokensPerSecond)
		d.SetHosts(names)
		f.hosts = append(f.hosts, d)
	}
	for i := range w.load.Engines {
		f.gates = append(f.gates, dispatch.NewGate(o.Slots, o.MemoryTokens, f.speed))
		f.instances = append(f.instances, catalog.Instance{
			ID: fmt.Sprintf("engine-%d", i), Service: service, DataCentre: f.dataCentre(i), Slots: o.Slots, Born: 1,
		})
	}
	return f
}

func (f *fleet) dataCentre(i int) string { return fmt.Sprintf("centre-%d", i%f.w.load.DataCentres) }

// Name implements Policy.
func (f *fleet) Name() string { return "fleet" }

// Arrive implements Policy.
func (f *fleet) Arrive(t *Try, now time.Time) {
	j := &dispatch.Job{
		Service: service, InputTokens: t.inputTokens(), OutputTokens: t.Output, Objective: t.Kind.Objective,
		Account: t.Account, Left: t.Kind.Patience - now.Sub(t.At),
	}
	for _, p := range t.Parts {
		j.Parts = append(j.Parts, dispatch.Part(p))
	}
	f.hosts[t.Host].Demand(j, now)
	for declined := 1; ; declined++ {
		wait, ok := f.ask(t, j, now)
		if ok {
			return
		}
		if !j.MayAskAgain(declined) {
			f.hosts[t.Host].Refused(j, now)
			f.w.Refuse(t, dispatch.ReturnDelay(wait, t.Kind.Objective))
			return
		}
	}
}

// ask has a request admitted to the engine that its host picks.
func (f *fleet) ask(t *Try, j *dispatch.Job, now time.Time) (wait time.Duration, ok bool) {
	p, err := f.hosts[t.Host].Pick(j, now)
	if err != nil {
		return tellInterval, false
	}
	j.Tried = append(j.Tried, p.Instance.Key())
	engine := f.engineOf(p.Instance)
	f.seq++
	id := dispatch.AskID{Host: fmt.Sprint(t.Host), Seq: f.seq}
	v := f.gates[engine].Ask(dispatch.Ask{
		ID: id, Parts: j.Parts, Tokens: j.InputTokens, Aim: t.At.Add(t.Kind.Objective), End: t.At.Add(t.Kind.Patience), Rank: j.Rank,
	}, now)
	if !v.Granted && !v.Queued {
		p.Done(dispatch.Refused, now)
		return v.Wait, false
	}
	f.placed[id], f.asks[t] = &placed{t, j, p, engine}, id
	if v.Granted {
		f.grant(id)
	}
	return 0, true
}

func (f *fleet) engineOf(i catalog.Instance) int {
	for n := range f.instances {
		if f.instances[n].ID == i.ID {
			return n
		}
	}
	panic("an instance that was never listed: " + i.ID)
}

func (f *fleet) grant(id dispatch.AskID) {
	p := f.placed[id]
	f.w.Send(p.t, p.engine)
}

// FirstEvent implements Policy.
func (f *fleet) FirstEvent(t *Try, now time.Time) {
	id := f.asks[t]
	p := f.placed[id]
	p.placement.FirstEvent()
	f.gates[p.engine].FirstEvent(id, now)
	f.next(p.engine, now)
}

// Done implements Policy.
func (f *fleet) Done(t *Try, now time.Time) { f.forget(t, dispatch.Answered, now) }

// Withdrawn implements Policy.
func (f *fleet) Withdrawn(t *Try, now time.Time) { f.forget(t, dispatch.Withdrawn, now) }

func (f *fleet) forget(t *Try, o dispatch.Outcome, now time.Time) {
	id, known := f.asks[t]
	if !known {
		return
	}
	p := f.placed[id]
	delete(f.asks, t)
	delete(f.placed, id)
	p.placement.Done(o, now)
	f.gates[p.engine].Done(id, now)
	f.next(p.engine, now)
}

// next grants and refuses what waits at a gate.
func (f *fleet) next(engine int, now time.Time) {
	granted, refused := f.gates[engine].Next(now)
	for _, id := range granted {
		f.grant(id)
	}
	f.refuse(refused, now)
}

func (f *fleet) refuse(ids []dispatch.AskID, now time.Time) {
	for _, id := range ids {
		p := f.placed[id]
		delete(f.asks, p.t)
		delete(f.placed, id)
		p.placement.Done(dispatch.Refused, now)
		f.hosts[p.t.Host].Refused(p.job, now)
		f.w.Refuse(p.t, dispatch.ReturnDelay(0, p.t.Kind.Objective))
	}
}

// Tell implements Policy.
func (f *fleet) Tell(now time.Time) {
	for i, g := range f.gates {
		g.Sweep(now)
		f.refuse(g.Expire(now), now)
		f.next(i, now)
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
	o := f.w.load.engine()
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
