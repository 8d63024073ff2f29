package scenario

import (
	"context"
	"flag"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The soak runs real daemons under random faults and checks what callers, operators and
// upstreams see. CI plays soakSeeds for some seconds each; more by hand:
//
//	go test ./internal/scenario -run TestSoak -soak.seeds=50 -soak.from=100 -soak.length=15s
var (
	soakSeedCount = flag.Int("soak.seeds", 0, "number of seeds to play instead of the fixed ones")
	soakFrom      = flag.Int64("soak.from", 1, "the first of these seeds")
	soakLength    = flag.Duration("soak.length", 6*time.Second, "time of faults for each seed")
	soakKeep      = flag.String("soak.keep", "", "folder in which the logs of failed seeds are kept")
)

// soakSeeds are played in CI: one that never failed, and those that found a fault.
var soakSeeds = []int64{
	1,
	400, // a host that had been frozen refused new connections for seconds
	401, // a hangup during the start ended the process
}

// soakCallers is the number of clients that send requests at once.
const soakCallers = 24

// Bounds of the promises that are checked.
const (
	// recoverTime is when a healed fleet serves again.
	recoverTime = 12 * time.Second
	// revokeTime is when a revoked credential is refused everywhere, also by hosts that
	// are cut off.
	revokeTime = 5 * time.Second
	// overrun is how long after the route's timeout an answer may still come.
	overrun = 1500 * time.Millisecond
	// calm is the time around a request in which its host must not have been disturbed for
	// its connection to count.
	calm = 4 * time.Second
	// maxLost is the number of connections that may end without an answer at calm hosts,
	// where a request crosses the close of an idle connection.
	maxLost = 3
)

func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("the soak starts processes")
	}
	seeds := soakSeeds
	if *soakSeedCount > 0 {
		seeds = nil
		for i := range *soakSeedCount {
			seeds = append(seeds, *soakFrom+int64(i))
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newSoak(t, seed).play() })
	}
}

// soak plays one seed.
type soak struct {
	t       *testing.T
	seed    int64
	f       *soakFleet
	callers *callers
	start   time.Time

	mu  sync.Mutex
	log []string
	// acknowledged holds when each version was acknowledged.
	acknowledged map[int]time.Time
	sent         int
}

func newSoak(t *testing.T, seed int64) *soak {
	f, err := newSoakFleet(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.close)
	return &soak{t: t, seed: seed, f: f, callers: &callers{f: f}, start: time.Now(), acknowledged: map[int]time.Time{}}
}

func (s *soak) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, fmt.Sprintf("%7.3f ", time.Since(s.start).Seconds())+fmt.Sprintf(format, args...))
}

// broken reports a promise that was not kept.
func (s *soak) broken(format string, args ...any) {
	s.logf("BROKEN "+format, args...)
	s.t.Errorf("seed %d: "+format, append([]any{s.seed}, args...)...)
}

func (s *soak) play() {
	defer s.report()
	for _, h := range s.f.hosts {
		if err := s.f.startSoakHost(h); err != nil {
			s.t.Fatal(err)
		}
	}
	s.begin()
	s.callers.start(soakCallers, s.seed)
	stop := make(chan struct{})
	var work sync.WaitGroup
	work.Add(2)
	go func() { defer work.Done(); s.operate(stop) }()
	go func() { defer work.Done(); s.probeRevoked(stop) }()
	i := &injector{f: s.f, rng: rand.New(rand.NewSource(s.seed)), log: s.logf}
	i.run(*soakLength)
	s.logf("healed")
	close(stop)
	work.Wait()
	s.recovers()
	s.callers.end()
	s.checkEndings()
	s.checkFleet()
}

// begin applies the first version and waits until all hosts take requests.
func (s *soak) begin() {
	s.until("the first configuration", 20*time.Second, func() bool { return s.change(1) == nil })
	s.until("ready hosts", 20*time.Second, s.allReady)
}

func (s *soak) allReady() bool {
	for _, h := range s.f.hosts {
		if !s.f.ready(h) {
			return false
		}
	}
	return true
}

func (s *soak) until(what string, limit time.Duration, ok func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollPause) {
		if ok() {
			return
		}
	}
	s.broken("not within %s: %s", limit, what)
	s.t.FailNow()
}

// change applies a version and notes its acknowledgement.
func (s *soak) change(version int) error {
	path := filepath.Join(s.f.dir, fmt.Sprint("version-", version, ".toml"))
	if err := os.WriteFile(path, []byte(soakDocument(version)), 0o600); err != nil {
		return err
	}
	s.mu.Lock()
	s.sent = max(s.sent, version)
	s.mu.Unlock()
	if err := s.f.apply(path, 4*time.Second); err != nil {
		s.logf("version %d: %s", version, strings.TrimSpace(err.Error()))
		return err
	}
	s.mu.Lock()
	s.acknowledged[version] = time.Now()
	s.mu.Unlock()
	s.logf("version %d acknowledged", version)
	return nil
}

// operate sends a new version about every second.
func (s *soak) operate(stop <-chan struct{}) {
	for version := 2; ; version++ {
		select {
		case <-stop:
			return
		case <-time.After(800 * time.Millisecond):
			_ = s.change(version) // a refusal or no answer is noted, and the next version follows
		}
	}
}

// probeRevoked sends requests with credentials that a version took away longer ago than
// the bound.
func (s *soak) probeRevoked(stop <-chan struct{}) {
	rng := rand.New(rand.NewSource(s.seed))
	c := s.callers.newCaller(rng, &http.Transport{DisableKeepAlives: true})
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		newest := s.acknowledgedBefore(time.Now().Add(-revokeTime))
		if newest < 2 {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), requestTime)
		h := s.f.hosts[rng.Intn(soakHosts)]
		c.send(ctx, s.f.at(h.ip, portGateway), "orders", versionCredential(newest-1))
		cancel()
	}
}

// acknowledgedBefore returns the highest version acknowledged before a time.
func (s *soak) acknowledgedBefore(limit time.Time) (version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for v, at := range s.acknowledged {
		if at.Before(limit) {
			version = max(version, v)
		}
	}
	return version
}

// recovers waits until the healed fleet serves on all hosts with the newest version.
func (s *soak) recovers() {
	s.until("ready hosts after the faults", recoverTime, s.allReady)
	c := s.callers.newCaller(rand.New(rand.NewSource(s.seed)), &http.Transport{})
	newest := s.acknowledgedBefore(time.Now())
	for _, h := range s.f.hosts {
		for _, kind := range []string{"reads", "orders", "events", "events/once"} {
			s.until(kind+" on host "+h.ip, recoverTime, func() bool { return s.ask(c, h, kind).Status == http.StatusOK })
		}
		// A version that was sent without an acknowledgement may be in force instead.
		s.until(fmt.Sprintf("version %d or a later one on host %s", newest, h.ip), recoverTime, func() bool {
			for v := newest; v <= s.sent; v++ {
				if s.ask(c, h, strings.Trim(versionPath(v), "/")).Status == http.StatusOK {
					return true
				}
			}
			return false
		})
		old := s.ask(c, h, strings.Trim(versionPath(1), "/"))
		if newest > 1 && old.Status == http.StatusOK {
			s.broken("host %s serves a route that version %d took away", h.ip, newest)
		}
	}
}

func (s *soak) ask(c *caller, h *soakHost, kind string) ending {
	ctx, cancel := context.WithTimeout(context.Background(), requestTime)
	defer cancel()
	return c.send(ctx, s.f.at(h.ip, portGateway), kind, soakCredential)
}

// runs adds up how often each request was run by all upstreams.
func (s *soak) runs() map[string]int {
	sum := map[string]int{}
	for _, u := range s.f.upstreams {
		for id, n := range u.Debug().Requests {
			sum[id] += n
		}
	}
	return sum
}

// checkEndings checks what callers saw against what upstreams ran.
func (s *soak) checkEndings() {
	runs, lost := s.runs(), 0
	served := 0
	for _, e := range s.callers.endings {
		if e.Broken != "" {
			s.broken("%s at %s: %s", e.ID, e.Address, e.Broken)
		}
		if once := e.kind == "orders" || e.kind == "events/once"; once && runs[e.ID] > 1 {
			s.broken("%s ran %d times", e.ID, runs[e.ID])
		}
		if promised := e.Status == 503 || e.Status == 429 || e.Status == 408; promised && runs[e.ID] > 0 {
			s.broken("%s was answered %d and has run", e.ID, e.Status)
		}
		if e.credential != soakCredential && (runs[e.ID] > 0 || e.Status == 200) {
			s.broken("%s ran with a credential revoked more than %s before", e.ID, revokeTime)
		}
		proper := e.credential == soakCredential && !strings.HasPrefix(e.kind, "v")
		if denied := e.Status/100 == 4 && e.Status != 408 && e.Status != 429; proper && denied {
			s.broken("%s was refused with %d", e.ID, e.Status)
		}
		if !s.disturbed(e) {
			if took := e.Ended.Sub(e.Sent); took > routeTime+overrun {
				s.broken("%s took %s at a calm host", e.ID, took)
			}
			if e.Cut && e.Status == 0 {
				lost++
				s.logf("lost %s at %s", e.ID, e.Address)
			}
		}
		if e.Status == 200 && e.Whole {
			served++
		}
	}
	if lost > maxLost {
		s.broken("%d connections ended without an answer at calm hosts", lost)
	}
	if served < len(s.callers.endings)/10 {
		s.broken("%d of %d requests were served", served, len(s.callers.endings))
	}
	s.logf("%d requests, %d served, %d lost at calm hosts", len(s.callers.endings), served, lost)
}

// disturbed reports whether the host of a request was under a fault near it.
func (s *soak) disturbed(e ending) bool {
	for _, h := range s.f.hosts {
		if strings.HasPrefix(e.Address, h.ip+":") {
			return h.touched.After(e.Sent.Add(-calm)) || h.started > 1 || h.frozen
		}
	}
	return true
}

// checkFleet checks for processes that ended by themselves and engines that fell.
func (s *soak) checkFleet() {
	for _, h := range s.f.hosts {
		if !h.p.running() {
			s.broken("the process of host %s has ended", h.ip)
		}
	}
	for _, u := range s.f.upstreams {
		if d := u.Debug(); d.ColdOverloads > 0 {
			s.broken("cold upstream %s fell %d times from the fleet's load", u.name, d.ColdOverloads)
		}
	}
}

// report prints the time line of a failed seed and keeps its logs.
func (s *soak) report() {
	if !s.t.Failed() {
		if testing.Verbose() {
			s.t.Log(s.log[len(s.log)-1])
		}
		return
	}
	s.t.Log(strings.Join(s.log, "\n"))
	if *soakKeep == "" {
		return
	}
	for _, h := range s.f.hosts {
		if !h.p.running() {
			s.t.Logf("the process of host %s has ended: %s", h.ip, h.p.cmd.ProcessState)
		}
	}
	// The runtime writes the stacks of all goroutines into the log of the host.
	for _, h := range s.f.hosts {
		if h.p.running() {
			_ = h.p.signal(syscall.SIGQUIT) // it may just have ended
			<-h.p.done
		}
	}
	logs, err := filepath.Glob(filepath.Join(s.f.dir, "*.log"))
	if err != nil {
		s.t.Log(err)
	}
	folder := filepath.Join(*soakKeep, fmt.Sprint("seed-", s.seed))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		s.t.Log(err)
	}
	for _, l := range logs {
		b, err := os.ReadFile(l)
		if err == nil {
			err = os.WriteFile(filepath.Join(folder, filepath.Base(l)), b, 0o600)
		}
		if err != nil {
			s.t.Log(err)
		}
	}
}
