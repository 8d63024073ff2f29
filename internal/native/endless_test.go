package native

import (
	"context"
	"testing"

	"marigoldshunt/internal/endlesstest"
)

// Guards against a list of instances whose bytes never end and that fills a host's memory,
// keeps the reader from its next read, or keeps a connection open.
func TestEndlessInstanceList(t *testing.T) {
	endlesstest.TestInstanceList(t, func(ctx context.Context, address string) error {
		_, err := Adapter{}.InstanceSource(address).Instances(ctx)
		return err
	})
}
