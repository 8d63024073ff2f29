package dispatch

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/catalog"
)

// Guards against an old report of a gate that is taken for a new one, and hides what this host has sent since.
func TestRepeatedReportOfAGateIsNotNew(t *testing.T) {
	c := qt.New(t)
	d := &Dispatcher{instances: map[catalog.Key]*instance{}}
	x := newInstance(catalog.Instance{ID: "x"}, at(0))
	d.instances[x.Key()] = x
	report := GateLoad{Backlog: 1_000, PerMs: 40, ReceivedAt: at(0)}
	d.SetGate(x.Key(), report, at(0))
	x.sentSinceReport = 3_000
	d.SetGate(x.Key(), report, at(250))
	c.Assert(d.backlogTokens(x, at(250)), qt.Equals, 4_000)
	d.SetGate(x.Key(), report, at(0).Add(peerMaxAge))
	c.Assert(x.gate.at, qt.Equals, at(0))
	report.ReceivedAt = at(300)
	d.SetGate(x.Key(), report, at(300))
	c.Assert(d.backlogTokens(x, at(300)), qt.Equals, 1_000)
}
