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
	"marigoldshunt/internal/freeport"
	"marigoldshunt/internal/settings"
)

// controlHosts is the number of hosts with the control role.
const controlHosts = 3

// operatorName is the operator recorded in configuration changes.
const operatorName = "bench"

// profile is one example deployment of marigoldshunt with its network delays.
type profile struct {
	name    string
	changes []config.Change
	// dataCentreDelay is the one-way delay between data centres, callerDelay that to
	// callers.
	dataCentreDelay, callerDelay time.Duration
	model, service               string
}

var profileDelays = map[string][2]time.Duration{
	"vunimoli":    {500 * time.Microsecond, time.Millisecond},
	"chimehollow": {time.Millisecond, time.Millisecond},
}

// loadProfile reads the example configuration of a profile.
func loadProfile(folder, name string) (*profile, error) {
	d, ok := profileDelays[name]
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
	p := &profile{name: name, changes: changes, dataCentreDelay: d[0], callerDelay: d[1]}
	for _, ch := range changes {
		if ch.Pool != nil && ch.Pool.Kind == config.KindModel {
			p.model = ch.Pool.Name
		} else if ch.Pool != nil {
			p.service = ch.Pool.Name
		}
	}
	return p, nil
}

// host is one daemon of the fleet, with what is needed to start it again.
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
	dataDir         string
	hosts           []*host
	emulators       map[string]*emulator.Emulator
	tokensPerSecond float64
	// peerDataCentres maps peer addresses to data centres.
	peerDataCentres map[string]string
	// reserved holds the addresses of the hosts, also while they are stopped.
	reserved []*freeport.Port
	// dataCentreRevision is the revision of the last change by setDataCentreOut.
	dataCentreRevision uint64
	logger             *logrus.Logger
	failed             chan error
}

// startFleet starts emulators and hosts and applies the profile's configuration.
func startFleet(ctx context.Context, p *profile, opts Options) (*fleet, error) {
	f := &fleet{
		profile: p, tokensPerSecond: opts.TokensPerSecond, network: newNetwork(), emulators: map[string]*emulator.Emulator{},
		peerDataCentres: map[string]string{}, logger: logrus.New(), failed: make(chan error, 64),
	}
	f.logger.SetOutput(io.Discard)
	var err error
	if f.dataDir, err = os.MkdirTemp("", "marigoldshunt-bench-"); err != nil {
		return nil, fault.Wrap(err, fault.StorageFailed, "", "temporary folder")
	}
	if err := f.bringUp(ctx, opts.Seed); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) bringUp(ctx context.Context, seed int64) error {
	changes, err := f.assignAddresses(seed)
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
	if err := f.retry(ctx, func() error { return f.hosts[0].daemon.Form(ctx, members) }); err != nil {
		return err
	}
	id := uuid.NewString()
	err = f.retry(ctx, func() error {
		_, err := f.hosts[0].daemon.Change(ctx, id, operatorName, changes)
		return err
	})
	if err != nil {
		return err
	}
	return f.await(ctx, "all hosts current and all pools scheduled", func() bool {
		return f.allCurrent(1) && f.allScheduled()
	})
}

// assignAddresses gives every host and upstream an address on this machine and starts the
// emulators.
func (f *fleet) assignAddresses(seed int64) ([]config.Change, error) {
	var out []config.Change
	pools := map[string]config.Pool{}
	for _, ch := range f.profile.changes {
		var err error
		switch {
		case ch.Operator != nil:
			// The bench calls the daemons directly, so no operator credential is needed.
			continue
		case ch.Pool != nil:
			pools[ch.Pool.Name] = *ch.Pool
		case ch.Host != nil:
			ch, err = f.assignHost(*ch.Host)
		case ch.Upstream != nil:
			ch, err = f.startUpstream(*ch.Upstream, pools[ch.Upstream.Pool], seed)
		}
		if err != nil {
			return nil, err
		}
		out = append(out, ch)
	}
	var members []settings.ControlHost
	for _, h := range f.hosts[:controlHosts] {
		h.settings.DataFolder = filepath.Join(f.dataDir, h.settings.Host)
		members = append(members, settings.ControlHost{Name: h.settings.Host, Address: h.settings.PeerAddress})
	}
	for _, h := range f.hosts {
		h.settings.ControlHosts = members
	}
	return out, nil
}

func (f *fleet) assignHost(c config.Host) (config.Change, error) {
	s := *settings.Default()
	s.Host, s.DataCentre, s.DataFolder = c.Name, c.DataCentre, ""
	ip := fmt.Sprintf("127.0.0.%d", 20+len(f.hosts))
	for _, a := range []*string{&s.CallerAddress, &s.AdminAddress, &s.PeerAddress} {
		p, err := freeport.Reserve(ip, 0)
		if err != nil {
			return config.Change{}, err
		}
		f.reserved = append(f.reserved, p)
		*a = p.Address()
	}
	s.PeerListenAddress = s.PeerAddress
	c.CallerAddress, c.AdminAddress, c.PeerAddress = s.CallerAddress, s.AdminAddress, s.PeerAddress
	f.peerDataCentres[c.PeerAddress] = c.DataCentre
	f.hosts = append(f.hosts, &host{settings: s})
	return config.Change{Host: &c}, nil
}

// Behaviour of the emulated upstreams. Responses have at most the length that the request
// asks for, which varies per request.
const (
	maxTokens = 4096
	prefill   = 20 * time.Millisecond
	// workTime is short, so that the slots of the service do not limit part 8.
	workTime      = time.Millisecond
	reportLag     = 500 * time.Millisecond
	eventLag      = 700 * time.Millisecond
	eventLossRate = 0.1
)

func (f *fleet) startUpstream(u config.Upstream, p config.Pool, seed int64) (config.Change, error) {
	ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", 60+len(f.emulators)))
	if err != nil {
		return config.Change{}, fault.Wrap(err, fault.InvalidSettings, "", "no free port")
	}
	e := emulator.New(emulator.Options{
		Kind: p.Kind, Name: u.Name, Slots: p.Profile.MaxConcurrency,
		TokensPerSecond: f.tokensPerSecond, TokensPerResponse: maxTokens, Prefill: prefill, WorkTime: workTime,
		ColdCapacity: p.Profile.ColdConcurrency, WarmAfter: p.Profile.WarmAfter,
		ReportLag: reportLag, EventLag: eventLag, EventLossRate: eventLossRate,
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

// startHosts starts every host of the fleet. None may be running.
func (f *fleet) startHosts() {
	for _, h := range f.hosts {
		s := h.settings
		h.daemon = daemon.New(daemon.Options{Settings: &s, Log: f.logger, Dial: func(ctx context.Context, address string) (net.Conn, error) {
			d := time.Duration(0)
			if f.peerDataCentres[address] != s.DataCentre {
				d = f.profile.dataCentreDelay
			}
			return f.network.dial(ctx, address, d)
		}})
		ctx, abort := context.WithCancel(context.Background())
		h.abort, h.done = abort, make(chan error, 1)
		go func() { h.done <- h.daemon.Run(context.Background(), ctx) }()
	}
}

// stopHosts ends all hosts at the same time, without a graceful shutdown.
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
	for _, p := range f.reserved {
		_ = p.Close()
	}
	os.RemoveAll(f.dataDir)
}

// allCurrent reports whether all hosts have confirmed at least the given revision.
func (f *fleet) allCurrent(revision uint64) bool {
	for _, h := range f.hosts {
		if !h.daemon.ConfigCurrent() || h.daemon.Config().Revision < revision {
			return false
		}
	}
	return true
}

// allScheduled reports whether all pools have a scheduler that grants.
func (f *fleet) allScheduled() bool {
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

// schedulerHost returns the host that schedules a pool, or nil.
func (f *fleet) schedulerHost(pool string) *host {
	for _, h := range f.hosts {
		for _, s := range h.daemon.Schedulers() {
			if s.Pool == pool && s.Held && s.Core != nil {
				return h
			}
		}
	}
	return nil
}

const pollInterval = 2 * time.Millisecond

// await polls a condition until it holds, ctx ends or an emulator fails.
func (f *fleet) await(ctx context.Context, what string, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return fault.New(fault.Timeout, "", "timed out waiting for: %s", what)
		case err := <-f.failed:
			return err
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// retry calls attempt until it succeeds or ctx ends.
func (f *fleet) retry(ctx context.Context, attempt func() error) error {
	for {
		err := attempt()
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

// busyTime returns the slot time used at the upstreams of a pool since the start.
func (f *fleet) busyTime(pool string) time.Duration {
	var sum time.Duration
	for _, u := range f.upstreams(pool) {
		sum += f.emulators[u.Name].Load().BusyTime
	}
	return sum
}
