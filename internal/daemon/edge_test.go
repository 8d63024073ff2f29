package daemon

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/control"
	"marigoldshunt/internal/emulator"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/freeport"
	"marigoldshunt/internal/native"
	"marigoldshunt/internal/routing"
	"marigoldshunt/internal/settings"
	"marigoldshunt/internal/wire"
)

// edgeFleet is a group of up to three hosts on loopback, configured with seeds only, and one
// upstream.
type edgeFleet struct {
	*qt.C
	t        *testing.T
	ports    [7]int
	upstream string
	emulator *emulator.Emulator
	hosts    map[string]*edgeHost
}

type edgeHost struct {
	d    *Daemon
	stop context.CancelFunc
	done chan error
}

func newEdgeFleet(t *testing.T) *edgeFleet {
	return newEdgeFleetWith(t, func(*emulator.Options) {})
}

// newEdgeFleetWith lets a test change the options of the upstream.
func newEdgeFleetWith(t *testing.T, change func(*emulator.Options)) *edgeFleet {
	f := &edgeFleet{C: qt.New(t), t: t, hosts: map[string]*edgeHost{}}
	for i := range f.ports {
		port, err := freeport.Reserve("0.0.0.0", 0)
		f.Assert(err, qt.IsNil)
		t.Cleanup(func() { f.Check(port.Close(), qt.IsNil) })
		f.ports[i] = port.Port()
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
	f.upstream = ln.Addr().String()
	emulatorLog := logrus.New()
	emulatorLog.SetOutput(io.Discard)
	opts := emulator.Options{Name: "up", Service: "records", DataCentre: "north", TokensPerResponse: 6, Resume: true, Seed: 1, Log: emulatorLog}
	change(&opts)
	e := emulator.New(opts)
	f.emulator = e
	go func() { _ = e.Serve(ln) }()
	t.Cleanup(func() {
		for _, h := range f.hosts {
			h.stop()
			<-h.done
		}
		e.Close()
	})
	return f
}

func (f *edgeFleet) start(ip string, formGroup bool, folder string) {
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, f.ports[port]) }
	text := fmt.Sprintf(`host = %q
data_centre = "north"
caller_address = %q
admin_address = %q
peer_address = %q
data_folder = %q
peer_key = "0123456789abcdef0123456789abcdef"
control_seeds = ["127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1"]
form_group = %v
log_level = "error"
shutdown_deadline = "2s"
[edge]
gateway_address = %q
discovery_address = %q
readiness_address = %q
upstream_list = %q
`, ip, address(0), address(1), address(2), folder, formGroup, address(3), address(4), address(5), f.upstream)
	path := filepath.Join(f.t.TempDir(), "settings.toml")
	f.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	s, err := settings.Load(path)
	f.Assert(err, qt.IsNil)
	s.Edge.OffloadAddress = address(6) // the port after that of peer_address may be in use
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, stop := context.WithCancel(context.Background())
	h := &edgeHost{d: New(Options{Settings: s, SettingsPath: path, Log: log}), stop: stop, done: make(chan error, 1)}
	go func() { h.done <- h.d.Run(context.Background(), ctx) }()
	f.hosts[ip] = h
}

func (f *edgeFleet) kill(ip string) {
	f.hosts[ip].stop()
	<-f.hosts[ip].done
	delete(f.hosts, ip)
}

// newGroupOfThree starts three hosts with empty disks and waits until they form a control group.
func newGroupOfThree(t *testing.T) (f *edgeFleet, ips []string) {
	f = newEdgeFleet(t)
	ips = []string{"127.0.0.1", "127.0.0.2", "127.0.0.3"}
	for _, ip := range ips {
		f.start(ip, true, t.TempDir())
	}
	f.waitFor("three voters", func() bool { return f.voters(ips[0]) == 3 })
	return f, ips
}

// waitFor waits until ok returns true, for at most 20 s.
func (f *edgeFleet) waitFor(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.Fatalf("not within 20 s: %s", what)
}

func (f *edgeFleet) voters(ip string) (n int) {
	for _, h := range f.hosts[ip].d.controlClient.Hosts() {
		if h.Voter && h.Alive {
			n++
		}
	}
	return n
}

// presentReplicasVote reports whether, on all hosts, the voters are exactly the replicas on
// the present disks. The list of hosts does not tell a host's lost replica from its new one,
// and the group does not survive the loss of a second host before this is true.
func (f *edgeFleet) presentReplicasVote(ips []string) bool {
	for _, ip := range ips {
		n := f.hosts[ip].d.controlRole.node.Load()
		if n == nil || len(n.Status().Members) != len(ips) {
			return false
		}
		for _, other := range ips {
			o := f.hosts[other].d.controlRole.node.Load()
			if o == nil || !slices.ContainsFunc(n.Status().Members, func(m control.MemberStatus) bool {
				return m.Replica == o.Status().Replica && !m.Learner
			}) {
				return false
			}
		}
	}
	return true
}

// get sends a GET request to a port of a host and returns status and body.
func (f *edgeFleet) get(ip string, port int, path string) (int, string) {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d%s", ip, f.ports[port], path))
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	f.Assert(err, qt.IsNil)
	return resp.StatusCode, string(b)
}

// sendRequest sends a routed request to a gateway.
func (f *edgeFleet) sendRequest(address, method, path string, header ...string) (*http.Response, string, error) {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		return nil, "", err
	}
	defer nc.Close()
	fmt.Fprintf(nc, "%s %s HTTP/1.1\r\nHost: records.example\r\nX-Request-Id: q1\r\nX-Api-Key: secret\r\n%sContent-Length: 0\r\n\r\n", method, path, strings.Join(append(header, ""), "\r\n"))
	resp, err := http.ReadResponse(bufio.NewReader(nc), &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func edgeDocument(version uint64) *routing.Document {
	split := []routing.WeightedService{{Service: "records", Weight: 1}}
	return &routing.Document{
		Version: version,
		Routes: []routing.Route{
			{Name: "orders", Host: "records.example", PathPrefix: "/orders/", Kind: routing.NonIdempotent, Attempts: 1, Timeout: 5 * time.Second, Split: split},
			{Name: "events", Host: "records.example", PathPrefix: "/events/", Kind: routing.Stream, Resumable: true, Attempts: 2, Timeout: 5 * time.Second, Split: split},
		},
		Services: []routing.Service{{Name: "records"}},
		Accounts: []routing.Account{{Name: "district", Credentials: []string{"secret"}}},
	}
}

// Guards against hosts that need an adapter of an installation or an operator to form the
// control group, to find upstreams, to serve discovery and routed requests, or to repair the
// group after a lost disk.
func TestRoutedServicesInNativeFormats(t *testing.T) {
	f := newEdgeFleet(t)
	ips := []string{"127.0.0.1", "127.0.0.2", "127.0.0.3"}
	folders := map[string]string{}
	for _, ip := range ips {
		folders[ip] = t.TempDir()
		f.start(ip, true, folders[ip])
	}
	f.waitFor("three voters", func() bool { return f.voters(ips[0]) == 3 })
	status, _ := f.get(ips[0], 5, "/v1/ready")
	f.Assert(status, qt.Equals, 503)

	// Operators apply a document through any host. The document with the lower version comes
	// second and does not replace the higher one.
	put := func(ip string, version uint64) error {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		doc := edgeDocument(version)
		return f.hosts[ip].d.edge.PutDocument(ctx, doc, fmt.Append(nil, "document ", version))
	}
	f.Assert(put(ips[1], 4), qt.IsNil)
	f.Assert(put(ips[2], 3), qt.IsNil)
	f.waitFor("ready hosts", func() bool {
		for _, ip := range ips {
			if status, _ := f.get(ip, 5, "/v1/ready"); status != 200 {
				return false
			}
		}
		return true
	})

	// The metrics have the latencies of the control group and the disk.
	for _, name := range []string{"control.round_trip", "wal.sync"} {
		f.Assert(metrics.GetOrRegisterTimer(name, f.hosts[ips[0]].d.registry).Count() > 0, qt.IsTrue, qt.Commentf("%s", name))
	}

	// Discovery works without a credential.
	var answer native.ConnectAnswer
	f.waitFor("three addresses", func() bool {
		_, body := f.get(ips[2], 4, "/v1/connect?data_centre=north")
		return json.Unmarshal([]byte(body), &answer) == nil && len(answer.Addresses) == 3
	})
	for _, address := range answer.Addresses {
		f.waitFor("an answer from an upstream on the list", func() bool {
			resp, body, err := f.sendRequest(address, "POST", "/orders/7?x=1")
			return err == nil && resp.StatusCode == 200 && strings.Contains(body, `"query":"x=1"`)
		})
		resp, body, err := f.sendRequest(address, "GET", "/events/1")
		f.Assert(err, qt.IsNil)
		f.Assert(resp.StatusCode, qt.Equals, 200)
		f.Assert(strings.Count(body, "id: "), qt.Equals, 6)
	}

	// A host loses its disk and rejoins without an operator.
	f.kill(ips[1])
	f.start(ips[1], false, t.TempDir())
	f.waitFor("three voters on the present disks", func() bool { return f.presentReplicasVote(ips) })
	f.kill(ips[0])
	f.waitFor("an accepted change after a second loss", func() bool { return put(ips[1], 9) == nil })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	f.waitFor("the new document read back", func() bool {
		source, err := f.hosts[ips[2]].d.edge.DocumentSource(ctx)
		return err == nil && string(source) == "document 9"
	})

	// A data centre that is taken out of service gets no more requests, and callers get a 503
	// with Retry-After.
	f.orderDataCentre(ips[2], "north", true)
	f.waitFor("a refusal with Retry-After", func() bool {
		resp, _, err := f.sendRequest(fmt.Sprintf("%s:%d", ips[2], f.ports[3]), "POST", "/orders/8")
		return err == nil && resp.StatusCode == 503 && resp.Header.Get("Retry-After") != ""
	})
}

// Guards against an acknowledged document that does not reach the other hosts because of its size, and
// against a host that restarts meanwhile and does not get it.
func TestDocumentAboveTheSizeOfAFrameIsInForceOnAllHosts(t *testing.T) {
	f, ips := newGroupOfThree(t)
	put := func(ip string, doc *routing.Document) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		source, err := json.Marshal(doc)
		f.Assert(err, qt.IsNil)
		f.Assert(f.hosts[ip].d.edge.PutDocument(ctx, doc, source), qt.IsNil)
	}
	inForce := func(doc *routing.Document) func() bool {
		return func() bool {
			for _, ip := range ips {
				e := f.hosts[ip].d.edge
				table := e.routingTable.Load()
				if table == nil || table.Document.Version != doc.Version || len(table.Document.Routes) != len(doc.Routes) || !e.Ready() {
					return false
				}
			}
			return true
		}
	}
	first := edgeDocument(1)
	put(ips[0], first)
	f.waitFor("the first document", inForce(first))
	large := edgeDocument(2)
	for i := range 8_000 {
		r := large.Routes[0]
		r.Name, r.PathPrefix = fmt.Sprint("more-", i), fmt.Sprintf("/more/%016x/", i)
		large.Routes = append(large.Routes, r)
	}
	put(ips[1], large)
	f.kill(ips[2])
	f.start(ips[2], true, t.TempDir())
	f.waitFor("the large document", inForce(large))
	small := large.Clone()
	small.Version = 3
	small.Routes[4_000].Timeout = time.Minute
	put(ips[2], &small)
	f.waitFor("the small change", inForce(&small))
	for _, ip := range ips {
		f.Assert(f.hosts[ip].d.edge.routingTable.Load().Document.Routes, qt.DeepEquals, small.Routes)
	}
}

// Guards against an isolated host that serves with an outdated configuration, or that answers
// a read of the configuration which it can't confirm.
func TestIsolatedHostRefusesRequests(t *testing.T) {
	f, ips := newGroupOfThree(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	f.Assert(f.hosts[ips[0]].d.edge.PutDocument(ctx, edgeDocument(1), []byte("one")), qt.IsNil)
	f.waitFor("a ready host", func() bool { return f.hosts[ips[0]].d.edge.Ready() })
	f.kill(ips[1])
	f.kill(ips[2])
	f.waitFor("a host that is not ready", func() bool { return !f.hosts[ips[0]].d.edge.Ready() })
	resp, _, err := f.sendRequest(fmt.Sprintf("%s:%d", ips[0], f.ports[3]), "POST", "/orders/8")
	f.Assert(err, qt.IsNil)
	f.Assert(resp.StatusCode, qt.Equals, 503)
	shortCtx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err = f.hosts[ips[0]].d.edge.DocumentSource(shortCtx)
	f.Assert(fault.CodeOf(err), qt.Equals, fault.HostIsolated)
}

// Guards against hosts that don't take the requests that other hosts pass on, and against passing
// requests to hosts that are dead, in another data centre, or the host itself.
func TestHostsTakeRequestsThatArePassedOn(t *testing.T) {
	f, ips := newGroupOfThree(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	first := f.hosts[ips[0]].d.edge
	f.Assert(first.PutDocument(ctx, edgeDocument(1), []byte("one")), qt.IsNil)
	passOn := func() (int, error) {
		nc, err := first.offloadOptions().Dial(ctx, ips[1])
		if err != nil {
			return 0, err
		}
		defer nc.Close()
		f.Assert(nc.LocalAddr().(*net.TCPAddr).IP.String(), qt.Equals, ips[0])
		fmt.Fprint(nc, "POST /orders/8 HTTP/1.1\r\nHost: records.example\r\nX-Request-Id: q1\r\nX-Api-Key: secret\r\nContent-Length: 0\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, resp.Body.Close()
	}
	f.waitFor("a response of the other host", func() bool {
		status, err := passOn()
		return err == nil && status == 200
	})
	f.Assert(first.offloadHosts(first.d.controlClient.Hosts()), qt.DeepEquals, ips[1:])
	f.kill(ips[1])
	f.waitFor("the dead host to be left out", func() bool {
		hosts := first.offloadHosts(first.d.controlClient.Hosts())
		return len(hosts) == 1 && hosts[0] == ips[2]
	})
	f.Assert(first.offloadHosts([]wire.HostStatus{{Host: ips[1], Alive: true, DataCentre: "south"}, {Host: ips[2], Alive: true, Leaving: true, DataCentre: "north"}}), qt.HasLen, 0)
}

// Guards against changed seeds in the settings file that take effect only after a restart.
func TestSeedsReload(t *testing.T) {
	f := newEdgeFleet(t)
	f.start("127.0.0.1", false, "")
	d := f.hosts["127.0.0.1"].d
	text, err := os.ReadFile(d.opts.SettingsPath)
	f.Assert(err, qt.IsNil)
	changed := strings.Replace(string(text), "127.0.0.3:1", "127.0.0.9:1", 1)
	f.Assert(os.WriteFile(d.opts.SettingsPath, []byte(changed), 0o600), qt.IsNil)
	f.waitFor("the new seed", func() bool {
		seeds := controlHosts(d.controlSettings.Load())
		return len(seeds) == 3 && seeds[2] == "127.0.0.9"
	})
	_, err = netip.ParseAddr(d.settings.Host)
	f.Assert(err, qt.IsNil)
	f.Assert(d.controlClient.Config(), qt.DeepEquals, config.New())
}
