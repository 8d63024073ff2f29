// Package admin implements the HTTP API of a host for operators.
package admin

import (
	"context"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/hlc"
	"marigoldshunt/internal/timeline"
	"marigoldshunt/internal/wire"
)

// OperatorActions is the part of the daemon that carries out requests of operators. Its
// errors are fault errors.
type OperatorActions interface {
	// Config returns the configuration that the host has applied.
	Config() *config.Config
	// Change commits all changes as one revision and returns it. A resend with the same
	// operator and request ID returns the first answer.
	Change(ctx context.Context, requestID, operator string, changes []config.Change) (uint64, error)
	// FormGroup forms the control group from these hosts.
	FormGroup(ctx context.Context, hosts []string) error
	// ReplaceReplica replaces the lost replica of a control host by the new one on the same
	// host.
	ReplaceReplica(ctx context.Context, host string) error
	// Order commits an order to an upstream. A resend with the same operator and request
	// ID returns the current state of the first order.
	Order(ctx context.Context, requestID, operator string, order Order) (OrderResponse, error)
	// LiftQuarantine lets all hosts admit a quarantined request or prompt part again. It fails with
	// NotFound if it has no crash marks.
	LiftQuarantine(ctx context.Context, fingerprint wire.Digest) error
	// Status returns a Status or a value with the same JSON structure.
	Status() any
}

// Timeline records the events of the host.
type Timeline interface {
	Add(component, kind string, kv ...string)
	Since(after uint64, limit int) []timeline.Event
}

// Metrics returns the current values of all metrics.
type Metrics interface {
	GetAll() map[string]map[string]any
}

// Order asks an upstream to load something, to change its role or to drain. Kind is
// load_model, load_adapter, load_version, change_role or drain. Name is the model,
// adapter, version or role, and empty for drain.
type Order struct {
	Upstream string `json:"upstream"`
	Kind     string `json:"kind"`
	Name     string `json:"name"`
}

// OrderResponse is the state of an order. Status is pending, accepted or failed.
type OrderResponse struct {
	Fence   uint64 `json:"fence"`
	Status  string `json:"status"`
	Message string `json:"message,omitempty"`
}

// Limits of the server.
const (
	// maxBodyBytes is enough for a request with 6,800 contracts.
	maxBodyBytes = 16 << 20
	// unauthenticatedBodyBytes is the largest body that is read before an
	// unauthenticated request is refused.
	unauthenticatedBodyBytes = 1
	headerBytes              = 8 << 10
	maxConnections           = 256
	readTimeout              = 10 * time.Second
	writeTimeout             = 10 * time.Second
	idleTimeout              = time.Minute
	// requestTimeout limits the wait for the control group. An election takes at most
	// two election timeouts of 1 s, so there is a leader within this time.
	requestTimeout = 5 * time.Second
)

// Options configures a Server.
type Options struct {
	Host            string
	OperatorActions OperatorActions
	Timeline        Timeline
	Metrics         Metrics
	Clock           *hlc.Clock
	// BootstrapHashes are hex SHA-256 hashes of credentials that are accepted until the
	// configuration has an operator with a credential.
	BootstrapHashes []string
	Log             logrus.FieldLogger
	Registry        metrics.Registry
}

// Server answers requests of operators.
type Server struct {
	opts            Options
	log             logrus.FieldLogger
	http            *fasthttp.Server
	requests        metrics.Counter
	unauthenticated metrics.Counter
}

// New returns a server that does not listen yet.
func New(opts Options) *Server {
	if opts.Registry == nil {
		opts.Registry = metrics.NewRegistry()
	}
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	if opts.Clock == nil {
		opts.Clock = hlc.New(nil)
	}
	s := &Server{
		opts: opts, log: opts.Log.WithField("part", "admin"),
		requests:        metrics.GetOrRegisterCounter("admin.requests", opts.Registry),
		unauthenticated: metrics.GetOrRegisterCounter("admin.unauthenticated", opts.Registry),
	}
	s.http = &fasthttp.Server{
		Name:               "marigoldshunt",
		Handler:            s.withErrors(s.withRecovery(s.withOperator(s.route))),
		HeaderReceived:     s.limitUnauthenticatedBody,
		ErrorHandler:       s.handleReadError,
		Logger:             discardLogger{},
		Concurrency:        maxConnections,
		ReadBufferSize:     headerBytes,
		ReadTimeout:        readTimeout,
		WriteTimeout:       writeTimeout,
		IdleTimeout:        idleTimeout,
		MaxRequestBodySize: maxBodyBytes,
		CloseOnShutdown:    true,
	}
	return s
}

// Serve accepts connections on ln and answers requests until Shutdown.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// Shutdown closes the listener and waits until running requests have ended or ctx is done.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

// discardLogger drops the connection errors that fasthttp prints; the metrics and the
// codes in the error responses carry the same information.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
