package catalog

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"time"
)

// Bounds of what an entry may say.
const (
	maxSlots   = 1 << 20
	maxColdFor = 24 * time.Hour
)

// Usable reports whether the entry describes an instance to which requests can be sent.
func (i Instance) Usable() bool {
	address, err := netip.ParseAddrPort(i.Address)
	return err == nil && address.Port() != 0 && i.ID != "" && i.Service != "" && i.Born >= 0 &&
		i.Slots >= 0 && i.Slots <= maxSlots && i.ColdFor >= 0 && i.ColdFor <= maxColdFor
}

// DropUnreadable returns a JSON object without the elements of its array instances that are not valid
// JSON or nested too deeply: other writers may leave such entries in the list, and the JSON package
// refuses a text as a whole. It returns other texts as they are.
func DropUnreadable(page []byte) []byte {
	if json.Valid(page) {
		return page
	}
	begin := arrayBegin(page)
	if begin < 0 {
		return page
	}
	elements, end := splitArray(page, begin)
	if end < 0 {
		return page
	}
	var readable [][]byte
	for _, e := range elements {
		if json.Valid(e) {
			readable = append(readable, e)
		}
	}
	out := append(bytes.Clone(page[:begin]), bytes.Join(readable, []byte(","))...)
	return append(out, page[end:]...)
}

// arrayBegin returns the index after the opening bracket of the array instances, -1 if there is none.
func arrayBegin(page []byte) int {
	key := []byte(`"instances"`)
	i := bytes.Index(page, key)
	if i < 0 {
		return -1
	}
	rest := bytes.TrimLeft(page[i+len(key):], " \t\r\n:")
	if len(rest) == 0 || rest[0] != '[' {
		return -1
	}
	return len(page) - len(rest) + 1
}

// splitArray returns the elements of the array whose first one begins at an index, and the index of
// its closing bracket, -1 if there is none.
func splitArray(page []byte, begin int) (elements [][]byte, end int) {
	depth, quoted, elementBegin := 0, false, begin
	for i := begin; i < len(page); i++ {
		switch c := page[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '[' || c == '{':
			depth++
		case depth > 0 && (c == ']' || c == '}'):
			depth--
		case depth == 0 && (c == ',' || c == ']'):
			elements = append(elements, page[elementBegin:i])
			elementBegin = i + 1
			if c == ']' {
				return elements, i
			}
		}
	}
	return nil, -1
}
