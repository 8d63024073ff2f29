// Command marigoldshunt-bench measures a fleet in one process and prints a report.
package main

import (
	"context"
	"errors"
	"flag"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/bench"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/loadplay"
	"marigoldshunt/internal/sweep"
)

func main() {
	log := logrus.WithField("part", "bench")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	fs := flag.NewFlagSet("marigoldshunt-bench", flag.ContinueOnError)
	profile := fs.String("profile", "all", "vunimoli, chimehollow or all")
	opts := bench.Options{Progress: func(text string) { log.Info(text) }}
	fs.StringVar(&opts.Examples, "examples", "examples", "folder with the example configurations of the profiles")
	seconds := fs.Int("seconds", 4, "length of one load phase")
	fs.Int64Var(&opts.Seed, "seed", 1, "seed of load and emulators")
	fs.IntVar(&opts.Part, "part", 0, "part to measure, 1 to 9; 0 for all")
	play := fs.String("play", "", "only run the load of this file on a simulated clock, under several policies")
	sizes := fs.String("sweep", "", "only measure how load and times grow over these numbers of hosts, separated by commas")
	plot := fs.String("plot", "", "write a plot of the results of -play or -sweep to this SVG file")
	asJSON := fs.Bool("json", false, "print JSON instead of a table")
	switch err := ff.Parse(fs, os.Args[1:], ff.WithEnvVarPrefix("MARIGOLDSHUNT_BENCH")); {
	case errors.Is(err, flag.ErrHelp):
		return
	case err != nil:
		log.WithError(err).Fatal("Failed to parse the flags.")
	}
	if *play != "" {
		if err := simulateLoad(*play, *plot); err != nil {
			log.WithError(err).Fatal("Failed to simulate the load.")
		}
		return
	}
	if *sizes != "" {
		if err := runSweep(ctx, *sizes, *plot, *asJSON, &opts); err != nil {
			log.WithError(err).Fatal("Failed to complete the sweep.")
		}
		return
	}
	opts.Phase = time.Duration(*seconds) * time.Second
	opts.Profiles = []string{*profile}
	if *profile == "all" {
		opts.Profiles = []string{"vunimoli", "chimehollow"}
	}
	rep, err := bench.Run(ctx, opts)
	if rep != nil {
		write := rep.WriteTable
		if *asJSON {
			write = rep.WriteJSON
		}
		if werr := write(os.Stdout); err == nil {
			err = werr
		}
	}
	if err != nil {
		log.WithError(err).Fatal("Failed to complete the run.")
	}
}

// simulateLoad runs a load under each policy on a simulated clock and writes a table, and a
// plot if a path is given.
func simulateLoad(path, plot string) error {
	l, err := loadplay.ReadFile(path)
	if err != nil {
		return err
	}
	results := loadplay.Compare(l)
	if err := loadplay.WriteTable(os.Stdout, results); err != nil || plot == "" {
		return err
	}
	return writePlot(plot, func(w io.Writer) error { return loadplay.WriteSVG(w, results) })
}

func writePlot(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// sweepLength is the simulated time over which a sweep counts traffic.
const sweepLength = 20 * time.Second

// runSweep measures fleets of several sizes and writes a report, and a plot if a path is
// given.
func runSweep(ctx context.Context, list, plot string, asJSON bool, opts *bench.Options) error {
	o := sweep.Options{Seed: opts.Seed, Length: sweepLength, Progress: opts.Progress}
	for _, text := range strings.Split(list, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil {
			return fault.Wrap(err, fault.InvalidSettings, "", "sizes %q", list)
		}
		o.Sizes = append(o.Sizes, n)
	}
	rep, err := sweep.Run(ctx, o)
	if err != nil {
		return err
	}
	write := rep.WriteTable
	if asJSON {
		write = rep.WriteJSON
	}
	if err := write(os.Stdout); err != nil || plot == "" {
		return err
	}
	return writePlot(plot, rep.WriteSVG)
}
