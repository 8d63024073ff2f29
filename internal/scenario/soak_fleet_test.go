package scenario

import (
	"bytes"
	"fmt"
	"io"
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

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/ctl"
	"marigoldshunt/internal/emulator"
	"marigoldshunt/internal/enginemodel"
	"marigoldshunt/internal/freeport"
)

// Sizes of the soak fleet.
const (
	soakHosts        = 5
	soakControlHosts = 3
	soakEngines      = 3
	soakServices     = 2
	// soakSlots is the number of requests that an upstream runs at a time.
	soakSlots = 16
)

// Ports of a host, the same on all hosts of a fleet.
const (
	portCaller = iota
	portAdmin
	portPeer
	portGateway
	portDiscovery
	portReadiness
	portCount
)

// soakHost is one daemon process. Other hosts reach it at its ip through a relay.
type soakHost struct {
	ip, listenIP, dataCentre string
	disk                     string
	process                  *process
	// procs is the number of threads that run its Go code.
	procs int
	// maxConnections bounds its callers' connections, 0 selects the default.
	maxConnections int
	// disturbedAt is when a fault last began or ended at this host.
	disturbedAt time.Time
	frozen      bool
	startCount  int
}

// soakFleet is a fleet of routed services in the native formats.
type soakFleet struct {
	dir, addressPrefix string
	ports              [portCount]*freeport.Port
	network            *network
	hosts              []*soakHost
	upstreams          []*soakUpstream
	list               emulator.List
	listServer         *http.Server
	listAddress        string
	listDown           atomic.Bool
	disturbedMu        sync.Mutex
}

// soakGarbageRate is the fraction of events at which one of the engines sends garbage, and of its
// responses that are garbage as a whole.
const soakGarbageRate = 0.02

// soakGarbageKinds returns the kinds of garbage in the soak. Failures with status 404 are not among
// them, because checkResults takes each for a refusal by a host that knows no route.
func soakGarbageKinds() []emulator.GarbageKind {
	return slices.DeleteFunc(emulator.GarbageKinds(), func(kind emulator.GarbageKind) bool {
		return kind == emulator.Status404
	})
}

// soakUpstream is an emulator inside the test process, so that its counts survive its
// crashes.
type soakUpstream struct {
	*emulator.Emulator
	name, address string
}

// soakUpstreamSpec describes an upstream of a soak fleet.
type soakUpstreamSpec struct {
	name, service string
	options       emulator.Options
}

// newSoakFleet returns a fleet of some hosts, the first soakControlHosts of which have disks.
func newSoakFleet(dir string, hosts int, upstreams []soakUpstreamSpec) (*soakFleet, error) {
	f := &soakFleet{dir: dir, addressPrefix: fmt.Sprintf("127.%d.%d.", loopbackNetwork(), networkCount.Add(1)), network: newNetwork()}
	if err := f.reservePorts(); err != nil {
		return nil, err
	}
	for i := range hosts {
		if err := f.addSoakHost(i); err != nil {
			return nil, err
		}
	}
	for i, spec := range upstreams {
		if err := f.addSoakUpstream(i, spec); err != nil {
			return nil, err
		}
	}
	return f, f.serveList()
}

// reservePorts reserves the ports of the hosts on all addresses.
func (f *soakFleet) reservePorts() (err error) {
	for i := range f.ports {
		if f.ports[i], err = freeport.Reserve("0.0.0.0", 0); err != nil {
			return err
		}
	}
	return nil
}

func (f *soakFleet) address(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(f.ports[port].Port()))
}

func dataCentreOf(i int) string { return []string{"north", "south"}[i%2] }

func (f *soakFleet) addSoakHost(i int) error {
	h := &soakHost{ip: f.addressPrefix + strconv.Itoa(1+i), listenIP: f.addressPrefix + strconv.Itoa(101+i), dataCentre: dataCentreOf(i), procs: usualProcs}
	if i < soakControlHosts {
		h.disk = filepath.Join(f.dir, "disk-"+h.ip)
	}
	ln, err := net.Listen("tcp", f.address(h.ip, portPeer))
	if err != nil {
		return err
	}
	f.network.relay(h.ip, h.listenIP, f.address(h.listenIP, portPeer), ln)
	f.hosts = append(f.hosts, h)
	return nil
}

// soakUpstreams describes the upstreams of the soak: engines that serve streams, the first of which
// sends garbage, and plain services.
func soakUpstreams() (list []soakUpstreamSpec) {
	for i := range soakEngines + soakServices {
		spec := soakUpstreamSpec{fmt.Sprint("up-", i), "records", emulator.Options{WorkTime: 20 * time.Millisecond, Seed: int64(i + 1)}}
		if i < soakEngines {
			e := enginemodel.TypicalOptions()
			e.PromptTokensPerMs, e.ColdTime, e.ColdPerSecond = 100, time.Second, coldCapacityPerSecond
			spec.service, spec.options.Engine = "engines", &e
		}
		if i == 0 {
			spec.options.GarbageRate, spec.options.GarbageKinds = soakGarbageRate, soakGarbageKinds()
		}
		list = append(list, spec)
	}
	return list
}

func (f *soakFleet) addSoakUpstream(i int, spec soakUpstreamSpec) error {
	u := &soakUpstream{name: spec.name}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	opts := spec.options
	opts.Name, opts.Service, opts.DataCentre, opts.Slots, opts.Log = spec.name, spec.service, dataCentreOf(i), soakSlots, quiet
	u.Emulator = emulator.New(opts)
	ln, err := net.Listen("tcp", f.addressPrefix+strconv.Itoa(50+i)+":0")
	if err != nil {
		return err
	}
	relay, err := net.Listen("tcp", f.addressPrefix+strconv.Itoa(150+i)+":0")
	if err != nil {
		return err
	}
	u.address = relay.Addr().String()
	if err := f.list.Add(u.Emulator, u.address); err != nil {
		return err
	}
	f.network.relay(u.name, "", ln.Addr().String(), relay)
	go func() { _ = u.Serve(ln) }() // ends with the emulator
	f.upstreams = append(f.upstreams, u)
	return nil
}

// serveList serves the list of instances.
func (f *soakFleet) serveList() error {
	ln, err := net.Listen("tcp", f.addressPrefix+"200:0")
	if err != nil {
		return err
	}
	f.listAddress = ln.Addr().String()
	f.listServer = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.listDown.Load() {
			http.Error(w, "not now", http.StatusServiceUnavailable)
			return
		}
		f.list.ServeHTTP(w, r)
	}), ReadHeaderTimeout: time.Second}
	go func() { _ = f.listServer.Serve(ln) }()
	return nil
}

// writeSettings writes the settings of a host; formGroup is true at its first start only.
func (f *soakFleet) writeSettings(h *soakHost, formGroup bool, seeds []string) (string, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "host = %q\ndata_centre = %q\ncaller_address = %q\nadmin_address = %q\npeer_address = %q\npeer_listen_address = %q\n",
		h.ip, h.dataCentre, f.address(h.ip, portCaller), f.address(h.ip, portAdmin), f.address(h.ip, portPeer), f.address(h.listenIP, portPeer))
	fmt.Fprintf(&b, "peer_key = %q\noperator_key_hashes = [%q]\ndata_folder = %q\nform_group = %v\ncontrol_seeds = [\"%s\"]\n",
		peerKey, hashKey(operatorKey), h.disk, formGroup, strings.Join(seeds, `", "`))
	if h.maxConnections > 0 {
		fmt.Fprintf(&b, "caller_limits = { max_connections = %d }\n", h.maxConnections)
	}
	fmt.Fprintf(&b, "shutdown_deadline = \"3s\"\n[edge]\ngateway_address = %q\ndiscovery_address = %q\nreadiness_address = %q\nupstream_list = %q\nconfig_max_age = \"3s\"\n",
		f.address(h.ip, portGateway), f.address(h.ip, portDiscovery), f.address(h.ip, portReadiness), f.listAddress)
	path := filepath.Join(f.dir, h.ip+".toml")
	temporary := path + ".next"
	if err := os.WriteFile(temporary, b.Bytes(), 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(temporary, path)
}

// seedAddresses returns the peer addresses of the control hosts, rotated to begin at first.
func (f *soakFleet) seedAddresses(first int) (list []string) {
	for i := range soakControlHosts {
		list = append(list, f.address(f.hosts[(first+i)%soakControlHosts].ip, portPeer))
	}
	return list
}

func (f *soakFleet) startSoakHost(h *soakHost) error {
	path, err := f.writeSettings(h, h.startCount == 0, f.seedAddresses(h.startCount))
	if err != nil {
		return err
	}
	h.startCount++
	h.process, err = startProcessWith(h.procs, f.dir, h.ip, "marigoldshuntd", "-settings", path)
	return err
}

// hostReady reports whether a host accepts requests.
func (f *soakFleet) hostReady(h *soakHost) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + f.address(h.ip, portReadiness) + "/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// apply applies a configuration file to the fleet and returns when the change is
// acknowledged.
func (f *soakFleet) apply(path string, timeout time.Duration) error {
	var admins []string
	for _, h := range f.hosts {
		admins = append(admins, f.address(h.ip, portAdmin))
	}
	var out bytes.Buffer
	args := []string{"-hosts", strings.Join(admins, ","), "-key", operatorKey, "-timeout", timeout.String(), "config", "apply", path}
	if code := ctl.Run(ctlContext, args, strings.NewReader(""), &out, &out); code != ctl.ExitOK {
		return fmt.Errorf("config apply: exit code %d: %s", code, out.String())
	}
	return nil
}

// close ends everything that the soak has started.
func (f *soakFleet) close() {
	for _, h := range f.hosts {
		h.process.kill()
	}
	for _, u := range f.upstreams {
		_ = u.Close()
	}
	f.network.close()
	for _, p := range f.ports {
		_ = p.Close()
	}
	if f.listServer != nil {
		_ = f.listServer.Close()
	}
}

// Fields of routes whose responses are streams.
const (
	streamOnce      = "prompt_affinity = true\nevent_gap = \"500ms\""
	resumableStream = "resumable = true\n" + streamOnce
)

// documentHead returns the begin of a configuration.
func documentHead(version int) string {
	return fmt.Sprintf("[[data_centre]]\nname = \"north\"\n[[data_centre]]\nname = \"south\"\n[routing]\nversion = %d\n[routing.limits]\nbody_bytes = 65536\ntokens_per_second = 200000.0\n", version)
}

func engineService(name, extra string) string {
	return fmt.Sprintf("[[routing.service]]\nname = %q\nmax_connections = 200\n%sengine = { slots = %d, memory_tokens = 218000, tokens_per_event = 6 }\n", name, extra, soakSlots)
}

func routeEntry(name, prefix, kind, service, extra string) string {
	return fmt.Sprintf("[[routing.route]]\nname = %q\nhost = \"soak.example\"\npath_prefix = %q\nkind = %q\nattempts = 2\ntimeout = \"4s\"\nobjective = \"800ms\"\nsplit = [{ service = %q, weight = 1 }]\n%s\n",
		name, prefix, kind, service, extra)
}

func accountEntry(name, credential string) string {
	return fmt.Sprintf("[[routing.account]]\nname = %q\ncredentials = [%q]\n", name, credential)
}

// soakDocument returns a configuration with a route and a credential that only this version
// has.
func soakDocument(version int) string {
	var b strings.Builder
	b.WriteString(documentHead(version))
	b.WriteString("[[routing.service]]\nname = \"records\"\nmax_connections = 100\n")
	b.WriteString(engineService("engines", fmt.Sprintf("cold_for = \"1s\"\ncold_per_second = %d.0\n", coldLimitPerSecond)))
	b.WriteString(routeEntry("orders", "/orders/", "non_idempotent", "records", ""))
	b.WriteString(routeEntry("reads", "/reads/", "idempotent", "records", ""))
	b.WriteString(routeEntry("notes", "/events/", "stream", "engines", resumableStream))
	b.WriteString(routeEntry("drafts", "/events/once/", "stream", "engines", streamOnce))
	b.WriteString(routeEntry("version", versionPath(version), "idempotent", "records", ""))
	for i := range soakMoreRoutes(version) {
		b.WriteString(routeEntry(fmt.Sprint("more-", i), fmt.Sprintf("/more/%016x/", i), "idempotent", "records", ""))
	}
	b.WriteString(accountEntry("district", soakCredential))
	b.WriteString(accountEntry("visitor", versionCredential(version)))
	return b.String()
}

// soakMoreRoutes returns the number of routes that a version has beside those that callers use. The
// document grows above the size of a frame between hosts, changes a little, and shrinks again.
func soakMoreRoutes(version int) int {
	if version%12 < 4 {
		return 0
	}
	return 4_000
}

const (
	soakCredential = "soak-district-credential"
	// coldLimitPerSecond is the limit in the document, coldCapacityPerSecond is what a cold
	// engine can take.
	coldLimitPerSecond    = 10
	coldCapacityPerSecond = 20
)

func versionPath(version int) string       { return fmt.Sprintf("/v%d/", version) }
func versionCredential(version int) string { return fmt.Sprintf("soak-visitor-%d", version) }
