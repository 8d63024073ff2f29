// Package admission has the requests of all hosts admitted to each engine by one host, the
// owner of the engine's gate.
//
// All hosts derive the owner from the list of live hosts. When an owner is silent, hosts
// send without its consent until another one owns the gate: pacing is worth less than the
// request.
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
	// silentAfter is how long an owner may take for its first verdict.
	silentAfter = 250 * time.Millisecond
	// busyAfter is how long a request beyond its contract waits for a verdict at a host that
	// is short of processor time itself.
	busyAfter = time.Second
	// silentFor is how long an owner that did not answer is not asked again.
	silentFor = 500 * time.Millisecond
	// askAgain is the interval at which a queued request asks whether it is still queued.
	askAgain = 300 * time.Millisecond
	// checkInterval is the interval at which a waiting request looks after its owner.
	checkInterval = 50 * time.Millisecond
	// forgetAfter is when an unused gate is dropped.
	forgetAfter = time.Minute
)

// Transport sends messages to other hosts without waiting.
type Transport interface {
	Send(to string, kind wire.Kind, msg any) error
}

// Options configure an Admission.
type Options struct {
	Host      string
	Transport Transport
	Now       func() time.Time
	// Busy reports whether this host is short of processor time; nil means that it never is.
	Busy     func() bool
	Log      logrus.FieldLogger
	Registry metrics.Registry
}

// Request describes what asks for admission.
type Request struct {
	Instance catalog.Instance
	// Slots and MemoryTokens describe the engine.
	Slots, MemoryTokens int
	Parts               []dispatch.Part
	Tokens              int
	Aim, End            time.Time
	Rank                dispatch.Rank
}

// Admission is one host's part: the gates that it owns and its own waiting requests.
type Admission struct {
	o Options

	mu    sync.Mutex
	hosts rendezvous.Members
	// silent holds until when a silent owner is not asked.
	silent map[string]time.Time
	speeds map[string]*dispatch.Speedometer
	gates  map[catalog.Key]*ownedGate
	seq    uint64
	// calls are the requests of this host that wait for a verdict, held those that are at
	// their engine.
	calls map[uint64]*call
	held  map[uint64]*Ticket
}

type ownedGate struct {
	*dispatch.Gate
	speed *dispatch.Speedometer
	used  time.Time
}

// verdictBuffer holds the verdicts of an ask and of its repeats.
const verdictBuffer = 4

// call waits for verdicts.
type call struct {
	verdicts chan wire.Verdict
}

// New returns an Admission of a host that knows no other.
func New(o Options) *Admission {
	return &Admission{
		o: o, hosts: rendezvous.NewMembers(o.Host, nil), silent: map[string]time.Time{}, speeds: map[string]*dispatch.Speedometer{},
		gates: map[catalog.Key]*ownedGate{}, calls: map[uint64]*call{}, held: map[uint64]*Ticket{},
	}
}

// SetHosts takes the live hosts.
func (a *Admission) SetHosts(hosts []string) {
	members := rendezvous.NewMembers(a.o.Host, hosts)
	a.mu.Lock()
	a.hosts = members
	moved := a.moveLocked()
	a.mu.Unlock()
	for _, m := range moved {
		a.give(m.owner, m.ask)
	}
}

// moved is a request that its new owner has to know of.
type moved struct {
	owner string
	ask   *wire.Ask
}

// moveLocked finds the requests at engines whose gates have another owner by now. A new
// owner that did not know of them would send more to a busy engine.
func (a *Admission) moveLocked() (list []moved) {
	for _, t := range a.held {
		owner := a.ownerLocked(t.key)
		if owner == t.owner {
			continue
		}
		t.owner = owner
		m := a.message(t)
		m.Admitted, m.Read = true, t.read
		list = append(list, moved{owner, m})
	}
	return list
}

// ownerLocked returns the host that owns the gate of an engine.
func (a *Admission) ownerLocked(k catalog.Key) string {
	return a.hosts.Best(rendezvous.Hash(k.ID))
}

// silentLocked reports whether an owner did not answer lately.
func (a *Admission) silentLocked(owner string) bool {
	return owner != a.o.Host && a.o.Now().Before(a.silent[owner])
}

// Ticket is an admission. Its methods may be called on a nil ticket.
type Ticket struct {
	a       *Admission
	key     catalog.Key
	seq     uint64
	request *Request
	// owner and read are guarded by the Admission.
	owner string
	read  bool
}

// FirstEvent tells the owner that the engine has read the prompt.
func (t *Ticket) FirstEvent() {
	if t != nil {
		t.a.progress(t, false)
	}
}

// Done tells the owner that the request has ended.
func (t *Ticket) Done() {
	if t != nil {
		t.a.progress(t, true)
	}
}

// Admit waits until the request may be sent. It returns QueueFull with the expected wait
// if the engine can't serve it in time, and WaitExpired when ctx ends first.
func (a *Admission) Admit(ctx context.Context, r *Request) (*Ticket, error) {
	a.mu.Lock()
	a.seq++
	t := &Ticket{a: a, key: r.Instance.Key(), owner: a.ownerLocked(r.Instance.Key()), seq: a.seq, request: r}
	if a.silentLocked(t.owner) && !a.waitsForVerdict(r) {
		a.held[t.seq] = t
		a.mu.Unlock()
		a.count("bypassed")
		return t, nil
	}
	c := &call{verdicts: make(chan wire.Verdict, verdictBuffer)}
	a.calls[t.seq] = c
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.calls, t.seq)
		a.mu.Unlock()
	}()
	a.give(t.owner, a.message(t))
	if err := a.wait(ctx, t, c); err != nil {
		return nil, err
	}
	a.mu.Lock()
	a.held[t.seq] = t
	a.mu.Unlock()
	return t, nil
}

// wait returns nil once the request may be sent.
func (a *Admission) wait(ctx context.Context, t *Ticket, c *call) error {
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	looked := a.o.Now()
	due := looked.Add(silentAfter)
	// last is when a busy host gives up waiting for a verdict.
	last := looked.Add(busyAfter)
	var again time.Time
	for {
		select {
		case v := <-c.verdicts:
			switch {
			case v.Granted:
				return nil
			case !v.Queued:
				a.count("refused")
				return fault.New(fault.QueueFull, fault.NotRun, "the engine would answer after %s", v.Wait.Round(time.Millisecond)).After(v.Wait)
			}
			due, again = time.Time{}, a.o.Now().Add(askAgain)
		case <-ctx.Done():
			t.Done()
			return fault.New(fault.WaitExpired, fault.NotRun, "not admitted in time")
		case <-check.C:
			now := a.o.Now()
			due = postponed(due, now.Sub(looked))
			looked = now
			if !due.IsZero() && a.waitsForVerdict(t.request) {
				if now.After(last) {
					t.Done()
					a.count("refused_unasked")
					return fault.New(fault.QueueFull, fault.NotRun, "the host is too busy to ask the owner of the engine's gate").After(silentAfter)
				}
				continue
			}
			if a.lost(t, due, now) {
				a.count("bypassed")
				return nil
			}
			if due.IsZero() && now.After(again) {
				due, last = now.Add(silentAfter), now.Add(busyAfter)
				a.give(t.owner, a.message(t))
			}
		}
	}
}

// waitsForVerdict reports whether a request needs the consent of an owner that seems silent.
// Verdicts reach a busy host late, and what it sent beyond contracts without them would
// reach the engines unpaced.
func (a *Admission) waitsForVerdict(r *Request) bool {
	return r.Rank > dispatch.WithinContract && a.o.Busy != nil && a.o.Busy()
}

// postponed moves a due time by what this host's own timer is late. To a host that is short
// of processor time every owner seems silent, and what it sent without consent would reach
// the engines unpaced.
func postponed(due time.Time, sinceLastLook time.Duration) time.Time {
	if late := sinceLastLook - checkInterval; late > 0 && !due.IsZero() {
		return due.Add(late)
	}
	return due
}

// lost reports whether a verdict is overdue or the gate has another owner by now. A zero
// due time means that the owner has answered.
func (a *Admission) lost(t *Ticket, due, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !due.IsZero() && now.After(due) && t.owner != a.o.Host {
		a.silent[t.owner] = now.Add(silentFor)
		return true
	}
	return !due.IsZero() && a.silentLocked(t.owner) || a.ownerLocked(t.key) != t.owner
}

func (a *Admission) count(name string) {
	metrics.GetOrRegisterCounter("admission."+name, a.o.Registry).Inc(1)
}

// message describes the request to an owner.
func (a *Admission) message(t *Ticket) *wire.Ask {
	r, now := t.request, a.o.Now()
	m := &wire.Ask{
		Seq: t.seq, ID: t.key.ID, Born: t.key.Born, Service: r.Instance.Service, Slots: r.Slots, MemoryTokens: r.MemoryTokens,
		Tokens: r.Tokens, AimLeft: r.Aim.Sub(now), EndLeft: r.End.Sub(now), Rank: uint8(r.Rank),
	}
	for _, p := range r.Parts {
		m.Parts = append(m.Parts, wire.PromptPart(p))
	}
	return m
}

// give gives a request to the owner of its gate.
func (a *Admission) give(owner string, m *wire.Ask) {
	if owner == a.o.Host {
		a.onAsk(a.o.Host, m)
		return
	}
	a.send(owner, wire.KindAsk, m)
}

func (a *Admission) progress(t *Ticket, done bool) {
	a.mu.Lock()
	t.read = true
	if done {
		delete(a.held, t.seq)
	}
	owner := t.owner
	a.mu.Unlock()
	m := &wire.Progress{Seq: t.seq, ID: t.key.ID, Born: t.key.Born, Done: done}
	if owner == a.o.Host {
		a.onProgress(a.o.Host, m)
		return
	}
	a.send(owner, wire.KindProgress, m)
}

// send does not report failures: a lost ask is bypassed, a lost progress expires.
func (a *Admission) send(to string, kind wire.Kind, msg any) {
	if err := a.o.Transport.Send(to, kind, msg); err != nil {
		a.o.Log.WithError(err).WithField("to", to).Debug("Message of admission not sent.")
	}
}

// Kinds are the kinds of messages that Handle takes.
var Kinds = []wire.Kind{wire.KindAsk, wire.KindVerdict, wire.KindProgress}

// Handle takes a message of another host.
func (a *Admission) Handle(from string, _ uint64, kind wire.Kind, payload []byte) {
	var err error
	switch kind {
	case wire.KindAsk:
		var m wire.Ask
		if err = wire.Unmarshal(payload, &m); err == nil {
			a.onAsk(from, &m)
		}
	case wire.KindProgress:
		var m wire.Progress
		if err = wire.Unmarshal(payload, &m); err == nil {
			a.onProgress(from, &m)
		}
	case wire.KindVerdict:
		var m wire.Verdict
		if err = wire.Unmarshal(payload, &m); err == nil {
			a.deliver(m)
		}
	}
	if err != nil {
		a.o.Log.WithError(err).WithField("from", from).Warn("Message of admission not readable.")
	}
}

func (a *Admission) deliver(v wire.Verdict) {
	a.mu.Lock()
	c := a.calls[v.Seq]
	a.mu.Unlock()
	if c == nil {
		return
	}
	select {
	case c.verdicts <- v:
	default:
		// The request has left the queue; what it has not read yet decides already.
	}
}

// addressed is a verdict with the host that it is for.
type addressed struct {
	host string
	wire.Verdict
}

func (a *Admission) tell(list []addressed) {
	for _, v := range list {
		if v.host == a.o.Host {
			a.deliver(v.Verdict)
			continue
		}
		a.send(v.host, wire.KindVerdict, v.Verdict)
	}
}

func (a *Admission) onAsk(from string, m *wire.Ask) {
	now := a.o.Now()
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
	out := []addressed{{from, wire.Verdict{Seq: m.Seq, Granted: v.Granted, Queued: v.Queued, Wait: v.Wait}}}
	a.mu.Unlock()
	a.tell(out)
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
	g.used = now
	return g
}

func (a *Admission) onProgress(from string, m *wire.Progress) {
	now := a.o.Now()
	id := dispatch.AskID{Host: from, Seq: m.Seq}
	a.mu.Lock()
	g := a.gates[catalog.Key{ID: m.ID, Born: m.Born}]
	var out []addressed
	if g != nil {
		if m.Done {
			g.Done(id, now)
		} else {
			g.FirstEvent(id, now)
		}
		out = g.next(now)
	}
	a.mu.Unlock()
	a.tell(out)
}

func (g *ownedGate) next(now time.Time) (out []addressed) {
	granted, refused := g.Next(now)
	for _, id := range granted {
		out = append(out, addressed{id.Host, wire.Verdict{Seq: id.Seq, Granted: true}})
	}
	for _, id := range refused {
		out = append(out, addressed{id.Host, wire.Verdict{Seq: id.Seq}})
	}
	return out
}

// Tick ends waits that have expired and drops what is lost or unused.
func (a *Admission) Tick(now time.Time) {
	a.mu.Lock()
	var out []addressed
	for k, g := range a.gates {
		g.Sweep(now)
		for _, id := range g.Expire(now) {
			out = append(out, addressed{id.Host, wire.Verdict{Seq: id.Seq}})
		}
		out = append(out, g.next(now)...)
		if now.Sub(g.used) > forgetAfter {
			delete(a.gates, k)
		}
	}
	a.mu.Unlock()
	a.tell(out)
}

// Loads returns the loads of the gates that this host owns.
func (a *Admission) Loads() []wire.GateLoad {
	now := a.o.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []wire.GateLoad
	for k, g := range a.gates {
		if a.ownerLocked(k) != a.o.Host {
			continue
		}
		backlog, running := g.Backlog(now)
		out = append(out, wire.GateLoad{ID: k.ID, Born: k.Born, Backlog: backlog, Running: running, PerMs: g.speed.PerMs()})
	}
	return out
}
