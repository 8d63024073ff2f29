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

// memory is a storage that survives the restart of a node.
type memory struct {
	id      raft.ReplicaID
	hard    raft.HardState
	snap    raft.Snapshot
	entries []raft.Entry
	syncs   uint64
	fail    error
}

func (m *memory) ReplicaID() raft.ReplicaID { return m.id }
func (m *memory) Syncs() uint64             { return m.syncs }

func (m *memory) Save(h *raft.HardState, es []raft.Entry) error {
	if m.fail != nil {
		return m.fail
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

func (m *memory) SaveSnapshot(s raft.Snapshot) error {
	if m.fail != nil {
		return m.fail
	}
	m.syncs++
	m.snap = s
	return nil
}

func (m *memory) Release(index uint64) error {
	m.entries = slices.DeleteFunc(m.entries, func(e raft.Entry) bool { return e.Index <= index })
	return m.fail
}

func (m *memory) restored() raft.Restored {
	es := slices.DeleteFunc(slices.Clone(m.entries), func(e raft.Entry) bool { return e.Index <= m.snap.Index })
	return raft.Restored{Hard: m.hard, Snapshot: m.snap, Entries: es}
}

type packet struct {
	from, to string
	due      time.Duration
	kind     wire.Kind
	payload  []byte
}

// world is a fleet with one virtual clock and a network that delivers in order.
type world struct {
	t       testing.TB
	now     time.Duration
	wall    time.Time
	rng     *rand.Rand
	disks   map[string]*memory
	nodes   map[string]*Node
	clients map[string]*Client
	boots   uint64
	control []string
	snapN   uint64
	orders  OrderSender
	// spawn runs what may block; nil runs it at once.
	spawn func(func())
	queue []packet
	cut   map[string]bool
	// drop loses matching packets.
	drop func(packet) bool
	// delay is the time that a message to another host takes; nil means none.
	delay func() time.Duration
	// seeds, if set, are the hosts of the settings; the group then repairs itself.
	seeds []string
	// check runs after each delivery and each tick.
	check  func()
	ledger map[string][]span
}

// span is the time in which a host believed that it held a lease.
type span struct {
	host     string
	fence    uint64
	from, to time.Duration
}

func (w *world) Now() time.Duration { return w.now }

type port struct {
	w    *world
	host string
}

func (p port) Send(to string, kind wire.Kind, msg any) error {
	payload, err := wire.Marshal(msg)
	if err != nil {
		return err
	}
	if len(payload) > 1<<20-1024 {
		return fault.New(fault.FrameTooLarge, "", "%d bytes", len(payload))
	}
	due := p.w.now
	if p.w.delay != nil && to != p.host {
		due += p.w.delay()
	}
	p.w.queue = append(p.w.queue, packet{p.host, to, due, kind, payload})
	return nil
}

func quiet() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func newWorld(t testing.TB, seed int64, control ...string) *world {
	w := &world{t: t, rng: rand.New(rand.NewSource(seed)), wall: time.UnixMilli(1_800_000_000_000), control: control,
		disks: map[string]*memory{}, nodes: map[string]*Node{}, clients: map[string]*Client{}, cut: map[string]bool{}, ledger: map[string][]span{}}
	for _, h := range control {
		w.disks[h] = &memory{id: raft.ReplicaID(w.rng.Uint64() | 1)}
		w.startNode(h)
		w.startClient(h)
	}
	return w
}

func (w *world) startNode(h string) {
	w.boots++
	spawn := w.spawn
	if spawn == nil {
		spawn = func(f func()) { f() }
	}
	o := NodeOptions{Host: h, Boot: w.boots, Storage: w.disks[h], Restored: w.disks[h].restored(), Transport: port{w, h},
		Clock: w, Wall: func() time.Time { return w.wall.Add(w.now) }, Rand: rand.New(rand.NewSource(w.rng.Int63())),
		Orders: w.orders, SnapshotEntries: w.snapN, Log: quiet(), spawn: spawn}
	if w.seeds != nil {
		o.Seeds = func() []string { return w.seeds }
		o.Membership = func() (string, bool, bool) {
			if c := w.clients[h]; c != nil {
				return c.Membership()
			}
			return "", false, false
		}
	}
	n, err := NewNode(o)
	if err != nil {
		w.t.Fatal(err)
	}
	w.nodes[h] = n
}

func (w *world) startClient(h string) *Client {
	w.boots++
	hosts := w.control
	if w.seeds != nil {
		hosts = slices.Clone(w.seeds)
		if n := w.nodes[h]; n != nil {
			for _, m := range n.Status().Members {
				hosts = append(hosts, m.Host)
			}
		}
	}
	w.clients[h] = NewClient(ClientOptions{Host: h, Boot: w.boots, ControlHosts: hosts, Transport: port{w, h}, Clock: w, Log: quiet()})
	return w.clients[h]
}

func (w *world) kill(h string) {
	delete(w.nodes, h)
	delete(w.clients, h)
}

// step advances the clock by one tick and delivers everything that was sent.
func (w *world) step() {
	w.now += TickInterval
	for _, h := range w.names() {
		if n := w.nodes[h]; n != nil {
			n.tick()
			w.work(h, n)
		}
		if c := w.clients[h]; c != nil {
			for len(c.inbox) > 0 {
				c.event(<-c.inbox)
			}
			c.tick()
		}
	}
	w.deliver()
	w.observe()
}

func (w *world) names() []string {
	var out []string
	for h := range w.nodes {
		out = append(out, h)
	}
	for h := range w.clients {
		if w.nodes[h] == nil {
			out = append(out, h)
		}
	}
	slices.Sort(out)
	return out
}

func (w *world) work(h string, n *Node) {
	for len(n.inbox) > 0 {
		n.event(<-n.inbox)
	}
	if n.process() != nil {
		delete(w.nodes, h)
	}
}

func (w *world) deliver() {
	var later []packet
	defer func() { w.queue = append(later, w.queue...) }()
	for rounds := 0; len(w.queue) > 0; rounds++ {
		if rounds > 200_000 {
			w.t.Fatal("messages circulate without end")
		}
		p := w.queue[0]
		w.queue = w.queue[1:]
		if p.due > w.now {
			later = append(later, p)
			continue
		}
		if p.from != p.to && (w.cut[p.from] || w.cut[p.to]) || w.drop != nil && w.drop(p) {
			continue
		}
		if n := w.nodes[p.to]; n != nil {
			n.event(event{from: p.from, boot: w.bootOf(p.from), kind: p.kind, payload: p.payload})
			w.work(p.to, n)
		}
		if c := w.clients[p.to]; c != nil {
			c.event(event{from: p.from, kind: p.kind, payload: p.payload})
		}
		w.observe()
	}
}

func (w *world) bootOf(h string) uint64 {
	if c := w.clients[h]; c != nil {
		return c.o.Boot
	}
	return 0
}

// observe records the leases that hosts believe to hold and fails the test when two
// hosts hold one pool at the same time.
func (w *world) observe() {
	for host, c := range w.clients {
		for pool := range c.Config().Pools {
			fence, until, ok := c.HeldUntil(pool)
			if !ok {
				continue
			}
			for other, o := range w.clients {
				if f, _, also := o.HeldUntil(pool); also && other != host {
					w.t.Fatalf("at %v pool %s is held by %s (fence %d) and %s (fence %d)", w.now, pool, host, fence, other, f)
				}
			}
			if spans := w.ledger[pool]; len(spans) > 0 {
				if last := &spans[len(spans)-1]; last.host == host && last.fence == fence {
					last.to = until
					continue
				} else if last.fence >= fence {
					w.t.Fatalf("pool %s passed from fence %d to %d", pool, last.fence, fence)
				}
			}
			w.ledger[pool] = append(w.ledger[pool], span{host, fence, w.now, until})
		}
	}
	if w.check != nil {
		w.check()
	}
}

func (w *world) until(what string, limit time.Duration, cond func() bool) time.Duration {
	w.t.Helper()
	start := w.now
	for !cond() {
		if w.now-start > limit {
			w.t.Fatalf("not within %v: %s", limit, what)
		}
		w.step()
	}
	return w.now - start
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step()
	}
}

func (w *world) leader() string {
	for _, h := range w.names() {
		if n := w.nodes[h]; n != nil && !w.cut[h] && n.leading() {
			return h
		}
	}
	return ""
}

// startForm and the helpers below run blocking calls; the virtual clock advances only
// after the call has reached the queue, so the result does not depend on scheduling.
func (w *world) onNode(h string, f func(n *Node) error) error {
	n := w.nodes[h]
	result := make(chan error, 1)
	go func() { result <- f(n) }()
	select {
	case e := <-n.inbox:
		n.event(e)
	case err := <-result:
		return err
	}
	for range 400 {
		if n.form == nil && n.replace == nil {
			return <-result
		}
		w.work(h, n)
		w.deliver()
		w.step()
	}
	return fault.New(fault.Timeout, "", "no answer in 20 s")
}

func (w *world) form() {
	w.t.Helper()
	err := w.onNode(w.control[0], func(n *Node) error { return n.Form(context.Background(), "init", w.control) })
	if err != nil {
		w.t.Fatal(err)
	}
	w.until("a leader", 5*time.Second, func() bool { return w.leader() != "" })
}

// asked is a call of a client that runs in its own goroutine.
type asked[T any] struct {
	c      *Client
	done   chan T
	cancel context.CancelFunc
}

func ask[T any](c *Client, f func(ctx context.Context) T) asked[T] {
	ctx, cancel := context.WithCancel(context.Background())
	a := asked[T]{c, make(chan T, 1), cancel}
	go func() { a.done <- f(ctx) }()
	c.event(<-c.inbox)
	return a
}

// wait advances the world until the client has no open call, for at most 20 s.
func wait[T any](w *world, a asked[T]) T {
	w.t.Helper()
	for range 400 {
		if len(a.c.calls) == 0 {
			break
		}
		w.deliver()
		if len(a.c.calls) > 0 {
			w.step()
		}
	}
	if len(a.c.calls) > 0 {
		a.cancel()
	}
	return <-a.done
}

type changed struct {
	revision uint64
	err      error
}

func (w *world) ask(h, id string, chs ...config.Change) asked[changed] {
	return ask(w.clients[h], func(ctx context.Context) changed {
		r, err := w.clients[h].Change(ctx, id, "op", chs)
		return changed{r, err}
	})
}

func (w *world) change(h, id string, chs ...config.Change) changed {
	w.t.Helper()
	return wait(w, w.ask(h, id, chs...))
}

// fleet returns the changes for a data centre per host and the given pools.
func fleet(hosts []string, pools int) []config.Change {
	var chs []config.Change
	for i, h := range hosts {
		chs = append(chs, config.Change{DataCentre: &config.DataCentre{Name: "dc-" + h}},
			config.Change{Host: &config.Host{Name: h, DataCentre: "dc-" + h, CallerAddress: fmt.Sprint("127.0.0.1:", 1000+i),
				AdminAddress: fmt.Sprint("127.0.0.1:", 2000+i), PeerAddress: fmt.Sprint("127.0.0.1:", 3000+i)}})
	}
	for i := range pools {
		chs = append(chs, config.Change{Pool: &config.Pool{Name: fmt.Sprint("p", i), Kind: config.KindModel, MaxCost: 9, DefaultCost: 1,
			Profile: config.Profile{ColdConcurrency: 1, MaxConcurrency: 2, WarmAfter: 1}}})
	}
	return chs
}

func centre(name string, rev uint64, out bool) config.Change {
	return config.Change{DataCentre: &config.DataCentre{Name: name, Out: out}, IfRevision: rev}
}
