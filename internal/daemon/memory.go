package daemon

import (
	"context"
	"runtime/metrics"
	"time"

	"marigoldshunt/internal/settings"
)

// Memory watching.
const (
	memoryInterval = time.Second
	// shortPercent of the limit is where a host says that its memory is short.
	shortPercent = 70
)

// What the memory limit allows. A request that is served takes some 60 KB with its
// connections and buffers, an unused connection some 16 KB.
const (
	runningPerMB     = 6
	connectionsPerMB = 10
)

// maxRunning is the number of requests that the memory limit allows at once, 0 for no limit.
func maxRunning(s *settings.Settings) int { return s.MemoryMB * runningPerMB }

// maxConnections is the number of callers' connections that settings and memory allow.
func maxConnections(s *settings.Settings) int {
	if s.MemoryMB == 0 {
		return s.CallerLimits.MaxConnections
	}
	return min(s.CallerLimits.MaxConnections, s.MemoryMB*connectionsPerMB)
}

// memoryUse is what the Go runtime uses.
type memoryUse struct{ totalBytes, liveBytes, goroutines uint64 }

func readMemory() memoryUse {
	s := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"}, {Name: "/gc/heap/live:bytes"}, {Name: "/sched/goroutines:goroutines"},
		{Name: "/memory/classes/heap/released:bytes"},
	}
	metrics.Read(s)
	return memoryUse{
		totalBytes: s[0].Value.Uint64() - s[3].Value.Uint64(), liveBytes: s[1].Value.Uint64(), goroutines: s[2].Value.Uint64(),
	}
}

// watchMemory logs when the process comes near to its memory limit, once per crossing.
func (d *Daemon) watchMemory(ctx context.Context) error {
	if d.s.MemoryMB == 0 {
		return nil
	}
	short := uint64(d.s.MemoryMB) << 20 * shortPercent / 100
	above := false
	return every(ctx, memoryInterval, func(time.Time) {
		m := readMemory()
		if now := m.totalBytes > short; now != above {
			above = now
			d.log.WithField("total_kb", m.totalBytes>>10).WithField("live_kb", m.liveBytes>>10).
				WithField("goroutines", m.goroutines).WithField("short", now).Warn("Memory changed.")
		}
	})
}
