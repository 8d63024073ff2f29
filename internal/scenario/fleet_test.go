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
)

const (
	// awaitLimit bounds every wait for an event.
	awaitLimit = 30 * time.Second
	pollPause  = 20 * time.Millisecond
	// requestLimit bounds one request for status; a frozen host does not answer.
	requestLimit = 2 * time.Second
	operatorKey  = "marigoldshunt-scenario-operator"
	peerKey      = "marigoldshunt-scenario-peer-shared-key"
	// firstPort is below the range from which the system takes ports by itself.
	firstPort, lastPort = 20000, 30000
	// lockPort reserves a network for one test process.
	lockPort                  = 19999
	firstNetwork, lastNetwork = 64, 250
)

var (
	ctlContext = context.Background()
	scripts    atomic.Int32
	ports      atomic.Int32
)

// host is one daemon with its addresses.
type host struct {
	name, dataCentre, ip string
	caller, admin, peer  string
	relay, settings      string
	control              bool
	p                    *process
}

// upstream is one emulator.
type upstream struct {
	name, pool, dataCentre, address string
	p                               *process
}

// fleet is the fleet of one script.
type fleet struct {
	dir, net  string
	network   *network
	hosts     map[string]*host
	upstreams map[string]*upstream
	pools     []string
	config    bytes.Buffer
	http      *http.Client
	ctx       context.Context
	cancel    context.CancelFunc
	work      sync.WaitGroup

	mu sync.Mutex
	// failure is why a background run could not work.
	failure error
	marks   map[string]time.Time
	loads   map[string]*load
	orders  map[string]*orders
}

// network127 reserves a second byte of loopback addresses for this process, so that test
// processes that run at the same time can't take each other's ports.
var network127 = sync.OnceValue(func() int {
	for i := range lastNetwork - firstNetwork {
		n := firstNetwork + (os.Getpid()+i)%(lastNetwork-firstNetwork)
		if ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", n, lockPort)); err == nil {
			reservation = ln
			return n
		}
	}
	panic("no loopback network is free")
})

// reservation stays open as long as the process runs.
var reservation net.Listener

func newFleet(dir string) *fleet {
	f := &fleet{
		dir: dir, net: fmt.Sprintf("127.%d.%d.", network127(), scripts.Add(1)), network: newNetwork(),
		hosts: map[string]*host{}, upstreams: map[string]*upstream{}, http: &http.Client{Timeout: requestLimit},
		marks: map[string]time.Time{}, loads: map[string]*load{}, orders: map[string]*orders{},
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	return f
}

// close ends the load and every process of the fleet.
func (f *fleet) close() {
	f.cancel()
	for _, h := range f.hosts {
		h.p.kill()
	}
	for _, u := range f.upstreams {
		u.p.kill()
	}
	f.network.close()
	f.work.Wait()
	f.http.CloseIdleConnections()
}

// address returns an unused port at an address of the script.
func (f *fleet) address(last int) (string, net.Listener, error) {
	for range lastPort - firstPort {
		port := firstPort + int(ports.Add(1))%(lastPort-firstPort)
		a := net.JoinHostPort(f.net+strconv.Itoa(last), strconv.Itoa(port))
		if ln, err := net.Listen("tcp", a); err == nil {
			return a, ln, nil
		}
	}
	return "", nil, fmt.Errorf("no free port at %s%d", f.net, last)
}

func (f *fleet) freeAddress(last int) string {
	a, ln, err := f.address(last)
	if err != nil {
		return "127.0.0.1:0"
	}
	ln.Close()
	return a
}

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func credential(account string) string { return account + "-scenario-credential" }

// add reads one line of fleet.txt.
func (f *fleet) add(words []string) error {
	kind, name, rest := words[0], words[1], words[2:]
	c := &f.config
	switch kind {
	case "host":
		return f.addHost(name, rest)
	case "upstream":
		return f.addUpstream(name, rest)
	case "data_centre":
		fmt.Fprintf(c, "[[data_centre]]\nname = %q\n", name)
		return nil
	case "pool":
		f.pools = append(f.pools, name)
		fmt.Fprintf(c, "[[pool]]\nname = %q\nkind = %q\n", name, rest[0])
		set(c, "max_cost=1024.0 default_cost=64.0", rest[1:])
		if rest[0] == "service" {
			fmt.Fprintln(c, `routes = [{ method = "GET", path_prefix = "/", idempotent = true }, { method = "POST", path_prefix = "/orders", idempotent = false }]`)
		}
		return nil
	case "account":
		fmt.Fprintf(c, "[[contract]]\naccount = %q\nkey_hashes = [%q]\npools = [\"%s\"]\n", name, hash(credential(name)), strings.Join(f.pools, `","`))
		set(c, `weight=1.0 requests_per_second=10000.0 burst=10000 concurrency=64 queue_length=1000 max_body_bytes=65536 max_run="30s" max_wait="20s"`, rest)
		return nil
	}
	return fmt.Errorf("fleet.txt: unknown kind %q", kind)
}

// set writes keys and values, with defaults for the absent ones.
func set(c *bytes.Buffer, defaults string, given []string) {
	values := map[string]string{}
	for _, kv := range append(strings.Fields(defaults), given...) {
		k, v, _ := strings.Cut(kv, "=")
		values[k] = v
	}
	for _, k := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(c, "%s = %s\n", k, values[k])
	}
}

func (f *fleet) addHost(name string, rest []string) error {
	n := len(f.hosts) + 1
	h := &host{name: name, dataCentre: rest[0], ip: f.net + strconv.Itoa(n), control: slices.Contains(rest, "control")}
	h.caller, h.admin, h.peer = f.freeAddress(n), f.freeAddress(n), f.freeAddress(n)
	relay, ln, err := f.address(100 + n)
	if err != nil {
		return err
	}
	h.relay = relay
	f.network.relay(name, h.ip, h.peer, ln)
	f.hosts[name] = h
	fmt.Fprintf(&f.config, "[[host]]\nname = %q\ndata_centre = %q\ncaller_address = %q\nadmin_address = %q\npeer_address = %q\n",
		name, h.dataCentre, h.caller, h.admin, h.relay)
	return nil
}

func (f *fleet) addUpstream(name string, rest []string) error {
	u := &upstream{name: name, pool: rest[0], dataCentre: rest[1], address: f.freeAddress(50 + len(f.upstreams))}
	args := append([]string{"-name", name, "-address", u.address, "-seed", strconv.Itoa(len(f.upstreams) + 1)}, rest[2:]...)
	var err error
	u.p, err = startProcess(f.dir, name, "upstream-emulator", args...)
	f.upstreams[name] = u
	fmt.Fprintf(&f.config, "[[upstream]]\nname = %q\npool = %q\ndata_centre = %q\naddress = %q\nchecks_fence = true\nchecks_sender = false\n",
		name, u.pool, u.dataCentre, u.address)
	return err
}

// names returns the hosts in order; with control only those of the control group.
func (f *fleet) names(control bool) []string {
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
		h.name, h.dataCentre, h.caller, h.admin, h.peer, peerKey, hash(operatorKey))
	if h.control {
		fmt.Fprintf(&b, "data_folder = %q\n", "data-"+h.name)
	}
	for _, n := range f.names(true) {
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
	h.p, err = startProcess(f.dir, h.name, "marigoldshuntd", "-settings", h.settings)
	return err
}

// admins returns the admin addresses of the hosts.
func (f *fleet) admins() string {
	var list []string
	for _, n := range f.names(false) {
		list = append(list, f.hosts[n].admin)
	}
	return strings.Join(list, ",")
}

// ctl runs the operator tool in this process.
func (f *fleet) ctl(args ...string) error {
	var out bytes.Buffer
	args = append([]string{"-hosts", f.admins(), "-key", operatorKey, "-timeout", "10s"}, args...)
	if code := ctl.Run(f.ctx, args, strings.NewReader(""), &out, &out); code != ctl.ExitOK {
		return fmt.Errorf("marigoldshuntctl %s: exit code %d: %s", args, code, out.String())
	}
	return nil
}

// cmdFleet starts the fleet of fleet.txt, forms its group, applies its configuration
// and waits until every host and pool works.
func cmdFleet(ts *testscript.TestScript, f *fleet, _ []string) error {
	for line := range strings.Lines(ts.ReadFile("fleet.txt")) {
		words := strings.Fields(line)
		if len(words) < 2 {
			continue
		}
		if err := f.add(words); err != nil {
			return err
		}
	}
	fmt.Fprintf(&f.config, "[policy]\nkeep_for = \"1s\"\nclaim_retention = \"24h\"\nretry_percent = 10.0\nloads_per_minute = 60.0\n[[operator]]\nname = \"operations\"\nkey_hashes = [%q]\n", hash(operatorKey))
	file := filepath.Join(f.dir, "config.toml")
	if err := os.WriteFile(file, f.config.Bytes(), 0o600); err != nil {
		return err
	}
	for _, n := range f.names(false) {
		h := f.hosts[n]
		if err := f.writeSettings(h); err != nil {
			return err
		}
		if err := f.startHost(h); err != nil {
			return err
		}
		ts.Setenv(strings.ToUpper(n), h.admin)
	}
	ts.Setenv("MARIGOLDSHUNTCTL_HOSTS", f.admins())
	ts.Setenv("MARIGOLDSHUNTCTL_KEY", operatorKey)
	if err := f.form(); err != nil {
		return err
	}
	if err := f.ctl("config", "apply", file); err != nil {
		return err
	}
	return f.await(func() (bool, string) { return f.ready() })
}

// form sends the request again until it was accepted: hosts may not listen yet.
func (f *fleet) form() error {
	list := strings.Join(f.names(true), ",")
	var last error
	err := f.await(func() (bool, string) {
		last = f.ctl("control", "init", list)
		return last == nil || strings.Contains(last.Error(), "already"), fmt.Sprint(last)
	})
	return err
}

// ready reports whether all running hosts have the newest configuration and each pool
// has a scheduler that knows its upstreams.
func (f *fleet) ready() (bool, string) {
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
		if h.p.running() {
			running++
		}
	}
	for n, h := range f.hosts {
		s := all[n]
		if h.p.running() && (s == nil || s.Revision != newest || newest == 0 || s.ConfigAgeMS > currentAgeMS || alive(s) < running) {
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

// currentAgeMS is below the age at which hosts refuse requests, 3.5 s.
const currentAgeMS = 2000

// alive counts the hosts that a host knows as alive.
func alive(s *admin.Status) int {
	n := 0
	for _, h := range s.Hosts {
		if h.Alive {
			n++
		}
	}
	return n
}
