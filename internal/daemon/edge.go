package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"marigoldshunt/internal/admin"
	"marigoldshunt/internal/admission"
	"marigoldshunt/internal/catalog"
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
		Host: d.s.Host, Transport: d.peers, Now: time.Now, Log: d.part("admission"), Registry: d.registry,
	})
	for _, k := range admission.Kinds {
		d.peers.Handle(k, e.admit.Handle)
	}
	e.gateway = gateway.New(gateway.Options{
		View: e.view, Dialect: e.adapter.Dialect(), Forward: d.engine, Dispatch: e.dispatch, Admission: e.admit, Crashes: d.client,
		MaxConfigAge: e.s.ConfigMaxAge, HeaderBytes: d.s.CallerLimits.HeaderBytes,
		ReadTimeout: d.s.CallerLimits.ReadTimeout, Log: d.part("gateway"), Registry: d.registry,
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

// handleLoads takes the report of a host or the sums of a relay.
func (e *edgeRole) handleLoads(from string, _ uint64, kind wire.Kind, payload []byte) {
	var report wire.Loads
	var sums wire.LoadSums
	var err error
	if kind == wire.KindLoads {
		err = wire.Unmarshal(payload, &report)
	} else {
		err = wire.Unmarshal(payload, &sums)
	}
	if err != nil {
		e.log.WithError(err).WithField("from", from).Warn("Loads not readable.")
		return
	}
	now := time.Now()
	e.loadsMu.Lock()
	defer e.loadsMu.Unlock()
	if kind == wire.KindLoads {
		e.loads.HandleReport(from, report, now)
		return
	}
	e.loads.HandleSums(sums, now)
	e.useLoads(e.loads.Others(now))
}

// useLoads gives the loads of the other hosts to the decisions of this one.
func (e *edgeRole) useLoads(sums []wire.LoadSum) {
	e.dispatch.Update(func(d *dispatch.Dispatcher, now time.Time) {
		for _, sum := range sums {
			list := make([]dispatch.Load, len(sum.Loads.Instances))
			for i, l := range sum.Loads.Instances {
				list[i] = dispatch.Load(l)
			}
			d.SetPeerLoads(sum.DataCentre, list, now)
			d.SetPeerDemands(sum.DataCentre, sum.Loads.Demands, sum.Loads.Served, now)
			for _, g := range sum.Loads.Gates {
				d.SetGate(catalog.Key{ID: g.ID, Born: g.Born}, dispatch.GateLoad{Backlog: g.Backlog, Running: g.Running, PerMs: g.PerMs}, now)
			}
		}
	})
}

// tellLoads reports this host's loads until ctx ends. A relay also spreads the sums.
func (e *edgeRole) tellLoads(ctx context.Context) error {
	for ctx.Err() == nil {
		own := wire.Loads{Gates: e.admit.Loads()}
		e.dispatch.Update(func(d *dispatch.Dispatcher, now time.Time) {
			for _, l := range d.OwnLoads() {
				own.Instances = append(own.Instances, wire.InstanceLoad(l))
			}
			own.Demands, own.Served = d.OwnDemands(now)
		})
		now := time.Now()
		e.loadsMu.Lock()
		sends := e.loads.Tick(own, now)
		interval := e.loads.Interval()
		e.useLoads(e.loads.Others(now))
		e.loadsMu.Unlock()
		for _, s := range sends {
			if err := e.d.peers.Send(s.To, s.Kind, s.Msg); err != nil {
				e.log.WithError(err).WithField("to", s.To).Debug("Loads not sent.")
			}
		}
		wait(ctx, interval)
	}
	return nil
}

// run serves until ctx ends.
func (e *edgeRole) run(ctx context.Context) error {
	if e.s == nil {
		return nil
	}
	d := e.d
	g, ctx := errgroup.WithContext(ctx)
	ln, err := net.Listen("tcp", e.s.GatewayAddress)
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
	wait(ctx, accept)
	limit, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if err := e.gateway.Shutdown(limit); err != nil {
		e.log.WithError(err).Warn("Connections of callers not closed.")
	}
}

// Ready implements edge.Fleet.
func (e *edgeRole) Ready() bool {
	v := e.view()
	return v.Table != nil && v.Age <= e.s.ConfigMaxAge && !v.Leaving
}

// Resolve implements edge.Fleet. Callers are sent to the hosts of their own data centre
// while there are any.
func (e *edgeRole) Resolve(dataCentre string) (edge.Directory, error) {
	port := netip.MustParseAddrPort(e.s.GatewayAddress).Port()
	var near, all []string
	for _, h := range e.d.client.Hosts() {
		ip, err := netip.ParseAddr(h.Host)
		if err != nil || !h.Alive || h.Leaving {
			continue
		}
		address := netip.AddrPortFrom(ip, port).String()
		all = append(all, address)
		if h.DataCentre == dataCentre {
			near = append(near, address)
		}
	}
	if len(near) == 0 {
		near = all
	}
	if len(near) == 0 {
		return edge.Directory{}, fault.New(fault.HostIsolated, fault.NotRun, "no host is known yet").After(tickInterval)
	}
	return edge.Directory{Addresses: near, KeepFor: keepDirectory}, nil
}

// PutDocument implements edge.Fleet.
func (e *edgeRole) PutDocument(ctx context.Context, doc *routing.Document, source []byte) error {
	if err := doc.Check(); err != nil {
		return err
	}
	_, err := e.d.client.Change(ctx, uuid.NewString(), edgeOperator, []config.Change{{Routing: config.NewRouting(doc, source)}})
	e.logOrder("routing document", err, logrus.Fields{"version": doc.Version})
	return err
}

// Document implements edge.Fleet.
func (e *edgeRole) Document(ctx context.Context) ([]byte, error) {
	c, err := e.d.client.Confirm(ctx)
	if err != nil {
		return nil, err
	}
	if c.Routing == nil {
		return nil, fault.New(fault.NotFound, fault.NotRun, "there is no routing document yet")
	}
	return c.Routing.Source, nil
}

// SetOut implements edge.Fleet. The revision of the data centre is taken from the refusal
// when another order came first, since the last order of an operator counts.
func (e *edgeRole) SetOut(ctx context.Context, name string, out bool) error {
	revision := e.d.client.Config().DataCentres[name].Revision
	for {
		change := config.Change{DataCentre: &config.DataCentre{Name: name, Out: out}, IfRevision: revision}
		_, err := e.d.client.Change(ctx, uuid.NewString(), edgeOperator, []config.Change{change})
		if f := fault.As(err); f != nil && f.Code == fault.RevisionConflict && ctx.Err() == nil {
			revision = f.Revision
			continue
		}
		e.logOrder("data centre", err, logrus.Fields{"data_centre": name, "out": out})
		return err
	}
}

func (e *edgeRole) logOrder(what string, err error, fields logrus.Fields) {
	l := e.log.WithFields(fields).WithField("object", what)
	if err != nil {
		l.WithError(err).Warn("Order not acknowledged.")
		return
	}
	l.Info("Order acknowledged.")
}

// status describes the routed services for operators; nil without an edge.
func (e *edgeRole) status() *admin.EdgeStatus {
	if e.s == nil {
		return nil
	}
	out := &admin.EdgeStatus{Ready: e.Ready(), Running: e.gateway.Running(), ListAgeMS: e.catalog.age().Milliseconds()}
	if t := e.table.Load(); t != nil {
		out.Version = t.Document.Version
	}
	e.dispatch.Update(func(d *dispatch.Dispatcher, now time.Time) { out.Instances = d.Status(now) })
	return out
}

// gauges are what this host believes now.
func (e *edgeRole) gauges() map[string]float64 {
	st := e.status()
	out := map[string]float64{
		"edge.ready": indicator(st.Ready), "edge.version": float64(st.Version), "edge.running": float64(st.Running),
		"edge.list_age_seconds":      float64(st.ListAgeMS) / 1000,
		"control.config_age_seconds": e.d.client.ConfigAge().Seconds(),
		"control.revision":           float64(e.d.client.Config().Revision),
		"control.hosts_alive":        0,
	}
	for _, i := range st.Instances {
		out["edge.instances_"+i.State]++
	}
	for _, h := range e.d.client.Hosts() {
		out["control.hosts_alive"] += indicator(h.Alive)
	}
	if n := e.d.role.node.Load(); n != nil {
		c := n.Status()
		out["control.leads"] = indicator(c.Leader == e.d.s.Host)
		out["control.term"], out["control.applied"] = float64(c.Term), float64(c.Applied)
	}
	return out
}

func indicator(v bool) float64 {
	if v {
		return 1
	}
	return 0
}
