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

// credentialEntry is the hash of an accepted credential, with its account.
type credentialEntry struct {
	hash    [sha256.Size]byte
	account string
}

// credentialIndex maps credentials to accounts. The beginning of the credential's hash
// selects a bucket; within it, hashes are compared in constant time.
type credentialIndex struct {
	cfg      *config.Config
	revision uint64
	buckets  map[uint64][]credentialEntry
}

func newCredentialIndex(cfg *config.Config) *credentialIndex {
	idx := &credentialIndex{cfg: cfg, revision: cfg.Revision, buckets: map[uint64][]credentialEntry{}}
	for name, c := range cfg.Contracts {
		for _, keyHash := range c.KeyHashes {
			entry := credentialEntry{account: name}
			if b, err := hex.DecodeString(keyHash); err != nil || copy(entry.hash[:], b) != sha256.Size {
				continue
			}
			bucket := binary.BigEndian.Uint64(entry.hash[:])
			idx.buckets[bucket] = append(idx.buckets[bucket], entry)
		}
	}
	return idx
}

// account returns the account of a credential.
func (idx *credentialIndex) account(credential string) (string, bool) {
	hash := sha256.Sum256([]byte(credential))
	account, found := "", false
	for _, entry := range idx.buckets[binary.BigEndian.Uint64(hash[:])] {
		if subtle.ConstantTimeCompare(entry.hash[:], hash[:]) == 1 {
			account, found = entry.account, true
		}
	}
	return account, found
}

// indexCache holds the credential index and rebuilds it when the configuration changes.
type indexCache struct {
	mu    sync.Mutex
	index atomic.Pointer[credentialIndex]
}

func (c *indexCache) get(cfg *config.Config) *credentialIndex {
	if idx := c.index.Load(); idx != nil && idx.cfg == cfg && idx.revision == cfg.Revision {
		return idx
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if idx := c.index.Load(); idx != nil && idx.cfg == cfg && idx.revision == cfg.Revision {
		return idx
	}
	idx := newCredentialIndex(cfg)
	c.index.Store(idx)
	return idx
}

// authenticate sets the account and contract that belong to the caller's credential.
func (s *Server) authenticate(next handler) handler {
	return func(r *request) error {
		scheme, credential, _ := strings.Cut(r.header("Authorization"), " ")
		if !strings.EqualFold(scheme, "Bearer") || credential == "" {
			return fault.New(fault.Unauthenticated, fault.NotRun, "a bearer credential is required")
		}
		account, ok := s.credentials.get(r.cfg).account(strings.TrimSpace(credential))
		if !ok {
			return fault.New(fault.Unauthenticated, fault.NotRun, "the credential is not known")
		}
		r.contract = r.cfg.Contracts[account]
		r.account = account
		return next(r)
	}
}
