package hostlist

import (
	"context"
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/endlesstest"
	"marigoldshunt/internal/fault"
)

// Guards against a list of hosts whose bytes never end and that fills a host's memory, keeps
// the reader from its next read, or keeps a connection open.
func TestEndlessHostList(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	endlesstest.ListReader{
		Read: func(_ context.Context, address string) error {
			return New(Options{Source: "http://" + address + "/hosts", Log: log}).Poll()
		},
		Empty: "[]", FailureCode: fault.NotFound, Timeout: 2 * fetchTimeout, MaxHeapGrowth: 24 << 20,
	}.Test(t)
}
