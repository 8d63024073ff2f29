package loadplay

import (
	"time"

	"marigoldshunt/internal/rendezvous"
)

// baseline is a policy that sends every request at once and refuses nothing itself.
type baseline struct {
	w    *World
	name string
	up   []bool
	// running counts by host and engine what each host has sent itself.
	running [][]int
	turn    []int
	choose  func(b *baseline, t *Try) int
}

func newBaseline(name string, choose func(*baseline, *Try) int) func(*World) Policy {
	return func(w *World) Policy {
		b := &baseline{w: w, name: name, choose: choose, turn: make([]int, w.load.Hosts)}
		for range w.load.Hosts {
			b.running = append(b.running, make([]int, w.load.Engines))
		}
		return b
	}
}

// Name implements Policy.
func (b *baseline) Name() string { return b.name }

// Arrive implements Policy.
func (b *baseline) Arrive(t *Try, _ time.Time) {
	engine := b.choose(b, t)
	if engine < 0 {
		b.w.Refuse(t, tellInterval)
		return
	}
	b.running[t.Host][engine]++
	b.w.Send(t, engine)
}

// FirstEvent implements Policy.
func (b *baseline) FirstEvent(*Try, time.Time) {}

// Done implements Policy.
func (b *baseline) Done(t *Try, _ time.Time) { b.running[t.Host][t.engine]-- }

// Withdrawn implements Policy.
func (b *baseline) Withdrawn(*Try, time.Time) {}

// Tell implements Policy.
func (b *baseline) Tell(time.Time) {}

// Engines implements Policy.
func (b *baseline) Engines(up []bool, _ time.Time) { b.up = append([]bool{}, up...) }

// least returns the engine with the lowest value; engines with a negative one are left out.
func (b *baseline) least(value func(engine int) float64) int {
	best, bestValue := -1, 0.0
	for i, up := range b.up {
		if !up {
			continue
		}
		if v := value(i); v >= 0 && (best < 0 || v < bestValue) {
			best, bestValue = i, v
		}
	}
	return best
}

// roundRobin sends to the engines in turn.
func roundRobin(b *baseline, t *Try) int {
	for range b.up {
		b.turn[t.Host]++
		if i := (b.turn[t.Host] + t.Host) % len(b.up); b.up[i] {
			return i
		}
	}
	return -1
}

// leastLoaded sends to the engine at which the host has the fewest requests.
func leastLoaded(b *baseline, t *Try) int {
	n := len(b.up)
	return b.least(func(i int) float64 {
		// The offset keeps hosts from preferring the same engine when several are equal.
		return float64(b.running[t.Host][i]) + float64((i+t.Host)%n)/float64(n+1)
	})
}

// hashOnly sends to the engine that the last shared part hashes to.
func hashOnly(b *baseline, t *Try) int {
	return b.least(func(i int) float64 { return -weightOf(t, i) + 1 })
}

// boundFactor is the load of an engine, against the mean, above which it is left out.
const boundFactor = 1.25

// boundedHash is hashOnly without the engines at which the host has much more than on
// average.
func boundedHash(b *baseline, t *Try) int {
	total := 1
	for _, n := range b.running[t.Host] {
		total += n
	}
	limit := boundFactor * float64(total) / float64(len(b.up))
	return b.least(func(i int) float64 {
		if float64(b.running[t.Host][i]) >= limit {
			return -1
		}
		return 1 - weightOf(t, i)
	})
}

// weightOf is the rendezvous weight of an engine for the shared parts of a prompt, between
// 0 and 1.
func weightOf(t *Try, engine int) float64 {
	key := t.Parts[max(len(t.Parts)-2, 0)].ID
	return float64(rendezvous.Weight(key, uint64(engine))) / (1 << 64)
}
