package catalog

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Change is a difference between two catalogs.
type Change struct {
	Subject string `json:"subject"`
	// What is "added", "removed", or the fields that differ.
	What string `json:"what"`
}

func (c Change) String() string { return c.Subject + ": " + c.What }

// Compare returns what differs from one catalog to another, without the versions.
func Compare(from, to *Catalog) []Change {
	changes := compareByName("route", from.Routes, to.Routes, func(r *Route) string { return r.Name })
	changes = append(changes, compareByName("service", from.Services, to.Services, func(s *Service) string { return s.Name })...)
	changes = append(changes, compareByName("workspace", from.Workspaces, to.Workspaces, func(w *Workspace) string { return w.Name })...)
	if fields := differingFields(from.Limits, to.Limits); len(fields) > 0 {
		changes = append(changes, Change{Subject: "limits", What: "changed: " + strings.Join(fields, ", ")})
	}
	return changes
}

// compareByName compares the entries of two lists that have the same name.
func compareByName[T any](kind string, from, to []T, name func(*T) string) []Change {
	before := map[string]*T{}
	for i := range from {
		before[name(&from[i])] = &from[i]
	}
	var changes []Change
	seen := map[string]bool{}
	for i := range to {
		n := name(&to[i])
		seen[n] = true
		subject := fmt.Sprintf("%s %q", kind, n)
		old, known := before[n]
		if !known {
			changes = append(changes, Change{Subject: subject, What: "added"})
			continue
		}
		if fields := differingFields(*old, to[i]); len(fields) > 0 {
			changes = append(changes, Change{Subject: subject, What: "changed: " + strings.Join(fields, ", ")})
		}
	}
	for i := range from {
		if n := name(&from[i]); !seen[n] {
			changes = append(changes, Change{Subject: fmt.Sprintf("%s %q", kind, n), What: "removed"})
		}
	}
	return changes
}

// differingFields returns the fields of a struct that differ, with both values. Keys
// of workspaces are counted, not shown.
func differingFields(from, to any) []string {
	a, b := reflect.ValueOf(from), reflect.ValueOf(to)
	var fields []string
	for i := range a.NumField() {
		x, y := a.Field(i).Interface(), b.Field(i).Interface()
		if reflect.DeepEqual(x, y) {
			continue
		}
		name := a.Type().Field(i).Name
		if keys, secret := x.([]string); secret {
			fields = append(fields, describeKeys(name, keys, y.([]string)))
			continue
		}
		fields = append(fields, fmt.Sprintf("%s %v -> %v", name, show(x), show(y)))
	}
	return fields
}

func describeKeys(name string, from, to []string) string {
	missing := func(list, other []string) (n int) {
		for _, k := range list {
			if !slices.Contains(other, k) {
				n++
			}
		}
		return n
	}
	return fmt.Sprintf("%s %d added, %d removed", name, missing(to, from), missing(from, to))
}

// show returns what a pointer points to.
func show(v any) any {
	if p := reflect.ValueOf(v); p.Kind() == reflect.Pointer && !p.IsNil() {
		return p.Elem().Interface()
	}
	return v
}
