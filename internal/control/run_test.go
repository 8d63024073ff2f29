package control

import (
	"context"
	"fmt"
	"math/rand"
	"path/filepath"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wal"
	"marigoldshunt/internal/wire"
)

// localNetwork connects the hosts of one process.
type localNetwork map[string]*Loopback

type localTransport struct {
	network localNetwork
	host    string
}

func (p localTransport) Send(to string, kind wire.Kind, msg any) error {
	l, ok := p.network[to]
	if !ok {
		return fault.New(fault.PeerUnreachable, "", "host %q is not known", to)
	}
	payload, err := wire.Marshal(msg)
	if err != nil {
		return err
	}
	l.deliver(p.host, p.network[p.host].Boot, kind, payload)
	return nil
}

type realClock struct{ start time.Time }

func (c realClock) Now() time.Duration { return time.Since(c.start) }

// controlGroup runs three control hosts with logs on disk.
type controlGroup struct {
	nodes   []*Node
	clients []*Client
	stop    func()
}

func startGroup(t testing.TB, dir string, boot uint64) *controlGroup {
	g, network := &controlGroup{}, localNetwork{}
	hosts := []string{"h1", "h2", "h3"}
	for i, host := range hosts {
		network[host] = &Loopback{Host: host, Boot: boot + uint64(i), Next: localTransport{network, host}}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running errgroup.Group
	var closers []func()
	for i, host := range hosts {
		log, restored, err := wal.Open(filepath.Join(dir, host), wal.Options{})
		if err != nil {
			t.Fatal(err)
		}
		nodeTicks, clientTicks := time.NewTicker(TickInterval), time.NewTicker(TickInterval)
		closers = append(closers, func() { nodeTicks.Stop(); clientTicks.Stop(); _ = log.Close() })
		l, clock := network[host], realClock{time.Now()}
		n, err := NewNode(NodeOptions{Host: host, Boot: l.Boot, Storage: log, Restored: restored, Transport: l, Clock: clock,
			Ticks: nodeTicks.C, Rand: rand.New(rand.NewSource(int64(i))), Log: discardLogger()})
		if err != nil {
			t.Fatal(err)
		}
		c := NewClient(ClientOptions{Host: host, Boot: l.Boot, ControlHosts: hosts, Transport: l, Clock: clock, Ticks: clientTicks.C, Log: discardLogger()})
		for _, k := range NodeKinds {
			l.Handle(k, n.Handle)
		}
		for _, k := range ClientKinds {
			l.Handle(k, c.Handle)
		}
		g.nodes, g.clients = append(g.nodes, n), append(g.clients, c)
	}
	for i := range hosts {
		running.Go(func() error { return g.nodes[i].Run(ctx) })
		running.Go(func() error { return g.clients[i].Run(ctx) })
	}
	g.stop = func() {
		cancel()
		if err := running.Wait(); err != nil {
			t.Error(err)
		}
		for _, f := range closers {
			f()
		}
	}
	return g
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

// Runs clients, nodes and logs on disk together. Only then can data races, blocked
// goroutines, and a log on disk that does not restore the state appear.
func TestRunWithLogOnDisk(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	g := startGroup(t, dir, 100)
	c.Assert(g.nodes[0].Form(testContext(t), "init", []string{"h1", "h2", "h3"}), qt.IsNil)
	_, err := g.clients[0].Change(testContext(t), "fleet", "op", fleetChanges([]string{"h1", "h2", "h3"}, 2))
	c.Assert(err, qt.IsNil)
	for i := uint64(1); i <= 50; i++ {
		rev, err := g.clients[i%3].Change(testContext(t), fmt.Sprint("c", i), "op", []config.Change{dataCentreChange("dc-h1", i, i%2 == 1)})
		c.Assert(err, qt.IsNil)
		c.Assert(rev, qt.Equals, i+1)
	}
	g.stop()
	c.Assert(g.nodes[0].Status().Role, qt.Equals, "stopped")
	c.Assert(fault.CodeOf(g.nodes[0].Form(t.Context(), "x", []string{"h1"})), qt.Equals, fault.HostLeaving)

	g = startGroup(t, dir, 200)
	defer g.stop()
	told := make(chan uint64, 100)
	rev, err := g.clients[1].Change(testContext(t), "c50", "op", []config.Change{dataCentreChange("dc-h1", 50, false)})
	c.Assert(err, qt.IsNil)
	c.Assert(rev, qt.Equals, uint64(51))
	g.clients[2].OnConfig(func(*config.Config) { told <- 0 })
	_, err = g.clients[1].Change(testContext(t), "last", "op", []config.Change{dataCentreChange("dc-h2", 1, true)})
	c.Assert(err, qt.IsNil)
	<-told
}

// BenchmarkClaims measures claims of 64 concurrent requests per host through clients, nodes
// and logs on disk, and the syncs of all three logs per claim.
func BenchmarkClaims(b *testing.B) {
	g := startGroup(b, b.TempDir(), 300)
	defer g.stop()
	ctx := context.Background()
	if err := g.nodes[0].Form(ctx, "init", []string{"h1", "h2", "h3"}); err != nil {
		b.Fatal(err)
	}
	if _, err := g.clients[0].Change(ctx, "fleet", "op", fleetChanges([]string{"h1"}, 1)); err != nil {
		b.Fatal(err)
	}
	syncs := func() (total uint64) {
		time.Sleep(2 * TickInterval) // Status is updated once per tick.
		for _, n := range g.nodes {
			total += n.Status().Syncs
		}
		return total
	}
	before, next := syncs(), make(chan int)
	var wg sync.WaitGroup
	for _, c := range g.clients {
		for range 64 {
			wg.Go(func() {
				for i := range next {
					now := time.Now().UnixMilli()
					key := fmt.Sprintf("%08x-%04x-7000-8000-%012x", now>>16, now&0xffff, i)
					if _, err := c.Claim(ctx, state.ClaimRequest{Account: fmt.Sprint("a", i%100), Key: key, Attempt: key}); err != nil {
						b.Error(err)
					}
				}
			})
		}
	}
	b.ResetTimer()
	for i := range b.N {
		next <- i
	}
	close(next)
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(syncs()-before)/float64(b.N), "syncs/claim")
}
