package dispatch

import (
	"math"
	"slices"
	"time"
)

// rateLife is the time over which the rates of an account are averaged.
const rateLife = 2 * time.Second

// excessTolerance keeps small differences between hosts from marking requests.
const excessTolerance = 1.05

// Rank orders requests for admission by what their account has had.
type Rank uint8

// Ranks, the most urgent first.
const (
	// WithinContract requests are of accounts that ask for no more than their max-min share
	// of the tokens that the routing document promises, or were served less than that. So
	// are those of accounts that ask for no more than their share of what the engines serve
	// at present, and were served less than half of it.
	WithinContract Rank = iota
	// WithinCapacity requests are of accounts that were served less than their share of
	// what the engines serve at present, which is more while prompts are found kept.
	WithinCapacity
	// Excess requests are beyond both.
	Excess
)

// AccountRate is what callers of one account ask for and are served in tokens per second.
type AccountRate struct{ Asked, Served float64 }

// AccountRates are rates by account.
type AccountRates map[string]AccountRate

// Shares ranks the requests of accounts by max-min shares. It answers loads in which few
// accounts ask for many times the usual.
//
// An account's rank follows from what it was served, so an account whose requests meet
// busier engines than those of others keeps its rank until it has had as much.
type Shares struct {
	own   map[string]*accountRates
	peers map[string]peerRates
	// levelsAt is when the levels were computed.
	levelsAt time.Time
	// contract is the capacity that the document promises in tokens per second; 0 means that
	// nothing is shared out.
	contract float64
	// levels are the shares of WithinContract and WithinCapacity.
	levels [2]float64
}

type accountRates struct{ asked, served rate }

type rate struct {
	perSecond float64
	at        time.Time
}

type peerRates struct {
	rates AccountRates
	at    time.Time
}

func newShares() *Shares {
	return &Shares{own: map[string]*accountRates{}, peers: map[string]peerRates{}, levels: [2]float64{math.Inf(1), math.Inf(1)}}
}

func (r *rate) decay(now time.Time) {
	if !r.at.IsZero() {
		r.perSecond *= math.Exp(-now.Sub(r.at).Seconds() / rateLife.Seconds())
	}
	r.at = now
}

func (r *rate) add(tokens float64, now time.Time) {
	r.decay(now)
	r.perSecond = max(r.perSecond+tokens/rateLife.Seconds(), 0)
}

func (s *Shares) account(name string) *accountRates {
	a := s.own[name]
	if a == nil {
		a = &accountRates{}
		s.own[name] = a
	}
	return a
}

// Demand notes that an account asks for tokens and ranks the request. The tokens count as
// served until Refused, so that requests that come together do not all pass as the first.
func (s *Shares) Demand(account string, tokens float64, now time.Time) Rank {
	a := s.account(account)
	a.asked.add(tokens, now)
	s.setLevels(now)
	asked, served := s.rates(account, now)
	a.served.add(tokens, now)
	starved := asked <= s.levels[WithinCapacity] && served < asked*starvedBelow
	switch {
	case asked <= s.levels[WithinContract]*excessTolerance || served < s.levels[WithinContract] || starved:
		return WithinContract
	case served < s.levels[WithinCapacity]:
		return WithinCapacity
	}
	return Excess
}

// starvedBelow is the part of its demand below which an account that asks for no more than
// its share of the present capacity is as urgent as those within their contract.
const starvedBelow = 0.5

// Refused takes back tokens that an account asked for and did not get.
func (s *Shares) Refused(account string, tokens float64, now time.Time) {
	s.account(account).served.add(-tokens, now)
}

// rates returns what an account asks for and is served over all hosts.
func (s *Shares) rates(account string, now time.Time) (asked, served float64) {
	if a := s.own[account]; a != nil {
		a.asked.decay(now)
		a.served.decay(now)
		asked, served = a.asked.perSecond, a.served.perSecond
	}
	for _, p := range s.peers {
		if now.Sub(p.at) < peerMaxAge {
			r := p.rates[account]
			asked += r.Asked
			served += r.Served
		}
	}
	return asked, served
}

// levelInterval is the time between two computations of the levels.
const levelInterval = 100 * time.Millisecond

// setLevels computes the rates up to which every account gets what it asks for: the level
// at which the demands below it, and the level itself for the others, add up to the
// capacity.
func (s *Shares) setLevels(now time.Time) {
	if now.Sub(s.levelsAt) < levelInterval {
		return
	}
	s.levelsAt = now
	accounts := map[string]bool{}
	for a := range s.own {
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
		asked, served := s.rates(a, now)
		demands = append(demands, asked)
		total += served
	}
	slices.Sort(demands)
	s.levels[WithinContract] = maxMinLevel(demands, s.contract)
	capacity := s.contract
	if capacity > 0 {
		capacity = max(capacity, total*servedMargin)
	}
	s.levels[WithinCapacity] = maxMinLevel(demands, capacity)
}

// servedMargin lets the shares grow with what the engines serve.
const servedMargin = 1.1

// maxMinLevel fills capacity evenly into demands and returns the level reached; it is
// infinite when the demands, which are sorted, fit, and when there is no capacity to share.
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

// minToldRate is the least demand in tokens per second that other hosts are told.
const minToldRate = 1.0

// Own returns the rates of this host's callers.
func (s *Shares) Own(now time.Time) AccountRates {
	out := AccountRates{}
	for name, a := range s.own {
		a.asked.decay(now)
		a.served.decay(now)
		if a.asked.perSecond < minToldRate {
			delete(s.own, name)
			continue
		}
		out[name] = AccountRate{a.asked.perSecond, a.served.perSecond}
	}
	return out
}

// SetPeer takes the rates of the callers of other hosts.
func (s *Shares) SetPeer(from string, r AccountRates, now time.Time) {
	s.peers[from] = peerRates{r, now}
}
