package daemon

import (
	"context"
	"runtime/metrics"
	"time"

	"marigoldshunt/internal/settings"
)

const (
	memoryCheckInterval = time.Second
	// highMemoryPercent is the part of the memory limit above which a host logs a warning.
	highMemoryPercent = 70
)

// Requests and connections per MB of the memory limit. A running request takes about 60 KB
// with its connections and buffers, an idle connection about 16 KB. At both limits together
// they use about half of the memory limit.
const (
	runningPerMB     = 6
	connectionsPerMB = 10
)

// maxRunning returns how many requests the memory limit allows at once, 0 for no limit.
func maxRunning(s *settings.Settings) int { return s.MemoryMB * runningPerMB }

// bufferedPercent is the part of the memory limit that responses may hold while they are read
// whole. Reading one takes more than its size, since its buffer is copied as it grows.
const bufferedPercent = 10

// maxBufferedBytes returns the MaxBufferedBytes of the gateway, 0 for no limit.
func maxBufferedBytes(s *settings.Settings) int64 {
	return int64(s.MemoryMB) << 20 * bufferedPercent / 100
}

// maxConnections returns how many connections of callers the settings and the memory limit
// allow.
func maxConnections(s *settings.Settings) int {
	if s.MemoryMB == 0 {
		return s.CallerLimits.MaxConnections
	}
	return min(s.CallerLimits.MaxConnections, s.MemoryMB*connectionsPerMB)
}

// memoryUse holds the Go runtime's memory use without memory released to the operating
// system, the live heap, and the number of goroutines.
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

// watchMemory logs a warning each time the memory use crosses highMemoryPercent of the limit,
// in either direction.
func (d *Daemon) watchMemory(ctx context.Context) error {
	if d.settings.MemoryMB == 0 {
		return nil
	}
	threshold := uint64(d.settings.MemoryMB) << 20 * highMemoryPercent / 100
	above := false
	return runEvery(ctx, memoryCheckInterval, func(time.Time) {
		m := readMemory()
		if isAbove := m.totalBytes > threshold; isAbove != above {
			above = isAbove
			d.log.WithField("total_kb", m.totalBytes>>10).WithField("live_kb", m.liveBytes>>10).
				WithField("goroutines", m.goroutines).WithField("short", isAbove).Warn("Memory use crossed the warning threshold.")
		}
	})
}
