package bench

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
)

// baseline is the fleet without a scheduler: each router works for itself, with a
// concurrency limit of its own, a queue in the order of arrival, and round robin over
// the upstreams.
type baseline struct {
	routers []*baselineRouter

	mu        sync.Mutex
	index     map[string]int
	weight    []float64
	service   []float64
	waiting   []int
	limit     int
	upstreams []string
}

// baselineRouter is one router.
type baselineRouter struct {
	b      *baseline
	server *http.Server
	addr   string
	slots  chan struct{}
	proxy  *httputil.ReverseProxy

	mu   sync.Mutex
	turn int
}

// startBaseline starts as many routers as the fleet has hosts, over the same upstreams.
// Together their limits allow the slots of the pool.
func (f *fleet) startBaseline() (*baseline, error) {
	b := &baseline{index: map[string]int{}, limit: f.slots(f.profile.model)}
	for i, c := range f.accounts() {
		b.index[credential(c.Account)] = i
		b.weight = append(b.weight, c.Weight)
	}
	b.service, b.waiting = make([]float64, len(b.weight)), make([]int, len(b.weight))
	b.setUpstreams(f.upstreams(f.profile.model))
	for range f.hosts {
		ln, err := net.Listen("tcp", "127.0.0.100:0")
		if err != nil {
			b.close()
			return nil, fault.Wrap(err, fault.InvalidSettings, "", "no free port")
		}
		r := &baselineRouter{b: b, addr: ln.Addr().String(), slots: make(chan struct{}, max(b.limit/len(f.hosts), 1))}
		r.proxy = &httputil.ReverseProxy{
			Rewrite: r.rewrite, FlushInterval: -1, ErrorHandler: refuseBroken, ErrorLog: silent(),
			Transport: &http.Transport{MaxIdleConnsPerHost: b.limit, DisableCompression: true},
		}
		r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute, ErrorLog: silent()}
		b.routers = append(b.routers, r)
		go func() { _ = r.server.Serve(ln) }()
	}
	return b, nil
}

func (b *baseline) close() {
	for _, r := range b.routers {
		_ = r.server.Close()
	}
}

// setUpstreams is the operator's change of every router's list.
func (b *baseline) setUpstreams(list []config.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.upstreams = nil
	for _, u := range list {
		b.upstreams = append(b.upstreams, u.Address)
	}
}

func (b *baseline) addresses() []string {
	var out []string
	for _, r := range b.routers {
		out = append(out, r.addr)
	}
	return out
}

// source samples the baseline. Every account with waiting requests contends, since no
// account has a limit of its own.
func (b *baseline) source(busy func() time.Duration) source {
	return func() (sample, bool) {
		s := sample{Busy: busy(), Limit: b.limit}
		b.mu.Lock()
		defer b.mu.Unlock()
		for i := range b.service {
			s.Waiting += b.waiting[i]
			s.Accounts = append(s.Accounts, accountSample{Service: b.service[i] / b.weight[i], Contends: b.waiting[i] > 0})
		}
		return s, true
	}
}

// wait changes the number of waiting requests of an account.
func (b *baseline) wait(account, d int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting[account] += d
}

func (b *baseline) charge(account int, cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.service[account] += cost
}

// ServeHTTP queues a request in the order of arrival and passes it on. Goroutines that
// wait to send on a channel proceed in order.
func (r *baselineRouter) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	account, ok := r.b.index[strings.TrimPrefix(q.Header.Get("Authorization"), "Bearer ")]
	body, err := io.ReadAll(q.Body)
	if !ok || err != nil {
		refuseBroken(w, q, err)
		return
	}
	r.b.wait(account, 1)
	select {
	case r.slots <- struct{}{}:
		r.b.wait(account, -1)
	case <-q.Context().Done():
		r.b.wait(account, -1)
		return
	}
	defer func() { <-r.slots }()
	r.b.charge(account, costOf(body))
	q.Body = io.NopCloser(bytes.NewReader(body))
	r.proxy.ServeHTTP(w, q)
}

// costOf is the true cost of a chat request: input tokens / 8 + output tokens, of which
// the emulator gives as many as the request asks for.
func costOf(body []byte) float64 {
	var v struct {
		MaxTokens int `json:"max_tokens"`
	}
	_ = json.Unmarshal(body, &v)
	const bytesPerToken, inputTokensPerUnit = 4, 8
	return float64(len(body)/bytesPerToken)/inputTokensPerUnit + float64(v.MaxTokens)
}

func (r *baselineRouter) rewrite(p *httputil.ProxyRequest) {
	r.b.mu.Lock()
	list := slices.Clone(r.b.upstreams)
	r.b.mu.Unlock()
	r.mu.Lock()
	r.turn++
	address := list[r.turn%len(list)]
	r.mu.Unlock()
	p.SetURL(&url.URL{Scheme: "http", Host: address})
	p.Out.Header.Del("Authorization")
	// The emulator puts the id into its answer, and the load generator checks it.
	p.Out.Header.Set("X-Request-Id", requestID())
}

// refuseBroken answers with the typed failure that the load generator reads.
func refuseBroken(w http.ResponseWriter, _ *http.Request, _ error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusBadGateway)
	_, _ = io.WriteString(w, `{"error":{"code":"upstream_failed","message":"","run_state":"may_have_run","retry_after_ms":0}}`)
}
