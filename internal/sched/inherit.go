package sched

import (
	"time"

	"marigoldshunt/internal/wire"
)

// limitMaxAge is the age above which a limit set by an earlier scheduler is ignored.
const limitMaxAge = 10 * time.Second

// inheritedLimit is the most recent limit that an earlier scheduler set for an upstream.
type inheritedLimit struct {
	instance string
	limit    int
	// grantedAt is the time of the grant that carried the limit, on the caller's clock.
	grantedAt time.Duration
	// void is true once this scheduler returned the upstream to cold start: limits of
	// earlier schedulers no longer apply.
	void bool
	// confirmed is true once a load report to this scheduler named the upstream's instance.
	confirmed bool
	// applied is the inherited limit that was put in force, 0 for none.
	applied int
}

// recordInheritedLimits keeps the most recent limit of each upstream. It ignores limits of
// this scheduler's own grants, which a router sends back after a reconnect.
func (p *Pool) recordInheritedLimits(now time.Duration, limits []wire.UpstreamLimit) {
	for _, l := range limits {
		u := p.upstreams[l.Upstream]
		if u == nil || u.out || l.Instance == "" || l.Limit <= 0 || l.Age < 0 || l.Age > limitMaxAge {
			continue
		}
		h, grantedAt := &u.inherited, now-l.Age
		if h.instance != "" && grantedAt <= h.grantedAt || u.hasGranted && grantedAt >= u.firstGrantAt {
			continue
		}
		h.instance, h.limit, h.grantedAt = l.Instance, l.Limit, grantedAt
		p.applyInheritedLimit(now, u)
	}
}

// applyInheritedLimit puts the inherited limit in force once a load report has named the
// instance that it belongs to. Until then, and with another instance, the upstream is cold.
func (p *Pool) applyInheritedLimit(now time.Duration, u *upstream) {
	h := &u.inherited
	if h.void || !h.confirmed || h.instance != u.instance || now-h.grantedAt > limitMaxAge {
		return
	}
	limit := min(max(h.limit, p.coldLimit()), p.maxLimit())
	switch {
	case h.applied == 0:
		limit = max(limit, u.limit)
	case h.applied != u.limit:
		// This scheduler has changed the limit since, from more recent observations.
		return
	}
	if limit != u.limit {
		u.successes = 0
	}
	h.applied, u.limit = limit, limit
	switch limit {
	case p.maxLimit():
		u.state = UpstreamWarm
	case p.coldLimit():
		u.state = UpstreamCold
	default:
		u.state = UpstreamWarming
	}
}
