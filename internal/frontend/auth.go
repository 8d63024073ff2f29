package frontend

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"sync"
	"sync/atomic"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
)

// credential is one accepted key hash.
type credential struct {
	hash    [sha256.Size]byte
	account string
}

// keyIndex finds contracts by credential. The bucket is chosen by the hash of the
// credential; within it, hashes are compared in constant time.
type keyIndex struct {
	cfg      *config.Config
	revision uint64
	buckets  map[uint64][]credential
}

func buildIndex(cfg *config.Config) *keyIndex {
	x := &keyIndex{cfg: cfg, revision: cfg.Revision, buckets: map[uint64][]credential{}}
	for name, c := range cfg.Contracts {
		for _, h := range c.KeyHashes {
			cr := credential{account: name}
			if b, err := hex.DecodeString(h); err != nil || copy(cr.hash[:], b) != sha256.Size {
				continue
			}
			k := binary.BigEndian.Uint64(cr.hash[:])
			x.buckets[k] = append(x.buckets[k], cr)
		}
	}
	return x
}

// find returns the account of a credential.
func (x *keyIndex) find(key string) (string, bool) {
	sum := sha256.Sum256([]byte(key))
	account, found := "", false
	for _, cr := range x.buckets[binary.BigEndian.Uint64(sum[:])] {
		if subtle.ConstantTimeCompare(cr.hash[:], sum[:]) == 1 {
			account, found = cr.account, true
		}
	}
	return account, found
}

// keyCache rebuilds the index when the configuration changes.
type keyCache struct {
	mu  sync.Mutex
	now atomic.Pointer[keyIndex]
}

func (k *keyCache) get(cfg *config.Config) *keyIndex {
	if x := k.now.Load(); x != nil && x.cfg == cfg && x.revision == cfg.Revision {
		return x
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if x := k.now.Load(); x != nil && x.cfg == cfg && x.revision == cfg.Revision {
		return x
	}
	x := buildIndex(cfg)
	k.now.Store(x)
	return x
}

// authenticate sets the contract of the caller's credential.
func (s *Server) authenticate(next handler) handler {
	return func(r *request) error {
		scheme, key, _ := strings.Cut(r.headerValue("Authorization"), " ")
		if !strings.EqualFold(scheme, "Bearer") || key == "" {
			return fault.New(fault.Unauthenticated, fault.NotRun, "a bearer credential is required")
		}
		account, ok := s.keys.get(r.cfg).find(strings.TrimSpace(key))
		if !ok {
			return fault.New(fault.Unauthenticated, fault.NotRun, "the credential is not known")
		}
		r.contract = r.cfg.Contracts[account]
		r.account = account
		return next(r)
	}
}
