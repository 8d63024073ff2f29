// Package routing defines the routing document: which requests go to which services, with
// which limits, and who may send them. Operators replace the whole document at once and
// assign its version.
//
// The package is pure: it parses nothing and does no I/O.
package routing

import (
	"slices"
	"time"
)

// Kind determines whether the gateway may run a request more than once.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once per attempt of the caller.
	NonIdempotent Kind = "non_idempotent"
	// Stream requests get a stream of events with increasing ids in response. They run at
	// most once, unless the route is resumable.
	Stream Kind = "stream"
)

// WeightedService is a service and its weight in the traffic split of a route.
type WeightedService struct {
	Service string `json:"service" msgpack:"s"`
	Weight  int    `json:"weight" msgpack:"w"`
}

// Route maps the requests for one host name and path prefix to services.
type Route struct {
	Name       string            `json:"name" msgpack:"n"`
	Host       string            `json:"host" msgpack:"h"`
	PathPrefix string            `json:"path_prefix" msgpack:"p"`
	Kind       Kind              `json:"kind" msgpack:"k"`
	Split      []WeightedService `json:"split" msgpack:"s"`
	// Attempts is the maximum number of upstreams that may run one request of a caller.
	Attempts int `json:"attempts" msgpack:"a"`
	// Timeout bounds the time until the final response to a request.
	Timeout time.Duration `json:"timeout" msgpack:"t"`
	// Objective is the latency objective, the target time until the whole response or, for
	// streams, the first event. A later response is worth less.
	Objective time.Duration `json:"objective" msgpack:"o"`
	// EventGap is the longest pause between two events of a stream that still counts as on
	// time; 0 if not declared. Hosts count the streams with a longer one; no decision depends
	// on it, because only the upstream can shorten a pause.
	EventGap time.Duration `json:"event_gap" msgpack:"g"`
	// Priority 0 is the highest. A host that is nearly full refuses requests of lower priority
	// first. The order at engines does not depend on it; see dispatch.Rank.
	Priority int `json:"priority" msgpack:"r"`
	// Public routes need no credential.
	Public bool `json:"public" msgpack:"b"`
	// Resumable streams may continue at another upstream after the last delivered event.
	Resumable bool `json:"resumable" msgpack:"m"`
	// PromptAffinity is true if the route's requests list the parts of their prompt.
	PromptAffinity bool `json:"prompt_affinity" msgpack:"f"`
}

// AllowsRerun reports whether the route's requests may run more than once.
func (r *Route) AllowsRerun() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Equal reports whether two routes are the same.
func (r *Route) Equal(o *Route) bool {
	return r.Name == o.Name && r.Host == o.Host && r.PathPrefix == o.PathPrefix && r.Kind == o.Kind &&
		slices.Equal(r.Split, o.Split) && r.Attempts == o.Attempts && r.Timeout == o.Timeout &&
		r.Objective == o.Objective && r.EventGap == o.EventGap && r.Priority == o.Priority &&
		r.Public == o.Public && r.Resumable == o.Resumable && r.PromptAffinity == o.PromptAffinity
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int `json:"slots" msgpack:"s"`
	// MemoryTokens is the memory in tokens that running requests and cached prompt parts share.
	MemoryTokens int `json:"memory_tokens" msgpack:"m"`
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int `json:"tokens_per_event" msgpack:"t"`
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name       string `json:"name" msgpack:"n"`
	HealthPath string `json:"health_path" msgpack:"h"`
	// MaxConnections is the number of connections that one upstream accepts from all hosts
	// together; 0 means no limit.
	MaxConnections int `json:"max_connections" msgpack:"c"`
	// WarmUpTime is the warm-up time of an upstream: how long it counts as cold after its
	// start.
	WarmUpTime time.Duration `json:"cold_for" msgpack:"d"`
	// ColdPerSecond is the requests per second that a cold upstream can take from all hosts
	// together; 0 means no limit.
	ColdPerSecond float64 `json:"cold_per_second" msgpack:"r"`
	// Engine is nil for services without model engines.
	Engine *Engine `json:"engine,omitempty" msgpack:"e"`
}

// Account is a client account with its credentials.
type Account struct {
	Name string `json:"name" msgpack:"n"`
	// Credentials are omitted from status pages and logs (see config.Redacted).
	Credentials []string `json:"credentials,omitempty" msgpack:"c"`
	// Priority overrides the route's; nil if the account has none.
	Priority *int `json:"priority,omitempty" msgpack:"p"`
}

// DefaultBodyBytes bounds request bodies if the document sets no limit, because a host keeps
// a body in memory until the request has ended.
const DefaultBodyBytes = 4 << 20

// Limits bound what callers may send. If IdleTimeout is 0, idle connections are not closed.
type Limits struct {
	// HeaderBytes bounds the request line and the header together; 0 means the limit in the
	// settings of the host, which holds in any case.
	HeaderBytes int `json:"header_bytes" msgpack:"h"`
	// BodyBytes bounds the body of a request; 0 means DefaultBodyBytes.
	BodyBytes int `json:"body_bytes" msgpack:"b"`
	// HeaderTimeout bounds the time to read a header, from the connect or from the first byte
	// of a later request; 0 means the limit in the settings of the host, which holds in any
	// case.
	HeaderTimeout time.Duration `json:"header_timeout" msgpack:"t"`
	IdleTimeout   time.Duration `json:"idle_timeout" msgpack:"i"`
	// TokensPerSecond is the total throughput of the engines, from which the fair shares of
	// accounts follow. Each token read counts once, each token generated twice. 0 means that
	// there are no shares.
	TokensPerSecond float64 `json:"tokens_per_second" msgpack:"k"`
}

// Document is a complete routing configuration.
type Document struct {
	Version  uint64    `json:"version" msgpack:"v"`
	Routes   []Route   `json:"routes" msgpack:"r"`
	Services []Service `json:"services" msgpack:"s"`
	Accounts []Account `json:"accounts" msgpack:"a"`
	Limits   Limits    `json:"limits" msgpack:"l"`
}

// Clone returns a deep copy.
func (d *Document) Clone() Document {
	n := *d
	n.Routes, n.Services, n.Accounts = slices.Clone(d.Routes), slices.Clone(d.Services), slices.Clone(d.Accounts)
	for i := range n.Routes {
		n.Routes[i].Split = slices.Clone(n.Routes[i].Split)
	}
	for i := range n.Services {
		n.Services[i].Engine = clonePointer(n.Services[i].Engine)
	}
	for i := range n.Accounts {
		a := &n.Accounts[i]
		a.Credentials, a.Priority = slices.Clone(a.Credentials), clonePointer(a.Priority)
	}
	return n
}

func clonePointer[T any](p *T) *T {
	if p == nil {
		return nil
	}
	v := *p
	return &v
}
