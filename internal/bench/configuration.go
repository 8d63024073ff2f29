package bench

import (
	"context"
	"fmt"
	"time"

	"marigoldshunt/internal/config"
)

// configTarget is the time of invariant I10.
const configTarget = 4 * time.Second

// configuration measures part 6: from the answer that accepts a change until every host
// has applied it.
func (r *run) configuration(ctx context.Context) error {
	deadline := time.Now().Add(min(r.phase(), 5*time.Second))
	var force, accept []time.Duration
	for n := 0; len(force) == 0 || (time.Now().Before(deadline) && n < 500); n++ {
		h := r.hosts[n%len(r.hosts)]
		list := r.accounts()
		begin := time.Now()
		revision, err := r.touch(ctx, h, list[n%len(list)].Account, n)
		if err != nil {
			return err
		}
		accepted := time.Now()
		if err := r.await(ctx, "a change on all hosts", func() bool { return r.current(revision) }); err != nil {
			return err
		}
		accept, force = append(accept, accepted.Sub(begin)), append(force, time.Since(accepted))
	}
	note := fmt.Sprintf("%d changes; median %s ms; acceptance took %s ms at the median; resolution %s ms", len(force),
		number(milliseconds(percentile(force, 0.5))), number(milliseconds(percentile(accept, 0.5))), number(milliseconds(float64(pollPause))))
	r.add(partConfig, Row{Measure: "acceptance to in force on all hosts, maximum", Unit: "s", Note: note,
		Value: time.Duration(percentile(force, 1)).Seconds()}.atMost(configTarget.Seconds()))
	return nil
}

// touch changes one contract without an effect on the load.
func (r *run) touch(ctx context.Context, h *host, account string, n int) (uint64, error) {
	c := h.daemon.Config().Contracts[account]
	c.MaxBodyBytes = 1<<20 + n%2
	return h.daemon.Change(ctx, requestID(), operator, []config.Change{{Contract: &c, IfRevision: c.Revision}})
}
