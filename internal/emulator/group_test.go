package emulator

import (
	"context"
	"io"
	"math/rand"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

func startGroup(c *qt.C, opts Options, instances string) *Group {
	opts.Log = logrus.New()
	opts.Log.SetOutput(io.Discard)
	g := NewGroup(opts, "127.0.0.1")
	c.Cleanup(g.Close)
	c.Assert(g.startAll(instances), qt.IsNil)
	return g
}

// Guards against a list that gives one id to instances of two services or at two addresses.
func TestListNamesEachInstanceOnce(t *testing.T) {
	c := qt.New(t)
	var l List
	one := New(Options{Name: "one", Service: "notes"})
	c.Assert(l.Add(one, "a:1"), qt.IsNil)
	c.Assert(l.Add(one, "a:2"), qt.ErrorMatches, `.*upstream "one" of service "notes" is listed at a:1`)
	c.Assert(l.Add(New(Options{Name: "one", Service: "drafts"}), "a:2"), qt.IsNotNil)
	c.Assert(l.Add(New(Options{Name: "two", Service: "drafts"}), "a:1"), qt.IsNotNil)
	c.Assert(l.Entries().Instances, qt.HasLen, 1)
}

// Guards against a list that shows an instance that has gone, hides one that leaves, or mixes versions up.
func TestGroupListsInstancesThatComeLeaveAndCrash(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, Options{Name: "up", Service: "notes"}, "v1=2,v2=1")
	versions := func() (list []string) {
		for _, e := range g.Entries().Instances {
			list = append(list, e.Version)
			if e.Draining {
				list[len(list)-1] += " leaves"
			}
		}
		return list
	}
	c.Assert(versions(), qt.DeepEquals, []string{"v1", "v1", "v2"})
	all, before := g.Emulators(), g.Entries().Instances
	all[0].Leave()
	c.Assert(versions(), qt.DeepEquals, []string{"v1 leaves", "v1", "v2"})
	g.Leave(t.Context(), all[0])
	c.Assert(versions(), qt.DeepEquals, []string{"v1", "v2"})
	all[2].RefuseConnections(time.Millisecond)
	after := g.Entries().Instances
	c.Assert(after[0], qt.DeepEquals, before[1])
	c.Assert([]bool{after[1].ID != before[2].ID, after[1].Address == before[2].Address}, qt.DeepEquals, []bool{true, true})
	c.Assert(g.startAll("v1"), qt.ErrorMatches, `.*must be VERSION=NUMBER`)
}

// Guards against churn that loses instances or versions.
func TestChurnKeepsTheNumbersOfInstances(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, Options{Name: "up", Service: "notes", CrashDowntime: time.Millisecond}, "v1=2,v2=2")
	first := g.Emulators()[0]
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- g.Churn(ctx, time.Millisecond, rand.New(rand.NewSource(1))) }()
	for end := time.Now().Add(10 * time.Second); slices.Contains(g.Emulators(), first); time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
	cancel()
	c.Assert(<-done, qt.IsNil)
	counts := map[string]int{}
	for _, e := range g.Entries().Instances {
		counts[e.Version]++
	}
	c.Assert(counts, qt.DeepEquals, map[string]int{"v1": 2, "v2": 2})
}

// Guards against a list that shows an upstream that has started again under its old id as the process before for good, or never.
func TestUpstreamThatKeepsItsIDIsListedLate(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, Options{Name: "up", Service: "notes", KeepsID: true, ColdTime: time.Hour, ListLag: 50 * time.Millisecond}, "v1=1")
	e := g.Emulators()[0]
	first := g.Entries().Instances[0]
	time.Sleep(2 * time.Millisecond) // so that the start times differ
	e.RefuseConnections(time.Millisecond)
	late := g.Entries().Instances[0]
	c.Assert([]any{late.ID, late.Born, late.ColdForMS}, qt.DeepEquals, []any{first.ID, first.Born, int64(0)})
	for end := time.Now().Add(10 * time.Second); g.Entries().Instances[0].Born == first.Born; time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
	c.Assert(g.Entries().Instances[0].ID, qt.Equals, first.ID)
	c.Assert(g.Entries().Instances[0].ColdForMS > 0, qt.IsTrue)
}
