package bench

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/loadgen"
)

// Contract limits and workers per account for part 8, so high that the claims and not the
// contracts limit the rate.
const (
	claimRate        = 10000
	claimConcurrency = 64
	claimWorkers     = 12
)

// claims measures part 8, the rate and cost of claims, with concurrent non-idempotent
// requests to the service.
func (r *run) claims(ctx context.Context) error {
	if err := r.raiseContractLimits(ctx); err != nil {
		return err
	}
	if _, err := r.loadAndCancel(ctx, r.claimLoad(), min(r.phaseLength(), 2*time.Second), r.opts.Seed+5); err != nil {
		return err
	}
	before := r.countClaims()
	d := min(r.phaseLength(), 4*time.Second)
	rep, err := r.loadAndCancel(ctx, r.claimLoad(), d, r.opts.Seed+6)
	if err != nil {
		return err
	}
	after := r.countClaims()
	claims := float64(after.claims - before.claims)
	note := fmt.Sprintf("%d callers; contracts lifted; answered %s /s, p95 of the total time %s ms; refused %v",
		claimWorkers*len(r.accounts()), formatNumber(float64(rep.Total.Answered)/d.Seconds()), formatNumber(rep.Total.Total.P95), rep.Total.Failures)
	r.add(partClaims, Row{Measure: "claims", Value: claims / d.Seconds(), Unit: "1/s", Note: note})
	r.add(partClaims, Row{Measure: "fsyncs per claim, leader", Value: float64(after.leader-before.leader) / claims, Unit: "fsyncs",
		Note: "a claim and the record of its end are two entries of the log"})
	r.add(partClaims, Row{Measure: "fsyncs per claim, all control hosts", Value: float64(after.all-before.all) / claims, Unit: "fsyncs"})
	r.add(partClaims, Row{Measure: "keys that ran more than once", Value: float64(r.duplicates()), Unit: "keys"}.atMost(0))
	return nil
}

func (r *run) raiseContractLimits(ctx context.Context) error {
	var changes []config.Change
	for _, c := range r.accounts() {
		revision := c.Revision
		c.RequestsPerSecond, c.Burst, c.Concurrency = claimRate, claimRate, claimConcurrency
		changes = append(changes, config.Change{Contract: &c, IfRevision: revision})
	}
	revision, err := r.hosts[0].daemon.Change(ctx, requestID(), operatorName, changes)
	if err != nil {
		return err
	}
	return r.await(ctx, "raised contract limits", func() bool { return r.allCurrent(revision) })
}

func (r *run) claimLoad() []loadgen.Account {
	path := ""
	for _, route := range r.hosts[0].daemon.Config().Pools[r.profile.service].Routes {
		if !route.Idempotent {
			path = route.PathPrefix
		}
	}
	var out []loadgen.Account
	routers := r.callerAddresses()
	for i, c := range r.accounts() {
		out = append(out, loadgen.Account{
			Name: c.Account, Key: credential(c.Account), Workers: claimWorkers,
			Mix: []loadgen.RequestSpec{{
				Pool: r.profile.service, Kind: config.KindService, Method: http.MethodPost, Path: path, BodyBytes: 200, Keyed: true,
			}},
			Addresses: []string{routers[i%len(routers)], routers[(i*5+1)%len(routers)]},
		})
	}
	return out
}

type claimCounts struct {
	claims      int
	leader, all uint64
}

func (r *run) countClaims() (n claimCounts) {
	// The status of a control host is at most one tick old.
	time.Sleep(100 * time.Millisecond)
	for _, h := range r.hosts {
		st, ok := h.daemon.Control()
		if !ok {
			continue
		}
		n.all += st.Syncs
		n.claims = max(n.claims, st.Claims)
		if st.Leader == h.settings.Host {
			n.leader = st.Syncs
		}
	}
	return n
}

// duplicates counts the idempotency keys that ran more than once, over all upstreams of the
// service.
func (r *run) duplicates() (n int) {
	runs := map[string]int{}
	for _, u := range r.upstreams(r.profile.service) {
		for key, count := range r.emulators[u.Name].Debug().Keys {
			runs[key] += count
		}
	}
	for _, count := range runs {
		if count > 1 {
			n++
		}
	}
	return n
}
