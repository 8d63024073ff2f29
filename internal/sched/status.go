package sched

import (
	"slices"
	"strings"
	"time"
)

// Status describes the pool.
func (p *Pool) Status(now time.Duration) Status {
	s := Status{
		Pool: p.pool.Name, Virtual: p.virtualTime,
		Waiting: p.waiting, Running: p.running, Slots: p.slots(),
		Upstreams:   make([]UpstreamStatus, 0, len(p.sortedUpstreams)),
		Accounts:    make([]AccountStatus, 0, len(p.accounts)),
		RetryTokens: p.budget.Tokens(),
	}
	for _, u := range p.sortedUpstreams {
		s.Upstreams = append(s.Upstreams, UpstreamStatus{
			Name: u.name, DataCentre: u.dataCentre, State: u.status(), Limit: u.limit,
			Running: u.live, Other: u.orphans + u.unattributed, Instance: u.instance,
		})
	}
	largest, second := 0.0, 0.0
	for _, a := range p.accounts {
		share := p.boundShare(a)
		s.Accounts = append(s.Accounts, AccountStatus{
			Account: a.name, Weight: a.weight(), Waiting: a.waiting, Running: a.running,
			Service: a.service, Tag: a.tag, Bound: share,
			Blocked: a.phase == phaseAtLimit || a.phase == phaseParked,
		})
		if a.removed {
			continue
		}
		if share > largest {
			largest, second = share, largest
		} else {
			second = max(second, share)
		}
	}
	slices.SortFunc(s.Accounts, func(a, b AccountStatus) int { return strings.Compare(a.Account, b.Account) })
	s.Bound = largest + second
	for _, f := range p.fingerprints {
		if f.quarantined() && now < f.markedUntil {
			s.Quarantined++
		}
	}
	return s
}
