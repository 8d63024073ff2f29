package dispatch

import (
	"math"
	"slices"
	"strconv"
	"time"
)

// rateTimeConstant is the time over which the rates of an account are averaged.
const rateTimeConstant = 2 * time.Second

// configuredShareTolerance keeps small differences between hosts from lowering the rank
// of requests.
const configuredShareTolerance = 1.05

// Rank is the admission priority of a request. It compares what the account demands and
// was served with its max-min fair shares of two capacities: the configured capacity of
// the routing document, and the current capacity, which is what the engines serve at
// present if that is more.
type Rank uint8

// Ranks, the highest priority first.
const (
	// WithinConfiguredShare is for accounts that demand no more than their share of the
	// configured capacity, or were served less than that share. It is also for accounts
	// that demand no more than their share of the current capacity and were served less
	// than half of their demand, and for streams that callers resume.
	WithinConfiguredShare Rank = iota
	// WithinCurrentShare is for accounts that were served less than their share of the
	// current capacity, which is higher while prompts are found in caches.
	WithinCurrentShare
	// BeyondShare is for requests beyond both shares.
	BeyondShare
)

// String returns the name of the rank in logs.
func (r Rank) String() string {
	switch r {
	case WithinConfiguredShare:
		return "within_configured_share"
	case WithinCurrentShare:
		return "within_current_share"
	case BeyondShare:
		return "beyond_share"
	}
	return "rank_" + strconv.Itoa(int(r))
}

// AccountRate is what callers of one account demand and are served, in tokens per second.
type AccountRate struct{ Demanded, Served float64 }

// AccountRates are rates by account.
type AccountRates map[string]AccountRate

// FairShares ranks the requests of accounts by max-min fair shares. This handles loads in
// which few accounts demand many times the usual.
//
// Tokens of refused requests do not count as served. An account whose requests meet busier
// engines than those of others therefore keeps its rank until it was served as much.
type FairShares struct {
	local map[string]*localRates
	peers map[string]peerRates
	// levelsAt is when the levels were computed.
	levelsAt time.Time
	// configuredCapacity is the capacity of the routing document in tokens per second; 0
	// means that there are no shares.
	configuredCapacity float64
	// levels are the fair shares of an account in tokens per second, by the ranks
	// WithinConfiguredShare and WithinCurrentShare.
	levels [2]float64
}

// localRates are the rates of an account at this host. raised is that of the tokens of its resumed
// streams that rank higher than new ones would.
type localRates struct{ demand, served, raised decayingRate }

type decayingRate struct {
	perSecond float64
	at        time.Time
}

type peerRates struct {
	rates AccountRates
	at    time.Time
}

func newFairShares() *FairShares {
	return &FairShares{local: map[string]*localRates{}, peers: map[string]peerRates{}, levels: [2]float64{math.Inf(1), math.Inf(1)}}
}

func (r *decayingRate) decay(now time.Time) {
	if !r.at.IsZero() {
		r.perSecond *= math.Exp(-now.Sub(r.at).Seconds() / rateTimeConstant.Seconds())
	}
	r.at = now
}

func (r *decayingRate) add(tokens float64, now time.Time) {
	r.decay(now)
	r.perSecond = max(r.perSecond+tokens/rateTimeConstant.Seconds(), 0)
}

func (s *FairShares) localRatesOf(name string) *localRates {
	a := s.local[name]
	if a == nil {
		a = &localRates{}
		s.local[name] = a
	}
	return a
}

// RecordDemand records an account's demand for tokens and ranks the request. The tokens
// count as served until RecordRefusal, so that simultaneous requests do not all rank like
// the first.
func (s *FairShares) RecordDemand(account string, tokens float64, now time.Time) Rank {
	a := s.localRatesOf(account)
	a.demand.add(tokens, now)
	s.updateLevels(now)
	demand, served := s.rates(account, now)
	a.served.add(tokens, now)
	starved := demand <= s.levels[WithinCurrentShare] && served < demand*starvedFraction
	switch {
	case demand <= s.levels[WithinConfiguredShare]*configuredShareTolerance || served < s.levels[WithinConfiguredShare] || starved:
		return WithinConfiguredShare
	case served < s.levels[WithinCurrentShare]:
		return WithinCurrentShare
	}
	return BeyondShare
}

// Bounds of what callers gain by resuming streams, because nobody checks that they do.
const (
	// resumedShareFactor times its share of the current capacity is what an account may be served
	// before its resumed streams rank like new ones.
	resumedShareFactor = 2
	// raisedFraction of that share is how much of its resumed streams may rank higher than new ones.
	raisedFraction = 0.5
)

// RecordResumedDemand is RecordDemand for a stream that the caller resumes. It was within its account's
// share when it began, and what its caller has of it is lost if it can't go on. It therefore ranks
// highest, within bounds.
func (s *FairShares) RecordResumedDemand(account string, tokens float64, now time.Time) Rank {
	_, served := s.rates(account, now) // without the request itself, as for new streams
	rank := s.RecordDemand(account, tokens, now)
	if rank == WithinConfiguredShare || !s.mayRaise(account, served, now) {
		return rank
	}
	s.local[account].raised.add(tokens, now)
	return WithinConfiguredShare
}

// mayRaise reports whether a resumed stream of an account that is served so many tokens per second may
// rank highest. Hosts divide what all of them may raise like the account divides its demand.
func (s *FairShares) mayRaise(account string, served float64, now time.Time) bool {
	demand, _ := s.rates(account, now)
	a, share := s.local[account], s.levels[WithinCurrentShare]
	a.raised.decay(now)
	return served < share*resumedShareFactor && a.raised.perSecond*demand < share*raisedFraction*a.demand.perSecond
}

// starvedFraction is the fraction of its demand below which an account that demands no more
// than its share of the current capacity ranks as WithinConfiguredShare.
const starvedFraction = 0.5

// RecordRefusal subtracts tokens that an account demanded and was not served.
func (s *FairShares) RecordRefusal(account string, tokens float64, now time.Time) {
	s.localRatesOf(account).served.add(-tokens, now)
}

// rates returns what an account demands and is served over all hosts.
func (s *FairShares) rates(account string, now time.Time) (demand, served float64) {
	if a := s.local[account]; a != nil {
		a.demand.decay(now)
		a.served.decay(now)
		demand, served = a.demand.perSecond, a.served.perSecond
	}
	for _, p := range s.peers {
		if now.Sub(p.at) < peerMaxAge {
			r := p.rates[account]
			demand += r.Demanded
			served += r.Served
		}
	}
	return demand, served
}

// levelInterval is the time between two computations of the levels.
const levelInterval = 100 * time.Millisecond

// updateLevels computes the max-min fair share of each capacity: the level that uses up the
// capacity if each account gets the lower of its demand and the level.
func (s *FairShares) updateLevels(now time.Time) {
	if now.Sub(s.levelsAt) < levelInterval {
		return
	}
	s.levelsAt = now
	accounts := map[string]bool{}
	for a := range s.local {
		accounts[a] = true
	}
	for _, p := range s.peers {
		if now.Sub(p.at) >= peerMaxAge {
			continue
		}
		for a := range p.rates {
			accounts[a] = true
		}
	}
	var demands []float64
	total := 0.0
	for a := range accounts {
		demand, served := s.rates(a, now)
		demands = append(demands, demand)
		total += served
	}
	slices.Sort(demands)
	s.levels[WithinConfiguredShare] = maxMinLevel(demands, s.configuredCapacity)
	capacity := s.configuredCapacity
	if capacity > 0 {
		capacity = max(capacity, total*servedMargin)
	}
	s.levels[WithinCurrentShare] = maxMinLevel(demands, capacity)
}

// servedMargin lets the current capacity grow with what the engines serve.
const servedMargin = 1.1

// maxMinLevel divides capacity evenly among the sorted demands, giving none more than it
// demands, and returns the level reached. It is infinite when the demands fit and when there
// is no capacity to share.
func maxMinLevel(demands []float64, capacity float64) float64 {
	if capacity <= 0 {
		return math.Inf(1)
	}
	for i, d := range demands {
		if share := capacity / float64(len(demands)-i); d > share {
			return share
		}
		capacity -= d
	}
	return math.Inf(1)
}

// minReportedRate is the smallest demand in tokens per second that is reported to other
// hosts.
const minReportedRate = 1.0

// OwnRates returns the rates of this host's callers. It deletes accounts whose demand has
// fallen below minReportedRate.
func (s *FairShares) OwnRates(now time.Time) AccountRates {
	out := AccountRates{}
	for name, a := range s.local {
		a.demand.decay(now)
		a.served.decay(now)
		if a.demand.perSecond < minReportedRate {
			delete(s.local, name)
			continue
		}
		out[name] = AccountRate{a.demand.perSecond, a.served.perSecond}
	}
	return out
}

// SetPeerRates sets the rates of the callers of the other hosts of a data centre.
func (s *FairShares) SetPeerRates(dataCentre string, r AccountRates, now time.Time) {
	s.peers[dataCentre] = peerRates{r, now}
}
