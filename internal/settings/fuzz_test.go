package settings

import (
	"net/netip"
	"testing"

	"marigoldshunt/internal/fault"
)

// FuzzParse guards against a settings file that causes a panic or an error other than
// InvalidSettings, and against accepted settings without usable addresses or key.
func FuzzParse(f *testing.F) {
	f.Add(minimal)
	f.Add(defaultTOML)
	f.Add(minimal + "data_folder = \"x\"\n[caller_limits]\nmax_connections = -1\n")
	f.Add("host = 1\n[[control_hosts]]\n")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := parse("fuzz", "", text)
		if err != nil {
			if fault.CodeOf(err) != fault.InvalidSettings {
				t.Fatalf("error without the code InvalidSettings: %v", err)
			}
			return
		}
		for _, a := range []string{s.CallerAddress, s.AdminAddress, s.PeerAddress} {
			if _, err := netip.ParseAddrPort(a); err != nil {
				t.Fatalf("accepted address %q: %v", a, err)
			}
		}
		if s.Host == "" || len(s.PeerKey) < 32 || len(s.ControlHosts) == 0 {
			t.Fatalf("accepted incomplete settings: %+v", s)
		}
	})
}
