package frontend

import (
	"crypto/sha256"
	"encoding/binary"

	"marigoldshunt/internal/wire"
)

// prefixBytes is how much of the messages' content decides the cache affinity.
const prefixBytes = 1 << 10

// digest hashes parts so that no two lists of parts give the same input.
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

// prefixDigest identifies the beginning of a prompt.
func prefixDigest(account, pool string, content []byte) wire.Digest {
	return digest([]byte(account), []byte(pool), content[:min(len(content), prefixBytes)])
}
