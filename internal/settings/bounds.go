package settings

import (
	"time"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
)

// Bounds are what the installation expects: the times within which changes take effect, and limits. 0
// means that the installation names none.
type Bounds struct {
	// ConfigInForce is the time from the acknowledgement of a routing document until no host
	// acts on an older one, CredentialRemoved the same for a credential that a document takes
	// away, and DataCentreOut for a data centre that is taken out of service.
	ConfigInForce, CredentialRemoved, DataCentreOut time.Duration
	// InstanceLeft is the time from the entry in the list of instances that one leaves until no
	// host sends it requests.
	InstanceLeft time.Duration
	// DiscoveryKept is how long callers keep an answer of discovery at most.
	DiscoveryKept time.Duration
	// Dispatch are the limits of retries and of requests to cold instances.
	Dispatch dispatch.Limits
}

type fileBounds struct {
	ConfigInForce     duration `toml:"config_in_force"`
	CredentialRemoved duration `toml:"credential_removed"`
	DataCentreOut     duration `toml:"data_centre_out"`
	InstanceLeft      duration `toml:"instance_left"`
	DiscoveryKept     duration `toml:"discovery_kept"`
	RetryRatio        float64  `toml:"retry_ratio"`
	RetryWindow       duration `toml:"retry_window"`
	SpareRetries      float64  `toml:"spare_retries"`
	SpareColdRequests float64  `toml:"spare_cold_requests"`
}

// maxBound is the longest time that a bound may name.
const maxBound = time.Hour

func (c *decoder) bounds(f *fileBounds) Bounds {
	if f == nil {
		return Bounds{}
	}
	optional := func(key string, v duration) time.Duration {
		if v == 0 {
			return 0
		}
		return c.duration("edge.bounds."+key, v, maxBound)
	}
	for key, v := range map[string]float64{"retry_ratio": f.RetryRatio, "spare_retries": f.SpareRetries, "spare_cold_requests": f.SpareColdRequests} {
		if v < 0 {
			c.reject("edge.bounds."+key, "%g is negative", v)
		}
	}
	return Bounds{
		ConfigInForce:     optional("config_in_force", f.ConfigInForce),
		CredentialRemoved: optional("credential_removed", f.CredentialRemoved),
		DataCentreOut:     optional("data_centre_out", f.DataCentreOut),
		InstanceLeft:      optional("instance_left", f.InstanceLeft),
		DiscoveryKept:     optional("discovery_kept", f.DiscoveryKept),
		Dispatch: dispatch.Limits{
			RetryRatio: f.RetryRatio, RetryWindow: optional("retry_window", f.RetryWindow),
			SpareRetries: f.SpareRetries, SpareColdRequests: f.SpareColdRequests,
		},
	}
}

// configMaxAge returns how long a host may act on a configuration that is not confirmed: at most
// limit, and no longer than any bound that depends on it. A confirmation counts from the time at which
// the host asked for it. A later change is acknowledged after that time, so an age of the whole
// bound keeps it.
func (b Bounds) configMaxAge(limit time.Duration) time.Duration {
	for _, bound := range []time.Duration{b.ConfigInForce, b.CredentialRemoved, b.DataCentreOut} {
		if bound > 0 {
			limit = min(limit, bound)
		}
	}
	return limit
}

const (
	// listReadMargin is the time for a read of the list, beyond the interval between two reads.
	listReadMargin = 200 * time.Millisecond
	// minListMaxAge is the age that the questions between hosts need. A host that is in touch would
	// refuse requests with a shorter one.
	minListMaxAge = catalog.CheckInterval + catalog.RepeatAfter
)

// listMaxAge returns how long a host may act on a list of instances that no other host confirms.
func (b Bounds) listMaxAge() time.Duration {
	if b.InstanceLeft == 0 {
		return catalog.MaxContactAge
	}
	return max(min(catalog.MaxContactAge, b.InstanceLeft-catalog.ReadInterval-listReadMargin), minListMaxAge)
}
