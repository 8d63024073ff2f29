package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a level that allocates more or less than the capacity.
func TestMaxMinLevel(t *testing.T) {
	c := qt.New(t)
	for _, tt := range []struct {
		demands  []float64
		capacity float64
		want     float64
	}{
		{[]float64{10, 20, 30}, 100, math.Inf(1)},
		{[]float64{10, 20, 70}, 60, 30},
		{[]float64{10, 80, 90}, 90, 40},
		{[]float64{50, 50, 50}, 90, 30},
		{nil, 90, math.Inf(1)},
		{[]float64{10}, 0, math.Inf(1)},
	} {
		c.Check(maxMinLevel(tt.demands, tt.capacity), qt.Equals, tt.want, qt.Commentf("%v", tt))
	}
}

// Guards against an account that takes the shares of others by demanding many times the
// usual, also over several hosts. Accounts within their share must keep the highest rank.
// The test serves exactly the requests with that rank.
func TestFairSharesRankFloods(t *testing.T) {
	c := qt.New(t)
	a, b := newFairShares(), newFairShares()
	a.configuredCapacity, b.configuredCapacity = 10_000, 10_000
	within := map[string]float64{}
	for ms := 0; ms < 20_000; ms += 10 {
		now := at(ms)
		for i, s := range []*FairShares{a, b} {
			// The flood demands 20,000 tokens/s at each host, the others 1,000.
			if rank := s.RecordDemand("flood", 200, now); rank != WithinConfiguredShare {
				s.RecordRefusal("flood", 200, now)
			} else if ms >= 10_000 {
				within["flood"] += 200
			}
			for _, quiet := range []string{"x", "y", "z"} {
				rank := s.RecordDemand(quiet, 10, now)
				if ms >= 10_000 {
					c.Assert(rank, qt.Equals, WithinConfiguredShare, qt.Commentf("%s at %d", quiet, ms))
					within[quiet] += 10
				}
			}
			if ms%100 == 0 {
				other := []*FairShares{b, a}[i]
				other.SetPeerRates([]string{"a", "b"}[i], s.OwnRates(now), now)
			}
		}
	}
	// 10,000 tokens/s less three times 2,000 leave 4,000 for the flood, over 10 s.
	c.Assert(math.Abs(within["flood"]-40_000) < 8_000, qt.IsTrue, qt.Commentf("%v", within["flood"]))
}

// Guards against serving accounts beyond their configured share in order of arrival. Two
// such accounts must get similar shares of what the engines serve.
func TestFairSharesOfServedCapacity(t *testing.T) {
	c := qt.New(t)
	s := newFairShares()
	s.configuredCapacity = 2_000
	got := map[string]float64{}
	served := 0.0
	for ms := 0; ms < 20_000; ms += 10 {
		now := at(ms)
		// The engines serve 10,000 tokens/s, five times the configured capacity.
		served = max(served-100, 0)
		for _, account := range []string{"big", "small"} {
			tokens := map[string]float64{"big": 300, "small": 80}[account]
			if s.RecordDemand(account, tokens, now) == BeyondShare || served > 1_000 {
				s.RecordRefusal(account, tokens, now)
				continue
			}
			served += tokens
			if ms >= 10_000 {
				got[account] += tokens
			}
		}
	}
	c.Assert(got["small"] >= got["big"]/2, qt.IsTrue, qt.Commentf("%v", got))
	c.Assert(got["big"] >= got["small"]/2, qt.IsTrue, qt.Commentf("%v", got))
	c.Assert(got["big"]+got["small"] > 80_000, qt.IsTrue, qt.Commentf("%v", got))
}

// Guards against unequal service of two accounts beyond their shares. If one is refused
// more often, because its prompts meet busier engines, its next requests must rank higher.
func TestFairSharesMakeUpForRefusals(t *testing.T) {
	c := qt.New(t)
	s := newFairShares()
	s.configuredCapacity = 10_000
	got := map[string]float64{}
	for ms := 0; ms < 20_000; ms += 10 {
		now := at(ms)
		for i, account := range []string{"lucky", "unlucky"} {
			rank := s.RecordDemand(account, 200, now)
			// The engines of one account take all requests of rank WithinConfiguredShare,
			// those of the other one a third of them.
			if rank != WithinConfiguredShare || i == 1 && ms%30 != 0 {
				s.RecordRefusal(account, 200, now)
				continue
			}
			if ms >= 10_000 {
				got[account] += 200
			}
		}
	}
	c.Assert(got["unlucky"] >= got["lucky"]*0.8, qt.IsTrue, qt.Commentf("%v", got))
}

// Guards against an account that loses its rank through requests that are refused late, although
// it is served less than its share.
func TestRequestsThatAreRefusedLateDoNotCountAsServed(t *testing.T) {
	c := qt.New(t)
	const refusedAfterMs, requestTokens = 300, 2_000
	hosts := make([]*FairShares, 16)
	pending := map[int]*FairShares{}
	for i := range hosts {
		hosts[i] = newFairShares()
		hosts[i].configuredCapacity = 20_000
	}
	within := 0.0
	for ms := 0; ms < 10_000; ms += 10 {
		now := at(ms)
		if s := pending[ms-refusedAfterMs]; s != nil {
			s.RecordRefusal("flood", requestTokens, now)
		}
		// The flood demands ten times the capacity, the neighbour half of it.
		s := hosts[ms/10%len(hosts)]
		s.RecordDemand("neighbour", 100, now)
		if s.RecordDemand("flood", requestTokens, now) == WithinConfiguredShare && ms >= 4_000 {
			within += requestTokens
		}
		pending[ms] = s
		if ms%100 == 0 {
			exchangeRates(hosts, now)
		}
	}
	c.Assert(within >= 6*10_000, qt.IsTrue, qt.Commentf("%.0f tokens in 6 s", within))
}

// exchangeRates tells each host what the others demand and are served.
func exchangeRates(hosts []*FairShares, now time.Time) {
	for i, from := range hosts {
		rates := from.OwnRates(now)
		for j, to := range hosts {
			if i != j {
				to.SetPeerRates(fmt.Sprint(i), rates, now)
			}
		}
	}
}

// Guards against a rank in logs that its reader has to look up, and against one that a message of
// another host puts out of range.
func TestRankHasAName(t *testing.T) {
	c := qt.New(t)
	for r, name := range map[Rank]string{
		WithinConfiguredShare: "within_configured_share", WithinCurrentShare: "within_current_share", BeyondShare: "beyond_share", 200: "rank_200",
	} {
		c.Check(fmt.Sprint(r), qt.Equals, name)
	}
}
