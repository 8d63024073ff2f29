package catalog

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a list in the project's own form that one odd entry makes unreadable.
func TestOddEntriesDoNotHideTheOthers(t *testing.T) {
	const good = `{"id":"i1","service":"s","address":"10.0.0.9:8080","slots":4}`
	for _, odd := range []string{
		strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000), `{"id":i1}`, strings.Replace(good, ":4}", ":1e999}", 1), strings.Replace(good, ":8080", ":99999", 1),
		strings.Replace(good, ":4}", `:4,"cold_for_ms":9223372036854775807}`, 1), strings.Replace(good, ":4}", ":-1}", 1), `7`,
	} {
		c := qt.New(t)
		list, err := DecodeEntries([]byte(`{"instances":[` + odd + `,` + good + `]}`))
		c.Assert(err, qt.IsNil)
		c.Assert(list, qt.HasLen, 1, qt.Commentf("%.80s", odd))
		c.Assert(list[0].ID, qt.Equals, "i1")
	}
}

// Guards against bytes that end the process, and against readable lists that are changed.
func FuzzDropUnreadable(f *testing.F) {
	for _, seed := range []string{`{"instances":[{"id":"a"},oops,"\"]"],"next":1}`, `{"instances":[`, `{"instances":[]}`, `{"instances" : [1,{"a":[`, `"instances":]`, ``} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, page []byte) {
		before := bytes.Clone(page)
		out := DropUnreadable(page)
		if !bytes.Equal(page, before) {
			t.Fatal("the page was changed in place")
		}
		if json.Valid(page) && !bytes.Equal(out, page) {
			t.Fatalf("a readable list became %q", out)
		}
		_, _ = DecodeEntries(page) // must not panic
	})
}
