package bench

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
)

// recovery measures part 7: the restart of all processes with many changes on disk.
func (r *run) recovery(ctx context.Context) error {
	if err := r.commitChanges(ctx, r.opts.ChangeCount); err != nil {
		return err
	}
	last := r.hosts[0].daemon.Config().Revision
	stopBegin := time.Now()
	if err := r.stopHosts(); err != nil {
		return err
	}
	begin := time.Now()
	r.startHosts()
	if err := r.await(ctx, "all hosts current after the restart", func() bool { return r.allCurrent(last) }); err != nil {
		return err
	}
	current := time.Since(begin)
	if err := r.await(ctx, "all pools scheduled after the restart", r.allScheduled); err != nil {
		return err
	}
	r.add(partRecovery, Row{Measure: "restart of all processes until all hosts are current", Value: current.Seconds(), Unit: "s",
		Note: fmt.Sprintf("%d changes on disk, revision %d; stopping took %.2f s", r.opts.ChangeCount, last, begin.Sub(stopBegin).Seconds())})
	r.add(partRecovery, Row{Measure: "restart of all processes until all pools grant", Value: time.Since(begin).Seconds(), Unit: "s"})
	return nil
}

// commitChanges commits n changes, concurrently for different accounts.
func (r *run) commitChanges(ctx context.Context, n int) error {
	group, groupCtx := errgroup.WithContext(ctx)
	list := r.accounts()
	for i, c := range list {
		h := r.hosts[i%len(r.hosts)]
		group.Go(func() error {
			for k := i; k < n; k += len(list) {
				revision, err := r.changeContract(groupCtx, h, c.Account, k/len(list))
				if err != nil {
					return err
				}
				if err := r.await(groupCtx, "the change on the host that accepted it", func() bool { return h.daemon.Config().Revision >= revision }); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	last := uint64(0)
	for _, h := range r.hosts {
		last = max(last, h.daemon.Config().Revision)
	}
	return r.await(ctx, "all changes on all hosts", func() bool { return r.allCurrent(last) })
}
