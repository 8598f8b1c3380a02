package settings

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Document writes the settings as a document that ParseDocument reads: from an
// empty tree it leads to these settings, from this tree to no operation. Equal
// settings give equal documents. All sections are present, so that a resource
// which is taken out of the document is deleted.
func (t *Tree) Document() []byte {
	w := &documentWriter{}
	w.branches(t)
	w.pools(t.Pools())
	w.pipelines(t.Pipelines())
	w.services(t.Services())
	w.workspaces(t.Workspaces())
	return w.out.Bytes()
}

// documentWriter writes YAML by itself: the YAML library writes some valid
// names, such as "---", so that they read as something else.
type documentWriter struct {
	out bytes.Buffer
}

func (w *documentWriter) line(format string, args ...any) {
	fmt.Fprintf(&w.out, format, args...)
	w.out.WriteByte('\n')
}

// section writes the heading of a list or mapping of n items.
func (w *documentWriter) section(name string, n int, empty string) {
	if n == 0 {
		w.line("%s: %s", name, empty)
		return
	}
	w.line("%s:", name)
}

func (w *documentWriter) branches(t *Tree) {
	paths := t.Branches()
	w.section("branches", len(paths), "{}")
	for _, path := range paths {
		w.line("  %s:", quote(path))
		for _, op := range t.Values(path) {
			w.line("    %s: %s", quote(string(op.Key)), quote(op.Value))
		}
	}
}

func (w *documentWriter) pools(all []Pool) {
	w.section("pools", len(all), "[]")
	for _, p := range all {
		w.line("  - name: %s", quote(p.Name))
		w.line("    kind: %s", quote(string(p.Kind)))
		if p.ChecksFencing {
			w.line("    checks_fencing: true")
		}
	}
}

func (w *documentWriter) pipelines(all []Pipeline) {
	w.section("pipelines", len(all), "[]")
	for _, p := range all {
		w.line("  - name: %s", quote(p.Name))
		w.line("    stages:")
		for _, s := range p.Stages {
			w.stage(&s)
		}
	}
}

func (w *documentWriter) stage(s *Stage) {
	w.line("      - name: %s", quote(s.Name))
	w.line("        kind: %s", quote(string(s.Kind)))
	w.line("        pool: %s", quote(s.Pool))
	if s.Model != "" {
		w.line("        model: %s", quote(s.Model))
	}
	if s.Adapter != "" {
		w.line("        adapter: %s", quote(s.Adapter))
	}
}

func (w *documentWriter) services(all []Service) {
	w.section("services", len(all), "[]")
	for _, s := range all {
		w.line("  - name: %s", quote(s.Name))
		w.line("    pool: %s", quote(s.Pool))
		w.list("repeatable_ops", s.RepeatableOps)
	}
}

func (w *documentWriter) workspaces(all []Workspace) {
	w.section("workspaces", len(all), "[]")
	for _, s := range all {
		w.line("  - name: %s", quote(s.Name))
		w.line("    branch: %s", quote(s.Branch))
		w.list("token_sha256", s.TokenSHA256)
		w.list("pipelines", s.Pipelines)
		w.list("services", s.Services)
	}
}

func (w *documentWriter) list(name string, items []string) {
	if len(items) == 0 {
		return
	}
	quoted := make([]string, len(items))
	for i, item := range items {
		quoted[i] = quote(item)
	}
	w.line("    %s: [%s]", name, strings.Join(quoted, ", "))
}

// quote gives a scalar that YAML reads as this string. Words that start with a
// letter need no quotes unless they stand for a value of another type.
func quote(s string) string {
	if s == "" || !letter(s[0]) {
		return strconv.Quote(s)
	}
	for i := range len(s) {
		if !nameByte(s[i]) && s[i] != '/' {
			return strconv.Quote(s)
		}
	}
	switch strings.ToLower(s) {
	case "true", "false", "yes", "no", "on", "off", "y", "n", "null":
		return strconv.Quote(s)
	}
	return s
}

func letter(c byte) bool { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') }
