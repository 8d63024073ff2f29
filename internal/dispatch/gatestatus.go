package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// ReadingPrompt is an admitted request whose prompt the engine has not read, as far as its gate knows.
type ReadingPrompt struct {
	Host   string
	Tokens int
	Age    time.Duration
}

// Stall tells why a gate admits nothing although requests wait.
type Stall struct {
	// Overdue is the time since the engine should have read the prompt that was admitted first, with
	// all others in progress.
	Overdue time.Duration
	// Waiting and Running count the queued and the admitted requests.
	Waiting, Running int
	// Reading are the prompts in progress, the longest admitted first.
	Reading []ReadingPrompt
}

// Stalled reports whether requests wait while the engine should have read a prompt in progress
// longer ago than a time. Either the engine is slower than estimated, or the gate was not told that it
// has read them.
func (g *Gate) Stalled(longerThan time.Duration, now time.Time) (s Stall, ok bool) {
	if len(g.waiting) == 0 || g.readingTokens == 0 {
		return s, false
	}
	s.Waiting, s.Running = len(g.waiting), len(g.running)
	for id, r := range g.running {
		if r.reading {
			s.Reading = append(s.Reading, ReadingPrompt{Host: id.Host, Tokens: r.tokens, Age: now.Sub(r.at)})
		}
	}
	slices.SortFunc(s.Reading, func(a, b ReadingPrompt) int { return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.Host, b.Host)) })
	if len(s.Reading) > 0 {
		s.Overdue = s.Reading[0].Age - g.speed.readTime(g.readingTokens)
	}
	return s, s.Overdue > longerThan
}
