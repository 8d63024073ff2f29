package loads

import (
	"fmt"
	"testing"
	"time"

	"marigoldshunt/internal/wire"
)

// BenchmarkRelay measures one interval of a relay and reports the bytes that it sends.
func BenchmarkRelay(b *testing.B) {
	for _, n := range []int{4, 32, 74} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var hosts []Host
			for d := range 5 {
				for h := range n {
					hosts = append(hosts, Host{fmt.Sprintf("%d-%02d", d, h), fmt.Sprint("dc", d)})
				}
			}
			e := New("0-00", "dc0")
			e.SetHosts(hosts)
			report := func(i int) wire.Loads {
				l := wire.Loads{Rates: map[string]wire.AccountRate{}}
				for k := range 2 {
					l.Gates = append(l.Gates, wire.GateLoad{ID: fmt.Sprint("i-7f3a91c2", i, k), Backlog: 3_000, Running: 20, PerMs: 44})
				}
				for k := range 4 {
					l.Rates[fmt.Sprint("account-", (i*4+k)%680)] = wire.AccountRate{Asked: 1_000, Served: 900}
				}
				return l
			}
			bytes, sends := 0, 0
			for i := 0; b.Loop(); i++ {
				now := start.Add(time.Duration(i) * time.Second)
				for h := 1; h < n; h++ {
					e.HandleReport(hosts[h].Name, report(h), now)
				}
				bytes, sends = 0, 0
				var last int
				for _, s := range e.Tick(report(0), now) {
					// All members get the same message.
					if sends < 6 {
						data, err := wire.Marshal(s.Msg)
						if err != nil {
							b.Fatal(err)
						}
						last = len(data)
					}
					bytes += last
					sends++
				}
			}
			b.ReportMetric(float64(bytes)/float64(sends), "bytes/message")
			b.ReportMetric(float64(sends), "messages")
		})
	}
}
