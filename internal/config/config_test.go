package config

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
)

func hash(n int) string { return fmt.Sprintf("%064x", n) }

func contract(n int) *Contract {
	return &Contract{Account: fmt.Sprintf("account-%d", n), KeyHashes: []string{hash(n)}, Weight: 1,
		RequestsPerSecond: 5, Burst: 5, Concurrency: 2, QueueLength: 8, MaxBodyBytes: 1 << 20,
		MaxRun: time.Minute, MaxWait: time.Second, Pools: []string{"p"}}
}

func pool(name string) *Pool {
	return &Pool{Name: name, Kind: KindModel, Profile: Profile{ColdConcurrency: 1, MaxConcurrency: 4, WarmAfter: 4},
		MaxCost: 1000, DefaultCost: 10}
}

func baseConfig(t testing.TB, accounts int) *Config {
	changes := []Change{{DataCentre: &DataCentre{Name: "dc"}}, {Pool: pool("p")},
		{Upstream: &Upstream{Name: "u", Pool: "p", DataCentre: "dc", Address: "127.0.0.1:1"}},
		{Host: &Host{Name: "h", DataCentre: "dc", CallerAddress: "127.0.0.1:2", AdminAddress: "127.0.0.1:3", PeerAddress: "127.0.0.1:4"}}}
	for i := range accounts {
		changes = append(changes, Change{Contract: contract(i)})
	}
	c, err := New().ApplyAll(changes, 1)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against invalid values that are accepted, and against errors that do not name
// the object and the key.
func TestApplyRefusesBadChanges(t *testing.T) {
	b := baseConfig(t, 2)
	edit := func(f func(*Contract)) Change {
		o := contract(7)
		f(o)
		return Change{Contract: o}
	}
	nan := 0.0
	nan /= nan
	for name, tc := range map[string]struct {
		change Change
		want   string
	}{
		"no object":       {Change{}, "holds 0 objects"},
		"two objects":     {Change{Pool: pool("q"), Contract: contract(7)}, "holds 2 objects"},
		"zero weight":     {edit(func(o *Contract) { o.Weight = 0 }), `contract "account-7": weight`},
		"weight NaN":      {edit(func(o *Contract) { o.Weight = nan }), "weight"},
		"burst":           {edit(func(o *Contract) { o.Burst = 0 }), "burst"},
		"concurrency":     {edit(func(o *Contract) { o.Concurrency = -1 }), "concurrency"},
		"queue":           {edit(func(o *Contract) { o.QueueLength = -1 }), "queue_length"},
		"run":             {edit(func(o *Contract) { o.MaxRun = 0 }), "max_run"},
		"unknown pool":    {edit(func(o *Contract) { o.Pools = []string{"nope"} }), `pool "nope" does not exist`},
		"hash form":       {edit(func(o *Contract) { o.KeyHashes = []string{"abc"} }), "key_hashes"},
		"shared hash":     {edit(func(o *Contract) { o.KeyHashes = []string{hash(1)} }), `already in use by contract "account-1"`},
		"operator hash":   {Change{Operator: &Operator{Name: "o", KeyHashes: []string{hash(1)}}}, `already in use by contract`},
		"name":            {edit(func(o *Contract) { o.Account = "a b" }), "not allowed in a name"},
		"address in use":  {Change{Upstream: &Upstream{Name: "v", Pool: "p", DataCentre: "dc", Address: "127.0.0.1:4"}}, `already in use by host "h"`},
		"address name":    {Change{Upstream: &Upstream{Name: "v", Pool: "p", DataCentre: "dc", Address: "localhost:4"}}, "address"},
		"unknown centre":  {Change{Upstream: &Upstream{Name: "v", Pool: "p", DataCentre: "x", Address: "127.0.0.1:9"}}, `data centre "x"`},
		"pool in use":     {Change{Delete: &ObjectRef{ObjPool, "p"}, IfRevision: 1}, "still used by"},
		"centre in use":   {Change{Delete: &ObjectRef{ObjDataCentre, "dc"}, IfRevision: 1}, "still used by"},
		"profile":         {Change{Pool: &Pool{Name: "q", Kind: KindModel, Profile: Profile{5, 4, 1}, MaxCost: 1, DefaultCost: 1}}, "cold_concurrency"},
		"default cost":    {Change{Pool: &Pool{Name: "q", Kind: KindModel, Profile: Profile{1, 4, 1}, MaxCost: 1, DefaultCost: 2}}, "default_cost"},
		"claim retention": {Change{Policy: &Policy{KeepFor: time.Second, ClaimRetention: time.Second}}, "claim_retention"},
		"delete policy":   {Change{Delete: &ObjectRef{ObjPolicy, ""}}, "cannot be deleted"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, err := b.Apply(tc.change, 2)
			c.Assert(fault.CodeOf(err), qt.Equals, fault.InvalidConfig, qt.Commentf("%v", err))
			c.Assert(err.Error(), qt.Contains, tc.want)
			// A batch that uses the index must give the same answer as the scan.
			changes := []Change{tc.change}
			for i := range indexThreshold {
				changes = append(changes, Change{Pool: pool(fmt.Sprint("extra-", i))})
			}
			_, batchErr := b.ApplyAll(changes, 2)
			c.Assert(batchErr, qt.ErrorMatches, ".*"+regexpQuote(fault.As(err).Message()))
		})
	}
}

func regexpQuote(s string) string {
	return strings.NewReplacer("(", `\(`, ")", `\)`, "[", `\[`, "]", `\]`, "+", `\+`).Replace(s)
}

// Guards against a change that is accepted although its expected revision is outdated, and
// against later writes that reach a configuration which was already returned.
func TestCompareAndSetAndImmutability(t *testing.T) {
	c := qt.New(t)
	b := baseConfig(t, 2)
	before := b.Clone()
	o := contract(0)
	o.Weight = 9
	next, err := b.Apply(Change{Contract: o, IfRevision: 1}, 2)
	c.Assert(err, qt.IsNil)
	o.KeyHashes[0], o.Pools[0] = "x", "y"
	c.Assert(next.Contracts["account-0"].KeyHashes[0], qt.Equals, hash(0))
	c.Assert(b, qt.DeepEquals, before)
	c.Assert(next.Validate(), qt.IsNil)
	c.Assert(next.Contracts["account-0"].Revision, qt.Equals, uint64(2))
	_, err = next.Apply(Change{Contract: contract(0), IfRevision: 1}, 3)
	c.Assert(fault.CodeOf(err), qt.Equals, fault.RevisionConflict)
	c.Assert(fault.As(err).Revision, qt.Equals, uint64(2))
	_, err = next.Apply(Change{Contract: contract(0)}, 3)
	c.Assert(fault.CodeOf(err), qt.Equals, fault.RevisionConflict)
	_, err = next.Apply(Change{Delete: &ObjectRef{ObjContract, "none"}}, 3)
	c.Assert(fault.CodeOf(err), qt.Equals, fault.NotFound)
	afterDelete, err := next.Apply(Change{Delete: &ObjectRef{ObjContract, "account-1"}, IfRevision: 1}, 3)
	c.Assert(err, qt.IsNil)
	c.Assert(afterDelete.Contracts, qt.HasLen, 1)
}

// Guards against files that are accepted with misspelt keys or durations without units.
func TestParseFile(t *testing.T) {
	c := qt.New(t)
	validFile := `
[[contract]]
account = "a"
weight = 2.0
requests_per_second = 5.0
burst = 5
concurrency = 2
queue_length = 8
max_body_bytes = 1024
max_run = "30s"
max_wait = "2s"
pools = ["p"]
if_revision = 4
[[pool]]
name = "p"
kind = "service"
max_cost = 10.0
default_cost = 1.0
profile = {cold_concurrency = 1, max_concurrency = 2, warm_after = 3}
routes = [{method = "POST", path_prefix = "/orders", idempotent = false}]
[policy]
keep_for = "20s"
claim_retention = "12h"
retry_percent = 10.0
`
	changes, err := ParseFile("f.toml", []byte(validFile))
	c.Assert(err, qt.IsNil)
	c.Assert(changes, qt.HasLen, 3)
	c.Assert(changes[0].Pool.Routes, qt.HasLen, 1)
	c.Assert(changes[1].Contract.MaxRun, qt.Equals, 30*time.Second)
	c.Assert(changes[1].IfRevision, qt.Equals, uint64(4))
	for _, tc := range [][3]string{
		{`weight = 2.0`, `wieght = 2.0`, `f.toml: contract.wieght: unknown key`},
		{`max_run = "30s"`, `max_run = 30`, `max_run: 30 is not a duration`},
		{`max_run = "30s"`, `max_run = "soon"`, `max_run`},
		{`weight = 2.0`, `weight = inf`, `weight`},
		{`kind = "service"`, `kind = "other"`, `f.toml: pool "p": kind`},
		{`burst = 5`, `burst = `, `f.toml: line`},
		{`retry_percent = 10.0`, `retry_percent = nan`, `retry_percent`},
	} {
		_, err := ParseFile("f.toml", []byte(strings.Replace(validFile, tc[0], tc[1], 1)))
		c.Assert(fault.CodeOf(err), qt.Equals, fault.InvalidConfig, qt.Commentf(tc[1]))
		c.Assert(err.Error(), qt.Contains, tc[2])
	}
}

func BenchmarkApplyAt6800Contracts(b *testing.B) {
	c := baseConfig(b, 6800)
	o := contract(17)
	for b.Loop() {
		if _, err := c.Apply(Change{Contract: o, IfRevision: 1}, 2); err != nil {
			b.Fatal(err)
		}
	}
}
