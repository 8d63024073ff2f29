package sched

import (
	"fmt"
	"testing"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/wire"
)

// backlogged returns a world in which every account has the given number of waiting
// tickets and all slots are taken.
func backlogged(accounts, each, upstreams, slots int) (*world, []Grant) {
	w := newWorld(fixed(slots), 0)
	for i := range upstreams {
		n := fmt.Sprintf("up%02d", i)
		w.cfg.Upstreams[n] = config.Upstream{Name: n, Pool: "m", DataCentre: fmt.Sprint("d", i%2), Address: "127.0.0.1:1"}
	}
	for i := range accounts {
		n := fmt.Sprintf("acc%05d", i)
		w.cfg.Contracts[n] = contract(n, float64(1+i%5))
	}
	w.p.Configure(w.now, w.cfg)
	for i := range accounts {
		for range each {
			w.submit(fmt.Sprintf("acc%05d", i), func(t *wire.Ticket) {
				t.Fingerprint = wire.Digest{1, byte(w.seq), byte(w.seq >> 8), byte(w.seq >> 16), byte(w.seq >> 24)}
				t.Prefix = wire.Digest{2, byte(w.seq % 251)}
			})
		}
	}
	return w, w.drain()
}

// benchmarkGrant measures one submit, one finish and one grant with a backlog at every
// account.
func benchmarkGrant(b *testing.B, accounts, upstreams, slots int) {
	w, running := backlogged(accounts, 8, upstreams, slots)
	t := wire.Ticket{ID: wire.TicketID{Host: "r", Boot: 1, Seq: 1 << 40}, Pool: "m", DataCentre: "d0"}
	f := wire.Finish{Outcome: wire.OutcomeDone, Queued: -1, FirstByte: 5 * time.Millisecond}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		w.now += 100 * time.Microsecond
		g := &running[i%len(running)]
		t.ID.Seq++
		t.Account = g.Account
		t.Fingerprint = wire.Digest{3, byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24)}
		if r := w.p.Submit(w.now, &t); r != nil {
			b.Fatal(r.Code)
		}
		f.ID, f.Cost = g.ID, float64(1+i%50)
		w.p.Finish(w.now, &f)
		next, ok := w.p.Next(w.now)
		if !ok {
			b.Fatal("no grant")
		}
		*g = next
		if _, ok := w.p.Next(w.now); ok {
			b.Fatal("more than one grant for one slot")
		}
	}
}

// BenchmarkGrant varies the number of backlogged accounts.
func BenchmarkGrant(b *testing.B) {
	for _, n := range []int{16, 680, 6800} {
		b.Run(fmt.Sprint("accounts=", n), func(b *testing.B) { benchmarkGrant(b, n, 12, 8) })
	}
}

// Guards against garbage collection work per grant.
func TestNextAllocatesNothing(t *testing.T) {
	w, running := backlogged(680, 64, 12, 8)
	if len(running) != 96 {
		t.Fatalf("%d grants, want 96", len(running))
	}
	i := 0
	allocs := testing.AllocsPerRun(2000, func() {
		w.p.Return(w.now, running[i%len(running)].ID)
		g, ok := w.p.Next(w.now)
		if !ok {
			t.Fatal("no grant")
		}
		running[i%len(running)] = g
		i++
	})
	if allocs != 0 {
		t.Fatalf("%v allocations per return and grant, want 0", allocs)
	}
}
