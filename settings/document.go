package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// DocumentError is a fault in a document, with its place.
type DocumentError struct {
	File string
	// Line counts from 1; 0 if no line can be named, for instance for a
	// resource that the document leaves out.
	Line int
	Err  error
}

// Error gives "file:line: fault".
func (e *DocumentError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %v", e.File, e.Err)
	}
	return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Err)
}

// Unwrap gives the fault.
func (e *DocumentError) Unwrap() error { return e.Err }

// ParseDocument turns a declarative YAML document into the operations that
// lead from base to it. name is the file's name in errors. The document has
// the sections branches, pools, pipelines, services and workspaces. A section
// that is present is complete: what it does not list is removed. A section
// that is absent stays as it is. Errors are joined *DocumentError values.
func ParseDocument(name string, doc []byte, base *Tree) ([]Op, error) {
	d, err := readDocument(name, doc)
	if err != nil {
		return nil, err
	}
	ops := d.ops(base)
	if len(ops) == 0 {
		return nil, nil
	}
	if _, faults := base.edit(ops, base.version+1, true); len(faults) > 0 {
		return nil, d.locate(faults)
	}
	return ops, nil
}

// document is a parsed document. A nil section was absent.
type document struct {
	file       string
	branches   map[string]map[Key]string
	pools      *section[Pool]
	pipelines  *section[Pipeline]
	services   *section[Service]
	workspaces *section[Workspace]
	// lines maps subjects of faults, and subjects with keys, to lines.
	lines map[place]int
	errs  []error
}

// place is a subject of a fault with one of its keys, or with "".
type place struct{ subject, key string }

// section is one list of resources.
type section[T any] struct {
	items []*T
	names map[string]bool
}

func readDocument(name string, doc []byte) (*document, error) {
	d := &document{file: name, lines: map[place]int{}}
	f, err := parser.ParseBytes(doc, 0)
	if err != nil {
		return nil, d.syntax(err)
	}
	if len(f.Docs) != 1 || f.Docs[0].Body == nil {
		return nil, &DocumentError{File: name, Err: fmt.Errorf("it has %d YAML documents with content; give one", len(f.Docs))}
	}
	for _, v := range d.mapping(f.Docs[0].Body, "the document") {
		d.section(v)
	}
	if len(d.errs) > 0 {
		return nil, errors.Join(d.errs...)
	}
	return d, nil
}

// syntax reports an error of the YAML library in one line.
func (d *document) syntax(err error) error {
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

func (d *document) fail(line int, format string, args ...any) {
	d.errs = append(d.errs, &DocumentError{File: d.file, Line: line, Err: fmt.Errorf(format, args...)})
}

func (d *document) section(v *ast.MappingValueNode) {
	switch key := text(v.Key); key {
	case "branches":
		d.readBranches(v.Value)
	case "pools":
		d.pools = readSection(d, "pool", v.Value, func(p *Pool) string { return p.Name })
	case "pipelines":
		d.pipelines = readSection(d, "pipeline", v.Value, func(p *Pipeline) string { return p.Name })
	case "services":
		d.services = readSection(d, "service", v.Value, func(s *Service) string { return s.Name })
	case "workspaces":
		d.workspaces = readSection(d, "workspace", v.Value, func(w *Workspace) string { return w.Name })
	default:
		d.fail(line(v.Key), "section %q is not known; use branches, pools, pipelines, services or workspaces", key)
	}
}

func (d *document) readBranches(n ast.Node) {
	d.branches = map[string]map[Key]string{}
	for _, b := range d.mapping(n, "branches") {
		path := text(b.Key)
		where := branchSubject(path)
		d.lines[place{where, ""}] = line(b.Key)
		values := map[Key]string{}
		for _, v := range d.mapping(b.Value, where) {
			key := text(v.Key)
			if !scalar(v.Value) {
				d.fail(line(v.Key), "%s, %s: the value is not a single value; write it on the same line", where, key)
				continue
			}
			values[Key(key)] = text(v.Value)
			d.lines[place{where, key}] = line(v.Key)
		}
		d.branches[path] = values
	}
}

func readSection[T any](d *document, kind string, n ast.Node, nameOf func(*T) string) *section[T] {
	s := &section[T]{names: map[string]bool{}}
	if isNull(n) {
		return s
	}
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		d.fail(line(n), "%ss: it is not a list; write each item as '- name: ...'", kind)
		return s
	}
	for _, item := range list.Values {
		v := new(T)
		if err := yaml.NodeToValue(item, v, yaml.Strict()); err != nil {
			d.errs = append(d.errs, d.syntax(err))
			continue
		}
		name := nameOf(v)
		if s.names[name] {
			d.fail(line(item), "%s: it is listed twice; remove one", subject(kind, name))
			continue
		}
		s.names[name] = true
		s.items = append(s.items, v)
		d.index(subject(kind, name), item)
	}
	return s
}

// index notes the lines of an item, its fields and, of a pipeline, its stages.
func (d *document) index(where string, item ast.Node) {
	d.lines[place{where, ""}] = line(item)
	for _, field := range d.mapping(item, where) {
		key := text(field.Key)
		d.lines[place{where, key}] = line(field.Key)
		list, ok := field.Value.(*ast.SequenceNode)
		if key != "stages" || !ok {
			continue
		}
		for _, stage := range list.Values {
			for _, v := range d.mapping(stage, where) {
				if text(v.Key) == "name" {
					d.lines[place{where, "stage " + text(v.Value)}] = line(stage)
				}
			}
		}
	}
}

// mapping gives the values of a mapping; none for an empty node.
func (d *document) mapping(n ast.Node, what string) []*ast.MappingValueNode {
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
		d.fail(line(n), "%s: it is not a mapping; write 'name: value' lines", what)
		return nil
	}
	seen := map[string]bool{}
	for _, v := range values {
		key := text(v.Key)
		if seen[key] {
			d.fail(line(v.Key), "%s: %q is set twice; remove one", what, key)
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

func scalar(n ast.Node) bool {
	switch n.(type) {
	case *ast.StringNode, *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return true
	}
	return false
}

// text gives a scalar as it is written, without quotes.
func text(n ast.Node) string {
	if s, ok := n.(*ast.StringNode); ok {
		return s.Value
	}
	if t := n.GetToken(); t != nil {
		return t.Value
	}
	return ""
}

// line gives the line at which a node begins.
func line(n ast.Node) int {
	switch m := n.(type) {
	case *ast.MappingNode:
		if len(m.Values) > 0 {
			return line(m.Values[0].Key)
		}
	case *ast.MappingValueNode:
		return line(m.Key)
	}
	if t := n.GetToken(); t != nil && t.Position != nil {
		return t.Position.Line
	}
	return 0
}

// locate gives the faults their lines.
func (d *document) locate(faults Faults) error {
	errs := make([]error, len(faults))
	for i, f := range faults {
		errs[i] = &DocumentError{File: d.file, Line: d.lineOf(f), Err: f}
	}
	return errors.Join(errs...)
}

func (d *document) lineOf(f *Fault) int {
	if n, ok := d.lines[place{f.Subject, f.Key}]; ok {
		return n
	}
	if n, ok := d.lines[place{f.Subject, ""}]; ok {
		return n
	}
	// Faults of a part carry the part after the subject: `pipeline "x", stage`.
	where, _, _ := strings.Cut(f.Subject, ", ")
	return d.lines[place{where, ""}]
}

// ops gives the operations from base to the document: first what is put,
// then what is deleted, from the bound to what they are bound to.
func (d *document) ops(base *Tree) []Op {
	var ops []Op
	ops = append(ops, d.values(base)...)
	ops = append(ops, puts(d.pools, base.pools, func(a, b *Pool) bool { return *a == *b },
		func(p *Pool) Op { return Op{Kind: PutPool, Pool: p} })...)
	ops = append(ops, puts(d.pipelines, base.pipelines, equalPipelines,
		func(p *Pipeline) Op { return Op{Kind: PutPipeline, Pipeline: p} })...)
	ops = append(ops, puts(d.services, base.services, equalServices,
		func(s *Service) Op { return Op{Kind: PutService, Service: s} })...)
	ops = append(ops, puts(d.workspaces, base.workspaces, equalWorkspaces,
		func(w *Workspace) Op { return Op{Kind: PutWorkspace, Workspace: w} })...)
	ops = append(ops, deletes(d.workspaces, base.workspaces, DeleteWorkspace)...)
	ops = append(ops, deletes(d.services, base.services, DeleteService)...)
	ops = append(ops, deletes(d.pipelines, base.pipelines, DeletePipeline)...)
	return append(ops, deletes(d.pools, base.pools, DeletePool)...)
}

func (d *document) values(base *Tree) []Op {
	if d.branches == nil {
		return nil
	}
	var ops []Op
	for _, path := range sortedMapKeys(d.branches) {
		b := base.root.at(path)
		for _, key := range sortedMapKeys(d.branches[path]) {
			value := d.branches[path][key]
			if b != nil {
				if old, ok := b.find(key); ok && old.value == value {
					continue
				}
			}
			ops = append(ops, Op{Kind: SetValue, Branch: path, Key: key, Value: value})
		}
	}
	for _, path := range base.Branches() {
		for _, old := range base.Values(path) {
			if _, kept := d.branches[path][old.Key]; !kept {
				ops = append(ops, Op{Kind: UnsetValue, Branch: path, Key: old.Key})
			}
		}
	}
	return ops
}

func puts[T any](s *section[T], base trie[*T], equal func(a, b *T) bool, op func(*T) Op) []Op {
	if s == nil {
		return nil
	}
	var ops []Op
	for _, v := range s.items {
		o := op(v)
		if old, ok := base.get(o.resourceName()); ok && equal(old, v) {
			continue
		}
		ops = append(ops, o)
	}
	return ops
}

func deletes[T any](s *section[T], base trie[*T], kind OpKind) []Op {
	if s == nil {
		return nil
	}
	var ops []Op
	for _, name := range base.sortedKeys() {
		if !s.names[name] {
			ops = append(ops, Op{Kind: kind, Name: name})
		}
	}
	return ops
}

// resourceName gives the name of the resource that a put or delete is about.
func (o *Op) resourceName() string {
	switch {
	case o.Pool != nil:
		return o.Pool.Name
	case o.Pipeline != nil:
		return o.Pipeline.Name
	case o.Service != nil:
		return o.Service.Name
	case o.Workspace != nil:
		return o.Workspace.Name
	}
	return o.Name
}

func equalPipelines(a, b *Pipeline) bool {
	return a.Name == b.Name && slices.Equal(a.Stages, b.Stages)
}

func equalServices(a, b *Service) bool {
	return a.Name == b.Name && a.Pool == b.Pool && slices.Equal(a.RepeatableOps, b.RepeatableOps)
}

func equalWorkspaces(a, b *Workspace) bool {
	return a.Name == b.Name && a.Branch == b.Branch && slices.Equal(a.TokenSHA256, b.TokenSHA256) &&
		slices.Equal(a.Pipelines, b.Pipelines) && slices.Equal(a.Services, b.Services)
}

func sortedMapKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
