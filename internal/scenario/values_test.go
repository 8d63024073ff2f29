package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"marigoldshunt/internal/admin"
	"marigoldshunt/internal/emulator"
)

// evaluate evaluates VALUE OPERATOR VALUE. Words that name no value stand for themselves.
// It returns an error if a value could not be read.
func (f *fleet) evaluate(args []string) (bool, string, error) {
	if len(args) != 3 {
		return false, "a condition is VALUE OPERATOR VALUE", nil
	}
	a, errA := f.value(args[0])
	b, errB := f.value(args[2])
	text := fmt.Sprintf("%s (%s) %s %s (%s)", args[0], a, args[1], args[2], b)
	if errA != nil || errB != nil {
		return false, fmt.Sprintf("%s: %v %v", text, errA, errB), errors.Join(errA, errB)
	}
	x, errX := strconv.ParseFloat(a, 64)
	y, errY := strconv.ParseFloat(b, 64)
	numbers := errX == nil && errY == nil
	switch args[1] {
	case "==":
		return a == b, text, nil
	case "!=":
		return a != b, text, nil
	case "<":
		return numbers && x < y, text, nil
	case "<=":
		return numbers && x <= y, text, nil
	case ">":
		return numbers && x > y, text, nil
	case ">=":
		return numbers && x >= y, text, nil
	}
	return false, "unknown operator " + args[1], nil
}

// value returns the current value of a word.
func (f *fleet) value(word string) (string, error) {
	path := strings.Split(word, ".")
	switch path[0] {
	case "leader":
		return f.controlLeader(), nil
	case "host":
		return f.hostValue(path[1], path[2])
	case "fleet":
		n := 0
		for _, s := range f.statuses() {
			n += s.Running
		}
		return fmt.Sprint(n), nil
	case "contract":
		o, err := f.newestContract(path[1])
		if path[2] == "weight" {
			return fmt.Sprint(o.Weight), err
		}
		return fmt.Sprint(o.Revision), err
	case "pool":
		return f.poolValue(path[1:])
	case "emu":
		return f.emulatorValue(path[1], path[2:])
	case "keys":
		return f.keysValue(path[1])
	case "load":
		return f.loadValue(path[1], path[2:])
	case "orders":
		return f.ordersValue(path[1], path[2])
	}
	return word, nil
}

// getJSON reads a JSON document. Any status other than 200 is an error.
func (f *fleet) getJSON(url string, v any) error {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := f.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// statuses asks all running hosts for their status; hosts that don't answer are absent.
func (f *fleet) statuses() map[string]*admin.Status {
	out := map[string]*admin.Status{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n, h := range f.hosts {
		if !h.process.running() {
			continue
		}
		wg.Go(func() {
			s := new(admin.Status)
			if f.getJSON("http://"+h.admin+"/v1/status", s) == nil {
				mu.Lock()
				defer mu.Unlock()
				out[n] = s
			}
		})
	}
	wg.Wait()
	return out
}

// controlLeader returns the control leader with the highest term, or "".
func (f *fleet) controlLeader() string {
	name, term := "", uint64(0)
	for n, s := range f.statuses() {
		if c := s.Control; c != nil && c.Role == "leader" && c.Term > term {
			name, term = n, c.Term
		}
	}
	return name
}

func (f *fleet) hostValue(name, field string) (string, error) {
	h := f.hosts[name]
	if h == nil {
		return "", fmt.Errorf("unknown host %q", name)
	}
	switch {
	case field == "admin":
		return h.admin, nil
	case field == "process" && h.process.running():
		return "running", nil
	case field == "process":
		return fmt.Sprintf("exit-%d", h.process.cmd.ProcessState.ExitCode()), nil
	}
	var s admin.Status
	if err := f.getJSON("http://"+h.admin+"/v1/status", &s); err != nil {
		return "", err
	}
	switch field {
	case "revision":
		return fmt.Sprint(s.Revision), nil
	case "running":
		return fmt.Sprint(s.Running), nil
	case "waiting":
		return fmt.Sprint(s.Waiting), nil
	case "config_age_ms":
		return fmt.Sprint(s.ConfigAgeMS), nil
	case "leader":
		return s.Leader, nil
	}
	c := s.Control
	if c == nil {
		return "", fmt.Errorf("host %s has no control role", name)
	}
	switch field {
	case "role":
		return c.Role, nil
	case "applied":
		return fmt.Sprint(c.Applied), nil
	case "voters":
		n := 0
		for _, m := range c.Members {
			if m.Voter {
				n++
			}
		}
		return fmt.Sprint(n), nil
	case "votes":
		// Whether the current replica of this host is a voter, as the host itself knows.
		for _, m := range c.Members {
			if m.Host == name && m.Replica == c.Replica && m.Voter {
				return "yes", nil
			}
		}
		return "no", nil
	}
	return "", fmt.Errorf("unknown field %q", field)
}

// poolValue returns pool.NAME.scheduler, .fence, or pool.NAME.UPSTREAM.state|limit, from
// the scheduler with the highest fence.
func (f *fleet) poolValue(path []string) (string, error) {
	var best admin.PoolStatus
	scheduler := ""
	for n, s := range f.statuses() {
		for _, st := range s.Pools {
			if st.Pool == path[0] && st.Fence > best.Fence {
				best, scheduler = st, n
			}
		}
	}
	switch {
	case scheduler == "":
		return "", fmt.Errorf("pool %s has no scheduler", path[0])
	case path[1] == "scheduler":
		return scheduler, nil
	case path[1] == "fence":
		return fmt.Sprint(best.Fence), nil
	}
	for _, u := range best.Upstreams {
		if u.Name == path[1] && path[2] == "limit" {
			return fmt.Sprint(u.Limit), nil
		}
		if u.Name == path[1] {
			return u.State, nil
		}
	}
	return "", fmt.Errorf("unknown value of pool %v", path)
}

func (f *fleet) emulatorDebug(name string) (d emulator.Debug, err error) {
	u := f.upstreams[name]
	if u == nil {
		return d, fmt.Errorf("unknown upstream %q", name)
	}
	return d, f.getJSON("http://"+u.address+"/debug/runs", &d)
}

// emulatorValue returns a counter of one emulator, or with "*" the sum over all. after.MARK
// is the time of the latest run in milliseconds after the mark.
func (f *fleet) emulatorValue(name string, path []string) (string, error) {
	if name == "*" {
		sum := 0.0
		for n := range f.upstreams {
			v, err := f.emulatorValue(n, path)
			if err != nil {
				return "", err
			}
			x, _ := strconv.ParseFloat(v, 64)
			sum += x
		}
		return fmt.Sprint(sum), nil
	}
	d, err := f.emulatorDebug(name)
	if err != nil {
		return "", err
	}
	if path[0] == "after" {
		f.mu.Lock()
		defer f.mu.Unlock()
		return fmt.Sprint(d.LastRunMS - f.marks[path[1]].UnixMilli()), nil
	}
	b, err := json.Marshal(d)
	if err != nil {
		return "", err
	}
	var fields map[string]any
	if err := json.Unmarshal(b, &fields); err != nil {
		return "", err
	}
	v, ok := fields[path[0]]
	if !ok {
		return "", fmt.Errorf("unknown counter %q", path[0])
	}
	return fmt.Sprint(v), nil
}

// countRunsByKey returns how often each idempotency key ran, over all upstreams.
func (f *fleet) countRunsByKey() (map[string]int, error) {
	runs := map[string]int{}
	for n := range f.upstreams {
		d, err := f.emulatorDebug(n)
		if err != nil {
			return nil, err
		}
		for k, v := range d.Keys {
			runs[k] += v
		}
	}
	return runs, nil
}

// keysValue returns keys.count and keys.max, the most runs of one key.
func (f *fleet) keysValue(field string) (string, error) {
	runs, err := f.countRunsByKey()
	if err != nil {
		return "", err
	}
	if field == "count" {
		return fmt.Sprint(len(runs)), nil
	}
	most := 0
	for _, v := range runs {
		most = max(most, v)
	}
	return fmt.Sprint(most), nil
}
