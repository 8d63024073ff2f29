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

// prefixSet is a set of prompt prefixes of bounded size, four-way set-associative. It is
// allocated once, so that a grant can add to it without allocation. The zero value is
// empty and stays empty.
type prefixSet struct {
	digests    []wire.Digest
	nextVictim []uint8
}

func newPrefixSet() prefixSet {
	return prefixSet{
		digests:    make([]wire.Digest, prefixSets*prefixWays),
		nextVictim: make([]uint8, prefixSets),
	}
}

func (s *prefixSet) ways(d wire.Digest) (set int, ways []wire.Digest) {
	set = int(binary.LittleEndian.Uint64(d[:8]) % prefixSets)
	return set, s.digests[set*prefixWays : (set+1)*prefixWays]
}

func (s *prefixSet) has(d wire.Digest) bool {
	if s.digests == nil || d == (wire.Digest{}) {
		return false
	}
	_, ways := s.ways(d)
	for i := range ways {
		if ways[i] == d {
			return true
		}
	}
	return false
}

// add replaces the digests of a full set in turn.
func (s *prefixSet) add(d wire.Digest) {
	if s.digests == nil || d == (wire.Digest{}) || s.has(d) {
		return
	}
	set, ways := s.ways(d)
	for i := range ways {
		if ways[i] == (wire.Digest{}) {
			ways[i] = d
			return
		}
	}
	ways[s.nextVictim[set]] = d
	s.nextVictim[set] = (s.nextVictim[set] + 1) % prefixWays
}

func (s *prefixSet) remove(d wire.Digest) {
	if s.digests == nil {
		return
	}
	_, ways := s.ways(d)
	for i := range ways {
		if ways[i] == d {
			ways[i] = wire.Digest{}
		}
	}
}

func (s *prefixSet) clear() { clear(s.digests) }
