package config

import (
	"crypto/sha256"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

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

// FuzzRoutingPatch guards against a patch that causes a panic, takes up all memory, or gives another
// document than the one that it names.
func FuzzRoutingPatch(f *testing.F) {
	c := qt.New(f)
	from := patchRouting(c, 4, patchDocument(6))
	for _, routes := range []int{0, 5, 6, 9} {
		encoded, err := msgpack.Marshal(NewRoutingPatch(from, patchRouting(c, 5, patchDocument(routes))))
		c.Assert(err, qt.IsNil)
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var p RoutingPatch
		if msgpack.Unmarshal(encoded, &p) != nil {
			return
		}
		p.From = from.id()
		to, err := p.Apply(from)
		if err == nil && (to.Digest != sha256.Sum256(to.Source) || to.Version != p.To.Version) {
			t.Fatalf("version %d with another source", to.Version)
		}
	})
}
