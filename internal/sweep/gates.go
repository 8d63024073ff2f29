package sweep

import (
	"math"
	"time"

	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/wire"
)

// gateOverhead is how long an engine needs for a prompt beside reading it.
const gateOverhead = 10 * time.Millisecond

// startRequest lets a caller send a request to a host.
func (w *world) startRequest(h *simHost) {
	r := &request{host: h, job: w.newJob(h)}
	h.dispatcher.RecordDemand(r.job, w.now)
	w.requestAdmission(r, 1)
}

// requestAdmission asks the gate of an engine to admit a request.
func (w *world) requestAdmission(r *request, try int) {
	placement, err := r.host.dispatcher.Pick(r.job, w.now)
	if err != nil {
		r.host.dispatcher.RecordRefusal(r.job, w.now)
		return
	}
	w.seq++
	r.id, r.placement, r.engine = dispatch.AdmissionID{Host: r.host.name, Seq: w.seq}, placement, w.byKey[placement.Instance.Key()]
	r.job.Tried = append(r.job.Tried, placement.Instance.Key())
	w.countGate(r.host.name, r.engine.owner.name, wire.KindAdmissionRequest, w.requestMessage(r, false))
	e := r.engine
	reply := e.gate.Request(dispatch.AdmissionRequest{
		ID: r.id, Parts: r.job.Parts, Tokens: r.job.InputTokens, FirstEventDue: w.now.Add(r.job.Objective), Deadline: w.now.Add(r.job.Remaining), Rank: r.job.Rank,
	}, w.now)
	w.reply(r, reply)
	switch {
	case reply.Granted:
		w.send(r)
	case reply.Queued:
		w.pending[r.id] = r
	case r.job.MayTryAnotherEngine(try):
		placement.Done(dispatch.Refused, w.now)
		w.requestAdmission(r, try+1)
	default:
		w.refuse(r)
	}
}

func (w *world) refuse(r *request) {
	r.placement.Done(dispatch.Refused, w.now)
	r.host.dispatcher.RecordRefusal(r.job, w.now)
}

// requestMessage returns the message that asks for admission or, for an admitted request,
// confirms that it still runs.
func (w *world) requestMessage(r *request, admitted bool) *wire.AdmissionRequest {
	m := &wire.AdmissionRequest{
		Seq: r.id.Seq, ID: r.engine.instance.ID, Born: r.engine.instance.Born, Service: r.job.Service, Slots: engineSlots, MemoryTokens: engineMemory,
		Tokens: r.job.InputTokens, AimLeft: r.job.Objective, EndLeft: r.job.Remaining, Rank: uint8(r.job.Rank), Admitted: admitted, Read: admitted,
	}
	for _, p := range r.job.Parts {
		m.Parts = append(m.Parts, wire.PromptPart(p))
	}
	return m
}

func (w *world) reply(r *request, reply dispatch.AdmissionReply) {
	w.countGate(r.engine.owner.name, r.host.name, wire.KindAdmissionReply,
		&wire.AdmissionReply{Seq: r.id.Seq, Granted: reply.Granted, Queued: reply.Queued, Wait: reply.Wait})
}

func (w *world) progress(r *request, done bool) {
	w.countGate(r.host.name, r.engine.owner.name, wire.KindAdmissionProgress,
		&wire.AdmissionProgress{Seq: r.id.Seq, ID: r.engine.instance.ID, Born: r.engine.instance.Born, Done: done})
}

func (w *world) countGate(from, to string, kind wire.Kind, msg any) {
	payload, err := wire.Marshal(msg)
	if err != nil {
		w.gates.err = err
		return
	}
	w.gates.count(from, to, kind, payload)
}

// send sends an admitted request to its engine, which reads prompts one after the other.
func (w *world) send(r *request) {
	e := r.engine
	read := time.Duration(float64(r.job.InputTokens) / e.speed.PerMs() * float64(time.Millisecond))
	if e.readUntil.Before(w.now) {
		e.readUntil = w.now
	}
	e.readUntil = e.readUntil.Add(read + gateOverhead)
	w.after(e.readUntil.Sub(w.now), func() {
		r.placement.FirstEvent()
		w.progress(r, false)
		e.gate.FirstEvent(r.id, w.now)
		w.admitWaiting(e)
	})
	untilRead := e.readUntil.Sub(w.now)
	w.confirm(r, dispatch.UnreadConfirmInterval, untilRead, false)
	run := untilRead + time.Duration(math.Min(w.rng.ExpFloat64(), 4)*float64(meanRunTime))
	w.confirm(r, dispatch.ConfirmInterval, run, true)
	w.after(run+tick, func() {
		w.progress(r, true)
		r.placement.Done(dispatch.Answered, w.now)
		e.gate.Done(r.id, w.now)
		w.admitWaiting(e)
	})
}

// confirm confirms an admitted request to its gate in each interval until a time from now.
func (w *world) confirm(r *request, interval, until time.Duration, read bool) {
	for at := interval; at < until; at += interval {
		w.after(at, func() {
			m := w.requestMessage(r, true)
			m.Read, m.Parts = read, nil
			w.countGate(r.host.name, r.engine.owner.name, wire.KindAdmissionRequest, m)
			r.engine.gate.Adopt(dispatch.AdmissionRequest{ID: r.id, Tokens: r.job.InputTokens}, read, w.now)
		})
	}
}

// admitWaiting sends the requests that a gate grants now and refuses those that would be
// too late.
func (w *world) admitWaiting(e *simEngine) {
	refused := e.gate.RefuseLate(w.now)
	granted, expired := e.gate.AdmitWaiting(w.now)
	for _, id := range granted {
		r := w.pending[id]
		delete(w.pending, id)
		w.reply(r, dispatch.AdmissionReply{Granted: true})
		w.send(r)
	}
	for _, id := range append(refused, expired...) {
		r := w.pending[id]
		delete(w.pending, id)
		w.reply(r, dispatch.AdmissionReply{})
		w.refuse(r)
	}
}
