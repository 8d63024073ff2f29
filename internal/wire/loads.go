package wire

// InstanceLoad is the load that one host has on one upstream instance.
type InstanceLoad struct {
	// ID and Born identify the instance. Born is its start time in Unix milliseconds, 0 if
	// unknown. The same holds for the other messages with ID and Born.
	ID   string
	Born int64
	// Running is the number of requests in progress.
	Running int
	// Reading is the number of prompt tokens of the requests that still wait for their first
	// event.
	Reading int
}

// GateLoad is the load of one engine as seen by the host that owns its admission gate.
type GateLoad struct {
	ID   string
	Born int64
	// Backlog is the number of prompt tokens that the engine reads or that wait for
	// admission. Running is the number of admitted requests.
	Backlog int
	Running int
	// PerMs is the estimated speed of the engine in prompt tokens per millisecond.
	PerMs float64
}

// Loads reports the load of a host to other hosts.
type Loads struct {
	Instances []InstanceLoad
	Gates     []GateLoad
	// Rates are the token rates of the host's callers, by account.
	Rates map[string]AccountRate
	// Failures are recent results of instances of which some host has seen failures. They
	// stay in the host's data centre. They are the extension of the message.
	Failures []InstanceFailures `msgpack:"-"`
}

// Extension returns the extension of the message, nil if there is nothing to add.
func (m Loads) Extension() any { return failuresExtension(m.Failures) }

// ExtensionTarget returns what the extension of the message is decoded into.
func (m *Loads) ExtensionTarget() any { return &m.Failures }

func failuresExtension(list []InstanceFailures) any {
	if len(list) == 0 {
		return nil
	}
	return list
}

// InstanceFailures says how many of the latest requests to an instance failed. Both counts
// decay with time.
type InstanceFailures struct {
	ID              string
	Born            int64
	Failed, Results float32
}

// AccountRate is the rate that callers of one account request and the rate that they are
// served, in tokens per second.
type AccountRate struct{ Asked, Served float32 }

// LoadSum is the sum of the loads of all hosts in a data centre.
type LoadSum struct {
	DataCentre string
	Loads      Loads
}

// LoadSums are load sums sent by a relay, the host that adds up the loads of its data
// centre.
type LoadSums struct {
	List []LoadSum
	// Failures are those of the relay's data centre, for its members. They are the extension of
	// the message, because the extension of a nested Loads isn't encoded.
	Failures []InstanceFailures `msgpack:"-"`
}

// Extension returns the extension of the message, nil if there is nothing to add.
func (m LoadSums) Extension() any { return failuresExtension(m.Failures) }

// ExtensionTarget returns what the extension of the message is decoded into.
func (m *LoadSums) ExtensionTarget() any { return &m.Failures }
