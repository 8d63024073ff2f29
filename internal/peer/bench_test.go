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

func (network *testNetwork) startBench(b *testing.B, opts Options) *Node {
	opts.Resolve, opts.Clock, opts.Key = network.resolve, hlc.New(nil), testKey
	l := logrus.New()
	l.SetOutput(io.Discard)
	opts.Log = l
	n := New(opts)
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		b.Fatal(err)
	}
	network.mu.Lock()
	network.addresses[opts.Host] = ln.Addr().String()
	network.mu.Unlock()
	go n.Serve(ln)
	b.Cleanup(n.Close)
	return n
}

// BenchmarkSend sends messages over one connection. batch is the number of messages that
// are sent before it waits until the receiver has them.
func BenchmarkSend(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprint("batch=", batch), func(b *testing.B) {
			network := newTestNetwork()
			x, y := network.startBench(b, Options{Host: "host-001", Boot: 1}), network.startBench(b, Options{Host: "host-002", Boot: 2})
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
			b.ReportMetric(float64(x.Traffic()["host-002"].BytesSent)/float64((b.N+batch-1)/batch*batch), "wire-B/msg")
		})
	}
}

// BenchmarkIdle keeps sessions with both connections idle for 3 s and reports the
// keepalive bytes of one session per second. The result is exact to one keepalive interval
// in 3 s.
func BenchmarkIdle(b *testing.B) {
	for _, peers := range []int{1, 10, 50} {
		b.Run(fmt.Sprint("peers=", peers), func(b *testing.B) {
			network := newTestNetwork()
			x := network.startBench(b, Options{Host: "x", Boot: 1})
			var got atomic.Int64
			count := func(string, uint64, wire.Kind, []byte) { got.Add(1) }
			x.Handle(wire.KindCancel, count)
			for i := range peers {
				y := network.startBench(b, Options{Host: fmt.Sprint("y", i), Boot: 2})
				y.Handle(wire.KindCancel, count)
				if y.Send("x", wire.KindCancel, wire.Cancel{}) != nil || x.Send(fmt.Sprint("y", i), wire.KindCancel, wire.Cancel{}) != nil {
					b.Fatal("not sent")
				}
			}
			for got.Load() < int64(2*peers) {
				time.Sleep(time.Millisecond)
			}
			total := func() (sent, received uint64) {
				for _, t := range x.Traffic() {
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
			peerSeconds := float64(b.N) * idle.Seconds() * float64(peers)
			b.ReportMetric(float64(out)/peerSeconds, "out-B/s/peer")
			b.ReportMetric(float64(in)/peerSeconds, "in-B/s/peer")
		})
	}
}

// BenchmarkPeerMemory reports the heap and stack bytes of one end of a session with both
// connections, for nodes with 1, 10 and 100 peers in one process.
func BenchmarkPeerMemory(b *testing.B) {
	for _, peers := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("peers=", peers), func(b *testing.B) {
			var bytesPerEnd float64
			for range b.N {
				network := newTestNetwork()
				x := network.startBench(b, Options{Host: "x", Boot: 1})
				var got atomic.Int64
				count := func(string, uint64, wire.Kind, []byte) { got.Add(1) }
				x.Handle(wire.KindCancel, count)
				ys := make([]*Node, peers)
				for i := range ys {
					ys[i] = network.startBench(b, Options{Host: fmt.Sprint("y", i), Boot: 2})
					ys[i].Handle(wire.KindCancel, count)
				}
				before := memoryInUse()
				for i, y := range ys {
					if y.Send("x", wire.KindCancel, wire.Cancel{}) != nil || x.Send(fmt.Sprint("y", i), wire.KindCancel, wire.Cancel{}) != nil {
						b.Fatal("not sent")
					}
					// One peer at a time: with more than maxPendingHandshakes at once the oldest
					// connections are closed.
					for got.Load() < int64(2*(i+1)) {
						time.Sleep(time.Millisecond)
					}
				}
				bytesPerEnd = (memoryInUse() - before) / float64(2*peers)
			}
			b.ReportMetric(bytesPerEnd, "B/end")
		})
	}
}

func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) + float64(m.StackInuse)
}
