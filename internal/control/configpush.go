package control

import (
	"marigoldshunt/internal/config"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wire"
)

// maxConfigMessages bounds the encoded configurations that the leader keeps. Nearly all hosts need
// the same one.
const maxConfigMessages = 8

// configMessages holds the encoded messages that bring hosts to one revision, so that a change is
// encoded once for all hosts.
type configMessages struct {
	revision uint64
	// changes holds the changes since earlier revisions. whole is the complete configuration.
	changes map[configRecipient][]byte
	whole   []byte
}

// configRecipient is what the changes for a host depend on.
type configRecipient struct {
	revision uint64
	patches  bool
}

// pushConfig sends a host what it lacks of the configuration. While an earlier part is on its way,
// it sends nothing: pushRest sends the rest.
func (n *Node) pushConfig(host string, answered *answeredHost) {
	revision := n.state.Config().Revision
	if answered.revision >= revision || n.chunks.busy(host, wire.KindRenewAck) {
		return
	}
	payload := n.configMessage(configRecipient{answered.revision, answered.patches})
	if payload == nil {
		return
	}
	answered.revision, answered.pushedAt = revision, n.now
	n.sendEncoded(host, wire.KindRenewAck, payload)
}

// pushRest sends a host the changes that were made during a transfer to it.
func (n *Node) pushRest(host string) {
	if answered := n.lead.answeredHosts[host]; answered != nil && n.isActiveLeader() {
		n.pushConfig(host, answered)
	}
}

// configMessage returns the encoded changes that a host lacks or, if they are no longer kept, the
// whole configuration. It returns nil if as many hosts as allowed got the latter in this tick.
func (n *Node) configMessage(to configRecipient) []byte {
	m := &n.lead.configMessages
	if revision := n.state.Config().Revision; m.revision != revision || m.changes == nil {
		*m = configMessages{revision: revision, changes: map[configRecipient][]byte{}}
	}
	if payload, ok := m.changes[to]; ok {
		return payload
	}
	if delta, ok := n.state.Delta(to.revision); ok {
		if len(m.changes) >= maxConfigMessages {
			clear(m.changes)
		}
		m.changes[to] = n.encodeConfig(n.changesFor(to, delta))
		return m.changes[to]
	}
	if n.configsSent >= maxConfigsPerTick {
		return nil
	}
	n.configsSent++
	if m.whole == nil {
		m.whole = n.encodeConfig(wire.RenewAck{Snapshot: n.state.Config()})
	}
	return m.whole
}

// changesFor returns a message with a delta, and with patches in place of the routing document if
// the host has an earlier one and understands them.
func (n *Node) changesFor(to configRecipient, delta *config.Delta) wire.RenewAck {
	if to.patches {
		if patches, ok := n.state.RoutingPatches(to.revision); ok {
			return wire.RenewAck{Delta: state.WithoutRouting(delta), Patches: patches}
		}
	}
	return wire.RenewAck{Delta: delta}
}

// encodeConfig completes and encodes a message with a configuration. It returns nil on failure.
func (n *Node) encodeConfig(m wire.RenewAck) []byte {
	m.Leader, m.Term, m.Revision = n.opts.Host, n.term, n.state.Config().Revision
	payload, err := wire.Marshal(m)
	if err != nil {
		n.opts.Log.WithError(err).Error("Failed to encode the configuration.")
		return nil
	}
	return payload
}
