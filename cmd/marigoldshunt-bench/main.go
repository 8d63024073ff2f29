// Command marigoldshunt-bench measures a fleet in one process and prints the measures.
package main

import (
	"context"
	"errors"
	"flag"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/bench"
)

func main() {
	log := logrus.WithField("part", "bench")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	fs := flag.NewFlagSet("marigoldshunt-bench", flag.ContinueOnError)
	profile := fs.String("profile", "all", "vunimoli, chimehollow or all")
	o := bench.Options{Progress: func(text string) { log.Info(text) }}
	fs.StringVar(&o.Examples, "examples", "examples", "folder with the profiles' configurations")
	seconds := fs.Int("seconds", 4, "length of one load phase")
	fs.Int64Var(&o.Seed, "seed", 1, "seed of load and emulators")
	fs.IntVar(&o.Part, "part", 0, "one part, 1 to 9; 0 for all")
	asJSON := fs.Bool("json", false, "print JSON instead of a table")
	switch err := ff.Parse(fs, os.Args[1:], ff.WithEnvVarPrefix("MARIGOLDSHUNT_BENCH")); {
	case errors.Is(err, flag.ErrHelp):
		return
	case err != nil:
		log.WithError(err).Fatal("Bad flags.")
	}
	o.Phase = time.Duration(*seconds) * time.Second
	o.Profiles = []string{*profile}
	if *profile == "all" {
		o.Profiles = []string{"vunimoli", "chimehollow"}
	}
	rep, err := bench.Run(ctx, o)
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
		log.WithError(err).Fatal("Run incomplete.")
	}
}
