package dispatch

import (
	"math"
	"slices"
	"time"
)

// rateLife is the time over which the demand of an account is averaged.
const rateLife = 2 * time.Second

// excessTolerance keeps small differences between hosts from marking requests.
const excessTolerance = 1.05

// Rank orders requests for admission by what their account has had.
type Rank uint8

// Ranks, the most urgent first.
const (
	// WithinContract requests are within the account's max-min share of the tokens that the
	// routing document promises.
	WithinContract Rank = iota
	// WithinCapacity requests are within its share of what the engines serve at present,
	// which is more while prompts are found kept.
	WithinCapacity
	// Excess requests are beyond both.
	Excess
)

// Shares ranks the requests of accounts by max-min shares. It answers loads in which few
// accounts ask for many times the usual.
type Shares struct {
	own    map[string]*rate
	served rate
	peers  map[string]peerRates
	// levelsAt is when the levels of the tiers were computed.
	levelsAt time.Time
	// tiers are the shares of WithinContract and WithinCapacity.
	tiers [2]tier
}

// tier is one way to share out a capacity.
type tier struct {
	// capacity is in tokens per second; 0 means that nothing is shared out.
	capacity float64
	level    float64
	// credit is the part of an account's demand that is within its share, carried over
	// from request to request.
	credit map[string]float64
}

type rate struct {
	perSecond float64
	at        time.Time
}

type peerRates struct {
	demands map[string]float64
	served  float64
	at      time.Time
}

func newShares() *Shares {
	s := &Shares{own: map[string]*rate{}, peers: map[string]peerRates{}}
	for i := range s.tiers {
		s.tiers[i] = tier{credit: map[string]float64{}, level: math.Inf(1)}
	}
	return s
}

func (r *rate) decay(now time.Time) {
	if !r.at.IsZero() {
		r.perSecond *= math.Exp(-now.Sub(r.at).Seconds() / rateLife.Seconds())
	}
	r.at = now
}

func (r *rate) add(tokens float64, now time.Time) {
	r.decay(now)
	r.perSecond += tokens / rateLife.Seconds()
}

// Served notes that tokens which an account asked for are served.
func (s *Shares) Served(tokens float64, now time.Time) { s.served.add(tokens, now) }

// Demand notes that an account asks for tokens and ranks the request.
func (s *Shares) Demand(account string, tokens float64, now time.Time) Rank {
	r := s.own[account]
	if r == nil {
		r = &rate{}
		s.own[account] = r
	}
	r.add(tokens, now)
	s.setLevels(now)
	demand := s.demand(account, now)
	for i := range s.tiers {
		if s.tiers[i].within(account, tokens, demand) {
			return Rank(i)
		}
	}
	return Excess
}

// within takes tokens from the account's share.
func (t *tier) within(account string, tokens, demand float64) bool {
	if demand <= t.level*excessTolerance {
		t.credit[account] = 0
		return true
	}
	c := min(t.credit[account]+tokens*t.level/demand, 2*tokens)
	ok := c >= tokens
	if ok {
		c -= tokens
	}
	t.credit[account] = c
	return ok
}

func (s *Shares) demand(account string, now time.Time) float64 {
	total := 0.0
	if r := s.own[account]; r != nil {
		r.decay(now)
		total = r.perSecond
	}
	for _, p := range s.peers {
		if now.Sub(p.at) < peerMaxAge {
			total += p.demands[account]
		}
	}
	return total
}

// levelInterval is the time between two computations of the level.
const levelInterval = 100 * time.Millisecond

// setLevels computes for each tier the rate up to which every account gets what it asks
// for: the level at which the demands below it, and the level itself for the others, add
// up to the capacity.
func (s *Shares) setLevels(now time.Time) {
	if now.Sub(s.levelsAt) < levelInterval {
		return
	}
	s.levelsAt = now
	accounts := map[string]bool{}
	for a := range s.own {
		accounts[a] = true
	}
	s.served.decay(now)
	served := s.served.perSecond
	for _, p := range s.peers {
		if now.Sub(p.at) >= peerMaxAge {
			continue
		}
		served += p.served
		for a := range p.demands {
			accounts[a] = true
		}
	}
	var demands []float64
	for a := range accounts {
		demands = append(demands, s.demand(a, now))
	}
	slices.Sort(demands)
	contract := s.tiers[WithinContract].capacity
	s.tiers[WithinCapacity].capacity = max(contract, served*servedMargin)
	for i := range s.tiers {
		s.tiers[i].level = maxMinLevel(demands, s.tiers[i].capacity)
	}
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

// Own returns the demands of this host's callers by account, and what they are served.
func (s *Shares) Own(now time.Time) (demands map[string]float64, served float64) {
	demands = map[string]float64{}
	for a, r := range s.own {
		if r.decay(now); r.perSecond < minToldRate {
			delete(s.own, a)
			for i := range s.tiers {
				delete(s.tiers[i].credit, a)
			}
			continue
		}
		demands[a] = r.perSecond
	}
	s.served.decay(now)
	return demands, s.served.perSecond
}

// SetPeer takes the demands at another host and what its callers are served.
func (s *Shares) SetPeer(host string, demands map[string]float64, served float64, now time.Time) {
	s.peers[host] = peerRates{demands: demands, served: served, at: now}
}
