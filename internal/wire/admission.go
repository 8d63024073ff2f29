package wire

import "time"

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// AdmissionRequest asks the owner of an engine's admission gate to admit a request.
type AdmissionRequest struct {
	Seq uint64
	// ID and Born identify the engine.
	ID      string
	Born    int64
	Service string
	// Slots and MemoryTokens are the capacity of the engine.
	Slots, MemoryTokens int
	Parts               []PromptPart
	Tokens              int
	// AimLeft is the time until the first event is due. EndLeft is the time until the
	// deadline of the request.
	AimLeft, EndLeft time.Duration
	// Rank is the urgency of the request. It depends on how much of its share the account has
	// received. 0 is the most urgent.
	Rank uint8
	// Admitted is true when the engine has the request already. The message then informs a
	// new owner of the gate or confirms that the request still runs, and there is no
	// AdmissionReply. Read is true when the engine
	// has read the prompt.
	Admitted, Read          bool
	AdmissionRequestDetails `msgpack:"-"`
}

// AdmissionRequestDetails are the extension of an AdmissionRequest.
type AdmissionRequestDetails struct {
	// RequestID is the caller's id for the owner's log line about a refusal, empty without one.
	RequestID string
	// LastAttempt is true when a refusal ends the request, because it asks no other engine.
	LastAttempt bool
}

// Extension returns the extension of the message, nil if there is nothing to add.
func (m AdmissionRequest) Extension() any {
	if m.AdmissionRequestDetails == (AdmissionRequestDetails{}) {
		return nil
	}
	return m.AdmissionRequestDetails
}

// ExtensionTarget returns what the extension of the message is decoded into.
func (m *AdmissionRequest) ExtensionTarget() any { return &m.AdmissionRequestDetails }

// AdmissionReply answers an AdmissionRequest. After a reply with Queued set, a second one
// follows.
type AdmissionReply struct {
	Seq             uint64
	Granted, Queued bool
	Wait            time.Duration
	// Refusal is nil unless the request was refused, and for refusals by older hosts. It is
	// the extension of the message.
	Refusal *GateRefusal `msgpack:"-"`
}

// Extension returns the extension of the message, nil if there is nothing to add.
func (m AdmissionReply) Extension() any {
	if m.Refusal == nil {
		return nil
	}
	return m.Refusal
}

// ExtensionTarget returns what the extension of the message is decoded into.
func (m *AdmissionReply) ExtensionTarget() any {
	m.Refusal = &GateRefusal{}
	return m.Refusal
}

// GateRefusal is what decided that a request was refused. See dispatch.Refusal.
type GateRefusal struct {
	Reason                             uint8
	Expected, Limit                    time.Duration
	UnreadTokens, QueuedTokens, Tokens int
	Waiting, Running                   int
	PerMs                              float64
}

// AdmissionProgress tells the owner of a gate that an admitted or waiting request has had
// its first event or has ended.
type AdmissionProgress struct {
	Seq  uint64
	ID   string
	Born int64
	// Done is false for the first event and true for the end of the request.
	Done bool
	// RateLimit is nil unless the response to the request said something new about the rate
	// limit. It is the extension of the message.
	RateLimit *RateLimit `msgpack:"-"`
}

// RateLimit is the number of requests per second that an upstream takes from all hosts, 0 for no
// limit.
type RateLimit struct{ PerSecond float64 }

// Extension returns the extension of the message, nil if there is nothing to add.
func (m AdmissionProgress) Extension() any {
	if m.RateLimit == nil {
		return nil
	}
	return m.RateLimit
}

// ExtensionTarget returns what the extension of the message is decoded into.
func (m *AdmissionProgress) ExtensionTarget() any {
	m.RateLimit = &RateLimit{}
	return m.RateLimit
}

// AdmissionUnreachable tells the owner of a gate that a host could not connect to the engine.
type AdmissionUnreachable struct {
	// ID and Born identify the engine.
	ID   string
	Born int64
	// ColdPerSecond is the number of requests that the engine takes from all hosts in a second after its start, 0
	// for no limit, and WarmUpTime how long that lasts.
	ColdPerSecond float64
	WarmUpTime    time.Duration
}
