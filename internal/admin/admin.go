// Package admin is the HTTP API of a host for operators.
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
)

// Controller is the part of the daemon that acts on requests of operators. Its errors
// are fault errors.
type Controller interface {
	// Config returns the configuration that the host has applied.
	Config() *config.Config
	// Change commits changes as one and returns the new revision. A resend with the same
	// operator and request id returns the first answer.
	Change(ctx context.Context, requestID, operator string, changes []config.Change) (uint64, error)
	// Init forms the control group of these hosts.
	Init(ctx context.Context, hosts []string) error
	// Replace gives a control host with a new replica id its vote back.
	Replace(ctx context.Context, host string) error
	// Order commits an order to an upstream. A resend with the same operator and request
	// id returns the current state of the first.
	Order(ctx context.Context, requestID, operator string, order Order) (OrderAnswer, error)
	// Status describes the host, as Status or a value with the same JSON form.
	Status() any
}

// Timeline keeps the events of the host.
type Timeline interface {
	Add(part, kind string, kv ...string)
	Since(after uint64, limit int) []timeline.Event
}

// Metrics gives the current values of all metrics.
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

// OrderAnswer is the state of an order. Status is pending, accepted or failed.
type OrderAnswer struct {
	Fence   uint64 `json:"fence"`
	Status  string `json:"status"`
	Message string `json:"message,omitempty"`
}

// Limits of the server.
const (
	// maxBodyBytes holds a request with 6,800 contracts.
	maxBodyBytes = 16 << 20
	// strangerBodyBytes is the body that is read before an unauthenticated request is
	// refused.
	strangerBodyBytes = 1
	headerBytes       = 8 << 10
	maxConnections    = 256
	readTimeout       = 10 * time.Second
	writeTimeout      = 10 * time.Second
	idleTimeout       = time.Minute
	// requestTimeout bounds the wait for the control group. An election takes at most
	// two election timeouts of 1 s, so a leader is found within it.
	requestTimeout = 5 * time.Second
)

// Options configure a Server.
type Options struct {
	Host       string
	Controller Controller
	Timeline   Timeline
	Metrics    Metrics
	Clock      *hlc.Clock
	// BootstrapHashes are hex SHA-256 hashes of credentials that are accepted until the
	// configuration has an operator with a credential.
	BootstrapHashes []string
	Log             logrus.FieldLogger
	Registry        metrics.Registry
}

// Server answers requests of operators.
type Server struct {
	o        Options
	log      logrus.FieldLogger
	http     *fasthttp.Server
	requests metrics.Counter
	refused  metrics.Counter
}

// New returns a server that does not listen yet.
func New(o Options) *Server {
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	if o.Clock == nil {
		o.Clock = hlc.New(nil)
	}
	s := &Server{
		o: o, log: o.Log.WithField("part", "admin"),
		requests: metrics.GetOrRegisterCounter("admin.requests", o.Registry),
		refused:  metrics.GetOrRegisterCounter("admin.unauthenticated", o.Registry),
	}
	s.http = &fasthttp.Server{
		Name:               "marigoldshunt",
		Handler:            s.withErrors(s.withRecovery(s.withOperator(s.route))),
		HeaderReceived:     s.limitStrangers,
		ErrorHandler:       s.badRequest,
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

// Serve answers requests on ln until Shutdown.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// Shutdown closes the listener and waits until running requests have ended or ctx has.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

// discardLogger drops the connection errors that fasthttp prints; the metrics and the
// typed answers carry the same information.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
