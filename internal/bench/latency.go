package bench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/emulator"
	"marigoldshunt/internal/fault"
)

// latencyPool has one upstream that answers at once. All paths of part 5 end at it.
const latencyPool = "bench-latency"

// latencyCallsPerSecond is the number of calls on each path per second of a load phase.
const latencyCallsPerSecond = 50

// reconnectTime covers the longest delay before the peers reconnect.
const reconnectTime = 400 * time.Millisecond

// latency measures part 5, the latency that a router adds, with the delays of the profile
// and without.
func (r *run) latency(ctx context.Context) error {
	upstream, err := r.addLatencyPool(ctx)
	if err != nil {
		return err
	}
	if err := r.latencyRows(ctx, "with delays", upstream); err != nil {
		return err
	}
	// The hosts reconnect by themselves.
	r.network.disableDelays()
	revision := r.hosts[0].daemon.Config().Revision
	if err := r.awaitReconnected(ctx, revision); err != nil {
		return err
	}
	return r.latencyRows(ctx, "without delays", upstream)
}

// awaitReconnected waits until the fleet is in service again after all connections were
// closed.
func (r *run) awaitReconnected(ctx context.Context, revision uint64) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(reconnectTime):
	}
	return r.await(ctx, "the fleet reconnected without delays", func() bool { return r.allCurrent(revision) && r.allScheduled() })
}

func (r *run) addLatencyPool(ctx context.Context) (config.Upstream, error) {
	ln, err := net.Listen("tcp", "127.0.0.101:0")
	if err != nil {
		return config.Upstream{}, fault.Wrap(err, fault.InvalidSettings, "", "no free port")
	}
	e := emulator.New(emulator.Options{Name: latencyPool, ReportLag: reportLag, Seed: r.opts.Seed, Log: r.logger})
	go func() { _ = e.Serve(ln) }()
	r.emulators[latencyPool] = e
	h := r.hosts[0]
	model := h.daemon.Config().Pools[r.profile.model]
	model.Name, model.Profile.ColdConcurrency = latencyPool, model.Profile.MaxConcurrency
	u := config.Upstream{Name: latencyPool, Pool: latencyPool, DataCentre: h.settings.DataCentre, Address: ln.Addr().String()}
	c := r.accounts()[0]
	revision := c.Revision
	c.Pools = append([]string{latencyPool}, c.Pools...)
	c.RequestsPerSecond, c.Burst = claimRate, claimRate
	last, err := h.daemon.Change(ctx, requestID(), operatorName, []config.Change{
		{Pool: &model}, {Upstream: &u}, {Contract: &c, IfRevision: revision},
	})
	if err != nil {
		return u, err
	}
	return u, r.await(ctx, "the latency pool scheduled", func() bool { return r.allCurrent(last) && r.allScheduled() })
}

// latencyRows calls the upstream on each path in turn, one call at a time, and adds rows
// that compare the paths.
func (r *run) latencyRows(ctx context.Context, state string, u config.Upstream) error {
	b, err := r.startBaseline()
	if err != nil {
		return err
	}
	defer b.close()
	b.setUpstreams([]config.Upstream{u})
	client := &http.Client{Transport: &http.Transport{DialContext: r.dialCaller, DisableCompression: true}}
	defer client.CloseIdleConnections()
	routers, baselineRouters := r.callerAddresses(), b.addresses()
	var direct, viaRouter, viaBaseline []time.Duration
	// The first call through each router opens connections and is not counted.
	calls := int(latencyCallsPerSecond*r.phaseLength().Seconds()) + len(routers)
	for i := range calls {
		for _, path := range []struct {
			address string
			times   *[]time.Duration
		}{{u.Address, &direct}, {routers[i%len(routers)], &viaRouter}, {baselineRouters[i%len(baselineRouters)], &viaBaseline}} {
			d, err := r.timeCall(ctx, client, path.address)
			if err != nil {
				return err
			}
			if i >= len(routers) {
				*path.times = append(*path.times, d)
			}
		}
	}
	for _, p := range []float64{0.5, 0.95} {
		d := percentile(direct, p)
		value, other := milliseconds(percentile(viaRouter, p)), milliseconds(percentile(viaBaseline, p))
		r.add(partLatency, Row{
			Measure: fmt.Sprintf("added latency p%.0f, %s", 100*p, state), Value: value - milliseconds(d), Unit: "ms",
			Note: fmt.Sprintf("direct %s ms, through a router %s ms, through the baseline %s ms; %d calls each",
				formatNumber(milliseconds(d)), formatNumber(value), formatNumber(other), len(direct)),
		}.withBaseline(other-milliseconds(d)))
	}
	return nil
}

// timeCall sends one request and returns the time to the end of its response.
func (r *run) timeCall(ctx context.Context, client *http.Client, address string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":1,"user":%q,"messages":[]}`, latencyPool, requestID())
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	q.Header.Set("Authorization", "Bearer "+credential(r.accounts()[0].Account))
	q.Header.Set("Content-Type", "application/json")
	begin := time.Now()
	resp, err := client.Do(q)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fault.New(fault.UpstreamFailed, "", "%s answered with status %d: %s", address, resp.StatusCode, text)
	}
	return time.Since(begin), err
}
