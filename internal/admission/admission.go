// Package admission controls when the requests of all hosts are sent to each engine. One
// host, the owner of the engine's gate (its admission queue), decides for all hosts.
//
// All hosts derive the owner from the list of live hosts. When an owner does not respond,
// hosts send without its verdict until another one owns the gate: serving the request
// matters more than pacing it.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/rendezvous"
	"marigoldshunt/internal/wire"
)

// Times of the protocol between hosts and owners.
const (
	// verdictTimeout is how long an owner may take for its verdict on an ask, the first one
	// or a repeated one.
	verdictTimeout = 250 * time.Millisecond
	// busyVerdictTimeout is how long a request beyond its account's configured share waits
	// for a verdict at a host that is itself short of CPU time.
	busyVerdictTimeout = time.Second
	// unresponsivePeriod is how long an owner that did not answer is not asked again.
	unresponsivePeriod = 500 * time.Millisecond
	// repeatInterval is the interval at which a queued request asks whether it is still
	// queued.
	repeatInterval = 300 * time.Millisecond
	// checkInterval is the interval at which a waiting request checks on its owner.
	checkInterval = 50 * time.Millisecond
	// gateIdleTimeout is the time after which an unused gate is dropped.
	gateIdleTimeout = time.Minute
)

// Transport sends messages to other hosts without blocking.
type Transport interface {
	Send(to string, kind wire.Kind, msg any) error
}

// Options configure an Admission.
type Options struct {
	Host      string
	Transport Transport
	Now       func() time.Time
	// Busy reports whether this host is short of CPU time; nil means that it never is.
	Busy     func() bool
	Log      logrus.FieldLogger
	Registry metrics.Registry
}

// Request describes a request that needs admission.
type Request struct {
	Instance catalog.Instance
	// Slots and MemoryTokens describe the engine.
	Slots, MemoryTokens int
	Parts               []dispatch.Part
	Tokens              int
	Aim, End            time.Time
	Rank                dispatch.Rank
}

// Admission holds the gates that this host owns and the requests of this host.
type Admission struct {
	opts Options

	mu    sync.Mutex
	hosts rendezvous.Members
	// unresponsiveUntil holds, by owner, the time until which an unresponsive one is not
	// asked.
	unresponsiveUntil map[string]time.Time
	speeds            map[string]*dispatch.Speedometer
	gates             map[catalog.Key]*ownedGate
	seq               uint64
	// waiters are the requests of this host that wait to be admitted, admitted those that
	// are at their engine.
	waiters  map[uint64]*waiter
	admitted map[uint64]*Ticket
}

type ownedGate struct {
	*dispatch.Gate
	speed    *dispatch.Speedometer
	lastUsed time.Time
}

// verdictBuffer is the number of verdicts buffered for an ask and its repeats.
const verdictBuffer = 4

// waiter receives the verdicts on one request.
type waiter struct {
	verdicts chan wire.Verdict
}

// New returns an Admission for a host that knows no other.
func New(o Options) *Admission {
	return &Admission{
		opts: o, hosts: rendezvous.NewMembers(o.Host, nil), unresponsiveUntil: map[string]time.Time{}, speeds: map[string]*dispatch.Speedometer{},
		gates: map[catalog.Key]*ownedGate{}, waiters: map[uint64]*waiter{}, admitted: map[uint64]*Ticket{},
	}
}

// SetHosts sets the live hosts.
func (a *Admission) SetHosts(hosts []string) {
	members := rendezvous.NewMembers(a.opts.Host, hosts)
	a.mu.Lock()
	a.hosts = members
	handovers := a.handoversLocked()
	a.mu.Unlock()
	for _, m := range handovers {
		a.sendAsk(m.owner, m.ask)
	}
}

// handover is an admitted request of which the new owner of its gate has to be told.
type handover struct {
	owner string
	ask   *wire.Ask
}

// handoversLocked updates the owner of each admitted request whose gate has a new one, and
// returns the messages that tell the new owners about these requests. An owner that did not
// know of them would send more to a busy engine.
func (a *Admission) handoversLocked() (list []handover) {
	for _, t := range a.admitted {
		owner := a.ownerLocked(t.key)
		if owner == t.owner {
			continue
		}
		t.owner = owner
		m := a.askMessage(t)
		m.Admitted, m.Read = true, t.read
		list = append(list, handover{owner, m})
	}
	return list
}

// ownerLocked returns the host that owns the gate of an engine.
func (a *Admission) ownerLocked(k catalog.Key) string {
	return a.hosts.Best(rendezvous.Hash(k.ID))
}

// unresponsiveLocked reports whether an owner failed to answer recently.
func (a *Admission) unresponsiveLocked(owner string) bool {
	return owner != a.opts.Host && a.opts.Now().Before(a.unresponsiveUntil[owner])
}

// Ticket is the admission of one request. Its methods may be called on a nil ticket.
type Ticket struct {
	a       *Admission
	key     catalog.Key
	seq     uint64
	request *Request
	// owner and read are guarded by the mutex of the Admission.
	owner string
	read  bool
}

// FirstEvent tells the owner that the engine has read the prompt.
func (t *Ticket) FirstEvent() {
	if t != nil {
		t.a.reportProgress(t, false)
	}
}

// Done tells the owner that the request has ended.
func (t *Ticket) Done() {
	if t != nil {
		t.a.reportProgress(t, true)
	}
}

// Admit waits until the request may be sent. It returns QueueFull with the expected wait
// if the engine can't serve it in time, and WaitExpired when ctx ends first.
func (a *Admission) Admit(ctx context.Context, r *Request) (*Ticket, error) {
	a.mu.Lock()
	a.seq++
	t := &Ticket{a: a, key: r.Instance.Key(), owner: a.ownerLocked(r.Instance.Key()), seq: a.seq, request: r}
	if a.unresponsiveLocked(t.owner) && !a.needsVerdict(r) {
		a.admitted[t.seq] = t
		a.mu.Unlock()
		a.countEvent("bypassed")
		return t, nil
	}
	w := &waiter{verdicts: make(chan wire.Verdict, verdictBuffer)}
	a.waiters[t.seq] = w
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.waiters, t.seq)
		a.mu.Unlock()
	}()
	a.sendAsk(t.owner, a.askMessage(t))
	if err := a.wait(ctx, t, w); err != nil {
		return nil, err
	}
	a.mu.Lock()
	a.admitted[t.seq] = t
	a.mu.Unlock()
	return t, nil
}

// wait returns nil once the request may be sent, with or without a verdict.
func (a *Admission) wait(ctx context.Context, t *Ticket, w *waiter) error {
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	lastCheck := a.opts.Now()
	verdictDue := lastCheck.Add(verdictTimeout)
	// giveUpAt is when a busy host refuses the request if it still has no verdict.
	giveUpAt := lastCheck.Add(busyVerdictTimeout)
	var repeatAt time.Time
	for {
		select {
		case v := <-w.verdicts:
			switch {
			case v.Granted:
				return nil
			case !v.Queued:
				a.countEvent("refused")
				return fault.New(fault.QueueFull, fault.NotRun, "the engine would answer after %s", v.Wait.Round(time.Millisecond)).After(v.Wait)
			}
			verdictDue, repeatAt = time.Time{}, a.opts.Now().Add(repeatInterval)
		case <-ctx.Done():
			t.Done()
			return fault.New(fault.WaitExpired, fault.NotRun, "not admitted in time")
		case <-check.C:
			now := a.opts.Now()
			verdictDue = extendForTimerDelay(verdictDue, now.Sub(lastCheck))
			lastCheck = now
			if !verdictDue.IsZero() && a.needsVerdict(t.request) {
				if now.After(giveUpAt) {
					t.Done()
					a.countEvent("refused_unasked")
					return fault.New(fault.QueueFull, fault.NotRun, "the host is too busy to ask the owner of the engine's gate").After(verdictTimeout)
				}
				continue
			}
			if a.mayBypass(t, verdictDue, now) {
				a.countEvent("bypassed")
				return nil
			}
			if verdictDue.IsZero() && now.After(repeatAt) {
				verdictDue, giveUpAt = now.Add(verdictTimeout), now.Add(busyVerdictTimeout)
				a.sendAsk(t.owner, a.askMessage(t))
			}
		}
	}
}

// needsVerdict reports whether a request must wait for a verdict even if the owner seems
// unresponsive. Verdicts reach a busy host late. If it sent requests beyond their accounts'
// configured shares without waiting, these would reach the engines unpaced.
func (a *Admission) needsVerdict(r *Request) bool {
	return r.Rank > dispatch.WithinContract && a.opts.Busy != nil && a.opts.Busy()
}

// extendForTimerDelay extends a due time by the delay of this host's own timer. To a host
// that is short of CPU time every owner seems unresponsive, and requests that it
// sent without a verdict would reach the engines unpaced.
func extendForTimerDelay(due time.Time, sinceLastCheck time.Duration) time.Time {
	if late := sinceLastCheck - checkInterval; late > 0 && !due.IsZero() {
		return due.Add(late)
	}
	return due
}

// mayBypass reports whether a request may be sent without a verdict, because the verdict
// is overdue or the gate has another owner by now. It marks an owner whose verdict is
// overdue as unresponsive. A zero due time means that the owner has answered.
func (a *Admission) mayBypass(t *Ticket, due, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !due.IsZero() && now.After(due) && t.owner != a.opts.Host {
		a.unresponsiveUntil[t.owner] = now.Add(unresponsivePeriod)
		return true
	}
	return !due.IsZero() && a.unresponsiveLocked(t.owner) || a.ownerLocked(t.key) != t.owner
}

func (a *Admission) countEvent(name string) {
	metrics.GetOrRegisterCounter("admission."+name, a.opts.Registry).Inc(1)
}

// askMessage describes the request to an owner.
func (a *Admission) askMessage(t *Ticket) *wire.Ask {
	r, now := t.request, a.opts.Now()
	m := &wire.Ask{
		Seq: t.seq, ID: t.key.ID, Born: t.key.Born, Service: r.Instance.Service, Slots: r.Slots, MemoryTokens: r.MemoryTokens,
		Tokens: r.Tokens, AimLeft: r.Aim.Sub(now), EndLeft: r.End.Sub(now), Rank: uint8(r.Rank),
	}
	for _, p := range r.Parts {
		m.Parts = append(m.Parts, wire.PromptPart(p))
	}
	return m
}

// sendAsk gives a request to the owner of its gate, which may be this host.
func (a *Admission) sendAsk(owner string, m *wire.Ask) {
	if owner == a.opts.Host {
		a.handleAsk(a.opts.Host, m)
		return
	}
	a.send(owner, wire.KindAsk, m)
}

func (a *Admission) reportProgress(t *Ticket, done bool) {
	a.mu.Lock()
	t.read = true
	if done {
		delete(a.admitted, t.seq)
	}
	owner := t.owner
	a.mu.Unlock()
	m := &wire.Progress{Seq: t.seq, ID: t.key.ID, Born: t.key.Born, Done: done}
	if owner == a.opts.Host {
		a.handleProgress(a.opts.Host, m)
		return
	}
	a.send(owner, wire.KindProgress, m)
}

// send does not return failures. A request whose ask is lost is sent without a verdict, and
// one whose progress is lost is dropped by its gate after a timeout.
func (a *Admission) send(to string, kind wire.Kind, msg any) {
	if err := a.opts.Transport.Send(to, kind, msg); err != nil {
		a.opts.Log.WithError(err).WithField("to", to).Debug("Failed to send an admission message.")
	}
}

// Kinds are the kinds of messages that Handle accepts.
var Kinds = []wire.Kind{wire.KindAsk, wire.KindVerdict, wire.KindProgress}

// Handle processes a message from another host.
func (a *Admission) Handle(from string, _ uint64, kind wire.Kind, payload []byte) {
	var err error
	switch kind {
	case wire.KindAsk:
		var m wire.Ask
		if err = wire.Unmarshal(payload, &m); err == nil {
			a.handleAsk(from, &m)
		}
	case wire.KindProgress:
		var m wire.Progress
		if err = wire.Unmarshal(payload, &m); err == nil {
			a.handleProgress(from, &m)
		}
	case wire.KindVerdict:
		var m wire.Verdict
		if err = wire.Unmarshal(payload, &m); err == nil {
			a.deliver(m)
		}
	}
	if err != nil {
		a.opts.Log.WithError(err).WithField("from", from).Warn("Failed to decode an admission message.")
	}
}

func (a *Admission) deliver(v wire.Verdict) {
	a.mu.Lock()
	w := a.waiters[v.Seq]
	a.mu.Unlock()
	if w == nil {
		return
	}
	select {
	case w.verdicts <- v:
	default:
		// The buffer is full. The request does not need this verdict, because those that it
		// has not read yet decide already.
	}
}

// addressedVerdict is a verdict with the host that it is for.
type addressedVerdict struct {
	host string
	wire.Verdict
}

func (a *Admission) sendVerdicts(list []addressedVerdict) {
	for _, v := range list {
		if v.host == a.opts.Host {
			a.deliver(v.Verdict)
			continue
		}
		a.send(v.host, wire.KindVerdict, v.Verdict)
	}
}

func (a *Admission) handleAsk(from string, m *wire.Ask) {
	now := a.opts.Now()
	ask := dispatch.Ask{
		ID: dispatch.AskID{Host: from, Seq: m.Seq}, Tokens: m.Tokens,
		Aim: now.Add(m.AimLeft), End: now.Add(m.EndLeft), Rank: min(dispatch.Rank(m.Rank), dispatch.Excess),
	}
	for _, p := range m.Parts {
		ask.Parts = append(ask.Parts, dispatch.Part(p))
	}
	a.mu.Lock()
	g := a.gateLocked(m, now)
	if m.Admitted {
		g.Adopt(ask, m.Read, now)
		a.mu.Unlock()
		return
	}
	v := g.Ask(ask, now)
	out := []addressedVerdict{{from, wire.Verdict{Seq: m.Seq, Granted: v.Granted, Queued: v.Queued, Wait: v.Wait}}}
	a.mu.Unlock()
	a.sendVerdicts(out)
}

func (a *Admission) gateLocked(m *wire.Ask, now time.Time) *ownedGate {
	k := catalog.Key{ID: m.ID, Born: m.Born}
	g := a.gates[k]
	if g == nil {
		speed := a.speeds[m.Service]
		if speed == nil {
			speed = dispatch.NewSpeedometer()
			a.speeds[m.Service] = speed
		}
		g = &ownedGate{Gate: dispatch.NewGate(m.Slots, m.MemoryTokens, speed), speed: speed}
		a.gates[k] = g
	}
	g.lastUsed = now
	return g
}

func (a *Admission) handleProgress(from string, m *wire.Progress) {
	now := a.opts.Now()
	id := dispatch.AskID{Host: from, Seq: m.Seq}
	a.mu.Lock()
	g := a.gates[catalog.Key{ID: m.ID, Born: m.Born}]
	var out []addressedVerdict
	if g != nil {
		if m.Done {
			g.Done(id, now)
		} else {
			g.FirstEvent(id, now)
		}
		out = g.next(now)
	}
	a.mu.Unlock()
	a.sendVerdicts(out)
}

func (g *ownedGate) next(now time.Time) (out []addressedVerdict) {
	granted, refused := g.Next(now)
	for _, id := range granted {
		out = append(out, addressedVerdict{id.Host, wire.Verdict{Seq: id.Seq, Granted: true}})
	}
	for _, id := range refused {
		out = append(out, addressedVerdict{id.Host, wire.Verdict{Seq: id.Seq}})
	}
	return out
}

// Tick refuses waiting requests that can't be served in time any more, grants those that
// have room, and drops lost requests and unused gates.
func (a *Admission) Tick(now time.Time) {
	a.mu.Lock()
	var out []addressedVerdict
	for k, g := range a.gates {
		g.Sweep(now)
		for _, id := range g.Expire(now) {
			out = append(out, addressedVerdict{id.Host, wire.Verdict{Seq: id.Seq}})
		}
		out = append(out, g.next(now)...)
		if now.Sub(g.lastUsed) > gateIdleTimeout {
			delete(a.gates, k)
		}
	}
	a.mu.Unlock()
	a.sendVerdicts(out)
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
