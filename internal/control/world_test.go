package control

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/raft"
	"marigoldshunt/internal/wire"
)

// memoryStorage is a storage in memory that survives the restart of a node.
type memoryStorage struct {
	id       raft.ReplicaID
	hard     raft.HardState
	snapshot raft.Snapshot
	entries  []raft.Entry
	syncs    uint64
	failure  error
}

func (m *memoryStorage) ReplicaID() raft.ReplicaID { return m.id }
func (m *memoryStorage) Syncs() uint64             { return m.syncs }

func (m *memoryStorage) Save(h *raft.HardState, es []raft.Entry) error {
	if m.failure != nil {
		return m.failure
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
	if m.failure != nil {
		return m.failure
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

// simulation is a fleet of hosts with one virtual clock and a network that delivers in
// order.
type simulation struct {
	t               testing.TB
	now             time.Duration
	wall            time.Time
	rng             *rand.Rand
	disks           map[string]*memoryStorage
	nodes           map[string]*Node
	clients         map[string]*Client
	boots           uint64
	controlHosts    []string
	snapshotEntries uint64
	orders          OrderSender
	// spawn runs functions that may block; nil runs them at once.
	spawn    func(func())
	queue    []packet
	isolated map[string]bool
	// drop loses matching packets.
	drop func(packet) bool
	// delay is the time that a message to another host takes; nil means none.
	delay func() time.Duration
	// seeds, if set, are the hosts listed in the settings; the group then repairs itself.
	seeds []string
	// check runs after each delivery and each tick.
	check     func()
	heldSpans map[string][]leaseSpan
}

// leaseSpan is the time in which a host believed that it held a lease.
type leaseSpan struct {
	host     string
	fence    uint64
	from, to time.Duration
}

func (sim *simulation) Now() time.Duration { return sim.now }

type simTransport struct {
	sim  *simulation
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
	p.sim.queue = append(p.sim.queue, packet{p.host, to, due, kind, payload})
	return nil
}

func discardLogger() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func newSimulation(t testing.TB, seed int64, control ...string) *simulation {
	sim := &simulation{t: t, rng: rand.New(rand.NewSource(seed)), wall: time.UnixMilli(1_800_000_000_000), controlHosts: control,
		disks: map[string]*memoryStorage{}, nodes: map[string]*Node{}, clients: map[string]*Client{}, isolated: map[string]bool{}, heldSpans: map[string][]leaseSpan{}}
	for _, h := range control {
		sim.disks[h] = &memoryStorage{id: raft.ReplicaID(sim.rng.Uint64() | 1)}
		sim.startNode(h)
		sim.startClient(h)
	}
	return sim
}

func (sim *simulation) startNode(h string) {
	sim.boots++
	spawn := sim.spawn
	if spawn == nil {
		spawn = func(f func()) { f() }
	}
	opts := NodeOptions{Host: h, Boot: sim.boots, Storage: sim.disks[h], Restored: sim.disks[h].restored(), Transport: simTransport{sim, h},
		Clock: sim, WallClock: func() time.Time { return sim.wall.Add(sim.now) }, Rand: rand.New(rand.NewSource(sim.rng.Int63())),
		Orders: sim.orders, MinSnapshotEntries: sim.snapshotEntries, Log: discardLogger(), spawn: spawn}
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
		sim.t.Fatal(err)
	}
	sim.nodes[h] = n
}

func (sim *simulation) startClient(h string) *Client {
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

func (sim *simulation) stopHost(h string) {
	delete(sim.nodes, h)
	delete(sim.clients, h)
}

// step advances the clock by one tick and delivers everything that was sent.
func (sim *simulation) step() {
	sim.now += TickInterval
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
	sim.checkLeases()
}

func (sim *simulation) runningHosts() []string {
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

func (sim *simulation) runNode(h string, n *Node) {
	for len(n.inbox) > 0 {
		n.handleEvent(<-n.inbox)
	}
	if n.process() != nil {
		delete(sim.nodes, h)
	}
}

func (sim *simulation) deliver() {
	var later []packet
	defer func() { sim.queue = append(later, sim.queue...) }()
	for rounds := 0; len(sim.queue) > 0; rounds++ {
		if rounds > 200_000 {
			sim.t.Fatal("nodes exchange messages without end")
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
		sim.checkLeases()
	}
}

func (sim *simulation) bootOf(h string) uint64 {
	if c := sim.clients[h]; c != nil {
		return c.opts.Boot
	}
	return 0
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

func (sim *simulation) run(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.step()
	}
}

func (sim *simulation) leader() string {
	for _, h := range sim.runningHosts() {
		if n := sim.nodes[h]; n != nil && !sim.isolated[h] && n.isActiveLeader() {
			return h
		}
	}
	return ""
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
