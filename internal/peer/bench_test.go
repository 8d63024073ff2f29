package peer

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/hlc"
	"marigoldshunt/internal/wire"
)

func (w *net1) bench(b *testing.B, o Options) *Node {
	o.Resolve, o.Clock, o.Key = w.resolve, hlc.New(nil), testKey
	l := logrus.New()
	l.SetOutput(io.Discard)
	o.Log = l
	n := New(o)
	ln, err := net.Listen("tcp", any0)
	if err != nil {
		b.Fatal(err)
	}
	w.mu.Lock()
	w.addresses[o.Host] = ln.Addr().String()
	w.mu.Unlock()
	go n.Serve(ln)
	b.Cleanup(n.Close)
	return n
}

// BenchmarkSend passes messages over one connection. batch is the number of messages
// that are sent before the receiver is waited for.
func BenchmarkSend(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprint("batch=", batch), func(b *testing.B) {
			w := pair()
			x, y := w.bench(b, Options{Host: "host-001", Boot: 1}), w.bench(b, Options{Host: "host-002", Boot: 2})
			got := make(chan struct{}, batch)
			y.Handle(wire.KindTicket, func(string, uint64, wire.Kind, []byte) { got <- struct{}{} })
			msg := wire.Ticket{ID: wire.TicketID{Host: "host-001", Boot: 1 << 60, Seq: 1}, Pool: "model-large-17",
				Account: "account-04711", DataCentre: "north-2", InputCost: 81.25}
			b.ReportAllocs()
			for i := 0; i < b.N; i += batch {
				for range batch {
					if err := x.Send("host-002", wire.KindTicket, msg); err != nil {
						b.Fatal(err)
					}
				}
				for range batch {
					<-got
				}
			}
			b.ReportMetric(float64(x.Bytes()["host-002"].BytesSent)/float64((b.N+batch-1)/batch*batch), "wire-B/msg")
		})
	}
}

// BenchmarkIdle lets sessions with both connections be idle for 3 s and reports the
// keepalive bytes of one of them per second. The figure is one interval in 3 s exact.
func BenchmarkIdle(b *testing.B) {
	for _, peers := range []int{1, 10, 50} {
		b.Run(fmt.Sprint("peers=", peers), func(b *testing.B) {
			w := pair()
			x := w.bench(b, Options{Host: "x", Boot: 1})
			var got atomic.Int64
			count := func(string, uint64, wire.Kind, []byte) { got.Add(1) }
			x.Handle(wire.KindCancel, count)
			for i := range peers {
				y := w.bench(b, Options{Host: fmt.Sprint("y", i), Boot: 2})
				y.Handle(wire.KindCancel, count)
				if y.Send("x", wire.KindCancel, wire.Cancel{}) != nil || x.Send(fmt.Sprint("y", i), wire.KindCancel, wire.Cancel{}) != nil {
					b.Fatal("not sent")
				}
			}
			for got.Load() < int64(2*peers) {
				time.Sleep(time.Millisecond)
			}
			total := func() (sent, received uint64) {
				for _, t := range x.Bytes() {
					sent, received = sent+t.BytesSent, received+t.BytesReceived
				}
				return sent, received
			}
			const idle = 3 * time.Second
			var out, in uint64
			for range b.N {
				s0, r0 := total()
				time.Sleep(idle)
				s1, r1 := total()
				out, in = out+s1-s0, in+r1-r0
			}
			per := float64(b.N) * idle.Seconds() * float64(peers)
			b.ReportMetric(float64(out)/per, "out-B/s/peer")
			b.ReportMetric(float64(in)/per, "in-B/s/peer")
		})
	}
}

// BenchmarkPeerMemory reports heap and stacks of one end of a session with both
// connections, from nodes with 1, 10 and 100 peers in one process.
func BenchmarkPeerMemory(b *testing.B) {
	for _, peers := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("peers=", peers), func(b *testing.B) {
			var per float64
			for range b.N {
				w := pair()
				x := w.bench(b, Options{Host: "x", Boot: 1})
				var got atomic.Int64
				count := func(string, uint64, wire.Kind, []byte) { got.Add(1) }
				x.Handle(wire.KindCancel, count)
				ys := make([]*Node, peers)
				for i := range ys {
					ys[i] = w.bench(b, Options{Host: fmt.Sprint("y", i), Boot: 2})
					ys[i].Handle(wire.KindCancel, count)
				}
				before := memory()
				for i, y := range ys {
					if y.Send("x", wire.KindCancel, wire.Cancel{}) != nil || x.Send(fmt.Sprint("y", i), wire.KindCancel, wire.Cancel{}) != nil {
						b.Fatal("not sent")
					}
					// One after the other: more than maxPending handshakes at once evict each other.
					for got.Load() < int64(2*(i+1)) {
						time.Sleep(time.Millisecond)
					}
				}
				per = (memory() - before) / float64(2*peers)
			}
			b.ReportMetric(per, "B/end")
		})
	}
}

func memory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) + float64(m.StackInuse)
}
