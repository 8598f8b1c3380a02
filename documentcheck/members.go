package documentcheck

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"damaskbridge.example/damaskbridge/catalog"
)

// unreadMembers returns a finding for each member that nothing reads: it may be
// misspelt. The document is valid.
func (f *Format) unreadMembers(body []byte) []catalog.Finding {
	var document any
	if json.Unmarshal(body, &document) != nil {
		return nil
	}
	return f.walk("the document", document, f.Members)
}

// walk looks at a value that is decoded into type t.
func (f *Format) walk(subject string, value any, t reflect.Type) []catalog.Finding {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch v := value.(type) {
	case []any:
		return f.walkList(subject, v, t)
	case map[string]any:
		return f.walkObject(subject, v, t)
	}
	return nil
}

func (f *Format) walkList(subject string, list []any, t reflect.Type) []catalog.Finding {
	if t.Kind() != reflect.Slice {
		return nil
	}
	var findings []catalog.Finding
	for _, v := range list {
		findings = append(findings, f.walk(subject, v, t.Elem())...)
	}
	return findings
}

func (f *Format) walkObject(subject string, object map[string]any, t reflect.Type) []catalog.Finding {
	if t.Kind() != reflect.Struct {
		return nil
	}
	if name, ok := object["name"].(string); ok {
		subject = fmt.Sprintf("%s %q", subject, name)
	}
	members := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		members[name] = t.Field(i).Type
	}
	var findings []catalog.Finding
	for _, name := range slices.Sorted(maps.Keys(object)) {
		member, read := members[name]
		switch {
		case read:
			findings = append(findings, f.walk(name, object[name], member)...)
		case !slices.Contains(f.OthersRead[t], name):
			findings = append(findings, catalog.Finding{Kind: catalog.NeverUsed, Subject: subject, Reason: fmt.Sprintf("nothing reads its member %q", name), Remedy: "correct its name or remove it"})
		}
	}
	return findings
}
