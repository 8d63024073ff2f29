package sched

import (
	"time"

	"marigoldshunt/internal/wire"
)

// limitMaxAge is the age from which a limit of an earlier scheduler is not taken over.
const limitMaxAge = 10 * time.Second

// inherited is the youngest limit that an earlier scheduler gave an upstream.
type inherited struct {
	instance string
	limit    int
	// at is when the limit was granted, on the caller's clock.
	at time.Duration
	// closed is true once the upstream returned to cold here: older limits are void.
	closed bool
	// confirmed is true once a load report here showed the upstream's instance.
	confirmed bool
	// taken is the limit that is in force from here, 0 for none.
	taken int
}

// inherit keeps the youngest limit of each upstream. Limits of this scheduler's own
// grants, which a router returns after a reconnect, do not count.
func (p *Pool) inherit(now time.Duration, limits []wire.UpstreamLimit) {
	for _, l := range limits {
		u := p.upstreams[l.Upstream]
		if u == nil || u.out || l.Instance == "" || l.Limit <= 0 || l.Age < 0 || l.Age > limitMaxAge {
			continue
		}
		h, at := &u.inherited, now-l.Age
		if h.instance != "" && at <= h.at || u.granted && at >= u.grantedAt {
			continue
		}
		h.instance, h.limit, h.at = l.Instance, l.Limit, at
		p.takeOver(now, u)
	}
}

// takeOver applies the inherited limit once a load report has shown its instance. Until
// then, and with another instance, the upstream is cold.
func (p *Pool) takeOver(now time.Duration, u *upstream) {
	h := &u.inherited
	if h.closed || !h.confirmed || h.instance != u.instance || now-h.at > limitMaxAge {
		return
	}
	limit := min(max(h.limit, p.coldLimit()), p.maxLimit())
	switch {
	case h.taken == 0:
		limit = max(limit, u.limit)
	case h.taken != u.limit:
		// The limit has changed here since, which is younger knowledge.
		return
	}
	if limit != u.limit {
		u.successes = 0
	}
	h.taken, u.limit = limit, limit
	switch limit {
	case p.maxLimit():
		u.state = StateWarm
	case p.coldLimit():
		u.state = StateCold
	default:
		u.state = StateWarming
	}
}
