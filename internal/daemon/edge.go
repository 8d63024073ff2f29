package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"marigoldshunt/internal/admission"
	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/config"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/edge"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/gateway"
	"marigoldshunt/internal/routing"
	"marigoldshunt/internal/settings"
	"marigoldshunt/internal/wire"
)

// Intervals of the edge.
const (
	// listInterval is the least time between two reads of the list of instances.
	listInterval = time.Second
	// loadsInterval is the time between two reports of loads to other hosts.
	loadsInterval = 100 * time.Millisecond
	idleInterval  = time.Second
	// demandsEvery is the number of reports of loads of which one tells the demands too.
	demandsEvery = 3
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
	log      logrus.FieldLogger
	gateway  *gateway.Server
	dispatch *gateway.Dispatch
	reader   *catalog.Reader
	admit    *admission.Admission
	table    atomic.Pointer[routing.Table]
	peers    atomic.Pointer[[]string]
	// told counts the reports of loads.
	told atomic.Uint64
}

func (d *Daemon) newEdge() *edgeRole {
	e := &edgeRole{d: d, s: d.s.Edge, log: d.part("edge")}
	if e.s == nil || d.o.Adapter == nil {
		e.s = nil
		return e
	}
	e.dispatch = gateway.NewDispatch(dispatch.New(dispatch.Options{Host: d.s.Host, DataCentre: d.s.DataCentre}), time.Now)
	e.admit = admission.New(admission.Options{
		Host: d.s.Host, Transport: d.peers, Now: time.Now, Log: d.part("admission"), Registry: d.registry,
	})
	for _, k := range admission.Kinds {
		d.peers.Handle(k, e.admit.Handle)
	}
	e.gateway = gateway.New(gateway.Options{
		View: e.view, Dialect: d.o.Adapter.Dialect(), Forward: d.engine, Dispatch: e.dispatch, Admission: e.admit,
		MaxConfigAge: e.s.ConfigMaxAge, HeaderBytes: d.s.CallerLimits.HeaderBytes,
		ReadTimeout: d.s.CallerLimits.ReadTimeout, Log: d.part("gateway"), Registry: d.registry,
	})
	e.reader = catalog.NewReader(catalog.Options{
		Source: d.o.Adapter.Instances(e.s.UpstreamList), Interval: listInterval,
		OnList: e.dispatch.SetInstances, Log: d.part("catalog"), Registry: d.registry,
	})
	d.peers.Handle(wire.KindLoads, e.handleLoads)
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
	for _, h := range hosts {
		if h.Alive {
			alive = append(alive, h.Host)
		}
	}
	e.peers.Store(&alive)
	e.admit.SetHosts(alive)
	e.dispatch.Update(func(d *dispatch.Dispatcher, _ time.Time) { d.SetHosts(alive) })
}

// handleLoads takes what another host has under way.
func (e *edgeRole) handleLoads(from string, _ uint64, _ wire.Kind, payload []byte) {
	var m wire.Loads
	if err := wire.Unmarshal(payload, &m); err != nil {
		e.log.WithError(err).WithField("from", from).Warn("Loads not readable.")
		return
	}
	loads := make([]dispatch.Load, len(m.Instances))
	for i, l := range m.Instances {
		loads[i] = dispatch.Load(l)
	}
	e.admit.Heard(from)
	e.dispatch.Update(func(d *dispatch.Dispatcher, now time.Time) {
		d.SetPeerLoads(from, loads, now)
		setGates(d, m.Gates, now)
		if m.Demands != nil {
			d.SetPeerDemands(from, m.Demands, m.Served, now)
		}
	})
}

func setGates(d *dispatch.Dispatcher, gates []wire.GateLoad, now time.Time) {
	for _, g := range gates {
		d.SetGate(catalog.Key{ID: g.ID, Born: g.Born}, dispatch.GateLoad{Backlog: g.Backlog, Running: g.Running, PerMs: g.PerMs}, now)
	}
}

// tellLoads reports the own loads to the other hosts.
func (e *edgeRole) tellLoads() {
	peers := e.peers.Load()
	if peers == nil {
		return
	}
	m := wire.Loads{Gates: e.admit.Loads()}
	tellDemands := e.told.Add(1)%demandsEvery == 0
	e.dispatch.Update(func(d *dispatch.Dispatcher, now time.Time) {
		setGates(d, m.Gates, now)
		if tellDemands {
			m.Demands, m.Served = d.OwnDemands(now)
		}
		for _, l := range d.OwnLoads() {
			m.Instances = append(m.Instances, wire.InstanceLoad(l))
		}
	})
	for _, host := range *peers {
		if host == e.d.s.Host {
			continue
		}
		if err := e.d.peers.Send(host, wire.KindLoads, &m); err != nil {
			e.log.WithError(err).WithField("to", host).Debug("Loads not sent.")
		}
	}
}

// run serves until ctx ends.
func (e *edgeRole) run(ctx context.Context) error {
	if e.s == nil {
		return nil
	}
	g, ctx := errgroup.WithContext(ctx)
	ln, err := net.Listen("tcp", e.s.GatewayAddress)
	if err != nil {
		return fault.Wrap(err, fault.InvalidSettings, "", "listen on %s", e.s.GatewayAddress)
	}
	g.Go(func() error { return e.gateway.Serve(ln) })
	g.Go(func() error { return e.reader.Run(ctx) })
	g.Go(func() error {
		return every(ctx, loadsInterval, func(now time.Time) {
			e.admit.Tick(now)
			e.tellLoads()
		})
	})
	g.Go(func() error { return every(ctx, idleInterval, e.gateway.CloseIdle) })
	for address, h := range map[string]http.Handler{
		e.s.OperatorAddress:  e.d.o.Adapter.Operators(e),
		e.s.DiscoveryAddress: e.d.o.Adapter.Callers(e),
		e.s.ReadinessAddress: e.d.o.Adapter.Readiness(e),
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
		return edge.Directory{}, fault.New(fault.HostIsolated, fault.NotRun, "no host is known yet").After(loadsInterval)
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
