package sched

import (
	"encoding/binary"

	"marigoldshunt/internal/wire"
)

const (
	prefixWays = 4
	// prefixSets times prefixWays digests of 16 bytes take 32 KB per upstream.
	prefixSets = 512
)

// prefixSet is a bounded set of prompt prefixes with four places per hash. It is
// allocated once, so that a grant can add to it without allocation. The zero value
// holds nothing.
type prefixSet struct {
	digests []wire.Digest
	next    []uint8
}

func newPrefixSet() prefixSet {
	return prefixSet{
		digests: make([]wire.Digest, prefixSets*prefixWays),
		next:    make([]uint8, prefixSets),
	}
}

func (s *prefixSet) places(d wire.Digest) (set int, places []wire.Digest) {
	set = int(binary.LittleEndian.Uint64(d[:8]) % prefixSets)
	return set, s.digests[set*prefixWays : (set+1)*prefixWays]
}

func (s *prefixSet) has(d wire.Digest) bool {
	if s.digests == nil || d == (wire.Digest{}) {
		return false
	}
	_, places := s.places(d)
	for i := range places {
		if places[i] == d {
			return true
		}
	}
	return false
}

// add replaces the digests of one hash in turn when its places are taken.
func (s *prefixSet) add(d wire.Digest) {
	if s.digests == nil || d == (wire.Digest{}) || s.has(d) {
		return
	}
	set, places := s.places(d)
	for i := range places {
		if places[i] == (wire.Digest{}) {
			places[i] = d
			return
		}
	}
	places[s.next[set]] = d
	s.next[set] = (s.next[set] + 1) % prefixWays
}

func (s *prefixSet) remove(d wire.Digest) {
	if s.digests == nil {
		return
	}
	_, places := s.places(d)
	for i := range places {
		if places[i] == d {
			places[i] = wire.Digest{}
		}
	}
}

func (s *prefixSet) clear() { clear(s.digests) }
