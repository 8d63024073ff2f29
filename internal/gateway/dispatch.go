package gateway

import (
	"sync"
	"time"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/routing"
)

// Dispatch makes a dispatcher safe for concurrent use. Each method holds the lock for one
// call.
type Dispatch struct {
	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	now        func() time.Time
}

// NewDispatch returns a Dispatch that wraps d.
func NewDispatch(d *dispatch.Dispatcher, now func() time.Time) *Dispatch {
	return &Dispatch{dispatcher: d, now: now}
}

// Update calls f with the dispatcher locked.
func (x *Dispatch) Update(f func(d *dispatch.Dispatcher, now time.Time)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f(x.dispatcher, x.now())
}

// SetDocument sets the services and limits of a routing document.
func (x *Dispatch) SetDocument(doc *routing.Document) {
	x.Update(func(d *dispatch.Dispatcher, _ time.Time) { d.SetServices(doc.Services, doc.Limits.TokensPerSecond) })
}

// SetInstances replaces the list of instances.
func (x *Dispatch) SetInstances(l catalog.List) {
	x.Update(func(d *dispatch.Dispatcher, now time.Time) { d.SetInstances(l.Instances, now) })
}

func (x *Dispatch) pick(job *dispatch.Job) (p *dispatch.Placement, err error) {
	x.Update(func(d *dispatch.Dispatcher, now time.Time) { p, err = d.Pick(job, now) })
	return p, err
}

func (x *Dispatch) done(p *dispatch.Placement, outcome dispatch.Outcome) {
	x.Update(func(_ *dispatch.Dispatcher, now time.Time) { p.Done(outcome, now) })
}

func (x *Dispatch) firstEvent(p *dispatch.Placement) {
	x.Update(func(*dispatch.Dispatcher, time.Time) { p.FirstEvent() })
}

func (x *Dispatch) report(p *dispatch.Placement, running, waiting int) {
	x.Update(func(_ *dispatch.Dispatcher, now time.Time) { p.Report(running, waiting, now) })
}

func (x *Dispatch) gone(p *dispatch.Placement) {
	x.Update(func(d *dispatch.Dispatcher, _ time.Time) { d.Gone(p.Instance.Key()) })
}

// countRequest counts a caller's request for the retry budget and for the shares of accounts.
func (x *Dispatch) countRequest(job *dispatch.Job) {
	x.Update(func(d *dispatch.Dispatcher, now time.Time) {
		d.CountRequest(job.Service, now)
		d.Demand(job, now)
	})
}

// refused records that no engine received the request.
func (x *Dispatch) refused(job *dispatch.Job) {
	x.Update(func(d *dispatch.Dispatcher, now time.Time) { d.Refused(job, now) })
}

func (x *Dispatch) takeRetry(service string) (ok bool) {
	x.Update(func(d *dispatch.Dispatcher, now time.Time) { ok = d.TakeRepeat(service, now) })
	return ok
}

// connectionShare returns how many of the connections that an instance accepts this host
// may open; 0 means no limit.
func (x *Dispatch) connectionShare(limit int) (share int) {
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
