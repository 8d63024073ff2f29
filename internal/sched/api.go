// Package sched makes the scheduling decisions for one pool: fair queueing over client
// accounts, contract limits, upstream concurrency limits, cold start, choice of the
// upstream, and quarantine of requests that crash upstreams.
//
// The package does no I/O, reads no clock, starts no goroutine and takes no lock.
// The caller passes the time as a duration on one monotonic clock and serialises
// all calls.
package sched

import (
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/wire"
)

// Options are the settings of a new Pool.
type Options struct {
	Pool   config.Pool
	Policy config.Policy
	// Seed makes the choice between equally loaded upstreams repeatable.
	Seed int64
}

// Grant is the decision to run a ticket at an upstream.
type Grant struct {
	ID       wire.TicketID
	Account  string
	Upstream string
	Address  string
	// Tag is the account's fair-queueing tag after this grant: its normalised service, in
	// cost units per weight.
	Tag float64
	// Virtual is the pool's virtual time at this grant, in cost units per weight.
	Virtual float64
	// Estimate is the cost charged to the account at the grant.
	Estimate float64
	// Instance and Limit are the identity of the upstream's running instance and its
	// concurrency limit, which a later scheduler takes over. Instance is empty when unknown.
	Instance string
	Limit    int
}

// LoadReport is the load that an upstream reports.
type LoadReport struct {
	Upstream string
	// Instance is the identity of the running instance, empty when unknown.
	Instance string
	// Running and Queued are negative when the upstream answered without a report.
	Running int
	Queued  int
	// SampledAt is when the load was sampled, on the caller's clock. A caller that knows
	// only when it sent the request uses that time.
	SampledAt time.Duration
}

// CrashMark records that a request crashed an upstream.
type CrashMark struct {
	Fingerprint wire.Digest
	Upstream    string
	// Until is when the mark expires, on the caller's clock.
	Until time.Duration
}

// Effects lists the results of a call that the caller has to record elsewhere.
type Effects struct {
	Marks []CrashMark
}

// UpstreamState is the service state of an upstream.
type UpstreamState string

// States of an upstream.
const (
	UpstreamCold    UpstreamState = "cold"
	UpstreamWarming UpstreamState = "warming"
	UpstreamWarm    UpstreamState = "warm"
	UpstreamSuspect UpstreamState = "suspect"
	UpstreamOut     UpstreamState = "out"
)

// UpstreamStatus describes one upstream of the pool.
type UpstreamStatus struct {
	Name       string        `json:"name"`
	DataCentre string        `json:"data_centre"`
	State      UpstreamState `json:"state"`
	Limit      int           `json:"limit"`
	// Running counts the running requests of live routers.
	Running int `json:"running"`
	// Other counts slots occupied by grants of lost routers and by reported requests
	// without a known grant.
	Other    int    `json:"other"`
	Instance string `json:"instance"`
}

// AccountStatus describes one client account in the pool.
type AccountStatus struct {
	Account string  `json:"account"`
	Weight  float64 `json:"weight"`
	Waiting int     `json:"waiting"`
	Running int     `json:"running"`
	// Service is the cost charged to the account by this scheduler, in cost units.
	Service float64 `json:"service"`
	Tag     float64 `json:"tag"`
	// Blocked is true while the account is at its concurrency limit or none of its first
	// tickets may use a free slot.
	Blocked bool `json:"blocked"`
	// Bound is this account's part of the fairness bound, (2K+1) c / w.
	Bound float64 `json:"bound"`
}

// Status describes the pool at one moment. Lists are sorted by name.
type Status struct {
	Pool      string           `json:"pool"`
	Virtual   float64          `json:"virtual"`
	Waiting   int              `json:"waiting"`
	Running   int              `json:"running"`
	Slots     int              `json:"slots"`
	Upstreams []UpstreamStatus `json:"upstreams"`
	Accounts  []AccountStatus  `json:"accounts"`
	// Bound is the largest gap in normalised service allowed between any two accounts.
	Bound float64 `json:"bound"`
	// Quarantined counts fingerprints with two crash marks.
	Quarantined int `json:"quarantined"`
	// RetryTokens is the unused retry budget.
	RetryTokens float64 `json:"retry_tokens"`
}
