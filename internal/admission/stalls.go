package admission

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/logsink"
)

// Limits of the log lines about gates.
const (
	// stallLogAge is how long the prompts in progress must be overdue before a gate is logged.
	stallLogAge      = 500 * time.Millisecond
	stallLogInterval = time.Second
	// maxLoggedStalls is the number of gates that a host logs each stallLogInterval.
	maxLoggedStalls = 4
)

// logStalls logs the gates that admit nothing although requests wait, the longest overdue first.
func (a *Admission) logStalls(stalls map[catalog.Key]dispatch.Stall) {
	if len(stalls) == 0 {
		return
	}
	metrics.GetOrRegisterCounter("admission.stalled_gate_seconds", a.opts.Registry).Inc(int64(len(stalls)))
	keys := slices.SortedFunc(maps.Keys(stalls), func(x, y catalog.Key) int {
		return cmp.Or(cmp.Compare(stalls[y].Overdue, stalls[x].Overdue), cmp.Compare(x.ID, y.ID))
	})
	for _, k := range keys[:min(maxLoggedStalls, len(keys))] {
		if logsink.Drops(a.opts.Log, logrus.InfoLevel) {
			continue
		}
		s := stalls[k]
		byHost, tokens := map[string]int{}, 0
		for _, r := range s.Reading {
			byHost[r.Host]++
			tokens += r.Tokens
		}
		a.opts.Log.WithFields(logrus.Fields{
			"instance": k.ID, "overdue_ms": s.Overdue.Milliseconds(), "waiting": s.Waiting, "running": s.Running,
			"reading_tokens": tokens, "reading_by_host": countsByHost(byHost), "oldest_ms": oldestAge(s.Reading).Milliseconds(),
		}).Info("Gate waits for prompts that its engine should have read.")
	}
}

func oldestAge(reading []dispatch.ReadingPrompt) time.Duration {
	if len(reading) == 0 {
		return 0
	}
	return reading[0].Age
}

// logLost logs the admitted requests that gates have dropped because their hosts no longer confirmed them.
func (a *Admission) logLost(lost map[catalog.Key][]dispatch.LostRequest) {
	byHost, reading, tokens, total := map[string]int{}, 0, 0, 0
	for _, list := range lost {
		for _, r := range list {
			total++
			byHost[r.Host]++
			if r.Reading {
				reading++
				tokens += r.Tokens
			}
		}
	}
	if total == 0 {
		return
	}
	metrics.GetOrRegisterCounter("admission.lost", a.opts.Registry).Inc(int64(total))
	a.opts.Log.WithFields(logrus.Fields{"requests": total, "by_host": countsByHost(byHost), "reading": reading, "reading_tokens": tokens}).
		Info("Admitted requests that no host has confirmed were dropped.")
}

func countsByHost(counts map[string]int) string {
	var parts []string
	for _, host := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s:%d", host, counts[host]))
	}
	return strings.Join(parts, ",")
}
