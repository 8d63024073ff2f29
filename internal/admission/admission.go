// Package admission controls when the requests of all hosts are sent to each engine. One
// host, the owner of the engine's gate (its admission queue), decides for all hosts.
//
// All hosts derive the owner from the list of live hosts. When an owner does not respond,
// hosts send without its reply until another one owns the gate: serving the request matters
// more than pacing it.
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
	// replyTimeout is how long an owner may take for its reply to a request, the first one
	// or a repeated one.
	replyTimeout = 250 * time.Millisecond
	// busyReplyTimeout is how long a request beyond its account's configured share waits
	// for a reply at a host that is itself short of CPU time.
	busyReplyTimeout = time.Second
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
	Slots, MemoryTokens     int
	Parts                   []dispatch.Part
	Tokens                  int
	FirstEventDue, Deadline time.Time
	Rank                    dispatch.Rank
	// RateLimit is the number of requests per second that the upstream takes from all hosts, as
	// far as this host knows; 0 means no limit.
	RateLimit float64
	// RequestID is the caller's id, for the log. LastAttempt is true when a refusal ends the
	// request.
	RequestID   string
	LastAttempt bool
	// Gate is set by Admit.
	Gate GateAnswer
}

// Admission holds the gates that this host owns and the requests of this host.
type Admission struct {
	opts Options

	mu    sync.Mutex
	hosts rendezvous.Members
	// unresponsiveUntil holds, by owner, the time until which an unresponsive one is not
	// asked.
	unresponsiveUntil map[string]time.Time
	speeds            map[string]*dispatch.SpeedEstimator
	gates             map[catalog.Key]*ownedGate
	// bypassLimits pace the requests to upstreams with a rate limit that this host sends without
	// a reply.
	bypassLimits map[catalog.Key]*bypassLimit
	seq          uint64
	// waiters are the requests of this host that wait to be admitted, admitted those that
	// are at their engine.
	waiters  map[uint64]*waiter
	admitted map[uint64]*Permit
	// stallsReportedAt is when gates that admit nothing were last logged.
	stallsReportedAt time.Time
}

// replyBuffer is the number of replies buffered for a request and its repeats.
const replyBuffer = 4

// waiter receives the replies to one request.
type waiter struct {
	replies chan wire.AdmissionReply
	// gate is guarded by the mutex of the Admission.
	gate GateAnswer
}

// New returns an Admission for a host that knows no other.
func New(opts Options) *Admission {
	return &Admission{
		opts: opts, hosts: rendezvous.NewMembers(opts.Host, nil), unresponsiveUntil: map[string]time.Time{}, speeds: map[string]*dispatch.SpeedEstimator{},
		gates: map[catalog.Key]*ownedGate{}, bypassLimits: map[catalog.Key]*bypassLimit{}, waiters: map[uint64]*waiter{}, admitted: map[uint64]*Permit{},
	}
}

// SetHosts sets the live hosts.
func (a *Admission) SetHosts(hosts []string) {
	members := rendezvous.NewMembers(a.opts.Host, hosts)
	a.mu.Lock()
	owned := a.ownedGatesLocked()
	a.hosts = members
	a.forgetLeavingLocked(owned)
	handovers := a.handoversLocked()
	a.mu.Unlock()
	a.announce(handovers)
}

// ownerLocked returns the host that owns the gate of an engine.
func (a *Admission) ownerLocked(k catalog.Key) string {
	return a.hosts.Best(rendezvous.Hash(k.ID))
}

// unresponsiveLocked reports whether an owner failed to answer recently.
func (a *Admission) unresponsiveLocked(owner string) bool {
	return owner != a.opts.Host && a.opts.Now().Before(a.unresponsiveUntil[owner])
}

// Permit is the admission of one request. Its methods may be called on a nil Permit.
type Permit struct {
	a       *Admission
	key     catalog.Key
	seq     uint64
	request *Request
	// owner, read and announcedAt are guarded by the mutex of the Admission.
	owner string
	read  bool
	// announcedAt is when the owner was last told of the request.
	announcedAt time.Time
	// rateLimit is what the response said about the rate limit, nil if it said nothing new.
	rateLimit *wire.RateLimit
}

// RateLimitChanged has the owner told of the rate limit that the response named, 0 for none,
// with the next progress of the request.
func (p *Permit) RateLimitChanged(perSecond float64) {
	if p != nil {
		p.a.mu.Lock()
		p.rateLimit = &wire.RateLimit{PerSecond: perSecond}
		p.a.mu.Unlock()
	}
}

// FirstEvent tells the owner that the engine has read the prompt.
func (p *Permit) FirstEvent() {
	if p != nil {
		p.a.reportProgress(p, false)
	}
}

// Answered tells the owner that the engine has read the prompt, unless it knows.
func (p *Permit) Answered() {
	if p == nil || !dispatch.HasEngine(p.request.Slots, p.request.MemoryTokens) {
		return
	}
	p.a.mu.Lock()
	read := p.read
	p.a.mu.Unlock()
	if !read {
		p.a.reportProgress(p, false)
	}
}

// Done tells the owner that the request has ended.
func (p *Permit) Done() {
	if p != nil {
		p.a.reportProgress(p, true)
	}
}

// Admit waits until the request may be sent. It returns QueueFull with the expected wait
// if the engine can't serve it in time, and WaitExpired when ctx ends first.
func (a *Admission) Admit(ctx context.Context, r *Request) (*Permit, error) {
	a.mu.Lock()
	a.seq++
	p := &Permit{a: a, key: r.Instance.Key(), owner: a.ownerLocked(r.Instance.Key()), seq: a.seq, request: r}
	if a.unresponsiveLocked(p.owner) && !a.needsReply(r) {
		if err := a.bypassLocked(p); err != nil {
			a.mu.Unlock()
			return nil, err
		}
		a.admitLocked(p)
		a.mu.Unlock()
		r.Gate = GateAnswer{Owner: p.owner, Seq: p.seq, Result: GateBypassed}
		a.countEvent("bypassed")
		return p, nil
	}
	w := &waiter{replies: make(chan wire.AdmissionReply, replyBuffer), gate: GateAnswer{Owner: p.owner, Seq: p.seq, Result: GateNoReply}}
	a.waiters[p.seq] = w
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.waiters, p.seq)
		r.Gate = w.gate
		a.mu.Unlock()
	}()
	a.sendRequest(p.owner, a.requestMessage(p))
	if err := a.wait(ctx, p, w); err != nil {
		return nil, err
	}
	a.mu.Lock()
	a.admitLocked(p)
	if w.gate.Result != GateGranted {
		w.gate.Result = GateBypassed
	}
	a.mu.Unlock()
	return p, nil
}

func (a *Admission) admitLocked(p *Permit) {
	p.announcedAt = a.opts.Now()
	a.admitted[p.seq] = p
}

// wait returns nil once the request may be sent, with or without a reply.
func (a *Admission) wait(ctx context.Context, p *Permit, w *waiter) error {
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	lastCheck := a.opts.Now()
	replyDue := lastCheck.Add(replyTimeout)
	// giveUpAt is when a busy host refuses the request if it still has no reply.
	giveUpAt := lastCheck.Add(busyReplyTimeout)
	var repeatAt time.Time
	for {
		select {
		case reply := <-w.replies:
			switch {
			case reply.Granted:
				return nil
			case !reply.Queued:
				a.countEvent("refused")
				return refusalError(reply)
			}
			replyDue, repeatAt = time.Time{}, a.opts.Now().Add(repeatInterval)
		case <-ctx.Done():
			p.Done()
			return fault.New(fault.WaitExpired, fault.NotRun, "not admitted in time")
		case <-check.C:
			now := a.opts.Now()
			replyDue = extendForTimerDelay(replyDue, now.Sub(lastCheck))
			lastCheck = now
			if !replyDue.IsZero() && a.needsReply(p.request) {
				if now.After(giveUpAt) {
					p.Done()
					a.countEvent("refused_unasked")
					return fault.New(fault.QueueFull, fault.NotRun, "the host is too busy to ask the owner of the engine's gate").WithRetryAfter(replyTimeout)
				}
				continue
			}
			if a.mayBypass(p, replyDue, now) {
				if a.replyOverdue(p, replyDue, now) {
					a.markUnresponsive(p.owner, now)
				}
				if err := a.bypass(p); err != nil {
					p.Done()
					return err
				}
				a.countEvent("bypassed")
				return nil
			}
			if replyDue.IsZero() && now.After(repeatAt) {
				replyDue, giveUpAt = now.Add(replyTimeout), now.Add(busyReplyTimeout)
				a.sendRequest(p.owner, a.requestMessage(p))
			}
		}
	}
}

// needsReply reports whether a request must wait for a reply even if the owner seems
// unresponsive. Replies reach a busy host late. If it sent requests beyond their accounts'
// configured shares without waiting, these would reach the engines unpaced.
func (a *Admission) needsReply(r *Request) bool {
	return r.Rank > dispatch.WithinConfiguredShare && a.opts.Busy != nil && a.opts.Busy()
}

// extendForTimerDelay extends a due time by the delay of this host's own timer. To a host
// that is short of CPU time every owner seems unresponsive, and requests that it sent
// without a reply would reach the engines unpaced.
func extendForTimerDelay(due time.Time, sinceLastCheck time.Duration) time.Time {
	if late := sinceLastCheck - checkInterval; late > 0 && !due.IsZero() {
		return due.Add(late)
	}
	return due
}

// mayBypass reports whether a request may be sent without a reply, because the reply is
// overdue, the owner is unresponsive or the gate has another owner by now. A zero due time
// means that the owner has answered.
func (a *Admission) mayBypass(p *Permit, due, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.replyOverdue(p, due, now) || !due.IsZero() && a.unresponsiveLocked(p.owner) || a.ownerLocked(p.key) != p.owner
}

// replyOverdue reports whether another host owes a reply since the due time.
func (a *Admission) replyOverdue(p *Permit, due, now time.Time) bool {
	return !due.IsZero() && now.After(due) && p.owner != a.opts.Host
}

func (a *Admission) markUnresponsive(owner string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unresponsiveUntil[owner] = now.Add(unresponsivePeriod)
}

func (a *Admission) countEvent(name string) {
	metrics.GetOrRegisterCounter("admission."+name, a.opts.Registry).Inc(1)
}

// requestMessage describes the request to an owner.
func (a *Admission) requestMessage(p *Permit) *wire.AdmissionRequest {
	r, now := p.request, a.opts.Now()
	m := &wire.AdmissionRequest{
		Seq: p.seq, ID: p.key.ID, Born: p.key.Born, Service: r.Instance.Service, Slots: r.Slots, MemoryTokens: r.MemoryTokens,
		Tokens: r.Tokens, AimLeft: r.FirstEventDue.Sub(now), EndLeft: r.Deadline.Sub(now), Rank: uint8(r.Rank),
	}
	m.LastAttempt = r.LastAttempt
	if r.LastAttempt && len(r.RequestID) <= maxRequestIDBytes {
		m.RequestID = r.RequestID
	}
	for _, part := range r.Parts {
		m.Parts = append(m.Parts, wire.PromptPart(part))
	}
	return m
}

// sendRequest gives a request to the owner of its gate, which may be this host.
func (a *Admission) sendRequest(owner string, m *wire.AdmissionRequest) {
	if owner == a.opts.Host {
		a.handleRequest(a.opts.Host, m)
		return
	}
	a.send(owner, wire.KindAdmissionRequest, m)
}

func (a *Admission) reportProgress(p *Permit, done bool) {
	a.mu.Lock()
	p.read = true
	if done {
		delete(a.admitted, p.seq)
	}
	owner := p.owner
	m := &wire.AdmissionProgress{Seq: p.seq, ID: p.key.ID, Born: p.key.Born, Done: done, RateLimit: p.rateLimit}
	p.rateLimit = nil
	a.mu.Unlock()
	if owner == a.opts.Host {
		a.handleProgress(a.opts.Host, m)
		return
	}
	a.send(owner, wire.KindAdmissionProgress, m)
}

// send does not return failures. A request whose message to the owner is lost is sent
// without a reply, and one whose end is lost is dropped by its gate after a timeout.
func (a *Admission) send(to string, kind wire.Kind, msg any) {
	if err := a.opts.Transport.Send(to, kind, msg); err != nil {
		a.opts.Log.WithError(err).WithField("to", to).Debug("Failed to send an admission message.")
	}
}

// Kinds are the kinds of messages that Handle accepts.
var Kinds = []wire.Kind{wire.KindAdmissionRequest, wire.KindAdmissionReply, wire.KindAdmissionProgress, wire.KindAdmissionUnreachable}

// Handle processes a message from another host.
func (a *Admission) Handle(from string, _ uint64, kind wire.Kind, payload []byte) {
	var err error
	switch kind {
	case wire.KindAdmissionRequest:
		var m wire.AdmissionRequest
		if err = wire.Unmarshal(payload, &m); err == nil {
			a.handleRequest(from, &m)
		}
	case wire.KindAdmissionProgress:
		var m wire.AdmissionProgress
		if err = wire.Unmarshal(payload, &m); err == nil {
			a.handleProgress(from, &m)
		}
	case wire.KindAdmissionUnreachable:
		var m wire.AdmissionUnreachable
		if err = wire.Unmarshal(payload, &m); err == nil {
			a.handleUnreachable(from, &m)
		}
	case wire.KindAdmissionReply:
		var m wire.AdmissionReply
		if err = wire.Unmarshal(payload, &m); err == nil {
			a.deliver(m)
		}
	}
	if err != nil {
		a.opts.Log.WithError(err).WithField("from", from).Warn("Failed to decode an admission message.")
	}
}

func (a *Admission) deliver(reply wire.AdmissionReply) {
	a.mu.Lock()
	w := a.waiters[reply.Seq]
	if w != nil {
		w.recordLocked(reply, a.opts.Now())
	}
	a.mu.Unlock()
	if w == nil {
		return
	}
	select {
	case w.replies <- reply:
	default:
		// The buffer is full. The request does not need this reply, because those that it
		// has not read yet decide already.
	}
}

// Tick confirms the admitted requests of this host, refuses waiting requests that can't be
// served in time any more, grants those that have room, and drops lost requests and unused
// gates.
func (a *Admission) Tick(now time.Time) {
	a.mu.Lock()
	confirmations := a.confirmationsLocked(now)
	a.mu.Unlock()
	a.announce(confirmations)
	a.mu.Lock()
	var out []addressedReply
	lost, stalls, reportStalls := map[catalog.Key][]dispatch.LostRequest{}, map[catalog.Key]dispatch.Stall{}, now.Sub(a.stallsReportedAt) >= stallLogInterval
	if reportStalls {
		a.stallsReportedAt = now
	}
	for k, g := range a.gates {
		if dropped := g.DropLost(now); len(dropped) > 0 {
			lost[k] = dropped
		}
		if reportStalls {
			if s, ok := g.Stalled(stallLogAge, now); ok {
				stalls[k] = s
			}
		}
		g.RefuseLate(now) // next returns the replies to the refused ones
		out = append(out, g.next(now)...)
		if now.Sub(g.lastUsed) > gateIdleTimeout {
			delete(a.gates, k)
		}
	}
	a.dropBypassLimitsLocked(now)
	a.mu.Unlock()
	a.logLost(lost)
	a.logStalls(stalls)
	a.sendReplies(out)
}
