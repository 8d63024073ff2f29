package ctl

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/admin"
	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/freeport"
	"marigoldshunt/internal/hlc"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/timeline"
	"marigoldshunt/internal/wire"
)

const testCredential = "operator-credential"

// controlGroup is a fake control group: the replicated state without replication.
type controlGroup struct {
	mu    sync.Mutex
	state *state.State
	index uint64
	// loseAnswers is the number of changes whose answer is lost after the commit.
	loseAnswers int
}

func (g *controlGroup) apply(c state.Command) (state.Result, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	data, err := c.Encode()
	if err != nil {
		return state.Result{}, err
	}
	g.index++
	r := g.state.Apply(g.index, data)
	if g.loseAnswers > 0 {
		g.loseAnswers--
		return r, fault.New(fault.Timeout, fault.MayHaveRun, "the answer is lost")
	}
	return r, r.Err()
}

// testHost is one host of the fleet behind the real admin API.
type testHost struct {
	*controlGroup
	ring    *timeline.Ring
	address string
	mu      sync.Mutex
	status  admin.Status
	inits   []string
	lifted  []wire.Digest
	initErr error
	// polled is called for every status request.
	polled func()
}

func (h *testHost) Config() *config.Config {
	h.controlGroup.mu.Lock()
	defer h.controlGroup.mu.Unlock()
	return h.state.Config()
}

func (h *testHost) Change(_ context.Context, id, operator string, changes []config.Change) (uint64, error) {
	r, err := h.apply(state.Command{Config: &state.ConfigChange{RequestID: id, Operator: operator, Changes: changes}})
	return r.Revision, err
}

func (h *testHost) FormGroup(_ context.Context, hosts []string) error {
	h.inits = append(h.inits, strings.Join(hosts, "+"))
	return h.initErr
}
func (h *testHost) ReplaceReplica(_ context.Context, name string) error {
	return fault.New(fault.MembershipConflict, fault.NotRun, "%s is being replaced", name)
}

func (h *testHost) Order(_ context.Context, id, operator string, o admin.Order) (admin.OrderResponse, error) {
	return admin.OrderResponse{Fence: 7, Status: "pending", Message: o.Kind + " " + o.Upstream + " " + o.Name}, nil
}

func (h *testHost) LiftQuarantine(_ context.Context, fingerprint wire.Digest) error {
	if fingerprint == (wire.Digest{}) {
		return fault.New(fault.NotFound, fault.NotRun, "no crash marks")
	}
	h.lifted = append(h.lifted, fingerprint)
	return nil
}

func (h *testHost) Status() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.polled != nil {
		h.polled()
	}
	s := h.status
	s.Revision = h.Config().Revision
	return s
}

func startHost(c *qt.C, g *controlGroup, name string) *testHost {
	clock := hlc.New(nil)
	h := &testHost{controlGroup: g, ring: timeline.NewRing(name, clock), status: admin.Status{Host: name}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	sum := sha256.Sum256([]byte(testCredential))
	reg := metrics.NewRegistry()
	s := admin.New(admin.Options{
		Host: name, OperatorActions: h, Timeline: h.ring, Metrics: reg, Clock: clock, Log: log, Registry: reg,
		BootstrapHashes: []string{hex.EncodeToString(sum[:])},
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	h.address = ln.Addr().String()
	go s.Serve(ln)
	c.Cleanup(func() { s.Shutdown(context.Background()) })
	return h
}

func newGroup() *controlGroup { return &controlGroup{state: state.New("test")} }

type output struct{ out, err bytes.Buffer }

// run executes the tool with the given hosts.
func run(ctx context.Context, hosts string, args ...string) (int, *output) {
	o := &output{}
	a := &app{in: strings.NewReader(testCredential + "\n"), out: &o.out, errOut: &o.err, pollInterval: time.Millisecond}
	flags := []string{"--hosts", hosts, "--key", testCredential, "--timeout", "10s"}
	return a.run(ctx, append(flags, args...)), o
}

const objectsTOML = `
[[data_centre]]
name = "suva"
[[pool]]
name = "m"
kind = "model"
max_cost = 100.0
default_cost = 10.0
profile = {cold_concurrency = 1, max_concurrency = 4, warm_after = 2}
[[upstream]]
name = "u1"
pool = "m"
data_centre = "suva"
address = "127.0.0.1:9"
[[contract]]
account = "district-4"
weight = 1.0
key_hashes = ["%s"]
requests_per_second = 10.0
burst = 10
concurrency = 2
queue_length = 10
max_body_bytes = 1000
max_run = "10s"
max_wait = "5s"
pools = ["m"]
`

func applyObjects(c *qt.C, hosts, text string) (int, *output) {
	sum := sha256.Sum256([]byte("caller"))
	path := filepath.Join(c.TempDir(), "objects.toml")
	c.Assert(os.WriteFile(path, fmt.Appendf(nil, text, hex.EncodeToString(sum[:])), 0o600), qt.IsNil)
	return run(context.Background(), hosts, "config", "apply", path)
}

// closedAddress returns an address on which nobody listens until the end of the test.
func closedAddress(c *qt.C) string {
	port, err := freeport.Reserve("127.0.0.1", 0)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(port.Close(), qt.IsNil) })
	return port.Address()
}

// Guards against a change that is lost, applied twice or not shown when the first host is
// down and the answer of the second is lost after the commit.
func TestConfigApply(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	h := startHost(c, g, "h1")
	hosts := closedAddress(c) + "," + h.address
	g.loseAnswers = 1
	code, o := applyObjects(c, hosts, objectsTOML)
	c.Assert(code, qt.Equals, ExitOK, qt.Commentf("%s", &o.err))
	c.Assert(o.out.String(), qt.Matches, `(?s)\+ data_centre suva.*\+ contract district-4: .*max_run=10s.*4 objects differ, 0 are unchanged\.\nAccepted as revision 1\.\n`)
	c.Assert(h.Config().Revision, qt.Equals, uint64(1))

	code, o = applyObjects(c, hosts, strings.Replace(objectsTOML, "weight = 1.0", "weight = 2.5", 1))
	c.Assert(code, qt.Equals, ExitOK)
	c.Assert(o.out.String(), qt.Equals, "~ contract district-4: weight 1 -> 2.5\n1 objects differ, 3 are unchanged.\nAccepted as revision 2.\n")

	code, o = applyObjects(c, hosts, strings.Replace(objectsTOML, "weight = 1.0", "weight = 3.0\nif_revision = 1", 1))
	c.Assert(code, qt.Equals, ExitConflict)
	c.Assert(o.err.String(), qt.Contains, "revision_conflict")
	c.Assert(o.err.String(), qt.Contains, "The object is at revision 2.")
	code, o = applyObjects(c, hosts, strings.Replace(objectsTOML, "weight", "wait", 1))
	c.Assert(code, qt.Equals, ExitInvalid)
	c.Assert(o.err.String(), qt.Contains, "wait")
}

// Guards against resetting fields whose flag was not given, and against a deletion that
// can't be repeated after its answer was lost.
func TestContract(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	h := startHost(c, g, "h1")
	ctx := context.Background()
	applyObjects(c, h.address, objectsTOML)
	code, o := run(ctx, h.address, "contract", "set", "district-4", "--weight", "4", "--max-wait", "7s")
	c.Assert(code, qt.Equals, ExitOK)
	c.Assert(o.out.String(), qt.Contains, "~ contract district-4: max_wait 5s -> 7s, weight 1 -> 4\n")
	got := h.Config().Contracts["district-4"]
	c.Assert([]any{got.Weight, got.MaxWait, got.Burst, got.Pools}, qt.DeepEquals, []any{4.0, 7 * time.Second, 10, []string{"m"}})
	code, o = run(ctx, h.address, "--json", "contract", "get", "district-4")
	c.Assert(code, qt.Equals, ExitOK)
	var shown config.Contract
	c.Assert(json.Unmarshal(o.out.Bytes(), &shown), qt.IsNil)
	c.Assert(shown, qt.DeepEquals, got)
	del := []string{"contract", "delete", "district-4", "--request-id", "r1", "--if-revision", "2"}
	for range 2 {
		code, o = run(ctx, h.address, del...)
		c.Assert(code, qt.Equals, ExitOK, qt.Commentf("%s", &o.err))
		c.Assert(o.out.String(), qt.Contains, "Accepted as revision 3.")
	}
	code, _ = run(ctx, h.address, "contract", "get", "district-4")
	c.Assert(code, qt.Equals, ExitNotFound)
}

// Guards against reporting a data centre as idle while a request runs there, a host has
// not applied the change, or a live host does not answer.
func TestDataCentreOut(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	h1, h2 := startHost(c, g, "h1"), startHost(c, g, "h2")
	unreachable := closedAddress(c)
	text := objectsTOML
	for i, address := range []string{h1.address, h2.address, unreachable} {
		text += fmt.Sprintf("[[host]]\nname = \"h%d\"\ndata_centre = \"suva\"\ncaller_address = \"127.0.0.1:%d\"\nadmin_address = \"%s\"\npeer_address = \"127.0.0.1:%d\"\n",
			i+1, 10+i, address, 20+i)
	}
	code, o := applyObjects(c, h1.address, text)
	c.Assert(code, qt.Equals, ExitOK, qt.Commentf("%s", &o.err))
	h1.status.Running, h2.status.Running = 3, 1
	alive := true
	polls := 0
	h1.polled = func() {
		switch polls++; polls {
		case 3:
			h1.status.Running = 0
		case 5:
			alive = false
		}
		h1.status.Hosts = []admin.HostStatus{{Host: "h3", Alive: alive}}
	}
	h2polls := 0
	h2.polled = func() {
		if h2polls++; h2polls == 7 {
			h2.status.Running = 0
		}
	}
	code, o = run(context.Background(), h1.address, "datacentre", "out", "suva")
	c.Assert(code, qt.Equals, ExitOK, qt.Commentf("%s", &o.err))
	c.Assert(h1.Config().DataCentres["suva"].Out, qt.IsTrue)
	c.Assert(o.out.String(), qt.Equals, "data centre suva: 4 requests running; no answer from h3\n"+
		"data centre suva: 1 requests running; no answer from h3\n"+
		"data centre suva: 1 requests running\ndata centre suva: 0 requests running\n")
	code, _ = run(context.Background(), h1.address, "datacentre", "back", "suva")
	c.Assert(code, qt.Equals, ExitOK)
	c.Assert(h1.Config().DataCentres["suva"].Out, qt.IsFalse)
	code, _ = run(context.Background(), h1.address, "upstream", "out", "absent")
	c.Assert(code, qt.Equals, ExitNotFound)
}

// Guards against a merged timeline that is out of order or shows events twice, and against
// -follow printing an event before an earlier one of a slower host.
func TestTimeline(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	h1, h2 := startHost(c, g, "h1"), startHost(c, g, "h2")
	for i := range 5 {
		h1.ring.Add("p", "k", "i", fmt.Sprint(i))
		h2.ring.Add("p", "k", "i", fmt.Sprint(i))
	}
	code, o := run(context.Background(), h1.address+","+h2.address, "--json", "timeline", "--since", "1h")
	c.Assert(code, qt.Equals, ExitOK)
	last, n := uint64(0), 0
	for d := json.NewDecoder(&o.out); d.More(); n++ {
		var e timeline.Event
		c.Assert(d.Decode(&e), qt.IsNil)
		c.Assert(e.HLC >= last, qt.IsTrue)
		last = e.HLC
	}
	c.Assert(n, qt.Equals, 10)

	m := newMerger()
	ev := func(host string, clock uint64) timeline.Event { return timeline.Event{Host: host, HLC: clock} }
	m.add("a", &admin.TimelineResponse{Host: "h1", UpTo: 10, Events: []timeline.Event{ev("h1", 4), ev("h1", 9)}})
	m.add("b", &admin.TimelineResponse{Host: "h2", UpTo: 6, Events: []timeline.Event{ev("h2", 5)}})
	m.add("c", &admin.TimelineResponse{Host: "h1", UpTo: 1, Events: []timeline.Event{ev("h1", 4)}})
	c.Assert(m.take(false), qt.DeepEquals, []timeline.Event{ev("h1", 4), ev("h2", 5)})
	m.add("b", &admin.TimelineResponse{Host: "h2", UpTo: 20, Events: []timeline.Event{ev("h2", 8)}})
	m.add("a", &admin.TimelineResponse{Host: "h1", UpTo: 20})
	c.Assert(m.take(false), qt.DeepEquals, []timeline.Event{ev("h2", 8), ev("h1", 9)})
}

// Guards against commands that misread the command line, errors with the wrong exit code,
// and sending a request without a request ID twice.
func TestCommands(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	h := startHost(c, g, "h1")
	h.status.Control = &admin.ControlStatus{Formed: true, Role: "leader", Term: 3}
	h.status.Pools = []admin.PoolStatus{{Pool: "m", Fence: 12, Upstreams: []admin.UpstreamStatus{{Name: "u1", State: "cold", Limit: 1}}}}
	sum := sha256.Sum256([]byte(testCredential))
	for _, test := range []struct {
		args     string
		code     int
		out, err string
	}{
		{"", ExitUsage, "", "(?s).*control.*timeline.*"},
		{"dance", ExitUsage, "", `.*unknown command "dance"\n`},
		{"status --bad", ExitUsage, "", "(?s).*not defined.*"},
		{"datacentre out", ExitUsage, "", ".*expected 1: NAME\n"},
		{"--hosts localhost:1 status", ExitUsage, "", `.*"localhost:1" is not IP:port\n`},
		{"hash", ExitOK, hex.EncodeToString(sum[:]) + "\n", ""},
		{"version", ExitOK, "(?s)go .*version +development\n", ""},
		{"status", ExitOK, "(?s)HOST +DATA_CENTRE.*h1 .*serving.*u1:cold:0/1\n", ""},
		{"control status", ExitOK, "(?s)HOST +ROLE.*h1 +leader +true.*", ""},
		{"control init h1,h2", ExitOK, "The control group is formed.\n", ""},
		{"control replace h2", ExitConflict, "", ".*membership_conflict: h2 is being replaced\n"},
		{"order load u1 big --what adapter", ExitOK, "(?s).*7 +pending +load_adapter u1 big\n", ""},
		{"order role u1 prefill", ExitOK, "(?s).*change_role u1 prefill\n", ""},
		{"order drain u1 x", ExitUsage, "", ".*expected 1: UPSTREAM\n"},
		{"metrics", ExitOK, "(?s)METRIC.*admin.requests +count +[0-9]+\n.*", ""},
		{"config get --kind policy", ExitOK, "(?s).*policy .*claim_retention=24h0m0s.*", ""},
		{"--key wrong status", ExitCredential, "", ".*unauthenticated.*\n"},
	} {
		code, o := run(context.Background(), h.address, strings.Fields(test.args)...)
		comment := qt.Commentf("%s: %s%s", test.args, &o.out, &o.err)
		c.Check(code, qt.Equals, test.code, comment)
		c.Check(o.out.String(), qt.Matches, test.out, comment)
		c.Check(o.err.String(), qt.Matches, test.err, comment)
	}
	h.inits, h.initErr = nil, fault.New(fault.Timeout, fault.MayHaveRun, "no answer")
	code, _ := run(context.Background(), h.address+","+h.address, "control", "init", "h1")
	c.Assert(code, qt.Equals, ExitUnknown)
	c.Assert(h.inits, qt.DeepEquals, []string{"h1"})
	code, _ = run(context.Background(), closedAddress(c), "--timeout", "300ms", "config", "get")
	c.Assert(code, qt.Equals, ExitUnavailable)
}

// Guards against environment variables that override flags of the command line.
func TestEnvironment(t *testing.T) {
	c := qt.New(t)
	h := startHost(c, newGroup(), "h1")
	keyFile := filepath.Join(c.TempDir(), "key")
	c.Assert(os.WriteFile(keyFile, []byte(testCredential+"\n"), 0o600), qt.IsNil)
	t.Setenv("MARIGOLDSHUNTCTL_HOSTS", closedAddress(c))
	t.Setenv("MARIGOLDSHUNTCTL_KEY_FILE", keyFile)
	var out, errOut bytes.Buffer
	code := Run(context.Background(), []string{"--hosts", h.address, "status"}, nil, &out, &errOut)
	c.Assert(code, qt.Equals, ExitOK, qt.Commentf("%s", &errOut))
	t.Setenv("MARIGOLDSHUNTCTL_HOSTS", h.address)
	code = Run(context.Background(), []string{"status", "--json"}, nil, &out, &errOut)
	c.Assert(code, qt.Equals, ExitOK, qt.Commentf("%s", &errOut))
}

// Guards against a request for help that is reported as a wrong use of the tool.
func TestHelp(t *testing.T) {
	c := qt.New(t)
	for _, args := range []string{"--help", "-h", "explain --help", "metrics -h", "config --help", "config apply --help", "datacentre out NAME --help", "status --help", "hash --help"} {
		var out, errOut bytes.Buffer
		code := Run(context.Background(), strings.Fields(args), strings.NewReader(""), &out, &errOut)
		comment := qt.Commentf("%s: %s", args, &errOut)
		c.Check(code, qt.Equals, ExitOK, comment)
		c.Check(strings.Count(out.String(), "USAGE\n"), qt.Equals, 1, comment)
		c.Check(errOut.String(), qt.Equals, "", comment)
	}
}
