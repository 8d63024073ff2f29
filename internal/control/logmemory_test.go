package control

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"
	"weak"

	qt "github.com/frankban/quicktest"
)

// Guards against a restart with a long log after which a control host keeps that log in memory as
// long as it runs, beside the new one.
func TestLogThatWasReadAtTheStartIsFreedOnceASnapshotCoversIt(t *testing.T) {
	c := qt.New(t)
	sim := newFormedSimulation(t, 5, 1, "r1")
	for v := range uint64(3) {
		c.Assert(sim.change("r1", fmt.Sprint("v", v), routingChange(t, v+1, 1_000)).err, qt.IsNil)
	}
	host := otherControlHosts(sim, sim.leader())[0]
	sim.stopHost(host)
	restored := sim.disks[host].restored()
	var read []weak.Pointer[byte]
	for i := range restored.Entries {
		e := &restored.Entries[i]
		if len(e.Data) > 100_000 {
			e.Data = bytes.Clone(e.Data) // the simulated disk keeps its own
			read = append(read, weak.Make(&e.Data[0]))
		}
	}
	c.Assert(read, qt.HasLen, 3)
	sim.boots++
	sim.openNode(host, sim.boots, 0, restored)
	restored.Entries = nil
	sim.startClient(host)
	sim.nodes[host].opts.MaxLogBytes = 1
	last := sim.nodes[host].raft.Status().Last
	sim.runUntil("a snapshot of the whole log", 10*time.Second, func() bool { return sim.nodes[host].snapshotIndex >= last })
	runtime.GC()
	for _, w := range read {
		c.Check(w.Value(), qt.IsNil)
	}
	runtime.KeepAlive(sim)
}
