package config

import (
	"os"
	"testing"

	"marigoldshunt/internal/fault"
)

// FuzzParseFile guards against a configuration file that causes a panic, an error other
// than InvalidConfig, or changes that name no object.
func FuzzParseFile(f *testing.F) {
	for _, name := range []string{"vunimoli", "chimehollow", "demo"} {
		data, err := os.ReadFile("../../examples/" + name + ".toml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("[[pool]]\nname = 1\n[policy]\nkeep_for = 3\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		changes, err := ParseFile("fuzz", data)
		if err != nil {
			if fault.CodeOf(err) != fault.InvalidConfig {
				t.Fatalf("error is not InvalidConfig: %v", err)
			}
			return
		}
		for _, change := range changes {
			if _, err := change.Ref(); err != nil {
				t.Fatalf("change does not name exactly one object: %v", err)
			}
		}
	})
}
