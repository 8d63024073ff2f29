package frontend

import (
	"encoding/json"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
)

const (
	chatPath    = "/v1/chat/completions"
	eventStream = "text/event-stream"
	// inputBytesPerCostUnit is the number of bytes of a request that are estimated to cost
	// one unit: 8 input tokens of 4 bytes.
	inputBytesPerCostUnit = 4 * 8
)

// chatBody is the part of a chat request that this package reads.
type chatBody struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// chat serves POST /v1/chat/completions.
func (s *Server) chat(r *request) error {
	var b chatBody
	if err := json.Unmarshal(r.body, &b); err != nil {
		return fault.New(fault.BadRequest, fault.NotRun, "the body is not a chat request: %v", err)
	}
	if b.Model == "" {
		return fault.New(fault.BadRequest, fault.NotRun, "the field model is required")
	}
	if err := r.choosePool(b.Model, config.KindModel); err != nil {
		return err
	}
	c := r.newCall(chatPath)
	c.Stream = b.Stream
	if c.ContentType == "" {
		c.ContentType = "application/json"
	}
	c.Idempotent = true
	c.PrefixDigest = prefixDigest(r.account, b.Model, b.promptPrefix())
	c.InputCost = float64(len(r.body)) / inputBytesPerCostUnit
	return s.serveCall(r, c)
}

// promptPrefix returns the beginning of the messages, with their roles.
func (b *chatBody) promptPrefix() []byte {
	var p []byte
	for _, m := range b.Messages {
		p = append(p, m.Role...)
		p = append(p, 0)
		p = append(p, m.Content[:min(len(m.Content), maxPrefixBytes)]...)
		p = append(p, 0)
		if len(p) >= maxPrefixBytes {
			break
		}
	}
	return p
}

// choosePool sets the pool. It must exist, be of the given kind and be in the contract.
func (r *request) choosePool(name string, kind config.PoolKind) error {
	p, ok := r.cfg.Pools[name]
	if !ok || p.Kind != kind {
		return fault.New(fault.PoolUnknown, fault.NotRun, "there is no %s pool %q", kind, name)
	}
	if !r.poolAllowed(name) {
		return fault.New(fault.PoolNotAllowed, fault.NotRun, "the contract does not include pool %q", name)
	}
	r.pool = p
	return nil
}
