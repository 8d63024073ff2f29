package bench

import (
	"context"
	"fmt"
	"math"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/loadgen"
)

// steadyShare is the offered load as a share of the capacity of the model pool. Two of
// three data centres bear it with little to spare.
const steadyShare = 0.55

// meanRun is the expected run time of a request of the mix on an idle machine.
func (f *fleet) meanRun() time.Duration {
	sum := 0
	for _, n := range answerTokens {
		sum += n
	}
	return time.Duration(float64(sum) / float64(len(answerTokens)) / f.tokensPerSecond * float64(time.Second))
}

// steadyLoad offers a share of the capacity of the model pool, in proportion to the
// weights.
func (f *fleet) steadyLoad(routers []string, share float64) []loadgen.Account {
	var out []loadgen.Account
	contracts := f.accounts()
	weights := 0.0
	for _, c := range contracts {
		weights += c.Weight
	}
	total := share * float64(f.slots(f.profile.model)) / f.meanRun().Seconds()
	for i, c := range contracts {
		rate := total * c.Weight / weights
		out = append(out, loadgen.Account{
			Name: c.Account, Key: credential(c.Account), Rate: rate,
			Workers: int(math.Ceil(4*rate*f.meanRun().Seconds())) + 4,
			Mix:     chatMix(f.profile.model), Addresses: spread(routers, i),
		})
	}
	return out
}

// excursion is a load during which a data centre leaves and returns.
type excursion struct {
	results []loadgen.Result
	// out, back and end are the times of the accepted changes and of the end of the load.
	out, back, end time.Duration
	// late counts the runs that began at its upstreams later than the grace.
	late int
	// falls counts the upstreams that fell over because of too much work when cold.
	falls int
}

// excursion loads routers while set takes a data centre out and back. Its upstreams
// restart meanwhile, so that they return cold.
func (r *run) excursion(ctx context.Context, routers []string, away []config.Upstream, set func(out bool) error, seed int64) (e excursion, err error) {
	before, after := r.phase()/2, r.phase()
	absent := r.o.Grace + r.phase()/2
	type outcome struct {
		list []loadgen.Result
		err  error
	}
	done := make(chan outcome, 1)
	falls := r.falls(away)
	begin := time.Now()
	go func() {
		list, _, err := r.load(ctx, r.steadyLoad(routers, steadyShare), before+absent+after, seed)
		done <- outcome{list, err}
	}()
	time.Sleep(before)
	if err = set(true); err != nil {
		return e, err
	}
	e.out = time.Since(begin)
	time.Sleep(r.o.Grace)
	late := r.runs(away)
	for _, u := range away {
		r.emulators[u.Name].TurnCold()
	}
	time.Sleep(absent - r.o.Grace)
	e.late = r.runs(away) - late
	if err = set(false); err != nil {
		return e, err
	}
	e.back = time.Since(begin)
	o := <-done
	e.results, e.end = o.list, before+absent+after
	e.falls = r.falls(away) - falls
	return e, o.err
}

func (f *fleet) runs(list []config.Upstream) (n int) {
	for _, u := range list {
		n += f.emulators[u.Name].Load().Runs
	}
	return n
}

// falls counts cold upstreams that got more than they bear.
func (f *fleet) falls(list []config.Upstream) (n int) {
	for _, u := range list {
		d := f.emulators[u.Name].Debug()
		n += d.ColdOverloads + d.HiddenOverloads
	}
	return n
}

// dataCentre measures part 4 twice: with the data centre of the model pool's scheduler,
// so that the scheduler changes as well, and with another one. The baseline has no
// scheduler and runs once.
func (r *run) dataCentre(ctx context.Context) error {
	first := r.holder(r.profile.model).settings.DataCentre
	e, err := r.leaveAndReturn(ctx, first)
	if err != nil {
		return err
	}
	if err := r.warmUp(ctx, r.o.Seed+4); err != nil {
		return err
	}
	other := r.holder(r.profile.model).settings.DataCentre
	for _, h := range r.hosts {
		if d := h.settings.DataCentre; d != other {
			other = d
			break
		}
	}
	quiet, err := r.leaveAndReturn(ctx, other)
	if err != nil {
		return err
	}
	if err := r.warmUp(ctx, r.o.Seed+5); err != nil {
		return err
	}
	base, err := r.baselineExcursion(ctx, first)
	if err != nil {
		return err
	}
	r.excursionRows("scheduler's site", first, e, base)
	r.excursionRows("other site", other, quiet, base)
	return nil
}

// split returns the model upstreams in a data centre and the others.
func (r *run) split(site string) (away, stay []config.Upstream) {
	for _, u := range r.upstreams(r.profile.model) {
		if u.DataCentre == site {
			away = append(away, u)
		} else {
			stay = append(stay, u)
		}
	}
	return away, stay
}

func (r *run) leaveAndReturn(ctx context.Context, site string) (excursion, error) {
	away, _ := r.split(site)
	return r.excursion(ctx, r.callerAddresses(), away, func(out bool) error { return r.setSite(ctx, site, out) }, r.o.Seed+3)
}

func (r *run) baselineExcursion(ctx context.Context, site string) (excursion, error) {
	b, err := r.startBaseline()
	if err != nil {
		return excursion{}, err
	}
	defer b.close()
	away, stay := r.split(site)
	return r.excursion(ctx, b.addresses(), away, func(out bool) error {
		if out {
			b.setUpstreams(stay)
		} else {
			b.setUpstreams(r.upstreams(r.profile.model))
		}
		return nil
	}, r.o.Seed+3)
}

func (r *run) setSite(ctx context.Context, site string, out bool) error {
	h := r.hosts[0]
	d := h.daemon.Config().DataCentres[site]
	d.Out = out
	_, err := h.daemon.Change(ctx, requestID(), operator, []config.Change{{DataCentre: &d, IfRevision: d.Revision}})
	return err
}

func (r *run) excursionRows(which, site string, e, base excursion) {
	for i, name := range []string{"before", "during", "after"} {
		rate, wait := e.phase(i)
		baseRate, baseWait := base.phase(i)
		note := ""
		if i == 1 {
			note = fmt.Sprintf("%s away for %.1f s", site, (e.back - e.out).Seconds())
		}
		r.add(partDataCentre, Row{Measure: which + ", answered, " + name, Value: rate, Unit: "1/s", Note: note}.against(baseRate))
		r.add(partDataCentre, Row{Measure: which + ", wait p95, " + name, Value: wait, Unit: "ms"}.against(baseWait))
	}
	r.add(partDataCentre, Row{Measure: fmt.Sprintf("%s, runs begun there later than %s", which, r.o.Grace), Value: float64(e.late), Unit: "runs"}.atMost(0).against(float64(base.late)))
	cut, note := e.cut()
	baseCut, _ := base.cut()
	r.add(partDataCentre, Row{Measure: which + ", requests cut off", Value: float64(cut), Unit: "requests", Note: note}.atMost(0).against(float64(baseCut)))
	r.add(partDataCentre, Row{Measure: which + ", falls of cold upstreams", Value: float64(e.falls), Unit: "falls"}.atMost(0).against(float64(base.falls)))
}

// phase returns the answers per second and the 95th percentile of the wait for the
// first byte, in milliseconds, before (0), during (1) and after (2) the absence.
func (e excursion) phase(i int) (rate, wait float64) {
	from := []time.Duration{settle(e.out), e.out, e.back}[i]
	to := []time.Duration{e.out, e.back, e.end}[i]
	n := 0
	var waits []time.Duration
	for _, res := range e.results {
		if res.Code != "" {
			continue
		}
		if end := res.Start + res.Total; end >= from && end < to {
			n++
		}
		if first := res.Start + res.Wait; first >= from && first < to {
			waits = append(waits, res.Wait)
		}
	}
	return float64(n) / (to - from).Seconds(), milliseconds(percentile(waits, 0.95))
}

// cut counts the requests that ran, at least in part, and did not get their answer.
func (e excursion) cut() (n int, note string) {
	codes := map[fault.Code]int{}
	for _, res := range e.results {
		if res.Code != "" {
			codes[res.Code]++
			if res.RunState != fault.NotRun {
				n++
			}
		}
	}
	if len(codes) > 0 {
		note = fmt.Sprintf("failures by code: %v", codes)
	}
	return n, fmt.Sprintf("of %d requests; %s", len(e.results), note)
}
