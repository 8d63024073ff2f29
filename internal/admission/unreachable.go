package admission

import (
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/wire"
)

// Unreachable tells the owner that no connection to the engine could be made, and what the engine takes after its
// start.
func (p *Permit) Unreachable(c dispatch.ColdStart) {
	if p == nil || !dispatch.HasEngine(p.request.Slots, p.request.MemoryTokens) {
		return
	}
	a := p.a
	a.mu.Lock()
	owner := p.owner
	a.mu.Unlock()
	m := &wire.AdmissionUnreachable{ID: p.key.ID, Born: p.key.Born, ColdPerSecond: c.PerSecond, WarmUpTime: c.WarmUpTime}
	if owner == a.opts.Host {
		a.handleUnreachable(a.opts.Host, m)
		return
	}
	a.send(owner, wire.KindAdmissionUnreachable, m)
}

func (a *Admission) handleUnreachable(from string, m *wire.AdmissionUnreachable) {
	now := a.opts.Now()
	k := catalog.Key{ID: m.ID, Born: m.Born}
	a.mu.Lock()
	g := a.gates[k]
	if g == nil {
		a.mu.Unlock()
		return
	}
	before := g.Phase(now)
	g.Unreachable(from, a.hosts.Len(), dispatch.ColdStart{PerSecond: m.ColdPerSecond, WarmUpTime: m.WarmUpTime}, now)
	after := g.Phase(now)
	out := g.takeRefusals()
	a.mu.Unlock()
	a.logPhase(k, before, after, m.ColdPerSecond)
	a.sendReplies(out)
}

// logPhase logs a change of what the gate of an engine believes of its process.
func (a *Admission) logPhase(k catalog.Key, before, after dispatch.GatePhase, coldPerSecond float64) {
	if before == after {
		return
	}
	log := a.opts.Log.WithFields(logrus.Fields{"instance": k.ID, "born": k.Born})
	switch {
	case after == dispatch.EngineUnreachable:
		a.countEvent("engines_unreachable")
		log.Warn("Hosts can't connect to an engine. Its gate refuses their requests but for trials.")
	case after == dispatch.EngineRestarted:
		a.countEvent("engines_restarted")
		log.WithField("per_second", coldPerSecond).Info("Engine has started again. Its gate keeps to the cold-start limit.")
	case before == dispatch.EngineUnreachable:
		log.Info("Engine can be reached again.")
	}
}
