package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"marigoldshunt/internal/admission"
	"marigoldshunt/internal/config"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/edge"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/gateway"
	"marigoldshunt/internal/loads"
	"marigoldshunt/internal/metricspage"
	"marigoldshunt/internal/native"
	"marigoldshunt/internal/routing"
	"marigoldshunt/internal/settings"
	"marigoldshunt/internal/wait"
	"marigoldshunt/internal/wire"
)

// Intervals of the edge.
const (
	// tickInterval is the interval of the gates' housekeeping.
	tickInterval = 100 * time.Millisecond
	idleInterval = time.Second
	// keepDirectory is how long callers may keep an answer of discovery.
	keepDirectory = 2 * time.Second
	// edgeHeaderTimeout bounds the calls of operators and discovery.
	edgeHeaderTimeout = 3 * time.Second
)

// edgeOperator is who changes the configuration through the installation's interface.
const edgeOperator = "edge"

// edgeRole serves routed services in the formats of an installation. All methods do
// nothing on a host without an edge.
type edgeRole struct {
	d        *Daemon
	s        *settings.Edge
	adapter  edge.Adapter
	log      logrus.FieldLogger
	gateway  *gateway.Server
	dispatch *gateway.Dispatch
	catalog  *catalogRole
	admit    *admission.Admission
	table    atomic.Pointer[routing.Table]

	loadsMu sync.Mutex
	loads   *loads.Exchange
}

func (d *Daemon) newEdge() *edgeRole {
	e := &edgeRole{d: d, s: d.s.Edge, log: d.part("edge")}
	if e.s == nil {
		return e
	}
	if e.adapter = d.o.Adapters[e.s.Adapter]; e.adapter == nil {
		e.adapter = native.Adapter{}
	}
	e.dispatch = gateway.NewDispatch(dispatch.New(dispatch.Options{Host: d.s.Host, DataCentre: d.s.DataCentre}), time.Now)
	e.admit = admission.New(admission.Options{
		Host: d.s.Host, Transport: d.peers, Now: time.Now, Busy: func() bool { return e.gateway.Busy() }, Log: d.part("admission"), Registry: d.registry,
	})
	for _, k := range admission.Kinds {
		d.peers.Handle(k, e.admit.Handle)
	}
	e.gateway = gateway.New(gateway.Options{
		View: e.view, Dialect: e.adapter.Dialect(), Forward: d.engine, Dispatch: e.dispatch, Admission: e.admit, Crashes: d.client,
		MaxConfigAge: e.s.ConfigMaxAge, HeaderBytes: d.s.CallerLimits.HeaderBytes,
		ReadTimeout: d.s.CallerLimits.ReadTimeout, MaxConnections: maxConnections(d.s), MaxRunning: maxRunning(d.s), Log: d.part("gateway"), Registry: d.registry,
	})
	e.catalog = newCatalogRole(d, e.adapter.Instances(e.s.UpstreamList), e.dispatch.SetInstances)
	e.loads = loads.New(d.s.Host, d.s.DataCentre)
	d.peers.Handle(wire.KindLoads, e.handleLoads)
	d.peers.Handle(wire.KindLoadSums, e.handleLoads)
	return e
}

// view implements the gateway's view of the configuration.
func (e *edgeRole) view() gateway.View {
	v := gateway.View{Table: e.table.Load(), Age: e.d.client.ConfigAge(), Leaving: e.d.client.Leaving()}
	if v.Age < 0 {
		v.Table = nil
	}
	return v
}

func (e *edgeRole) configChanged(c *config.Config) {
	if e.s == nil {
		return
	}
	if old := e.table.Load(); c.Routing != nil && (old == nil || old.Document.Version != c.Routing.Version) {
		e.log.WithField("version", c.Routing.Version).WithField("revision", c.Revision).Info("Routing document in force.")
		e.table.Store(routing.NewTable(&c.Routing.Document))
		e.dispatch.SetDocument(&c.Routing.Document)
	}
	out := map[string]bool{}
	for name, dc := range c.DataCentres {
		out[name] = dc.Out
	}
	e.dispatch.Update(func(d *dispatch.Dispatcher, _ time.Time) { d.SetOut(out) })
}

func (e *edgeRole) hostsChanged(hosts []wire.HostStatus) {
	if e.s == nil {
		return
	}
	var alive []string
	var places []loads.Host
	for _, h := range hosts {
		if h.Alive {
			alive = append(alive, h.Host)
			places = append(places, loads.Host{Name: h.Host, DataCentre: h.DataCentre})
		}
	}
	e.loadsMu.Lock()
	e.loads.SetHosts(places)
	e.loadsMu.Unlock()
	e.catalog.setHosts(alive)
	e.admit.SetHosts(alive)
	e.dispatch.Update(func(d *dispatch.Dispatcher, _ time.Time) { d.SetHosts(alive) })
}

// watchControl logs when this host loses and regains the control group.
func (e *edgeRole) watchControl(ctx context.Context) error {
	lost := true
	return every(ctx, tickInterval, func(time.Time) {
		age := e.d.client.ConfigAge()
		now := age < 0 || age > e.s.ConfigMaxAge
		if now == lost {
			return
		}
		l := e.log.WithField("leader", e.d.client.Leader()).WithField("config_age_ms", age.Milliseconds())
		if lost = now; lost {
			l.Warn("Control group lost. Requests are refused.")
			return
		}
		l.Info("Control group reached.")
	})
}

// run serves until ctx ends.
func (e *edgeRole) run(ctx context.Context) error {
	if e.s == nil {
		return nil
	}
	d := e.d
	g, ctx := errgroup.WithContext(ctx)
	// Probes cost four system calls for each connection. The idle time and the deadlines of
	// requests end connections whose callers are gone.
	lc := net.ListenConfig{KeepAlive: -1}
	ln, err := lc.Listen(ctx, "tcp", e.s.GatewayAddress)
	if err != nil {
		return fault.Wrap(err, fault.InvalidSettings, "", "listen on %s", e.s.GatewayAddress)
	}
	g.Go(func() error { return e.gateway.Serve(ln) })
	context.AfterFunc(ctx, func() {
		if err := e.gateway.Close(); err != nil {
			e.log.WithError(err).Debug("Gateway not closed.")
		}
	})
	g.Go(func() error { return e.catalog.run(ctx) })
	g.Go(func() error { return every(ctx, tickInterval, e.admit.Tick) })
	g.Go(func() error { return e.tellLoads(ctx) })
	g.Go(func() error { e.gateway.WatchLag(ctx); return nil })
	g.Go(func() error { return e.watchControl(ctx) })
	g.Go(func() error {
		return every(ctx, idleInterval, func(now time.Time) {
			e.gateway.CloseIdle(now)
			e.gateway.SetCrashMarks(d.client.Marks())
		})
	})
	for address, h := range map[string]http.Handler{
		e.s.OperatorAddress:  e.adapter.Operators(e),
		e.s.DiscoveryAddress: e.adapter.Callers(e),
		e.s.ReadinessAddress: e.adapter.Readiness(e),
		e.s.MetricsAddress:   metricspage.Handler(d.registry, e.gauges),
	} {
		if address != "" {
			g.Go(func() error { return serveHTTP(ctx, address, h) })
		}
	}
	return g.Wait()
}

// every calls f at an interval until ctx ends.
func every(ctx context.Context, d time.Duration, f func(now time.Time)) error {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			f(now)
		}
	}
}

// serveHTTP serves small calls until ctx ends.
func serveHTTP(ctx context.Context, address string, h http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Wrap(err, fault.InvalidSettings, "", "listen on %s", address)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: edgeHeaderTimeout}
	context.AfterFunc(ctx, func() { s.Close() })
	return ignoreClosed(ctx, s.Serve(ln))
}

// Parts of the shutdown deadline.
const (
	// acceptShare is the part in which callers that still hold the address may connect.
	acceptShare = 0.3
	// exitMargin is left for the end of the process.
	exitMargin = 600 * time.Millisecond
)

// leave serves callers that still hold the address, then lets running requests end.
func (e *edgeRole) leave(ctx context.Context) {
	end := time.Now().Add(e.d.s.ShutdownDeadline - exitMargin)
	accept := time.Duration(float64(e.d.s.ShutdownDeadline) * acceptShare)
	wait.For(ctx, accept)
	limit, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if err := e.gateway.Shutdown(limit); err != nil {
		e.log.WithError(err).Warn("Connections of callers not closed.")
	}
}
