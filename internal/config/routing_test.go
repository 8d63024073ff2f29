package config

import (
	"encoding/json"
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
