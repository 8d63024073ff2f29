package daemon

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// Guards against a host that loses the list of upstreams without a line in its log.
func TestLostUpstreamListIsLogged(t *testing.T) {
	c := qt.New(t)
	log, hook := logtest.NewNullLogger()
	heard := time.Unix(1_000, 0)
	role := &catalogRole{log: log, heardAt: heard}
	for _, after := range []time.Duration{time.Second, 3 * time.Second, 4 * time.Second} {
		role.logSilence(heard.Add(after))
	}
	role.heardAt = heard.Add(5 * time.Second)
	role.logSilence(heard.Add(5100 * time.Millisecond))
	var got []string
	for _, e := range hook.AllEntries() {
		got = append(got, e.Message)
	}
	c.Assert(got, qt.DeepEquals, []string{"Upstream list lost. No read of it is heard of.", "Upstream list reached."})
}
