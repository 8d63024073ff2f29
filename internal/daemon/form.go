package daemon

import (
	"context"
	"slices"
	"strings"
	"time"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wait"
)

// Intervals of the formation of the control group from seeds.
const (
	formAttempt = 2 * time.Second
	formPause   = 200 * time.Millisecond
)

// formFromSeeds forms the control group when the whole system starts for the first time.
// All seeds run it with the same request, so that it does not matter who is first.
func (d *Daemon) formFromSeeds(ctx context.Context) error {
	seeds := controlHosts(d.s)
	node := d.role.node.Load()
	if !d.s.FormGroup || node == nil || !slices.Contains(seeds, d.s.Host) {
		return nil
	}
	slices.Sort(seeds)
	seeds = slices.Compact(seeds)
	request := "seeds " + strings.Join(seeds, ",")
	if len(request) > 64 {
		request = request[:64]
	}
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, formAttempt)
		err := node.Form(attempt, request, seeds)
		cancel()
		switch fault.CodeOf(err) {
		case "":
			d.log.WithField("members", len(seeds)).Info("Control group formed.")
			return nil
		case fault.AlreadyFormed, fault.MembershipConflict:
			d.log.WithError(err).Info("Control group exists.")
			return nil
		}
		wait.For(ctx, formPause)
	}
	return nil
}
