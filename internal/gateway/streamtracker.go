package gateway

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// StreamStore is the fleet-wide record of where streams began. It survives the loss of all hosts.
type StreamStore interface {
	// ChangeStreams records where streams began, and asks where others did.
	ChangeStreams(ctx context.Context, change *wire.StreamChange) (*wire.StreamAnswer, error)
}

// Timing of changes of the StreamStore.
const (
	// questionWindow is the time in which a host collects questions.
	questionWindow = 20 * time.Millisecond
	// windowPerHost times the number of hosts is the time in which a host collects beginnings, so
	// that the leader gets at most 1,000 changes a second. A stream that is lost with its host in
	// that time can't be resumed, hence maxStreamWindow.
	windowPerHost   = time.Millisecond
	maxStreamWindow = 500 * time.Millisecond
	// streamStoreTimeout bounds one change.
	streamStoreTimeout = 2 * time.Second
	// maxPendingStreams bounds the streams that wait to be recorded. A stream beyond it can't be
	// resumed by its caller.
	maxPendingStreams = 4_096
)

// streamTracker knows where streams began, so that they go on only there. It records their
// beginnings in the StreamStore while a service has, or recently had, several versions; at other
// times a stream can only have begun at the one that there is.
//
// A stream is recorded soon after its first event, not before it: one that is not recorded yet when
// its host is lost can't be resumed, and is never joined from two versions.
type streamTracker struct {
	store  StreamStore
	log    logrus.FieldLogger
	window func() time.Duration

	mu sync.Mutex
	// services holds the versions in this host's list, by service.
	services map[string]*serviceVersions
	// running holds the resumable streams of this host.
	running map[wire.StreamID]dispatch.Origin
	// begun and listed wait to be recorded, questions to be asked.
	begun     map[dispatch.Origin][]wire.StreamID
	pending   int
	listed    map[string][]string
	questions []*streamQuestion
	// flushing is true while a change is under way. Otherwise timer, unless it is nil, sends the
	// next one at due.
	flushing bool
	timer    *time.Timer
	due      time.Time
}

type serviceVersions struct {
	versions []string
	// settled is true once the store has said that these versions are the only ones of which
	// streams may still be resumed.
	settled bool
}

type streamQuestion struct {
	id     wire.StreamID
	answer chan streamAnswer
}

type streamAnswer struct {
	*wire.StreamAnswer
	err error
}

func newStreamTracker(store StreamStore, log logrus.FieldLogger, window func() time.Duration) *streamTracker {
	return &streamTracker{
		store: store, log: log, window: window, services: map[string]*serviceVersions{}, running: map[wire.StreamID]dispatch.Origin{},
		begun: map[dispatch.Origin][]wire.StreamID{}, listed: map[string][]string{},
	}
}

// streamWindow returns the time in which a host of a fleet collects a change.
func streamWindow(hosts int) time.Duration {
	return min(time.Duration(hosts)*windowPerHost, maxStreamWindow)
}

// streamID identifies the stream whose first event came with the response to a request.
func streamID(account, requestID string) wire.StreamID {
	sum := sha256.Sum256([]byte(account + "\x00" + requestID))
	return wire.StreamID(binary.BigEndian.Uint64(sum[:]))
}

// versionsOf returns the sorted versions of the instances of each service.
func versionsOf(list []catalog.Instance) map[string][]string {
	out := map[string][]string{}
	for _, i := range list {
		if !slices.Contains(out[i.Service], i.Version) {
			out[i.Service] = append(out[i.Service], i.Version)
		}
	}
	for _, versions := range out {
		slices.Sort(versions)
	}
	return out
}

// setList takes the versions of a new list. Streams that run while the versions of their service
// change are recorded: only now it matters where they began.
func (t *streamTracker) setList(list []catalog.Instance) {
	versions := versionsOf(list)
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, v := range versions {
		if old := t.services[service]; old != nil && slices.Equal(old.versions, v) {
			continue
		}
		t.services[service] = &serviceVersions{versions: v}
		for id, origin := range t.running {
			if origin.Service == service {
				t.addLocked(id, origin)
			}
		}
	}
}

// report has the store told of the versions in a list that this host has read itself.
func (t *streamTracker) report(list []catalog.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, v := range versionsOf(list) {
		if s := t.services[service]; s == nil || !s.settled || !slices.Equal(s.versions, v) {
			t.listed[service] = v
			t.scheduleLocked(t.window())
		}
	}
}

// begin records that a stream of this host begins, until end.
func (t *streamTracker) begin(id wire.StreamID, origin dispatch.Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[id] = origin
	if s := t.services[origin.Service]; s == nil || !s.settled {
		t.addLocked(id, origin)
	}
}

func (t *streamTracker) end(id wire.StreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, id)
}

func (t *streamTracker) addLocked(id wire.StreamID, origin dispatch.Origin) {
	if t.pending >= maxPendingStreams {
		return
	}
	t.pending++
	t.begun[origin] = append(t.begun[origin], id)
	t.scheduleLocked(t.window())
}

// scheduleLocked has a change sent within some time, unless one is under way: flush schedules the
// next one itself.
func (t *streamTracker) scheduleLocked(within time.Duration) {
	due := time.Now().Add(within)
	if t.flushing || t.timer != nil && !due.Before(t.due) {
		return
	}
	if t.timer != nil {
		t.timer.Stop()
	}
	t.timer, t.due = time.AfterFunc(within, t.flush), due
}

// find returns where a stream began. It is nil if the stream can go on at any instance, because all
// of its service have the version at which it began.
func (t *streamTracker) find(ctx context.Context, id wire.StreamID, service string) (*dispatch.Origin, error) {
	t.mu.Lock()
	if s := t.services[service]; s != nil && s.settled {
		t.mu.Unlock()
		return nil, nil
	}
	q := &streamQuestion{id: id, answer: make(chan streamAnswer, 1)}
	t.questions = append(t.questions, q)
	t.scheduleLocked(questionWindow)
	t.mu.Unlock()
	select {
	case a := <-q.answer:
		if a.err != nil {
			return nil, fault.New(fault.StreamOriginUnknown, fault.NotRun, "no answer about where the stream began: %v", a.err).WithRetryAfter(shortRetryAfter)
		}
		return t.evaluate(a.StreamAnswer, id, service)
	case <-ctx.Done():
		return nil, fault.New(fault.StreamOriginUnknown, fault.NotRun, "no answer in time about where the stream began").WithRetryAfter(shortRetryAfter)
	}
}

func (t *streamTracker) evaluate(a *wire.StreamAnswer, id wire.StreamID, service string) (*dispatch.Origin, error) {
	for _, o := range a.Known {
		if o.ID == id {
			return &dispatch.Origin{Service: o.Service, Version: o.Version}, nil
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[service]; s != nil && s.settled {
		return nil, nil // flush has learnt it from the same answer
	}
	return nil, fault.New(fault.StreamOriginUnknown, fault.NotRun, "it is not known at which version of service %q the stream began", service)
}

// flush sends one change to the store, and schedules the next one if more has come meanwhile.
func (t *streamTracker) flush() {
	t.mu.Lock()
	if t.flushing {
		t.mu.Unlock()
		return // its timer was stopped too late; what it would send waits for the change under way
	}
	t.timer = nil
	if len(t.begun)+len(t.listed)+len(t.questions) == 0 {
		t.mu.Unlock()
		return
	}
	t.flushing = true
	change, questions := t.takeLocked()
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), streamStoreTimeout)
	answer, err := t.store.ChangeStreams(ctx, change)
	cancel()
	t.mu.Lock()
	t.flushing = false
	if err != nil {
		t.log.WithError(err).WithField("streams", streamCount(change)).Warn("Failed to record where streams began. Their callers can't resume them.")
		t.putBackLocked(change)
	} else {
		t.learnLocked(answer.Services)
	}
	switch {
	case len(t.questions) > 0:
		t.scheduleLocked(questionWindow)
	case len(t.begun)+len(t.listed) > 0:
		t.scheduleLocked(t.window())
	}
	t.mu.Unlock()
	for _, q := range questions {
		q.answer <- streamAnswer{answer, err}
	}
}

func streamCount(c *wire.StreamChange) (n int) {
	for _, b := range c.Begun {
		n += len(b.IDs)
	}
	return n
}

func (t *streamTracker) takeLocked() (*wire.StreamChange, []*streamQuestion) {
	change := &wire.StreamChange{}
	for _, service := range slices.Sorted(maps.Keys(t.listed)) {
		change.Listed = append(change.Listed, wire.ServiceVersions{Service: service, Versions: t.listed[service]})
	}
	for origin, ids := range t.begun {
		change.Begun = append(change.Begun, wire.BegunStreams{Service: origin.Service, Version: origin.Version, IDs: ids})
	}
	slices.SortFunc(change.Begun, func(a, b wire.BegunStreams) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	questions := t.questions[:min(len(t.questions), maxPendingStreams)]
	t.questions = t.questions[len(questions):]
	for _, q := range questions {
		change.Asked = append(change.Asked, q.id)
	}
	t.listed, t.begun, t.pending = map[string][]string{}, map[dispatch.Origin][]wire.StreamID{}, 0
	return change, questions
}

// putBackLocked keeps the versions and the running streams of a change that failed for the next one.
func (t *streamTracker) putBackLocked(change *wire.StreamChange) {
	for _, l := range change.Listed {
		if t.listed[l.Service] == nil {
			t.listed[l.Service] = l.Versions
		}
	}
	for _, b := range change.Begun {
		for _, id := range b.IDs {
			if origin, running := t.running[id]; running {
				t.addLocked(id, origin)
			}
		}
	}
}

// learnLocked takes over which services have had the versions of this host's list for long.
func (t *streamTracker) learnLocked(services []wire.ServiceVersions) {
	for _, a := range services {
		if s := t.services[a.Service]; s != nil {
			s.settled = a.Settled && slices.Equal(s.versions, a.Versions)
		}
	}
}
