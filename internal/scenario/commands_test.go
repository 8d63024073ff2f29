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

// each calls do for each named host. "*" means all hosts.
func (f *fleet) each(names []string, do func(h *host) error) error {
	if slices.Equal(names, []string{"*"}) {
		names = f.names(false)
	}
	for _, n := range names {
		h := f.hosts[n]
		if h == nil {
			return fmt.Errorf("unknown host %q", n)
		}
		if err := do(h); err != nil {
			return fmt.Errorf("host %s: %w", n, err)
		}
	}
	return nil
}

// cmdKill ends hosts at once: sigkill HOST...
func cmdKill(_ *testscript.TestScript, f *fleet, args []string) error {
	return f.each(args, func(h *host) error {
		if !h.p.running() {
			return fmt.Errorf("is not running")
		}
		h.p.kill()
		return nil
	})
}

// cmdStop begins the graceful shutdown of hosts: sigterm HOST...
func cmdStop(_ *testscript.TestScript, f *fleet, args []string) error {
	return f.each(args, func(h *host) error { return h.p.signal(syscall.SIGTERM) })
}

// cmdRestart starts ended hosts again: restart [-empty] HOST... With -empty their disk
// is lost.
func cmdRestart(_ *testscript.TestScript, f *fleet, args []string) error {
	empty := args[0] == "-empty"
	if empty {
		args = args[1:]
	}
	return f.each(args, func(h *host) error {
		if h.p.running() {
			return fmt.Errorf("is still running")
		}
		if empty {
			if err := os.RemoveAll(filepath.Join(f.dir, "data-"+h.name)); err != nil {
				return err
			}
		}
		return f.startHost(h)
	})
}

// cmdFreeze stops the processes of hosts without ending them: freeze HOST...
func cmdFreeze(_ *testscript.TestScript, f *fleet, args []string) error {
	return f.each(args, func(h *host) error { return h.p.signal(syscall.SIGSTOP) })
}

// cmdThaw continues frozen processes: thaw HOST...
func cmdThaw(_ *testscript.TestScript, f *fleet, args []string) error {
	return f.each(args, func(h *host) error { return h.p.signal(syscall.SIGCONT) })
}

// links calls do for each link between the first host and the others; "*" means all.
func (f *fleet) links(args []string, do func(a, b string)) error {
	if len(args) < 2 || f.hosts[args[0]] == nil {
		return fmt.Errorf("a host and its peers are required")
	}
	return f.each(args[1:], func(h *host) error {
		if h.name != args[0] {
			do(args[0], h.name)
		}
		return nil
	})
}

// cmdCut cuts links: cut [-reset] HOST PEER... Without -reset the network holds the
// bytes silently.
func cmdCut(_ *testscript.TestScript, f *fleet, args []string) error {
	reset := args[0] == "-reset"
	if reset {
		args = args[1:]
	}
	return f.links(args, func(a, b string) { f.network.cut(a, b, reset) })
}

// cmdHeal restores links: heal HOST PEER...
func cmdHeal(_ *testscript.TestScript, f *fleet, args []string) error {
	return f.links(args, f.network.heal)
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
	// A fall of the upstream closes this connection as well.
	return f.await(func() (bool, string) {
		resp, err := f.http.Post("http://"+u.address+path, "", nil)
		if err != nil {
			return false, err.Error()
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK, resp.Status
	})
}

// cmdSend sends one request and prints its status, code and run state: send HOST
// ACCOUNT POOL model|order TEXT [KEY].
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
	resp, err := (&http.Client{Timeout: awaitLimit}).Do(req)
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

// cmdMark names the present time: mark NAME.
func cmdMark(_ *testscript.TestScript, f *fleet, args []string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.marks[args[0]] = time.Now()
	return nil
}

// cmdLet sets a variable of the script to a value: let NAME VALUE. The value "key" is
// a new idempotency key. It waits until the value is known.
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
			return f.ready()
		}
		ok, text, _ := f.holds(args)
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
		// An upstream that restarts can't be read for a moment.
		var err error
		ok, text, err = f.holds(args)
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

// await repeats a check until it succeeds, for at most awaitLimit.
func (f *fleet) await(check func() (bool, string)) error {
	limit := time.Now().Add(awaitLimit)
	for {
		ok, text := check()
		if ok {
			return nil
		}
		f.mu.Lock()
		failure := f.failure
		f.mu.Unlock()
		if failure != nil {
			return failure
		}
		if time.Now().After(limit) {
			return fmt.Errorf("not reached within %s: %s", awaitLimit, text)
		}
		time.Sleep(pollPause)
	}
}

// describe logs what helps to explain a failure.
func (f *fleet) describe(ts *testscript.TestScript) {
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
