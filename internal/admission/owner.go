package admission

import (
	"time"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/wire"
)

type ownedGate struct {
	*dispatch.Gate
	speed    *dispatch.SpeedEstimator
	lastUsed time.Time
	// refusals are those that were not replied to yet.
	refusals []gateRefusal
}

// addressedReply is a reply with the host that it is for.
type addressedReply struct {
	host string
	wire.AdmissionReply
	// refusal is nil unless the request was refused.
	refusal *gateRefusal
}

func (a *Admission) sendReplies(list []addressedReply) {
	for _, reply := range list {
		if reply.refusal != nil {
			a.logRefusal(reply.refusal)
		}
		if reply.host == a.opts.Host {
			a.deliver(reply.AdmissionReply)
			continue
		}
		a.send(reply.host, wire.KindAdmissionReply, reply.AdmissionReply)
	}
}

func (a *Admission) handleRequest(from string, m *wire.AdmissionRequest) {
	now := a.opts.Now()
	request := dispatch.AdmissionRequest{
		ID: dispatch.AdmissionID{Host: from, Seq: m.Seq}, Tokens: m.Tokens,
		FirstEventDue: now.Add(m.AimLeft), Deadline: now.Add(m.EndLeft), Rank: min(dispatch.Rank(m.Rank), dispatch.BeyondShare),
		CallerID: m.RequestID, LastAttempt: m.LastAttempt,
	}
	for _, p := range m.Parts {
		request.Parts = append(request.Parts, dispatch.Part(p))
	}
	a.mu.Lock()
	g := a.gateLocked(m, now)
	if m.Admitted {
		g.Adopt(request, m.Read, now)
		a.mu.Unlock()
		return
	}
	reply := g.Request(request, now)
	out := g.takeRefusals()
	if reply.Granted || reply.Queued {
		out = append(out, addressedReply{host: from, AdmissionReply: wire.AdmissionReply{Seq: m.Seq, Granted: reply.Granted, Queued: reply.Queued, Wait: reply.Wait}})
	}
	a.mu.Unlock()
	a.sendReplies(out)
}

func (a *Admission) gateLocked(m *wire.AdmissionRequest, now time.Time) *ownedGate {
	k := catalog.Key{ID: m.ID, Born: m.Born}
	g := a.gates[k]
	if g == nil {
		speed := a.speeds[m.Service]
		if speed == nil {
			speed = dispatch.NewSpeedEstimator()
			a.speeds[m.Service] = speed
		}
		g = &ownedGate{Gate: dispatch.NewGate(m.Slots, m.MemoryTokens, speed), speed: speed}
		g.OnRefusal = func(r dispatch.AdmissionRequest, why dispatch.Refusal) {
			g.refusals = append(g.refusals, gateRefusal{engine: k, request: r, Refusal: why})
		}
		a.gates[k] = g
	}
	g.lastUsed = now
	return g
}

func (a *Admission) handleProgress(from string, m *wire.AdmissionProgress) {
	now := a.opts.Now()
	id := dispatch.AdmissionID{Host: from, Seq: m.Seq}
	a.mu.Lock()
	g := a.gates[catalog.Key{ID: m.ID, Born: m.Born}]
	var out []addressedReply
	var before, after dispatch.GatePhase
	coldPerSecond := 0.0
	if g != nil {
		before = g.Phase(now)
		if m.RateLimit != nil {
			g.SetRateLimit(m.RateLimit.PerSecond, now)
		}
		if m.Done {
			g.Done(id, now)
		} else {
			g.FirstEvent(id, now)
		}
		out = g.next(now)
		after, coldPerSecond = g.Phase(now), g.ColdPerSecond()
	}
	a.mu.Unlock()
	a.logPhase(catalog.Key{ID: m.ID, Born: m.Born}, before, after, coldPerSecond)
	a.sendReplies(out)
}

func (g *ownedGate) next(now time.Time) (out []addressedReply) {
	granted, _ := g.AdmitWaiting(now) // takeRefusals returns the refused ones
	for _, id := range granted {
		out = append(out, addressedReply{host: id.Host, AdmissionReply: wire.AdmissionReply{Seq: id.Seq, Granted: true}})
	}
	return append(out, g.takeRefusals()...)
}

// Loads returns the loads of the gates that this host owns.
func (a *Admission) Loads() []wire.GateLoad {
	now := a.opts.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []wire.GateLoad
	for k, g := range a.gates {
		if a.ownerLocked(k) != a.opts.Host {
			continue
		}
		backlog, running := g.Backlog(now)
		out = append(out, wire.GateLoad{ID: k.ID, Born: k.Born, Backlog: backlog, Running: running, PerMs: g.speed.PerMs()})
	}
	return out
}
