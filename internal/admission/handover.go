package admission

import (
	"time"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/wire"
)

// announce sends the messages about requests that have not ended meanwhile. An owner that
// learns of a request after its end would count it until the gate drops it as lost.
func (a *Admission) announce(list []handover) {
	for _, m := range list {
		a.mu.Lock()
		_, running := a.admitted[m.request.Seq]
		a.mu.Unlock()
		if running {
			a.sendRequest(m.owner, m.request)
		}
	}
}

// handover is an admitted request of which the owner of its gate has to be told.
type handover struct {
	owner   string
	request *wire.AdmissionRequest
}

// ownedGatesLocked returns the gates that belong to this host by its list of hosts.
func (a *Admission) ownedGatesLocked() (owned []catalog.Key) {
	for k := range a.gates {
		if a.ownerLocked(k) == a.opts.Host {
			owned = append(owned, k)
		}
	}
	return owned
}

// forgetLeavingLocked empties those gates that now belong to another host, which all hosts tell of
// their requests. Only gates that leave are emptied: a host that knows the new list sooner may have told
// this one already of the requests of a gate that comes.
func (a *Admission) forgetLeavingLocked(owned []catalog.Key) {
	for _, k := range owned {
		if a.ownerLocked(k) != a.opts.Host {
			a.gates[k].Forget()
		}
	}
}

// handoversLocked updates the owner of each admitted request whose gate has a new one, and
// returns the messages that tell the new owners about these requests. An owner that did not
// know of them would send more to a busy engine.
func (a *Admission) handoversLocked() (list []handover) {
	for _, p := range a.admitted {
		owner := a.ownerLocked(p.key)
		if owner == p.owner {
			continue
		}
		p.owner, p.announcedAt = owner, a.opts.Now()
		m := a.requestMessage(p)
		m.Admitted, m.Read, m.RequestID = true, p.read, ""
		list = append(list, handover{owner, m})
	}
	return list
}

// confirmInterval is how often the owner is told that the request still runs.
func (p *Permit) confirmInterval() time.Duration {
	if p.read || !dispatch.HasEngine(p.request.Slots, p.request.MemoryTokens) {
		return dispatch.ConfirmInterval
	}
	return dispatch.UnreadConfirmInterval
}

// confirmationsLocked returns the messages by which the owners keep counting the admitted
// requests of this host. Without them an owner can't tell a long stream from a request whose
// host has died. They leave out the prompt, which the owner knows.
func (a *Admission) confirmationsLocked(now time.Time) (list []handover) {
	for _, p := range a.admitted {
		if now.Sub(p.announcedAt) < p.confirmInterval() {
			continue
		}
		p.announcedAt = now
		m := a.requestMessage(p)
		m.Admitted, m.Read, m.Parts, m.RequestID = true, p.read, nil, ""
		list = append(list, handover{p.owner, m})
	}
	return list
}
