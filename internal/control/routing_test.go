package control

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/routing"
	"marigoldshunt/internal/wire"
)

// routingChange returns a change that sets a routing document with a number of routes.
func routingChange(t testing.TB, version uint64, routes int) config.Change {
	t.Helper()
	d := &routing.Document{Version: version, Services: []routing.Service{{Name: "records"}}}
	rng := rand.New(rand.NewSource(1)) // names that compress no better than those of operators
	for range routes {
		d.Routes = append(d.Routes, routing.Route{
			Name: fmt.Sprintf("r-%07x", rng.Uint32()), Host: fmt.Sprintf("%08x.example", rng.Uint32()), PathPrefix: fmt.Sprintf("/%016x/", rng.Uint64()),
			Kind: routing.Idempotent, Attempts: 2, Timeout: 5 * time.Second, Objective: time.Second,
			Split: []routing.WeightedService{{Service: "records", Weight: 1}},
		})
	}
	return routingChangeOf(t, d)
}

func routingChangeOf(t testing.TB, d *routing.Document) config.Change {
	t.Helper()
	source, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	return config.Change{Routing: config.NewRouting(d, source)}
}

// allHaveVersion reports whether every host has a version of the routing document and a recent
// confirmation of it.
func (sim *simulation) allHaveVersion(version uint64) bool {
	for h, c := range sim.clients {
		if r := c.Config().Routing; !sim.isolated[h] && (r == nil || r.Version != version || !c.ConfigCurrent()) {
			return false
		}
	}
	return true
}

// applyLimit is the time in which an acknowledged document must be in force on all hosts.
const applyLimit = 2 * time.Second

func TestAcknowledgedRoutingDocumentOfAnySizeReachesAllHosts(t *testing.T) {
	for _, routes := range []int{1_000, 3_500, 20_000} {
		t.Run(fmt.Sprint(routes), func(t *testing.T) {
			c := qt.New(t)
			sim := newFormedSimulation(t, 1, 2, "r1", "r2", "r3")
			c.Assert(sim.change("r1", "first", routingChange(t, 1, 2)).err, qt.IsNil)
			sim.runUntil("the first document", applyLimit, func() bool { return sim.allHaveVersion(1) })
			c.Assert(sim.change("r2", "large", routingChange(t, 2, routes)).err, qt.IsNil)
			sim.runUntil("the large document", applyLimit, func() bool { return sim.allHaveVersion(2) })

			small := routingChange(t, 3, routes)
			small.Routing.Document.Routes[routes/2].Timeout = time.Minute
			small = routingChangeOf(t, &small.Routing.Document)
			c.Assert(sim.change("r1", "small", small).err, qt.IsNil)
			sim.startClient("r4")
			sim.runUntil("the small change, also at a host that joins", applyLimit, func() bool { return sim.allHaveVersion(3) })
			for _, cl := range sim.clients {
				c.Assert(cl.Config().Routing.Document, qt.DeepEquals, small.Routing.Document)
				c.Assert(string(cl.Config().Routing.Source), qt.Equals, string(small.Routing.Source))
			}
		})
	}
}

func TestChangeOfOneRouteCostsWhatItChanges(t *testing.T) {
	c := qt.New(t)
	sim := newFormedSimulation(t, 2, 2, "r1", "r2")
	c.Assert(sim.change("r1", "first", routingChange(t, 1, 4_500)).err, qt.IsNil)
	sim.runUntil("the first document", applyLimit, func() bool { return sim.allHaveVersion(1) })
	received := 0
	sim.onSend = func(p packet) {
		if p.to == "r2" {
			received += len(p.payload)
		}
	}
	next := routingChange(t, 2, 4_500)
	next.Routing.Document.Routes[2_000].Timeout = time.Minute
	c.Assert(sim.change("r1", "small", routingChangeOf(t, &next.Routing.Document)).err, qt.IsNil)
	sim.runUntil("the small change", applyLimit, func() bool { return sim.allHaveVersion(2) })
	c.Assert(received < 8<<10, qt.IsTrue, qt.Commentf("%d bytes", received))
}

// A host whose document is not the one that a patch belongs to gets the whole one.
func TestHostWithAnotherDocumentGetsTheWholeOne(t *testing.T) {
	c := qt.New(t)
	sim := newFormedSimulation(t, 4, 2, "r1", "r2")
	c.Assert(sim.change("r1", "first", routingChange(t, 1, 100)).err, qt.IsNil)
	sim.runUntil("the first document", applyLimit, func() bool { return sim.allHaveVersion(1) })
	damaged := *sim.clients["r2"].config
	damaged.Routing = routingChange(t, 1, 99).Routing
	sim.clients["r2"].config = &damaged
	next := routingChange(t, 2, 101)
	c.Assert(sim.change("r1", "next", next).err, qt.IsNil)
	sim.runUntil("the next document", applyLimit, func() bool { return sim.allHaveVersion(2) })
	c.Assert(sim.clients["r2"].Config().Routing.Document, qt.DeepEquals, next.Routing.Document)
}

func TestRoutingDocumentReachesAllHostsWhenTheLeaderIsLostBeforeThePush(t *testing.T) {
	c := qt.New(t)
	sim := newFormedSimulation(t, 3, 2, "r1", "r2")
	c.Assert(sim.change("r1", "first", routingChange(t, 1, 2)).err, qt.IsNil)
	sim.runUntil("the first document", applyLimit, func() bool { return sim.allHaveVersion(1) })
	leader := sim.leader()
	sim.drop = func(p packet) bool {
		var chunk wire.Chunk
		kind := p.kind
		if kind == wire.KindChunk && wire.Unmarshal(p.payload, &chunk) == nil {
			kind = chunk.Inner
		}
		return p.from == leader && (slices.Contains(pushKinds, kind) || kind == wire.KindProposeAck)
	}
	call := sim.startChange("r1", "large", routingChange(t, 2, 3_500))
	sim.runUntil("the commit", 5*time.Second, func() bool { return sim.nodes[leader].state.Config().Routing.Version == 2 })
	sim.run(TickInterval)
	sim.isolated[leader] = true
	sim.drop = nil
	sim.runUntil("the document at all reachable hosts", 8*time.Second, func() bool { return sim.allHaveVersion(2) })
	c.Assert(waitForCall(sim, call).err, qt.IsNil)
}

func TestMoreHostsThanOpenTransfersGetALargeDocument(t *testing.T) {
	c := qt.New(t)
	sim := newFormedSimulation(t, 5, 2)
	for i := range 150 {
		sim.startClient(fmt.Sprintf("r%03d", i))
	}
	c.Assert(sim.change("r000", "first", routingChange(t, 1, 2)).err, qt.IsNil)
	sim.runUntil("the first document", applyLimit, func() bool { return sim.allHaveVersion(1) })
	c.Assert(sim.change("r001", "large", routingChange(t, 2, 6_000)).err, qt.IsNil)
	sim.runUntil("the large document", applyLimit, func() bool { return sim.allHaveVersion(2) })
}

func TestRestartedHostGetsTheDocumentWhoseTransferItLost(t *testing.T) {
	c := qt.New(t)
	sim := newFormedSimulation(t, 7, 2, "r1", "r2")
	c.Assert(sim.change("r1", "first", routingChange(t, 1, 2)).err, qt.IsNil)
	sim.runUntil("the first document", applyLimit, func() bool { return sim.allHaveVersion(1) })
	sim.drop = func(p packet) bool { return p.to == "r2" }
	c.Assert(sim.change("r1", "large", routingChange(t, 2, 6_000)).err, qt.IsNil)
	sim.run(TickInterval)
	sim.drop = nil
	sim.stopHost("r2")
	sim.startClient("r2")
	sim.runUntil("the large document at the restarted host", applyLimit, func() bool { return sim.allHaveVersion(2) })
}

// Hosts of a version without patches and compression must not be left with their earlier document
// during an upgrade.
func TestHostOfAnEarlierVersionGetsTheWholeDocument(t *testing.T) {
	c := qt.New(t)
	f := newRenewFleet(t, 3, 1)
	f.hosts[0].Capabilities = wire.Capabilities{}
	f.change(routingChange(t, 1, 200))
	f.runInterval()
	whole, patches := map[string]int{}, map[string]int{}
	f.onSend = func(p packet) {
		payload := p.payload
		if p.kind == wire.KindCompressedRenewAck {
			var err error
			payload, err = wire.Decompress(payload)
			c.Assert(err, qt.IsNil)
		} else if p.kind != wire.KindRenewAck {
			return
		}
		var m wire.RenewAck
		c.Assert(wire.Unmarshal(payload, &m), qt.IsNil)
		patches[p.to] += len(m.Patches)
		if m.Delta != nil && !m.Delta.Changes[0].Change.Routing.Superseded {
			whole[p.to]++
			c.Assert(p.kind, qt.Equals, wire.KindRenewAck)
		}
	}
	f.change(routingChange(t, 2, 201))
	c.Assert(whole[hostName(0)], qt.Equals, 1)
	c.Assert(patches[hostName(0)], qt.Equals, 0)
	c.Assert(whole[hostName(1)], qt.Equals, 0)
	c.Assert(patches[hostName(1)], qt.Equals, 1)
}
