package wire

import "time"

// Instance is one entry of the list of upstream instances.
type Instance struct {
	ID         string
	Born       int64
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Draining   bool
	ColdFor    time.Duration
}

// Catalog identifies the list of instances that the sender read last and says how long
// ago. The list itself is omitted for hosts that are expected to have it.
type Catalog struct {
	// Digest identifies the content of the list.
	Digest    uint64
	Age       time.Duration
	HasList   bool
	Instances []Instance
	// Versions are the software versions of the instances. They are the extension of the message.
	Versions []string `msgpack:"-"`
}

// Extension returns the extension of the message, nil if there is nothing to add.
func (m Catalog) Extension() any {
	if len(m.Versions) == 0 {
		return nil
	}
	return m.Versions
}

// ExtensionTarget returns what the extension of the message is decoded into.
func (m *Catalog) ExtensionTarget() any { return &m.Versions }

// CatalogRequest asks for a Catalog with the list of instances.
type CatalogRequest struct{}

// CatalogCheck asks another host whether it has the same list of instances.
type CatalogCheck struct {
	// Seq is returned with the answer.
	Seq uint64
	// Digest identifies the sender's list, and is 0 if it has none.
	Digest uint64
}

// CatalogState answers a CatalogCheck. It has the list if the sender's differs.
type CatalogState struct {
	Seq     uint64
	Catalog Catalog
	// Versions are those of the Catalog, because the extension of a nested message isn't encoded.
	Versions []string
}
