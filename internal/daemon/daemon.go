// Package daemon wires the parts of a host together: the peer transport, the control
// role and its client, the pool schedulers, the router, and the servers towards callers
// and operators.
package daemon

import (
	"context"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"marigoldshunt/internal/admin"
	"marigoldshunt/internal/config"
	"marigoldshunt/internal/control"
	"marigoldshunt/internal/edge"
	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/frontend"
	"marigoldshunt/internal/hlc"
	"marigoldshunt/internal/netopt"
	"marigoldshunt/internal/peer"
	"marigoldshunt/internal/platform"
	"marigoldshunt/internal/router"
	"marigoldshunt/internal/settings"
	"marigoldshunt/internal/timeline"
	"marigoldshunt/internal/wire"
)

// upstreamConnectTimeout bounds the time between the check of a grant and the first byte
// to the upstream. Together with the lease of a scheduler and the longest age of a grant
// it is part of the time in which a data centre that was taken out may still get work.
const upstreamConnectTimeout = 500 * time.Millisecond

// Options configures a Daemon. Only Settings is required.
type Options struct {
	Settings *settings.Settings
	// SettingsPath is the file that is read again when it changes; empty for none.
	SettingsPath string
	// Reload asks for the settings file at once.
	Reload  <-chan os.Signal
	Log     *logrus.Logger
	Version string
	// Dial opens peer connections; nil means TCP from the host's own peer address.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// PeerAddress maps a host's configured peer address; nil means the address itself.
	PeerAddress func(address string) string
	// Adapters speak the formats of installations, by the name in the settings; the native
	// one is always there.
	Adapters map[string]edge.Adapter
}

// bootClock is a monotonic clock that also runs while the machine is suspended. Leases
// and the age of the configuration must not stand still during a suspension.
type bootClock struct{}

// Now returns the time since the start of the machine.
func (bootClock) Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Only a kernel without this clock, older than Linux 2.6.39, refuses it.
		panic(err)
	}
	return time.Duration(t.Nano())
}

// Daemon is one host of the fleet.
type Daemon struct {
	o        Options
	s        *settings.Settings
	log      *logrus.Entry
	registry metrics.Registry
	boot     uint64
	clock    bootClock

	hlc      *hlc.Clock
	timeline *timeline.Ring
	peers    *peer.Node
	client   *control.Client
	role     *controlRole
	engine   *engine.Client
	router   *router.Router
	pools    *schedulers
	callers  *frontend.Server
	admin    *admin.Server
	platform *platform.Reader
	events   *recorder
	edge     *edgeRole
}

// New builds a daemon. It opens the data folder but no network port.
func New(o Options) *Daemon {
	if o.Log == nil {
		o.Log = logrus.New()
	}
	s := o.Settings
	d := &Daemon{
		o: o, s: s, log: o.Log.WithField("part", "daemon"),
		registry: metrics.NewRegistry(),
		boot:     uint64(time.Now().UnixMilli()),
		hlc:      hlc.New(time.Now),
	}
	d.timeline = timeline.NewRing(s.Host, d.hlc)
	d.events = newRecorder(d.timeline)
	d.peers = peer.New(peer.Options{
		Host: s.Host, Boot: d.boot, Key: s.PeerKey, Clock: d.hlc, Resolve: d.resolve,
		Dial: d.dialer(), Log: o.Log, Registry: d.registry,
	})
	d.client = control.NewClient(control.ClientOptions{
		Host: s.Host, Boot: d.boot, DataCentre: s.DataCentre, ControlHosts: controlHosts(s), Transport: d.peers,
		Clock: d.clock, Ticks: time.Tick(control.TickInterval), Log: d.part("control"),
		OnRoundTrip: metrics.GetOrRegisterTimer("control.round_trip", d.registry).Update,
	})
	d.engine = engine.New(engine.Options{Metrics: d.registry, ConnectTimeout: upstreamConnectTimeout})
	d.role = d.newControlRole()
	d.router = router.New(router.Options{
		Host: s.Host, Boot: d.boot, DataCentre: s.DataCentre, Sender: d.peers, Engine: d.engine,
		Control: d.client, Clock: d.clock, Log: d.part("router"), Registry: d.registry,
	})
	d.pools = newSchedulers(d)
	d.platform = platform.New(platform.Options{Source: s.PlatformHosts, Log: o.Log, Registry: d.registry})
	d.edge = d.newEdge()
	d.callers = d.newFrontend()
	d.admin = admin.New(admin.Options{
		Host: s.Host, Controller: operatorActions{d}, Timeline: d.timeline, Metrics: d.registry,
		Clock: d.hlc, BootstrapHashes: s.OperatorKeyHashes, Log: o.Log, Registry: d.registry,
	})
	d.connect()
	return d
}

func (d *Daemon) newFrontend() *frontend.Server {
	return frontend.New(frontend.Options{
		Host: d.s.Host, DataCentre: d.s.DataCentre, Directory: directory{d}, Service: d.router,
		MaxConnections: d.s.CallerLimits.MaxConnections, MaxHeaderBytes: d.s.CallerLimits.HeaderBytes,
		HeaderTimeout: d.s.CallerLimits.ReadTimeout, BodyTimeout: d.s.CallerLimits.ReadTimeout,
		Metrics: d.registry, Log: d.o.Log,
	})
}

func (d *Daemon) part(name string) *logrus.Entry { return d.o.Log.WithField("part", name) }

// controlHosts lists the names of the hosts through which the control group is found.
func controlHosts(s *settings.Settings) []string {
	var out []string
	for _, h := range s.ControlHosts {
		out = append(out, h.Name)
	}
	for _, a := range s.ControlSeeds {
		out = append(out, a.Addr().String())
	}
	return out
}

// resolve returns the peer address of a host: from the settings for control hosts,
// since they must be found before there is a configuration, else from the
// configuration.
func (d *Daemon) resolve(host string) (string, bool) {
	address := ""
	for _, h := range d.s.ControlHosts {
		if h.Name == host {
			address = h.Address
		}
	}
	if address == "" && len(d.s.ControlSeeds) > 0 {
		address = d.seededAddress(host)
	}
	if address == "" {
		address = d.client.Config().Hosts[host].PeerAddress
	}
	if address != "" && d.o.PeerAddress != nil {
		address = d.o.PeerAddress(address)
	}
	return address, address != ""
}

// seededAddress returns the peer address of a host that is named by its IP address.
func (d *Daemon) seededAddress(host string) string {
	ip, err := netip.ParseAddr(host)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(ip, netip.MustParseAddrPort(d.s.PeerAddress).Port()).String()
}

// dialer opens peer connections from the host's own address, so that the other side
// and filters between hosts see which host connects.
func (d *Daemon) dialer() func(ctx context.Context, address string) (net.Conn, error) {
	if d.o.Dial != nil {
		return d.o.Dial
	}
	local := &net.TCPAddr{}
	if a, err := net.ResolveTCPAddr("tcp", d.s.PeerListen); err == nil {
		local.IP = a.IP
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return netopt.Dialer(0, local).DialContext(ctx, "tcp", address)
	}
}

// connect routes messages and events between the parts.
func (d *Daemon) connect() {
	toPools := func(from string, boot uint64, kind wire.Kind, payload []byte) {
		d.pools.handle(from, boot, kind, payload)
	}
	for _, k := range []wire.Kind{wire.KindTicket, wire.KindCancel, wire.KindFinish, wire.KindBeat, wire.KindSync, wire.KindGrantReturn} {
		d.peers.Handle(k, toPools)
	}
	for _, k := range []wire.Kind{wire.KindGrant, wire.KindRefuse, wire.KindSyncRequest} {
		d.peers.Handle(k, d.router.Handle)
	}
	for _, k := range control.ClientKinds {
		d.peers.Handle(k, d.client.Handle)
	}
	d.role.connect(d.peers, d.client)
	d.peers.OnPeer(func(host string, _ uint64, up bool) {
		if up {
			d.router.PeerUp(host)
		}
	})
	d.client.OnConfig(func(c *config.Config) {
		d.events.config(c)
		d.pools.configChanged(c)
		d.edge.configChanged(c)
	})
	d.client.OnLeases(func(held, all []wire.Lease) {
		d.events.leases(held)
		d.pools.leasesChanged(held)
		d.router.LeasesChanged(all)
	})
	d.client.OnHosts(func(hosts []wire.HostStatus) {
		d.events.hosts(hosts)
		d.pools.hostsChanged(hosts)
		d.edge.hostsChanged(hosts)
	})
}

// listeners are the open ports of a host.
type listeners struct{ callers, admin, peer net.Listener }

func (d *Daemon) listen() (l listeners, err error) {
	for _, o := range []struct {
		address string
		ln      *net.Listener
	}{{d.s.PeerListen, &l.peer}, {d.s.AdminAddress, &l.admin}, {d.s.CallerAddress, &l.callers}} {
		if *o.ln, err = net.Listen("tcp", o.address); err != nil {
			l.close()
			return l, fault.Wrap(err, fault.InvalidSettings, "", "listen on %s", o.address)
		}
	}
	return l, nil
}

func (l listeners) close() {
	for _, ln := range []net.Listener{l.callers, l.admin, l.peer} {
		if ln != nil {
			ln.Close()
		}
	}
}

// Run serves until leave ends and the graceful shutdown is complete, or until abort
// ends. It returns the first failure of a part.
func (d *Daemon) Run(leave, abort context.Context) error {
	l, err := d.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(abort)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return ignoreClosed(ctx, d.peers.Serve(l.peer)) })
	g.Go(func() error { return ignoreClosed(ctx, d.admin.Serve(l.admin)) })
	g.Go(func() error { return ignoreClosed(leave, d.callers.Serve(l.callers)) })
	g.Go(func() error { return d.peers.Run(ctx) })
	g.Go(func() error { return d.client.Run(ctx) })
	g.Go(func() error { return d.role.run(ctx) })
	g.Go(func() error { return d.router.Run(ctx) })
	g.Go(func() error { return d.pools.run(ctx) })
	g.Go(func() error { return d.platform.Run(ctx) })
	g.Go(func() error { return d.edge.run(ctx) })
	g.Go(func() error { return d.formFromSeeds(ctx) })
	g.Go(func() error { return d.followSettings(ctx) })
	g.Go(func() error { return d.watchMemory(ctx) })
	g.Go(func() error {
		defer cancel()
		return d.shutdown(leave, ctx)
	})
	d.timeline.Add("daemon", "started", "version", d.o.Version)
	d.log.WithField("host", d.s.Host).Info("Host started.")
	err = g.Wait()
	d.role.close()
	d.log.Info("Host stopped.")
	return err
}

// ignoreClosed drops the error of a server that was closed on purpose.
func ignoreClosed(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
