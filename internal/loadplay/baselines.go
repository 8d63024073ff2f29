package loadplay

import (
	"time"

	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/rendezvous"
)

// baseline is a policy that sends every request immediately. It refuses a request only if
// it can choose no engine.
type baseline struct {
	sim  *Simulation
	name string
	up   []bool
	// inFlight counts the requests in flight by host and engine. A host knows only its own.
	inFlight     [][]int
	nextEngine   []int
	chooseEngine func(b *baseline, a *Attempt) int
}

func newBaseline(name string, chooseEngine func(*baseline, *Attempt) int) func(*Simulation) Policy {
	return func(sim *Simulation) Policy {
		b := &baseline{sim: sim, name: name, chooseEngine: chooseEngine, nextEngine: make([]int, sim.load.Hosts)}
		for range sim.load.Hosts {
			b.inFlight = append(b.inFlight, make([]int, sim.load.Engines))
		}
		return b
	}
}

// Name implements Policy.
func (b *baseline) Name() string { return b.name }

// HandleAttempt implements Policy.
func (b *baseline) HandleAttempt(a *Attempt, _ time.Time) {
	engine := b.chooseEngine(b, a)
	if engine < 0 {
		b.sim.Refuse(a, exchangeInterval)
		return
	}
	b.inFlight[a.Host][engine]++
	b.sim.Send(a, engine)
}

// FirstEvent implements Policy.
func (b *baseline) FirstEvent(*Attempt, time.Time) {}

// Done implements Policy.
func (b *baseline) Done(a *Attempt, _ dispatch.Outcome, _ time.Time) { b.inFlight[a.Host][a.engine]-- }

// Cancelled implements Policy.
func (b *baseline) Cancelled(*Attempt, time.Time) {}

// ExchangeLoads implements Policy.
func (b *baseline) ExchangeLoads(time.Time) {}

// SetEngines implements Policy.
func (b *baseline) SetEngines(up []bool, _ time.Time) { b.up = append([]bool{}, up...) }

// lowest returns the engine with the lowest value among the engines that are up and have a
// non-negative value, or -1 if there is none.
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
func roundRobin(b *baseline, a *Attempt) int {
	for range b.up {
		b.nextEngine[a.Host]++
		if i := (b.nextEngine[a.Host] + a.Host) % len(b.up); b.up[i] {
			return i
		}
	}
	return -1
}

// leastLoaded chooses the engine at which the host has the fewest requests in flight.
func leastLoaded(b *baseline, a *Attempt) int {
	n := len(b.up)
	return b.lowest(func(i int) float64 {
		// The offset prevents hosts from choosing the same engine when several are equal.
		return float64(b.inFlight[a.Host][i]) + float64((i+a.Host)%n)/float64(n+1)
	})
}

// hashOnly chooses an engine by rendezvous hashing of the last shared part.
func hashOnly(b *baseline, a *Attempt) int {
	return b.lowest(func(i int) float64 { return -hashWeight(a, i) + 1 })
}

// maxLoadFactor is the load of an engine, relative to the mean, at which boundedHash skips
// it.
const maxLoadFactor = 1.25

// boundedHash is hashOnly without the engines at which the host has many more requests in
// flight than on average.
func boundedHash(b *baseline, a *Attempt) int {
	total := 1
	for _, n := range b.inFlight[a.Host] {
		total += n
	}
	limit := maxLoadFactor * float64(total) / float64(len(b.up))
	return b.lowest(func(i int) float64 {
		if float64(b.inFlight[a.Host][i]) >= limit {
			return -1
		}
		return 1 - hashWeight(a, i)
	})
}

// hashWeight returns the rendezvous weight of an engine for the last shared part of a
// prompt, between 0 and 1.
func hashWeight(a *Attempt, engine int) float64 {
	key := a.Parts[max(len(a.Parts)-2, 0)].ID
	return float64(rendezvous.Weight(key, uint64(engine))) / (1 << 64)
}
