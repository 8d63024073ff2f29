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

// steadyLoadShare is the offered load as a share of the capacity of the model pool. Two of
// three data centres can serve it with little to spare.
const steadyLoadShare = 0.55

// meanRunTime is the expected run time of a request of the mix on an idle machine.
func (f *fleet) meanRunTime() time.Duration {
	sum := 0
	for _, n := range responseTokens {
		sum += n
	}
	return time.Duration(float64(sum) / float64(len(responseTokens)) / f.tokensPerSecond * float64(time.Second))
}

// steadyLoad offers a share of the capacity of the model pool, split between the accounts
// by weight.
func (f *fleet) steadyLoad(routers []string, share float64) []loadgen.Account {
	var out []loadgen.Account
	contracts := f.accounts()
	weights := 0.0
	for _, c := range contracts {
		weights += c.Weight
	}
	total := share * float64(f.slots(f.profile.model)) / f.meanRunTime().Seconds()
	for i, c := range contracts {
		rate := total * c.Weight / weights
		out = append(out, loadgen.Account{
			Name: c.Account, Key: credential(c.Account), Rate: rate,
			Workers: int(math.Ceil(4*rate*f.meanRunTime().Seconds())) + 4,
			Mix:     chatMix(f.profile.model), Addresses: spreadRouters(routers, i),
		})
	}
	return out
}

// outage is the result of a load during which a data centre is taken out of service and
// brought back.
type outage struct {
	results []loadgen.Result
	// outAt and backAt are when the two changes were accepted, endAt when the load ended.
	outAt, backAt, endAt time.Duration
	// lateRuns counts the runs that began at upstreams of the data centre after the grace
	// period.
	lateRuns int
	// coldOverloads counts how often a cold upstream of the data centre failed under too
	// much work.
	coldOverloads int
}

// runOutage loads the routers while setOut takes a data centre out and back. The removed
// upstreams are restarted meanwhile, so that they return cold.
func (r *run) runOutage(ctx context.Context, routers []string, removed []config.Upstream, setOut func(out bool) error, seed int64) (result outage, err error) {
	before, after := r.phaseLength()/2, r.phaseLength()
	during := r.opts.Grace + r.phaseLength()/2
	type outcome struct {
		list []loadgen.Result
		err  error
	}
	done := make(chan outcome, 1)
	overloadsBefore := r.countColdOverloads(removed)
	begin := time.Now()
	go func() {
		list, _, err := r.loadToEnd(ctx, r.steadyLoad(routers, steadyLoadShare), before+during+after, seed)
		done <- outcome{list, err}
	}()
	time.Sleep(before)
	if err = setOut(true); err != nil {
		return result, err
	}
	result.outAt = time.Since(begin)
	time.Sleep(r.opts.Grace)
	runsAtGrace := r.countRuns(removed)
	for _, u := range removed {
		r.emulators[u.Name].TurnCold()
	}
	time.Sleep(during - r.opts.Grace)
	result.lateRuns = r.countRuns(removed) - runsAtGrace
	if err = setOut(false); err != nil {
		return result, err
	}
	result.backAt = time.Since(begin)
	loaded := <-done
	result.results, result.endAt = loaded.list, before+during+after
	result.coldOverloads = r.countColdOverloads(removed) - overloadsBefore
	return result, loaded.err
}

func (f *fleet) countRuns(list []config.Upstream) (n int) {
	for _, u := range list {
		n += f.emulators[u.Name].Load().Runs
	}
	return n
}

// countColdOverloads counts how often cold upstreams got more work than they can take.
func (f *fleet) countColdOverloads(list []config.Upstream) (n int) {
	for _, u := range list {
		d := f.emulators[u.Name].Debug()
		n += d.ColdOverloads + d.HiddenOverloads
	}
	return n
}

// dataCentre measures part 4 twice: with the data centre of the model pool's scheduler, so
// that the scheduler changes as well, and with another one. The baseline has no scheduler
// and runs once.
func (r *run) dataCentre(ctx context.Context) error {
	first := r.schedulerHost(r.profile.model).settings.DataCentre
	result, err := r.fleetOutage(ctx, first)
	if err != nil {
		return err
	}
	if err := r.warmUp(ctx, r.opts.Seed+4); err != nil {
		return err
	}
	other := r.schedulerHost(r.profile.model).settings.DataCentre
	for _, h := range r.hosts {
		if d := h.settings.DataCentre; d != other {
			other = d
			break
		}
	}
	otherResult, err := r.fleetOutage(ctx, other)
	if err != nil {
		return err
	}
	if err := r.warmUp(ctx, r.opts.Seed+5); err != nil {
		return err
	}
	baseline, err := r.baselineOutage(ctx, first)
	if err != nil {
		return err
	}
	r.outageRows("scheduler's site", first, result, baseline)
	r.outageRows("other site", other, otherResult, baseline)
	return nil
}

// splitUpstreams returns the model upstreams inside and outside a data centre.
func (r *run) splitUpstreams(dataCentre string) (inside, outside []config.Upstream) {
	for _, u := range r.upstreams(r.profile.model) {
		if u.DataCentre == dataCentre {
			inside = append(inside, u)
		} else {
			outside = append(outside, u)
		}
	}
	return inside, outside
}

func (r *run) fleetOutage(ctx context.Context, dataCentre string) (outage, error) {
	removed, _ := r.splitUpstreams(dataCentre)
	return r.runOutage(ctx, r.callerAddresses(), removed, func(out bool) error { return r.setDataCentreOut(ctx, r.hosts[0].daemon, dataCentre, out) }, r.opts.Seed+3)
}

func (r *run) baselineOutage(ctx context.Context, dataCentre string) (outage, error) {
	b, err := r.startBaseline()
	if err != nil {
		return outage{}, err
	}
	defer b.close()
	removed, remaining := r.splitUpstreams(dataCentre)
	return r.runOutage(ctx, b.addresses(), removed, func(out bool) error {
		if out {
			b.setUpstreams(remaining)
		} else {
			b.setUpstreams(r.upstreams(r.profile.model))
		}
		return nil
	}, r.opts.Seed+3)
}

// changingHost is a host through which the bench changes the configuration.
type changingHost interface {
	Config() *config.Config
	Change(ctx context.Context, requestID, operator string, changes []config.Change) (uint64, error)
}

// setDataCentreOut takes a data centre out of service or back. The time from here to the next
// call may be shorter than the host needs to apply this change, so the next call waits for it.
func (f *fleet) setDataCentreOut(ctx context.Context, h changingHost, dataCentre string, out bool) error {
	err := f.await(ctx, "the earlier change on the host that makes the next", func() bool { return h.Config().Revision >= f.dataCentreRevision })
	if err != nil {
		return err
	}
	d := h.Config().DataCentres[dataCentre]
	d.Out = out
	f.dataCentreRevision, err = h.Change(ctx, requestID(), operatorName, []config.Change{{DataCentre: &d, IfRevision: d.Revision}})
	return err
}

func (r *run) outageRows(which, dataCentre string, fleetResult, baseline outage) {
	for i, name := range []string{"before", "during", "after"} {
		rate, wait := fleetResult.phaseFigures(i)
		baseRate, baseWait := baseline.phaseFigures(i)
		note := ""
		if i == 1 {
			note = fmt.Sprintf("%s away for %.1f s", dataCentre, (fleetResult.backAt - fleetResult.outAt).Seconds())
		}
		r.add(partDataCentre, Row{Measure: which + ", answered, " + name, Value: rate, Unit: "1/s", Note: note}.withBaseline(baseRate))
		r.add(partDataCentre, Row{Measure: which + ", wait p95, " + name, Value: wait, Unit: "ms"}.withBaseline(baseWait))
	}
	r.add(partDataCentre, Row{Measure: fmt.Sprintf("%s, runs begun there later than %s", which, r.opts.Grace), Value: float64(fleetResult.lateRuns), Unit: "runs"}.atMost(0).withBaseline(float64(baseline.lateRuns)))
	cut, note := fleetResult.countCutOff()
	baseCut, _ := baseline.countCutOff()
	r.add(partDataCentre, Row{Measure: which + ", requests cut off", Value: float64(cut), Unit: "requests", Note: note}.atMost(0).withBaseline(float64(baseCut)))
	r.add(partDataCentre, Row{Measure: which + ", falls of cold upstreams", Value: float64(fleetResult.coldOverloads), Unit: "falls"}.atMost(0).withBaseline(float64(baseline.coldOverloads)))
}

// phaseFigures returns the responses per second and the 95th percentile of the wait for the
// first byte, in milliseconds, before (0), during (1) and after (2) the outage.
func (e outage) phaseFigures(i int) (rate, wait float64) {
	from := []time.Duration{rampUp(e.outAt), e.outAt, e.backAt}[i]
	to := []time.Duration{e.outAt, e.backAt, e.endAt}[i]
	n := 0
	var firstByteWaits []time.Duration
	for _, res := range e.results {
		if res.Code != "" {
			continue
		}
		if end := res.Start + res.Total; end >= from && end < to {
			n++
		}
		if first := res.Start + res.TimeToFirstByte; first >= from && first < to {
			firstByteWaits = append(firstByteWaits, res.TimeToFirstByte)
		}
	}
	return float64(n) / (to - from).Seconds(), milliseconds(percentile(firstByteWaits, 0.95))
}

// countCutOff counts the requests that ran or may have run and did not get their response.
func (e outage) countCutOff() (n int, note string) {
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
