package sched

import (
	"slices"
	"sort"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
)

// Configure applies a configuration revision: the pool's profile and costs, the policy,
// the contracts that include the pool, its upstreams and their data centres. An upstream
// that returns to service starts cold. Expire returns the refusals of removed accounts'
// tickets.
func (p *Pool) Configure(now time.Duration, c *config.Config) {
	if pool, ok := c.Pools[p.pool.Name]; ok {
		before := p.maxLimit()
		p.pool = pool
		if p.maxLimit() > before {
			// Successes raise the limits of warm upstreams to the new maximum.
			for _, u := range p.sortedUpstreams {
				if u.state == UpstreamWarm {
					u.state, u.successes = UpstreamWarming, 0
				}
			}
		}
	}
	p.budget.SetPercent(c.Policy.RetryPercent)
	p.configureUpstreams(c)
	p.configureAccounts(now, c)
	p.wakeParked()
}

func (p *Pool) configureUpstreams(c *config.Config) {
	for name, cu := range c.Upstreams {
		if cu.Pool != p.pool.Name {
			continue
		}
		u := p.upstreams[name]
		if u == nil {
			u = p.addUpstream(name)
		}
		p.configureUpstream(u, cu, cu.Out || c.DataCentres[cu.DataCentre].Out)
	}
	p.inService = 0
	for _, u := range slices.Clone(p.sortedUpstreams) {
		if cu, ok := c.Upstreams[u.name]; !ok || cu.Pool != p.pool.Name {
			u.removed, u.out = true, true
			p.forgetIfUnused(u)
		}
		if !u.out {
			p.inService++
		}
	}
}

func (p *Pool) configureUpstream(u *upstream, cu config.Upstream, out bool) {
	returned := u.out && !out
	moved := u.address != "" && u.address != cu.Address
	u.removed, u.out = false, out
	u.dataCentre, u.address = cu.DataCentre, cu.Address
	if returned || moved {
		p.resetToCold(u)
		u.suspect = false
	}
	if u.state == UpstreamCold && u.limit != p.coldLimit() {
		u.limit = p.coldLimit()
	}
	u.limit = min(u.limit, p.maxLimit())
}

// addUpstream adds a cold upstream.
func (p *Pool) addUpstream(name string) *upstream {
	u := &upstream{name: name}
	if p.pool.Kind != config.KindService {
		u.prefixes = newPrefixSet()
	}
	p.resetToCold(u)
	u.inherited.void = false
	p.upstreams[name] = u
	i := sort.Search(len(p.sortedUpstreams), func(i int) bool { return p.sortedUpstreams[i].name >= name })
	p.sortedUpstreams = slices.Insert(p.sortedUpstreams, i, u)
	return u
}

// forgetIfUnused removes an upstream that the configuration no longer names once its slots
// are free.
func (p *Pool) forgetIfUnused(u *upstream) {
	if !u.removed || u.occupied() > 0 {
		return
	}
	for _, b := range u.broken {
		b.fp.removeBroken(u.name)
		p.unref(b.fp)
	}
	u.broken = nil
	delete(p.upstreams, u.name)
	p.sortedUpstreams = slices.DeleteFunc(p.sortedUpstreams, func(o *upstream) bool { return o == u })
}

func (p *Pool) configureAccounts(now time.Duration, c *config.Config) {
	p.longestRun = 0
	for name, contract := range c.Contracts {
		if !slices.Contains(contract.Pools, p.pool.Name) {
			continue
		}
		p.longestRun = max(p.longestRun, contract.MaxRun)
		a := p.accounts[name]
		if a == nil {
			a = &account{name: name, contract: contract, heapIndex: -1, refilledAt: now}
			a.rateTokens = a.burst()
			p.accounts[name] = a
		}
		p.configureAccount(now, a, contract)
	}
	if p.longestRun == 0 {
		p.longestRun = defaultMaxRun
	}
	for name, a := range p.accounts {
		contract, ok := c.Contracts[name]
		if !ok || !slices.Contains(contract.Pools, p.pool.Name) {
			p.removeAccount(a)
		}
	}
}

func (p *Pool) configureAccount(now time.Duration, a *account, contract config.Contract) {
	a.refill(now)
	waitChanged := a.contract.MaxWait != contract.MaxWait
	a.contract, a.removed = contract, false
	a.refill(now)
	if waitChanged {
		for i := a.queue.head; i != a.queue.tail; i++ {
			if ts := *a.queue.at(i); ts != nil {
				ts.deadline = ts.submittedAt + a.maxWait(&ts.ticket)
				p.deadlines.fix(ts)
			}
		}
	}
	p.updatePhase(a, true)
}

// removeAccount refuses the waiting tickets of an account. The account is kept while it
// has running requests.
func (p *Pool) removeAccount(a *account) {
	a.removed = true
	for a.waiting > 0 {
		p.refuse(*a.queue.at(a.queue.head), fault.PoolNotAllowed, 0)
	}
	if a.running == 0 {
		delete(p.accounts, a.name)
	}
}
