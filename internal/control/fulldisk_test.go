package control

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
)

const (
	// fullDiskAckLimit is the time in which a change is acknowledged after the last full disk has room.
	fullDiskAckLimit = 4 * time.Second
	// reopenPause is the time between two tries of a host to open its log.
	reopenPause = 500 * time.Millisecond
	// fullDiskCapacity is the size of a disk. The log may take an eighth of it.
	fullDiskCapacity = 8 << 20
	fullDiskLogBytes = fullDiskCapacity / 8
)

// fullDisks fills the disks of control hosts, and opens their logs again as the daemon does: in the
// same process, with a new node.
type fullDisks struct {
	*simulation
	rng *rand.Rand
	// last holds the last node of each host, closedAt when it ended.
	last     map[string]*Node
	closedAt map[string]time.Duration
	version  uint64
	calls    []pendingCall[changeResult]
}

// newFullDisks returns a formed group of control hosts with long logs. Groups of more than three
// repair themselves: a host whose disk is full for long is replaced, and joins again.
func newFullDisks(t *testing.T, seed int64, hosts ...string) *fullDisks {
	sim := newSimulation(t, 3000+seed, hosts...)
	sim.maxLogBytes = fullDiskLogBytes
	if len(hosts) > 3 {
		sim.seeds = hosts[:3]
	}
	for _, h := range hosts {
		sim.disks[h].capacity = fullDiskCapacity
		sim.startNode(h)
		sim.startClient(h)
	}
	sim.formGroup()
	sim.startClient("r1")
	f := &fullDisks{simulation: sim, rng: rand.New(rand.NewSource(seed)), last: map[string]*Node{}, closedAt: map[string]time.Duration{}}
	f.delay = func() time.Duration { return 3 * time.Millisecond } // connections keep the order
	f.deliverBetweenTicks = true
	return f
}

// tick advances the simulation by one tick.
func (f *fullDisks) tick() {
	f.step()
	for _, h := range f.controlHosts {
		switch n := f.nodes[h]; {
		case n != nil:
			f.last[h], f.closedAt[h] = n, f.now
		case f.now-f.closedAt[h] >= reopenPause && f.disks[h].failure == nil:
			f.openNode(h, f.last[h].opts.Boot, f.last[h].LastTransfer(), f.disks[h].restored())
		}
	}
}

func (f *fullDisks) runFor(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.tick()
	}
}

// startDocument starts a change of the routing document that needs several chunks.
func (f *fullDisks) startDocument() pendingCall[changeResult] {
	f.version++
	return f.startChange("r1", fmt.Sprint("v", f.version), routingChange(f.t, f.version, 1_300+f.rng.Intn(300)))
}

// storm sends documents while the disk of a host is full.
func (f *fullDisks) storm(d time.Duration) {
	for end := f.now + d; f.now < end; {
		if len(f.clients["r1"].calls) < 2 {
			f.calls = append(f.calls, f.startDocument())
		}
		f.runFor(300 * time.Millisecond)
	}
}

func (f *fullDisks) endCalls() {
	for _, a := range f.calls {
		a.cancel()
		<-a.done
	}
}

// Guards against changes that stay without an answer long after the last of several full disks has
// room again, while all processes run.
func TestChangesAreAcknowledgedAfterDisksWereFullOneAfterAnother(t *testing.T) {
	groups := [][]string{{"h1", "h2", "h3"}, {"h1", "h2", "h3", "h4", "h5", "h6"}}
	for seed := range int64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := qt.New(t)
			f := newFullDisks(t, seed, groups[seed%2]...)
			f.storm(4 * time.Second) // the log is longer than the disk by now
			for range 3 + f.rng.Intn(3) {
				host := f.controlHosts[f.rng.Intn(len(f.controlHosts))]
				if f.rng.Intn(2) == 0 && f.leader() != "" {
					host = f.leader()
				}
				f.disks[host].failure = fault.New(fault.StorageFailed, "", "no space left on device")
				f.storm(time.Duration(1000+f.rng.Intn(4000)) * time.Millisecond)
				f.disks[host].failure = nil
				f.runFor(time.Duration(f.rng.Intn(3)) * 300 * time.Millisecond)
			}
			roomAt := f.now
			last := f.startDocument()
			seq := slices.Max(slices.Collect(maps.Keys(f.clients["r1"].calls)))
			for f.clients["r1"].calls[seq] != nil && f.now-roomAt < 30*time.Second {
				f.tick()
			}
			took := f.now - roomAt
			f.endCalls()
			c.Assert(f.clients["r1"].calls[seq], qt.IsNil, qt.Commentf("no answer in 30 s"))
			c.Assert((<-last.done).err, qt.IsNil)
			c.Assert(took <= fullDiskAckLimit, qt.IsTrue, qt.Commentf("acknowledged after %v", took))
		})
	}
}
