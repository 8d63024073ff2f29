package discovery

import (
	"cmp"
	"slices"

	"marigoldshunt/internal/rendezvous"
)

// MaxGatewayAddresses is the largest number of gateway addresses in one answer. Callers use no more.
const MaxGatewayAddresses = 64

// Bound returns at most MaxGatewayAddresses of the addresses. Different hosts that answer leave out
// different ones, so that every address is in most answers; one host leaves out the same ones as
// long as the addresses stay, since callers close connections to addresses that an answer lacks.
func Bound(answeringHost string, addresses []string) []string {
	if len(addresses) <= MaxGatewayAddresses {
		return addresses
	}
	key := rendezvous.Hash(answeringHost)
	weight := func(address string) uint64 { return rendezvous.Weight(key, rendezvous.Hash(address)) }
	out := slices.Clone(addresses)
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	return out[:MaxGatewayAddresses]
}
