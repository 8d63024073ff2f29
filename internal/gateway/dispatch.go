package gateway

import (
	"sync"
	"time"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/routing"
)

// LockedDispatcher makes a dispatcher safe for concurrent use. Each method holds the lock
// for one call.
type LockedDispatcher struct {
	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	now        func() time.Time
}

// NewLockedDispatcher returns a LockedDispatcher that wraps d.
func NewLockedDispatcher(d *dispatch.Dispatcher, now func() time.Time) *LockedDispatcher {
	return &LockedDispatcher{dispatcher: d, now: now}
}

// Update calls f with the dispatcher locked.
func (x *LockedDispatcher) Update(f func(d *dispatch.Dispatcher, now time.Time)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f(x.dispatcher, x.now())
}

// SetDocument sets the services and limits of a routing document.
func (x *LockedDispatcher) SetDocument(doc *routing.Document) {
	x.Update(func(d *dispatch.Dispatcher, _ time.Time) { d.SetServices(doc.Services, doc.Limits.TokensPerSecond) })
}

// SetInstances replaces the list of instances.
func (x *LockedDispatcher) SetInstances(l catalog.List) {
	x.Update(func(d *dispatch.Dispatcher, now time.Time) { d.SetInstances(l.Instances, now) })
}

func (x *LockedDispatcher) pick(job *dispatch.Job) (p *dispatch.Placement, err error) {
	x.Update(func(d *dispatch.Dispatcher, now time.Time) { p, err = d.Pick(job, now) })
	return p, err
}

func (x *LockedDispatcher) done(p *dispatch.Placement, outcome dispatch.Outcome) {
	x.Update(func(_ *dispatch.Dispatcher, now time.Time) { p.Done(outcome, now) })
}

// excluded returns why the instance of a placement may get no new requests any more.
func (x *LockedDispatcher) excluded(p *dispatch.Placement) (reason dispatch.ExclusionReason) {
	x.Update(func(d *dispatch.Dispatcher, now time.Time) { reason = d.Excluded(p, now) })
	return reason
}

func (x *LockedDispatcher) firstEvent(p *dispatch.Placement) {
	x.Update(func(*dispatch.Dispatcher, time.Time) { p.FirstEvent() })
}

func (x *LockedDispatcher) report(p *dispatch.Placement, running, waiting int) {
	x.Update(func(_ *dispatch.Dispatcher, now time.Time) { p.Report(running, waiting, now) })
}

func (x *LockedDispatcher) setRateLimit(p *dispatch.Placement, perSecond float64) (before float64) {
	x.Update(func(*dispatch.Dispatcher, time.Time) { before = p.SetRateLimit(perSecond) })
	return before
}

func (x *LockedDispatcher) markReplaced(p *dispatch.Placement) {
	x.Update(func(d *dispatch.Dispatcher, _ time.Time) { d.MarkReplaced(p.Instance.Key()) })
}

// markLeaving records that the instance of a placement says that it is about to stop, and reports
// whether that is new.
func (x *LockedDispatcher) markLeaving(p *dispatch.Placement) (isNew bool) {
	x.Update(func(*dispatch.Dispatcher, time.Time) { isNew = p.MarkLeaving() })
	return isNew
}

// pause records that the instance of a placement wants no requests of this host for some time.
func (x *LockedDispatcher) pause(p *dispatch.Placement, d time.Duration) {
	x.Update(func(_ *dispatch.Dispatcher, now time.Time) { p.Pause(d, now) })
}

// countRequest counts a caller's request for the retry budget and for the shares of accounts.
func (x *LockedDispatcher) countRequest(job *dispatch.Job) {
	x.Update(func(d *dispatch.Dispatcher, now time.Time) {
		d.CountRequest(job.Service, now)
		d.RecordDemand(job, now)
	})
}

// recordRefusal records that no engine received the request.
func (x *LockedDispatcher) recordRefusal(job *dispatch.Job) {
	x.Update(func(d *dispatch.Dispatcher, now time.Time) { d.RecordRefusal(job, now) })
}

func (x *LockedDispatcher) takeRetry(service string) (ok bool) {
	x.Update(func(d *dispatch.Dispatcher, now time.Time) { ok = d.TakeRetry(service, now) })
	return ok
}

// hosts returns the number of live hosts.
func (x *LockedDispatcher) hosts() (n int) {
	x.Update(func(d *dispatch.Dispatcher, _ time.Time) { n = d.Hosts() })
	return n
}

// connectionShare returns how many of the connections that an instance accepts this host
// may open; 0 means no limit.
func (x *LockedDispatcher) connectionShare(limit int) (share int) {
	x.Update(func(d *dispatch.Dispatcher, _ time.Time) {
		if limit > 0 {
			share = max(limit*connectionSharePercent/100/d.Hosts(), 1)
		}
	})
	return share
}

// connectionSharePercent is below 100, because some hosts may still count fewer live hosts
// than there are and take a larger share.
const connectionSharePercent = 90
