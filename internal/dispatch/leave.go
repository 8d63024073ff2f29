package dispatch

import (
	"strconv"
	"time"
)

// LeaveReason says why an instance may get no new requests.
type LeaveReason uint8

// Reasons why an instance may get no new requests.
const (
	// NotLeft means that it may get requests.
	NotLeft LeaveReason = iota
	// NotListed means that it is not in the list of instances any more.
	NotListed
	// Draining means that it is about to stop.
	Draining
	// Replaced means that another instance has its address.
	Replaced
	// OutOfService means that its data centre is out of service.
	OutOfService
	// Paused means that it has refused a request of this host and wants none for some time.
	Paused
)

// String returns the name of the reason in logs.
func (r LeaveReason) String() string {
	switch r {
	case NotLeft:
		return "not_left"
	case NotListed:
		return "not_listed"
	case Draining:
		return "draining"
	case Replaced:
		return "replaced"
	case OutOfService:
		return "data_centre_out"
	case Paused:
		return "paused"
	}
	return "reason_" + strconv.Itoa(int(r))
}

// Left returns why the instance of a placement may get no new requests now. A request may wait
// for seconds between the choice of its instance and its sending.
func (d *Dispatcher) Left(p *Placement, now time.Time) LeaveReason {
	x := d.instances[p.Instance.Key()]
	if x == nil {
		return NotListed
	}
	return d.leaveReason(x, now)
}

// leaveReason returns why a listed instance may get no new requests.
func (d *Dispatcher) leaveReason(x *instance, now time.Time) LeaveReason {
	switch {
	case x.Draining || x.leaving:
		return Draining
	case x.replaced:
		return Replaced
	case d.outOfService[x.DataCentre]:
		return OutOfService
	case now.Before(x.pausedUntil):
		return Paused
	}
	return NotLeft
}
