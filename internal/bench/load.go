package bench

import (
	"cmp"
	"context"
	"math"
	"net"
	"sync"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/loadgen"
	"marigoldshunt/internal/sched"
)

// responseTokens are the response lengths in tokens. Each request draws one of them at
// random.
var responseTokens = []int{6, 12, 24, 48}

// chatMix returns streamed requests to the model pool.
func chatMix(pool string) []loadgen.RequestSpec {
	var mix []loadgen.RequestSpec
	for i, n := range responseTokens {
		mix = append(mix, loadgen.RequestSpec{
			Pool: pool, Kind: config.KindModel, Stream: true, PromptBytes: 200 << i, MaxTokens: n, Prefixes: 8,
		})
	}
	return mix
}

// credential returns an account's published credential in the example configurations.
func credential(account string) string { return account + "-example-credential" }

// callerAddresses returns the caller addresses of the routers, in the order of the
// configuration.
func (f *fleet) callerAddresses() []string {
	var out []string
	for _, h := range f.hosts {
		out = append(out, h.settings.CallerAddress)
	}
	return out
}

// skewedRouters chooses an account's routers: three quarters of its requests go to one
// router, the rest to another. The choice is uneven, so that some routers get the load of
// several accounts and others get little or none.
func skewedRouters(routers []string, i int) []string {
	first := routers[i*i%len(routers)]
	return []string{first, first, first, routers[(i*i+i+1)%len(routers)]}
}

// spreadRouters gives an account four routers, as discovery does.
func spreadRouters(routers []string, i int) []string {
	var out []string
	for k := range 4 {
		out = append(out, routers[(i+k*len(routers)/4)%len(routers)])
	}
	return out
}

// floodedRouter is the index of the router that the flooding account uses: the last one
// that schedules no pool and has no control role, so that its traffic can be told apart.
func (f *fleet) floodedRouter() int {
	for i := len(f.hosts) - 1; i >= controlHosts; i-- {
		if len(f.hosts[i].daemon.Schedulers()) == 0 {
			return i
		}
	}
	return len(f.hosts) - 1
}

// contendingLoad keeps every account backlogged. The last account floods one router with
// many times the requests of the others.
func (f *fleet) contendingLoad(routers []string) []loadgen.Account {
	var out []loadgen.Account
	contracts := f.accounts()
	slots, weights := f.slots(f.profile.model), 0.0
	for _, c := range contracts {
		weights += c.Weight
	}
	for i, c := range contracts {
		share := int(math.Ceil(float64(slots) * c.Weight / weights))
		a := loadgen.Account{
			Name: c.Account, Key: credential(c.Account), Workers: share + 6,
			Mix: chatMix(f.profile.model), Addresses: skewedRouters(routers, i),
		}
		if i == len(contracts)-1 {
			a.Workers = 10 * (share + 6)
			a.Addresses = []string{routers[f.floodedRouter()]}
		}
		out = append(out, a)
	}
	return out
}

// slots returns the number of slots of a pool when all its upstreams are warm.
func (f *fleet) slots(pool string) int {
	return len(f.upstreams(pool)) * f.hosts[0].daemon.Config().Pools[pool].Profile.MaxConcurrency
}

// dialCaller opens a connection of a caller.
func (f *fleet) dialCaller(ctx context.Context, _, address string) (net.Conn, error) {
	return f.network.dial(ctx, address, f.profile.callerDelay)
}

// resultList collects the results of a load.
type resultList struct {
	mu   sync.Mutex
	list []loadgen.Result
}

func (r *resultList) add(_ string, res loadgen.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, res)
}

// loadAndCancel sends requests for d and then cancels those that still run.
func (f *fleet) loadAndCancel(ctx context.Context, accounts []loadgen.Account, d time.Duration, seed int64) (*loadgen.Report, error) {
	loadCtx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	_, rep, err := f.loadToEnd(loadCtx, accounts, 2*d, seed)
	return rep, cmp.Or(err, ctx.Err())
}

// loadToEnd sends requests for d and waits for their responses.
func (f *fleet) loadToEnd(ctx context.Context, accounts []loadgen.Account, d time.Duration, seed int64) ([]loadgen.Result, *loadgen.Report, error) {
	var r resultList
	rep, err := loadgen.Run(ctx, loadgen.Options{
		Accounts: accounts, Duration: d, Seed: seed, OnResult: r.add, Dial: f.dialCaller,
	})
	return r.list, rep, err
}

// warmUp sends load until every upstream of the model pool is warm.
func (f *fleet) warmUp(ctx context.Context, seed int64) error {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	loadCtx, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() {
		_, _, err := f.loadToEnd(loadCtx, f.contendingLoad(f.callerAddresses()), time.Minute, seed)
		done <- err
	}()
	err := f.await(ctx, "all upstreams warm", f.allWarm)
	stop()
	if loadErr := <-done; err == nil {
		err = loadErr
	}
	return err
}

// allWarm reports whether all upstreams of the model pool are warm with nearly their full
// limit.
func (f *fleet) allWarm() bool {
	h := f.schedulerHost(f.profile.model)
	if h == nil {
		return false
	}
	status := h.poolStatus(f.profile.model)
	if status == nil {
		return false
	}
	limit := 0
	for _, u := range status.Upstreams {
		if u.State != sched.UpstreamWarm {
			return false
		}
		limit += u.Limit
	}
	// The limit follows the engines' queues, so it may be a little below the full one.
	return limit*100 >= f.slots(f.profile.model)*90
}
