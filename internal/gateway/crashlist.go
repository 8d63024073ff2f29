package gateway

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"marigoldshunt/internal/wire"
)

// Quarantined is a request, or a part of prompts, that this host refuses because it crashed upstreams.
type Quarantined struct {
	Fingerprint wire.Digest
	Service     string
	// Part is the hexadecimal id of the part, empty for a whole request.
	Part string
	// Since is the time of the crash that was one too many.
	Since time.Time
	// NextTrial is when a request may try it at the earliest.
	NextTrial time.Time
	// Crashes are those that count, the oldest first.
	Crashes []QuarantineCrash
}

// QuarantineCrash is the crash of an instance that a quarantine counts.
type QuarantineCrash struct {
	Instance string
	At       time.Time
}

// maxNames is the number of names at which those without marks are forgotten. It exceeds the marks of this host and
// of the control group.
const maxNames = 2 * maxOwnCrashMarks

// markedName is what this host knows of a fingerprint with crash marks, which the marks don't tell.
type markedName struct {
	service string
	// part is the id of the part; whole is true for a request.
	part  uint64
	whole bool
}

// Quarantined returns what this host refuses, the oldest first. It leaves out what no request asked this host for
// since it started: the fingerprint alone doesn't name a part.
func (s *Server) Quarantined() []Quarantined {
	s.crashes.mu.Lock()
	defer s.crashes.mu.Unlock()
	return s.crashes.quarantinedLocked()
}

func (c *crashTracker) quarantinedLocked() (list []Quarantined) {
	for fp, name := range c.names {
		if s, ok := c.quarantinedSuspectLocked(fp, name); ok {
			list = append(list, s.describe(name.service))
		}
	}
	slices.SortFunc(list, func(a, b Quarantined) int {
		return cmp.Or(a.Since.Compare(b.Since), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return list
}

// quarantinedSuspectLocked returns the suspect with this fingerprint if it is quarantined.
func (c *crashTracker) quarantinedSuspectLocked(fp wire.Digest, name markedName) (s suspect, ok bool) {
	s = suspect{fingerprint: fp, part: name.part, whole: name.whole, marks: c.validMarksLocked(fp)}
	if s.whole {
		s.likely = true
		return s, len(s.marks) >= maxCrashes
	}
	if !partSuspected(s.marks) || !c.evidenceLocked().blamed[fp] {
		return s, false
	}
	s.likely = c.evidenceLocked().likelyCause(fp)
	return s, true
}

func (s *suspect) describe(service string) Quarantined {
	q := Quarantined{Fingerprint: s.fingerprint, Service: service, NextTrial: s.trialDue(1)}
	enough := maxCrashes
	if !s.whole {
		q.Part, enough = strconv.FormatUint(s.part, 16), maxPartCrashes
	}
	marks := slices.SortedFunc(slices.Values(s.marks), func(a, b wire.CrashMark) int { return cmp.Compare(a.At, b.At) })
	for i, m := range marks {
		q.Crashes = append(q.Crashes, QuarantineCrash{Instance: m.Upstream, At: time.UnixMilli(m.At)})
		if q.Since.IsZero() && (s.whole && i+1 == enough || !s.whole && separateCrashes(marks[:i+1]) == enough) {
			q.Since = q.Crashes[i].At
		}
	}
	return q
}

// logQuarantinedLocked logs suspects when the first request with them is refused or tries them.
func (c *crashTracker) logQuarantinedLocked(service string, suspects []suspect) {
	for i := range suspects {
		s := &suspects[i]
		if c.logged[s.fingerprint] {
			continue
		}
		c.logged[s.fingerprint] = true
		q := s.describe(service)
		var instances []string
		for _, crash := range q.Crashes[:min(len(q.Crashes), maxLoggedSuspects)] {
			instances = append(instances, crash.Instance)
		}
		c.log.WithFields(map[string]any{
			"fingerprint": q.Fingerprint.String(), "service": service, "prompt_part": q.Part, "crashes": len(q.Crashes),
			"instances": strings.Join(instances, ","), "since": q.Since.UTC(), "next_trial": q.NextTrial.UTC(),
		}).Warn("Requests are quarantined.")
	}
}

// forgetNamesLocked forgets the names of fingerprints without marks, and logs what is no longer quarantined.
func (c *crashTracker) forgetNamesLocked() {
	for fp := range c.logged {
		if _, quarantined := c.quarantinedSuspectLocked(fp, c.names[fp]); !quarantined {
			delete(c.logged, fp)
			c.log.WithField("fingerprint", fp.String()).WithField("service", c.names[fp].service).Info("Requests are no longer quarantined.")
		}
	}
	for fp := range c.names {
		if c.recorded[fp] == nil && c.own.marks[fp] == nil {
			delete(c.names, fp)
		}
	}
}
