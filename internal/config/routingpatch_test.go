package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/routing"
)

func patchDocument(routes int) routing.Document {
	d := routing.Document{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 4}}}}
	for i := range routes {
		d.Routes = append(d.Routes, routing.Route{Name: fmt.Sprint("r", i), Host: "h", PathPrefix: fmt.Sprintf("/%d/", i), Kind: routing.Idempotent,
			Timeout: time.Second, Split: []routing.WeightedService{{Service: "s", Weight: 1}}})
		if i%5 == 0 {
			d.Accounts = append(d.Accounts, routing.Account{Name: fmt.Sprint("a", i), Credentials: []string{fmt.Sprint("k", i)}})
		}
	}
	return d
}

func patchRouting(c *qt.C, version uint64, d routing.Document) *Routing {
	d.Version = version
	source, err := json.Marshal(d)
	c.Assert(err, qt.IsNil)
	r := NewRouting(&d, source)
	r.Revision = version * 3
	return r
}

// changedDocument returns a copy of a document with a few random changes.
func changedDocument(rng *rand.Rand, d routing.Document) routing.Document {
	n := d.Clone()
	for range 1 + rng.Intn(4) {
		switch at := rng.Intn(len(n.Routes) + 1); rng.Intn(7) {
		case 0:
			n.Routes = append(n.Routes[:at:at], append(patchDocument(rng.Intn(3)).Routes, n.Routes[at:]...)...)
		case 1:
			n.Routes = append(n.Routes[:at:at], n.Routes[min(at+2, len(n.Routes)):]...)
		case 2:
			n.Routes = append(n.Routes[at:len(n.Routes):len(n.Routes)], n.Routes[:at]...)
		case 3:
			if at < len(n.Routes) {
				n.Routes[at].Timeout += time.Second
			}
		case 4:
			if at < len(n.Routes) {
				n.Routes[at].Split[0].Weight++
			}
		case 5:
			if len(n.Accounts) > 0 {
				n.Accounts[0].Credentials = append(n.Accounts[0].Credentials, fmt.Sprint("k", rng.Int()))
			}
		case 6:
			n.Limits.BodyBytes++
		}
	}
	return n
}

func TestRoutingPatchGivesTheLaterDocument(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewSource(1))
	for range 500 {
		from := patchRouting(c, 4, patchDocument(rng.Intn(12)))
		to := patchRouting(c, 9, changedDocument(rng, from.Document))
		got, err := NewRoutingPatch(from, to).Apply(from)
		c.Assert(err, qt.IsNil)
		c.Assert(bytes.Equal(got.Source, to.Source), qt.IsTrue)
		got.Source, to.Source = nil, nil
		if len(to.Document.Routes) == 0 {
			got.Document.Routes, to.Document.Routes = nil, nil
		}
		if len(to.Document.Accounts) == 0 {
			got.Document.Accounts, to.Document.Accounts = nil, nil
		}
		c.Assert(got, qt.DeepEquals, to)
	}
}

func TestRoutingPatchHoldsOnlyWhatDiffers(t *testing.T) {
	c := qt.New(t)
	from := patchRouting(c, 4, patchDocument(4_500))
	d := from.Document.Clone()
	d.Routes[2_000].Timeout = time.Minute
	p := NewRoutingPatch(from, patchRouting(c, 5, d))
	inserted := 0
	for _, e := range p.Routes {
		inserted += len(e.Insert)
	}
	c.Check(inserted, qt.Equals, 1)
	inserted = 0
	for _, e := range p.Source {
		inserted += len(e.Insert)
	}
	c.Check(inserted < 2_000, qt.IsTrue, qt.Commentf("%d bytes of the source", inserted))
}

func TestRoutingPatchIsRefusedByAnotherDocument(t *testing.T) {
	c := qt.New(t)
	from, to := patchRouting(c, 4, patchDocument(3)), patchRouting(c, 5, patchDocument(4))
	other := patchRouting(c, 4, patchDocument(2))
	for _, r := range []*Routing{nil, other, to} {
		_, err := NewRoutingPatch(from, to).Apply(r)
		c.Check(fault.CodeOf(err), qt.Equals, fault.InvalidConfig)
	}
	for _, spoil := range []func(p *RoutingPatch){
		func(p *RoutingPatch) { p.Source[0].Count-- },
		func(p *RoutingPatch) { p.Source[0].From = -1 },
		func(p *RoutingPatch) { p.Routes[0].Count = 1 << 40 },
		func(p *RoutingPatch) { p.Routes[0].From = 1 << 62 },
		func(p *RoutingPatch) { p.Accounts = []Edit[routing.Account]{{From: 1, Count: 1}} },
	} {
		p := NewRoutingPatch(from, to)
		spoil(p)
		_, err := p.Apply(from)
		c.Check(fault.CodeOf(err), qt.Equals, fault.InvalidConfig)
	}
}

func BenchmarkRoutingPatch(b *testing.B) {
	c := qt.New(b)
	from := patchRouting(c, 4, patchDocument(4_500))
	d := from.Document.Clone()
	d.Routes[2_000].Timeout = time.Minute
	to := patchRouting(c, 5, d)
	b.Run("new", func(b *testing.B) {
		for range b.N {
			NewRoutingPatch(from, to)
		}
	})
	p := NewRoutingPatch(from, to)
	b.Run("apply", func(b *testing.B) {
		for range b.N {
			if _, err := p.Apply(from); err != nil {
				b.Fatal(err)
			}
		}
	})
}
