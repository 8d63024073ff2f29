// Package engine is the HTTP/1.1 client for upstreams: model engines with the chat
// completions API, and plain services.
//
// The fasthttp client can't cancel a request by closing its connection, and it retries
// requests on its own. This package therefore manages its own connections, and uses
// fasthttp only to write requests and to parse responses. It never resends a request of
// which an upstream may have read any byte.
package engine

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// Request describes one attempt to serve a caller's request at an upstream.
type Request struct {
	Pool        config.Pool
	Upstream    string
	Address     string
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	// Header holds the headers of the caller that are passed on.
	Header [][2]string
	// ID identifies the request to the engine. It stays the same when a stream is resumed.
	ID string
	// IdempotencyKey is the idempotency key, which is passed on to plain services unchanged.
	IdempotencyKey string
	// PrefixDigest is the digest of the beginning of the prompt; engines use it in cache
	// events.
	PrefixDigest wire.Digest
	// Offset is the number of events that earlier attempts delivered to the caller.
	Offset int
	// Repeatable requests may be sent on a connection that the upstream may have dropped.
	Repeatable bool
	// Stream asks for server-sent events.
	Stream bool
}

// Sink receives the response. An error means that the caller has gone.
type Sink interface {
	// Begin is called at most once for each attempt, including one that resumes a stream;
	// a sink that is used for several attempts passes on only the first call. For a stream
	// it is called with the first event, for other responses after the last byte arrived.
	Begin(status int, contentType string, header [][2]string) error
	// Write receives whole events of a stream, or the whole body of another response.
	// The header passed to Begin has a Content-Length unless the response is streamed.
	// Write must not keep p.
	Write(p []byte) error
}

// Result says how an attempt ended.
type Result struct {
	Outcome wire.Outcome
	Status  int
	// Cost is in the pool's cost unit.
	Cost float64
	// TimeToFirstByte is the time to the first event of a stream, or to the header of
	// another response.
	TimeToFirstByte time.Duration
	RunTime         time.Duration
	// Instance is the instance id of the upstream, empty if unknown.
	Instance string
	// Queued is the queue length of the engine, -1 if unknown.
	Queued int
	// DeliveredEvents is the number of events that this attempt passed to the sink,
	// without the final [DONE]. An attempt that resumes the stream has the Offset of this
	// one plus DeliveredEvents.
	DeliveredEvents int
	// ResponseBegan is true if Sink.Begin was called.
	ResponseBegan bool
	// Err is nil for OutcomeDone.
	Err *fault.Error
}

// LoadReport is a load report of an upstream. Counts of -1 mean that the upstream responded
// without a report.
type LoadReport struct {
	Instance string `json:"instance"`
	Running  int    `json:"running"`
	Queued   int    `json:"queued"`
}

// CacheEvent lists the prompt prefixes that entered or left the cache of an engine.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Added and Removed are hex prefix digests.
	Added   []string `json:"added"`
	Removed []string `json:"removed"`
}

// CacheBatch is the result of CacheEvents.
type CacheBatch struct {
	// Seq is the sequence number of the latest event of the engine.
	Seq    uint64       `json:"seq"`
	Events []CacheEvent `json:"events"`
}

// Order instructs an upstream to change what it runs.
type Order struct {
	// Fence is the fencing number of the order, its log index.
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
	// IOTimeout bounds each read and write, so also the gap between two bytes of a response.
	IOTimeout time.Duration
	// IdleConnTimeout is how long an idle connection is kept.
	IdleConnTimeout time.Duration
	// MaxIdlePerAddress bounds the idle connections to one address.
	MaxIdlePerAddress int
	// MaxResponseBytes bounds the body of a response that is not streamed.
	MaxResponseBytes int
	// MaxEventBytes bounds one event of a stream.
	MaxEventBytes int
	Metrics       metrics.Registry
	// Now is the clock that measures durations.
	Now func() time.Time
}

// Defaults of Options.
const (
	defaultConnectTimeout    = time.Second
	defaultIOTimeout         = 60 * time.Second
	defaultIdleConnTimeout   = 30 * time.Second
	defaultMaxIdlePerAddress = 64
	defaultMaxResponseBytes  = 8 << 20
	defaultMaxEventBytes     = 1 << 20
	// readBufferBytes is also the size limit of a response header that fasthttp parses.
	readBufferBytes  = 16 << 10
	writeBufferBytes = 4 << 10
)

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	opts     Options
	connPool *connPool
}

// New returns a Client.
func New(opts Options) *Client {
	setDefault(&opts.ConnectTimeout, defaultConnectTimeout)
	setDefault(&opts.IOTimeout, defaultIOTimeout)
	setDefault(&opts.IdleConnTimeout, defaultIdleConnTimeout)
	setDefault(&opts.MaxIdlePerAddress, defaultMaxIdlePerAddress)
	setDefault(&opts.MaxResponseBytes, defaultMaxResponseBytes)
	setDefault(&opts.MaxEventBytes, defaultMaxEventBytes)
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	c := &Client{opts: opts}
	c.connPool = &connPool{opts: &c.opts, idleConns: map[string][]*conn{}, openCount: map[string]int{}}
	return c
}

// Close closes the idle connections. Connections in use are closed after their response.
func (c *Client) Close() { c.connPool.close() }

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}
