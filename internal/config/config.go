// Package config holds the dynamic configuration of the fleet: contracts, pools,
// upstreams, data centres, hosts, operators, the policy and the routing document.
//
// The configuration is changed only through the replicated log. Every object carries
// the revision of its last change.
package config

import (
	"time"

	"marigoldshunt/internal/routing"
)

// PoolKind is the kind of a pool.
type PoolKind string

// Kinds of pools.
const (
	// KindModel is a pool of model engines with the chat completions interface.
	KindModel PoolKind = "model"
	// KindService is a pool of plain HTTP services.
	KindService PoolKind = "service"
)

// Contract is the agreement with one client account and the source of every limit on
// it. Rate, concurrency and queue length apply fleet-wide to each pool.
type Contract struct {
	Account string `toml:"account" json:"account" msgpack:"a"`
	// KeyHashes are hex SHA-256 hashes of the credentials of the account.
	KeyHashes         []string      `toml:"key_hashes" json:"key_hashes" msgpack:"k"`
	Weight            float64       `toml:"weight" json:"weight" msgpack:"w"`
	RequestsPerSecond float64       `toml:"requests_per_second" json:"requests_per_second" msgpack:"r"`
	Burst             int           `toml:"burst" json:"burst" msgpack:"b"`
	Concurrency       int           `toml:"concurrency" json:"concurrency" msgpack:"c"`
	QueueLength       int           `toml:"queue_length" json:"queue_length" msgpack:"q"`
	MaxBodyBytes      int           `toml:"max_body_bytes" json:"max_body_bytes" msgpack:"m"`
	MaxRun            time.Duration `toml:"max_run" json:"max_run" msgpack:"u"`
	MaxWait           time.Duration `toml:"max_wait" json:"max_wait" msgpack:"x"`
	Pools             []string      `toml:"pools" json:"pools" msgpack:"p"`
	Revision          uint64        `toml:"-" json:"revision" msgpack:"v"`
}

// Profile sets the concurrency limits of the upstreams of a pool.
type Profile struct {
	ColdConcurrency int `toml:"cold_concurrency" json:"cold_concurrency" msgpack:"c"`
	MaxConcurrency  int `toml:"max_concurrency" json:"max_concurrency" msgpack:"m"`
	// WarmAfter is the number of successful completions after which the concurrency
	// limit of an upstream doubles.
	WarmAfter int `toml:"warm_after" json:"warm_after" msgpack:"w"`
}

// ServiceRoute is one method and path prefix of a plain service.
type ServiceRoute struct {
	Method     string `toml:"method" json:"method" msgpack:"m"`
	PathPrefix string `toml:"path_prefix" json:"path_prefix" msgpack:"p"`
	Idempotent bool   `toml:"idempotent" json:"idempotent" msgpack:"i"`
}

// Pool is a set of interchangeable upstreams of one model or one plain service.
type Pool struct {
	Name    string   `toml:"name" json:"name" msgpack:"n"`
	Kind    PoolKind `toml:"kind" json:"kind" msgpack:"k"`
	Profile Profile  `toml:"profile" json:"profile" msgpack:"f"`
	// MaxCost caps the cost of one request: for models input tokens / 8 + output tokens,
	// for services milliseconds of upstream time.
	MaxCost float64 `toml:"max_cost" json:"max_cost" msgpack:"x"`
	// DefaultCost is the cost estimate until the first request has ended.
	DefaultCost float64 `toml:"default_cost" json:"default_cost" msgpack:"d"`
	// Resume says whether the engines can resume a stream by request ID and offset.
	Resume   bool           `toml:"resume" json:"resume" msgpack:"r"`
	Routes   []ServiceRoute `toml:"routes" json:"routes" msgpack:"o"`
	Revision uint64         `toml:"-" json:"revision" msgpack:"v"`
}

// Upstream is one model engine or plain service instance.
type Upstream struct {
	Name       string `toml:"name" json:"name" msgpack:"n"`
	Pool       string `toml:"pool" json:"pool" msgpack:"p"`
	DataCentre string `toml:"data_centre" json:"data_centre" msgpack:"d"`
	Address    string `toml:"address" json:"address" msgpack:"a"`
	// ChecksFence says whether the upstream refuses orders with an old fencing number.
	ChecksFence bool `toml:"checks_fence" json:"checks_fence" msgpack:"f"`
	// ChecksSender says whether the upstream authenticates the sender of an order.
	ChecksSender bool `toml:"checks_sender" json:"checks_sender" msgpack:"s"`
	// Out is true while the upstream is being taken out of service or is out of service.
	Out      bool   `toml:"out" json:"out" msgpack:"o"`
	Revision uint64 `toml:"-" json:"revision" msgpack:"v"`
}

// DataCentre is a site that operators take out of service and bring back as a whole.
type DataCentre struct {
	Name     string `toml:"name" json:"name" msgpack:"n"`
	Out      bool   `toml:"out" json:"out" msgpack:"o"`
	Revision uint64 `toml:"-" json:"revision" msgpack:"v"`
}

// Host is one machine of the fleet that runs the daemon.
type Host struct {
	Name          string `toml:"name" json:"name" msgpack:"n"`
	DataCentre    string `toml:"data_centre" json:"data_centre" msgpack:"d"`
	CallerAddress string `toml:"caller_address" json:"caller_address" msgpack:"c"`
	AdminAddress  string `toml:"admin_address" json:"admin_address" msgpack:"m"`
	PeerAddress   string `toml:"peer_address" json:"peer_address" msgpack:"p"`
	Out           bool   `toml:"out" json:"out" msgpack:"o"`
	Revision      uint64 `toml:"-" json:"revision" msgpack:"v"`
}

// Operator is a person or program that may change the configuration.
type Operator struct {
	Name      string   `toml:"name" json:"name" msgpack:"n"`
	KeyHashes []string `toml:"key_hashes" json:"key_hashes" msgpack:"k"`
	Revision  uint64   `toml:"-" json:"revision" msgpack:"v"`
}

// BootstrapOperator is the operator name of requests that use a credential from a
// host's settings. No configured operator can have it, because names have no
// parentheses.
const BootstrapOperator = "(bootstrap)"

// Policy holds the fleet-wide settings that are not part of a contract.
type Policy struct {
	// KeepFor is how long callers may cache a discovery answer.
	KeepFor time.Duration `toml:"keep_for" json:"keep_for" msgpack:"k"`
	// ClaimRetention is how long claims of non-idempotent requests are kept.
	ClaimRetention time.Duration `toml:"claim_retention" json:"claim_retention" msgpack:"c"`
	// RetryPercent is the retry budget of a pool in percent of first attempts.
	RetryPercent float64 `toml:"retry_percent" json:"retry_percent" msgpack:"r"`
	// LoadOrdersPerMinute limits how many orders to load a model, an adapter or a version
	// are sent per minute, because all of them read from the store of model weights.
	LoadOrdersPerMinute float64 `toml:"loads_per_minute" json:"loads_per_minute" msgpack:"l"`
	Revision            uint64  `toml:"-" json:"revision" msgpack:"v"`
}

// Config is the complete dynamic configuration at one revision.
type Config struct {
	Revision    uint64                `toml:"-" json:"revision" msgpack:"v"`
	Contracts   map[string]Contract   `toml:"-" json:"contracts" msgpack:"c"`
	Pools       map[string]Pool       `toml:"-" json:"pools" msgpack:"p"`
	Upstreams   map[string]Upstream   `toml:"-" json:"upstreams" msgpack:"u"`
	DataCentres map[string]DataCentre `toml:"-" json:"data_centres" msgpack:"d"`
	Hosts       map[string]Host       `toml:"-" json:"hosts" msgpack:"h"`
	Operators   map[string]Operator   `toml:"-" json:"operators" msgpack:"o"`
	Policy      Policy                `toml:"-" json:"policy" msgpack:"y"`
	// Routing is the routing document in force. It is nil until an operator sets the first.
	Routing *Routing `toml:"-" json:"routing,omitempty" msgpack:"t"`
}

// Routing is a routing document with its source. Operators choose its version. Of two
// documents, the one with the higher version stays in force, whatever the order of
// arrival.
type Routing struct {
	Version uint64 `json:"version" msgpack:"v"`
	// Digest is the SHA-256 of Source. It distinguishes a resend from other content
	// under the same version.
	Digest [32]byte `json:"-" msgpack:"g"`
	// Source is the document as the operator sent it.
	Source   []byte           `json:"-" msgpack:"s"`
	Document routing.Document `json:"document" msgpack:"d"`
	// Superseded marks an entry of a delta whose content is replaced by a later entry of
	// the same delta. Only the revision of such an entry counts.
	Superseded bool   `json:"-" msgpack:"x"`
	Revision   uint64 `json:"revision" msgpack:"r"`
}

// DefaultPolicy is in force until an operator sets another policy.
var DefaultPolicy = Policy{
	KeepFor:             30 * time.Second,
	ClaimRetention:      24 * time.Hour,
	RetryPercent:        10,
	LoadOrdersPerMinute: 6,
}

// New returns an empty configuration at revision 0.
func New() *Config {
	return &Config{
		Policy:      DefaultPolicy,
		Contracts:   map[string]Contract{},
		Pools:       map[string]Pool{},
		Upstreams:   map[string]Upstream{},
		DataCentres: map[string]DataCentre{},
		Hosts:       map[string]Host{},
		Operators:   map[string]Operator{},
	}
}

// Change sets or deletes one object. Exactly one pointer is not nil: the object to set,
// or Delete, which names the object to delete.
type Change struct {
	Contract   *Contract   `json:"contract,omitempty" msgpack:"c,omitempty"`
	Pool       *Pool       `json:"pool,omitempty" msgpack:"p,omitempty"`
	Upstream   *Upstream   `json:"upstream,omitempty" msgpack:"u,omitempty"`
	DataCentre *DataCentre `json:"data_centre,omitempty" msgpack:"d,omitempty"`
	Host       *Host       `json:"host,omitempty" msgpack:"h,omitempty"`
	Operator   *Operator   `json:"operator,omitempty" msgpack:"o,omitempty"`
	Policy     *Policy     `json:"policy,omitempty" msgpack:"y,omitempty"`
	Delete     *ObjectRef  `json:"delete,omitempty" msgpack:"x,omitempty"`
	// IfRevision is the expected current revision of the object; 0 means that the object
	// must not exist.
	IfRevision uint64 `json:"if_revision" msgpack:"i"`
	// Routing replaces the routing document. Its version is checked instead of
	// IfRevision.
	Routing *Routing `json:"routing,omitempty" msgpack:"t,omitempty"`
}

// ObjectRef names an object, for example {"contract", "district-4"}.
type ObjectRef struct {
	Kind string `json:"kind" msgpack:"k"`
	Name string `json:"name" msgpack:"n"`
}

// Delta is the ordered list of changes from one revision to another.
type Delta struct {
	From    uint64          `msgpack:"f"`
	To      uint64          `msgpack:"t"`
	Changes []AppliedChange `msgpack:"c"`
}

// AppliedChange is an accepted change with the revision it produced.
type AppliedChange struct {
	Revision uint64 `msgpack:"r"`
	Change   Change `msgpack:"c"`
}
