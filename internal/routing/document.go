// Package routing holds the routing document: which requests go to which services, with
// which limits, and who may send them. Operators replace it as a whole under a version of
// their own.
//
// The package is pure: it parses nothing and does no I/O.
package routing

import "time"

// Kind says what a router may repeat.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once for each attempt of the caller.
	NonIdempotent Kind = "non_idempotent"
	// Stream requests are answered by a stream of events with increasing ids. They run at
	// most once, unless the route is resumable.
	Stream Kind = "stream"
)

// Share is one target of a route's weighted split.
type Share struct {
	Service string `json:"service" msgpack:"s"`
	Weight  int    `json:"weight" msgpack:"w"`
}

// Route sends the requests of one host name and path prefix to services.
type Route struct {
	Name       string  `json:"name" msgpack:"n"`
	Host       string  `json:"host" msgpack:"h"`
	PathPrefix string  `json:"path_prefix" msgpack:"p"`
	Kind       Kind    `json:"kind" msgpack:"k"`
	Split      []Share `json:"split" msgpack:"s"`
	// Attempts is the most upstreams that one attempt of a caller may be sent to.
	Attempts int `json:"attempts" msgpack:"a"`
	// Timeout is the longest time that a request may be kept without a final answer.
	Timeout time.Duration `json:"timeout" msgpack:"t"`
	// Objective is the time within which an answer is worth most: the whole answer, for
	// streams the first event.
	Objective time.Duration `json:"objective" msgpack:"o"`
	// EventGap is the longest pause between two events of a stream that is still on time;
	// 0 where it is not declared.
	EventGap time.Duration `json:"event_gap" msgpack:"g"`
	// Priority is the rank of the route; 0 is the highest.
	Priority int `json:"priority" msgpack:"r"`
	// Public routes need no credential.
	Public bool `json:"public" msgpack:"b"`
	// Resumable streams may go on at another upstream after their last delivered event.
	Resumable bool `json:"resumable" msgpack:"m"`
	// PromptAffinity marks routes whose requests describe the parts of their prompt.
	PromptAffinity bool `json:"prompt_affinity" msgpack:"f"`
}

// MayRepeat reports whether the route's requests may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int `json:"slots" msgpack:"s"`
	// MemoryTokens is the number of tokens that running requests and kept prompt parts share.
	MemoryTokens int `json:"memory_tokens" msgpack:"m"`
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int `json:"tokens_per_event" msgpack:"t"`
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name       string `json:"name" msgpack:"n"`
	HealthPath string `json:"health_path" msgpack:"h"`
	// MaxConnections is what one upstream accepts from all hosts together; 0 means no limit.
	MaxConnections int `json:"max_connections" msgpack:"c"`
	// ColdFor is how long an upstream stays cold after its start.
	ColdFor time.Duration `json:"cold_for" msgpack:"d"`
	// ColdPerSecond is the rate of requests that a cold upstream bears from all hosts
	// together; 0 means no limit.
	ColdPerSecond float64 `json:"cold_per_second" msgpack:"r"`
	// Engine is nil for plain services.
	Engine *Engine `json:"engine,omitempty" msgpack:"e"`
}

// Account is a client account with its credentials.
type Account struct {
	Name string `json:"name" msgpack:"n"`
	// Credentials are left out of status pages and logs (see config.Redacted).
	Credentials []string `json:"credentials,omitempty" msgpack:"c"`
	// Priority takes precedence over the route's; nil where the account has none.
	Priority *int `json:"priority,omitempty" msgpack:"p"`
}

// Limits bound what callers may send. Zero values mean no limit.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes" msgpack:"h"`
	BodyBytes     int           `json:"body_bytes" msgpack:"b"`
	HeaderTimeout time.Duration `json:"header_timeout" msgpack:"t"`
	IdleTimeout   time.Duration `json:"idle_timeout" msgpack:"i"`
	// TokensPerSecond is what the engines produce together: each token read counts once,
	// each token generated twice.
	TokensPerSecond float64 `json:"tokens_per_second" msgpack:"k"`
}

// Document is a whole routing configuration.
type Document struct {
	Version  uint64    `json:"version" msgpack:"v"`
	Routes   []Route   `json:"routes" msgpack:"r"`
	Services []Service `json:"services" msgpack:"s"`
	Accounts []Account `json:"accounts" msgpack:"a"`
	Limits   Limits    `json:"limits" msgpack:"l"`
}
