package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/ctl"
	"marigoldshunt/internal/emulator"
	"marigoldshunt/internal/enginemodel"
)

// Sizes of a fleet under soak.
const (
	soakHosts   = 5
	soakControl = 3
	soakEngines = 3
	soakRecords = 2
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

// soakHost is one real daemon. Other hosts reach it at its ip through a relay.
type soakHost struct {
	ip, listen, dataCentre string
	disk                   string
	p                      *process
	// touched is when a fault last began or ended here, ending when it was last told to
	// stop.
	touched time.Time
	frozen  bool
	started int
}

// soakFleet is a fleet of routed services in the native formats.
type soakFleet struct {
	dir, net  string
	ports     [portCount]int
	network   *network
	hosts     []*soakHost
	upstreams []*soakUpstream
	list      *http.Server
	listAt    string
	listDown  atomic.Bool
	mu        sync.Mutex
}

// soakUpstream is an emulator in the harness, so that its counts survive its crashes.
type soakUpstream struct {
	*emulator.Emulator
	service, dataCentre, address string
	name                         string
}

func newSoakFleet(dir string) (*soakFleet, error) {
	f := &soakFleet{dir: dir, net: fmt.Sprintf("127.%d.%d.", network127(), scripts.Add(1)), network: newNetwork()}
	if err := f.takePorts(); err != nil {
		return nil, err
	}
	for i := range soakHosts {
		if err := f.addSoakHost(i); err != nil {
			return nil, err
		}
	}
	for i := range soakEngines + soakRecords {
		if err := f.addSoakUpstream(i); err != nil {
			return nil, err
		}
	}
	return f, f.serveList()
}

// takePorts finds ports that are free on all addresses of the network.
func (f *soakFleet) takePorts() error {
	for i := range f.ports {
		a, ln, err := (&fleet{net: f.net}).address(1)
		if err != nil {
			return err
		}
		ln.Close()
		_, port, err := net.SplitHostPort(a)
		if err != nil {
			return err
		}
		if f.ports[i], err = strconv.Atoi(port); err != nil {
			return err
		}
	}
	return nil
}

func (f *soakFleet) at(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(f.ports[port]))
}

func dataCentreOf(i int) string { return []string{"north", "south"}[i%2] }

func (f *soakFleet) addSoakHost(i int) error {
	h := &soakHost{ip: f.net + strconv.Itoa(1+i), listen: f.net + strconv.Itoa(101+i), dataCentre: dataCentreOf(i)}
	if i < soakControl {
		h.disk = filepath.Join(f.dir, "disk-"+h.ip)
	}
	ln, err := net.Listen("tcp", f.at(h.ip, portPeer))
	if err != nil {
		return err
	}
	f.network.relay(h.ip, h.listen, f.at(h.listen, portPeer), ln)
	f.hosts = append(f.hosts, h)
	return nil
}

func (f *soakFleet) addSoakUpstream(i int) error {
	u := &soakUpstream{service: "engines", dataCentre: dataCentreOf(i), name: fmt.Sprint("up-", i)}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	o := emulator.Options{Name: u.name, Slots: 16, WorkTime: 20 * time.Millisecond, Seed: int64(i + 1), Log: quiet}
	if i < soakEngines {
		e := enginemodel.Typical()
		e.ReadPerMs, e.ColdFor, e.ColdPerSecond = 100, time.Second, coldBound
		o.Engine = &e
	} else {
		u.service = "records"
	}
	u.Emulator = emulator.New(o)
	ln, err := net.Listen("tcp", f.net+strconv.Itoa(50+i)+":0")
	if err != nil {
		return err
	}
	relay, err := net.Listen("tcp", f.net+strconv.Itoa(150+i)+":0")
	if err != nil {
		return err
	}
	u.address = relay.Addr().String()
	f.network.relay(u.name, "", ln.Addr().String(), relay)
	go func() { _ = u.Serve(ln) }() // ends with the emulator
	f.upstreams = append(f.upstreams, u)
	return nil
}

// serveList publishes the list of instances.
func (f *soakFleet) serveList() error {
	ln, err := net.Listen("tcp", f.net+"200:0")
	if err != nil {
		return err
	}
	f.listAt = ln.Addr().String()
	f.list = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if f.listDown.Load() {
			http.Error(w, "not now", http.StatusServiceUnavailable)
			return
		}
		var out catalog.Entries
		for _, u := range f.upstreams {
			out.Instances = append(out.Instances, catalog.Entry{
				ID: u.Instance(), Service: u.service, DataCentre: u.dataCentre, Address: u.address, Slots: 16,
			})
		}
		_ = json.NewEncoder(w).Encode(out) // a reader that left asks again
	}), ReadHeaderTimeout: time.Second}
	go func() { _ = f.list.Serve(ln) }()
	return nil
}

// writeSettings writes the settings of a host; form is true at the first start only.
func (f *soakFleet) writeSettings(h *soakHost, form bool, seeds []string) (string, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "host = %q\ndata_centre = %q\ncaller_address = %q\nadmin_address = %q\npeer_address = %q\npeer_listen_address = %q\n",
		h.ip, h.dataCentre, f.at(h.ip, portCaller), f.at(h.ip, portAdmin), f.at(h.ip, portPeer), f.at(h.listen, portPeer))
	fmt.Fprintf(&b, "peer_key = %q\noperator_key_hashes = [%q]\ndata_folder = %q\nform_group = %v\ncontrol_seeds = [\"%s\"]\n",
		peerKey, hash(operatorKey), h.disk, form, strings.Join(seeds, `", "`))
	fmt.Fprintf(&b, "shutdown_deadline = \"3s\"\n[edge]\ngateway_address = %q\ndiscovery_address = %q\nreadiness_address = %q\nupstream_list = %q\nconfig_max_age = \"3s\"\n",
		f.at(h.ip, portGateway), f.at(h.ip, portDiscovery), f.at(h.ip, portReadiness), f.listAt)
	path := filepath.Join(f.dir, h.ip+".toml")
	next := path + ".next"
	if err := os.WriteFile(next, b.Bytes(), 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(next, path)
}

// seeds returns the addresses of the control hosts, the first one at from.
func (f *soakFleet) seeds(from int) (list []string) {
	for i := range soakControl {
		list = append(list, f.at(f.hosts[(from+i)%soakControl].ip, portPeer))
	}
	return list
}

func (f *soakFleet) startSoakHost(h *soakHost) error {
	path, err := f.writeSettings(h, h.started == 0, f.seeds(h.started))
	if err != nil {
		return err
	}
	h.started++
	h.p, err = startProcess(f.dir, h.ip, "marigoldshuntd", "-settings", path)
	return err
}

// ready reports whether a host takes requests.
func (f *soakFleet) ready(h *soakHost) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + f.at(h.ip, portReadiness) + "/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// apply has the fleet take a configuration file; it returns when that is acknowledged.
func (f *soakFleet) apply(path string, timeout time.Duration) error {
	var admins []string
	for _, h := range f.hosts {
		admins = append(admins, f.at(h.ip, portAdmin))
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
		h.p.kill()
	}
	for _, u := range f.upstreams {
		_ = u.Close()
	}
	f.network.close()
	if f.list != nil {
		_ = f.list.Close()
	}
}

// soakDocument is a configuration with a route and a credential that only this version has.
func soakDocument(version int) string {
	route := func(name, prefix, kind, service, extra string) string {
		return fmt.Sprintf("[[routing.route]]\nname = %q\nhost = \"soak.example\"\npath_prefix = %q\nkind = %q\nattempts = 2\ntimeout = \"4s\"\nobjective = \"800ms\"\nsplit = [{ service = %q, weight = 1 }]\n%s\n",
			name, prefix, kind, service, extra)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[[data_centre]]\nname = \"north\"\n[[data_centre]]\nname = \"south\"\n[routing]\nversion = %d\n[routing.limits]\nbody_bytes = 65536\ntokens_per_second = 200000.0\n", version)
	b.WriteString("[[routing.service]]\nname = \"records\"\nmax_connections = 100\n")
	fmt.Fprintf(&b, "[[routing.service]]\nname = \"engines\"\nmax_connections = 200\ncold_for = \"1s\"\ncold_per_second = %d.0\nengine = { slots = 16, memory_tokens = 218000, tokens_per_event = 6 }\n", coldPerSecond)
	b.WriteString(route("orders", "/orders/", "non_idempotent", "records", ""))
	b.WriteString(route("reads", "/reads/", "idempotent", "records", ""))
	b.WriteString(route("notes", "/events/", "stream", "engines", "resumable = true\nprompt_affinity = true\nevent_gap = \"500ms\""))
	b.WriteString(route("drafts", "/events/once/", "stream", "engines", "prompt_affinity = true\nevent_gap = \"500ms\""))
	b.WriteString(route("version", versionPath(version), "idempotent", "records", ""))
	fmt.Fprintf(&b, "[[routing.account]]\nname = \"district\"\ncredentials = [%q]\n", soakCredential)
	fmt.Fprintf(&b, "[[routing.account]]\nname = \"visitor\"\ncredentials = [%q]\n", versionCredential(version))
	return b.String()
}

const (
	soakCredential = "soak-district-credential"
	// coldPerSecond is what the document allows, coldBound what a cold engine bears.
	coldPerSecond = 10
	coldBound     = 20
)

func versionPath(version int) string       { return fmt.Sprintf("/v%d/", version) }
func versionCredential(version int) string { return fmt.Sprintf("soak-visitor-%d", version) }
