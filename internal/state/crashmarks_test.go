package state

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/wire"
)

func changeMarks(added, disproved []CrashMark) Command {
	return Command{CrashMarks: &CrashMarkChange{Added: added, Disproved: disproved}}
}

// Guards against counting one crash as several, because each host that reports it gives it
// another time.
func TestReportedCrashKeepsItsTime(t *testing.T) {
	c := qt.New(t)
	s := New("f")
	m := CrashMark{Pool: "p", Fingerprint: wire.Digest{1}, Upstream: "u"}
	s.ApplyBatch(1, mustEncodeBatch(startMillis, changeMarks([]CrashMark{m}, nil)))
	s.ApplyBatch(2, mustEncodeBatch(startMillis+500, changeMarks([]CrashMark{m}, nil)))
	m.At = startMillis
	marks, version := s.CrashMarks()
	c.Assert(marks, qt.DeepEquals, []CrashMark{m})
	c.Assert(version, qt.Equals, uint64(1))
}

// Guards against a quarantine on other hosts of what an upstream has answered, and against
// forgetting crashes that came after the answer.
func TestDisprovedCrashMarksAreRemoved(t *testing.T) {
	c := qt.New(t)
	s := New("f")
	before, after := CrashMark{Pool: "p", Fingerprint: wire.Digest{1}, Upstream: "u1", At: startMillis}, CrashMark{Pool: "p", Fingerprint: wire.Digest{1}, Upstream: "u2", At: startMillis}
	other := CrashMark{Pool: "p", Fingerprint: wire.Digest{2}, Upstream: "u1", At: startMillis}
	s.ApplyBatch(1, mustEncodeBatch(startMillis, changeMarks([]CrashMark{before, after, other}, nil), changeMarks(nil, []CrashMark{before})))
	marks, _ := s.CrashMarks()
	c.Assert(marks, qt.DeepEquals, []CrashMark{after, other})
}

// Guards against ending the quarantine of what crashes upstreams by many requests that merely
// ran beside it.
func TestSingleCrashMarksAreDroppedFirst(t *testing.T) {
	c := qt.New(t)
	s := New("f")
	quarantined := []CrashMark{{Pool: "p", Fingerprint: wire.Digest{1}, Upstream: "u1", At: startMillis}, {Pool: "p", Fingerprint: wire.Digest{1}, Upstream: "u2", At: startMillis}}
	s.ApplyBatch(1, mustEncodeBatch(startMillis, changeMarks(quarantined, nil)))
	for i := range 2 * MaxCrashMarks {
		s.ApplyBatch(uint64(2+i), mustEncodeBatch(startMillis, changeMarks([]CrashMark{{Pool: "p", Fingerprint: wire.Digest{2, byte(i), byte(i >> 8)}, Upstream: "u1"}}, nil)))
	}
	marks, _ := s.CrashMarks()
	c.Assert(marks, qt.HasLen, MaxCrashMarks)
	c.Assert(marks[:2], qt.DeepEquals, quarantined)
}

// Guards against a change that fills the table or names no upstream.
func TestInvalidCrashMarkChangesAreRefused(t *testing.T) {
	c := qt.New(t)
	s := New("f")
	for _, cmd := range []Command{
		changeMarks(make([]CrashMark, MaxCrashMarks+1), nil),
		changeMarks([]CrashMark{{Pool: "p", Upstream: "u"}, {Pool: "p"}}, nil),
	} {
		r := s.ApplyBatch(1, mustEncodeBatch(startMillis, cmd))
		c.Assert(r[0].Err(), qt.IsNotNil)
		marks, _ := s.CrashMarks()
		c.Assert(marks, qt.HasLen, 0)
	}
}
