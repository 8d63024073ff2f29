package enginemodel

import (
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func smallEngine() Options {
	return Options{
		Slots: 2, QueueLength: 2, MemoryTokens: 1_000, Step: time.Millisecond, StepPerRequest: time.Millisecond,
		PromptTokensPerMs: 10, ChunkTokens: 100, TokensPerEvent: 2,
	}
}

func request(id uint64, output int, parts ...Part) Request {
	return Request{ID: id, Parts: parts, Output: output}
}

func mustAdd(c *qt.C, e *Engine, r Request, now time.Time) {
	accepted, aborted := e.Add(r, now)
	c.Assert(accepted, qt.IsTrue)
	c.Assert(aborted, qt.HasLen, 0)
}

// Guards against a long prompt that is read in one step instead of in chunks, and against
// chunks that do not lengthen the steps of concurrent streams.
func TestPromptsAreReadInChunks(t *testing.T) {
	c := qt.New(t)
	e := New(smallEngine(), start)
	mustAdd(c, e, request(1, 4, Part{1, 50}), start)
	// 50 tokens take 5 ms and the step 1 ms; the first token comes at the end of the step
	// that completes the prompt.
	c.Assert(e.Advance(at(6)), qt.HasLen, 0)
	mustAdd(c, e, request(2, 2, Part{2, 250}), at(6))
	events := e.Advance(at(8))
	c.Assert(events, qt.DeepEquals, []Event{{ID: 1, Kind: Produced, At: at(8), Number: 1}})
	// A chunk of 100 tokens now lengthens the steps of the first request to 12 ms.
	events = e.Advance(at(32))
	c.Assert(events, qt.DeepEquals, []Event{
		{ID: 1, Kind: Produced, At: at(32), Number: 2}, {ID: 1, Kind: Finished, At: at(32), Number: 2},
	})
	events = e.Advance(at(100))
	c.Assert(events[len(events)-1].Kind, qt.Equals, Finished)
	c.Assert(e.Counts(), qt.Equals, Counts{ReadTokens: 300, GeneratedTokens: 6})
}

// Guards against a part that counts as cached although one before it is missing, and
// against cached parts that are never evicted.
func TestPromptPartsAreCachedByPrefix(t *testing.T) {
	c := qt.New(t)
	e := New(smallEngine(), start)
	now := 0
	run := func(r Request) (read int) {
		before := e.Counts().ReadTokens
		mustAdd(c, e, r, at(now))
		now += 200
		events := e.Advance(at(now))
		c.Assert(events[len(events)-1].Kind, qt.Equals, Finished)
		return e.Counts().ReadTokens - before
	}
	c.Assert(run(request(1, 2, Part{1, 300}, Part{2, 200}, Part{10, 50})), qt.Equals, 550)
	c.Assert(run(request(2, 2, Part{1, 300}, Part{2, 200}, Part{11, 50})), qt.Equals, 50)
	c.Assert(run(request(3, 2, Part{9, 100}, Part{2, 200}, Part{12, 50})), qt.Equals, 350)
	// 700 tokens evict all parts.
	c.Assert(run(request(4, 2, Part{3, 700}, Part{13, 50})), qt.Equals, 750)
	c.Assert(run(request(5, 2, Part{1, 300}, Part{2, 200}, Part{14, 50})), qt.Equals, 550)
	c.Assert(e.Counts().RereadTokens, qt.Equals, 200+500)
}

// Guards against an engine that generates more tokens than its memory holds, or that loses
// a preempted request.
func TestPreemptsNewestRequest(t *testing.T) {
	c := qt.New(t)
	e := New(smallEngine(), start)
	mustAdd(c, e, request(1, 300, Part{1, 400}), start)
	mustAdd(c, e, request(2, 300, Part{2, 400}), start)
	finished := map[uint64]time.Time{}
	for ms := range 5_000 {
		for _, v := range e.Advance(at(ms)) {
			if v.Kind == Finished {
				finished[v.ID] = v.At
			}
		}
		c.Assert(e.memory.ownTokens+e.memory.cachedTokens <= 1_000, qt.IsTrue)
	}
	c.Assert(finished, qt.HasLen, 2)
	c.Assert(finished[1].Before(finished[2]), qt.IsTrue)
	c.Assert(e.Counts().Preempted > 0, qt.IsTrue)
}

// Guards against an unbounded queue, and against requests that are larger than the memory.
func TestRefusesFullQueueAndOversizedRequests(t *testing.T) {
	c := qt.New(t)
	e := New(smallEngine(), start)
	for id := range uint64(4) {
		mustAdd(c, e, request(id, 2, Part{id, 10}), start)
	}
	accepted, _ := e.Add(request(5, 2, Part{5, 10}), start)
	c.Assert(accepted, qt.IsFalse)
	accepted, _ = New(smallEngine(), start).Add(request(6, 2, Part{6, 1_000}), start)
	c.Assert(accepted, qt.IsFalse)
}

// Guards against a cold engine that does not fail at more than ColdPerSecond requests in one
// second, and against one that stays cold after ColdTime.
func TestColdEngineFailsUnderOverloadAndWarmsUp(t *testing.T) {
	c := qt.New(t)
	opts := smallEngine()
	opts.ColdTime, opts.ColdPerSecond, opts.ColdSlowdown, opts.QueueLength = time.Second, 3, 2, 100
	e := New(opts, start)
	for id := range uint64(3) {
		mustAdd(c, e, request(id, 200, Part{id, 10}), start)
	}
	_, aborted := e.Add(request(9, 200, Part{9, 10}), at(1))
	c.Assert(aborted, qt.HasLen, 4)
	c.Assert(e.Counts().Failures, qt.Equals, 1)
	c.Assert(e.Cold(at(900)), qt.IsTrue)
	c.Assert(e.Cold(at(1_001)), qt.IsFalse)
	for id := range uint64(20) {
		mustAdd(c, e, request(100+id, 2, Part{id, 10}), at(1_001))
	}
}

// Guards against reports and cache events that are published without their lag.
func TestReportsAndCacheEventsLag(t *testing.T) {
	c := qt.New(t)
	opts := smallEngine()
	opts.ReportLag, opts.EventLag, opts.LoseEveryNthEvent = 100*time.Millisecond, 50*time.Millisecond, 2
	e := New(opts, start)
	mustAdd(c, e, request(1, 100, Part{1, 10}, Part{2, 20}, Part{3, 30}), start)
	c.Assert(e.Report(at(99)).Running, qt.Equals, 0)
	c.Assert(e.Report(at(100)).Running, qt.Equals, 1)
	c.Assert(e.CacheEvents(0, at(49)), qt.HasLen, 0)
	events := e.CacheEvents(0, at(50))
	c.Assert(events, qt.HasLen, 1)
	c.Assert(events[0].Part, qt.Equals, Part{1, 10})
}

// Guards against lost or repeated requests and wrong memory accounting under random
// arrivals and removals.
func TestRandomLoad(t *testing.T) {
	for seed := range int64(200) {
		c := qt.New(t)
		rng := rand.New(rand.NewSource(seed))
		e := New(smallEngine(), start)
		open := map[uint64]int{}
		for ms := range 2_000 {
			for _, v := range e.Advance(at(ms)) {
				number, ok := open[v.ID]
				c.Assert(ok, qt.IsTrue, qt.Commentf("seed %d: event of request %d, which is not open", seed, v.ID))
				switch v.Kind {
				case Produced:
					c.Assert(v.Number, qt.Equals, number+1, qt.Commentf("seed %d", seed))
					open[v.ID] = v.Number
				case Finished:
					delete(open, v.ID)
				}
			}
			if rng.Intn(8) == 0 {
				id := uint64(ms + 1)
				r := request(id, 1+rng.Intn(100), Part{uint64(rng.Intn(6)), 100}, Part{10 + uint64(rng.Intn(6)), 150}, Part{1 << 40, 1 + rng.Intn(300)})
				if accepted, _ := e.Add(r, at(ms)); accepted {
					open[id] = 0
				}
			}
			for id := range open {
				if rng.Intn(200) == 0 {
					e.Remove(id, at(ms))
					delete(open, id)
				}
			}
		}
		ownTokens := 0
		for _, r := range e.running {
			ownTokens += r.ownTokens
		}
		c.Assert(e.memory.ownTokens, qt.Equals, ownTokens, qt.Commentf("seed %d", seed))
		c.Assert(len(e.running)+len(e.queue), qt.Equals, len(open), qt.Commentf("seed %d", seed))
	}
}
