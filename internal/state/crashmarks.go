package state

import (
	"slices"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// CrashMark is a crash mark: a request with this fingerprint, or with the prompt part that
// has it, crashed an upstream.
type CrashMark = wire.CrashMark

// CrashMarkChange adds and removes crash marks.
type CrashMarkChange struct {
	// Added are the marks of one crash. Disproved are marks of requests or prompt parts that an
	// upstream has answered since; their At is not used.
	Added, Disproved []CrashMark
	// streams is set in place of marks in a command that changes streams. It is an extension of
	// the command's extension, because that has been released.
	streams *wire.StreamChange
}

// Extension returns the extension of the change, nil if there is nothing to add.
func (c CrashMarkChange) Extension() any {
	if c.streams == nil {
		return nil
	}
	return c.streams
}

// ExtensionTarget returns what the extension of the change is decoded into.
func (c *CrashMarkChange) ExtensionTarget() any {
	c.streams = &wire.StreamChange{}
	return c.streams
}

func sameCrash(a, b CrashMark) bool {
	return a.Fingerprint == b.Fingerprint && a.Upstream == b.Upstream
}

// addCrashMark adds a mark, or renews the one of the same request and upstream.
func (s *State) addCrashMark(m CrashMark) Result {
	if err := checkCrashMark(m); err != nil {
		return errorResult(err)
	}
	s.deleteCrashMarks(func(o CrashMark) bool { return o.Pool == m.Pool && sameCrash(o, m) })
	s.appendCrashMark(m)
	return Result{}
}

// changeCrashMarks applies a change. A mark that is held keeps its time, since several hosts
// may report one crash.
func (s *State) changeCrashMarks(c *CrashMarkChange) Result {
	if len(c.Added)+len(c.Disproved) > MaxCrashMarks {
		return refuse(fault.BadRequest, fault.NotRun, "a change holds at most 512 crash marks")
	}
	for _, m := range c.Added {
		if err := checkCrashMark(m); err != nil {
			return errorResult(err)
		}
	}
	for _, m := range c.Added {
		if !slices.ContainsFunc(s.crashMarks, func(o CrashMark) bool { return sameCrash(o, m) }) {
			s.appendCrashMark(m)
		}
	}
	s.deleteCrashMarks(func(o CrashMark) bool {
		return slices.ContainsFunc(c.Disproved, func(m CrashMark) bool { return sameCrash(o, m) })
	})
	return Result{}
}

func checkCrashMark(m CrashMark) error {
	if len(m.Pool) > maxIDBytes || len(m.Upstream) > maxIDBytes || m.Upstream == "" {
		return fault.New(fault.BadRequest, fault.NotRun, "the names in a crash mark have 1 to 64 bytes")
	}
	return nil
}

func (s *State) appendCrashMark(m CrashMark) {
	if len(s.crashMarks) >= MaxCrashMarks {
		i := s.leastValuableCrashMark()
		s.crashMarks = slices.Delete(s.crashMarks, i, i+1)
	}
	m.At = s.now
	s.crashMarks = append(s.crashMarks, m)
	s.crashMarksVersion++
}

// leastValuableCrashMark returns the index of the oldest mark that is the only one of its
// request, since a single mark proves nothing, or else of the oldest mark.
func (s *State) leastValuableCrashMark() int {
	count := map[wire.Digest]int{}
	for _, m := range s.crashMarks {
		count[m.Fingerprint]++
	}
	return max(slices.IndexFunc(s.crashMarks, func(m CrashMark) bool { return count[m.Fingerprint] == 1 }), 0)
}

func (s *State) deleteCrashMarks(del func(CrashMark) bool) {
	before := len(s.crashMarks)
	s.crashMarks = slices.DeleteFunc(s.crashMarks, del)
	if len(s.crashMarks) != before {
		s.crashMarksVersion++
	}
}

// CrashMarks returns a copy of the crash marks, oldest first, and their version.
func (s *State) CrashMarks() ([]CrashMark, uint64) {
	return slices.Clone(s.crashMarks), s.crashMarksVersion
}
