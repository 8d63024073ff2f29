package control

import (
	"io"
	"math/rand"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/raft"
	"marigoldshunt/internal/wire"
)

func discardLogger() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// memoryStorage is a storage in memory that survives the restart of a node.
type memoryStorage struct {
	id       raft.ReplicaID
	hard     raft.HardState
	snapshot raft.Snapshot
	entries  []raft.Entry
	syncs    uint64
	failure  error
	// capacity is the size of the disk in bytes, 0 for no limit.
	capacity int
}

// room returns StorageFailed unless the disk has room for some more bytes.
func (m *memoryStorage) room(size int) error {
	if m.failure != nil || m.capacity == 0 {
		return m.failure
	}
	if dataBytes(m.entries)+len(m.snapshot.Data)+size > m.capacity {
		return fault.New(fault.StorageFailed, "", "no space left on device")
	}
	return nil
}

func dataBytes(entries []raft.Entry) (n int) {
	for i := range entries {
		n += len(entries[i].Data)
	}
	return n
}

func (m *memoryStorage) ReplicaID() raft.ReplicaID { return m.id }
func (m *memoryStorage) Syncs() uint64             { return m.syncs }

func (m *memoryStorage) Save(h *raft.HardState, es []raft.Entry) error {
	if err := m.room(dataBytes(es)); err != nil {
		return err
	}
	m.syncs++
	if h != nil {
		m.hard = *h
	}
	if len(es) > 0 {
		m.entries = slices.DeleteFunc(m.entries, func(e raft.Entry) bool { return e.Index >= es[0].Index })
		m.entries = append(m.entries, es...)
	}
	return nil
}

func (m *memoryStorage) SaveSnapshot(s raft.Snapshot) error {
	if err := m.room(len(s.Data)); err != nil {
		return err
	}
	m.syncs++
	m.snapshot = s
	return nil
}

func (m *memoryStorage) TruncateFront(index uint64) error {
	m.entries = slices.DeleteFunc(m.entries, func(e raft.Entry) bool { return e.Index <= index })
	return m.failure
}

func (m *memoryStorage) restored() raft.Restored {
	es := slices.DeleteFunc(slices.Clone(m.entries), func(e raft.Entry) bool { return e.Index <= m.snapshot.Index })
	return raft.Restored{Hard: m.hard, Snapshot: m.snapshot, Entries: es}
}

type packet struct {
	from, to string
	due      time.Duration
	kind     wire.Kind
	payload  []byte
}

// Simulation is a fleet of hosts with one virtual clock and a network that delivers in
// order. Equal seeds and calls give equal runs. It serves tests and benches.
type Simulation struct {
	now             time.Duration
	wall            time.Time
	rng             *rand.Rand
	disks           map[string]*memoryStorage
	nodes           map[string]*Node
	clients         map[string]*Client
	boots           uint64
	controlHosts    []string
	snapshotEntries uint64
	maxLogBytes     int
	orders          OrderSender
	// spawn runs functions that may block; nil runs them at once.
	spawn    func(func())
	queue    []packet
	isolated map[string]bool
	// drop loses matching packets.
	drop func(packet) bool
	// delay is the time that a message to another host takes; nil means none.
	delay func() time.Duration
	// deliverBetweenTicks delivers delayed messages when they are due instead of at the
	// next tick.
	deliverBetweenTicks bool
	// seeds, if set, are the hosts listed in the settings; the group then repairs itself.
	seeds []string
	// onSend is called with each message; nil means that nothing is called.
	onSend func(packet)
	// delivered is called after each delivery and each tick.
	delivered func()
	// fail reports a fault of the simulated fleet that makes the run useless.
	fail func(format string, args ...any)
}

func newSimulatedFleet(seed int64, control []string, fail func(string, ...any)) *Simulation {
	return &Simulation{rng: rand.New(rand.NewSource(seed)), wall: time.UnixMilli(1_800_000_000_000), controlHosts: control,
		disks: map[string]*memoryStorage{}, nodes: map[string]*Node{}, clients: map[string]*Client{}, isolated: map[string]bool{},
		delivered: func() {}, fail: fail}
}

// startControlHosts starts the control hosts with empty disks.
func (sim *Simulation) startControlHosts() {
	for _, h := range sim.controlHosts {
		sim.disks[h] = &memoryStorage{id: raft.ReplicaID(sim.rng.Uint64() | 1)}
		sim.startNode(h)
		sim.startClient(h)
	}
}

func (sim *Simulation) Now() time.Duration { return sim.now }

type simTransport struct {
	sim  *Simulation
	host string
}

func (p simTransport) Send(to string, kind wire.Kind, msg any) error {
	payload, err := wire.Marshal(msg)
	if err != nil {
		return err
	}
	if len(payload) > 1<<20-1024 {
		return fault.New(fault.FrameTooLarge, "", "%d bytes", len(payload))
	}
	due := p.sim.now
	if p.sim.delay != nil && to != p.host {
		due += p.sim.delay()
	}
	sent := packet{p.host, to, due, kind, payload}
	if p.sim.onSend != nil {
		p.sim.onSend(sent)
	}
	p.sim.queue = append(p.sim.queue, sent)
	return nil
}

func (sim *Simulation) startNode(h string) {
	sim.boots++
	sim.openNode(h, sim.boots, 0, sim.disks[h].restored())
}

// openNode starts the node of a process, or a later one in the same boot after a storage failure.
func (sim *Simulation) openNode(h string, boot, lastTransfer uint64, restored raft.Restored) {
	spawn := sim.spawn
	if spawn == nil {
		spawn = func(f func()) { f() }
	}
	opts := NodeOptions{Host: h, Boot: boot, LastTransfer: lastTransfer, Storage: sim.disks[h], Restored: restored, Transport: simTransport{sim, h},
		Clock: sim, WallClock: func() time.Time { return sim.wall.Add(sim.now) }, Rand: rand.New(rand.NewSource(sim.rng.Int63())),
		Orders: sim.orders, MinSnapshotEntries: sim.snapshotEntries, MaxLogBytes: sim.maxLogBytes, Log: discardLogger(), spawn: spawn}
	if sim.seeds != nil {
		opts.Seeds = func() []string { return sim.seeds }
		opts.GroupView = func() (string, bool, bool) {
			if c := sim.clients[h]; c != nil {
				return c.GroupView()
			}
			return "", false, false
		}
	}
	n, err := NewNode(opts)
	if err != nil {
		sim.fail("%v", err)
	}
	sim.nodes[h] = n
}

func (sim *Simulation) startClient(h string) *Client {
	sim.boots++
	hosts := sim.controlHosts
	if sim.seeds != nil {
		hosts = slices.Clone(sim.seeds)
		if n := sim.nodes[h]; n != nil {
			for _, m := range n.Status().Members {
				hosts = append(hosts, m.Host)
			}
		}
	}
	sim.clients[h] = NewClient(ClientOptions{Host: h, Boot: sim.boots, ControlHosts: hosts, Transport: simTransport{sim, h}, Clock: sim, Log: discardLogger()})
	return sim.clients[h]
}

func (sim *Simulation) stopHost(h string) {
	delete(sim.nodes, h)
	delete(sim.clients, h)
}

// step advances the clock by one tick and delivers everything that was sent.
func (sim *Simulation) step() {
	next := sim.now + TickInterval
	if sim.deliverBetweenTicks {
		sim.deliverUntil(next)
	}
	sim.now = next
	for _, h := range sim.runningHosts() {
		if n := sim.nodes[h]; n != nil {
			n.tick()
			sim.runNode(h, n)
		}
		if c := sim.clients[h]; c != nil {
			for len(c.inbox) > 0 {
				c.handleEvent(<-c.inbox)
			}
			c.tick()
		}
	}
	sim.deliver()
	sim.delivered()
}

// deliverUntil advances the clock to each due time before end and delivers what is due.
func (sim *Simulation) deliverUntil(end time.Duration) {
	for {
		next := end
		for _, p := range sim.queue {
			next = min(next, p.due)
		}
		if next >= end {
			return
		}
		sim.now = max(sim.now, next)
		sim.deliver()
	}
}

func (sim *Simulation) runningHosts() []string {
	var out []string
	for h := range sim.nodes {
		out = append(out, h)
	}
	for h := range sim.clients {
		if sim.nodes[h] == nil {
			out = append(out, h)
		}
	}
	slices.Sort(out)
	return out
}

func (sim *Simulation) runNode(h string, n *Node) {
	for len(n.inbox) > 0 {
		n.handleEvent(<-n.inbox)
	}
	if n.process() != nil {
		delete(sim.nodes, h)
	}
}

func (sim *Simulation) deliver() {
	var later []packet
	defer func() { sim.queue = append(later, sim.queue...) }()
	for rounds := 0; len(sim.queue) > 0; rounds++ {
		if rounds > 200_000 {
			sim.fail("nodes exchange messages without end")
			return
		}
		p := sim.queue[0]
		sim.queue = sim.queue[1:]
		if p.due > sim.now {
			later = append(later, p)
			continue
		}
		if p.from != p.to && (sim.isolated[p.from] || sim.isolated[p.to]) || sim.drop != nil && sim.drop(p) {
			continue
		}
		if n := sim.nodes[p.to]; n != nil {
			n.handleEvent(event{from: p.from, boot: sim.bootOf(p.from), kind: p.kind, payload: p.payload})
			sim.runNode(p.to, n)
		}
		if c := sim.clients[p.to]; c != nil {
			c.handleEvent(event{from: p.from, kind: p.kind, payload: p.payload})
		}
		sim.delivered()
	}
}

func (sim *Simulation) bootOf(h string) uint64 {
	if c := sim.clients[h]; c != nil {
		return c.opts.Boot
	}
	return 0
}

func (sim *Simulation) run(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.step()
	}
}

func (sim *Simulation) leader() string {
	for _, h := range sim.runningHosts() {
		if n := sim.nodes[h]; n != nil && !sim.isolated[h] && n.isActiveLeader() {
			return h
		}
	}
	return ""
}
