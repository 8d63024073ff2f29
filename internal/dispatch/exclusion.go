package dispatch

import (
	"strconv"
	"time"
)

// ExclusionReason says why an instance may get no new requests.
type ExclusionReason uint8

// Reasons why an instance may get no new requests.
const (
	// NotExcluded means that it may get requests.
	NotExcluded ExclusionReason = iota
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
func (r ExclusionReason) String() string {
	switch r {
	case NotExcluded:
		return "not_excluded"
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

// Excluded returns why the instance of a placement may get no new requests now. A request may wait
// for seconds between the choice of its instance and its sending.
func (d *Dispatcher) Excluded(p *Placement, now time.Time) ExclusionReason {
	x := d.instances[p.Instance.Key()]
	if x == nil {
		return NotListed
	}
	return d.exclusion(x, now)
}

// exclusion returns why a listed instance may get no new requests.
func (d *Dispatcher) exclusion(x *instance, now time.Time) ExclusionReason {
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
	return NotExcluded
}
