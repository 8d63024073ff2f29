// Command marigoldshunt-load sends bounded load to a fleet and prints a JSON report.
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
	o, err := parse(os.Args[1:])
	if err != nil {
		log.WithError(err).Fatal("Bad flags.")
	}
	r, err := loadgen.Run(ctx, o)
	if err != nil {
		log.WithError(err).Fatal("No load was sent.")
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(r); err != nil {
		log.WithError(err).Fatal("Report not written.")
	}
	if r.Total.Faulty > 0 {
		log.WithField("faulty", r.Total.Faulty).Error("Some answers were not whole, foreign or untyped.")
		os.Exit(1)
	}
}

func parse(args []string) (loadgen.Options, error) {
	var o loadgen.Options
	var w loadgen.Work
	fs := flag.NewFlagSet("marigoldshunt-load", flag.ContinueOnError)
	hosts := fs.String("hosts", "127.0.0.1:8080", "caller addresses to ask first, separated by commas")
	accounts := fs.String("accounts", "", "accounts as name:key:workers[:rate], separated by commas")
	file := fs.String("accounts-file", "", "JSON file with a list of accounts and their mixes, instead of -accounts")
	fs.StringVar(&w.Pool, "pool", "", "pool of the requests of -accounts")
	kind := fs.String("kind", string(config.KindModel), "model or service")
	fs.BoolVar(&w.Stream, "stream", true, "ask for server-sent events")
	fs.IntVar(&w.PromptBytes, "prompt-bytes", 200, "size of the prompts")
	fs.IntVar(&w.MaxTokens, "max-tokens", 0, "output tokens, 0 for the engine's default")
	fs.IntVar(&w.Prefixes, "prefixes", 0, "number of distinct prompt beginnings, 0 for none")
	fs.StringVar(&w.Method, "method", "GET", "method of service calls")
	fs.StringVar(&w.Path, "path", "/", "path of service calls below the pool")
	fs.IntVar(&w.BodyBytes, "body-bytes", 0, "body of service calls")
	fs.BoolVar(&w.Keyed, "keyed", false, "send an Idempotency-Key with service calls")
	fs.IntVar(&o.Requests, "requests", 0, "requests of each account, 0 for no bound")
	fs.DurationVar(&o.Duration, "duration", 10*time.Second, "time in which requests start, 0 for no bound")
	fs.DurationVar(&o.Timeout, "timeout", time.Minute, "time of one request")
	fs.IntVar(&o.Retries, "retries", 0, "repeats of a request refused as not_run")
	fs.DurationVar(&o.Bucket, "bucket", time.Second, "width of the series over time")
	fs.Int64Var(&o.Seed, "seed", 1, "seed of the random numbers")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("MARIGOLDSHUNT_LOAD")); err != nil {
		return o, fault.Wrap(err, fault.InvalidSettings, "", "flags")
	}
	o.Hosts = strings.Split(*hosts, ",")
	w.Kind = config.Kind(*kind)
	if *file != "" {
		b, err := os.ReadFile(*file)
		if err == nil {
			err = json.Unmarshal(b, &o.Accounts)
		}
		return o, fault.Wrap(err, fault.InvalidSettings, "", "accounts file")
	}
	var err error
	o.Accounts, err = parseAccounts(*accounts, w)
	return o, err
}

func parseAccounts(text string, w loadgen.Work) ([]loadgen.Account, error) {
	var list []loadgen.Account
	for _, item := range strings.Split(text, ",") {
		f := strings.Split(item, ":")
		if len(f) < 3 || len(f) > 4 {
			return nil, fault.New(fault.InvalidSettings, "", "an account must be name:key:workers[:rate]")
		}
		a := loadgen.Account{Name: f[0], Key: f[1], Mix: []loadgen.Work{w}}
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
