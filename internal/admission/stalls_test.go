package admission

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
)

// Guards against a gate that stands still because the end of a request was lost, without a line that
// names the host of that request.
func TestGateThatStandsStillIsLogged(t *testing.T) {
	c := qt.New(t)
	n := newNetwork("a", "b")
	log := n.logOf("b")
	x := n.instanceOwnedBy("b")
	n.synchronous = true
	_, err := n.hosts["a"].Admit(context.Background(), request(x, 4_000))
	c.Assert(err, qt.IsNil)
	b := n.hosts["b"]
	b.mu.Lock()
	due := b.opts.Now().Add(time.Minute)
	g := b.gates[x.Key()]
	g.Request(dispatch.AdmissionRequest{ID: dispatch.AdmissionID{Host: "b", Seq: 99}, Tokens: 4_000, FirstEventDue: due, Deadline: due}, b.opts.Now())
	b.mu.Unlock()
	b.Tick(b.opts.Now().Add(time.Second))
	c.Assert(strings.Contains(log.text(), "Gate waits for prompts that its engine should have read."), qt.IsTrue)
	c.Assert(strings.Contains(log.text(), `reading_by_host="a:1"`), qt.IsTrue, qt.Commentf("%s", log.text()))
	b.Tick(b.opts.Now().Add(2 * time.Second))
	c.Assert(strings.Contains(log.text(), "Admitted requests that no host has confirmed were dropped."), qt.IsTrue, qt.Commentf("%s", log.text()))
}

// Guards against a log whose volume grows with the number of gates that stand still.
func TestLinesAboutStalledGatesAreBounded(t *testing.T) {
	n := newNetwork("a")
	log := n.logOf("a")
	stalls := map[catalog.Key]dispatch.Stall{}
	for i := range 100 {
		stalls[catalog.Key{ID: string(rune('a' + i))}] = dispatch.Stall{Overdue: time.Duration(i) * time.Second}
	}
	n.hosts["a"].logStalls(stalls)
	qt.Assert(t, strings.Count(log.text(), "Gate waits"), qt.Equals, maxLoggedStalls)
}
