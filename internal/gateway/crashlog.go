package gateway

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"marigoldshunt/internal/catalog"
)

// maxLoggedSuspects bounds the requests, and the prompt parts, named in one log line.
const maxLoggedSuspects = 8

// logCrash logs that an instance crashed, with the requests that broke with it.
func (c *crashTracker) logCrash(instance catalog.Instance, broken []brokenRequest, probeErr error) {
	var ids []string
	for _, r := range broken[:min(len(broken), maxLoggedSuspects)] {
		ids = append(ids, r.id)
	}
	c.log.WithFields(map[string]any{
		"instance": instance.ID, "service": instance.Service, "broken": len(broken), "requests": strings.Join(ids, ","),
		"shared_parts": sharedPartsText(broken), "probe": probeErr.Error(),
	}).Warn("Upstream crashed.")
}

// sharedPartsText lists the prompt parts of broken requests as ID:REQUESTS, the most frequent
// first.
func sharedPartsText(broken []brokenRequest) string {
	count := map[uint64]int{}
	for _, r := range broken {
		for _, id := range r.sharedParts {
			count[id]++
		}
	}
	ids := slices.SortedFunc(maps.Keys(count), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(count[b], count[a]), cmp.Compare(a, b))
	})
	var out []string
	for _, id := range ids[:min(len(ids), maxLoggedSuspects)] {
		out = append(out, fmt.Sprintf("%s:%d", strconv.FormatUint(id, 16), count[id]))
	}
	return strings.Join(out, ",")
}
