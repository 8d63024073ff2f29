// Package bench measures a fleet of daemons, emulated upstreams and callers in one
// process over loopback TCP, beside a baseline of independent routers.
package bench

import (
	"context"
	"io"
	"log"
	"time"

	"github.com/google/uuid"

	"marigoldshunt/internal/fault"
)

// Parts of the measurement.
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

// Options bound and shape a run.
type Options struct {
	// Profiles are the names of the example configurations in the folder Examples.
	Profiles []string
	Examples string
	// Phase is the length of one load phase.
	Phase time.Duration
	Seed  int64
	// Part selects one part; 0 means all.
	Part int
	// TokensPerSecond is the speed of the emulated engines.
	TokensPerSecond float64
	// Grace is the time after which no run may begin at an upstream that leaves.
	Grace time.Duration
	// Changes is the number of configuration changes before the restart.
	Changes int
	// Progress is told what runs; nil means nothing.
	Progress func(text string)
}

// Bounds and defaults of Options.
const (
	// MaxPhase bounds a phase, so that the counters of the emulators stay small.
	MaxPhase               = 10 * time.Minute
	defaultChanges         = 1000
	defaultTokensPerSecond = 50
	// defaultGrace is the time of invariants I4 and I8.
	defaultGrace = 4 * time.Second
)

func (o *Options) check() error {
	switch {
	case len(o.Profiles) == 0:
		return fault.New(fault.InvalidSettings, "", "no profile given")
	case o.Phase <= 0 || o.Phase > MaxPhase:
		return fault.New(fault.InvalidSettings, "", "phase: %s is not between 0 and %s", o.Phase, MaxPhase)
	case o.Part < 0 || o.Part > partDecision:
		return fault.New(fault.InvalidSettings, "", "part: %d is not between 0 and %d", o.Part, partDecision)
	}
	if o.Changes <= 0 {
		o.Changes = defaultChanges
	}
	if o.TokensPerSecond <= 0 {
		o.TokensPerSecond = defaultTokensPerSecond
	}
	if o.Grace <= 0 {
		o.Grace = defaultGrace
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	return nil
}

// run is one profile under measurement.
type run struct {
	*fleet
	o    Options
	rows []Row
}

// Run measures and returns the report. It returns the report so far with an error.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	var profiles []*profile
	for _, name := range o.Profiles {
		p, err := loadProfile(o.Examples, name)
		if err != nil {
			return nil, err
		}
		profiles = append(profiles, p)
	}
	rep := &Report{Seed: o.Seed, Phase: o.Phase.Seconds()}
	// The decision cost is measured first, because the allocations of a fleet would count.
	var decision []Row
	if o.wants(partDecision) {
		o.Progress("decision cost")
		decision = decisionRows()
	}
	for _, p := range profiles {
		if o.Part == partDecision {
			break
		}
		rows, err := measure(ctx, o, p)
		rep.Rows = append(rep.Rows, rows...)
		if err != nil {
			return rep, err
		}
	}
	rep.Rows = append(rep.Rows, decision...)
	return rep, nil
}

// measure runs the parts of one profile on one fleet.
func measure(ctx context.Context, o Options, p *profile) ([]Row, error) {
	f, err := startFleet(ctx, p, o)
	if err != nil {
		return nil, err
	}
	defer f.close()
	r := &run{fleet: f, o: o}
	for _, step := range []struct {
		name  string
		parts []int
		f     func(context.Context) error
	}{
		{"idle traffic", []int{partTraffic}, r.idleTraffic},
		{"warm-up", []int{partFairness, partUtilisation, partTraffic, partDataCentre}, r.warm},
		{"fairness, utilisation, traffic", []int{partFairness, partUtilisation, partTraffic}, r.contention},
		{"data centre", []int{partDataCentre}, r.dataCentre},
		{"configuration", []int{partConfig}, r.configuration},
		{"claims", []int{partClaims}, r.claims},
		{"recovery", []int{partRecovery}, r.recovery},
		{"latency", []int{partLatency}, r.latency},
	} {
		if !o.wants(step.parts...) {
			continue
		}
		o.Progress(p.name + ": " + step.name)
		if err := step.f(ctx); err != nil {
			return r.rows, fault.Wrap(err, fault.Internal, "", "%s: %s", p.name, step.name)
		}
	}
	return r.rows, nil
}

// wants says whether one of the parts is selected.
func (o *Options) wants(parts ...int) bool {
	for _, p := range parts {
		if o.Part == 0 || o.Part == p {
			return true
		}
	}
	return false
}

func (r *run) warm(ctx context.Context) error { return r.warmUp(ctx, r.o.Seed) }

// phase is the length of one load phase.
func (r *run) phase() time.Duration { return r.o.Phase }

// add appends a row of a part if it is selected.
func (r *run) add(part int, row Row) {
	if r.o.wants(part) {
		row.Profile, row.Part = r.profile.name, part
		r.rows = append(r.rows, row)
	}
}

func requestID() string { return uuid.NewString() }

// silent drops the connection errors that net/http prints; the results count them.
func silent() *log.Logger { return log.New(io.Discard, "", 0) }
