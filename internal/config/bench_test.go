package config

import (
	"fmt"
	"testing"
)

// BenchmarkApply measures the change of one contract out of 16, 680 and 6,800.
func BenchmarkApply(b *testing.B) {
	for _, accounts := range []int{16, 680, 6800} {
		b.Run(fmt.Sprint("contracts=", accounts), func(b *testing.B) {
			c := baseConfig(b, accounts)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				o := contract(i % accounts)
				next, err := c.Apply(Change{Contract: o, IfRevision: c.Contracts[o.Account].Revision}, c.Revision+1)
				if err != nil {
					b.Fatal(err)
				}
				c = next
			}
		})
	}
}
