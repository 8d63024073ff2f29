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

// Shares decides which requests of an account are beyond its max-min share of what the
// engines produce. It answers loads in which few accounts ask for many times the usual.
type Shares struct {
	// capacity is in tokens per second; 0 means that nothing is shared out.
	capacity float64
	own      map[string]*rate
	peers    map[string]peerRates
	// credit is the part of an account's demand that is within its share, carried over
	// from request to request.
	credit map[string]float64
	level  float64
	levelA time.Time
}

type rate struct {
	perSecond float64
	at        time.Time
}

type peerRates struct {
	rates map[string]float64
	at    time.Time
}

func newShares() *Shares {
	return &Shares{own: map[string]*rate{}, peers: map[string]peerRates{}, credit: map[string]float64{}, level: math.Inf(1)}
}

func (r *rate) decay(now time.Time) {
	if !r.at.IsZero() {
		r.perSecond *= math.Exp(-now.Sub(r.at).Seconds() / rateLife.Seconds())
	}
	r.at = now
}

// Demand notes that an account asks for tokens, and reports whether they are beyond its
// share.
func (s *Shares) Demand(account string, tokens float64, now time.Time) (excess bool) {
	r := s.own[account]
	if r == nil {
		r = &rate{}
		s.own[account] = r
	}
	r.decay(now)
	r.perSecond += tokens / rateLife.Seconds()
	if s.capacity <= 0 {
		return false
	}
	level := s.currentLevel(now)
	demand := s.demand(account, now)
	if demand <= level*excessTolerance {
		s.credit[account] = 0
		return false
	}
	c := min(s.credit[account]+tokens*level/demand, 2*tokens)
	if excess = c < tokens; !excess {
		c -= tokens
	}
	s.credit[account] = c
	return excess
}

func (s *Shares) demand(account string, now time.Time) float64 {
	total := 0.0
	if r := s.own[account]; r != nil {
		r.decay(now)
		total = r.perSecond
	}
	for _, p := range s.peers {
		if now.Sub(p.at) < peerMaxAge {
			total += p.rates[account]
		}
	}
	return total
}

// levelInterval is the time between two computations of the level.
const levelInterval = 100 * time.Millisecond

// currentLevel returns the rate up to which every account gets what it asks for: the
// level at which the demands below it, and the level itself for the others, add up to the
// capacity.
func (s *Shares) currentLevel(now time.Time) float64 {
	if now.Sub(s.levelA) < levelInterval {
		return s.level
	}
	s.levelA = now
	accounts := map[string]bool{}
	for a := range s.own {
		accounts[a] = true
	}
	for _, p := range s.peers {
		for a := range p.rates {
			accounts[a] = true
		}
	}
	var demands []float64
	for a := range accounts {
		demands = append(demands, s.demand(a, now))
	}
	s.level = maxMinLevel(demands, s.capacity)
	return s.level
}

// maxMinLevel fills capacity evenly into demands and returns the level reached; it is
// infinite when the demands fit.
func maxMinLevel(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
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

// Own returns the demands of this host's callers.
func (s *Shares) Own(now time.Time) map[string]float64 {
	out := map[string]float64{}
	for a, r := range s.own {
		if r.decay(now); r.perSecond < minToldRate {
			delete(s.own, a)
			delete(s.credit, a)
			continue
		}
		out[a] = r.perSecond
	}
	return out
}

// SetPeer takes the demands at another host.
func (s *Shares) SetPeer(host string, rates map[string]float64, now time.Time) {
	s.peers[host] = peerRates{rates: rates, at: now}
}
