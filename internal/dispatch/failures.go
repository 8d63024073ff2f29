package dispatch

import (
	"math"
	"time"

	"marigoldshunt/internal/catalog"
)

// Failures says how many of the latest results of an instance were failures. Both counts
// decay with time.
type Failures struct {
	Key             catalog.Key
	Failed, Results float64
}

// minReportedCount is the decayed count below which failures or results are not reported.
const minReportedCount = 0.05

// OwnFailures returns what this host knows of the instances of which it or another host of
// its data centre has lately seen failures. Results without failures count too, so that a
// single failure weighs little among the results of all hosts.
func (d *Dispatcher) OwnFailures(now time.Time) (out []Failures) {
	for k, x := range d.instances {
		x.results.decay(now)
		failed, results := x.results.sum, x.results.weight
		if failed > minReportedCount || results > minReportedCount && d.freshPeerFailures(k, now).Failed > minReportedCount {
			out = append(out, Failures{Key: k, Failed: failed, Results: results})
		}
	}
	return out
}

// SetPeerFailures sets the results of the other hosts of this data centre, summed by instance.
func (d *Dispatcher) SetPeerFailures(list []Failures, now time.Time) {
	d.peerFailures, d.peerFailuresAt = map[catalog.Key]Failures{}, now
	for _, f := range list {
		d.peerFailures[f.Key] = f
	}
}

func (d *Dispatcher) freshPeerFailures(k catalog.Key, now time.Time) Failures {
	if len(d.peerFailures) == 0 || now.Sub(d.peerFailuresAt) >= peerMaxAge {
		return Failures{}
	}
	return d.peerFailures[k]
}

// assumedSuccesses are added to the results of an instance, so that one failure does not
// dominate them.
const assumedSuccesses = 2

// singlePeerFailure is left out of the failures of the other hosts: hosts report results only
// once a failure is known, so that a first failure has no successes beside it.
const singlePeerFailure = 1

// failureRate returns the part of the latest results of an instance, over the hosts of this
// data centre, that were failures.
func (d *Dispatcher) failureRate(x *instance, now time.Time) float64 {
	x.results.decay(now)
	peers := d.freshPeerFailures(x.Key(), now)
	return (x.results.sum + max(peers.Failed-singlePeerFailure, 0)) / (x.results.weight + peers.Results + assumedSuccesses)
}

// decayingMean is an exponentially weighted mean of results.
type decayingMean struct {
	sum, weight float64
	at          time.Time
}

// meanTimeConstant is the time in which the weight of a result falls to 1/e. It is short,
// because the successes of a busy instance before it began to fail hide its failures.
const meanTimeConstant = time.Second

func (d *decayingMean) decay(now time.Time) {
	if f := math.Exp(-now.Sub(d.at).Seconds() / meanTimeConstant.Seconds()); !d.at.IsZero() {
		d.sum *= f
		d.weight *= f
	}
	d.at = now
}

func (d *decayingMean) add(v float64, now time.Time) {
	d.decay(now)
	d.sum += v
	d.weight++
}
