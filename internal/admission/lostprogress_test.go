package admission

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/catalog"
)

// Guards against requests that ended while another host owned their gate, and still hold it when it returns.
func TestGateThatReturnsForgetsRequestsThatEndedMeanwhile(t *testing.T) {
	c := qt.New(t)
	n := newNetwork("a", "b", "c")
	n.synchronous = true
	x := n.instanceThatMoves("b", "c")
	for _, h := range n.hosts {
		h.SetHosts([]string{"a", "b"})
	}
	permit, err := n.hosts["a"].Admit(context.Background(), request(x, 4_000))
	c.Assert(err, qt.IsNil)
	n.setHosts("a", "b", "c")
	permit.Done()
	n.setHosts("a", "b")
	b := n.hosts["b"]
	b.Tick(b.opts.Now())
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.gates[x.Key()]
	if g == nil {
		return
	}
	_, running := g.Backlog(time.Now())
	c.Assert(running, qt.Equals, 0)
}

func (n *network) setHosts(names ...string) {
	for _, h := range n.hosts {
		h.SetHosts(names)
	}
}

// instanceThatMoves returns an instance whose gate belongs to the second host, and to the first one without it.
func (n *network) instanceThatMoves(without, with string) catalog.Instance {
	for i := 0; ; i++ {
		x := catalog.Instance{ID: string(rune('A' + i)), Service: "s"}
		n.setHosts("a", "b", "c")
		owner := n.hosts["a"].owner(x)
		n.setHosts("a", "b")
		if owner == with && n.hosts["a"].owner(x) == without {
			return x
		}
	}
}
