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
	// tickInterval is the interval of the periodic work of admission and of the check whether
	// the control group is reachable.
	tickInterval      = 100 * time.Millisecond
	idleCheckInterval = time.Second
	// discoveryTTL is how long callers may keep a discovery answer.
	discoveryTTL = 2 * time.Second
	// httpHeaderTimeout bounds reading a request header on the edge's ports other than the
	// gateway's.
	httpHeaderTimeout = 3 * time.Second
	// httpTimeout bounds reading a request, and its response, on these ports, httpIdleTimeout
	// the wait for another request.
	httpTimeout     = 30 * time.Second
	httpIdleTimeout = time.Minute
)

// edgeOperator is the operator name for configuration changes that come through the
// installation's interface.
const edgeOperator = "edge"

// edgeRole serves routed services in the formats of an installation. On a host without an
// edge, settings is nil and the callbacks and run do nothing.
type edgeRole struct {
	d            *Daemon
	settings     *settings.Edge
	adapter      edge.Adapter
	log          logrus.FieldLogger
	gateway      *gateway.Server
	dispatcher   *gateway.LockedDispatcher
	catalog      *catalogRole
	admission    *admission.Admission
	routingTable atomic.Pointer[routing.Table]

	loadsMu sync.Mutex
	loads   *loads.Exchange
}

func (d *Daemon) newEdgeRole() *edgeRole {
	e := &edgeRole{d: d, settings: d.settings.Edge, log: d.logFor("edge")}
	if e.settings == nil {
		return e
	}
	if e.adapter = d.opts.Adapters[e.settings.Adapter]; e.adapter == nil {
		e.adapter = native.Adapter{}
	}
	e.dispatcher = gateway.NewLockedDispatcher(dispatch.New(dispatch.Options{Host: d.settings.Host, DataCentre: d.settings.DataCentre, Limits: e.settings.Bounds.Dispatch}), time.Now)
	e.admission = admission.New(admission.Options{
		Host: d.settings.Host, Transport: d.peers, Now: time.Now, Busy: func() bool { return e.gateway.Busy() }, Log: d.logFor("admission"), Registry: d.registry,
	})
	for _, k := range admission.Kinds {
		d.peers.Handle(k, e.admission.Handle)
	}
	e.gateway = gateway.New(gateway.Options{
		View: e.view, HeaderNames: e.adapter.HeaderNames(), Forwarder: d.engine, Dispatcher: e.dispatcher, Admission: e.admission, CrashStore: d.controlClient, StreamStore: d.controlClient,
		MaxAges: e.maxAges(), MaxHeaderBytes: d.settings.CallerLimits.HeaderBytes,
		ReadHeaderTimeout: d.settings.CallerLimits.ReadTimeout, MaxConnections: maxConnections(d.settings), MaxRunning: maxRunning(d.settings), MaxBodyMemory: maxBodyMemory(d.settings), MaxBufferedBytes: maxBufferedBytes(d.settings),
		ConfirmList: func() { e.catalog.confirmList() }, Offload: e.offloadOptions(), Log: d.logFor("gateway"), Registry: d.registry,
	})
	e.catalog = newCatalogRole(d, e.settings.ListMaxAge, e.adapter.InstanceSource(e.settings.UpstreamList), e.gateway.SetInstances, e.gateway.ReportVersions)
	e.loads = loads.New(d.settings.Host, d.settings.DataCentre)
	d.peers.Handle(wire.KindLoads, e.handleLoads)
	d.peers.Handle(wire.KindLoadSums, e.handleLoads)
	return e
}

// view returns the gateway's view of the configuration.
func (e *edgeRole) view() gateway.View {
	// The clock is read once, because that costs a system call on each request.
	now := e.d.clock.Now()
	v := gateway.View{Table: e.routingTable.Load(), Age: e.d.controlClient.ConfigAgeAt(now), Leaving: e.d.controlClient.Leaving()}
	if v.Age < 0 {
		v.Table = nil
	}
	v.ListAge, v.ListVersion = e.catalog.version()
	v.ListContactAge = e.catalog.contactAge(now)
	return v
}

func (e *edgeRole) configChanged(c *config.Config) {
	if e.settings == nil {
		return
	}
	if old := e.routingTable.Load(); c.Routing != nil && (old == nil || old.Document.Version != c.Routing.Version) {
		e.log.WithField("version", c.Routing.Version).WithField("revision", c.Revision).Info("Routing document is in force.")
		e.routingTable.Store(routing.NewTable(&c.Routing.Document))
		e.dispatcher.SetDocument(&c.Routing.Document)
	}
	out := map[string]bool{}
	for name, dc := range c.DataCentres {
		out[name] = dc.Out
	}
	e.dispatcher.Update(func(d *dispatch.Dispatcher, _ time.Time) { d.SetDataCentresOut(out) })
}

func (e *edgeRole) hostsChanged(hosts []wire.HostStatus) {
	if e.settings == nil {
		return
	}
	var aliveNames []string
	var aliveHosts []loads.Host
	for _, h := range hosts {
		if h.Alive {
			aliveNames = append(aliveNames, h.Host)
			aliveHosts = append(aliveHosts, loads.Host{Name: h.Host, DataCentre: h.DataCentre})
		}
	}
	e.loadsMu.Lock()
	e.loads.SetHosts(aliveHosts)
	e.loadsMu.Unlock()
	e.catalog.setHosts(aliveNames)
	e.admission.SetHosts(aliveNames)
	e.gateway.SetHosts(e.d.settings.Host, aliveNames)
	e.gateway.SetOffloadHosts(e.offloadHosts(hosts))
	e.dispatcher.Update(func(d *dispatch.Dispatcher, _ time.Time) { d.SetHosts(aliveNames) })
}

func (e *edgeRole) crashMarksChanged(marks []wire.CrashMark) {
	if e.settings != nil {
		e.gateway.SetCrashMarks(marks)
	}
}

// logControlReachability logs when this host loses and regains contact with the control group.
func (e *edgeRole) logControlReachability(ctx context.Context) error {
	lost := true
	return runEvery(ctx, tickInterval, func(time.Time) {
		age := e.d.controlClient.ConfigAge()
		isLost := age < 0 || age > e.settings.ConfigMaxAge
		if isLost == lost {
			return
		}
		l := e.log.WithField("leader", e.d.controlClient.Leader()).WithField("config_age_ms", age.Milliseconds())
		if lost = isLost; lost {
			l.Warn("Control group lost. Requests are refused.")
			return
		}
		l.Info("Control group reached.")
	})
}

// run serves until ctx ends.
func (e *edgeRole) run(ctx context.Context) error {
	if e.settings == nil {
		return nil
	}
	d := e.d
	g, ctx := errgroup.WithContext(ctx)
	// TCP keep-alive is off because it costs four system calls for each connection. The idle
	// timeout and the deadlines of requests end connections whose callers are gone.
	lc := net.ListenConfig{KeepAlive: -1}
	ln, err := lc.Listen(ctx, "tcp", e.settings.GatewayAddress)
	if err != nil {
		return fault.Wrap(err, fault.InvalidSettings, "", "listen on %s", e.settings.GatewayAddress)
	}
	g.Go(func() error { return e.gateway.Serve(ln) })
	if e.settings.OffloadAddress != "" {
		offloadLn, err := lc.Listen(ctx, "tcp", e.settings.OffloadAddress)
		if err != nil {
			return fault.Wrap(err, fault.InvalidSettings, "", "listen on %s", e.settings.OffloadAddress)
		}
		g.Go(func() error { return e.gateway.ServeOffloaded(offloadLn) })
	}
	context.AfterFunc(ctx, func() {
		if err := e.gateway.Close(); err != nil {
			e.log.WithError(err).Debug("Failed to close the gateway.")
		}
	})
	g.Go(func() error { return e.catalog.run(ctx) })
	g.Go(func() error { return runEvery(ctx, tickInterval, e.admission.Tick) })
	g.Go(func() error { return e.reportLoads(ctx) })
	g.Go(func() error { e.gateway.WatchLag(ctx); return nil })
	g.Go(func() error { return e.logControlReachability(ctx) })
	g.Go(func() error {
		return runEvery(ctx, gateway.ReportInterval, func(now time.Time) {
			e.gateway.ReportAccounts(now)
			e.gateway.ReportStreams()
		})
	})
	g.Go(func() error {
		return runEvery(ctx, idleCheckInterval, e.gateway.CloseIdle)
	})
	for address, h := range map[string]http.Handler{
		e.settings.OperatorAddress:  e.adapter.OperatorHandler(e),
		e.settings.DiscoveryAddress: e.adapter.DiscoveryHandler(e),
		e.settings.ReadinessAddress: e.adapter.ReadinessHandler(e),
		e.settings.MetricsAddress:   metricspage.Handler(d.registry, e.gauges),
	} {
		if address != "" {
			g.Go(func() error { return serveHTTP(ctx, address, h) })
		}
	}
	return g.Wait()
}

// runEvery calls f once per interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, f func(now time.Time)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			f(now)
		}
	}
}

// pageDrainTime bounds the wait for running responses when ctx ends. Pages are answered at once, and the
// process is about to end.
const pageDrainTime = 200 * time.Millisecond

// serveHTTP serves one of the edge's ports other than the gateway's until ctx ends and running responses
// have ended.
func serveHTTP(ctx context.Context, address string, h http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Wrap(err, fault.InvalidSettings, "", "listen on %s", address)
	}
	limited := newLimitListener(ln)
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: httpHeaderTimeout, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout, IdleTimeout: httpIdleTimeout,
		ConnState: limited.stateChanged,
	}
	drained := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(drained)
		drainCtx, cancel := context.WithTimeout(context.Background(), pageDrainTime)
		defer cancel()
		if s.Shutdown(drainCtx) != nil {
			_ = s.Close() // the process ends
		}
	})
	err = s.Serve(limited)
	if !stop() {
		<-drained
	}
	return ignoreClosed(ctx, err)
}

// Parts of the shutdown deadline.
const (
	// acceptShare is the part in which callers that still have this host's address from
	// discovery may connect.
	acceptShare = 0.3
	// exitMargin is reserved for the exit of the process.
	exitMargin = 600 * time.Millisecond
)

// shutdown first serves callers that still have this host's address from discovery, then
// waits for running requests to end.
func (e *edgeRole) shutdown(ctx context.Context) {
	deadline := time.Now().Add(e.d.settings.ShutdownDeadline - exitMargin)
	acceptTime := time.Duration(float64(e.d.settings.ShutdownDeadline) * acceptShare)
	wait.For(ctx, acceptTime)
	limitCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := e.gateway.Shutdown(limitCtx); err != nil {
		e.log.WithError(err).Warn("Failed to close all connections of callers.")
	}
}
