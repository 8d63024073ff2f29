package wire

// StreamID identifies a stream by its account and by the id of the request that brought its first
// event.
type StreamID uint64

// StreamChange records where streams began, and asks where others did.
type StreamChange struct {
	// Listed are the software versions in the list of instances, for services where they have
	// changed.
	Listed []ServiceVersions
	Begun  []BegunStreams
	Asked  []StreamID
}

// ServiceVersions are the software versions of the instances of a service, sorted.
type ServiceVersions struct {
	Service  string
	Versions []string
	// Settled is set in answers. It is true if there is one version, and has been the only one
	// for longer than the beginning of a stream is remembered.
	Settled bool
}

// BegunStreams are streams that began at one version of a service.
type BegunStreams struct {
	Service, Version string
	IDs              []StreamID
}

// StreamOrigin is where a stream began.
type StreamOrigin struct {
	ID               StreamID
	Service, Version string
}

// StreamAnswer answers a StreamChange.
type StreamAnswer struct {
	// Known are those of the streams asked for whose beginning is known.
	Known    []StreamOrigin
	Services []ServiceVersions
}
