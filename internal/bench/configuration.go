package bench

import (
	"context"
	"fmt"
	"time"

	"marigoldshunt/internal/config"
)

// configTarget is the time limit of invariant I10 of docs/design.md.
const configTarget = 4 * time.Second

// configuration measures part 6: the time from the answer that accepts a change until every
// host has applied the change.
func (r *run) configuration(ctx context.Context) error {
	deadline := time.Now().Add(min(r.phaseLength(), 5*time.Second))
	var inForce, acceptance []time.Duration
	for n := 0; len(inForce) == 0 || (time.Now().Before(deadline) && n < 500); n++ {
		h := r.hosts[n%len(r.hosts)]
		accounts := r.accounts()
		begin := time.Now()
		revision, err := r.changeContract(ctx, h, accounts[n%len(accounts)].Account, n)
		if err != nil {
			return err
		}
		accepted := time.Now()
		if err := r.await(ctx, "a change on all hosts", func() bool { return r.allCurrent(revision) }); err != nil {
			return err
		}
		acceptance, inForce = append(acceptance, accepted.Sub(begin)), append(inForce, time.Since(accepted))
	}
	note := fmt.Sprintf("%d changes; median %s ms; acceptance took %s ms at the median; resolution %s ms", len(inForce),
		formatNumber(milliseconds(percentile(inForce, 0.5))), formatNumber(milliseconds(percentile(acceptance, 0.5))), formatNumber(milliseconds(float64(pollInterval))))
	r.add(partConfig, Row{Measure: "acceptance to in force on all hosts, maximum", Unit: "s", Note: note,
		Value: time.Duration(percentile(inForce, 1)).Seconds()}.atMost(configTarget.Seconds()))
	return nil
}

// changeContract changes one contract in a way that does not affect the load.
func (r *run) changeContract(ctx context.Context, h *host, account string, n int) (uint64, error) {
	c := h.daemon.Config().Contracts[account]
	c.MaxBodyBytes = 1<<20 + n%2
	return h.daemon.Change(ctx, requestID(), operatorName, []config.Change{{Contract: &c, IfRevision: c.Revision}})
}
