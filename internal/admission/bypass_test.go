package admission

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
)

// Guards against hosts that exceed the rate limit of an upstream together while the owner of
// its gate is silent.
func TestBypassKeepsToTheHostsShareOfTheRateLimit(t *testing.T) {
	c := qt.New(t)
	const perSecond = 30.0
	n := newNetwork("a", "b", "c")
	x := n.instanceOwnedBy("b")
	n.silent["b"] = true
	sent, refused := 0, 0
	begun := time.Now()
	for time.Since(begun) < time.Second {
		r := request(x, 10)
		r.RateLimit = perSecond
		_, err := n.hosts["a"].Admit(context.Background(), r)
		switch {
		case err == nil:
			sent++
		default:
			c.Assert(fault.CodeOf(err), qt.Equals, fault.QueueFull)
			c.Assert(fault.As(err).RunState, qt.Equals, fault.NotRun)
			c.Assert(fault.As(err).RetryAfter > 0, qt.IsTrue)
			refused++
		}
		time.Sleep(time.Millisecond)
	}
	share := perSecond / 3 * time.Since(begun).Seconds()
	c.Check(float64(sent) <= share+1, qt.IsTrue, qt.Commentf("%d sent", sent))
	c.Check(sent > 0 && refused > 0, qt.IsTrue, qt.Commentf("%d sent, %d refused", sent, refused))
}

// Guards against a gate that does not learn the rate limit which a response of its upstream
// named to another host.
func TestOwnerLearnsTheRateLimitOfAResponse(t *testing.T) {
	c := qt.New(t)
	n := newNetwork("a", "b")
	n.synchronous = true
	x := n.instanceOwnedBy("b")
	p, err := n.hosts["a"].Admit(context.Background(), request(x, 10))
	c.Assert(err, qt.IsNil)
	p.RateLimitChanged(2)
	p.Done()
	n.hosts["b"].mu.Lock()
	defer n.hosts["b"].mu.Unlock()
	tokens, _ := n.hosts["b"].gates[x.Key()].Backlog(time.Now())
	c.Assert(tokens > 0, qt.IsTrue)
}
