package sched

import (
	"slices"
	"sort"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
)

// Configure applies a configuration revision: the pool's profile and costs, the policy,
// the contracts that allow the pool, its upstreams and their data centres. An upstream
// that comes back starts cold. Tickets of removed accounts are refused by Expire.
func (p *Pool) Configure(now time.Duration, c *config.Config) {
	if pool, ok := c.Pools[p.pool.Name]; ok {
		before := p.maxLimit()
		p.pool = pool
		if p.maxLimit() > before {
			// Warm upstreams grow into the higher maximum by successes.
			for _, u := range p.order {
				if u.state == StateWarm {
					u.state, u.successes = StateWarming, 0
				}
			}
		}
	}
	p.budget.SetPercent(c.Policy.RetryPercent)
	p.configureUpstreams(c)
	p.configureAccounts(now, c)
	p.wakeHeld()
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
	for _, u := range slices.Clone(p.order) {
		if cu, ok := c.Upstreams[u.name]; !ok || cu.Pool != p.pool.Name {
			u.removed, u.out = true, true
			if u.occupied() == 0 {
				p.forgetUpstream(u)
			}
		}
		if !u.out {
			p.inService++
		}
	}
}

func (p *Pool) configureUpstream(u *upstream, cu config.Upstream, out bool) {
	returns := u.out && !out
	moved := u.address != "" && u.address != cu.Address
	u.removed, u.out = false, out
	u.dataCentre, u.address = cu.DataCentre, cu.Address
	if returns || moved {
		p.cool(u)
		u.suspect = false
	}
	if u.state == StateCold && u.limit != p.coldLimit() {
		u.limit = p.coldLimit()
	}
	u.limit = min(u.limit, p.maxLimit())
}

// addUpstream adds a cold upstream.
func (p *Pool) addUpstream(name string) *upstream {
	u := &upstream{name: name}
	if p.pool.Kind != config.KindService {
		u.cache = newPrefixSet()
	}
	p.cool(u)
	u.inherited.closed = false
	p.upstreams[name] = u
	i := sort.Search(len(p.order), func(i int) bool { return p.order[i].name >= name })
	p.order = slices.Insert(p.order, i, u)
	return u
}

// forgetUpstream removes an upstream that the configuration no longer names.
func (p *Pool) forgetUpstream(u *upstream) {
	for _, b := range u.broken {
		b.fp.settle(u.name)
		p.unref(b.fp)
	}
	u.broken = nil
	delete(p.upstreams, u.name)
	p.order = slices.DeleteFunc(p.order, func(o *upstream) bool { return o == u })
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
			a = &account{name: name, contract: contract, heapIndex: -1, tokensAt: now}
			a.tokens = a.burst()
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
	waits := a.contract.MaxWait != contract.MaxWait
	a.contract, a.removed = contract, false
	a.refill(now)
	if waits {
		for i := a.queue.head; i != a.queue.tail; i++ {
			if it := *a.queue.at(i); it != nil {
				it.deadline = it.submitted + a.wait(&it.ticket)
				p.due.fix(it)
			}
		}
	}
	p.update(a, true)
}

// removeAccount refuses the waiting tickets of an account. The account stays while it
// has running requests.
func (p *Pool) removeAccount(a *account) {
	a.removed = true
	for a.waiting > 0 {
		p.reject(*a.queue.at(a.queue.head), fault.PoolNotAllowed, 0)
	}
	if a.running == 0 {
		delete(p.accounts, a.name)
	}
}
