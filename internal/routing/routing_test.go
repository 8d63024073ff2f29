package routing_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/routing"
)

func document() *routing.Document {
	return &routing.Document{
		Version: 3,
		Routes: []routing.Route{
			{Name: "all", Host: "a.example", PathPrefix: "/", Kind: routing.Idempotent, Timeout: time.Second, Split: []routing.WeightedService{{Service: "x", Weight: 1}}},
			{Name: "deep", Host: "a.example", PathPrefix: "/v1/deep/", Kind: routing.NonIdempotent, Timeout: time.Second, Split: []routing.WeightedService{{Service: "x", Weight: 9}, {Service: "y", Weight: 1}}},
		},
		Services: []routing.Service{{Name: "x"}, {Name: "y"}},
		Accounts: []routing.Account{{Name: "one", Credentials: []string{"k1", "k2"}}, {Name: "two", Credentials: []string{"k3"}}},
	}
}

// Guards against choosing a route with a shorter prefix or of a neighbouring path, and against
// failing to match a host name in different case or with a port.
func TestLongestPrefix(t *testing.T) {
	c := qt.New(t)
	table := routing.NewTable(document())
	for _, tt := range []struct{ host, path, want string }{
		{"a.example", "/v1/deep/er/x", "deep"},
		{"A.Example:8080", "/v1/deep/", "deep"},
		{"a.example", "/v1/deep", "all"},
		{"a.example", "/v1/deeper", "all"},
		{"b.example", "/", ""},
		{"a.example", "no-slash", ""},
	} {
		r := table.Route(tt.host, tt.path)
		got := ""
		if r != nil {
			got = r.Name
		}
		c.Check(got, qt.Equals, tt.want, qt.Commentf("%s%s", tt.host, tt.path))
	}
}

// Guards against accepting a document by which requests can't be routed.
func TestCheckRefuses(t *testing.T) {
	c := qt.New(t)
	c.Assert(document().Check(), qt.IsNil)
	for name, change := range map[string]func(d *routing.Document){
		"unknown service":      func(d *routing.Document) { d.Routes[0].Split[0].Service = "z" },
		"same host and prefix": func(d *routing.Document) { d.Routes[1].PathPrefix = "/"; d.Routes[1].Host = "A.example" },
		"no weight":            func(d *routing.Document) { d.Routes[0].Split[0].Weight = 0 },
		"negative weight":      func(d *routing.Document) { d.Routes[1].Split[1].Weight = -1 },
		"no timeout":           func(d *routing.Document) { d.Routes[0].Timeout = 0 },
		"unknown kind":         func(d *routing.Document) { d.Routes[0].Kind = "both" },
		"prefix":               func(d *routing.Document) { d.Routes[0].PathPrefix = "/v1" },
		"shared credential":    func(d *routing.Document) { d.Accounts[1].Credentials = []string{"k1"} },
		"negative body":        func(d *routing.Document) { d.Limits.BodyBytes = -1 },
		"negative header":      func(d *routing.Document) { d.Limits.HeaderBytes = -1 },
		"negative header time": func(d *routing.Document) { d.Limits.HeaderTimeout = -1 },
		"negative idle time":   func(d *routing.Document) { d.Limits.IdleTimeout = -1 },
		"negative event gap":   func(d *routing.Document) { d.Routes[0].EventGap = -1 },
		"service twice":        func(d *routing.Document) { d.Services[1].Name = "x" },
	} {
		d := document()
		change(d)
		c.Check(fault.CodeOf(d.Check()), qt.Equals, fault.InvalidConfig, qt.Commentf(name))
	}
}

// Guards against a split that sends traffic to a service of weight 0 or skips a service.
func TestPickFollowsWeights(t *testing.T) {
	c := qt.New(t)
	r := document().Routes[1]
	count := map[string]int{}
	for i := range 1000 {
		count[r.Pick(float64(i)/1000)]++
	}
	c.Assert(count, qt.DeepEquals, map[string]int{"x": 900, "y": 100})
}
