package discovery

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an answer with more addresses than callers take, and against hosts that no answer
// names because all answers leave out the same ones. The loss of one host must not exchange others.
func TestBoundedAnswersNameEveryHost(t *testing.T) {
	for _, hosts := range []int{1, 64, 65, 78, 200} {
		var addresses []string
		for i := range hosts {
			addresses = append(addresses, fmt.Sprintf("10.2.0.%d:8783", i))
		}
		named := map[string]int{}
		for i := range hosts {
			host := fmt.Sprintf("10.2.0.%d", i)
			answer := Bound(host, addresses)
			qt.Assert(t, answer, qt.HasLen, min(hosts, MaxGatewayAddresses))
			qt.Assert(t, Bound(host, addresses), qt.DeepEquals, answer)
			for _, a := range answer {
				named[a]++
			}
			lost := slices.Clone(addresses)
			lost = slices.DeleteFunc(lost, func(a string) bool { return a == answer[0] })
			changed := 0
			for _, a := range Bound(host, lost) {
				if !slices.Contains(answer, a) {
					changed++
				}
			}
			qt.Assert(t, changed <= 1, qt.IsTrue)
		}
		qt.Check(t, named, qt.HasLen, hosts)
		for a, n := range named {
			qt.Check(t, n*3 >= min(hosts, MaxGatewayAddresses), qt.IsTrue, qt.Commentf("%s is in %d of %d answers", a, n, hosts))
		}
	}
}
