package daemon

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/settings"
)

// Guards against a host that ends by memory although each of its limits holds.
func TestMemoryLimitsFitTogether(t *testing.T) {
	for _, mb := range []int{64, 112, 134, 184, 284, 2_000} {
		s := &settings.Settings{MemoryMB: mb}
		s.CallerLimits.MaxConnections = 1 << 20
		runtimeBytes := mb << 20 * goMemoryPercent / 100
		// A sixteenth more may be closing, and two sixteenths are being refused.
		unread := maxConnections(s) * 19 / 16 * unreadBytesPerConnection
		qt.Check(t, runtimeBytes+unread <= mb<<20, qt.IsTrue, qt.Commentf("%d MB: runtime %d, unread %d", mb, runtimeBytes>>20, unread>>20))
	}
}
