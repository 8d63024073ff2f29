package bench

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/daemon"
	"marigoldshunt/internal/emulator"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/settings"
)

// controlHosts is the number of hosts with the control role.
const controlHosts = 3

// operator names the bench in configuration changes.
const operator = "bench"

// profile is one user of marigoldshunt with the delays between its sites.
type profile struct {
	name    string
	changes []config.Change
	// between is the one-way delay between data centres, toClients that to callers.
	between, toClients time.Duration
	model, service     string
}

var delays = map[string][2]time.Duration{
	"vunimoli":    {500 * time.Microsecond, time.Millisecond},
	"chimehollow": {time.Millisecond, time.Millisecond},
}

// loadProfile reads the example configuration of a profile.
func loadProfile(folder, name string) (*profile, error) {
	d, ok := delays[name]
	if !ok {
		return nil, fault.New(fault.InvalidSettings, "", "unknown profile %q", name)
	}
	file := filepath.Join(folder, name+".toml")
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(err, fault.InvalidSettings, "", "profile %s", name)
	}
	changes, err := config.ParseFile(file, data)
	if err != nil {
		return nil, err
	}
	p := &profile{name: name, changes: changes, between: d[0], toClients: d[1]}
	for _, ch := range changes {
		if ch.Pool != nil && ch.Pool.Kind == config.KindModel {
			p.model = ch.Pool.Name
		} else if ch.Pool != nil {
			p.service = ch.Pool.Name
		}
	}
	return p, nil
}

// host is one daemon of the fleet, or what is needed to start it again.
type host struct {
	settings settings.Settings
	daemon   *daemon.Daemon
	abort    context.CancelFunc
	done     chan error
}

// fleet is a running fleet with its upstreams.
type fleet struct {
	profile         *profile
	network         *network
	folder          string
	hosts           []*host
	emulators       map[string]*emulator.Emulator
	tokensPerSecond float64
	// sites maps the peer addresses to data centres.
	sites  map[string]string
	logger *logrus.Logger
	failed chan error
}

// startFleet starts emulators and hosts and applies the profile's configuration.
func startFleet(ctx context.Context, p *profile, o Options) (*fleet, error) {
	f := &fleet{
		profile: p, tokensPerSecond: o.TokensPerSecond, network: newNetwork(), emulators: map[string]*emulator.Emulator{},
		sites: map[string]string{}, logger: logrus.New(), failed: make(chan error, 64),
	}
	f.logger.SetOutput(io.Discard)
	var err error
	if f.folder, err = os.MkdirTemp("", "marigoldshunt-bench-"); err != nil {
		return nil, fault.Wrap(err, fault.StorageFailed, "", "temporary folder")
	}
	if err := f.begin(ctx, o.Seed); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) begin(ctx context.Context, seed int64) error {
	changes, err := f.place(seed)
	if err != nil {
		return err
	}
	f.startHosts()
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	var members []string
	for _, h := range f.hosts[:controlHosts] {
		members = append(members, h.settings.Host)
	}
	if err := f.repeat(ctx, func() error { return f.hosts[0].daemon.Form(ctx, members) }); err != nil {
		return err
	}
	id := uuid.NewString()
	err = f.repeat(ctx, func() error {
		_, err := f.hosts[0].daemon.Change(ctx, id, operator, changes)
		return err
	})
	if err != nil {
		return err
	}
	return f.await(ctx, "all hosts current and all pools scheduled", func() bool {
		return f.current(1) && f.scheduled()
	})
}

// place gives every object an address of this machine and starts the emulators.
func (f *fleet) place(seed int64) ([]config.Change, error) {
	var out []config.Change
	pools := map[string]config.Pool{}
	for _, ch := range f.profile.changes {
		var err error
		switch {
		case ch.Operator != nil:
			// Changes go through the daemons directly, so no operator credential is needed.
			continue
		case ch.Pool != nil:
			pools[ch.Pool.Name] = *ch.Pool
		case ch.Host != nil:
			ch, err = f.placeHost(*ch.Host)
		case ch.Upstream != nil:
			ch, err = f.placeUpstream(*ch.Upstream, pools[ch.Upstream.Pool], seed)
		}
		if err != nil {
			return nil, err
		}
		out = append(out, ch)
	}
	var members []settings.ControlHost
	for _, h := range f.hosts[:controlHosts] {
		h.settings.DataFolder = filepath.Join(f.folder, h.settings.Host)
		members = append(members, settings.ControlHost{Name: h.settings.Host, Address: h.settings.PeerAddress})
	}
	for _, h := range f.hosts {
		h.settings.ControlHosts = members
	}
	return out, nil
}

func (f *fleet) placeHost(c config.Host) (config.Change, error) {
	s := *settings.Default()
	s.Host, s.DataCentre, s.DataFolder = c.Name, c.DataCentre, ""
	ip := fmt.Sprintf("127.0.0.%d", 20+len(f.hosts))
	for _, a := range []*string{&s.CallerAddress, &s.AdminAddress, &s.PeerAddress} {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return config.Change{}, fault.Wrap(err, fault.InvalidSettings, "", "no free port")
		}
		*a = ln.Addr().String()
		ln.Close()
	}
	s.PeerListen = s.PeerAddress
	c.CallerAddress, c.AdminAddress, c.PeerAddress = s.CallerAddress, s.AdminAddress, s.PeerAddress
	f.sites[c.PeerAddress] = c.DataCentre
	f.hosts = append(f.hosts, &host{settings: s})
	return config.Change{Host: &c}, nil
}

// Behaviour of the emulated upstreams. Answers have at most the length that the request
// asks for, which varies per request.
const (
	maxTokens = 4096
	prefill   = 20 * time.Millisecond
	// workTime is short, so that the slots of the service do not bound part 8.
	workTime  = time.Millisecond
	reportLag = 500 * time.Millisecond
	eventLag  = 700 * time.Millisecond
	eventGap  = 0.1
)

func (f *fleet) placeUpstream(u config.Upstream, p config.Pool, seed int64) (config.Change, error) {
	ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", 60+len(f.emulators)))
	if err != nil {
		return config.Change{}, fault.Wrap(err, fault.InvalidSettings, "", "no free port")
	}
	e := emulator.New(emulator.Options{
		Kind: p.Kind, Name: u.Name, Slots: p.Profile.MaxConcurrency,
		TokensPerSecond: f.tokensPerSecond, TokensPerAnswer: maxTokens, Prefill: prefill, WorkTime: workTime,
		ColdCapacity: p.Profile.ColdConcurrency, WarmAfter: p.Profile.WarmAfter,
		ReportLag: reportLag, EventLag: eventLag, EventGap: eventGap,
		Resume: p.Resume, ChecksFence: u.ChecksFence, Seed: seed + int64(len(f.emulators)), Log: f.logger,
	})
	go func() {
		if err := e.Serve(ln); err != nil {
			f.failed <- err
		}
	}()
	f.emulators[u.Name] = e
	u.Address = ln.Addr().String()
	return config.Change{Upstream: &u}, nil
}

// startHosts starts every host that does not run.
func (f *fleet) startHosts() {
	for _, h := range f.hosts {
		s := h.settings
		h.daemon = daemon.New(daemon.Options{Settings: &s, Log: f.logger, Dial: func(ctx context.Context, address string) (net.Conn, error) {
			d := time.Duration(0)
			if f.sites[address] != s.DataCentre {
				d = f.profile.between
			}
			return f.network.dial(ctx, address, d)
		}})
		ctx, abort := context.WithCancel(context.Background())
		h.abort, h.done = abort, make(chan error, 1)
		go func() { h.done <- h.daemon.Run(context.Background(), ctx) }()
	}
}

// stopHosts ends every host at once, without a graceful shutdown.
func (f *fleet) stopHosts() error {
	var first error
	for _, h := range f.hosts {
		if h.abort != nil {
			h.abort()
		}
	}
	for _, h := range f.hosts {
		if h.abort != nil {
			first = cmp.Or(first, <-h.done)
			h.abort = nil
		}
	}
	return first
}

func (f *fleet) close() {
	_ = f.stopHosts()
	for _, e := range f.emulators {
		_ = e.Close()
	}
	f.network.close()
	os.RemoveAll(f.folder)
}

// current says whether all hosts have confirmed at least this revision.
func (f *fleet) current(revision uint64) bool {
	for _, h := range f.hosts {
		if !h.daemon.Current() || h.daemon.Config().Revision < revision {
			return false
		}
	}
	return true
}

// scheduled says whether all pools have a scheduler that grants.
func (f *fleet) scheduled() bool {
	granting := 0
	for _, h := range f.hosts {
		for _, s := range h.daemon.Schedulers() {
			if s.Held && s.Granting {
				granting++
			}
		}
	}
	return granting == len(f.hosts[0].daemon.Config().Pools)
}

// holder returns the host that schedules a pool, or nil.
func (f *fleet) holder(pool string) *host {
	for _, h := range f.hosts {
		for _, s := range h.daemon.Schedulers() {
			if s.Pool == pool && s.Held && s.Core != nil {
				return h
			}
		}
	}
	return nil
}

const pollPause = 2 * time.Millisecond

// await waits for a condition.
func (f *fleet) await(ctx context.Context, what string, ok func() bool) error {
	for !ok() {
		select {
		case <-ctx.Done():
			return fault.New(fault.Timeout, "", "waited in vain for: %s", what)
		case err := <-f.failed:
			return err
		case <-time.After(pollPause):
		}
	}
	return nil
}

// repeat calls f until it succeeds or ctx ends.
func (f *fleet) repeat(ctx context.Context, try func() error) error {
	for {
		err := try()
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// accounts returns the contracts sorted by account.
func (f *fleet) accounts() []config.Contract {
	c := f.hosts[0].daemon.Config().Contracts
	return slices.SortedFunc(maps.Values(c), func(a, b config.Contract) int { return strings.Compare(a.Account, b.Account) })
}

// upstreams returns the upstreams of a pool, sorted by name.
func (f *fleet) upstreams(pool string) []config.Upstream {
	var out []config.Upstream
	for _, u := range f.hosts[0].daemon.Config().Upstreams {
		if u.Pool == pool {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b config.Upstream) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// busy returns the slot time in use at the upstreams of a pool since the start.
func (f *fleet) busy(pool string) time.Duration {
	var sum time.Duration
	for _, u := range f.upstreams(pool) {
		sum += f.emulators[u.Name].Load().Busy
	}
	return sum
}
