package loadgen

import (
	"time"
)

// ShareCount counts streams that callers asked for, new ones or resumed ones, at the time of the last
// try.
type ShareCount struct {
	Asked int `json:"asked"`
	// Served is the number of them of which an event came, or the end if only that was left.
	Served int `json:"served"`
	// FailedTries counts the tries that brought nothing, by cause.
	FailedTries map[string]int `json:"failed_tries"`
}

func newShareCount() ShareCount { return ShareCount{FailedTries: map[string]int{}} }

// add counts one try.
func (n *ShareCount) add(t *StreamTry) {
	if cause := t.FailureCause(); cause != "" {
		n.FailedTries[cause]++
	}
	if !t.Last || t.CallerCancelled {
		return
	}
	n.Asked++
	if t.Succeeded() {
		n.Served++
	}
}

// share returns the fraction that was served, 1 for none.
func (n *ShareCount) share() float64 {
	if n.Asked == 0 {
		return 1
	}
	return float64(n.Served) / float64(n.Asked)
}

// Bounds of resumed streams: from MinResumed of them on, at least minResumedShare times the share of the
// new streams that begin must go on.
const (
	MinResumed      = 12
	minResumedShare = 0.5
)

// RoutedSecond counts what callers sent in one second of a run.
type RoutedSecond struct {
	Second int `json:"second"`
	// New and Resumed count streams.
	New     ShareCount `json:"new"`
	Resumed ShareCount `json:"resumed"`
	// Unanswered counts the requests that were sent whole and got neither an answer nor a refusal;
	// AtStop counts those of them whose host takes no new connections.
	Unanswered       int `json:"unanswered"`
	UnansweredAtStop int `json:"unanswered_at_stop"`
}

func newRoutedSecond(second int) RoutedSecond {
	return RoutedSecond{Second: second, New: newShareCount(), Resumed: newShareCount()}
}

// StreamShares compares the streams that callers resume with those that they begin.
type StreamShares struct {
	// Total holds the sums, its field Second is 0.
	Total RoutedSecond `json:"total"`
	// Seconds has an entry for each second of the run up to the last one in which a request was sent.
	Seconds []RoutedSecond `json:"seconds"`
}

// NewStreamShares returns empty counts.
func NewStreamShares() *StreamShares { return &StreamShares{Total: newRoutedSecond(0)} }

// second returns the counts of the second in which a request was sent.
func (s *StreamShares) second(sent time.Duration) *RoutedSecond {
	for i := len(s.Seconds); i <= int(sent/time.Second); i++ {
		s.Seconds = append(s.Seconds, newRoutedSecond(i))
	}
	return &s.Seconds[int(sent/time.Second)]
}

// Add counts one try that was sent at a time after the start of the run.
func (s *StreamShares) Add(t StreamTry, sent time.Duration) {
	for _, n := range []*RoutedSecond{&s.Total, s.second(sent)} {
		count := &n.New
		if t.Resumption > 0 {
			count = &n.Resumed
		}
		count.add(&t)
	}
}

// AddUnanswered counts a request without an answer. atStop means that its host takes no new
// connections.
func (s *StreamShares) AddUnanswered(sent time.Duration, atStop bool) {
	for _, n := range []*RoutedSecond{&s.Total, s.second(sent)} {
		n.Unanswered++
		if atStop {
			n.UnansweredAtStop++
		}
	}
}

// Compared returns the sums over the seconds in which resumed streams were asked for. What new ones met at
// other times says nothing about those.
func (s *StreamShares) Compared() (fresh, resumed ShareCount) {
	for i := range s.Seconds {
		n := &s.Seconds[i]
		if n.Resumed.Asked == 0 {
			continue
		}
		fresh.Asked, fresh.Served = fresh.Asked+n.New.Asked, fresh.Served+n.New.Served
		resumed.Asked, resumed.Served = resumed.Asked+n.Resumed.Asked, resumed.Served+n.Resumed.Served
	}
	return fresh, resumed
}

// ResumedTooRarely reports whether far fewer of the resumed streams go on than of the new ones begin in
// the same seconds.
func (s *StreamShares) ResumedTooRarely() bool {
	fresh, resumed := s.Compared()
	return resumed.Asked >= MinResumed && resumed.share() < minResumedShare*fresh.share()
}
