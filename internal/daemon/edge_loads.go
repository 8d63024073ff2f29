package daemon

import (
	"context"
	"time"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/loads"
	"marigoldshunt/internal/wait"
	"marigoldshunt/internal/wire"
)

// handleLoads processes a load report from a host or load sums from a relay.
func (e *edgeRole) handleLoads(from string, _ uint64, kind wire.Kind, payload []byte) {
	var report wire.Loads
	var sums wire.LoadSums
	var err error
	if kind == wire.KindLoads {
		err = wire.Unmarshal(payload, &report)
	} else {
		err = wire.Unmarshal(payload, &sums)
	}
	if err != nil {
		e.log.WithError(err).WithField("from", from).Warn("Failed to decode loads.")
		return
	}
	now := time.Now()
	e.loadsMu.Lock()
	defer e.loadsMu.Unlock()
	if kind == wire.KindLoads {
		e.loads.HandleReport(from, report, now)
		return
	}
	e.loads.HandleSums(sums, now)
	e.applyPeerLoads(e.loads.Others(now))
}

// handleLoadChanges applies changes of loads and passes them on.
func (e *edgeRole) handleLoadChanges(from string, _ uint64, _ wire.Kind, payload []byte) {
	var m wire.LoadChanges
	err := wire.Unmarshal(payload, &m)
	if err == nil {
		err = e.applyLoadChanges(from, &m)
	}
	if err != nil {
		e.log.WithError(err).WithField("from", from).Warn("Failed to decode changes of loads.")
	}
}

func (e *edgeRole) applyLoadChanges(from string, m *wire.LoadChanges) error {
	now := time.Now()
	e.loadsMu.Lock()
	messages, err := e.loads.HandleChanges(from, m, now)
	if m.Scope != wire.LoadsOfHost {
		e.applyPeerLoads(e.loads.Others(now))
	}
	e.loadsMu.Unlock()
	e.sendLoads(messages)
	return err
}

func (e *edgeRole) sendLoads(messages []loads.Outgoing) {
	for _, s := range messages {
		if err := e.d.peers.Send(s.To, s.Kind, s.Msg); err != nil {
			e.log.WithError(err).WithField("to", s.To).Debug("Failed to send loads.")
		}
	}
}

// applyPeerLoads passes the loads of the other hosts to this host's dispatcher.
func (e *edgeRole) applyPeerLoads(sums []wire.LoadSum) {
	e.dispatcher.Update(func(d *dispatch.Dispatcher, now time.Time) {
		for _, sum := range sums {
			list := make([]dispatch.Load, len(sum.Loads.Instances))
			for i, l := range sum.Loads.Instances {
				list[i] = dispatch.Load(l)
			}
			d.SetPeerLoads(sum.DataCentre, list, now)
			d.SetPeerRates(sum.DataCentre, dispatchRates(sum.Loads.Rates), now)
			for _, g := range sum.Loads.Gates {
				d.SetGate(catalog.Key{ID: g.ID, Born: g.Born}, dispatch.GateLoad{Backlog: g.Backlog, Running: g.Running, PerMs: g.PerMs}, now)
			}
		}
	})
}

func dispatchRates(rates map[string]wire.AccountRate) dispatch.AccountRates {
	out := make(dispatch.AccountRates, len(rates))
	for account, r := range rates {
		out[account] = dispatch.AccountRate{Demanded: float64(r.Asked), Served: float64(r.Served)}
	}
	return out
}

// reportLoads reports this host's loads until ctx ends. A relay also sends out the load sums.
func (e *edgeRole) reportLoads(ctx context.Context) error {
	for ctx.Err() == nil {
		own := wire.Loads{Gates: e.admission.Loads()}
		e.dispatcher.Update(func(d *dispatch.Dispatcher, now time.Time) {
			for _, l := range d.OwnLoads() {
				own.Instances = append(own.Instances, wire.InstanceLoad(l))
			}
			own.Rates = map[string]wire.AccountRate{}
			for account, r := range d.OwnRates(now) {
				own.Rates[account] = wire.AccountRate{Asked: float32(r.Demanded), Served: float32(r.Served)}
			}
		})
		now := time.Now()
		e.loadsMu.Lock()
		messages := e.loads.Tick(own, now)
		interval := e.loads.Interval()
		e.applyPeerLoads(e.loads.Others(now))
		e.loadsMu.Unlock()
		e.sendLoads(messages)
		wait.For(ctx, interval)
	}
	return nil
}
