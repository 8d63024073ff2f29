package bench

import (
	"fmt"
	"math"
	"runtime"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/sched"
	"marigoldshunt/internal/wire"
)

const (
	decisionUpstreams = 12
	decisionSlots     = 8
	decisionGrants    = 40000
)

// decisionCost is the mean cost of one grant.
type decisionCost struct {
	// grantTime is the time of the decision alone, cycleTime that of submit, decision and
	// finish.
	grantTime, cycleTime time.Duration
	// allocations is the number of heap allocations of the decision.
	allocations float64
}

// decisionRows measures part 9, the cost of a scheduling decision.
func decisionRows() []Row {
	var rows []Row
	first := decisionCost{}
	for _, n := range []int{16, 680, 6800} {
		c := measureDecision(n)
		if n == 16 {
			first = c
		}
		add := func(r Row) { r.Profile, r.Part = "all", partDecision; rows = append(rows, r) }
		row := Row{Measure: fmt.Sprintf("decision per grant, %d accounts", n), Value: float64(c.grantTime.Nanoseconds()), Unit: "ns",
			Note: fmt.Sprintf("submit, decision and finish together %d ns", c.cycleTime.Nanoseconds())}
		if n > 16 {
			growth := math.Log(float64(n)) / math.Log(16)
			row = row.atMost(math.Round(growth * float64(first.grantTime.Nanoseconds())))
			row.Note += "; target: growth by log n from 16 accounts"
		}
		add(row)
		add(Row{Measure: fmt.Sprintf("allocations per grant, %d accounts", n), Value: c.allocations, Unit: "allocations"}.atMost(0))
	}
	return rows
}

// measureDecision keeps n accounts backlogged, and alternately fills and frees all slots of
// a pool.
func measureDecision(n int) decisionCost {
	cfg := config.New()
	cfg.DataCentres["d"] = config.DataCentre{Name: "d"}
	cfg.Pools["m"] = config.Pool{Name: "m", Kind: config.KindModel, MaxCost: 4096, DefaultCost: 256,
		Profile: config.Profile{ColdConcurrency: decisionSlots, MaxConcurrency: decisionSlots, WarmAfter: 1}}
	for i := range decisionUpstreams {
		name := fmt.Sprintf("u%02d", i)
		cfg.Upstreams[name] = config.Upstream{Name: name, Pool: "m", DataCentre: "d", Address: "127.0.0.1:1"}
	}
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("account-%d", i)
		cfg.Contracts[names[i]] = config.Contract{Account: names[i], Weight: float64(1 + i%4), RequestsPerSecond: 1e9, Burst: 1 << 30,
			Concurrency: 1 << 20, QueueLength: 1 << 20, MaxRun: time.Hour, MaxWait: time.Hour, Pools: []string{"m"}}
	}
	b := &decisionBench{pool: sched.New(sched.Options{Pool: cfg.Pools["m"], Policy: cfg.Policy, Seed: 1})}
	b.pool.Configure(0, cfg)
	for range 2 + decisionUpstreams*decisionSlots/n {
		for _, a := range names {
			b.submit(a)
		}
	}
	b.measure(decisionGrants / 4)
	return b.measure(decisionGrants)
}

type decisionBench struct {
	pool *sched.Pool
	now  time.Duration
	seq  uint64
}

func (b *decisionBench) submit(account string) {
	b.seq++
	id := b.seq
	// Every request has its own fingerprint, like requests of real callers.
	var fp wire.Digest
	for i := range 8 {
		fp[i] = byte(id >> (8 * i))
	}
	b.pool.Submit(b.now, &wire.Ticket{ID: wire.TicketID{Host: "r", Boot: 1, Seq: id}, Pool: "m", Account: account,
		DataCentre: "d", InputCost: 10, Fingerprint: fp})
}

// measure makes at least the given number of grants and returns the mean cost of one.
func (b *decisionBench) measure(grants int) decisionCost {
	var c decisionCost
	var before, after runtime.MemStats
	batch := make([]sched.Grant, 0, decisionUpstreams*decisionSlots)
	total, allocations := 0, uint64(0)
	var memStatsTime time.Duration
	begin := time.Now()
	for total < grants {
		b.now += time.Millisecond
		batch = batch[:0]
		statsBegin := time.Now()
		runtime.ReadMemStats(&before)
		grantsBegin := time.Now()
		memStatsTime += grantsBegin.Sub(statsBegin)
		for g, ok := b.pool.Next(b.now); ok; g, ok = b.pool.Next(b.now) {
			batch = append(batch, g)
		}
		grantsEnd := time.Now()
		c.grantTime += grantsEnd.Sub(grantsBegin)
		runtime.ReadMemStats(&after)
		memStatsTime += time.Since(grantsEnd)
		allocations += after.Mallocs - before.Mallocs
		total += len(batch)
		for i, g := range batch {
			cost := 10 + float64(i%7)*20
			b.pool.Finish(b.now, &wire.Finish{ID: g.ID, Pool: "m", Upstream: g.Upstream, Outcome: wire.OutcomeDone, Cost: cost, Queued: -1})
			b.submit(g.Account)
		}
	}
	n := time.Duration(total)
	c.cycleTime = (time.Since(begin) - memStatsTime) / n
	c.grantTime /= n
	c.allocations = float64(allocations) / float64(total)
	return c
}
