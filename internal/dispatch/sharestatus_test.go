package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a status that hides what a starved account's rank was decided by.
func TestShareStatusTellsWhatDecidesRanks(t *testing.T) {
	c := qt.New(t)
	d := New(Options{Host: "a"})
	d.SetServices(nil, 1_000)
	now := at(0)
	d.SetPeerRates("b", AccountRates{"flood": {Demanded: 3_000, Served: 400}}, now)
	d.RecordDemand(&Job{Account: "flood", InputTokens: 4_000}, now)
	d.RecordDemand(&Job{Account: "quiet", InputTokens: 400}, now)
	d.RecordRefusal(&Job{Account: "quiet", InputTokens: 400}, now)

	own, fleet := d.AccountShare("flood", now)
	c.Check(own, qt.Equals, AccountRate{2_000, 2_000})
	c.Check(fleet, qt.Equals, AccountRate{5_000, 2_400})
	s := d.Shares(now.Add(levelInterval))
	c.Check(s.ConfiguredCapacity, qt.Equals, 1_000.0)
	c.Check(s.ConfiguredLevel > 750 && s.ConfiguredLevel < 1_000, qt.IsTrue, qt.Commentf("%v", s.ConfiguredLevel))
	c.Check(s.CurrentLevel > s.ConfiguredLevel, qt.IsTrue)
	c.Check(s.Own.Demanded > 2_000 && s.Own.Demanded < 2_200, qt.IsTrue, qt.Commentf("%v", s.Own))
	c.Check(s.Fleet.Served-s.Own.Served, qt.Equals, 400.0)
}

// Guards against rates of a host that has died which stay in the sums.
func TestShareStatusForgetsOldPeers(t *testing.T) {
	c := qt.New(t)
	d := New(Options{Host: "a"})
	d.SetPeerRates("b", AccountRates{"x": {Demanded: 3_000, Served: 400}}, at(0))
	c.Check(d.Shares(at(0).Add(peerMaxAge-time.Millisecond)).Fleet.Demanded, qt.Equals, 3_000.0)
	c.Check(d.Shares(at(0).Add(peerMaxAge)).Fleet.Demanded, qt.Equals, 0.0)
}
