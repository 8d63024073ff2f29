package peer

import (
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

const (
	// MaxMessageBytes bounds a message. Two of that size fit into a send queue.
	MaxMessageBytes = 8 << 20
	// fragmentBytes is the size of the fragments of a message that does not fit into a frame. Each
	// one has the time limits of a frame, so that a slow link does not cut a large message.
	fragmentBytes = 256 << 10
)

// fragments splits a message that is too large for a frame.
func fragments(kind wire.Kind, payload []byte) []wire.Fragment {
	var out []wire.Fragment
	for len(payload) > 0 {
		n := min(len(payload), fragmentBytes)
		out = append(out, wire.Fragment{Kind: kind, Part: len(out), Last: n == len(payload), Data: payload[:n]})
		payload = payload[n:]
	}
	return out
}

// reassembly joins the fragments that arrive on one connection. They arrive in order, and those of
// two messages are not mixed.
type reassembly struct {
	data []byte
	next int
}

// add returns the whole message after its last fragment, and nil before. Fragments whose first ones
// were lost with an earlier session are discarded. It returns FrameTooLarge for a message above MaxMessageBytes.
func (r *reassembly) add(f wire.Fragment) (payload []byte, err error) {
	if f.Part == 0 {
		*r = reassembly{}
	}
	if f.Part != r.next {
		return nil, nil
	}
	r.next++
	if len(r.data)+len(f.Data) > MaxMessageBytes {
		return nil, fault.New(fault.FrameTooLarge, "", "message of more than %d bytes", MaxMessageBytes)
	}
	r.data = append(r.data, f.Data...)
	if !f.Last {
		return nil, nil
	}
	payload, *r = r.data, reassembly{}
	return payload, nil
}
