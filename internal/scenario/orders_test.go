package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"marigoldshunt/internal/fault"
)

// orders is a background run of non-idempotent requests. Each is sent again through
// another host until its outcome is known, and once more after it was answered.
type orders struct {
	mu    sync.Mutex
	ended bool
	// answered, open and mixed count keys by outcome: answered whole; may have run; an
	// answer of another request or a second run's answer.
	answered, open, mixed int
	resent                int
	// refused are keys that were given up after a refusal as not run; a run of one of
	// them would show that the refusal was false. Every second request gives up so.
	refused []string
	done    []string
	codes   map[string]int
}

// orderAttempts is how often one request is sent until its outcome is known.
const orderAttempts = 60

// cmdOrders starts non-idempotent requests: orders NAME account=A pool=P count=N
// workers=N [hosts=H,...] [timeout_ms=N].
func cmdOrders(_ *testscript.TestScript, f *fleet, args []string) error {
	o := parseOptions(args[1:])
	s := &orders{codes: map[string]int{}}
	f.mu.Lock()
	f.orders[args[0]] = s
	f.mu.Unlock()
	callers := f.callers(o)
	count, workers := int64(o.number("count", 100)), o.number("workers", 4)
	var next atomic.Int64
	var wg sync.WaitGroup
	client := &http.Client{Timeout: time.Duration(o.number("timeout_ms", 15000)) * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	for w := range workers {
		rng := rand.New(rand.NewSource(int64(w)))
		wg.Go(func() {
			for n := next.Add(1); n <= count && f.ctx.Err() == nil; n = next.Add(1) {
				j := &order{o: s, client: client, url: "/services/" + o["pool"] + "/orders/" + fmt.Sprint(n), account: o["account"],
					key: uuid.Must(uuid.NewV7()).String(), givesUp: n%2 == 0, body: strings.Repeat("x", int(n)%64+1)}
				j.run(f.ctx, callers, rng)
			}
		})
	}
	f.work.Go(func() {
		wg.Wait()
		client.CloseIdleConnections()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ended = true
	})
	return nil
}

// order is one non-idempotent request.
type order struct {
	o                       *orders
	client                  *http.Client
	url, account, key, body string
	givesUp                 bool
}

// reply is the outcome of one attempt; code is empty for an answer.
type reply struct {
	code     fault.Code
	state    fault.RunState
	replayed bool
	mixed    bool
}

const broken fault.Code = "connection_broken"

func (j *order) run(ctx context.Context, callers []string, rng *rand.Rand) {
	notRun := true
	for range orderAttempts {
		r := j.attempt(ctx, callers[rng.Intn(len(callers))])
		j.o.note(r)
		notRun = notRun && r.code != "" && r.state == fault.NotRun
		switch {
		case ctx.Err() != nil:
			return
		case r.code == "":
			j.again(ctx, callers, rng)
			return
		case j.givesUp && notRun:
			j.o.mu.Lock()
			defer j.o.mu.Unlock()
			j.o.refused = append(j.o.refused, j.key)
			return
		case r.state == fault.MayHaveRun || r.state == fault.RanAndFailed:
			j.o.add(&j.o.open)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	j.o.add(&j.o.open)
}

// again sends an answered request once more: a second answer must be the kept one.
func (j *order) again(ctx context.Context, callers []string, rng *rand.Rand) {
	r := j.attempt(ctx, callers[rng.Intn(len(callers))])
	j.o.mu.Lock()
	defer j.o.mu.Unlock()
	j.o.resent++
	j.o.answered++
	j.o.done = append(j.o.done, j.key)
	if r.code == "" && !r.replayed {
		j.o.mixed++
	}
}

func (j *order) attempt(ctx context.Context, host string) reply {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+j.url, strings.NewReader(j.body))
	if err != nil {
		return reply{code: broken}
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+credential(j.account))
	req.Header.Set("Idempotency-Key", j.key)
	resp, err := j.client.Do(req)
	if err != nil {
		return reply{code: broken}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{code: broken}
	}
	if resp.StatusCode != http.StatusOK {
		return reply{code: fault.Code(resp.Header.Get("X-Error-Code")), state: fault.RunState(resp.Header.Get("X-Run-State"))}
	}
	var a struct {
		Key   string `json:"key"`
		Path  string `json:"path"`
		Bytes int    `json:"bytes"`
	}
	err = json.Unmarshal(b, &a)
	mixed := err != nil || a.Key != j.key || a.Bytes != len(j.body) || !strings.HasSuffix(j.url, a.Path)
	return reply{replayed: resp.Header.Get("X-Replayed") == "true", mixed: mixed}
}

func (o *orders) add(n *int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	*n++
}

func (o *orders) note(r reply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.codes[string(r.code)+"/"+string(r.state)]++
	if r.mixed {
		o.mixed++
	}
}

func (o *orders) summary() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return fmt.Sprintf("ended=%v answered=%d open=%d mixed=%d refused=%d attempts=%v", o.ended, o.answered, o.open, o.mixed, len(o.refused), o.codes)
}

// ordersValue returns ended, answered, open, mixed, refused, untyped, broken, false_not_run
// (runs of refused keys) or lost (answered keys that did not run exactly once).
func (f *fleet) ordersValue(name, field string) (string, error) {
	f.mu.Lock()
	o := f.orders[name]
	f.mu.Unlock()
	if o == nil {
		return "", fmt.Errorf("unknown orders %q", name)
	}
	runs, err := f.runsOfKeys()
	if err != nil {
		return "", err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	switch field {
	case "ended":
		return fmt.Sprint(o.ended), nil
	case "answered":
		n = o.answered
	case "open":
		n = o.open
	case "mixed":
		n = o.mixed
	case "refused":
		n = len(o.refused)
	case "untyped":
		n = o.codes["/"+string(fault.NotRun)] + o.codes["/"+string(fault.MayHaveRun)]
	case "broken":
		n = o.codes[string(broken)+"/"]
	case "false_not_run":
		for _, k := range o.refused {
			n += runs[k]
		}
	case "lost":
		for _, k := range o.done {
			if runs[k] != 1 {
				n++
			}
		}
	default:
		return "", fmt.Errorf("unknown field %q", field)
	}
	return fmt.Sprint(n), nil
}
