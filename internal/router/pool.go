package router

import (
	"math"
	"sort"
	"time"

	"marigoldshunt/internal/wire"
)

// poolView is what the router knows of one pool's scheduler. It is guarded by
// Router.mu.
type poolView struct {
	name      string
	scheduler string
	// fence is the highest fencing number seen. Grants below it are from a scheduler
	// that has lost its lease.
	fence uint64
	// syncedAt is the router clock of the last Sync. Grants that echo an older value
	// were decided before the Sync and are void.
	syncedAt time.Duration
	tags     map[string]float64
	virtual  float64
	// rateHolds holds the accounts that have spent their rate.
	rateHolds map[string]*rateHold
	// limits are the latest limits of upstreams, for the next scheduler.
	limits map[string]seenLimit
}

// limitMaxAge is how long the limit of an upstream is worth passing on.
const limitMaxAge = 10 * time.Second

// seenLimit is an upstream's limit as the latest grant named it.
type seenLimit struct {
	instance string
	limit    int
	at       time.Duration
}

func (r *Router) pool(name string) *poolView {
	p := r.pools[name]
	if p == nil {
		p = &poolView{
			name: name, tags: map[string]float64{}, limits: map[string]seenLimit{},
			rateHolds: map[string]*rateHold{}, virtual: math.Inf(-1),
		}
		r.pools[name] = p
	}
	return p
}

// LeasesChanged tells the router which host schedules each pool now. A pool with a
// new scheduler gets a Sync with the router's whole view.
func (r *Router) LeasesChanged(all []wire.Lease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range all {
		p := r.pool(l.Pool)
		if l.Fence < p.fence || (l.Fence == p.fence && l.Host == p.scheduler) {
			continue
		}
		p.fence, p.scheduler = l.Fence, l.Host
		r.sync(p)
	}
}

// PeerUp tells the router that a connection with a host was made anew, so messages
// of the old connection may be lost.
func (r *Router) PeerUp(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pools {
		if p.scheduler == host {
			r.sync(p)
		}
	}
}

// sync sends the router's view of a pool to its scheduler. r.mu is held.
func (r *Router) sync(p *poolView) {
	if p.scheduler == "" {
		return
	}
	// A new scheduler counts the rates anew.
	clear(p.rateHolds)
	now := r.o.Clock.Now()
	p.syncedAt = now
	s := wire.Sync{Pool: p.name, Fence: p.fence, RouterClock: now}
	for _, q := range r.openIn(p.name) {
		t := q.ticketAt(now)
		if q.upstream != "" {
			s.Running = append(s.Running, wire.Running{Ticket: t, Upstream: q.upstream, Estimate: q.estimate})
		} else {
			s.Waiting = append(s.Waiting, t)
		}
	}
	for account, tag := range p.tags {
		s.Tags = append(s.Tags, wire.AccountTag{Account: account, Tag: tag})
	}
	if !math.IsInf(p.virtual, -1) {
		s.Virtual = p.virtual
	}
	s.Limits = p.limitsAt(now)
	r.send(p.scheduler, wire.KindSync, s)
}

// openIn returns the open requests of a pool in order of arrival. r.mu is held.
func (r *Router) openIn(pool string) []*request {
	var out []*request
	for _, q := range r.open {
		if q.ticket.Pool == pool {
			out = append(out, q)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ticket.ID.Seq < out[j].ticket.ID.Seq })
	return out
}

// beat sends a heartbeat to the scheduler of every pool with an open request. A pool
// without a waiting ticket gets only every runningBeats-th: no grant can be void for an
// old echo there, since the next ticket carries the clock itself.
func (r *Router) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beats++
	waiting := map[string]bool{}
	for _, q := range r.open {
		pool := q.ticket.Pool
		waiting[pool] = waiting[pool] || q.upstream == ""
	}
	now := r.o.Clock.Now()
	for name, waits := range waiting {
		if !waits && r.beats%runningBeats != 0 {
			continue
		}
		if p := r.pools[name]; p != nil && p.scheduler != "" {
			r.send(p.scheduler, wire.KindBeat, wire.Beat{Pool: name, Fence: p.fence, RouterClock: now})
		}
	}
}

// send passes a message to the transport. A failed send is repaired by the Sync that
// follows the next connection.
func (r *Router) send(to string, kind wire.Kind, msg any) {
	if err := r.o.Sender.Send(to, kind, msg); err != nil {
		r.o.Log.WithError(err).WithField("to", to).Debug("Message not sent.")
	}
}

// Handle takes a message from a scheduler.
func (r *Router) Handle(from string, _ uint64, kind wire.Kind, payload []byte) {
	switch kind {
	case wire.KindGrant:
		var g wire.Grant
		if wire.Unmarshal(payload, &g) == nil {
			r.onGrant(from, g)
		}
	case wire.KindRefuse:
		var f wire.Refuse
		if wire.Unmarshal(payload, &f) == nil {
			r.onRefuse(from, f)
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
	r.sync(p)
}

// onGrant hands a grant to its request. Grants that are void are counted and given
// back: those of an older scheduler, those decided before the last Sync, and those
// for requests that do not wait any more.
func (r *Router) onGrant(from string, g wire.Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(g.Pool)
	if g.Fence < p.fence || g.Echo < p.syncedAt {
		r.counters.dropped.Inc(1)
		return
	}
	if g.Fence > p.fence {
		p.fence, p.scheduler = g.Fence, from
	}
	p.note(g, r.o.Clock.Now())
	q := r.open[g.ID.Seq]
	if q == nil || g.ID != q.ticket.ID || q.upstream != "" || q.granted {
		r.counters.dropped.Inc(1)
		if q == nil || g.ID != q.ticket.ID {
			r.giveBack(p, g)
		}
		return
	}
	q.granted = true
	q.events <- event{grant: &g}
}

// note keeps the pool's virtual time and the limits of upstreams, which a later
// scheduler continues from.
func (p *poolView) note(g wire.Grant, now time.Duration) {
	p.virtual = max(p.virtual, g.Virtual)
	if g.Instance != "" {
		p.limits[g.Upstream] = seenLimit{g.Instance, g.Limit, now}
	}
}

// limitsAt returns the limits that are young enough, and forgets the others.
func (p *poolView) limitsAt(now time.Duration) []wire.UpstreamLimit {
	var out []wire.UpstreamLimit
	for name, l := range p.limits {
		if age := now - l.at; age <= limitMaxAge {
			out = append(out, wire.UpstreamLimit{Upstream: name, Instance: l.instance, Limit: l.limit, Age: age})
		} else {
			delete(p.limits, name)
		}
	}
	return out
}

func (r *Router) onRefuse(from string, f wire.Refuse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.open[f.ID.Seq]
	p := r.pool(f.Pool)
	if q == nil || f.ID != q.ticket.ID || q.upstream != "" || q.granted || from != p.scheduler {
		r.counters.dropped.Inc(1)
		return
	}
	r.noteLimit(p, q, &f)
	q.granted = true
	q.events <- event{refuse: &f}
}
