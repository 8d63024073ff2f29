package daemon

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against two formations by different seeds that share one request id because long
// lists of seeds are cut to the same bytes.
func TestSeedRequestIDsDifferBeyond64Bytes(t *testing.T) {
	c := qt.New(t)
	var seeds []string
	for i := range 7 {
		seeds = append(seeds, fmt.Sprintf("127.100.100.10%d", i))
	}
	others := slices.Clone(seeds)
	others[6] = "127.100.100.107"
	c.Assert(seedRequestID(seeds), qt.Equals, seedRequestID(slices.Clone(seeds)))
	c.Assert(seedRequestID(seeds), qt.Not(qt.Equals), seedRequestID(others))
	c.Assert(len(seedRequestID(seeds)) <= maxRequestIDBytes, qt.IsTrue)
	c.Assert(seedRequestID([]string{"127.0.0.1"}), qt.Equals, "seeds 127.0.0.1")
}
