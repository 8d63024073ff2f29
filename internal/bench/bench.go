// Package bench measures a fleet of daemons, emulated upstreams and callers in one process
// over loopback TCP, and compares it with a baseline of independent routers.
package bench

import (
	"context"
	"io"
	"log"
	"time"

	"github.com/google/uuid"

	"marigoldshunt/internal/fault"
)

// Parts of the measurement, numbered as in the reports.
const (
	partFairness = iota + 1
	partUtilisation
	partTraffic
	partDataCentre
	partLatency
	partConfig
	partRecovery
	partClaims
	partDecision
)

// Options configures a run.
type Options struct {
	// Profiles names the example configurations to measure; Examples is their folder.
	Profiles []string
	Examples string
	// Phase is the length of one load phase.
	Phase time.Duration
	Seed  int64
	// Part selects one part; 0 selects all.
	Part int
	// TokensPerSecond is the output rate of the emulated engines.
	TokensPerSecond float64
	// Grace is the time after which no run may begin at an upstream that was taken out of
	// service.
	Grace time.Duration
	// ChangeCount is the number of configuration changes committed before the restart of
	// part 7.
	ChangeCount int
	// Progress, if not nil, is called with the name of each step when it begins.
	Progress func(text string)
}

// Bounds and defaults of Options.
const (
	// MaxPhase limits a phase, so that the counters of the emulators stay small.
	MaxPhase               = 10 * time.Minute
	defaultChangeCount     = 1000
	defaultTokensPerSecond = 50
	// defaultGrace is the time limit of invariants I4 and I8 of docs/design.md.
	defaultGrace = 4 * time.Second
)

func (opts *Options) check() error {
	switch {
	case len(opts.Profiles) == 0:
		return fault.New(fault.InvalidSettings, "", "no profile given")
	case opts.Phase <= 0 || opts.Phase > MaxPhase:
		return fault.New(fault.InvalidSettings, "", "phase: %s is not between 0 and %s", opts.Phase, MaxPhase)
	case opts.Part < 0 || opts.Part > partDecision:
		return fault.New(fault.InvalidSettings, "", "part: %d is not between 0 and %d", opts.Part, partDecision)
	}
	if opts.ChangeCount <= 0 {
		opts.ChangeCount = defaultChangeCount
	}
	if opts.TokensPerSecond <= 0 {
		opts.TokensPerSecond = defaultTokensPerSecond
	}
	if opts.Grace <= 0 {
		opts.Grace = defaultGrace
	}
	if opts.Progress == nil {
		opts.Progress = func(string) {}
	}
	return nil
}

// run holds the measurement of one profile.
type run struct {
	*fleet
	opts Options
	rows []Row
}

// Run measures the profiles. On an error it also returns the rows measured so far, if it
// measured any.
func Run(ctx context.Context, opts Options) (*Report, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	var profiles []*profile
	for _, name := range opts.Profiles {
		p, err := loadProfile(opts.Examples, name)
		if err != nil {
			return nil, err
		}
		profiles = append(profiles, p)
	}
	rep := &Report{Seed: opts.Seed, Phase: opts.Phase.Seconds()}
	// The decision cost is measured first, because the allocations of a running fleet would
	// be counted too.
	var decision []Row
	if opts.wants(partDecision) {
		opts.Progress("decision cost")
		decision = decisionRows()
	}
	for _, p := range profiles {
		if opts.Part == partDecision {
			break
		}
		rows, err := measureProfile(ctx, opts, p)
		rep.Rows = append(rep.Rows, rows...)
		if err != nil {
			return rep, err
		}
	}
	rep.Rows = append(rep.Rows, decision...)
	return rep, nil
}

// measureProfile runs the selected parts of one profile on one fleet.
func measureProfile(ctx context.Context, opts Options, p *profile) ([]Row, error) {
	f, err := startFleet(ctx, p, opts)
	if err != nil {
		return nil, err
	}
	defer f.close()
	r := &run{fleet: f, opts: opts}
	for _, step := range []struct {
		name  string
		parts []int
		f     func(context.Context) error
	}{
		{"idle traffic", []int{partTraffic}, r.idleTraffic},
		{"warm-up", []int{partFairness, partUtilisation, partTraffic, partDataCentre}, r.warmUpPhase},
		{"fairness, utilisation, traffic", []int{partFairness, partUtilisation, partTraffic}, r.contention},
		{"data centre", []int{partDataCentre}, r.dataCentre},
		{"configuration", []int{partConfig}, r.configuration},
		{"claims", []int{partClaims}, r.claims},
		{"recovery", []int{partRecovery}, r.recovery},
		{"latency", []int{partLatency}, r.latency},
	} {
		if !opts.wants(step.parts...) {
			continue
		}
		opts.Progress(p.name + ": " + step.name)
		if err := step.f(ctx); err != nil {
			return r.rows, fault.Wrap(err, fault.Internal, "", "%s: %s", p.name, step.name)
		}
	}
	return r.rows, nil
}

// wants reports whether one of the parts is selected.
func (opts *Options) wants(parts ...int) bool {
	for _, p := range parts {
		if opts.Part == 0 || opts.Part == p {
			return true
		}
	}
	return false
}

func (r *run) warmUpPhase(ctx context.Context) error { return r.warmUp(ctx, r.opts.Seed) }

func (r *run) phaseLength() time.Duration { return r.opts.Phase }

// add appends a row of a part if the part is selected.
func (r *run) add(part int, row Row) {
	if r.opts.wants(part) {
		row.Profile, row.Part = r.profile.name, part
		r.rows = append(r.rows, row)
	}
}

func requestID() string { return uuid.NewString() }

// discardLogger drops the connection errors that net/http logs; the results count them.
func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }
