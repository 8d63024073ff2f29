package config

import "strings"

// Edit is one step that builds a list from an earlier one: it copies Count elements of the earlier
// list from index From, and then adds the elements of Insert.
type Edit[T any] struct {
	From   int `msgpack:"f"`
	Count  int `msgpack:"c"`
	Insert []T `msgpack:"i"`
}

// newEdits returns the edits that build next from old. Elements that have moved are found by their
// key; of several old elements with one key, the first counts.
func newEdits[T any, K comparable](old, next []T, key func(*T) K, equal func(a, b *T) bool) []Edit[T] {
	var edits []Edit[T]
	var index map[K]int
	expected := 0
	for i := range next {
		at := expected
		if !holds(old, at, &next[i], equal) {
			if index == nil {
				index = indexOf(old, key)
			}
			found, ok := index[key(&next[i])]
			if !ok || !equal(&old[found], &next[i]) {
				if len(edits) == 0 {
					edits = append(edits, Edit[T]{})
				}
				last := &edits[len(edits)-1]
				last.Insert = append(last.Insert, next[i])
				expected++ // the element replaces that at its place, if the following ones are unchanged
				continue
			}
			at = found
		}
		expected = at + 1
		if n := len(edits); n > 0 && len(edits[n-1].Insert) == 0 && edits[n-1].From+edits[n-1].Count == at {
			edits[n-1].Count++
			continue
		}
		edits = append(edits, Edit[T]{From: at, Count: 1})
	}
	return edits
}

func holds[T any](list []T, at int, v *T, equal func(a, b *T) bool) bool {
	return at < len(list) && equal(&list[at], v)
}

func indexOf[T any, K comparable](list []T, key func(*T) K) map[K]int {
	index := make(map[K]int, len(list))
	for i := range list {
		k := key(&list[i])
		if _, exists := index[k]; !exists {
			index[k] = i
		}
	}
	return index
}

// applyEdits builds a list from an earlier one. ok is false if an edit names elements that old does
// not have, or the list would have more than limit elements.
func applyEdits[T any](old []T, edits []Edit[T], limit int) (next []T, ok bool) {
	total := 0
	for _, e := range edits {
		if e.From < 0 || e.Count < 0 || e.From > len(old) || e.Count > len(old)-e.From {
			return nil, false
		}
		if total += e.Count + len(e.Insert); total > limit {
			return nil, false
		}
	}
	if total == 0 {
		return nil, true
	}
	next = make([]T, 0, total)
	for _, e := range edits {
		next = append(next, old[e.From:e.From+e.Count]...)
		next = append(next, e.Insert...)
	}
	return next, true
}

// maxSegmentBytes bounds the segments of a source that has no ends of objects or lines.
const maxSegmentBytes = 512

// editSource returns the edits that build the source next from old. It compares them by segments
// that end where an object or a line ends, because operators add and change whole objects.
func editSource(old, next []byte) []Edit[byte] {
	oldSegments, nextSegments := segments(string(old)), segments(string(next))
	offsets := make([]int, len(oldSegments)+1)
	for i, s := range oldSegments {
		offsets[i+1] = offsets[i] + len(s)
	}
	same := func(s *string) string { return *s }
	edits := newEdits(oldSegments, nextSegments, same, func(a, b *string) bool { return *a == *b })
	out := make([]Edit[byte], len(edits))
	for i, e := range edits {
		from, end := offsets[e.From], offsets[e.From+e.Count]
		out[i] = Edit[byte]{From: from, Count: end - from, Insert: []byte(strings.Join(e.Insert, ""))}
	}
	return out
}

func segments(source string) []string {
	out := make([]string, 0, len(source)/64)
	start := 0
	for i := range len(source) {
		if b := source[i]; b == '}' || b == '\n' || i-start == maxSegmentBytes-1 {
			out = append(out, source[start:i+1])
			start = i + 1
		}
	}
	if start < len(source) {
		out = append(out, source[start:])
	}
	return out
}
