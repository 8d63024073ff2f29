// Package daemon assembles the components of a host: the peer transport, the control role
// and its client, the pool schedulers, the router, the edge for routed services, and the
// servers for callers and operators.
package daemon

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
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
	"marigoldshunt/internal/hostlist"
	"marigoldshunt/internal/netopt"
	"marigoldshunt/internal/peer"
	"marigoldshunt/internal/router"
	"marigoldshunt/internal/settings"
	"marigoldshunt/internal/timeline"
	"marigoldshunt/internal/wire"
)

// upstreamConnectTimeout bounds the time between the check of a grant and the first byte
// to the upstream. A data centre that was taken out of service may still get work for the
// sum of this, a scheduler's lease duration and the maximum age of a grant.
const upstreamConnectTimeout = 500 * time.Millisecond

// Options configures a Daemon. Only Settings is required.
type Options struct {
	Settings *settings.Settings
	// SettingsPath is the settings file, which is reloaded when it changes; empty for none.
	SettingsPath string
	// Reload triggers an immediate check of the settings file, which is reloaded if its
	// content has changed.
	Reload  <-chan os.Signal
	Log     *logrus.Logger
	Version string
	// Dial opens peer connections; nil means TCP from the host's own peer address.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MapPeerAddress maps a host's configured peer address to the one to dial; nil means no
	// mapping.
	MapPeerAddress func(address string) string
	// Adapters implement the formats of installations, by their name in the settings. The
	// native adapter is always available.
	Adapters map[string]edge.Adapter
}

// boottimeClock is a monotonic clock that also runs while the machine is suspended, because
// leases and the configuration must keep ageing during a suspension.
type boottimeClock struct{}

// Now returns the time since the start of the machine.
func (boottimeClock) Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// This fails only on kernels older than Linux 2.6.39, which lack this clock.
		panic(err)
	}
	return time.Duration(t.Nano())
}

// Daemon is one host of the fleet.
type Daemon struct {
	opts     Options
	settings *settings.Settings
	// controlSettings are the last valid settings. Only their control_hosts and control_seeds
	// are used.
	controlSettings atomic.Pointer[settings.Settings]
	log             *logrus.Entry
	registry        metrics.Registry
	// boot identifies the run of the daemon: its start time in Unix milliseconds.
	boot  uint64
	clock boottimeClock

	hlc           *hlc.Clock
	timeline      *timeline.Ring
	peers         *peer.Node
	controlClient *control.Client
	controlRole   *controlRole
	engine        *engine.Client
	router        *router.Router
	schedulers    *schedulers
	callerServer  *frontend.Server
	adminServer   *admin.Server
	hostList      *hostlist.Reader
	recorder      *recorder
	edge          *edgeRole
}

// New builds a daemon. It opens the data folder but no network port.
func New(opts Options) *Daemon {
	if opts.Log == nil {
		opts.Log = logrus.New()
	}
	s := opts.Settings
	d := &Daemon{
		opts: opts, settings: s, log: opts.Log.WithField("part", "daemon"),
		registry: metrics.NewRegistry(),
		boot:     uint64(time.Now().UnixMilli()),
		hlc:      hlc.New(time.Now),
	}
	d.controlSettings.Store(s)
	d.timeline = timeline.NewRing(s.Host, d.hlc)
	d.recorder = newRecorder(d.timeline)
	d.peers = peer.New(peer.Options{
		Host: s.Host, Boot: d.boot, Key: s.PeerKey, Clock: d.hlc, Resolve: d.resolve,
		Dial: d.dialer(), Log: opts.Log, Registry: d.registry,
	})
	d.controlClient = control.NewClient(control.ClientOptions{
		Host: s.Host, Boot: d.boot, DataCentre: s.DataCentre, ControlHosts: controlHosts(s), Transport: d.peers,
		Clock: d.clock, Ticks: time.Tick(control.TickInterval), Log: d.logFor("control"),
		OnRoundTrip: metrics.GetOrRegisterTimer("control.round_trip", d.registry).Update,
	})
	d.engine = engine.New(engine.Options{Metrics: d.registry, ConnectTimeout: upstreamConnectTimeout})
	d.controlRole = d.newControlRole()
	d.router = router.New(router.Options{
		Host: s.Host, Boot: d.boot, DataCentre: s.DataCentre, Sender: d.peers, UpstreamClient: d.engine,
		Control: d.controlClient, Clock: d.clock, Log: d.logFor("router"), Registry: d.registry,
	})
	d.schedulers = newSchedulers(d)
	d.hostList = hostlist.New(hostlist.Options{Source: s.PlatformHostsSource, Log: opts.Log, Registry: d.registry})
	d.edge = d.newEdgeRole()
	d.callerServer = d.newFrontend()
	d.adminServer = admin.New(admin.Options{
		Host: s.Host, OperatorActions: operatorActions{d}, Timeline: d.timeline, Metrics: d.registry,
		Clock: d.hlc, BootstrapHashes: s.OperatorKeyHashes, Log: opts.Log, Registry: d.registry,
	})
	d.registerHandlers()
	return d
}

func (d *Daemon) newFrontend() *frontend.Server {
	return frontend.New(frontend.Options{
		Host: d.settings.Host, DataCentre: d.settings.DataCentre, ControlView: controlView{d}, CallHandler: d.router,
		MaxConnections: d.settings.CallerLimits.MaxConnections, MaxHeaderBytes: d.settings.CallerLimits.HeaderBytes,
		HeaderTimeout: d.settings.CallerLimits.ReadTimeout, BodyTimeout: d.settings.CallerLimits.ReadTimeout,
		Metrics: d.registry, Log: d.opts.Log,
	})
}

func (d *Daemon) logFor(name string) *logrus.Entry { return d.opts.Log.WithField("part", name) }

// controlHosts returns the names of the hosts through which the control group is found.
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

// resolve returns the peer address of a host. For control hosts it comes from the settings,
// since they must be found before there is a configuration. With control_seeds it follows
// from the name if that is an IP address. Otherwise it comes from the configuration.
func (d *Daemon) resolve(host string) (string, bool) {
	address, s := "", d.controlSettings.Load()
	for _, h := range s.ControlHosts {
		if h.Name == host {
			address = h.Address
		}
	}
	if address == "" && len(s.ControlSeeds) > 0 {
		address = d.seededAddress(host)
	}
	if address == "" {
		address = d.controlClient.Config().Hosts[host].PeerAddress
	}
	if address != "" && d.opts.MapPeerAddress != nil {
		address = d.opts.MapPeerAddress(address)
	}
	return address, address != ""
}

// seededAddress returns the peer address of a host whose name is its IP address. All such
// hosts use the same peer port.
func (d *Daemon) seededAddress(host string) string {
	ip, err := netip.ParseAddr(host)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(ip, netip.MustParseAddrPort(d.settings.PeerAddress).Port()).String()
}

// dialer returns a function that opens peer connections from the host's own address, so that
// the other host and packet filters between them see which host connects.
func (d *Daemon) dialer() func(ctx context.Context, address string) (net.Conn, error) {
	if d.opts.Dial != nil {
		return d.opts.Dial
	}
	local := &net.TCPAddr{}
	if a, err := net.ResolveTCPAddr("tcp", d.settings.PeerListenAddress); err == nil {
		local.IP = a.IP
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return netopt.Dialer(0, local).DialContext(ctx, "tcp", address)
	}
}

// registerHandlers routes messages and events between the components.
func (d *Daemon) registerHandlers() {
	toSchedulers := func(from string, boot uint64, kind wire.Kind, payload []byte) {
		d.schedulers.handle(from, boot, kind, payload)
	}
	for _, k := range []wire.Kind{wire.KindTicket, wire.KindCancel, wire.KindFinish, wire.KindRouterHeartbeat, wire.KindSync, wire.KindGrantReturn} {
		d.peers.Handle(k, toSchedulers)
	}
	for _, k := range []wire.Kind{wire.KindGrant, wire.KindRefusal, wire.KindSyncRequest} {
		d.peers.Handle(k, d.router.Handle)
	}
	for _, k := range control.ClientKinds {
		d.peers.Handle(k, d.controlClient.Handle)
	}
	d.controlRole.registerHandlers(d.peers, d.controlClient)
	d.peers.OnSessionChange(func(host string, _ uint64, up bool) {
		if up {
			d.router.PeerUp(host)
		}
	})
	d.controlClient.OnConfig(func(c *config.Config) {
		d.recorder.recordConfig(c)
		d.schedulers.configChanged(c)
		d.edge.configChanged(c)
	})
	d.controlClient.OnLeases(func(held, all []wire.Lease) {
		d.recorder.recordLeases(held)
		d.schedulers.leasesChanged(held)
		d.router.LeasesChanged(all)
	})
	d.controlClient.OnHosts(func(hosts []wire.HostStatus) {
		d.recorder.recordHosts(hosts)
		d.schedulers.hostsChanged(hosts)
		d.edge.hostsChanged(hosts)
	})
	d.controlClient.OnCrashMarks(d.edge.crashMarksChanged)
}

// listeners holds the listening sockets of a host.
type listeners struct{ callers, admin, peer net.Listener }

func (d *Daemon) listen() (l listeners, err error) {
	for _, port := range []struct {
		address string
		ln      *net.Listener
	}{{d.settings.PeerListenAddress, &l.peer}, {d.settings.AdminAddress, &l.admin}, {d.settings.CallerAddress, &l.callers}} {
		if *port.ln, err = net.Listen("tcp", port.address); err != nil {
			l.close()
			return l, fault.Wrap(err, fault.InvalidSettings, "", "listen on %s", port.address)
		}
		*port.ln = netopt.RetryAccept(*port.ln)
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

// Run serves until the context leave ends and the graceful shutdown is complete, or until
// the context abort ends. It returns the first error of a component.
func (d *Daemon) Run(leave, abort context.Context) error {
	l, err := d.listen()
	if err != nil {
		d.controlRole.close()
		return err
	}
	ctx, cancel := context.WithCancel(abort)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return ignoreClosed(ctx, d.peers.Serve(l.peer)) })
	g.Go(func() error { return ignoreClosed(ctx, d.adminServer.Serve(l.admin)) })
	g.Go(func() error { return ignoreClosed(leave, d.callerServer.Serve(l.callers)) })
	g.Go(func() error { return d.peers.Run(ctx) })
	g.Go(func() error { return d.controlClient.Run(ctx) })
	g.Go(func() error { return d.controlRole.run(ctx) })
	g.Go(func() error { return d.router.Run(ctx) })
	g.Go(func() error { return d.schedulers.run(ctx) })
	g.Go(func() error { return d.hostList.Run(ctx) })
	g.Go(func() error { return d.edge.run(ctx) })
	g.Go(func() error { return d.formFromSeeds(ctx) })
	g.Go(func() error { return d.watchSettings(ctx) })
	g.Go(func() error { return d.watchMemory(ctx) })
	g.Go(func() error {
		defer cancel()
		return d.shutdown(leave, ctx)
	})
	d.timeline.Add("daemon", "started", "version", d.opts.Version)
	d.log.Info("Host started.")
	err = g.Wait()
	d.controlRole.close()
	d.log.Info("Host stopped.")
	return err
}

// ignoreClosed drops the error of a server that stopped because ctx ended.
func ignoreClosed(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
