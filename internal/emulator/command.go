package emulator

import (
	"context"
	"flag"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/enginemodel"
	"marigoldshunt/internal/fault"
)

// Main runs the command upstream-emulator until a signal stops it. It exits the process
// if it cannot serve.
func Main(args []string) {
	log := logrus.WithField("part", "emulator")
	var opts Options
	fs := flag.NewFlagSet("upstream-emulator", flag.ExitOnError)
	address := fs.String("address", "127.0.0.1:0", "IP address and port to listen on")
	kind := fs.String("kind", string(config.KindModel), "model or service")
	fs.StringVar(&opts.Name, "name", "upstream", "prefix of the instance ID")
	fs.StringVar(&opts.Service, "service", "", "routed service in the list of instances")
	fs.StringVar(&opts.DataCentre, "data-centre", "", "data centre in the list of instances")
	fs.IntVar(&opts.Slots, "slots", 8, "requests that run concurrently")
	fs.Float64Var(&opts.TokensPerSecond, "tokens-per-second", 50, "speed of one stream, 0 for no delay")
	fs.IntVar(&opts.TokensPerResponse, "tokens-per-answer", 16, "output tokens of a response")
	fs.DurationVar(&opts.Prefill, "prefill", 0, "delay of the first token without a cached prefix")
	fs.DurationVar(&opts.WorkTime, "work-time", 10*time.Millisecond, "processing time of a service call")
	fs.IntVar(&opts.ColdCapacity, "cold-capacity", 0, "concurrent requests that a cold upstream can handle, 0 for no limit")
	fs.DurationVar(&opts.ColdTime, "cold-time", 0, "duration of a cold start, 0 for no end by time")
	fs.IntVar(&opts.WarmAfter, "warm-after", 0, "successes that double the capacity of a cold upstream")
	fs.DurationVar(&opts.ReportLag, "report-lag", 0, "age of load reports")
	fs.DurationVar(&opts.EventLag, "event-lag", 0, "age at which cache events are published")
	fs.Float64Var(&opts.EventLossRate, "event-gap", 0, "fraction of cache events that are lost")
	fs.IntVar(&opts.CacheEntries, "cache-entries", 256, "prefixes in the cache")
	fs.BoolVar(&opts.Resume, "resume", true, "honour X-Resume-Offset")
	fs.BoolVar(&opts.ChecksFence, "checks-fence", true, "refuse orders with an old fencing number")
	engine := fs.Bool("engine", false, "simulate an engine for routed streams: chunked prompts, steps, shared memory")
	model := enginemodel.TypicalOptions()
	fs.IntVar(&model.MemoryTokens, "engine-memory", model.MemoryTokens, "memory of the engine in tokens")
	fs.Float64Var(&model.PromptTokensPerMs, "engine-read-per-ms", model.PromptTokensPerMs, "prompt tokens that the engine reads in one ms")
	fs.IntVar(&model.ColdPerSecond, "engine-cold-per-second", 0, "requests per second that a cold engine can handle, 0 for no limit")
	fs.Float64Var(&opts.RateLimit, "rate-limit", 0, "requests per second that answers to routed requests name, 0 to name none")
	fs.StringVar(&opts.Version, "version", "", "software version in the list of instances")
	fs.BoolVar(&opts.Leaving, "leaving", false, "say in answers to routed requests that the upstream is about to stop")
	fs.BoolVar(&opts.KeepsID, "keep-id", false, "start again under the old instance ID after a crash")
	fs.DurationVar(&opts.ListLag, "list-lag", 0, "how long after its start an upstream with -keep-id is listed as the process before")
	fs.StringVar(&opts.CrashPart, "crash-part", "", "hexadecimal id of a prompt part, not the last one, that makes the upstream crash")
	fs.DurationVar(&opts.CrashDowntime, "crash-down", 500*time.Millisecond, "how long connections are refused after a crash")
	fs.Float64Var(&opts.GarbageRate, "garbage", 0, "fraction of events of routed streams at which garbage comes, and of their responses that are garbage as a whole")
	garbageKinds := fs.String("garbage-kinds", "", "kinds of garbage, separated by commas; empty for all kinds")
	instances := fs.String("instances", "", "numbers of instances by software version, as v1=3,v2=3, that listen on free ports and are listed at the address; empty for one instance")
	churn := fs.Duration("churn", 0, "interval at which one of -instances crashes, or leaves and is replaced; 0 for never")
	fs.DurationVar(&opts.LeaveTime, "leave-time", time.Second, "how long a leaving one of -instances serves requests at least")
	fs.Int64Var(&opts.Seed, "seed", time.Now().UnixNano(), "seed of the random numbers and the instance ID")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("UPSTREAM_EMULATOR")); err != nil {
		log.WithError(err).Fatal("Failed to parse the flags.")
	}
	var err error
	if opts.GarbageKinds, err = ParseGarbageKinds(*garbageKinds); err != nil {
		log.WithError(err).Fatal("Failed to parse the flags.")
	}
	opts.Kind = config.PoolKind(*kind)
	if *engine {
		model.Slots, model.ColdTime, model.ReportLag = opts.Slots, opts.ColdTime, opts.ReportLag
		opts.Engine = &model
	}
	if opts.Kind != config.KindModel && opts.Kind != config.KindService {
		log.Fatalf("Unknown kind %q.", *kind)
	}
	ln, err := net.Listen("tcp", *address)
	if err != nil {
		log.WithError(err).Fatal("Failed to listen.")
	}
	if *instances != "" {
		if err := runGroup(opts, *instances, *churn, ln); err != nil {
			log.WithError(err).Fatal("Stopped.")
		}
		return
	}
	e := New(opts)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		_ = e.Close()
	}()
	log.WithField("address", ln.Addr().String()).WithField("instance", e.Instance()).Info("Serving.")
	if err := e.Serve(ln); err != nil {
		log.WithError(err).Fatal("Stopped.")
	}
}

// runGroup runs a group of instances and serves their list on ln until a signal comes.
func runGroup(opts Options, instances string, churn time.Duration, ln net.Listener) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	host, _, err := net.SplitHostPort(ln.Addr().String())
	if err != nil {
		return err
	}
	g := NewGroup(opts, host)
	defer g.Close()
	if err := g.startAll(instances); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("GET /v1/instances", &g.List)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(ln) }() // ends with the process
	if churn > 0 {
		return g.Churn(ctx, churn, rand.New(rand.NewSource(opts.Seed)))
	}
	<-ctx.Done()
	return nil
}

// startAll starts instances as VERSION=NUMBER lists them, separated by commas.
func (g *Group) startAll(instances string) error {
	for item := range strings.SplitSeq(instances, ",") {
		version, number, _ := strings.Cut(item, "=")
		n, err := strconv.Atoi(number)
		if err != nil || n <= 0 {
			return fault.New(fault.InvalidSettings, "", "instances %q must be VERSION=NUMBER", item)
		}
		for range n {
			if err := g.Start(version); err != nil {
				return err
			}
		}
	}
	return nil
}
