package gateway

import (
	"sync"
	"time"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/routing"
)

// Dispatch gives concurrent requests access to a dispatcher. All its methods lock it for
// the time of one decision.
type Dispatch struct {
	mu  sync.Mutex
	d   *dispatch.Dispatcher
	now func() time.Time
}

// NewDispatch returns a Dispatch around d.
func NewDispatch(d *dispatch.Dispatcher, now func() time.Time) *Dispatch {
	return &Dispatch{d: d, now: now}
}

// Update changes what the dispatcher knows.
func (x *Dispatch) Update(f func(d *dispatch.Dispatcher, now time.Time)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f(x.d, x.now())
}

// SetDocument takes the services and limits of a routing document.
func (x *Dispatch) SetDocument(doc *routing.Document) {
	x.Update(func(d *dispatch.Dispatcher, _ time.Time) { d.SetServices(doc.Services, doc.Limits.TokensPerSecond) })
}

// SetInstances takes a list of instances.
func (x *Dispatch) SetInstances(l catalog.List) {
	x.Update(func(d *dispatch.Dispatcher, now time.Time) { d.SetInstances(l.Instances, now) })
}

func (x *Dispatch) pick(j *dispatch.Job) (p *dispatch.Placement, err error) {
	x.Update(func(d *dispatch.Dispatcher, now time.Time) { p, err = d.Pick(j, now) })
	return p, err
}

func (x *Dispatch) done(p *dispatch.Placement, o dispatch.Outcome) {
	x.Update(func(_ *dispatch.Dispatcher, now time.Time) { p.Done(o, now) })
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

// countRequest notes a request of a caller, for the limits that depend on their number.
func (x *Dispatch) countRequest(j *dispatch.Job) {
	x.Update(func(d *dispatch.Dispatcher, now time.Time) {
		d.CountRequest(j.Service, now)
		d.Demand(j, now)
	})
}

// refused notes that no engine got the request.
func (x *Dispatch) refused(j *dispatch.Job) {
	x.Update(func(d *dispatch.Dispatcher, now time.Time) { d.Refused(j, now) })
}

func (x *Dispatch) takeRepeat(service string) (ok bool) {
	x.Update(func(d *dispatch.Dispatcher, now time.Time) { ok = d.TakeRepeat(service, now) })
	return ok
}

// connections returns this host's part of the connections that an instance accepts.
func (x *Dispatch) connections(limit int) (share int) {
	x.Update(func(d *dispatch.Dispatcher, _ time.Time) {
		if limit > 0 {
			share = max(limit*connectionPercent/100/d.Hosts(), 1)
		}
	})
	return share
}

// connectionPercent leaves room for hosts that still count fewer hosts than there are.
const connectionPercent = 90
