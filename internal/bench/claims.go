package bench

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/loadgen"
)

// Limits that the accounts get for part 8, so that the claims and not the contracts
// bound the rate.
const (
	claimRate        = 10000
	claimConcurrency = 64
	claimWorkers     = 12
)

// claims measures part 8 with concurrent non-idempotent requests to the service.
func (r *run) claims(ctx context.Context) error {
	if err := r.liftContracts(ctx); err != nil {
		return err
	}
	if _, err := r.loadUntil(ctx, r.claimLoad(), min(r.phase(), 2*time.Second), r.o.Seed+5); err != nil {
		return err
	}
	count := r.claimCount()
	d := min(r.phase(), 4*time.Second)
	rep, err := r.loadUntil(ctx, r.claimLoad(), d, r.o.Seed+6)
	if err != nil {
		return err
	}
	end := r.claimCount()
	made := float64(end.claims - count.claims)
	note := fmt.Sprintf("%d callers; contracts lifted; answered %s /s, p95 of the total time %s ms; refused %v",
		claimWorkers*len(r.accounts()), number(float64(rep.Total.Answered)/d.Seconds()), number(rep.Total.Total.P95), rep.Total.Refused)
	r.add(partClaims, Row{Measure: "claims", Value: made / d.Seconds(), Unit: "1/s", Note: note})
	r.add(partClaims, Row{Measure: "fsyncs per claim, leader", Value: float64(end.leader-count.leader) / made, Unit: "fsyncs",
		Note: "a claim and the record of its end are two entries of the log"})
	r.add(partClaims, Row{Measure: "fsyncs per claim, all control hosts", Value: float64(end.all-count.all) / made, Unit: "fsyncs"})
	r.add(partClaims, Row{Measure: "keys that ran more than once", Value: float64(r.duplicates()), Unit: "keys"}.atMost(0))
	return nil
}

func (r *run) liftContracts(ctx context.Context) error {
	var changes []config.Change
	for _, c := range r.accounts() {
		revision := c.Revision
		c.RequestsPerSecond, c.Burst, c.Concurrency = claimRate, claimRate, claimConcurrency
		changes = append(changes, config.Change{Contract: &c, IfRevision: revision})
	}
	revision, err := r.hosts[0].daemon.Change(ctx, requestID(), operator, changes)
	if err != nil {
		return err
	}
	return r.await(ctx, "lifted contracts", func() bool { return r.current(revision) })
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
			Mix: []loadgen.Work{{
				Pool: r.profile.service, Kind: config.KindService, Method: http.MethodPost, Path: path, BodyBytes: 200, Keyed: true,
			}},
			Addresses: []string{routers[i%len(routers)], routers[(i*5+1)%len(routers)]},
		})
	}
	return out
}

type claimCount struct {
	claims      int
	leader, all uint64
}

func (r *run) claimCount() (n claimCount) {
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

// duplicates counts the idempotency keys that ran more than once on all upstreams.
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
