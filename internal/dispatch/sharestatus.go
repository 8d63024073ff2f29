package dispatch

import "time"

// ShareStatus is what decides the ranks of requests on this host, for the log and the metrics.
type ShareStatus struct {
	// ConfiguredLevel and CurrentLevel are the fair shares of an account of the configured and of
	// the current capacity, in tokens per second. They are infinite while the demands fit.
	ConfiguredLevel, CurrentLevel float64
	// ConfiguredCapacity is that of the routing document in tokens per second, 0 for none.
	ConfiguredCapacity float64
	// Own is the sum over the callers of this host, Fleet that over all hosts.
	Own, Fleet AccountRate
}

// Shares returns the levels and the rates of all accounts together.
func (d *Dispatcher) Shares(now time.Time) ShareStatus {
	s := d.shares
	s.updateLevels(now)
	out := ShareStatus{ConfiguredLevel: s.levels[WithinConfiguredShare], CurrentLevel: s.levels[WithinCurrentShare], ConfiguredCapacity: s.configuredCapacity}
	for name := range s.local {
		out.Own = out.Own.plus(s.ownRate(name, now))
	}
	out.Fleet = out.Own
	for _, p := range s.peers {
		if now.Sub(p.at) >= peerMaxAge {
			continue
		}
		for _, r := range p.rates {
			out.Fleet = out.Fleet.plus(r)
		}
	}
	return out
}

// AccountShare returns the rates of an account: of this host's callers, and over all hosts.
func (d *Dispatcher) AccountShare(account string, now time.Time) (own, fleet AccountRate) {
	fleet.Demanded, fleet.Served = d.shares.rates(account, now)
	return d.shares.ownRate(account, now), fleet
}

func (s *FairShares) ownRate(account string, now time.Time) AccountRate {
	a := s.local[account]
	if a == nil {
		return AccountRate{}
	}
	a.demand.decay(now)
	a.served.decay(now)
	return AccountRate{a.demand.perSecond, a.served.perSecond}
}

func (r AccountRate) plus(o AccountRate) AccountRate {
	return AccountRate{r.Demanded + o.Demanded, r.Served + o.Served}
}

// TokenCost is what the job counts for against the share of its account; 0 if it has no rank.
func (j *Job) TokenCost() float64 {
	if !j.Ranked {
		return 0
	}
	return j.tokenCost()
}
