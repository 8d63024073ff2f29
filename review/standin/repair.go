package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	catchUp   = 4 * time.Second  // catch_up_s
	recoverIn = 12 * time.Second // recover_s
	// growth is how many routes each new configuration adds, growths how often.
	growth, growths = 350, 23
)

// leads reports whether a host says that it leads the control group.
func (f *fleet) leads(h *host) bool {
	resp, err := client.Get("http://" + addr(h.ip, 9100) + "/metrics")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	for _, line := range strings.Split(string(b), "\n") {
		if strings.Contains(line, "control") && strings.Contains(line, "leads") && strings.HasSuffix(strings.TrimSpace(line), " 1") {
			return true
		}
	}
	return false
}

const (
	// receivingBytes is what a process has read within a few milliseconds if it is receiving an entry of
	// the log.
	receivingBytes = 192 << 10
	// receivedBytes is what it has read when it has about half of the log.
	receivedBytes = 14 << 20
)

// waitReceiving waits until the process of a host receives a large part of the log.
func (f *fleet) waitReceiving(h *host, limit time.Duration) bool {
	const span = 3 // ms
	var history []int64
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		n := bytesRead(h.pid())
		if history = append(history, n); len(history) <= span {
			continue
		}
		last := n - history[len(history)-2]
		if n >= receivedBytes && last > 0 && n-history[len(history)-1-span] >= receivingBytes {
			f.rec.log("%s receives: %d bytes", h.name, n)
			return true
		}
	}
	f.rec.log("%s received nothing large", h.name)
	return false
}

// bytesRead returns how many bytes a process has read so far.
func bytesRead(pid int) (n int64) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err == nil {
		_, _ = fmt.Sscanf(string(b), "rchar: %d", &n)
	}
	return n
}

// kill ends the process of a host, which the platform starts again after a short delay.
func (f *fleet) kill(h *host) {
	f.rec.log("%s is killed", h.name)
	h.signal(syscall.SIGKILL)
}

// loseDisk ends the process of a host, which comes back with an empty disk.
func (f *fleet) loseDisk(h *host) {
	h.mu.Lock()
	h.beforeStart = func() { _ = os.RemoveAll(h.dataDir) }
	h.mu.Unlock()
	f.rec.log("%s loses its disk", h.name)
	h.signal(syscall.SIGKILL)
}

// largeConfig is a configuration that has grown to n routes.
func largeConfig(version, n int) []byte {
	routes := []route{newRoute("r1", "/s/", "safe", "plain", 4000, 2)}
	for i := range n {
		r := newRoute(fmt.Sprintf("r-%d", i), fmt.Sprintf("/more%d/", i), "safe", "plain", 4000, 2)
		r["slo_ms"] = 300 + version
		routes = append(routes, r)
	}
	return config(version, routes, []map[string]any{plainService("plain")}, []map[string]any{tenant("t1", "k1")})
}

// waitStarted waits for the next start of a host's process.
func (h *host) waitStarted(after time.Time) time.Time {
	for {
		h.mu.Lock()
		at := h.startedAt
		h.mu.Unlock()
		if at.After(after) {
			return at
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// repair: with KILL=0 the first host is not killed while it catches up.
//
// A control host loses its disk and is killed while it catches up. More than catch_up_s after
// it is back, a second one loses its disk.
func repair(root string, rec *record, trouble bool) (broken bool) {
	f, r := newFleet(root, rec, []string{"z1", "z2", "z3"}, 2, 134), &runs{}
	var servers []*server
	for i, z := range f.zones {
		servers = append(servers, f.newServer("plain", z, i, r))
	}
	f.startPlatform(800*time.Millisecond, servers...)
	f.startAll()
	if !f.putConfig(largeConfig(1, 10), 15*time.Second) || !f.waitReady(10*time.Second) {
		couldNotRun("the fleet did not start")
	}
	version := 1
	for range growths {
		version++
		if !f.putConfig(largeConfig(version, growth*(version-1)), 10*time.Second) {
			couldNotRun("version %d was not acknowledged", version)
		}
	}
	rec.log("version %d is acknowledged", version)
	time.Sleep(2 * time.Second)
	var followers []*host
	for _, h := range f.hosts {
		if h.dataDir != "" && !f.leads(h) {
			followers = append(followers, h)
		}
	}
	if len(followers) != 2 {
		couldNotRun("%d control hosts do not lead", len(followers))
	}
	first, second := followers[0], followers[1]
	back := time.Now()
	if trouble {
		f.loseDisk(first)
		back = first.waitStarted(back)
		if os.Getenv("KILL") != "0" {
			if !f.waitReceiving(first, 5*time.Second) {
				couldNotRun("%s was not seen to receive the log", first.name)
			}
			f.kill(first)
			back = first.waitStarted(time.Now())
		}
		rec.log("%s is back", first.name)
	}
	time.Sleep(time.Until(back.Add(catchUp + 300*time.Millisecond)))
	version++
	if !f.putConfig(largeConfig(version, growth*(version-1)), 5*time.Second) {
		rec.log("version %d was not acknowledged", version)
		version--
	} else {
		rec.log("version %d is acknowledged", version)
	}
	if trouble {
		f.loseDisk(second)
		second.waitStarted(time.Now())
	}
	time.Sleep(recoverIn)
	return !f.servesAndReadsBack(version)
}

// servesAndReadsBack reports whether, within 20 s, the operator reads back at least a version and some
// requests are answered with success.
func (f *fleet) servesAndReadsBack(version int) bool {
	read, served := 0, 0
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && (read == 0 || served == 0); time.Sleep(500 * time.Millisecond) {
		for _, h := range f.hosts {
			status, body, err := f.order(h, "GET", "/config", nil, time.Second)
			if status == 200 && strings.HasPrefix(string(body), `{"limits"`) && strings.Contains(string(body), fmt.Sprintf(`"version":%d}`, version)) {
				read++
			} else {
				f.rec.log("operator: GET /config from %s: %d, %d bytes, %v", h.name, status, len(body), err)
			}
			if status, _ := f.send(h, "GET", "/s/x", "k1"); status == 200 {
				served++
			}
		}
	}
	f.rec.log("version %d was read back %d times, %d requests were served", version, read, served)
	return read > 0 && served > 0
}
