// Package rendezvous ranks members for a key so that everyone who knows the same members
// selects the same one, and the loss of a member moves only the keys that it had (highest
// random weight hashing).
package rendezvous

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

// Best returns the member with the highest weight for a key, empty when there is none.
func Best(key uint64, members []string) string {
	best, weight := "", uint64(0)
	for _, m := range members {
		if w := Weight(key, Hash(m)); best == "" || w > weight || w == weight && m < best {
			best, weight = m, w
		}
	}
	return best
}
