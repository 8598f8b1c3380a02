package settings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// DocumentError is an error in a settings document, with its position.
type DocumentError struct {
	File string
	// Line counts from 1. It is 0 if the error has no line, for instance for
	// a resource that is missing from the document.
	Line int
	Err  error
}

// Error returns the error as "file:line: message".
func (e *DocumentError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %v", e.File, e.Err)
	}
	return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Err)
}

// Unwrap returns the underlying error.
func (e *DocumentError) Unwrap() error { return e.Err }

// ParseDocument parses a declarative YAML document and returns the operations
// that change base to match it. name is the file name used in errors. The
// document may have the sections branches, pools, pipelines, services and
// workspaces. A section that is present is complete: items of base that it
// does not list are deleted. Items of an absent section are left unchanged.
// The error is a *DocumentError or several of them joined.
func ParseDocument(name string, doc []byte, base *Tree) ([]Op, error) {
	d, err := readDocument(name, doc)
	if err != nil {
		return nil, err
	}
	ops := d.ops(base)
	if len(ops) == 0 {
		return nil, nil
	}
	if _, violations := base.applyOps(ops, base.version+1, true); len(violations) > 0 {
		return nil, d.withLines(violations)
	}
	return ops, nil
}

// document is a parsed document. Absent sections are nil.
type document struct {
	file       string
	branches   map[string]map[Key]string
	pools      *resourceSection[Pool]
	pipelines  *resourceSection[Pipeline]
	services   *resourceSection[Service]
	workspaces *resourceSection[Workspace]
	// lines maps the subjects of violations and their keys to line numbers.
	lines map[location]int
	errs  []error
}

// location identifies a key of a violation's subject, or the subject itself if
// key is empty.
type location struct{ subject, key string }

// resourceSection is the list of resources in one section.
type resourceSection[T any] struct {
	items []*T
	names map[string]bool
}

func readDocument(name string, doc []byte) (*document, error) {
	d := &document{file: name, lines: map[location]int{}}
	f, err := parser.ParseBytes(doc, 0)
	if err != nil {
		return nil, d.syntaxError(err)
	}
	if len(f.Docs) != 1 || f.Docs[0].Body == nil {
		return nil, &DocumentError{File: name, Err: fmt.Errorf("the file has %d YAML documents; provide exactly one that is not empty", len(f.Docs))}
	}
	for _, v := range d.mappingValues(f.Docs[0].Body, "the document") {
		d.readSection(v)
	}
	if len(d.errs) > 0 {
		return nil, errors.Join(d.errs...)
	}
	return d, nil
}

// syntaxError converts an error of the YAML library to a *DocumentError with a
// message of one line.
func (d *document) syntaxError(err error) error {
	line := 0
	message := err.Error()
	var y yaml.Error
	if errors.As(err, &y) {
		message = y.GetMessage()
		if t := y.GetToken(); t != nil {
			line = t.Position.Line
		}
	}
	message, _, _ = strings.Cut(message, "\n")
	return &DocumentError{File: d.file, Line: line, Err: errors.New(message)}
}

func (d *document) addError(line int, format string, args ...any) {
	d.errs = append(d.errs, &DocumentError{File: d.file, Line: line, Err: fmt.Errorf(format, args...)})
}

func (d *document) readSection(v *ast.MappingValueNode) {
	switch key := scalarText(v.Key); key {
	case "branches":
		d.readBranches(v.Value)
	case "pools":
		d.pools = readResources(d, "pool", v.Value, func(p *Pool) string { return p.Name })
	case "pipelines":
		d.pipelines = readResources(d, "pipeline", v.Value, func(p *Pipeline) string { return p.Name })
	case "services":
		d.services = readResources(d, "service", v.Value, func(s *Service) string { return s.Name })
	case "workspaces":
		d.workspaces = readResources(d, "workspace", v.Value, func(w *Workspace) string { return w.Name })
	default:
		d.addError(startLine(v.Key), "section %q is not known; use branches, pools, pipelines, services or workspaces", key)
	}
}

func (d *document) readBranches(n ast.Node) {
	d.branches = map[string]map[Key]string{}
	for _, b := range d.mappingValues(n, "branches") {
		path := scalarText(b.Key)
		subject := branchSubject(path)
		d.lines[location{subject, ""}] = startLine(b.Key)
		values := map[Key]string{}
		for _, v := range d.mappingValues(b.Value, subject) {
			key := scalarText(v.Key)
			if !isScalar(v.Value) {
				d.addError(startLine(v.Key), "%s, %s: the value is not a single value; write it on the same line", subject, key)
				continue
			}
			values[Key(key)] = scalarText(v.Value)
			d.lines[location{subject, key}] = startLine(v.Key)
		}
		d.branches[path] = values
	}
}

func readResources[T any](d *document, kind string, n ast.Node, nameOf func(*T) string) *resourceSection[T] {
	s := &resourceSection[T]{names: map[string]bool{}}
	if isNull(n) {
		return s
	}
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addError(startLine(n), "%ss: it is not a list; write each item as '- name: ...'", kind)
		return s
	}
	for _, item := range list.Values {
		v := new(T)
		if err := yaml.NodeToValue(item, v, yaml.Strict()); err != nil {
			d.errs = append(d.errs, d.syntaxError(err))
			continue
		}
		name := nameOf(v)
		if s.names[name] {
			d.addError(startLine(item), "%s: it is listed twice; remove one", resourceSubject(kind, name))
			continue
		}
		s.names[name] = true
		s.items = append(s.items, v)
		d.indexLines(resourceSubject(kind, name), item)
	}
	return s
}

// indexLines records the line numbers of a resource, of its fields and, for a
// pipeline, of its stages.
func (d *document) indexLines(subject string, item ast.Node) {
	d.lines[location{subject, ""}] = startLine(item)
	for _, field := range d.mappingValues(item, subject) {
		key := scalarText(field.Key)
		d.lines[location{subject, key}] = startLine(field.Key)
		list, ok := field.Value.(*ast.SequenceNode)
		if key != "stages" || !ok {
			continue
		}
		for _, stage := range list.Values {
			for _, v := range d.mappingValues(stage, subject) {
				if scalarText(v.Key) == "name" {
					d.lines[location{subject, "stage " + scalarText(v.Value)}] = startLine(stage)
				}
			}
		}
	}
}

// mappingValues returns the entries of a mapping, or nil for an empty node. It
// adds an error if n is not a mapping or has duplicate keys.
func (d *document) mappingValues(n ast.Node, subject string) []*ast.MappingValueNode {
	if isNull(n) {
		return nil
	}
	var values []*ast.MappingValueNode
	switch m := n.(type) {
	case *ast.MappingNode:
		values = m.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{m}
	default:
		d.addError(startLine(n), "%s: it is not a mapping; write 'name: value' lines", subject)
		return nil
	}
	seen := map[string]bool{}
	for _, v := range values {
		key := scalarText(v.Key)
		if seen[key] {
			d.addError(startLine(v.Key), "%s: %q is set twice; remove one", subject, key)
		}
		seen[key] = true
	}
	return values
}

func isNull(n ast.Node) bool {
	if n == nil {
		return true
	}
	_, null := n.(*ast.NullNode)
	return null
}

func isScalar(n ast.Node) bool {
	switch n.(type) {
	case *ast.StringNode, *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return true
	}
	return false
}

// scalarText returns a scalar as it is written, without quotes.
func scalarText(n ast.Node) string {
	if s, ok := n.(*ast.StringNode); ok {
		return s.Value
	}
	if t := n.GetToken(); t != nil {
		return t.Value
	}
	return ""
}

// startLine returns the line on which a node begins, or 0 if it is unknown.
func startLine(n ast.Node) int {
	switch m := n.(type) {
	case *ast.MappingNode:
		if len(m.Values) > 0 {
			return startLine(m.Values[0].Key)
		}
	case *ast.MappingValueNode:
		return startLine(m.Key)
	}
	if t := n.GetToken(); t != nil && t.Position != nil {
		return t.Position.Line
	}
	return 0
}

// withLines wraps each violation in a *DocumentError with its line.
func (d *document) withLines(violations Violations) error {
	errs := make([]error, len(violations))
	for i, v := range violations {
		errs[i] = &DocumentError{File: d.file, Line: d.lineOf(v), Err: v}
	}
	return errors.Join(errs...)
}

func (d *document) lineOf(v *Violation) int {
	if n, ok := d.lines[location{v.Subject, v.Key}]; ok {
		return n
	}
	if n, ok := d.lines[location{v.Subject, ""}]; ok {
		return n
	}
	// The subject of a nested part has a suffix, as in `pipeline "x", stage`.
	subject, _, _ := strings.Cut(v.Subject, ", ")
	return d.lines[location{subject, ""}]
}
