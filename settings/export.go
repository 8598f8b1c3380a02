package settings

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Document returns the settings as a YAML document for ParseDocument. Parsed
// against an empty tree, it yields the operations that create these settings;
// parsed against t, it yields none. Equal settings return equal documents. All
// sections are present, so that removing a resource from the document deletes
// it.
func (t *Tree) Document() []byte {
	w := &documentWriter{}
	w.writeBranches(t)
	w.writePools(t.Pools())
	w.writePipelines(t.Pipelines())
	w.writeServices(t.Services())
	w.writeWorkspaces(t.Workspaces())
	return w.out.Bytes()
}

// documentWriter writes YAML without the YAML library, which does not quote
// some valid names, such as "---", so that they are not read back as strings.
type documentWriter struct {
	out bytes.Buffer
}

func (w *documentWriter) writeLine(format string, args ...any) {
	fmt.Fprintf(&w.out, format, args...)
	w.out.WriteByte('\n')
}

// writeHeading writes the key of a section with n items, followed by empty if n
// is 0.
func (w *documentWriter) writeHeading(name string, n int, empty string) {
	if n == 0 {
		w.writeLine("%s: %s", name, empty)
		return
	}
	w.writeLine("%s:", name)
}

func (w *documentWriter) writeBranches(t *Tree) {
	paths := t.Branches()
	w.writeHeading("branches", len(paths), "{}")
	for _, path := range paths {
		w.writeLine("  %s:", quoteScalar(path))
		for _, op := range t.Values(path) {
			w.writeLine("    %s: %s", quoteScalar(string(op.Key)), quoteScalar(op.Value))
		}
	}
}

func (w *documentWriter) writePools(all []Pool) {
	w.writeHeading("pools", len(all), "[]")
	for _, p := range all {
		w.writeLine("  - name: %s", quoteScalar(p.Name))
		w.writeLine("    kind: %s", quoteScalar(string(p.Kind)))
		if p.ChecksFencing {
			w.writeLine("    checks_fencing: true")
		}
	}
}

func (w *documentWriter) writePipelines(all []Pipeline) {
	w.writeHeading("pipelines", len(all), "[]")
	for _, p := range all {
		w.writeLine("  - name: %s", quoteScalar(p.Name))
		w.writeLine("    stages:")
		for _, s := range p.Stages {
			w.writeStage(&s)
		}
	}
}

func (w *documentWriter) writeStage(s *Stage) {
	w.writeLine("      - name: %s", quoteScalar(s.Name))
	w.writeLine("        kind: %s", quoteScalar(string(s.Kind)))
	w.writeLine("        pool: %s", quoteScalar(s.Pool))
	if s.Model != "" {
		w.writeLine("        model: %s", quoteScalar(s.Model))
	}
	if s.Adapter != "" {
		w.writeLine("        adapter: %s", quoteScalar(s.Adapter))
	}
}

func (w *documentWriter) writeServices(all []Service) {
	w.writeHeading("services", len(all), "[]")
	for _, s := range all {
		w.writeLine("  - name: %s", quoteScalar(s.Name))
		w.writeLine("    pool: %s", quoteScalar(s.Pool))
		w.writeList("repeatable_ops", s.RepeatableOps)
	}
}

func (w *documentWriter) writeWorkspaces(all []Workspace) {
	w.writeHeading("workspaces", len(all), "[]")
	for _, s := range all {
		w.writeLine("  - name: %s", quoteScalar(s.Name))
		w.writeLine("    branch: %s", quoteScalar(s.Branch))
		w.writeList("token_sha256", s.TokenSHA256)
		w.writeList("pipelines", s.Pipelines)
		w.writeList("services", s.Services)
	}
}

func (w *documentWriter) writeList(name string, items []string) {
	if len(items) == 0 {
		return
	}
	quoted := make([]string, len(items))
	for i, item := range items {
		quoted[i] = quoteScalar(item)
	}
	w.writeLine("    %s: [%s]", name, strings.Join(quoted, ", "))
}

// quoteScalar returns a YAML scalar that is read back as the string s. Names
// that start with a letter are not quoted, unless YAML reads them as a value of
// another type.
func quoteScalar(s string) string {
	if s == "" || !isLetter(s[0]) {
		return strconv.Quote(s)
	}
	for i := range len(s) {
		if !isNameByte(s[i]) && s[i] != '/' {
			return strconv.Quote(s)
		}
	}
	switch strings.ToLower(s) {
	case "true", "false", "yes", "no", "on", "off", "y", "n", "null":
		return strconv.Quote(s)
	}
	return s
}

func isLetter(c byte) bool { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') }
