package sweep

import (
	"runtime"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/control"
)

const (
	// controlHosts is the number of voters of the control group.
	controlHosts = 5
	// oneWay is the delay of a message between hosts.
	oneWay = time.Millisecond
	// stateLimit bounds the wait for a state of the simulated fleet.
	stateLimit = 30 * time.Second
)

// measureControl measures the control group with one client per host.
func measureControl(m *Measurement, o Options) error {
	var names []string
	for i := range m.Hosts {
		names = append(names, hostName(i))
	}
	traffic := newMeter()
	before := heapBytes()
	sim, err := control.NewSimulation(control.SimulationOptions{
		Seed: o.Seed, ControlHosts: names[:controlHosts], Hosts: names[controlHosts:], OneWay: oneWay, OnSend: traffic.count,
	})
	if err != nil {
		return err
	}
	// The host list is published a few Renew intervals after the election.
	sim.Run(3 * time.Second)
	m.ControlMemory = (heapBytes() - before) / float64(m.Hosts)
	traffic.on = true
	sim.Run(o.Length)
	traffic.on = false
	if traffic.err != nil {
		return traffic.err
	}
	m.Control = traffic.traffic(m.Hosts, o.Length)
	if err := measureDocument(m, sim, traffic, names[len(names)-1], o.Seed); err != nil {
		return err
	}
	if err := measureTimes(m, sim, names); err != nil {
		return err
	}
	runtime.KeepAlive(sim)
	return nil
}

// measureTimes measures a change, the loss of a host and the loss of the control leader,
// in this order.
func measureTimes(m *Measurement, sim *control.Simulation, names []string) (err error) {
	last := names[len(names)-1]
	change := config.Change{DataCentre: &config.DataCentre{Name: "added"}}
	sim.Change(last, "sweep-1", []config.Change{change})
	if m.ChangeInForce, err = sim.RunUntil(stateLimit, func() bool {
		return sim.AllHave(func(c *config.Config) bool { return c.DataCentres["added"].Name != "" })
	}); err != nil {
		return err
	}
	if _, err = sim.RunUntil(stateLimit, func() bool { return sim.AllSee(last, true) }); err != nil {
		return err
	}
	sim.Isolate(last)
	if m.LostHostAgreed, err = sim.RunUntil(stateLimit, func() bool { return sim.AllSee(last, false) }); err != nil {
		return err
	}
	lostAt := sim.Now()
	sim.Isolate(sim.Leader())
	m.GroupRecovered, err = sim.RunUntil(stateLimit, func() bool { return sim.Leader() != "" && sim.AllConfirmedSince(lostAt) })
	return err
}
