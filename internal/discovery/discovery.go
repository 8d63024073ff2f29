// Package discovery selects the addresses that a caller should use. It is pure.
package discovery

import (
	"cmp"
	"slices"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/rendezvous"
	"marigoldshunt/internal/wire"
)

// MaxAddresses is the largest number of addresses in one answer.
const MaxAddresses = 4

// maxNear leaves one place for another data centre, so that a caller that keeps the
// answer still has an address when the near data centre is lost.
const maxNear = MaxAddresses - 1

// DefaultKeepFor applies where the policy sets no time.
const DefaultKeepFor = 10 * time.Second

// Address is one host that a caller may connect to.
type Address struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// Answer lists the addresses in the order of preference.
type Answer struct {
	Addresses []Address `json:"addresses"`
	// KeepForMS is how long the caller may keep the answer, in milliseconds.
	KeepForMS int64 `json:"keep_for_ms"`
}

// Query describes who asks and where.
type Query struct {
	Account string
	// Caller is the caller's IP address without port.
	Caller string
	// DataCentre is that of the host that was asked.
	DataCentre string
}

type candidate struct {
	Address
	name string
	near bool
	rank uint64
}

// Select returns up to MaxAddresses hosts that are in service, alive and not leaving.
// Hosts of the near data centre come first; within a data centre the order is by
// rendezvous hash, so that the callers of one account are spread. Where hosts of other
// data centres are in service, the last address is one of them.
func Select(cfg *config.Config, hosts []wire.HostStatus, q Query) Answer {
	var near, far []candidate
	for _, h := range hosts {
		c, ok := eligible(cfg, h, q)
		switch {
		case !ok:
		case c.near:
			near = append(near, c)
		default:
			far = append(far, c)
		}
	}
	order(near)
	order(far)
	n := min(len(near), MaxAddresses)
	if len(far) > 0 {
		n = min(n, maxNear)
	}
	list := append(near[:n:n], far[:min(len(far), MaxAddresses-n)]...)
	a := Answer{Addresses: make([]Address, 0, len(list)), KeepForMS: keepFor(cfg).Milliseconds()}
	for _, c := range list {
		a.Addresses = append(a.Addresses, c.Address)
	}
	return a
}

func keepFor(cfg *config.Config) time.Duration {
	if cfg.Policy.KeepFor > 0 {
		return cfg.Policy.KeepFor
	}
	return DefaultKeepFor
}

func eligible(cfg *config.Config, s wire.HostStatus, q Query) (candidate, bool) {
	h, ok := cfg.Hosts[s.Host]
	if !ok || h.Out || h.CallerAddress == "" || !s.Alive || s.Leaving {
		return candidate{}, false
	}
	if cfg.DataCentres[h.DataCentre].Out {
		return candidate{}, false
	}
	return candidate{
		Address: Address{Address: h.CallerAddress, DataCentre: h.DataCentre},
		name:    h.Name,
		near:    h.DataCentre == q.DataCentre,
		rank:    rendezvous.Weight(rendezvous.Hash(q.Account, q.Caller), rendezvous.Hash(s.Host)),
	}, true
}

func order(list []candidate) {
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.name, b.name))
	})
}
