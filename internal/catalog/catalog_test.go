package catalog

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// slowSource fails each read after a time, or when the read's time is up.
type slowSource struct {
	failsAfter time.Duration
	// began and failed are when each read began and failed.
	began, failed []time.Time
}

func (s *slowSource) Instances(ctx context.Context) ([]Instance, error) {
	s.began = append(s.began, time.Now())
	select {
	case <-ctx.Done():
	case <-time.After(s.failsAfter):
	}
	s.failed = append(s.failed, time.Now())
	return nil, errors.New("the list is unavailable")
}

// Guards against a list that is read again without the pause after a read that used up its
// time.
func TestPauseAfterFailedRead(t *testing.T) {
	for _, failsAfter := range []time.Duration{0, fetchTimeout - failureDelay/2, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			source := &slowSource{failsAfter: failsAfter}
			log := logrus.New()
			log.SetOutput(io.Discard)
			r := NewReader(Options{
				Source: source, ShouldRead: func(time.Time) bool { return true }, OnList: func(List) {}, Log: log, Registry: metrics.NewRegistry(),
			})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- r.Run(ctx) }()
			time.Sleep(10 * time.Second)
			synctest.Wait()
			began := source.began
			cancel()
			c.Assert(<-done, qt.IsNil)
			c.Assert(len(began) > 2, qt.IsTrue)
			for i, at := range began[1:] {
				pause := at.Sub(source.failed[i])
				c.Assert(pause >= failureDelay, qt.IsTrue, qt.Commentf("fails after %s: pause %s", failsAfter, pause))
			}
		})
	}
}
