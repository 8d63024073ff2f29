// Package frontend is the HTTP server for callers.
package frontend

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/wire"
)

// Call is one authenticated and validated request from a caller.
type Call struct {
	ID          string
	Account     string
	Pool        string
	PoolKind    config.PoolKind
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	// Header holds the headers of the caller that are passed on to plain services.
	Header [][2]string
	// Stream is true if the caller asked for server-sent events.
	Stream     bool
	Idempotent bool
	// IdempotencyKey is the idempotency key, a UUID version 7; empty for idempotent
	// requests.
	IdempotencyKey string
	// Deadline is the caller's deadline, at most max_run + max_wait after arrival.
	Deadline     time.Time
	Fingerprint  wire.Digest
	PrefixDigest wire.Digest
	InputCost    float64
}

// ResponseWriter receives the response to a call. An error means that the call was
// cancelled: the caller has gone or the host is stopping.
type ResponseWriter interface {
	// Begin sets the status and header of the response; further calls are ignored. A
	// Content-Length in header fixes the length of the response.
	Begin(status int, contentType string, header [][2]string) error
	// Write writes p to the body. It must follow Begin. A stream is flushed before Write
	// returns.
	Write(p []byte) error
}

// CallHandler serves calls. An error before Begin becomes a typed error response. An error
// after Begin ends a stream so that the caller sees it as incomplete: a typed error event
// is sent, and the connection is closed without the terminating chunk. Responses to calls
// that are not streamed are sent after Serve has returned, so all their errors become typed
// error responses.
type CallHandler interface {
	Serve(ctx context.Context, call *Call, w ResponseWriter) error
}

// ControlView is the host's view of the configuration and of the list of hosts.
type ControlView interface {
	Config() *config.Config
	// ConfigCurrent reports whether the configuration was confirmed recently.
	ConfigCurrent() bool
	Hosts() []wire.HostStatus
	Leaving() bool
}

// Options configure a Server. Zero values take the defaults.
type Options struct {
	// Host is the name of this host, DataCentre that of its data centre.
	Host        string
	DataCentre  string
	ControlView ControlView
	CallHandler CallHandler
	// MaxConnections limits the open connections of callers.
	MaxConnections int
	// MaxHeaderBytes limits the request line and header.
	MaxHeaderBytes int
	// HeaderTimeout limits the time to read one header, BodyTimeout to read one body,
	// IdleTimeout to wait for the next request, WriteTimeout for one write to a caller.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	IdleTimeout   time.Duration
	WriteTimeout  time.Duration
	Metrics       metrics.Registry
	Log           *logrus.Logger
	Now           func() time.Time
	// NewID returns the id of a request.
	NewID func() string
}
