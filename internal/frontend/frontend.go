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

// Call is one authenticated and validated request of a caller.
type Call struct {
	ID          string
	Account     string
	Pool        string
	Kind        config.Kind
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	// Header holds the headers of the caller that plain services receive.
	Header [][2]string
	// Stream is true when the caller asked for server-sent events.
	Stream     bool
	Idempotent bool
	// Key is the idempotency key, a UUID version 7; empty where none was sent.
	Key string
	// Deadline is the caller's deadline, at most max_run + max_wait from arrival.
	Deadline    time.Time
	Fingerprint wire.Digest
	Prefix      wire.Digest
	InputCost   float64
}

// Answer receives the answer to a call. Errors mean that the caller went away.
type Answer interface {
	// Begin sends status and header; later calls of one answer are ignored. A
	// Content-Length in header makes the answer one of that fixed length.
	Begin(status int, contentType string, header [][2]string) error
	// Write sends p. It must follow Begin. A stream is flushed before Write returns.
	Write(p []byte) error
}

// Service serves calls. An error before Begin becomes a typed refusal. An error after
// Begin ends a stream visibly incomplete: it gets a typed error event, and the
// connection is closed without the terminating chunk. Answers to calls that are not
// streamed are sent when Serve has returned, so any error of theirs is a typed refusal.
type Service interface {
	Serve(ctx context.Context, call *Call, a Answer) error
}

// Directory is the host's view of configuration and fleet.
type Directory interface {
	Config() *config.Config
	// Current is false while the configuration has not been confirmed recently.
	Current() bool
	Hosts() []wire.HostStatus
	Leaving() bool
}

// Options configure a Server. Zero values take the defaults.
type Options struct {
	// Host is the name of this host, DataCentre where it stands.
	Host       string
	DataCentre string
	Directory  Directory
	Service    Service
	// MaxConnections bounds the open caller connections.
	MaxConnections int
	// MaxHeaderBytes bounds the request line and header.
	MaxHeaderBytes int
	// HeaderTimeout bounds reading one header, BodyTimeout reading one body,
	// IdleTimeout the wait for the next request, WriteTimeout one write to a caller.
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
