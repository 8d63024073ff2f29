package state

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/routing"
)

func routingCommand(c *qt.C, id string, version uint64, timeout time.Duration) []byte {
	d := &routing.Document{
		Version:  version,
		Routes:   []routing.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: routing.Idempotent, Timeout: timeout, Split: []routing.WeightedService{{Service: "s", Weight: 1}}}},
		Services: []routing.Service{{Name: "s"}},
	}
	source := fmt.Appendf(nil, "version %d timeout %s", version, timeout)
	cmd := Command{Config: &ConfigChange{RequestID: id, Operator: "op", Changes: []config.Change{{Routing: config.NewRouting(d, source)}}}}
	data, err := cmd.Encode()
	c.Assert(err, qt.IsNil)
	return data
}

// An older document does not replace a newer one, a resend is accepted, and other content
// under a version that is in force is refused.
func TestHighestRoutingVersionWins(t *testing.T) {
	c := qt.New(t)
	s := New("f")
	for i, step := range []struct {
		version uint64
		timeout time.Duration
		code    fault.Code
		want    uint64
	}{
		{7, time.Second, "", 7},
		{5, time.Second, "", 7},
		{7, time.Second, "", 7},
		{7, time.Minute, fault.RevisionConflict, 7},
		{12, 0, fault.InvalidConfig, 7},
		{9, time.Second, "", 9},
	} {
		r := s.Apply(uint64(i+1), routingCommand(c, fmt.Sprint(i), step.version, step.timeout))
		c.Assert(r.Code, qt.Equals, step.code, qt.Commentf("step %d: %s", i, r.Message))
		c.Assert(s.Config().Routing.Version, qt.Equals, step.want)
		c.Assert(s.Config().Routing.Document.Routes[0].Timeout, qt.Equals, time.Second)
	}
}

// A host that applies a delta ends up with the same document as the leader, and the delta
// holds only one document, not every one of the day.
func TestRoutingDeltaHoldsOneDocument(t *testing.T) {
	c := qt.New(t)
	s := New("f")
	for v := range uint64(50) {
		c.Assert(s.Apply(v+1, routingCommand(c, fmt.Sprint(v), v+1, time.Second)).Code, qt.Equals, fault.Code(""))
	}
	// An older document that arrives late changes nothing on any host.
	c.Assert(s.Apply(51, routingCommand(c, "late", 7, time.Second)).Code, qt.Equals, fault.Code(""))
	d, ok := s.Delta(0)
	c.Assert(ok, qt.IsTrue)
	whole := 0
	next := config.New()
	for _, a := range d.Changes {
		if !a.Change.Routing.Superseded {
			whole++
		}
		var err error
		next, err = next.ApplyAll([]config.Change{a.Change}, a.Revision)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(whole, qt.Equals, 1)
	c.Assert(next.Routing.Version, qt.Equals, uint64(50))

	data, err := s.Snapshot()
	c.Assert(err, qt.IsNil)
	restored := New("")
	c.Assert(restored.Restore(data), qt.IsNil)
	c.Assert(restored.Config().Routing, qt.DeepEquals, s.Config().Routing)
}

// A host with an earlier document ends up with the same document by patches as by a whole one, also
// after the leader has dropped the oldest patches.
func TestRoutingPatchesReachTheDocumentInForce(t *testing.T) {
	c := qt.New(t)
	s := New("f")
	configs := []*config.Config{s.Config()}
	d := &routing.Document{Services: []routing.Service{{Name: "s"}}}
	for i := range 100 {
		d.Routes = append(d.Routes, routing.Route{Name: "r", Host: fmt.Sprint("h", i), PathPrefix: "/", Kind: routing.Idempotent, Timeout: time.Second, Split: []routing.WeightedService{{Service: "s", Weight: 1}}})
	}
	for v := range uint64(maxRoutingPatches + 40) {
		d.Version = v + 1
		d.Routes[v%100].Timeout += time.Second
		source, err := json.Marshal(d)
		c.Assert(err, qt.IsNil)
		next := d.Clone()
		cmd, err := Command{Config: &ConfigChange{RequestID: fmt.Sprint(v), Operator: "op", Changes: []config.Change{{Routing: config.NewRouting(&next, source)}}}}.Encode()
		c.Assert(err, qt.IsNil)
		c.Assert(s.Apply(v+1, cmd).Code, qt.Equals, fault.Code(""))
		configs = append(configs, s.Config())
	}
	patched := 0
	for _, earlier := range configs[:len(configs)-1] {
		patches, ok := s.RoutingPatches(earlier.Revision)
		if !ok {
			continue
		}
		patched++
		r := earlier.Routing
		for _, p := range patches {
			var err error
			r, err = p.Apply(r)
			c.Assert(err, qt.IsNil)
		}
		c.Assert(r, qt.DeepEquals, s.Config().Routing)
		delta, ok := s.Delta(earlier.Revision)
		c.Assert(ok, qt.IsTrue)
		for _, change := range WithoutRouting(delta).Changes {
			c.Assert(change.Change.Routing.Superseded, qt.IsTrue)
		}
		last := delta.Changes[len(delta.Changes)-1]
		c.Assert(last.Change.Routing.Superseded, qt.IsFalse)
	}
	c.Assert(patched > 10, qt.IsTrue, qt.Commentf("%d earlier documents", patched))
	_, ok := s.RoutingPatches(0)
	c.Assert(ok, qt.IsFalse)
}
