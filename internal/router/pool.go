package router

import (
	"math"
	"sort"
	"time"

	"marigoldshunt/internal/wire"
)

// poolView is what the router knows about one pool and its scheduler. It is guarded by
// Router.mu.
type poolView struct {
	name      string
	scheduler string
	// fence is the highest fencing number seen. Grants with a lower one are from a
	// scheduler that has lost its lease.
	fence uint64
	// syncedAt is the router clock of the last Sync. Grants that echo an older value
	// were decided before the Sync and are invalid.
	syncedAt    time.Duration
	shareTags   map[string]float64
	virtualTime float64
	// throttles holds the accounts that have exceeded their rate limit.
	throttles map[string]*throttle
	// upstreamLimits are the latest concurrency limits of upstreams, for the next
	// scheduler.
	upstreamLimits map[string]upstreamLimit
}

// upstreamLimitMaxAge is how long the limit of an upstream is passed on to a new
// scheduler.
const upstreamLimitMaxAge = 10 * time.Second

// upstreamLimit is an upstream's concurrency limit from its latest grant.
type upstreamLimit struct {
	instance string
	limit    int
	at       time.Duration
}

func (r *Router) pool(name string) *poolView {
	p := r.pools[name]
	if p == nil {
		p = &poolView{
			name: name, shareTags: map[string]float64{}, upstreamLimits: map[string]upstreamLimit{},
			throttles: map[string]*throttle{}, virtualTime: math.Inf(-1),
		}
		r.pools[name] = p
	}
	return p
}

// LeasesChanged tells the router which host schedules each pool now. The router sends a
// new scheduler a Sync with all that it knows about the pool.
func (r *Router) LeasesChanged(leases []wire.Lease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range leases {
		p := r.pool(l.Pool)
		if l.Fence < p.fence || (l.Fence == p.fence && l.Host == p.scheduler) {
			continue
		}
		p.fence, p.scheduler = l.Fence, l.Host
		r.sendSync(p)
	}
}

// PeerUp tells the router that a connection to a host was re-established, so messages
// on the old connection may be lost.
func (r *Router) PeerUp(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pools {
		if p.scheduler == host {
			r.sendSync(p)
		}
	}
}

// sendSync sends all that the router knows about a pool to the pool's scheduler. r.mu
// must be held.
func (r *Router) sendSync(p *poolView) {
	if p.scheduler == "" {
		return
	}
	// A new scheduler starts its own rate accounting.
	clear(p.throttles)
	now := r.opts.Clock.Now()
	p.syncedAt = now
	s := wire.Sync{Pool: p.name, Fence: p.fence, RouterClock: now}
	for _, req := range r.openRequestsIn(p.name) {
		t := req.ticketAt(now)
		if req.upstream != "" {
			s.Running = append(s.Running, wire.RunningRequest{Ticket: t, Upstream: req.upstream, Estimate: req.estimate, Age: now - req.grantedAt})
		} else {
			s.Waiting = append(s.Waiting, t)
		}
	}
	for account, tag := range p.shareTags {
		s.Tags = append(s.Tags, wire.AccountTag{Account: account, Tag: tag})
	}
	if !math.IsInf(p.virtualTime, -1) {
		s.Virtual = p.virtualTime
	}
	s.Limits = p.recentUpstreamLimits(now)
	r.send(p.scheduler, wire.KindSync, s)
}

// openRequestsIn returns the open requests of a pool in order of arrival. r.mu must be
// held.
func (r *Router) openRequestsIn(pool string) []*openRequest {
	var out []*openRequest
	for _, req := range r.openRequests {
		if req.ticket.Pool == pool {
			out = append(out, req)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ticket.ID.Seq < out[j].ticket.ID.Seq })
	return out
}

// sendHeartbeats sends a heartbeat to the scheduler of every pool with an open request.
// For a pool without a waiting ticket it sends one only every runningHeartbeatRounds
// rounds. There is no grant to come whose echoed clock could be too old, and the next ticket
// carries the clock itself.
func (r *Router) sendHeartbeats() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heartbeatRounds++
	hasWaiting := map[string]bool{}
	for _, req := range r.openRequests {
		pool := req.ticket.Pool
		hasWaiting[pool] = hasWaiting[pool] || req.upstream == ""
	}
	now := r.opts.Clock.Now()
	for name, waits := range hasWaiting {
		if !waits && r.heartbeatRounds%runningHeartbeatRounds != 0 {
			continue
		}
		if p := r.pools[name]; p != nil && p.scheduler != "" {
			r.send(p.scheduler, wire.KindRouterHeartbeat, wire.RouterHeartbeat{Pool: name, Fence: p.fence, RouterClock: now})
		}
	}
}

// send passes a message to the transport. After a failed send, the Sync that follows the
// next connection restores the scheduler's state.
func (r *Router) send(to string, kind wire.Kind, msg any) {
	if err := r.opts.Sender.Send(to, kind, msg); err != nil {
		r.opts.Log.WithError(err).WithField("to", to).Debug("Failed to send a message.")
	}
}

// Handle processes a message from a scheduler.
func (r *Router) Handle(from string, _ uint64, kind wire.Kind, payload []byte) {
	switch kind {
	case wire.KindGrant:
		var g wire.Grant
		if wire.Unmarshal(payload, &g) == nil {
			r.onGrant(from, g)
		}
	case wire.KindRefusal:
		var f wire.Refusal
		if wire.Unmarshal(payload, &f) == nil {
			r.onRefusal(from, f)
		}
	case wire.KindSyncRequest:
		var s wire.SyncRequest
		if wire.Unmarshal(payload, &s) == nil {
			r.onSyncRequest(from, s)
		}
	}
}

func (r *Router) onSyncRequest(from string, s wire.SyncRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(s.Pool)
	if s.Fence < p.fence {
		return
	}
	p.fence, p.scheduler = s.Fence, from
	r.sendSync(p)
}

// onGrant passes a grant to its request. It counts and ignores grants of an older
// scheduler, grants decided before the last Sync, and grants for requests that no longer
// wait. A grant for a request that is no longer open is also returned. A stale grant for an
// open one is not: the Sync lists the request, so the scheduler sends the grant again, and the
// return would free the slot that it uses.
func (r *Router) onGrant(from string, g wire.Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(g.Pool)
	if g.Fence < p.fence {
		r.counters.ignoredMessages.Inc(1)
		return
	}
	stale := g.Echo < p.syncedAt
	if !stale {
		if g.Fence > p.fence {
			p.fence, p.scheduler = g.Fence, from
		}
		p.recordGrant(g, r.opts.Clock.Now())
	}
	req := r.openRequests[g.ID.Seq]
	isOpen := req != nil && g.ID == req.ticket.ID
	if isOpen && !stale && req.upstream == "" && !req.decided {
		req.decided = true
		req.decisions <- decision{grant: &g}
		return
	}
	r.counters.ignoredMessages.Inc(1)
	if !isOpen {
		r.returnGrant(p, g)
	}
}

// recordGrant stores the pool's virtual time and the upstream's limit, from which a
// later scheduler continues.
func (p *poolView) recordGrant(g wire.Grant, now time.Duration) {
	p.virtualTime = max(p.virtualTime, g.Virtual)
	if g.Instance != "" {
		p.upstreamLimits[g.Upstream] = upstreamLimit{g.Instance, g.Limit, now}
	}
}

// recentUpstreamLimits returns the limits that are not older than upstreamLimitMaxAge
// and deletes the others.
func (p *poolView) recentUpstreamLimits(now time.Duration) []wire.UpstreamLimit {
	var out []wire.UpstreamLimit
	for name, l := range p.upstreamLimits {
		if age := now - l.at; age <= upstreamLimitMaxAge {
			out = append(out, wire.UpstreamLimit{Upstream: name, Instance: l.instance, Limit: l.limit, Age: age})
		} else {
			delete(p.upstreamLimits, name)
		}
	}
	return out
}

func (r *Router) onRefusal(from string, f wire.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	req := r.openRequests[f.ID.Seq]
	p := r.pool(f.Pool)
	if req == nil || f.ID != req.ticket.ID || req.upstream != "" || req.decided || from != p.scheduler {
		r.counters.ignoredMessages.Inc(1)
		return
	}
	r.throttleAccount(p, req, &f)
	req.decided = true
	req.decisions <- decision{refusal: &f}
}
