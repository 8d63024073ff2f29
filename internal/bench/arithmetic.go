package bench

import (
	"math"
	"slices"
	"time"
)

// accountSample is the state of one client account at one moment.
type accountSample struct {
	// Service is the normalised service: cost per weight.
	Service float64
	// Contends is true while requests of the account wait and its own contract does not
	// hold them back.
	Contends bool
	// Bound is the account's share of the fairness bound.
	Bound float64
}

// sample is the state of one pool at one moment. Accounts have the same order in every
// sample of a run.
type sample struct {
	At       time.Duration
	Accounts []accountSample
	// Waiting counts the waiting requests.
	Waiting int
	// Busy is the slot time in use since the start, Limit the slots that the limits in
	// force allow.
	Busy  time.Duration
	Limit int
}

// gap is the result of fairnessGap.
type gap struct {
	// Largest is the largest difference of normalised service of any pair over any
	// interval, First and Second the indices of the pair, Bound its bound.
	Largest       float64
	First, Second int
	Bound         float64
	// Share is the largest difference as a share of the pair's own bound.
	Share float64
	// Pairs counts the pairs with at least one interval.
	Pairs int
	// Longest is the longest interval.
	Longest time.Duration
}

// fairnessGap looks at every pair of accounts over every interval in which both contend
// in all samples. Over such an interval the gap is the range of the difference of
// their service, because any two samples in it bound an interval too.
func fairnessGap(samples []sample) gap {
	var g gap
	if len(samples) == 0 {
		return g
	}
	n := len(samples[0].Accounts)
	for i := range n {
		for j := i + 1; j < n; j++ {
			if g.pair(samples, i, j) {
				g.Pairs++
			}
		}
	}
	return g
}

// pair adds the intervals of one pair and reports whether there was one.
func (g *gap) pair(samples []sample, i, j int) (found bool) {
	low, high, open := 0.0, 0.0, false
	var since time.Duration
	for _, s := range samples {
		a, b := s.Accounts[i], s.Accounts[j]
		if !a.Contends || !b.Contends {
			open = false
			continue
		}
		d := a.Service - b.Service
		if !open {
			low, high, open, since = d, d, true, s.At
			continue
		}
		found = true
		low, high = min(low, d), max(high, d)
		g.Longest = max(g.Longest, s.At-since)
		if bound := a.Bound + b.Bound; bound > 0 {
			g.Share = max(g.Share, (high-low)/bound)
		}
		if high-low > g.Largest {
			g.Largest, g.First, g.Second, g.Bound = high-low, i, j, a.Bound+b.Bound
		}
	}
	return found
}

// gapSeries returns the gap within each step of time.
func gapSeries(samples []sample, step time.Duration) []float64 {
	var out []float64
	for begin := 0; begin < len(samples); {
		end := begin
		for end < len(samples) && samples[end].At-samples[begin].At < step {
			end++
		}
		// The next step starts with the last sample of this one, so that no interval
		// between two samples is left out.
		out = append(out, fairnessGap(samples[begin:min(end+1, len(samples))]).Largest)
		begin = end
	}
	return out
}

// utilisation returns the share of the slot time in use, over the steps between samples
// in which an account waits at both ends, and the length of these steps.
func utilisation(samples []sample) (share float64, waiting time.Duration) {
	var used, limit float64
	for i := 1; i < len(samples); i++ {
		a, b := samples[i-1], samples[i]
		if a.Waiting == 0 || b.Waiting == 0 {
			continue
		}
		step := b.At - a.At
		waiting += step
		used += float64(b.Busy - a.Busy)
		limit += float64(a.Limit) * float64(step)
	}
	if limit == 0 {
		return math.NaN(), 0
	}
	return used / limit, waiting
}

// percentile returns the value below which the share p of the values lies, by the
// nearest rank; NaN without values. It sorts the values.
func percentile[T ~int64 | ~float64](values []T, p float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	slices.Sort(values)
	rank := int(math.Ceil(p*float64(len(values)))) - 1
	return float64(values[min(max(rank, 0), len(values)-1)])
}

func milliseconds(d float64) float64 { return d / float64(time.Millisecond) }
