package discovery

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/wire"
)

func fleet(perCentre int) (*config.Config, []wire.HostStatus) {
	cfg := config.New()
	var st []wire.HostStatus
	for _, dc := range []string{"a", "b", "c"} {
		cfg.DataCentres[dc] = config.DataCentre{Name: dc}
		for i := range perCentre {
			n := fmt.Sprintf("%s%d", dc, i)
			cfg.Hosts[n] = config.Host{Name: n, DataCentre: dc, CallerAddress: n}
			st = append(st, wire.HostStatus{Host: n, Alive: true})
		}
	}
	return cfg, st
}

// Guards against returning hosts that are out, dead or leaving, which would send new
// work into a data centre that was taken out.
func TestSelectOmitsHostsNotInService(t *testing.T) {
	c := qt.New(t)
	cfg, st := fleet(2)
	cfg.Policy.KeepFor = 0
	cfg.DataCentres["b"] = config.DataCentre{Name: "b", Out: true}
	h := cfg.Hosts["c0"]
	h.Out = true
	cfg.Hosts["c0"] = h
	st[0].Leaving = true
	st[5].Alive = false
	a := Select(cfg, append(st, wire.HostStatus{Host: "unknown", Alive: true}), Query{Account: "x", DataCentre: "a"})
	c.Assert(a.Addresses, qt.DeepEquals, []Address{{"a1", "a"}})
	c.Assert(a.KeepForMS, qt.Equals, DefaultKeepFor.Milliseconds())
}

// Guards against an answer without an address outside the near data centre, and
// against all callers of an account choosing the same host.
func TestSelectNearFirstAndSpread(t *testing.T) {
	c := qt.New(t)
	cfg, st := fleet(4)
	first := map[string]int{}
	const callers = 400
	for i := range callers {
		a := Select(cfg, st, Query{Account: "x", Caller: fmt.Sprintf("10.0.0.%d", i), DataCentre: "b"})
		c.Assert(a.Addresses, qt.HasLen, MaxAddresses)
		for k, ad := range a.Addresses {
			c.Assert(ad.DataCentre == "b", qt.Equals, k < MaxAddresses-1)
		}
		first[a.Addresses[0].Address]++
	}
	c.Assert(first, qt.HasLen, 4)
	for _, n := range first {
		c.Assert(n > callers/8, qt.IsTrue, qt.Commentf("%v", first))
	}
}
