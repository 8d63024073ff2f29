package sweep

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/control"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/routing"
)

// documentRoutes is the number of routes of the large document. Its encoded form does not fit into
// a frame between hosts.
const documentRoutes = 4_500

// Spread is what it takes until all hosts have a change of the routing document.
type Spread struct {
	// InForce is the time from the proposal until every host has applied it.
	InForce time.Duration `json:"in_force_ns"`
	// LeaderBytes is what the control leader sends in that time, other traffic included. The whole document
	// goes to the other replicas also if little of it has changed.
	LeaderBytes float64 `json:"leader_bytes"`
}

// measureDocument measures a large routing document and then the change of one of its routes.
func measureDocument(m *Measurement, sim *control.Simulation, traffic *meter, host string, seed int64) (err error) {
	d := largeDocument(seed)
	if m.Document, err = measureSpread(sim, traffic, host, d); err != nil {
		return err
	}
	d = d.Clone()
	d.Version++
	d.Routes[documentRoutes/2].Timeout += time.Second
	m.Route, err = measureSpread(sim, traffic, host, d)
	return err
}

func measureSpread(sim *control.Simulation, traffic *meter, host string, d routing.Document) (s Spread, err error) {
	source, err := json.Marshal(d)
	if err != nil {
		return s, fault.Wrap(err, fault.Internal, "", "encode the routing document")
	}
	traffic.reset()
	traffic.on = true
	defer func() { traffic.on = false }()
	sim.Change(host, fmt.Sprint("document-", d.Version), []config.Change{{Routing: config.NewRouting(&d, source)}})
	s.InForce, err = sim.RunUntil(stateLimit, func() bool {
		return sim.AllHave(func(c *config.Config) bool { return c.Routing != nil && c.Routing.Version == d.Version })
	})
	s.LeaderBytes = float64(traffic.out[sim.Leader()])
	return s, err
}

// largeDocument returns a document whose names compress no better than those of operators.
func largeDocument(seed int64) routing.Document {
	rng := rand.New(rand.NewSource(seed))
	d := routing.Document{Version: 1, Services: []routing.Service{{Name: "records"}}}
	for range documentRoutes {
		d.Routes = append(d.Routes, routing.Route{
			Name: fmt.Sprintf("r-%08x", rng.Uint32()), Host: fmt.Sprintf("%08x.example", rng.Uint32()), PathPrefix: fmt.Sprintf("/%016x/", rng.Uint64()),
			Kind: routing.Idempotent, Attempts: 2, Timeout: 5 * time.Second, Objective: time.Second,
			Split: []routing.WeightedService{{Service: "records", Weight: 1}},
		})
	}
	return d
}
