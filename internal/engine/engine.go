// Package engine calls upstreams over HTTP/1.1: model engines with the chat
// completions interface and plain services.
//
// The client of fasthttp has no way to cancel one call by closing its connection, and
// it repeats calls on its own. This package therefore owns its connections, and uses
// fasthttp only to write requests and to parse answers. No call is ever repeated here.
package engine

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// Request is one attempt at an upstream.
type Request struct {
	Pool        config.Pool
	Upstream    string
	Address     string
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	// Header holds request headers of the caller that are passed on.
	Header [][2]string
	// ID identifies the request to the engine, also when its stream is resumed.
	ID string
	// Key is the idempotency key, which plain services receive unchanged.
	Key string
	// Prefix identifies the beginning of the prompt; engines name it in cache events.
	Prefix wire.Digest
	// Offset is the number of events that earlier attempts delivered.
	Offset int
	// Stream asks for server-sent events.
	Stream bool
}

// Sink receives the answer. An error means that the caller went away.
type Sink interface {
	// Begin is called at most once per attempt, also for a resumed one; a sink that
	// spans several attempts passes on only the first call. A stream begins with its
	// first event, another answer after its last byte has arrived.
	Begin(status int, contentType string, header [][2]string) error
	// Write receives whole events of a stream, or the whole body of another answer.
	// Answers that are not streamed carry their Content-Length in Begin's header.
	// It must not keep p.
	Write(p []byte) error
}

// Result says how an attempt ended.
type Result struct {
	Outcome wire.Outcome
	Status  int
	// Cost is in the pool's cost unit.
	Cost float64
	// FirstByte is the time to the first event of a stream, or to the header of another
	// answer.
	FirstByte time.Duration
	Run       time.Duration
	// Instance is the upstream's instance identity, empty when unknown.
	Instance string
	// Queued is the engine's queue length, -1 when unknown.
	Queued int
	// Delivered is the number of events that this attempt gave to the sink, without
	// the final [DONE]. A resumed attempt starts at Offset + Delivered.
	Delivered int
	// Began is true when Sink.Begin was called.
	Began bool
	// Err is nil for OutcomeDone.
	Err *fault.Error
}

// Load is a load report of an upstream. Counts of -1 mean that the upstream answered
// without a report.
type Load struct {
	Instance string `json:"instance"`
	Running  int    `json:"running"`
	Queued   int    `json:"queued"`
}

// CacheEvent says which prefix digests entered or left an engine's cache.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Added and Removed are hex prefix digests.
	Added   []string `json:"added"`
	Removed []string `json:"removed"`
}

// CacheBatch is an answer to CacheEvents.
type CacheBatch struct {
	// Seq is the number of the engine's latest event.
	Seq    uint64       `json:"seq"`
	Events []CacheEvent `json:"events"`
}

// Order tells an upstream to change what it runs.
type Order struct {
	// Fence is the log index of the order.
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Options configure a Client. Zero values take the defaults.
type Options struct {
	ConnectTimeout time.Duration
	// IdleTimeout is the longest gap between two bytes of an answer.
	IdleTimeout time.Duration
	// KeepIdle is how long an unused connection is kept.
	KeepIdle time.Duration
	// MaxIdlePerAddress bounds the unused connections of one upstream.
	MaxIdlePerAddress int
	// MaxAnswerBytes bounds an answer that is not streamed.
	MaxAnswerBytes int
	// MaxEventBytes bounds one event of a stream.
	MaxEventBytes int
	Metrics       metrics.Registry
	// Now is the clock of durations.
	Now func() time.Time
}

// Defaults of Options.
const (
	defaultConnectTimeout = time.Second
	defaultIdleTimeout    = 60 * time.Second
	defaultKeepIdle       = 30 * time.Second
	defaultMaxIdle        = 64
	defaultMaxAnswerBytes = 8 << 20
	defaultMaxEventBytes  = 1 << 20
	// readBufferBytes also bounds the header of an answer.
	readBufferBytes  = 16 << 10
	writeBufferBytes = 4 << 10
)

// Client calls upstreams. It is safe for concurrent use.
type Client struct {
	o    Options
	pool *pool
}

// New returns a Client.
func New(o Options) *Client {
	setDefault(&o.ConnectTimeout, defaultConnectTimeout)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.KeepIdle, defaultKeepIdle)
	setDefault(&o.MaxIdlePerAddress, defaultMaxIdle)
	setDefault(&o.MaxAnswerBytes, defaultMaxAnswerBytes)
	setDefault(&o.MaxEventBytes, defaultMaxEventBytes)
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	c := &Client{o: o}
	c.pool = &pool{o: &c.o, idle: map[string][]*conn{}, open: map[string]int{}}
	return c
}

// Close closes the unused connections.
func (c *Client) Close() { c.pool.close() }

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}
