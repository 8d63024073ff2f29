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
	// loggedMemoryStep is the change of the memory use, in bytes, after which a host above the
	// warning threshold logs it again.
	loggedMemoryStep = 4 << 20
)

// Requests and connections per MB of the memory limit. A running request takes about 60 KB
// with its connections and buffers, an idle connection about 16 KB. At both limits together
// they use about half of the memory limit.
const (
	runningPerMB     = 6
	connectionsPerMB = 10
)

// unreadBytesPerConnection is the size of a request with a long prompt that waits in its
// socket. Such bytes count towards the memory limit and not towards the Go runtime's.
const unreadBytesPerConnection = 20 << 10

// Limits of the connections to other hosts for requests that are passed on: per MB of the memory
// limit, and in all, because they take descriptors beside the connections of callers.
const (
	offloadsPerMB = 8
	mostOffloads  = 800
)

// maxOffloads returns how many requests may be passed on at once.
func maxOffloads(s *settings.Settings) int {
	if s.MemoryMB == 0 {
		return mostOffloads
	}
	return min(s.MemoryMB*offloadsPerMB, mostOffloads)
}

// maxRunning returns how many requests the memory limit allows at once, 0 for no limit.
func maxRunning(s *settings.Settings) int { return s.MemoryMB * runningPerMB }

// bufferedPercent is the part of the memory limit that responses may hold while they are read
// whole. Reading one takes more than its size, since its buffer is copied as it grows.
const bufferedPercent = 10

// maxBufferedBytes returns the MaxBufferedBytes of the gateway, 0 for no limit.
func maxBufferedBytes(s *settings.Settings) int64 {
	return int64(s.MemoryMB) << 20 * bufferedPercent / 100
}

// bodyMemoryPercent is the part of the memory limit that large request bodies may take; a body
// that is sent exists twice.
const bodyMemoryPercent = 15

// maxBodyMemory returns the bytes that the bodies of routed requests may take in sum, 0 for no
// limit.
func maxBodyMemory(s *settings.Settings) int64 {
	return int64(s.MemoryMB) << 20 * bodyMemoryPercent / 100
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
// in either direction, and each time it changes by loggedMemoryStep while it is above. A process
// that is killed for its memory use writes no last line, so these lines show what it held.
func (d *Daemon) watchMemory(ctx context.Context) error {
	if d.settings.MemoryMB == 0 {
		return nil
	}
	threshold := uint64(d.settings.MemoryMB) << 20 * highMemoryPercent / 100
	above, logged := false, uint64(0)
	return runEvery(ctx, memoryCheckInterval, func(time.Time) {
		m := readMemory()
		crossed := above != (m.totalBytes > threshold)
		above = m.totalBytes > threshold
		if crossed || above && max(m.totalBytes, logged)-min(m.totalBytes, logged) >= loggedMemoryStep {
			logged = m.totalBytes
			d.logMemory(m, above)
		}
	})
}

func (d *Daemon) logMemory(m memoryUse, above bool) {
	l := d.log.WithField("total_kb", m.totalBytes>>10).WithField("live_kb", m.liveBytes>>10).
		WithField("goroutines", m.goroutines)
	if d.edge != nil && d.edge.gateway != nil {
		l = l.WithFields(d.edge.gateway.Connections().LogFields()).WithField("running", d.edge.gateway.Running())
	}
	if !above {
		l.Info("Memory use is below the warning threshold again.")
		return
	}
	l.Warn("Memory use is above the warning threshold.")
}
