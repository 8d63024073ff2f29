package scenario

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"marigoldshunt/internal/emulator"
	"marigoldshunt/internal/enginemodel"
	"marigoldshunt/internal/loadgen"
)

const (
	// spoiledSeed is the seed of the play of spoiled streams.
	spoiledSeed = 50123
	// spoiledCallers is the number of clients for each kind of garbage.
	spoiledCallers = 2
	// spoiledRate is the fraction of events at which garbage comes, so that most streams are
	// spoiled, at different events. All responses are garbage where it spoils whole ones.
	spoiledRate = 0.3
	// minSpoiled is the number of spoiled events or responses that each kind must have had.
	minSpoiled = 10
	// spoiledTimeout bounds the wait for them. Hosts send fewer requests to an upstream that fails.
	spoiledTimeout = 2 * time.Minute
)

// Guards against bytes that no upstream makes for a request and that reach its caller.
func TestSoakSpoiledStreams(t *testing.T) {
	if testing.Short() {
		t.Skip("the soak starts processes")
	}
	s := newSoak(t, spoiledSeed, soakControlHosts, spoiledUpstreams(), spoiledDocument)
	defer s.report()
	s.startFleet()
	plays := map[emulator.GarbageKind]*callers{}
	for i, kind := range emulator.GarbageKinds() {
		plays[kind] = &callers{fleet: s.fleet, kinds: spoiledRoutes(kind)}
		plays[kind].start(spoiledCallers, spoiledSeed+int64(i))
	}
	s.waitFor("spoiled streams of each kind", spoiledTimeout, func() bool {
		for _, n := range s.countGarbage() {
			if n < minSpoiled {
				return false
			}
		}
		return true
	})
	for _, c := range plays {
		c.stopAll()
	}
	runs, spoiled := s.countRuns(), s.countGarbage()
	for _, kind := range emulator.GarbageKinds() {
		t.Run(string(kind), func(t *testing.T) {
			t.Logf("%d spoiled events or responses", spoiled[kind])
			checkSpoiled(t, plays[kind].results, runs)
		})
	}
}

// spoiledUpstreams describes two engines for each kind of garbage, the first of which sends it. Each
// kind has a service of its own, so that the kinds are played at the same time and told apart.
func spoiledUpstreams() (list []soakUpstreamSpec) {
	for i, kind := range emulator.GarbageKinds() {
		rate := spoiledRate
		if kind.IsResponse() {
			rate = 1
		}
		for j, rate := range []float64{rate, 0} {
			e := enginemodel.TypicalOptions()
			e.PromptTokensPerMs = 100
			list = append(list, soakUpstreamSpec{fmt.Sprint(kind, "-", j), string(kind), emulator.Options{
				Engine: &e, GarbageRate: rate, GarbageKinds: []emulator.GarbageKind{kind}, Seed: int64(2*i + j),
			}})
		}
	}
	return list
}

// spoiledRoutes returns the routes of a kind: one whose streams may be resumed, and one whose requests
// may run once.
func spoiledRoutes(kind emulator.GarbageKind) []string {
	return []string{"events/" + string(kind), "events/once/" + string(kind)}
}

// spoiledDocument returns a configuration with the services and routes of all kinds.
func spoiledDocument(version int) string {
	var b strings.Builder
	b.WriteString(documentHead(version))
	for _, kind := range emulator.GarbageKinds() {
		service, routes := string(kind), spoiledRoutes(kind)
		b.WriteString(engineService(service, ""))
		b.WriteString(routeEntry(service, "/"+routes[0]+"/", "stream", service, resumableStream))
		b.WriteString(routeEntry(service+"-once", "/"+routes[1]+"/", "stream", service, streamOnce))
	}
	b.WriteString(accountEntry("district", soakCredential))
	return b.String()
}

// countGarbage returns how often each kind of garbage was sent.
func (s *soak) countGarbage() map[emulator.GarbageKind]int {
	sum := map[emulator.GarbageKind]int{}
	for _, kind := range emulator.GarbageKinds() {
		sum[kind] = 0
	}
	for _, u := range s.fleet.upstreams {
		for kind, n := range u.Debug().Garbage {
			sum[kind] += n
		}
	}
	return sum
}

// checkSpoiled checks the results of callers while no host and no connection of theirs failed.
func checkSpoiled(t *testing.T, results []callerResult, runs map[string]int) {
	faults, example := map[loadgen.StreamFault]int{}, ""
	complete, cut, partial, failures := 0, 0, 0, 0
	for _, r := range results {
		switch {
		case r.Fault != "":
			faults[r.StreamFault]++
			example = r.ID + " at " + r.Address + ": " + r.Fault
		case r.PartialEvent:
			partial++
		case r.FailureAsStream:
			failures++
		case r.Cut:
			cut++
		case r.Complete && r.Status == http.StatusOK:
			complete++
		}
		if strings.HasPrefix(r.kind, "events/once/") && runs[r.ID] > 1 {
			t.Errorf("%s ran %d times", r.ID, runs[r.ID])
		}
	}
	t.Logf("%d requests: %d complete, %d cut, %d of them inside an event, %d failures that say they are streams, faults %v",
		len(results), complete, cut+partial, partial, failures, faults)
	if len(faults) > 0 {
		t.Errorf("callers got streams that no upstream made: %v, the last one %s", faults, example)
	}
	if partial > 0 {
		t.Errorf("%d streams end inside an event although no host ended", partial)
	}
	if complete == 0 {
		t.Errorf("none of %d streams was complete", len(results))
	}
}
