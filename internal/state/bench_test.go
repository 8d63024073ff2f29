package state

import (
	"fmt"
	"testing"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/wire"
)

var benchSizes = []int{16, 680, 6800}

func benchContract(i int) *config.Contract {
	return &config.Contract{Account: fmt.Sprintf("account-%05d", i), KeyHashes: []string{fmt.Sprintf("%064x", i)}, Weight: 1,
		RequestsPerSecond: 5, Burst: 5, Concurrency: 2, QueueLength: 8, MaxBodyBytes: 1 << 20,
		MaxRun: time.Minute, MaxWait: time.Second, Pools: []string{"p"}}
}

func benchFixture(b *testing.B, accounts int) *fixture {
	f := newFixture()
	f.setup()
	c := &ConfigChange{RequestID: "contracts", Operator: "op"}
	for i := range accounts {
		c.Changes = append(c.Changes, config.Change{Contract: benchContract(i)})
	}
	if err := f.apply(Command{Config: c}).Err(); err != nil {
		b.Fatal(err)
	}
	return f
}

// BenchmarkApplyChange applies a committed change of one contract.
func BenchmarkApplyChange(b *testing.B) {
	for _, accounts := range benchSizes {
		b.Run(fmt.Sprint("contracts=", accounts), func(b *testing.B) {
			f := benchFixture(b, accounts)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				o := benchContract(i % accounts)
				r := f.apply(Command{Config: &ConfigChange{RequestID: fmt.Sprint(i), Operator: "op", Changes: []config.Change{
					{Contract: o, IfRevision: f.state.Config().Contracts[o.Account].Revision}}}})
				if err := r.Err(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSnapshotSize encodes the state; B is the size of the snapshot and config-B that of
// the configuration which a restarted host receives.
func BenchmarkSnapshotSize(b *testing.B) {
	for _, accounts := range benchSizes {
		b.Run(fmt.Sprint("contracts=", accounts), func(b *testing.B) {
			f := benchFixture(b, accounts)
			var data []byte
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				var err error
				if data, err = f.state.Snapshot(); err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			whole, err := wire.Marshal(f.state.Config())
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), "B")
			b.ReportMetric(float64(len(whole)), "config-B")
		})
	}
}

// BenchmarkRestore decodes a snapshot.
func BenchmarkRestore(b *testing.B) {
	for _, accounts := range benchSizes {
		b.Run(fmt.Sprint("contracts=", accounts), func(b *testing.B) {
			data, err := benchFixture(b, accounts).state.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if err := New("").Restore(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
