package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
)

// leaseSpan is the time in which a host believed that it held a lease.
type leaseSpan struct {
	host     string
	fence    uint64
	from, to time.Duration
}

// simulation is a Simulation that fails a test.
type simulation struct {
	*Simulation
	t testing.TB
	// check runs after each delivery and each tick.
	check     func()
	heldSpans map[string][]leaseSpan
}

func newSimulation(t testing.TB, seed int64, control ...string) *simulation {
	sim := &simulation{t: t, heldSpans: map[string][]leaseSpan{}}
	sim.Simulation = newSimulatedFleet(seed, control, func(format string, args ...any) { sim.t.Fatalf(format, args...) })
	sim.delivered = sim.checkLeases
	sim.startControlHosts()
	return sim
}

// checkLeases records the leases that hosts believe they hold and fails the test when two
// hosts hold one pool at the same time or the fence of a pool does not grow.
func (sim *simulation) checkLeases() {
	for host, c := range sim.clients {
		for pool := range c.Config().Pools {
			fence, until, ok := c.HeldUntil(pool)
			if !ok {
				continue
			}
			for other, o := range sim.clients {
				if f, _, also := o.HeldUntil(pool); also && other != host {
					sim.t.Fatalf("at %v pool %s is held by %s (fence %d) and %s (fence %d)", sim.now, pool, host, fence, other, f)
				}
			}
			if spans := sim.heldSpans[pool]; len(spans) > 0 {
				if last := &spans[len(spans)-1]; last.host == host && last.fence == fence {
					last.to = until
					continue
				} else if last.fence >= fence {
					sim.t.Fatalf("pool %s passed from fence %d to %d", pool, last.fence, fence)
				}
			}
			sim.heldSpans[pool] = append(sim.heldSpans[pool], leaseSpan{host, fence, sim.now, until})
		}
	}
	if sim.check != nil {
		sim.check()
	}
}

func (sim *simulation) runUntil(what string, limit time.Duration, cond func() bool) time.Duration {
	sim.t.Helper()
	start := sim.now
	for !cond() {
		if sim.now-start > limit {
			sim.t.Fatalf("not within %v: %s", limit, what)
		}
		sim.step()
	}
	return sim.now - start
}

// onNode and the helpers below run blocking calls in goroutines. The virtual clock advances
// only after the call has reached the queue, so the result does not depend on scheduling.
func (sim *simulation) onNode(h string, f func(n *Node) error) error {
	n := sim.nodes[h]
	result := make(chan error, 1)
	go func() { result <- f(n) }()
	select {
	case e := <-n.inbox:
		n.handleEvent(e)
	case err := <-result:
		return err
	}
	for range 400 {
		if n.formation == nil && n.replacement == nil {
			return <-result
		}
		sim.runNode(h, n)
		sim.deliver()
		sim.step()
	}
	return fault.New(fault.Timeout, "", "no answer in 20 s")
}

func (sim *simulation) formGroup() {
	sim.t.Helper()
	err := sim.onNode(sim.controlHosts[0], func(n *Node) error { return n.Form(context.Background(), "init", sim.controlHosts) })
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.runUntil("a leader", 5*time.Second, func() bool { return sim.leader() != "" })
}

// pendingCall is a call of a client that runs in its own goroutine.
type pendingCall[T any] struct {
	c      *Client
	done   chan T
	cancel context.CancelFunc
}

func startCall[T any](c *Client, f func(ctx context.Context) T) pendingCall[T] {
	ctx, cancel := context.WithCancel(context.Background())
	a := pendingCall[T]{c, make(chan T, 1), cancel}
	go func() { a.done <- f(ctx) }()
	c.handleEvent(<-c.inbox)
	return a
}

// waitForCall advances the simulation until the client has no open call, for at most 20 s.
func waitForCall[T any](sim *simulation, a pendingCall[T]) T {
	sim.t.Helper()
	for range 400 {
		if len(a.c.calls) == 0 {
			break
		}
		sim.deliver()
		if len(a.c.calls) > 0 {
			sim.step()
		}
	}
	if len(a.c.calls) > 0 {
		a.cancel()
	}
	return <-a.done
}

type changeResult struct {
	revision uint64
	err      error
}

func (sim *simulation) startChange(h, id string, changes ...config.Change) pendingCall[changeResult] {
	return startCall(sim.clients[h], func(ctx context.Context) changeResult {
		r, err := sim.clients[h].Change(ctx, id, "op", changes)
		return changeResult{r, err}
	})
}

func (sim *simulation) change(h, id string, changes ...config.Change) changeResult {
	sim.t.Helper()
	return waitForCall(sim, sim.startChange(h, id, changes...))
}

// fleetChanges returns the changes that add the hosts, each in its own data centre, and
// the given number of pools.
func fleetChanges(hosts []string, pools int) []config.Change {
	var changes []config.Change
	for i, h := range hosts {
		changes = append(changes, config.Change{DataCentre: &config.DataCentre{Name: "dc-" + h}},
			config.Change{Host: &config.Host{Name: h, DataCentre: "dc-" + h, CallerAddress: fmt.Sprint("127.0.0.1:", 1000+i),
				AdminAddress: fmt.Sprint("127.0.0.1:", 2000+i), PeerAddress: fmt.Sprint("127.0.0.1:", 3000+i)}})
	}
	for i := range pools {
		changes = append(changes, config.Change{Pool: &config.Pool{Name: fmt.Sprint("p", i), Kind: config.KindModel, MaxCost: 9, DefaultCost: 1,
			Profile: config.Profile{ColdConcurrency: 1, MaxConcurrency: 2, WarmAfter: 1}}})
	}
	return changes
}

func dataCentreChange(name string, rev uint64, out bool) config.Change {
	return config.Change{DataCentre: &config.DataCentre{Name: name, Out: out}, IfRevision: rev}
}
