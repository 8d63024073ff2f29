package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every host. Each host has a loopback address of its own, so they never collide.
const (
	portFrontend  = 8783
	portReadiness = 8780
	portControl   = 8785
	portDirectory = 8789
	portInternal  = 7400
	portPlatform  = 8781
	portServer    = 8080
)

// host is one machine of the fleet: a process of the project.
type host struct {
	name, ip, zone string
	dataDir        string
	bootstrap      bool
	settings       string
	cmd            *exec.Cmd
	mu             sync.Mutex
	exits          []string
	restart        bool
	stopping       bool
	// beforeStart, unless it is nil, runs once before the next start.
	beforeStart func()
	startedAt   time.Time
}

type fleet struct {
	dir, root string
	net       string // "127.a.b."
	hosts     []*host
	zones     []string
	seeds     []string
	rec       *record
	memoryMB  int
}

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		couldNotRun("create the record: %v", err)
	}
	return &record{f: f, start: time.Now()}
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

var cleanup []func()
var cleanupMu sync.Mutex

func atEnd(f func()) {
	cleanupMu.Lock()
	defer cleanupMu.Unlock()
	cleanup = append(cleanup, f)
}

func runCleanup() {
	cleanupMu.Lock()
	list := cleanup
	cleanup = nil
	cleanupMu.Unlock()
	for i := len(list) - 1; i >= 0; i-- {
		list[i]()
	}
}

func exit(code int) {
	runCleanup()
	os.Exit(code)
}

// couldNotRun ends the case with 2.
func couldNotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	exit(2)
}

// newFleet picks an unused part of 127.0.0.0/8.
func newFleet(root string, rec *record, zones []string, perZone int, memoryMB int) *fleet {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		couldNotRun("temporary folder: %v", err)
	}
	f := &fleet{dir: dir, root: root, rec: rec, zones: zones, memoryMB: memoryMB}
	atEnd(func() { _ = os.RemoveAll(dir) })
	for i := 0; ; i++ {
		f.net = fmt.Sprintf("127.%d.%d.", 40+(os.Getpid()+i)%80, (os.Getpid()/80)%200)
		ln, err := net.Listen("tcp", f.net+"1:"+strconv.Itoa(portControl))
		if err == nil {
			ln.Close()
			break
		}
		if i > 50 {
			couldNotRun("no free loopback addresses: %v", err)
		}
	}
	n := 0
	for z, zone := range zones {
		for k := range perZone {
			n++
			h := &host{name: fmt.Sprintf("edge-%s-%d", zone, k+1), ip: f.net + strconv.Itoa(10*(z+1)+k), zone: zone, bootstrap: true, restart: true}
			if k == 0 {
				h.dataDir = filepath.Join(dir, h.name, "data")
				if len(f.seeds) < 3 {
					f.seeds = append(f.seeds, h.ip+":"+strconv.Itoa(portControl))
				}
			}
			f.hosts = append(f.hosts, h)
		}
	}
	return f
}

// fields are the settings of a process as the platform knows them.
func (f *fleet) fields(h *host) map[string]any {
	return map[string]any{
		"node_name": h.name, "ip": h.ip, "zone": h.zone, "region": "region", "data_dir": h.dataDir,
		"internal_ports": []any{portInternal, portInternal + 15}, "seeds": toAny(f.seeds), "bootstrap": h.bootstrap,
		"limits": map[string]any{"memory_mb": f.memoryMB},
		"listen": map[string]any{
			"frontend": addr(h.ip, portFrontend), "readiness": addr(h.ip, portReadiness), "control": addr(h.ip, portControl), "directory": addr(h.ip, portDirectory),
		},
		"cloud_api": map[string]any{"address": f.platformAddress()},
		"bounds": map[string]any{
			"grace_s": 8, "config_apply_ms": 2000, "revoke_ms": 5000, "evacuate_ms": 5000, "drain_ms": 3000, "ttl_max_s": 5,
			"retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 60, "cold_slack": 5,
		},
	}
}

func (f *fleet) platformAddress() string { return addr(f.net+"200", portPlatform) }

func toAny(list []string) (out []any) {
	for _, s := range list {
		out = append(out, s)
	}
	return out
}

func addr(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// fill fills the project's template as DEPLOY.md tells.
func fill(template string, fields map[string]any) string {
	return placeholder.ReplaceAllStringFunc(template, func(m string) string {
		parts := placeholder.FindStringSubmatch(m)
		var v any = fields
		for _, name := range strings.Split(parts[1], ".") {
			switch x := v.(type) {
			case map[string]any:
				v = x[name]
			case []any:
				i, _ := strconv.Atoi(name)
				v = x[i]
			}
		}
		if parts[2] != "" {
			b, _ := json.Marshal(v)
			return string(b)
		}
		if v == nil {
			return ""
		}
		return fmt.Sprint(v)
	})
}

func (f *fleet) writeSettings(h *host) error {
	template, err := os.ReadFile(filepath.Join(f.root, "platform/settings.tmpl"))
	if err != nil {
		return fmt.Errorf("the template: %w", err)
	}
	text := fill(string(template), f.fields(h))
	// On real machines 127.0.0.1 is each machine's own.
	text = strings.Replace(text, `"127.0.0.1:7100"`, `"`+addr(h.ip, 7100)+`"`, 1)
	dir := filepath.Join(f.dir, h.name)
	if h.dataDir != "" {
		dir = h.dataDir
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(f.dir, h.name), 0o755); err != nil {
		return err
	}
	h.settings = filepath.Join(f.dir, h.name, "settings.toml")
	return os.WriteFile(h.settings, []byte(text), 0o644)
}

// start starts the process of a host with the command of the deploy file, and restarts it after a
// short delay whenever it ends, as the platform does.
func (f *fleet) start(h *host) {
	if err := f.tryStart(h); err != nil {
		couldNotRun("start %s: %v", h.name, err)
	}
}

// tryStart does nothing once the clean-up has begun.
func (f *fleet) tryStart(h *host) error {
	// The lock is held until the process runs, so that the clean-up finds it or it is not started.
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopping {
		return nil
	}
	if h.beforeStart != nil {
		h.beforeStart()
		h.beforeStart = nil
	}
	if err := f.writeSettings(h); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(f.dir, h.name, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/marigoldshuntd", "-settings", h.settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.root, logFile, logFile
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.startedAt = cmd, time.Now()
	h.bootstrap = false
	go func() {
		err := cmd.Wait()
		logFile.Close()
		h.mu.Lock()
		again := h.restart && !h.stopping
		h.mu.Unlock()
		if !again {
			return
		}
		f.rec.log("process of %s ended: %v", h.name, err)
		time.Sleep(500 * time.Millisecond)
		f.start(h)
	}()
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil && h.cmd.Process != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

func (h *host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd.Process.Pid
}

// startAll starts the fleet; all its processes are ended at the end.
func (f *fleet) startAll() {
	for _, h := range f.hosts {
		f.start(h)
	}
	atEnd(func() {
		for _, h := range f.hosts {
			h.mu.Lock()
			h.stopping = true
			h.mu.Unlock()
			h.signal(syscall.SIGCONT)
			h.signal(syscall.SIGKILL)
		}
		time.Sleep(200 * time.Millisecond)
	})
}

var client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// order sends an order of the operator to a host. As the pages tell, it waits a second.
func (f *fleet) order(h *host, method, path string, body []byte, timeout time.Duration) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr(h.ip, portControl)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) == 0 {
		req.Body, req.ContentLength = nil, 0
	} else {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// waitReady waits until all hosts say that they are ready.
func (f *fleet) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range f.hosts {
			resp, err := client.Get("http://" + addr(h.ip, portReadiness) + "/readyz")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					ready++
				}
			}
		}
		if ready == len(f.hosts) {
			return true
		}
	}
	return false
}

func (f *fleet) keepLogs(to string) {
	for _, h := range f.hosts {
		b, err := os.ReadFile(filepath.Join(f.dir, h.name, "log"))
		if err == nil {
			_ = os.WriteFile(filepath.Join(to, h.name+".log"), b, 0o644)
		}
	}
}
