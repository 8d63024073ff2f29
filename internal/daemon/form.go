package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wait"
)

// Times for forming the control group from seeds.
const (
	formTimeout       = 2 * time.Second
	formRetryInterval = 200 * time.Millisecond
)

const (
	// maxRequestIDBytes bounds the request id of a formation.
	maxRequestIDBytes = 64
	seedRequestPrefix = "seeds "
)

// formFromSeeds forms the control group when the whole system starts for the first time.
// All seeds run it with the same request ID, so that it does not matter which is first.
func (d *Daemon) formFromSeeds(ctx context.Context) error {
	seeds := controlHosts(d.settings)
	node := d.controlRole.node.Load()
	if !d.settings.FormGroup || node == nil || !slices.Contains(seeds, d.settings.Host) {
		return nil
	}
	slices.Sort(seeds)
	seeds = slices.Compact(seeds)
	requestID := seedRequestID(seeds)
	for ctx.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, formTimeout)
		err := node.Form(attemptCtx, requestID, seeds)
		cancel()
		switch fault.CodeOf(err) {
		case "":
			d.log.WithField("members", len(seeds)).Info("Control group formed.")
			return nil
		case fault.AlreadyFormed, fault.MembershipConflict:
			d.log.WithError(err).Info("Control group exists already.")
			return nil
		}
		wait.For(ctx, formRetryInterval)
	}
	return nil
}

// seedRequestID returns the request id of a formation by the given sorted seeds. It holds
// their digest if their names are too long.
func seedRequestID(seeds []string) string {
	names := strings.Join(seeds, ",")
	if id := seedRequestPrefix + names; len(id) <= maxRequestIDBytes {
		return id
	}
	digest := sha256.Sum256([]byte(names))
	return (seedRequestPrefix + hex.EncodeToString(digest[:]))[:maxRequestIDBytes]
}
