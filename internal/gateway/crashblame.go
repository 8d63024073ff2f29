package gateway

import (
	"maps"
	"slices"

	"marigoldshunt/internal/wire"
)

// crashEvidence is what the valid crash marks tell of the causes of the crashes. It is made again
// when the marks change.
type crashEvidence struct {
	marks crashMarks
	// present holds the requests and parts that were at the crash of each instance.
	present map[string][]wire.Digest
	// blamed are the parts that are refused.
	blamed map[wire.Digest]bool
	// likely holds the answers of likelyCause.
	likely map[wire.Digest]bool
}

// evidenceLocked returns what the marks tell now.
func (c *crashTracker) evidenceLocked() *crashEvidence {
	if c.evidence != nil {
		return c.evidence
	}
	valid := crashMarks{}
	var suspects []wire.Digest
	for _, marks := range []crashMarks{c.recorded, c.own.marks} {
		for fp := range marks {
			if valid[fp] != nil {
				continue
			}
			list := c.validMarksLocked(fp)
			for _, m := range list {
				valid.add(fp, m.Upstream, m.At)
			}
			if partSuspected(list) {
				suspects = append(suspects, fp)
			}
		}
	}
	c.evidence = newCrashEvidence(valid, suspects)
	return c.evidence
}

// partSuspected reports whether the marks of a part are enough to refuse it, unless others explain its
// crashes.
func partSuspected(marks []wire.CrashMark) bool {
	return len(marks) >= maxPartCrashes && separateCrashes(marks) >= maxPartCrashes
}

// newCrashEvidence returns the evidence of the marks; suspects have enough of them to be refused.
func newCrashEvidence(marks crashMarks, suspects []wire.Digest) *crashEvidence {
	e := &crashEvidence{marks: marks, present: map[string][]wire.Digest{}, blamed: map[wire.Digest]bool{}, likely: map[wire.Digest]bool{}}
	for fp, instances := range marks {
		for instance := range instances {
			e.present[instance] = append(e.present[instance], fp)
		}
	}
	e.blame(suspects)
	return e
}

// blame finds a small set of the suspects that explains all crashes of the suspects: those that
// explain most come first, then those that explain most of the others. The rest ran beside them.
func (e *crashEvidence) blame(suspects []wire.Digest) {
	unexplained := map[string]bool{}
	for _, fp := range suspects {
		for instance := range e.marks[fp] {
			unexplained[instance] = true
		}
	}
	for len(unexplained) > 0 {
		for _, fp := range e.best(suspects, unexplained) {
			e.blamed[fp] = true
			for instance := range e.marks[fp] {
				delete(unexplained, instance)
			}
		}
	}
}

// best returns the suspects that explain the most crashes, all of them if there are several: nothing
// tells them apart yet.
func (e *crashEvidence) best(suspects []wire.Digest, crashes map[string]bool) (best []wire.Digest) {
	most := 0
	for _, fp := range suspects {
		n := 0
		for instance := range e.marks[fp] {
			if crashes[instance] {
				n++
			}
		}
		if n > most {
			best, most = nil, n
		}
		if n == most {
			best = append(best, fp)
		}
	}
	return best
}

// likelyCause reports whether a part is the likely cause of its crashes: to explain them without it,
// at least maxPartCrashes others would have to be blamed that are not blamed already.
func (e *crashEvidence) likelyCause(fp wire.Digest) bool {
	if _, known := e.likely[fp]; !known {
		crashes := slices.Collect(maps.Keys(e.marks[fp]))
		for other := range e.blamed {
			if other != fp {
				crashes = e.without(crashes, other)
			}
		}
		e.likely[fp] = !e.explainable(crashes, fp, maxPartCrashes-1)
	}
	return e.likely[fp]
}

// explainable reports whether n others can explain the crashes in place of a part.
func (e *crashEvidence) explainable(crashes []string, part wire.Digest, n int) bool {
	if len(crashes) == 0 {
		return true
	}
	if n == 0 {
		return false
	}
	// One of those at this crash has to explain it. The crash with the fewest is the quickest.
	first := slices.MinFunc(crashes, func(a, b string) int { return len(e.present[a]) - len(e.present[b]) })
	return slices.ContainsFunc(e.present[first], func(other wire.Digest) bool {
		return other != part && e.explainable(e.without(crashes, other), part, n-1)
	})
}

// without returns the crashes that a part or request was not at.
func (e *crashEvidence) without(crashes []string, fp wire.Digest) (left []string) {
	for _, instance := range crashes {
		if !e.marks.has(fp, instance) {
			left = append(left, instance)
		}
	}
	return left
}
