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
	changes map[configRecipient]*configMessage
	whole   map[wire.Capabilities]*configMessage
}

// configMessage is an encoded RenewAck with a configuration.
type configMessage struct {
	kind    wire.Kind
	payload []byte
}

// configRecipient is what the changes for a host depend on.
type configRecipient struct {
	revision     uint64
	capabilities wire.Capabilities
}

// pushConfig sends a host what it lacks of the configuration. While an earlier part is on its way,
// it sends nothing: pushRest sends the rest.
func (n *Node) pushConfig(host string, answered *answeredHost) {
	revision := n.state.Config().Revision
	if answered.revision >= revision || n.chunks.busy(host, pushKinds...) {
		return
	}
	m := n.configMessage(configRecipient{answered.revision, answered.capabilities})
	if m == nil {
		return
	}
	answered.revision, answered.pushedAt = revision, n.now
	n.sendEncoded(host, m.kind, m.payload)
}

// pushRest sends a host the changes that were made during a transfer to it.
func (n *Node) pushRest(host string) {
	if answered := n.lead.answeredHosts[host]; answered != nil && n.isActiveLeader() {
		n.pushConfig(host, answered)
	}
}

// configMessage returns the encoded changes that a host lacks or, if they are no longer kept, the
// whole configuration. It returns nil if as many hosts as allowed got the latter in this tick.
func (n *Node) configMessage(to configRecipient) *configMessage {
	m := &n.lead.configMessages
	if revision := n.state.Config().Revision; m.revision != revision || m.changes == nil {
		*m = configMessages{revision: revision, changes: map[configRecipient]*configMessage{}, whole: map[wire.Capabilities]*configMessage{}}
	}
	if known, ok := m.changes[to]; ok {
		return known
	}
	if delta, ok := n.state.Delta(to.revision); ok {
		if len(m.changes) >= maxConfigMessages {
			clear(m.changes)
		}
		m.changes[to] = n.encodeConfig(n.changesFor(to, delta), to.capabilities)
		return m.changes[to]
	}
	if n.configsSent >= maxConfigsPerTick {
		return nil
	}
	n.configsSent++
	if m.whole[to.capabilities] == nil {
		m.whole[to.capabilities] = n.encodeConfig(wire.RenewAck{Snapshot: n.state.Config()}, to.capabilities)
	}
	return m.whole[to.capabilities]
}

// changesFor returns a message with a delta, and with patches in place of the routing document if
// the host has an earlier one and understands them.
func (n *Node) changesFor(to configRecipient, delta *config.Delta) wire.RenewAck {
	if to.capabilities.RoutingPatches {
		if patches, ok := n.state.RoutingPatches(to.revision); ok {
			return wire.RenewAck{Delta: state.WithoutRouting(delta), Patches: patches}
		}
	}
	return wire.RenewAck{Delta: delta}
}

// compressedFrom is the size in bytes from which a configuration is compressed. Below it, the time
// for that costs more than the bytes.
const compressedFrom = 16 << 10

// encodeConfig completes and encodes a message with a configuration. It returns nil on failure.
func (n *Node) encodeConfig(m wire.RenewAck, to wire.Capabilities) *configMessage {
	m.Leader, m.Term, m.Revision = n.opts.Host, n.term, n.state.Config().Revision
	payload, err := wire.Marshal(m)
	if err != nil {
		n.opts.Log.WithError(err).Error("Failed to encode the configuration.")
		return nil
	}
	if !to.Compression || len(payload) < compressedFrom {
		return &configMessage{wire.KindRenewAck, payload}
	}
	compressed, err := wire.Compress(payload)
	if err != nil {
		n.opts.Log.WithError(err).Error("Failed to compress the configuration.")
		return nil
	}
	return &configMessage{wire.KindCompressedRenewAck, compressed}
}
