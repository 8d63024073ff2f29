package state

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/wire"
)

func applyStreams(c *qt.C, s *State, index uint64, at time.Duration, change wire.StreamChange) *wire.StreamAnswer {
	data, err := StreamCommand(&change).Encode()
	c.Assert(err, qt.IsNil)
	batch, err := Batch{Time: at.Milliseconds(), Commands: [][]byte{data}}.Encode()
	c.Assert(err, qt.IsNil)
	results := s.ApplyBatch(index, batch)
	c.Assert(results, qt.HasLen, 1)
	c.Assert(results[0].Err(), qt.IsNil)
	return results[0].Streams
}

// Guards against the beginnings of streams that are lost with a snapshot, kept for good or overwritten.
func TestBeginningsOfStreamsAreRemembered(t *testing.T) {
	c := qt.New(t)
	s := New("f")
	begun := func(version string, ids ...wire.StreamID) []wire.BegunStreams {
		return []wire.BegunStreams{{Service: "svc", Version: version, IDs: ids}}
	}
	applyStreams(c, s, 1, time.Hour, wire.StreamChange{Begun: begun("v1", 1, 2)})
	answer := applyStreams(c, s, 2, time.Hour+time.Minute, wire.StreamChange{Begun: begun("v2", 2, 3), Asked: []wire.StreamID{1, 2, 3, 4}})
	want := []wire.StreamOrigin{{ID: 1, Service: "svc", Version: "v1"}, {ID: 2, Service: "svc", Version: "v1"}, {ID: 3, Service: "svc", Version: "v2"}}
	c.Assert(answer.Known, qt.DeepEquals, want)

	data, err := s.Snapshot()
	c.Assert(err, qt.IsNil)
	restored := New("")
	c.Assert(restored.Restore(data), qt.IsNil)
	again, err := restored.Snapshot()
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.DeepEquals, data)
	answer = applyStreams(c, restored, 3, time.Hour+StreamRetention+time.Second, wire.StreamChange{Asked: []wire.StreamID{1, 2, 3}})
	c.Assert(answer.Known, qt.DeepEquals, want[2:])
}

// Guards against a service that counts as settled while streams of another version may still be resumed.
func TestServiceSettlesAfterItsLastChangeOfVersions(t *testing.T) {
	c := qt.New(t)
	s := New("f")
	for i, step := range []struct {
		at       time.Duration
		versions []string
		settled  bool
	}{
		{time.Hour, []string{"v1"}, true},
		{time.Hour + time.Second, []string{"v1", "v2"}, false},
		{time.Hour + time.Minute, []string{"v2"}, false},
		{time.Hour + time.Minute + StreamRetention, []string{"v2"}, false},
		{time.Hour + time.Minute + StreamRetention + time.Second, []string{"v2"}, true},
	} {
		answer := applyStreams(c, s, uint64(i+1), step.at, wire.StreamChange{Listed: []wire.ServiceVersions{{Service: "svc", Versions: step.versions}}})
		c.Assert(answer.Services, qt.DeepEquals, []wire.ServiceVersions{{Service: "svc", Versions: step.versions, Settled: step.settled}}, qt.Commentf("step %d", i))
	}
}

// Guards against unbounded memory for streams, and against changes that no host sends.
func TestRememberedStreamsAreBounded(t *testing.T) {
	c := qt.New(t)
	s := New("f")
	id := wire.StreamID(0)
	for i := range MaxStreams/MaxStreamsOfChange + 2 {
		ids := make([]wire.StreamID, MaxStreamsOfChange)
		for n := range ids {
			id++
			ids[n] = id
		}
		applyStreams(c, s, uint64(i+1), time.Hour, wire.StreamChange{Begun: []wire.BegunStreams{{Service: "svc", Version: "v1", IDs: ids}}})
	}
	c.Assert(s.streams.begun, qt.HasLen, MaxStreams)
	answer := applyStreams(c, s, 100, time.Hour, wire.StreamChange{Asked: []wire.StreamID{1, id}})
	c.Assert(answer.Known, qt.HasLen, 1)
	tooMany := wire.StreamChange{Asked: make([]wire.StreamID, MaxStreamsOfChange+1)}
	c.Assert(s.streams.change(0, &tooMany).Err(), qt.Not(qt.IsNil))
}
