package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
)

// playedCrash is a crash at which requests with these parts broke.
type playedCrash struct {
	instance string
	parts    []uint64
}

// trackerAfter returns a tracker that saw the crashes, minCrashGap apart.
func trackerAfter(crashes ...playedCrash) (*crashTracker, *time.Time) {
	tracker, rec, clock := crashingTracker()
	for i, crash := range crashes {
		*clock = clock.Add(minCrashGap)
		crashAt(tracker, rec, crash.instance, byte(i), crash.parts...)
	}
	return tracker, clock
}

// Guards against refusing a shared part for long because one of the parts that crash upstreams has too few marks yet.
func TestSharedPartIsTriedSoonIfFewOthersExplainItsCrashes(t *testing.T) {
	const shared, bad, secondBad, beside = 1, 2, 3, 4
	const triedWithin = 5 * time.Second
	for _, test := range []struct {
		name    string
		crashes []playedCrash
	}{
		{"one of the others is quarantined", []playedCrash{
			{"a", []uint64{shared, bad}}, {"b", []uint64{shared, bad}}, {"c", []uint64{shared, bad}}, {"d", []uint64{shared, secondBad}},
		}},
		{"none is, and another part was at two crashes", []playedCrash{
			{"a", []uint64{shared, bad, beside}}, {"b", []uint64{shared, secondBad, beside}}, {"c", []uint64{shared, bad}}, {"d", []uint64{shared, secondBad}},
		}},
	} {
		c := qt.New(t)
		tracker, clock := trackerAfter(test.crashes...)
		c.Check(fault.CodeOf(tracker.checkParts("s", partList(shared))), qt.Equals, fault.CrashesUpstreams, qt.Commentf(test.name))
		*clock = clock.Add(triedWithin)
		c.Check(tracker.checkParts("s", partList(shared)), qt.IsNil, qt.Commentf(test.name))
	}
}

// Guards against trying the likely cause again as soon as a part that only may be one.
func TestPartThatAloneExplainsItsCrashesIsTriedLate(t *testing.T) {
	c := qt.New(t)
	const bad, other = 1, 2
	tracker, clock := trackerAfter(
		playedCrash{"a", []uint64{bad, other}}, playedCrash{"b", []uint64{bad, other}}, playedCrash{"c", []uint64{bad}},
		playedCrash{"d", []uint64{bad}}, playedCrash{"e", []uint64{bad}})
	*clock = clock.Add(likelyTrialPause - time.Millisecond)
	c.Check(fault.CodeOf(tracker.checkParts("s", partList(bad))), qt.Equals, fault.CrashesUpstreams)
	*clock = clock.Add(time.Millisecond)
	c.Check(tracker.checkParts("s", partList(bad)), qt.IsNil)
}

// Guards against refusing sound requests with a part that ran beside the crashes of others.
func TestPartBesideTheCausesIsNotRefused(t *testing.T) {
	c := qt.New(t)
	const bad, secondBad, beside = 1, 2, 3
	tracker, _ := trackerAfter(
		playedCrash{"a", []uint64{bad, beside}}, playedCrash{"b", []uint64{bad, beside}}, playedCrash{"c", []uint64{bad}}, playedCrash{"d", []uint64{bad}},
		playedCrash{"e", []uint64{secondBad, beside}}, playedCrash{"f", []uint64{secondBad}}, playedCrash{"g", []uint64{secondBad}})
	c.Check(tracker.checkParts("s", partList(beside)), qt.IsNil)
	for _, id := range []uint64{bad, secondBad} {
		c.Check(fault.CodeOf(tracker.checkParts("s", partList(id))), qt.Equals, fault.CrashesUpstreams)
	}
	// Once an answer shows that one of the causes is none, the part has to explain a crash.
	tracker.partsAnswered("s", partList(bad))
	c.Check(fault.CodeOf(tracker.checkParts("s", partList(beside))), qt.Equals, fault.CrashesUpstreams)
}
