// Package discovery selects the addresses that a caller should use. It does no I/O and
// keeps no state.
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

// maxLocal leaves one place for another data centre, so that a caller that caches the
// answer still has an address when the local data centre is lost.
const maxLocal = MaxAddresses - 1

// DefaultKeepFor applies if the policy sets no KeepFor.
const DefaultKeepFor = 10 * time.Second

// HostAddress is one host that a caller may connect to.
type HostAddress struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// Answer lists the addresses in order of preference.
type Answer struct {
	Addresses []HostAddress `json:"addresses"`
	// KeepForMS is how long the caller may cache the answer, in milliseconds.
	KeepForMS int64 `json:"keep_for_ms"`
}

// Query describes the caller and the host that it asked.
type Query struct {
	Account string
	// Caller is the caller's IP address without port.
	Caller string
	// DataCentre is the data centre of the host that was asked, the local one.
	DataCentre string
}

type candidate struct {
	HostAddress
	name   string
	local  bool
	weight uint64
}

// Select returns up to MaxAddresses hosts that are in service, alive and not leaving.
// Hosts of the local data centre come first; within a data centre the order is by
// rendezvous hash, which spreads the callers of one account. If hosts of other data
// centres are in service, the last address is one of them.
func Select(cfg *config.Config, hosts []wire.HostStatus, q Query) Answer {
	var local, remote []candidate
	for _, status := range hosts {
		c, ok := eligible(cfg, status, q)
		switch {
		case !ok:
		case c.local:
			local = append(local, c)
		default:
			remote = append(remote, c)
		}
	}
	sortByWeight(local)
	sortByWeight(remote)
	localCount := min(len(local), MaxAddresses)
	if len(remote) > 0 {
		localCount = min(localCount, maxLocal)
	}
	selected := append(local[:localCount:localCount], remote[:min(len(remote), MaxAddresses-localCount)]...)
	a := Answer{Addresses: make([]HostAddress, 0, len(selected)), KeepForMS: keepFor(cfg).Milliseconds()}
	for _, c := range selected {
		a.Addresses = append(a.Addresses, c.HostAddress)
	}
	return a
}

func keepFor(cfg *config.Config) time.Duration {
	if cfg.Policy.KeepFor > 0 {
		return cfg.Policy.KeepFor
	}
	return DefaultKeepFor
}

func eligible(cfg *config.Config, status wire.HostStatus, q Query) (candidate, bool) {
	h, ok := cfg.Hosts[status.Host]
	if !ok || h.Out || h.CallerAddress == "" || !status.Alive || status.Leaving {
		return candidate{}, false
	}
	if cfg.DataCentres[h.DataCentre].Out {
		return candidate{}, false
	}
	return candidate{
		HostAddress: HostAddress{Address: h.CallerAddress, DataCentre: h.DataCentre},
		name:        h.Name,
		local:       h.DataCentre == q.DataCentre,
		weight:      rendezvous.Weight(rendezvous.Hash(q.Account, q.Caller), rendezvous.Hash(status.Host)),
	}, true
}

func sortByWeight(list []candidate) {
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
}
