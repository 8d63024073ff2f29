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

// nonIdempotentLoad is a background run of non-idempotent requests. Each is resent through
// other hosts until its outcome is known, and once more after it was answered.
type nonIdempotentLoad struct {
	mu    sync.Mutex
	ended bool
	// answered counts keys with a complete response. open counts keys whose outcome is
	// unknown: the request may have run, ran and failed, or used up its attempts. mixed
	// counts responses that belong to another request or to a second run.
	answered, open, mixed int
	resent                int
	// refused holds the keys that were given up after being refused as not run; if one of
	// them ran, the refusal was false. Every second request gives up this way.
	refused []string
	done    []string
	codes   map[string]int
}

// orderAttempts is how often one request is sent until its outcome is known.
const orderAttempts = 60

// cmdOrders starts non-idempotent requests: orders NAME account=A pool=P count=N workers=N
// [hosts=H,...] [timeout_ms=N].
func cmdOrders(_ *testscript.TestScript, f *fleet, args []string) error {
	kv := parseKeyValues(args[1:])
	run := &nonIdempotentLoad{codes: map[string]int{}}
	f.mu.Lock()
	f.orders[args[0]] = run
	f.mu.Unlock()
	callers := f.callerAddresses(kv)
	count, workers := int64(kv.intValue("count", 100)), kv.intValue("workers", 4)
	var next atomic.Int64
	var wg sync.WaitGroup
	client := &http.Client{Timeout: time.Duration(kv.intValue("timeout_ms", 15000)) * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	for worker := range workers {
		rng := rand.New(rand.NewSource(int64(worker)))
		wg.Go(func() {
			for n := next.Add(1); n <= count && f.ctx.Err() == nil; n = next.Add(1) {
				o := &nonIdempotentRequest{run: run, client: client, url: "/services/" + kv["pool"] + "/orders/" + fmt.Sprint(n), account: kv["account"],
					key: uuid.Must(uuid.NewV7()).String(), givesUp: n%2 == 0, body: strings.Repeat("x", int(n)%64+1)}
				o.send(f.ctx, callers, rng)
			}
		})
	}
	f.background.Go(func() {
		wg.Wait()
		client.CloseIdleConnections()
		run.mu.Lock()
		defer run.mu.Unlock()
		run.ended = true
	})
	return nil
}

// nonIdempotentRequest is one such request.
type nonIdempotentRequest struct {
	run                     *nonIdempotentLoad
	client                  *http.Client
	url, account, key, body string
	givesUp                 bool
}

// reply is the outcome of one attempt; code is empty for a complete response.
type reply struct {
	code     fault.Code
	state    fault.RunState
	replayed bool
	mixed    bool
}

const codeBroken fault.Code = "connection_broken"

func (o *nonIdempotentRequest) send(ctx context.Context, callers []string, rng *rand.Rand) {
	notRun := true
	for range orderAttempts {
		r := o.sendOnce(ctx, callers[rng.Intn(len(callers))])
		o.run.record(r)
		notRun = notRun && r.code != "" && r.state == fault.NotRun
		switch {
		case ctx.Err() != nil:
			return
		case r.code == "":
			o.resend(ctx, callers, rng)
			return
		case o.givesUp && notRun:
			o.run.mu.Lock()
			defer o.run.mu.Unlock()
			o.run.refused = append(o.run.refused, o.key)
			return
		case r.state == fault.MayHaveRun || r.state == fault.RanAndFailed:
			o.run.increment(&o.run.open)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	o.run.increment(&o.run.open)
}

// resend sends an answered request once more: the second response must be the stored one.
func (o *nonIdempotentRequest) resend(ctx context.Context, callers []string, rng *rand.Rand) {
	r := o.sendOnce(ctx, callers[rng.Intn(len(callers))])
	o.run.mu.Lock()
	defer o.run.mu.Unlock()
	o.run.resent++
	o.run.answered++
	o.run.done = append(o.run.done, o.key)
	if r.code == "" && !r.replayed {
		o.run.mixed++
	}
}

func (o *nonIdempotentRequest) sendOnce(ctx context.Context, host string) reply {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+o.url, strings.NewReader(o.body))
	if err != nil {
		return reply{code: codeBroken}
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+credential(o.account))
	req.Header.Set("Idempotency-Key", o.key)
	resp, err := o.client.Do(req)
	if err != nil {
		return reply{code: codeBroken}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{code: codeBroken}
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
	mixed := err != nil || a.Key != o.key || a.Bytes != len(o.body) || !strings.HasSuffix(o.url, a.Path)
	return reply{replayed: resp.Header.Get("X-Replayed") == "true", mixed: mixed}
}

func (o *nonIdempotentLoad) increment(n *int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	*n++
}

func (o *nonIdempotentLoad) record(r reply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.codes[string(r.code)+"/"+string(r.state)]++
	if r.mixed {
		o.mixed++
	}
}

func (o *nonIdempotentLoad) summary() string {
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
	runs, err := f.countRunsByKey()
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
		n = o.codes[string(codeBroken)+"/"]
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
