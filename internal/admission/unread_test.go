package admission

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a gate that opens while its engine reads a long prompt, because the host confirms it too seldom.
func TestLongPromptHoldsItsGateWhileItsHostConfirmsIt(t *testing.T) {
	c := qt.New(t)
	n := newNetwork("a", "b")
	n.synchronous = true
	now := time.Now()
	for _, h := range n.hosts {
		h.opts.Now = func() time.Time { return now }
	}
	a, b := n.hosts["a"], n.hosts["b"]
	x := n.instanceOwnedBy("b")
	_, err := a.Admit(context.Background(), request(x, 50_000))
	c.Assert(err, qt.IsNil)
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		a.Tick(now)
		b.Tick(now)
	}
	_, running := b.gates[x.Key()].Backlog(now)
	c.Assert(running, qt.Equals, 1)
}
