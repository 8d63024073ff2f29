package daemon

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/sched"
	"marigoldshunt/internal/scheduler"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wire"
)

// schedulers holds one scheduler for each pool of the configuration. All of them follow the
// configuration; only those that hold their pool's lease issue grants.
type schedulers struct {
	d *Daemon

	mu         sync.Mutex
	ctx        context.Context
	group      *errgroup.Group
	byPool     map[string]*scheduler.Scheduler
	heldFences map[string]uint64
	config     *config.Config
	hosts      []wire.HostStatus
}

func newSchedulers(d *Daemon) *schedulers {
	return &schedulers{d: d, byPool: map[string]*scheduler.Scheduler{}, heldFences: map[string]uint64{}, config: config.New()}
}

// run runs the schedulers until ctx ends.
func (p *schedulers) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	p.mu.Lock()
	p.ctx, p.group = ctx, g
	for _, s := range p.byPool {
		g.Go(func() error { return s.Run(ctx) })
	}
	p.mu.Unlock()
	g.Go(func() error { <-ctx.Done(); return nil })
	return g.Wait()
}

func (p *schedulers) configChanged(c *config.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = c
	for name := range c.Pools {
		if p.byPool[name] == nil {
			p.add(name)
		}
	}
	for _, s := range p.byPool {
		s.ConfigChanged(c)
	}
}

// add creates the scheduler of a pool. The caller holds p.mu.
func (p *schedulers) add(name string) {
	s := scheduler.New(scheduler.Options{
		Pool: name, Clock: p.d.clock, Sender: p.d.peers, Lease: p.d.controlClient,
		Load: loadSource{p.d.engine}, CrashStore: p.d.controlClient, Seed: randomSeed(name, p.d.boot),
	})
	p.byPool[name] = s
	s.HostsChanged(p.hosts)
	if p.group != nil && p.ctx.Err() == nil {
		ctx := p.ctx
		p.group.Go(func() error { return s.Run(ctx) })
	}
}

func randomSeed(name string, boot uint64) int64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return int64(h.Sum64() ^ boot)
}

func (p *schedulers) hostsChanged(hosts []wire.HostStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = hosts
	for _, s := range p.byPool {
		s.HostsChanged(hosts)
	}
}

// leasesChanged tells the schedulers of this host which leases they have gained or lost.
func (p *schedulers) leasesChanged(held []wire.Lease) {
	crashMarks := p.d.controlClient.CrashMarks()
	p.mu.Lock()
	defer p.mu.Unlock()
	fences := map[string]uint64{}
	for _, l := range held {
		fences[l.Pool] = l.Fence
	}
	for pool, s := range p.byPool {
		fence, has := fences[pool]
		if old, had := p.heldFences[pool]; had && (!has || old != fence) {
			s.LeaseLost(pool)
		}
		if old, had := p.heldFences[pool]; has && (!had || old != fence) {
			p.restoreCrashMarks(pool, s, crashMarks)
			s.LeaseGained(pool, fence)
		}
	}
	p.heldFences = fences
}

// restoreCrashMarks gives a scheduler that gains its pool's lease the crash marks set by
// earlier holders.
func (p *schedulers) restoreCrashMarks(pool string, s *scheduler.Scheduler, crashMarks []state.CrashMark) {
	for _, m := range crashMarks {
		if m.Pool == pool {
			age := time.Since(time.UnixMilli(m.At))
			s.RestoreMark(m.Fingerprint, m.Upstream, p.d.clock.Now()+sched.CrashMarkDuration-age)
		}
	}
}

func (p *schedulers) handle(from string, boot uint64, kind wire.Kind, payload []byte) {
	p.mu.Lock()
	s := p.byPool[wire.PoolOf(kind, payload)]
	p.mu.Unlock()
	if s != nil {
		s.Handle(from, boot, kind, payload)
	}
}

func (p *schedulers) status() []scheduler.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []scheduler.Status
	for _, s := range p.byPool {
		if st := s.Status(); st.Held {
			out = append(out, st)
		}
	}
	return out
}

// loadSource reads load reports and cache events from upstreams.
type loadSource struct{ client *engine.Client }

// FetchLoad implements scheduler.LoadSource.
func (l loadSource) FetchLoad(ctx context.Context, address string) (scheduler.LoadReport, error) {
	r, err := l.client.FetchLoad(ctx, address)
	return scheduler.LoadReport{Instance: r.Instance, Running: r.Running, Queued: r.Queued}, err
}

// CacheEvents implements scheduler.LoadSource.
func (l loadSource) CacheEvents(ctx context.Context, address string, since uint64) (scheduler.CacheBatch, error) {
	b, err := l.client.CacheEvents(ctx, address, since)
	if err != nil {
		return scheduler.CacheBatch{}, err
	}
	var out scheduler.CacheBatch
	for _, e := range b.Events {
		out.Events = append(out.Events, scheduler.CacheEvent{Seq: e.Seq, Added: decodeDigests(e.Added), Removed: decodeDigests(e.Removed)})
	}
	return out, nil
}
