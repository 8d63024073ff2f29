package bench

import (
	"math"
	"slices"
	"time"
)

// accountSample is the state of one client account at one moment.
type accountSample struct {
	// NormalisedService is the cost of the account's requests divided by its weight.
	NormalisedService float64
	// Contends is true while requests of the account wait and are not held back by the
	// limits of its own contract.
	Contends bool
	// Bound is what the account contributes to the fairness bound of a pair.
	Bound float64
}

// sample is the state of one pool at one moment. All samples of a run list the accounts in
// the same order.
type sample struct {
	At       time.Duration
	Accounts []accountSample
	// Waiting is the number of waiting requests.
	Waiting int
	// BusyTime is the slot time used since the start, Limit the number of slots that the
	// limits in force allow.
	BusyTime time.Duration
	Limit    int
}

// gap is the result of fairnessGap.
type gap struct {
	// Largest is the largest difference of normalised service of any pair over any
	// interval. First and Second are the indices of that pair, Bound is its fairness bound.
	Largest       float64
	First, Second int
	Bound         float64
	// BoundRatio is the largest ratio of a pair's difference to the bound of that pair.
	BoundRatio float64
	// Pairs is the number of pairs with at least one interval.
	Pairs int
	// LongestInterval is the length of the longest interval.
	LongestInterval time.Duration
}

// fairnessGap compares every pair of accounts over every interval in which both contend in
// all samples. For such an interval the gap is the highest minus the lowest difference
// between the services of the two accounts, because any two samples within it delimit an
// interval as well.
func fairnessGap(samples []sample) gap {
	var g gap
	if len(samples) == 0 {
		return g
	}
	n := len(samples[0].Accounts)
	for i := range n {
		for j := i + 1; j < n; j++ {
			if g.addPair(samples, i, j) {
				g.Pairs++
			}
		}
	}
	return g
}

// addPair adds the intervals of one pair and reports whether there is one.
func (g *gap) addPair(samples []sample, i, j int) (found bool) {
	low, high, inInterval := 0.0, 0.0, false
	var since time.Duration
	for _, s := range samples {
		a, b := s.Accounts[i], s.Accounts[j]
		if !a.Contends || !b.Contends {
			inInterval = false
			continue
		}
		difference := a.NormalisedService - b.NormalisedService
		if !inInterval {
			low, high, inInterval, since = difference, difference, true, s.At
			continue
		}
		found = true
		low, high = min(low, difference), max(high, difference)
		g.LongestInterval = max(g.LongestInterval, s.At-since)
		if bound := a.Bound + b.Bound; bound > 0 {
			g.BoundRatio = max(g.BoundRatio, (high-low)/bound)
		}
		if high-low > g.Largest {
			g.Largest, g.First, g.Second, g.Bound = high-low, i, j, a.Bound+b.Bound
		}
	}
	return found
}

// gapSeries returns the largest gap within each step of time.
func gapSeries(samples []sample, step time.Duration) []float64 {
	var series []float64
	for begin := 0; begin < len(samples); {
		end := begin
		for end < len(samples) && samples[end].At-samples[begin].At < step {
			end++
		}
		// The next step starts with the last sample of this one, so that no interval
		// between two samples is left out.
		series = append(series, fairnessGap(samples[begin:min(end+1, len(samples))]).Largest)
		begin = end
	}
	return series
}

// utilisation returns the share of the allowed slot time that was used, and the time it
// covers. It counts the steps between two samples that both have waiting requests.
func utilisation(samples []sample) (share float64, waiting time.Duration) {
	var used, limit float64
	for i := 1; i < len(samples); i++ {
		previous, current := samples[i-1], samples[i]
		if previous.Waiting == 0 || current.Waiting == 0 {
			continue
		}
		step := current.At - previous.At
		waiting += step
		used += float64(current.BusyTime - previous.BusyTime)
		limit += float64(previous.Limit) * float64(step)
	}
	if limit == 0 {
		return math.NaN(), 0
	}
	return used / limit, waiting
}

// percentile returns the p-quantile of the values by the nearest-rank method, or NaN
// without values. It sorts the values in place.
func percentile[T ~int64 | ~float64](values []T, p float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	slices.Sort(values)
	rank := int(math.Ceil(p*float64(len(values)))) - 1
	return float64(values[min(max(rank, 0), len(values)-1)])
}

func milliseconds(d float64) float64 { return d / float64(time.Millisecond) }
