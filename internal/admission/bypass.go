package admission

import (
	"time"

	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/fault"
)

// bypassLimit is this host's share of the rate limit of an upstream, for requests that are sent
// without a reply of the owner of its gate.
type bypassLimit struct {
	dispatch.RateLimit
	lastUsed time.Time
}

// bypass decides whether a request may be sent without a reply.
func (a *Admission) bypass(p *Permit) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bypassLocked(p)
}

// bypassLocked returns QueueFull if the upstream has a rate limit and this host's share of it is
// used up. The share holds while each host decides alone.
func (a *Admission) bypassLocked(p *Permit) error {
	if p.request.RateLimit == 0 {
		return nil
	}
	now := a.opts.Now()
	l := a.bypassLimits[p.key]
	if l == nil {
		l = &bypassLimit{}
		a.bypassLimits[p.key] = l
	}
	l.lastUsed = now
	l.Set(p.request.RateLimit/float64(a.hosts.Len()), now)
	if wait := l.Wait(0, now); wait > 0 {
		return fault.New(fault.QueueFull, fault.NotRun, "this host's share of the upstream's rate limit is used up").WithRetryAfter(wait)
	}
	l.Take(now)
	return nil
}

func (a *Admission) dropBypassLimitsLocked(now time.Time) {
	for k, l := range a.bypassLimits {
		if now.Sub(l.lastUsed) > gateIdleTimeout {
			delete(a.bypassLimits, k)
		}
	}
}
