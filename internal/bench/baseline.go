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

// baseline is a fleet without a scheduler: each router decides alone, with a concurrency
// limit of its own, a first-in first-out queue, and round robin over the upstreams.
type baseline struct {
	routers []*baselineRouter

	mu           sync.Mutex
	accountIndex map[string]int
	weight       []float64
	service      []float64
	waiting      []int
	limit        int
	upstreams    []string
}

// baselineRouter is one router of the baseline.
type baselineRouter struct {
	baseline *baseline
	server   *http.Server
	addr     string
	slots    chan struct{}
	proxy    *httputil.ReverseProxy

	mu      sync.Mutex
	proxied int
}

// startBaseline starts as many routers as the fleet has hosts, in front of the same
// upstreams. Their limits add up to the slots of the pool.
func (f *fleet) startBaseline() (*baseline, error) {
	b := &baseline{accountIndex: map[string]int{}, limit: f.slots(f.profile.model)}
	for i, c := range f.accounts() {
		b.accountIndex[credential(c.Account)] = i
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
		r := &baselineRouter{baseline: b, addr: ln.Addr().String(), slots: make(chan struct{}, max(b.limit/len(f.hosts), 1))}
		r.proxy = &httputil.ReverseProxy{
			Rewrite: r.rewrite, FlushInterval: -1, ErrorHandler: writeUpstreamFailed, ErrorLog: discardLogger(),
			Transport: &http.Transport{MaxIdleConnsPerHost: b.limit, DisableCompression: true},
		}
		r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute, ErrorLog: discardLogger()}
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

// setUpstreams replaces the upstream list of every router, as an operator would.
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

// sampleSource samples the baseline. Every account with waiting requests contends, since no
// account has a limit of its own.
func (b *baseline) sampleSource(busy func() time.Duration) sampleSource {
	return func() (sample, bool) {
		s := sample{BusyTime: busy(), Limit: b.limit}
		b.mu.Lock()
		defer b.mu.Unlock()
		for i := range b.service {
			s.Waiting += b.waiting[i]
			s.Accounts = append(s.Accounts, accountSample{NormalisedService: b.service[i] / b.weight[i], Contends: b.waiting[i] > 0})
		}
		return s, true
	}
}

// addWaiting changes the number of waiting requests of an account by delta.
func (b *baseline) addWaiting(account, delta int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting[account] += delta
}

func (b *baseline) charge(account int, cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.service[account] += cost
}

// ServeHTTP queues a request first-in first-out and proxies it. Goroutines that wait to
// send on a channel proceed in order.
func (r *baselineRouter) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	account, ok := r.baseline.accountIndex[strings.TrimPrefix(req.Header.Get("Authorization"), "Bearer ")]
	body, err := io.ReadAll(req.Body)
	if !ok || err != nil {
		writeUpstreamFailed(w, req, err)
		return
	}
	r.baseline.addWaiting(account, 1)
	select {
	case r.slots <- struct{}{}:
		r.baseline.addWaiting(account, -1)
	case <-req.Context().Done():
		r.baseline.addWaiting(account, -1)
		return
	}
	defer func() { <-r.slots }()
	r.baseline.charge(account, requestCost(body))
	req.Body = io.NopCloser(bytes.NewReader(body))
	r.proxy.ServeHTTP(w, req)
}

// requestCost is the actual cost of a chat request: input tokens / 8 + output tokens. The
// emulator generates as many output tokens as the request asks for.
func requestCost(body []byte) float64 {
	var v struct {
		MaxTokens int `json:"max_tokens"`
	}
	_ = json.Unmarshal(body, &v)
	const bytesPerToken, inputTokensPerUnit = 4, 8
	return float64(len(body)/bytesPerToken)/inputTokensPerUnit + float64(v.MaxTokens)
}

func (r *baselineRouter) rewrite(p *httputil.ProxyRequest) {
	r.baseline.mu.Lock()
	list := slices.Clone(r.baseline.upstreams)
	r.baseline.mu.Unlock()
	r.mu.Lock()
	r.proxied++
	address := list[r.proxied%len(list)]
	r.mu.Unlock()
	p.SetURL(&url.URL{Scheme: "http", Host: address})
	p.Out.Header.Del("Authorization")
	// The emulator returns the ID in its response, and the load generator checks it.
	p.Out.Header.Set("X-Request-Id", requestID())
}

// writeUpstreamFailed answers with the typed error body that the load generator parses.
func writeUpstreamFailed(w http.ResponseWriter, _ *http.Request, _ error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusBadGateway)
	_, _ = io.WriteString(w, `{"error":{"code":"upstream_failed","message":"","run_state":"may_have_run","retry_after_ms":0}}`)
}
