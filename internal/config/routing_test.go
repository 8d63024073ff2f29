package config

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
)

// Guards against an example file that can't be applied, and against credentials in
// answers to operators.
func TestRoutingFile(t *testing.T) {
	c := qt.New(t)
	data, err := os.ReadFile("../../examples/routing.toml")
	c.Assert(err, qt.IsNil)
	changes, err := ParseFile("routing.toml", data)
	c.Assert(err, qt.IsNil)
	cfg, err := New().ApplyAll(changes, 1)
	c.Assert(err, qt.IsNil)
	d := cfg.Routing.Document
	c.Assert(d.Routes, qt.HasLen, 2)
	c.Assert(d.Routes[1].Timeout, qt.Equals, 12*time.Second)
	c.Assert(d.Services[1].Engine.Slots, qt.Equals, 64)
	c.Assert(d.Limits.IdleTimeout, qt.Equals, 15*time.Second)
	redacted, err := json.Marshal(cfg.Redacted())
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Contains(string(redacted), "demo-district"), qt.IsFalse)
	c.Assert(cfg.Routing.Document.Accounts[0].Credentials, qt.HasLen, 1)
}

// Guards against a write to a clone that reaches the routing document of the original.
func TestCloneCopiesRouting(t *testing.T) {
	c := qt.New(t)
	data, err := os.ReadFile("../../examples/routing.toml")
	c.Assert(err, qt.IsNil)
	changes, err := ParseFile("routing.toml", data)
	c.Assert(err, qt.IsNil)
	priority := 2
	changes[0].Routing.Document.Accounts[0].Priority = &priority
	cfg, err := New().ApplyAll(changes, 1)
	c.Assert(err, qt.IsNil)
	routes, source := fmt.Sprintf("%+v", cfg.Routing.Document.Routes), string(cfg.Routing.Source)
	clone := cfg.Clone()
	c.Assert(clone, qt.DeepEquals, cfg)
	r := clone.Routing
	d := &r.Document
	r.Version, r.Source[0], d.Routes[0].Name, d.Routes[0].Split[0].Weight = 99, 'x', "x", 99
	d.Services[1].Engine.Slots, d.Accounts[0].Credentials[0], *d.Accounts[0].Priority = 99, "x", 99
	c.Check(cfg.Routing.Version, qt.Not(qt.Equals), uint64(99))
	c.Check(string(cfg.Routing.Source), qt.Equals, source)
	c.Check(fmt.Sprintf("%+v", cfg.Routing.Document.Routes), qt.Equals, routes)
	c.Check(cfg.Routing.Document.Services[1].Engine.Slots, qt.Equals, 64)
	c.Check(cfg.Routing.Document.Accounts[0].Credentials[0], qt.Not(qt.Equals), "x")
	c.Check(priority, qt.Equals, 2)
	c.Check(New().Clone().Routing, qt.IsNil)
}

// Guards against a file that is accepted although a part of it has no effect.
func TestRoutingFileRefuses(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{
		"[routing]\nversion = 1\nroutes = 3\n",
		"[routing]\nversion = 1\n[routing.limits]\nidle_timeout = 15\n",
		"[routing]\nversion = 1\n[[routing.route]]\nname = \"r\"\nkind = \"idempotent\"\npath_prefix = \"/\"\ntimeout = \"1s\"\nsplit = [{service = \"x\", weight = 1}]\n",
	} {
		_, err := ParseFile("f", []byte(text))
		c.Check(fault.CodeOf(err), qt.Equals, fault.InvalidConfig, qt.Commentf(text))
	}
}
