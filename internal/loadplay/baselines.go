package loadplay

import (
	"time"

	"marigoldshunt/internal/rendezvous"
)

// baseline is a policy that sends every request immediately. It refuses a request only if
// it can choose no engine.
type baseline struct {
	sim  *World
	name string
	up   []bool
	// inFlight counts the requests in flight by host and engine. A host knows only its own.
	inFlight     [][]int
	nextEngine   []int
	chooseEngine func(b *baseline, t *Try) int
}

func newBaseline(name string, chooseEngine func(*baseline, *Try) int) func(*World) Policy {
	return func(sim *World) Policy {
		b := &baseline{sim: sim, name: name, chooseEngine: chooseEngine, nextEngine: make([]int, sim.load.Hosts)}
		for range sim.load.Hosts {
			b.inFlight = append(b.inFlight, make([]int, sim.load.Engines))
		}
		return b
	}
}

// Name implements Policy.
func (b *baseline) Name() string { return b.name }

// Arrive implements Policy.
func (b *baseline) Arrive(t *Try, _ time.Time) {
	engine := b.chooseEngine(b, t)
	if engine < 0 {
		b.sim.Refuse(t, exchangeInterval)
		return
	}
	b.inFlight[t.Host][engine]++
	b.sim.Send(t, engine)
}

// FirstEvent implements Policy.
func (b *baseline) FirstEvent(*Try, time.Time) {}

// Done implements Policy.
func (b *baseline) Done(t *Try, _ time.Time) { b.inFlight[t.Host][t.engine]-- }

// Withdrawn implements Policy.
func (b *baseline) Withdrawn(*Try, time.Time) {}

// Tell implements Policy.
func (b *baseline) Tell(time.Time) {}

// Engines implements Policy.
func (b *baseline) Engines(up []bool, _ time.Time) { b.up = append([]bool{}, up...) }

// lowest returns the engine with the lowest value, without engines that are down or have a
// negative value. It returns -1 if there is none.
func (b *baseline) lowest(value func(engine int) float64) int {
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

// roundRobin chooses the engines in turn.
func roundRobin(b *baseline, t *Try) int {
	for range b.up {
		b.nextEngine[t.Host]++
		if i := (b.nextEngine[t.Host] + t.Host) % len(b.up); b.up[i] {
			return i
		}
	}
	return -1
}

// leastLoaded chooses the engine at which the host has the fewest requests in flight.
func leastLoaded(b *baseline, t *Try) int {
	n := len(b.up)
	return b.lowest(func(i int) float64 {
		// The offset prevents hosts from choosing the same engine when several are equal.
		return float64(b.inFlight[t.Host][i]) + float64((i+t.Host)%n)/float64(n+1)
	})
}

// hashOnly chooses an engine by rendezvous hashing of the last shared part.
func hashOnly(b *baseline, t *Try) int {
	return b.lowest(func(i int) float64 { return -hashWeight(t, i) + 1 })
}

// maxLoadFactor is the load of an engine, relative to the mean, at which boundedHash skips
// it.
const maxLoadFactor = 1.25

// boundedHash is hashOnly without the engines at which the host has many more requests in
// flight than on average.
func boundedHash(b *baseline, t *Try) int {
	total := 1
	for _, n := range b.inFlight[t.Host] {
		total += n
	}
	limit := maxLoadFactor * float64(total) / float64(len(b.up))
	return b.lowest(func(i int) float64 {
		if float64(b.inFlight[t.Host][i]) >= limit {
			return -1
		}
		return 1 - hashWeight(t, i)
	})
}

// hashWeight returns the rendezvous weight of an engine for the last shared part of a
// prompt, between 0 and 1.
func hashWeight(t *Try, engine int) float64 {
	key := t.Parts[max(len(t.Parts)-2, 0)].ID
	return float64(rendezvous.Weight(key, uint64(engine))) / (1 << 64)
}
