package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a host that ends by memory because callers name ever new parts of prompts
// that have no tokens.
func TestCachedPartsAreBoundedInNumber(t *testing.T) {
	const most = 4_096
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := newPartCache(100_000)
	shared := Part{ID: 1, Tokens: 1_000}
	for id := uint64(2); id < 20_000; id += 20 {
		parts := []Part{shared}
		for i := range uint64(20) {
			parts = append(parts, Part{ID: id + i})
		}
		c.markUsed(append(parts, Part{Tokens: 10}), now)
		now = now.Add(time.Millisecond)
	}
	qt.Check(t, len(c.parts) <= most, qt.IsTrue, qt.Commentf("%d parts", len(c.parts)))
	qt.Check(t, c.uncachedTokens([]Part{shared, {Tokens: 10}}, now), qt.Equals, 10)
}
