// Package rendezvous ranks members for a key so that everyone who knows the same members
// selects the same one, and the loss of a member moves only the keys that it had (highest
// random weight hashing).
package rendezvous

import "slices"

// Parameters of 64 bit FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Hash returns the hash of a name that consists of parts. Parts are separated, so that
// ("ab", "c") and ("a", "bc") differ.
func Hash(parts ...string) uint64 {
	h := uint64(fnvOffset)
	for _, p := range parts {
		for i := range len(p) {
			h = (h ^ uint64(p[i])) * fnvPrime
		}
		h *= fnvPrime
	}
	return mix(h)
}

// Weight returns the weight of a member for a key. The member with the highest weight is
// the first choice.
func Weight(key, member uint64) uint64 { return mix(key ^ mix(member+1)) }

// mix is the finaliser of SplitMix64. FNV leaves the high bits of similar names alike, and
// keys may be small numbers.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Members are the names among which keys are distributed. Their hashes are computed once.
type Members struct {
	names  []string
	hashes []uint64
}

// NewMembers returns the members of a list and self, which the list may lack.
func NewMembers(self string, list []string) Members {
	m := Members{names: slices.Clone(list)}
	if !slices.Contains(list, self) {
		m.names = append(m.names, self)
	}
	for _, name := range m.names {
		m.hashes = append(m.hashes, Hash(name))
	}
	return m
}

// Len returns the number of members.
func (m Members) Len() int { return len(m.names) }

// Best returns the member with the highest weight for a key.
func (m Members) Best(key uint64) string {
	best, weight := "", uint64(0)
	for i, name := range m.names {
		if w := Weight(key, m.hashes[i]); best == "" || w > weight || w == weight && name < best {
			best, weight = name, w
		}
	}
	return best
}

// Rank returns the number of members with a higher weight for a key than a member of this
// name has.
func (m Members) Rank(key uint64, name string) (rank int) {
	own := Weight(key, Hash(name))
	for _, h := range m.hashes {
		if Weight(key, h) > own {
			rank++
		}
	}
	return rank
}
