package scenario

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"marigoldshunt/internal/admin"
	"marigoldshunt/internal/ctl"
	"marigoldshunt/internal/freeport"
)

const (
	// awaitTimeout bounds every wait for an event.
	awaitTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	// statusTimeout bounds one status request or configuration change; a frozen host does
	// not answer.
	statusTimeout = 2 * time.Second
	operatorKey   = "marigoldshunt-scenario-operator"
	peerKey       = "marigoldshunt-scenario-peer-shared-key"
	// A test process listens on lockPort to reserve its loopback network.
	lockPort                  = 19999
	firstNetwork, lastNetwork = 64, 250
)

var (
	ctlContext   = context.Background()
	networkCount atomic.Int32
)

// host is one daemon with its addresses. Other hosts reach its peer address through relay.
type host struct {
	name, dataCentre, ip string
	caller, admin, peer  string
	relay, settings      string
	control              bool
	process              *process
}

// upstream is one emulator process.
type upstream struct {
	name, pool, dataCentre, address string
	process                         *process
}

// fleet is the fleet of one script.
type fleet struct {
	dir, addressPrefix string
	network            *network
	reserved           []*freeport.Port
	hosts              map[string]*host
	upstreams          map[string]*upstream
	pools              []string
	config             bytes.Buffer
	http               *http.Client
	ctx                context.Context
	cancel             context.CancelFunc
	background         sync.WaitGroup

	mu sync.Mutex
	// backgroundErr is the error of a failed background load.
	backgroundErr error
	marks         map[string]time.Time
	loads         map[string]*load
	orders        map[string]*nonIdempotentLoad
}

// loopbackNetwork reserves the second byte of loopback addresses for this process, so that
// test processes that run at the same time can't take each other's ports.
var loopbackNetwork = sync.OnceValue(func() int {
	for i := range lastNetwork - firstNetwork {
		n := firstNetwork + (os.Getpid()+i)%(lastNetwork-firstNetwork)
		if ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", n, lockPort)); err == nil {
			networkReservation = ln
			return n
		}
	}
	panic("no loopback network is free")
})

// networkReservation stays open as long as the process runs.
var networkReservation net.Listener

func newFleet(dir string) *fleet {
	f := &fleet{
		dir: dir, addressPrefix: fmt.Sprintf("127.%d.%d.", loopbackNetwork(), networkCount.Add(1)), network: newNetwork(),
		hosts: map[string]*host{}, upstreams: map[string]*upstream{}, http: &http.Client{Timeout: statusTimeout},
		marks: map[string]time.Time{}, loads: map[string]*load{}, orders: map[string]*nonIdempotentLoad{},
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	return f
}

// close ends the load and every process of the fleet.
func (f *fleet) close() {
	f.cancel()
	for _, h := range f.hosts {
		h.process.kill()
	}
	for _, u := range f.upstreams {
		u.process.kill()
	}
	f.network.close()
	for _, p := range f.reserved {
		_ = p.Close()
	}
	f.background.Wait()
	f.http.CloseIdleConnections()
}

// freeAddress reserves a port of the fleet's address with the given last byte until the fleet
// is closed.
func (f *fleet) freeAddress(lastByte int) (string, error) {
	p, err := freeport.Reserve(f.addressPrefix+strconv.Itoa(lastByte), 0)
	if err != nil {
		return "", err
	}
	f.reserved = append(f.reserved, p)
	return p.Address(), nil
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func credential(account string) string { return account + "-scenario-credential" }

// addObject adds the object of one line of fleet.txt.
func (f *fleet) addObject(words []string) error {
	kind, name, rest := words[0], words[1], words[2:]
	out := &f.config
	switch kind {
	case "host":
		return f.addHost(name, rest)
	case "upstream":
		return f.addUpstream(name, rest)
	case "data_centre":
		fmt.Fprintf(out, "[[data_centre]]\nname = %q\n", name)
		return nil
	case "pool":
		f.pools = append(f.pools, name)
		fmt.Fprintf(out, "[[pool]]\nname = %q\nkind = %q\n", name, rest[0])
		writeKeys(out, "max_cost=1024.0 default_cost=64.0", rest[1:])
		if rest[0] == "service" {
			fmt.Fprintln(out, `routes = [{ method = "GET", path_prefix = "/", idempotent = true }, { method = "POST", path_prefix = "/orders", idempotent = false }]`)
		}
		return nil
	case "account":
		fmt.Fprintf(out, "[[contract]]\naccount = %q\nkey_hashes = [%q]\npools = [\"%s\"]\n", name, hashKey(credential(name)), strings.Join(f.pools, `","`))
		writeKeys(out, `weight=1.0 requests_per_second=10000.0 burst=10000 concurrency=64 queue_length=1000 max_body_bytes=65536 max_run="30s" max_wait="20s"`, rest)
		return nil
	}
	return fmt.Errorf("fleet.txt: unknown kind %q", kind)
}

// writeKeys writes TOML keys and values: the defaults with the overrides.
func writeKeys(out *bytes.Buffer, defaults string, overrides []string) {
	values := map[string]string{}
	for _, kv := range append(strings.Fields(defaults), overrides...) {
		k, v, _ := strings.Cut(kv, "=")
		values[k] = v
	}
	for _, k := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(out, "%s = %s\n", k, values[k])
	}
}

func (f *fleet) addHost(name string, rest []string) error {
	number := len(f.hosts) + 1
	h := &host{name: name, dataCentre: rest[0], ip: f.addressPrefix + strconv.Itoa(number), control: slices.Contains(rest, "control")}
	for _, a := range []*string{&h.caller, &h.admin, &h.peer} {
		var err error
		if *a, err = f.freeAddress(number); err != nil {
			return err
		}
	}
	ln, err := net.Listen("tcp", f.addressPrefix+strconv.Itoa(100+number)+":0")
	if err != nil {
		return err
	}
	h.relay = ln.Addr().String()
	f.network.relay(name, h.ip, h.peer, ln)
	f.hosts[name] = h
	fmt.Fprintf(&f.config, "[[host]]\nname = %q\ndata_centre = %q\ncaller_address = %q\nadmin_address = %q\npeer_address = %q\n",
		name, h.dataCentre, h.caller, h.admin, h.relay)
	return nil
}

func (f *fleet) addUpstream(name string, rest []string) error {
	address, err := f.freeAddress(50 + len(f.upstreams))
	if err != nil {
		return err
	}
	u := &upstream{name: name, pool: rest[0], dataCentre: rest[1], address: address}
	args := append([]string{"-name", name, "-address", u.address, "-seed", strconv.Itoa(len(f.upstreams) + 1)}, rest[2:]...)
	u.process, err = startProcess(f.dir, name, "upstream-emulator", args...)
	f.upstreams[name] = u
	fmt.Fprintf(&f.config, "[[upstream]]\nname = %q\npool = %q\ndata_centre = %q\naddress = %q\nchecks_fence = true\nchecks_sender = false\n",
		name, u.pool, u.dataCentre, u.address)
	return err
}

// hostNames returns the sorted host names; with control only those of the control group.
func (f *fleet) hostNames(control bool) []string {
	var out []string
	for _, n := range slices.Sorted(maps.Keys(f.hosts)) {
		if !control || f.hosts[n].control {
			out = append(out, n)
		}
	}
	return out
}

func (f *fleet) writeSettings(h *host) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "host = %q\ndata_centre = %q\ncaller_address = %q\nadmin_address = %q\npeer_address = %q\npeer_key = %q\noperator_key_hashes = [%q]\n",
		h.name, h.dataCentre, h.caller, h.admin, h.peer, peerKey, hashKey(operatorKey))
	if h.control {
		fmt.Fprintf(&b, "data_folder = %q\n", "data-"+h.name)
	}
	for _, n := range f.hostNames(true) {
		address := f.hosts[n].relay
		if n == h.name {
			address = h.peer
		}
		fmt.Fprintf(&b, "[[control_hosts]]\nname = %q\naddress = %q\n", n, address)
	}
	h.settings = filepath.Join(f.dir, h.name+".toml")
	return os.WriteFile(h.settings, b.Bytes(), 0o600)
}

func (f *fleet) startHost(h *host) (err error) {
	h.process, err = startProcess(f.dir, h.name, "marigoldshuntd", "-settings", h.settings)
	return err
}

// adminAddresses returns the admin addresses of the hosts, separated by commas.
func (f *fleet) adminAddresses() string {
	var list []string
	for _, n := range f.hostNames(false) {
		list = append(list, f.hosts[n].admin)
	}
	return strings.Join(list, ",")
}

// ctl runs marigoldshuntctl in this process.
func (f *fleet) ctl(args ...string) error {
	var out bytes.Buffer
	args = append([]string{"-hosts", f.adminAddresses(), "-key", operatorKey, "-timeout", "10s"}, args...)
	if code := ctl.Run(f.ctx, args, strings.NewReader(""), &out, &out); code != ctl.ExitOK {
		return fmt.Errorf("marigoldshuntctl %s: exit code %d: %s", args, code, out.String())
	}
	return nil
}

// cmdFleet starts the fleet of fleet.txt, forms its group, applies its configuration and
// waits until every host and pool is ready.
func cmdFleet(ts *testscript.TestScript, f *fleet, _ []string) error {
	for line := range strings.Lines(ts.ReadFile("fleet.txt")) {
		words := strings.Fields(line)
		if len(words) < 2 {
			continue
		}
		if err := f.addObject(words); err != nil {
			return err
		}
	}
	fmt.Fprintf(&f.config, "[policy]\nkeep_for = \"1s\"\nclaim_retention = \"24h\"\nretry_percent = 10.0\nloads_per_minute = 60.0\n[[operator]]\nname = \"operations\"\nkey_hashes = [%q]\n", hashKey(operatorKey))
	file := filepath.Join(f.dir, "config.toml")
	if err := os.WriteFile(file, f.config.Bytes(), 0o600); err != nil {
		return err
	}
	for _, n := range f.hostNames(false) {
		h := f.hosts[n]
		if err := f.writeSettings(h); err != nil {
			return err
		}
		if err := f.startHost(h); err != nil {
			return err
		}
		ts.Setenv(strings.ToUpper(n), h.admin)
	}
	ts.Setenv("MARIGOLDSHUNTCTL_HOSTS", f.adminAddresses())
	ts.Setenv("MARIGOLDSHUNTCTL_KEY", operatorKey)
	if err := f.formGroup(); err != nil {
		return err
	}
	if err := f.ctl("config", "apply", file); err != nil {
		return err
	}
	return f.await(func() (bool, string) { return f.allReady() })
}

// formGroup forms the control group. It retries until the request was accepted, because
// hosts may not listen yet.
func (f *fleet) formGroup() error {
	list := strings.Join(f.hostNames(true), ",")
	var lastErr error
	err := f.await(func() (bool, string) {
		lastErr = f.ctl("control", "init", list)
		return lastErr == nil || strings.Contains(lastErr.Error(), "already"), fmt.Sprint(lastErr)
	})
	return err
}

// allReady reports whether all running hosts have the newest configuration and know each
// other as alive, and each pool has a scheduler that knows its upstreams.
func (f *fleet) allReady() (bool, string) {
	all := f.statuses()
	var newest uint64
	pools := map[string]bool{}
	for _, s := range all {
		newest = max(newest, s.Revision)
		for _, p := range s.Pools {
			pools[p.Pool] = pools[p.Pool] || len(p.Upstreams) > 0
		}
	}
	running := 0
	for _, h := range f.hosts {
		if h.process.running() {
			running++
		}
	}
	for n, h := range f.hosts {
		s := all[n]
		if h.process.running() && (s == nil || s.Revision != newest || newest == 0 || s.ConfigAgeMS > maxCurrentAgeMS || countAlive(s) < running) {
			return false, "host " + n + " is not current or does not know all hosts"
		}
	}
	for _, u := range f.upstreams {
		if !pools[u.pool] {
			return false, "pool " + u.pool + " has no scheduler"
		}
	}
	return true, ""
}

// maxCurrentAgeMS is below the age at which hosts refuse requests, 3.5 s.
const maxCurrentAgeMS = 2000

// countAlive counts the hosts that a host knows as alive.
func countAlive(s *admin.Status) int {
	n := 0
	for _, h := range s.Hosts {
		if h.Alive {
			n++
		}
	}
	return n
}
