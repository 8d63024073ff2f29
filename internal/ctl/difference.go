package ctl

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"marigoldshunt/internal/config"
)

// durationFields are the fields that are shown with a unit. In JSON they are nanoseconds.
var durationFields = map[string]bool{"max_run": true, "max_wait": true, "keep_for": true, "claim_retention": true}

// objectFields returns the fields of the object that a change sets, without its revision.
func objectFields(change config.Change) map[string]any {
	if change.Routing != nil {
		return routingSummary(change.Routing)
	}
	change.IfRevision = 0
	data, err := json.Marshal(change)
	if err != nil {
		return nil
	}
	var outer map[string]any
	if json.Unmarshal(data, &outer) != nil {
		return nil
	}
	for _, v := range outer {
		if fields, ok := v.(map[string]any); ok {
			delete(fields, "revision")
			return fields
		}
	}
	return nil
}

// difference lists the fields that differ, or returns the empty string.
func difference(old, wanted map[string]any) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(wanted)) {
		if !equalValues(old[k], wanted[k]) {
			parts = append(parts, fmt.Sprintf("%s %s -> %s", k, formatValue(k, old[k]), formatValue(k, wanted[k])))
		}
	}
	return strings.Join(parts, ", ")
}

// equalValues compares JSON values. An absent list equals an empty one.
func equalValues(a, b any) bool {
	empty := func(v any) bool {
		l, ok := v.([]any)
		return v == nil || ok && len(l) == 0
	}
	return empty(a) && empty(b) || reflect.DeepEqual(a, b)
}

// summary lists the fields that are neither empty nor false, without the name or account of
// the object.
func summary(fields map[string]any) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(fields)) {
		if v := fields[k]; !equalValues(v, nil) && v != false && v != "" && k != "name" && k != "account" {
			parts = append(parts, k+"="+formatValue(k, v))
		}
	}
	return strings.Join(parts, " ")
}

func formatValue(key string, v any) string {
	switch x := v.(type) {
	case nil:
		return "[]"
	case float64:
		if durationFields[key] {
			return time.Duration(x).String()
		}
		return formatNumber(x)
	case string:
		return x
	}
	data, err := json.Marshal(v)
	if err != nil {
		return "?"
	}
	return string(data)
}
