package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"marigoldshunt/internal/config"
)

// forEachHost calls action for each named host. "*" means all hosts.
func (f *fleet) forEachHost(names []string, action func(h *host) error) error {
	if slices.Equal(names, []string{"*"}) {
		names = f.hostNames(false)
	}
	for _, n := range names {
		h := f.hosts[n]
		if h == nil {
			return fmt.Errorf("unknown host %q", n)
		}
		if err := action(h); err != nil {
			return fmt.Errorf("host %s: %w", n, err)
		}
	}
	return nil
}

// cmdSigkill kills hosts: sigkill HOST...
func cmdSigkill(_ *testscript.TestScript, f *fleet, args []string) error {
	return f.forEachHost(args, func(h *host) error {
		if !h.process.running() {
			return fmt.Errorf("is not running")
		}
		h.process.kill()
		return nil
	})
}

// cmdSigterm begins the graceful shutdown of hosts: sigterm HOST...
func cmdSigterm(_ *testscript.TestScript, f *fleet, args []string) error {
	return f.forEachHost(args, func(h *host) error { return h.process.signal(syscall.SIGTERM) })
}

// cmdRestart starts ended hosts again: restart [-empty] HOST... With -empty their data is
// removed first.
func cmdRestart(_ *testscript.TestScript, f *fleet, args []string) error {
	emptyDisk := args[0] == "-empty"
	if emptyDisk {
		args = args[1:]
	}
	return f.forEachHost(args, func(h *host) error {
		if h.process.running() {
			return fmt.Errorf("is still running")
		}
		if emptyDisk {
			if err := os.RemoveAll(filepath.Join(f.dir, "data-"+h.name)); err != nil {
				return err
			}
		}
		return f.startHost(h)
	})
}

// cmdFreeze suspends the processes of hosts: freeze HOST...
func cmdFreeze(_ *testscript.TestScript, f *fleet, args []string) error {
	return f.forEachHost(args, func(h *host) error { return h.process.signal(syscall.SIGSTOP) })
}

// cmdThaw resumes frozen processes: thaw HOST...
func cmdThaw(_ *testscript.TestScript, f *fleet, args []string) error {
	return f.forEachHost(args, func(h *host) error { return h.process.signal(syscall.SIGCONT) })
}

// forEachLink calls action for each link between the first host and the others; "*" means
// all.
func (f *fleet) forEachLink(args []string, action func(a, b string)) error {
	if len(args) < 2 || f.hosts[args[0]] == nil {
		return fmt.Errorf("a host and its peers are required")
	}
	return f.forEachHost(args[1:], func(h *host) error {
		if h.name != args[0] {
			action(args[0], h.name)
		}
		return nil
	})
}

// cmdCut cuts links: cut [-reset] HOST PEER... The network holds the bytes silently; with
// -reset it also resets the open connections.
func cmdCut(_ *testscript.TestScript, f *fleet, args []string) error {
	reset := args[0] == "-reset"
	if reset {
		args = args[1:]
	}
	return f.forEachLink(args, func(a, b string) { f.network.cutLink(a, b, reset) })
}

// cmdHeal restores links: heal HOST PEER...
func cmdHeal(_ *testscript.TestScript, f *fleet, args []string) error {
	return f.forEachLink(args, f.network.healLink)
}

// cmdEmulator causes a fault at an upstream: emulator NAME turn-cold, or emulator NAME
// refuse MILLISECONDS.
func cmdEmulator(_ *testscript.TestScript, f *fleet, args []string) error {
	u := f.upstreams[args[0]]
	if u == nil {
		return fmt.Errorf("unknown upstream %q", args[0])
	}
	path := "/debug/turn-cold"
	if args[1] == "refuse" {
		path = "/debug/refuse?for_ms=" + args[2]
	}
	// An upstream that fails closes this connection as well, so the request is repeated.
	return f.await(func() (bool, string) {
		resp, err := f.http.Post("http://"+u.address+path, "", nil)
		if err != nil {
			return false, err.Error()
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK, resp.Status
	})
}

// cmdSend sends one request and prints its status, code and run state: send HOST ACCOUNT
// POOL model|order TEXT [KEY].
func cmdSend(ts *testscript.TestScript, f *fleet, args []string) error {
	h := f.hosts[args[0]]
	path, body := "/v1/chat/completions", args[4]
	if args[3] == string(config.KindModel) {
		b, err := json.Marshal(map[string]any{"model": args[2], "stream": false, "messages": []map[string]string{{"role": "user", "content": args[4]}}})
		if err != nil {
			return err
		}
		body = string(b)
	} else {
		path = "/services/" + args[2] + "/orders/single"
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+h.caller+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+credential(args[1]))
	if len(args) > 5 {
		req.Header.Set("Idempotency-Key", args[5])
	}
	resp, err := (&http.Client{Timeout: awaitTimeout}).Do(req)
	if err != nil {
		fmt.Fprintf(ts.Stdout(), "broken %s\n", err)
		return nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		fmt.Fprintf(ts.Stdout(), "broken %s\n", err)
		return nil
	}
	fmt.Fprintf(ts.Stdout(), "status=%d code=%s run_state=%s replayed=%s\n%s\n", resp.StatusCode,
		resp.Header.Get("X-Error-Code"), resp.Header.Get("X-Run-State"), resp.Header.Get("X-Replayed"), b)
	return nil
}

// cmdMark stores the current time under a name: mark NAME.
func cmdMark(_ *testscript.TestScript, f *fleet, args []string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.marks[args[0]] = time.Now()
	return nil
}

// cmdLet sets a script variable to a value: let NAME VALUE. It waits until the value is
// known. The value "key" gives a new idempotency key.
func cmdLet(ts *testscript.TestScript, f *fleet, args []string) error {
	if args[1] == "key" {
		ts.Setenv(args[0], uuid.Must(uuid.NewV7()).String())
		return nil
	}
	v := ""
	err := f.await(func() (bool, string) {
		var err error
		v, err = f.value(args[1])
		return err == nil && v != "", fmt.Sprintf("%s is not known: %v", args[1], err)
	})
	ts.Setenv(args[0], v)
	ts.Logf("%s = %s", args[0], v)
	return err
}

// cmdAwait waits until a condition holds: await VALUE OPERATOR VALUE, or await ready.
func cmdAwait(ts *testscript.TestScript, f *fleet, args []string) error {
	start := time.Now()
	err := f.await(func() (bool, string) {
		if slices.Equal(args, []string{"ready"}) {
			return f.allReady()
		}
		ok, text, _ := f.evaluate(args)
		return ok, text
	})
	ts.Logf("after %d ms", time.Since(start).Milliseconds())
	return err
}

// cmdAssert checks a condition once: assert VALUE OPERATOR VALUE.
func cmdAssert(ts *testscript.TestScript, f *fleet, args []string) error {
	var ok bool
	var text string
	err := f.await(func() (bool, string) {
		// A restarting upstream can't be read for a moment.
		var err error
		ok, text, err = f.evaluate(args)
		return err == nil, text
	})
	if err != nil {
		return err
	}
	ts.Logf("%s", text)
	if !ok {
		return fmt.Errorf("the condition does not hold: %s", text)
	}
	return nil
}

// await repeats a check until it succeeds, for at most awaitTimeout.
func (f *fleet) await(check func() (bool, string)) error {
	deadline := time.Now().Add(awaitTimeout)
	for {
		ok, text := check()
		if ok {
			return nil
		}
		f.mu.Lock()
		failure := f.backgroundErr
		f.mu.Unlock()
		if failure != nil {
			return failure
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("not reached within %s: %s", awaitTimeout, text)
		}
		time.Sleep(pollInterval)
	}
}

// logState logs statuses, load results and the ends of the process logs, to explain a
// failure.
func (f *fleet) logState(ts *testscript.TestScript) {
	for n, s := range f.statuses() {
		b, _ := json.Marshal(s)
		ts.Logf("status of %s: %s", n, b)
	}
	f.mu.Lock()
	for n, l := range f.loads {
		ts.Logf("load %s: %s", n, l.summary())
	}
	for n, o := range f.orders {
		ts.Logf("orders %s: %s", n, o.summary())
	}
	f.mu.Unlock()
	logs, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
	for _, name := range logs {
		b, _ := os.ReadFile(name)
		lines := bytes.Split(bytes.TrimSpace(b), []byte("\n"))
		lines = lines[max(len(lines)-12, 0):]
		ts.Logf("%s:\n%s", filepath.Base(name), bytes.Join(lines, []byte("\n")))
	}
}
