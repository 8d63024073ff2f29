// Command marigoldshunt-load sends a limited amount of load to a fleet and prints a JSON
// report.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/loadgen"
)

func main() {
	log := logrus.WithField("part", "load")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	run := runPools
	if len(os.Args) > 1 && os.Args[1] == "routed" {
		run = runRouted
	}
	report, faulty, err := run(ctx, os.Args[1:])
	if err != nil {
		log.WithError(err).Fatal("Failed to complete the load run.")
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(report); err != nil {
		log.WithError(err).Fatal("Failed to write the report.")
	}
	if faulty > 0 {
		log.WithField("faulty", faulty).Error("Some responses were incomplete, held foreign bytes, belonged to another request or had no typed error body.")
	}
	if r, ok := report.(*loadgen.RoutedReport); ok && r.Streams.ResumedTooRarely() {
		log.WithFields(logrus.Fields{"resumed": r.Streams.Total.Resumed, "new": r.Streams.Total.New}).Error("Far fewer of the resumed streams went on than of the new ones began.")
		faulty++
	}
	if faulty > 0 {
		os.Exit(1)
	}
}

// runPools sends requests to pools.
func runPools(ctx context.Context, args []string) (report any, faulty int, err error) {
	opts, err := parsePoolFlags(args)
	if err != nil {
		return nil, 0, err
	}
	r, err := loadgen.Run(ctx, opts)
	if err != nil {
		return nil, 0, err
	}
	return r, r.Total.Faulty, nil
}

// runRouted sends requests to a route in the native formats: marigoldshunt-load routed
// FLAGS.
func runRouted(ctx context.Context, args []string) (report any, faulty int, err error) {
	var opts loadgen.RoutedOptions
	fs := flag.NewFlagSet("marigoldshunt-load routed", flag.ContinueOnError)
	discovery := fs.String("discovery", "127.0.0.1:7105", "discovery addresses of hosts, separated by commas")
	fs.StringVar(&opts.DataCentre, "data-centre", "", "data centre of the caller")
	fs.StringVar(&opts.HostHeader, "host", "", "host name of the route")
	fs.StringVar(&opts.Path, "path", "/", "path prefix of the route; a unique number is appended to it")
	fs.StringVar(&opts.Credential, "credential", "", "credential of the client account")
	fs.IntVar(&opts.BodyBytes, "body-bytes", 100, "body size of a request in bytes")
	fs.IntVar(&opts.Workers, "workers", 4, "number of concurrent callers")
	fs.IntVar(&opts.Requests, "requests", 10, "requests of each caller")
	fs.DurationVar(&opts.Timeout, "timeout", 10*time.Second, "timeout of one request")
	fs.IntVar(&opts.OutputTokens, "output-tokens", 0, "tokens of each stream; 0 for a plain service")
	fs.IntVar(&opts.TokensPerEvent, "tokens-per-event", 6, "tokens in one event, as the upstreams send them")
	fs.IntVar(&opts.SharedTokens, "shared-tokens", 2000, "tokens of the shared beginning of a prompt")
	fs.IntVar(&opts.OwnTokens, "own-tokens", 500, "tokens of the rest of a prompt")
	fs.IntVar(&opts.Prefixes, "groups", 4, "number of different shared prefixes")
	fs.IntVar(&opts.Tries, "tries", 0, "requests to begin a stream, and to resume it after each broken connection; 0 makes one and resumes nothing")
	fs.Int64Var(&opts.Seed, "seed", 1, "seed of the random numbers")
	if err := ff.Parse(fs, args[1:], ff.WithEnvVarPrefix("MARIGOLDSHUNT_LOAD")); err != nil {
		return nil, 0, fault.Wrap(err, fault.InvalidSettings, "", "flags")
	}
	opts.DiscoveryAddresses = strings.Split(*discovery, ",")
	r, err := loadgen.RunRouted(ctx, opts)
	if err != nil {
		return nil, 0, err
	}
	return r, r.Faulty, nil
}

func parsePoolFlags(args []string) (loadgen.Options, error) {
	var opts loadgen.Options
	var spec loadgen.RequestSpec
	fs := flag.NewFlagSet("marigoldshunt-load", flag.ContinueOnError)
	hosts := fs.String("hosts", "127.0.0.1:8080", "caller addresses to ask first, separated by commas")
	accounts := fs.String("accounts", "", "accounts as name:key:workers[:rate], separated by commas")
	accountsFile := fs.String("accounts-file", "", "JSON file with a list of accounts and their mixes, instead of -accounts")
	fs.StringVar(&spec.Pool, "pool", "", "pool of the requests of -accounts")
	kind := fs.String("kind", string(config.KindModel), "model or service")
	fs.BoolVar(&spec.Stream, "stream", true, "ask for server-sent events")
	fs.IntVar(&spec.PromptBytes, "prompt-bytes", 200, "size of the prompts")
	fs.IntVar(&spec.MaxTokens, "max-tokens", 0, "output tokens, 0 for the engine's default")
	fs.IntVar(&spec.Prefixes, "prefixes", 0, "number of distinct prompt prefixes, 0 for none")
	fs.StringVar(&spec.Method, "method", "GET", "method of service calls")
	fs.StringVar(&spec.Path, "path", "/", "path of service calls below the pool")
	fs.IntVar(&spec.BodyBytes, "body-bytes", 0, "body size of service calls in bytes")
	fs.BoolVar(&spec.Keyed, "keyed", false, "send an Idempotency-Key with service calls")
	fs.IntVar(&opts.Requests, "requests", 0, "requests of each account, 0 for no limit")
	fs.DurationVar(&opts.Duration, "duration", 10*time.Second, "time during which requests are started, 0 for no limit")
	fs.DurationVar(&opts.Timeout, "timeout", time.Minute, "timeout of one request")
	fs.IntVar(&opts.Retries, "retries", 0, "retries of a request refused as not_run")
	fs.DurationVar(&opts.BucketLength, "bucket", time.Second, "width of one time bucket of the series")
	fs.Int64Var(&opts.Seed, "seed", 1, "seed of the random numbers")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("MARIGOLDSHUNT_LOAD")); err != nil {
		return opts, fault.Wrap(err, fault.InvalidSettings, "", "flags")
	}
	opts.Hosts = strings.Split(*hosts, ",")
	spec.Kind = config.PoolKind(*kind)
	if *accountsFile != "" {
		b, err := os.ReadFile(*accountsFile)
		if err == nil {
			err = json.Unmarshal(b, &opts.Accounts)
		}
		return opts, fault.Wrap(err, fault.InvalidSettings, "", "accounts file")
	}
	var err error
	opts.Accounts, err = parseAccounts(*accounts, spec)
	return opts, err
}

func parseAccounts(text string, spec loadgen.RequestSpec) ([]loadgen.Account, error) {
	var list []loadgen.Account
	for _, item := range strings.Split(text, ",") {
		f := strings.Split(item, ":")
		if len(f) < 3 || len(f) > 4 {
			return nil, fault.New(fault.InvalidSettings, "", "an account must be name:key:workers[:rate]")
		}
		a := loadgen.Account{Name: f[0], Key: f[1], Mix: []loadgen.RequestSpec{spec}}
		var err error
		if a.Workers, err = strconv.Atoi(f[2]); err != nil {
			return nil, fault.Wrap(err, fault.InvalidSettings, "", "workers of account %q", a.Name)
		}
		if len(f) == 4 {
			if a.Rate, err = strconv.ParseFloat(f[3], 64); err != nil {
				return nil, fault.Wrap(err, fault.InvalidSettings, "", "rate of account %q", a.Name)
			}
		}
		list = append(list, a)
	}
	return list, nil
}
