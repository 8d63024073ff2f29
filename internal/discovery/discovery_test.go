package discovery

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/wire"
)

func newFleet(hostsPerCentre int) (*config.Config, []wire.HostStatus) {
	cfg := config.New()
	var statuses []wire.HostStatus
	for _, dc := range []string{"a", "b", "c"} {
		cfg.DataCentres[dc] = config.DataCentre{Name: dc}
		for i := range hostsPerCentre {
			name := fmt.Sprintf("%s%d", dc, i)
			cfg.Hosts[name] = config.Host{Name: name, DataCentre: dc, CallerAddress: name}
			statuses = append(statuses, wire.HostStatus{Host: name, Alive: true})
		}
	}
	return cfg, statuses
}

// Guards against returning hosts that are out of service, dead or leaving, which would
// send new work to a data centre that was taken out of service.
func TestSelectOmitsHostsNotInService(t *testing.T) {
	c := qt.New(t)
	cfg, statuses := newFleet(2)
	cfg.Policy.KeepFor = 0
	cfg.DataCentres["b"] = config.DataCentre{Name: "b", Out: true}
	h := cfg.Hosts["c0"]
	h.Out = true
	cfg.Hosts["c0"] = h
	statuses[0].Leaving = true
	statuses[5].Alive = false
	a := Select(cfg, append(statuses, wire.HostStatus{Host: "unknown", Alive: true}), Query{Account: "x", DataCentre: "a"})
	c.Assert(a.Addresses, qt.DeepEquals, []HostAddress{{"a1", "a"}})
	c.Assert(a.KeepForMS, qt.Equals, DefaultKeepFor.Milliseconds())
}

// Guards against an answer without an address outside the local data centre, and
// against all callers of an account getting the same first host.
func TestSelectLocalFirstAndSpread(t *testing.T) {
	c := qt.New(t)
	cfg, statuses := newFleet(4)
	firstCount := map[string]int{}
	const callers = 400
	for i := range callers {
		a := Select(cfg, statuses, Query{Account: "x", Caller: fmt.Sprintf("10.0.0.%d", i), DataCentre: "b"})
		c.Assert(a.Addresses, qt.HasLen, MaxAddresses)
		for k, ad := range a.Addresses {
			c.Assert(ad.DataCentre == "b", qt.Equals, k < MaxAddresses-1)
		}
		firstCount[a.Addresses[0].Address]++
	}
	c.Assert(firstCount, qt.HasLen, 4)
	for _, n := range firstCount {
		c.Assert(n > callers/8, qt.IsTrue, qt.Commentf("%v", firstCount))
	}
}
