package loadplay

import (
	"slices"
	"time"

	"marigoldshunt/internal/enginemodel"
)

// Times of the simulation.
const (
	// tick is the resolution of the simulated clock.
	tick = time.Millisecond
	// tellInterval is how often hosts learn of each other.
	tellInterval = 100 * time.Millisecond
	// drainTime is played after the last arrival, so that answers can end.
	drainTime = 15 * time.Second
	// linkDelay is the way from a host to an engine.
	linkDelay = time.Millisecond
)

// Policy decides where requests go. Its methods are called in the order of simulated time.
type Policy interface {
	Name() string
	// Arrive takes a request of a caller, at its first attempt or a later one. The policy
	// calls Send or Refuse of the world, at once or later.
	Arrive(t *Try, now time.Time)
	// FirstEvent and Done follow a request that was sent.
	FirstEvent(t *Try, now time.Time)
	Done(t *Try, now time.Time)
	// Withdrawn says that the caller has left before the request was sent.
	Withdrawn(t *Try, now time.Time)
	// Tell passes what hosts tell each other, every tellInterval.
	Tell(now time.Time)
	// Engines takes the engines that can be used.
	Engines(up []bool, now time.Time)
}

// Try is one attempt of a caller.
type Try struct {
	*Request
	// Host is where this attempt arrives.
	Host    int
	Returns int
	// arrived is when this attempt began.
	arrived time.Time
	engine  int
	sent    bool
	over    bool
	first   time.Time
	last    time.Time
	late    bool
}

// World is what a policy acts on.
type World struct {
	load    *Load
	engines []*enginemodel.Engine
	up      []bool
	policy  Policy
	result  *Result
	tries   map[uint64]*Try
	// returning are callers that come back after a refusal, sending what is on its way to
	// an engine.
	returning, sending []due
	now                time.Time
}

// due is a try that goes on at a later time.
type due struct {
	t  *Try
	at time.Time
}

// Play plays a load with one policy.
func Play(l *Load, newPolicy func(*World) Policy) *Result {
	w := &World{load: l, tries: map[uint64]*Try{}, now: start}
	for range l.Engines {
		w.engines = append(w.engines, enginemodel.New(l.engine(), start))
		w.up = append(w.up, true)
	}
	w.policy = newPolicy(w)
	w.result = newResult(w.policy.Name(), l)
	w.policy.Engines(w.up, start)
	requests := l.requests()
	for end := start.Add(l.Length + drainTime); w.now.Before(end); w.now = w.now.Add(tick) {
		w.lose()
		w.advance()
		for len(requests) > 0 && !requests[0].At.After(w.now) {
			w.result.asked(requests[0])
			w.arrive(&Try{Request: requests[0], Host: requests[0].Host})
			requests = requests[1:]
		}
		w.comeBack()
		w.leave()
		if w.now.Sub(start)%tellInterval == 0 {
			w.policy.Tell(w.now)
		}
		w.deliver()
	}
	w.finish()
	return w.result
}

func (w *World) arrive(t *Try) {
	w.tries[t.ID] = t
	t.arrived = w.now
	w.policy.Arrive(t, w.now)
}

// Send sends a request to an engine.
func (w *World) Send(t *Try, engine int) {
	t.engine, t.sent = engine, true
	w.sending = append(w.sending, due{t, w.now.Add(linkDelay)})
}

// Refuse answers a caller that the request has not run. The caller comes back after the
// delay if it may, and the next host takes it.
func (w *World) Refuse(t *Try, retryAfter time.Duration) {
	t.over = true
	delete(w.tries, t.ID)
	w.result.held(t, w.now)
	back := w.now.Add(retryAfter)
	if t.Returns < t.Kind.Returns && back.Before(t.At.Add(t.Kind.Patience)) {
		next := &Try{Request: t.Request, Host: (t.Host + 1) % w.load.Hosts, Returns: t.Returns + 1}
		w.returning = append(w.returning, due{next, back})
		return
	}
	w.result.refused(t)
}

// deliver lets requests reach their engines.
func (w *World) deliver() {
	arrived := 0
	for ; arrived < len(w.sending) && !w.sending[arrived].at.After(w.now); arrived++ {
		t := w.sending[arrived].t
		if t.over {
			continue
		}
		taken := w.up[t.engine]
		if taken {
			taken, _ = w.engines[t.engine].Add(enginemodel.Request{ID: t.ID, Parts: t.Parts, Output: t.Output}, w.now)
		}
		if !taken {
			w.policy.Done(t, w.now)
			w.Refuse(t, tellInterval)
		}
	}
	w.sending = w.sending[arrived:]
}

// advance plays the engines until now.
func (w *World) advance() {
	for i, e := range w.engines {
		if !w.up[i] {
			continue
		}
		for _, v := range e.Advance(w.now) {
			t := w.tries[v.ID]
			if t == nil {
				continue
			}
			w.event(t, v)
		}
	}
}

func (w *World) event(t *Try, v enginemodel.Event) {
	switch v.Kind {
	case enginemodel.Produced:
		if t.first.IsZero() {
			t.first, t.last = v.At, v.At
			t.late = v.At.Sub(t.At) > t.Kind.Objective
			w.policy.FirstEvent(t, w.now)
		}
		t.late = t.late || v.At.Sub(t.last) > t.Kind.Gap
		t.last = v.At
	case enginemodel.Finished:
		w.end(t)
		w.result.answered(t)
	case enginemodel.Broken:
		w.end(t)
		w.result.failed(t)
	}
}

func (w *World) end(t *Try) {
	t.over = true
	delete(w.tries, t.ID)
	w.policy.Done(t, w.now)
}

// comeBack lets refused callers try again.
func (w *World) comeBack() {
	var back []due
	w.returning = slices.DeleteFunc(w.returning, func(r due) bool {
		if r.at.After(w.now) {
			return false
		}
		back = append(back, r)
		return true
	})
	for _, r := range back {
		w.arrive(r.t)
	}
}

// leave ends the requests whose callers have lost patience.
func (w *World) leave() {
	if w.now.Sub(start)%tellInterval != 0 {
		return
	}
	var gone []*Try
	for _, t := range w.tries {
		if w.now.Sub(t.At) > t.Kind.Patience {
			gone = append(gone, t)
		}
	}
	slices.SortFunc(gone, func(a, b *Try) int { return int(a.ID) - int(b.ID) })
	for _, t := range gone {
		if t.sent {
			w.engines[t.engine].Remove(t.ID, w.now)
			w.end(t)
		} else {
			t.over = true
			delete(w.tries, t.ID)
			w.policy.Withdrawn(t, w.now)
		}
		w.result.failed(t)
	}
}

// lose takes engines away and brings them back.
func (w *World) lose() {
	changed := false
	for _, s := range w.load.Losses {
		switch w.now.Sub(start) {
		case s.At.Round(tick):
			w.up[s.Engine], changed = false, true
			for _, t := range w.at(s.Engine) {
				w.end(t)
				w.result.failed(t)
			}
		case (s.At + s.For).Round(tick):
			w.up[s.Engine], changed = true, true
			w.engines[s.Engine] = enginemodel.New(w.load.engine(), w.now)
		}
	}
	if changed {
		w.policy.Engines(w.up, w.now)
	}
}

// at returns the requests that an engine has, in the order of their ids.
func (w *World) at(engine int) (list []*Try) {
	for _, t := range w.tries {
		if t.sent && t.engine == engine {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *Try) int { return int(a.ID) - int(b.ID) })
	return list
}

// finish counts what is still open, and the totals of the engines.
func (w *World) finish() {
	for _, t := range w.tries {
		w.result.failed(t)
	}
	for _, r := range w.returning {
		w.result.refused(r.t)
	}
	for _, e := range w.engines {
		w.result.engines = append(w.result.engines, e.Counts())
	}
}
