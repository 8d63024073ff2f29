package control

import (
	"context"
	"slices"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// SimulationOptions describe a simulated fleet.
type SimulationOptions struct {
	Seed int64
	// ControlHosts form the control group; Hosts are the others.
	ControlHosts, Hosts []string
	// OneWay is the time that a message to another host takes.
	OneWay time.Duration
	// OnSend is called with each message that a host sends to another one or to itself;
	// payload is the encoded message. It may be nil.
	OnSend func(from, to string, kind wire.Kind, payload []byte)
}

// Limits of what a simulated fleet waits for.
const (
	formLimit = 20 * time.Second
	joinLimit = 20 * time.Second
)

// NewSimulation returns a fleet whose control group is formed and whose hosts all have a
// confirmed configuration. It returns a Timeout error if the fleet does not get there.
func NewSimulation(o SimulationOptions) (*Simulation, error) {
	var failure error
	sim := newSimulatedFleet(o.Seed, o.ControlHosts, nil)
	sim.fail = func(format string, args ...any) { failure = fault.New(fault.Internal, "", format, args...) }
	sim.delay, sim.deliverBetweenTicks = func() time.Duration { return o.OneWay }, true
	if o.OnSend != nil {
		sim.onSend = func(p packet) { o.OnSend(p.from, p.to, p.kind, p.payload) }
	}
	sim.startControlHosts()
	if err := sim.form(); err != nil {
		return nil, err
	}
	for i, h := range o.Hosts {
		sim.startClient(h)
		if i%hostsPerStartTick(len(o.Hosts)) == 0 {
			// Hosts that start in one tick would send all their Renews in one tick.
			sim.step()
		}
	}
	if _, err := sim.RunUntil(joinLimit, func() bool { return sim.AllConfirmedSince(0) }); err != nil {
		return nil, err
	}
	return sim, failure
}

// hostsPerStartTick spreads the start of hosts over the ticks of one RenewInterval.
func hostsPerStartTick(hosts int) int { return max(hosts/int(RenewInterval/TickInterval), 1) }

// form forms the control group and waits for its leader.
func (sim *Simulation) form() error {
	done := make(chan error, 1)
	first := sim.nodes[sim.controlHosts[0]]
	first.startForm("init", slices.Sorted(slices.Values(sim.controlHosts)), done)
	sim.runNode(sim.controlHosts[0], first)
	_, err := sim.RunUntil(formLimit, func() bool { return sim.leader() != "" })
	return err
}

// RunUntil advances the clock until cond holds and returns how long that took, in steps of
// TickInterval. It returns a Timeout error if cond does not hold within limit.
func (sim *Simulation) RunUntil(limit time.Duration, cond func() bool) (time.Duration, error) {
	start := sim.now
	for !cond() {
		if sim.now-start > limit {
			return sim.now - start, fault.New(fault.Timeout, "", "the simulated fleet did not reach the state within %v", limit)
		}
		sim.step()
	}
	return sim.now - start, nil
}

// Run advances the clock.
func (sim *Simulation) Run(d time.Duration) { sim.run(d) }

// Leader returns the host that leads the control group, or "" if there is none.
func (sim *Simulation) Leader() string { return sim.leader() }

// Isolate loses all further messages from and to a host.
func (sim *Simulation) Isolate(host string) { sim.isolated[host] = true }

// Change sends changes of the configuration to the control group from a host and returns
// without waiting for the result.
func (sim *Simulation) Change(host, requestID string, changes []config.Change) {
	c := sim.clients[host]
	go func() {
		// The caller sees from the configuration of the hosts whether the change took effect.
		_, _ = c.Change(context.Background(), requestID, "sweep", changes)
	}()
	c.handleEvent(<-c.inbox)
}

// AllHave reports whether the configuration of every reachable host satisfies has.
func (sim *Simulation) AllHave(has func(*config.Config) bool) bool {
	return sim.allReachable(func(c *Client) bool { return has(c.Config()) })
}

// AllConfirmedSince reports whether a leader has confirmed the configuration of every
// reachable host by the answer to a Renew that was sent at or after a time.
func (sim *Simulation) AllConfirmedSince(at time.Duration) bool {
	return sim.allReachable(func(c *Client) bool { return c.confirmed && c.confirmedAt >= at })
}

// AllSee reports whether every reachable host has a host on its list with the given state.
func (sim *Simulation) AllSee(host string, alive bool) bool {
	return sim.allReachable(func(c *Client) bool {
		return slices.ContainsFunc(c.Hosts(), func(h wire.HostStatus) bool { return h.Host == host && h.Alive == alive })
	})
}

func (sim *Simulation) allReachable(holds func(*Client) bool) bool {
	for h, c := range sim.clients {
		if !sim.isolated[h] && !holds(c) {
			return false
		}
	}
	return true
}
