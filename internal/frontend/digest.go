package frontend

import (
	"crypto/sha256"
	"encoding/binary"

	"marigoldshunt/internal/wire"
)

// maxPrefixBytes is how much of the beginning of the messages determines the cache affinity.
const maxPrefixBytes = 1 << 10

// digest hashes parts with their lengths, so that different lists of parts never give the
// hash the same input.
func digest(parts ...[]byte) wire.Digest {
	h := sha256.New()
	var n [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		_, _ = h.Write(n[:])
		_, _ = h.Write(p)
	}
	var sum [sha256.Size]byte
	var d wire.Digest
	copy(d[:], h.Sum(sum[:0]))
	return d
}

// fingerprint identifies a request by account, route and body.
func fingerprint(account, route string, body []byte) wire.Digest {
	return digest([]byte(account), []byte(route), body)
}

// prefixDigest identifies the beginning of a prompt by account, pool and content.
func prefixDigest(account, pool string, content []byte) wire.Digest {
	return digest([]byte(account), []byte(pool), content[:min(len(content), maxPrefixBytes)])
}
