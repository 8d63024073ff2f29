package loads

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"marigoldshunt/internal/wire"
)

// BenchmarkRelay measures one interval of a relay, the reports of its hosts included, and
// reports the bytes that it sends.
func BenchmarkRelay(b *testing.B) {
	for _, n := range []int{4, 32, 74} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(5, n)
			relay, rng := f.byName["0-00"], rand.New(rand.NewSource(1))
			bytes, messages, intervals := 0, 0, 0
			for b.Loop() {
				b.StopTimer()
				intervals++
				now := start.Add(time.Duration(intervals) * time.Second)
				reports := make([][]Outgoing, n)
				for h := 1; h < n; h++ {
					reports[h] = f.byName[f.hosts[h].Name].Tick(noisyLoads(rng, h), now)
				}
				for d := 1; d < 5; d++ {
					other := f.hosts[d*n]
					f.deliver(other.Name, f.byName[other.Name].Tick(noisyLoads(rng, d*n), now), now)
				}
				own := noisyLoads(rng, 0)
				b.StartTimer()
				for h := 1; h < n; h++ {
					f.deliver(f.hosts[h].Name, reports[h], now)
				}
				out := relay.Tick(own, now)
				b.StopTimer()
				f.deliver("0-00", out, now)
				for _, m := range out {
					data, err := wire.Marshal(m.Msg)
					if err != nil {
						b.Fatal(err)
					}
					bytes += len(data)
					messages++
				}
				b.StartTimer()
			}
			b.ReportMetric(float64(bytes)/float64(intervals), "bytes/interval")
			b.ReportMetric(float64(messages)/float64(intervals), "messages")
		})
	}
}
