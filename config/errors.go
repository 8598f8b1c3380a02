package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// FileError is an error in a settings file, with its position. Line is 0 if the
// error concerns the whole file.
type FileError struct {
	File   string
	Line   int
	Detail string
}

func (e *FileError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Detail)
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Detail)
}

// FieldError is an invalid value found by Check. Path is the YAML path of the
// value ("$.audit.retention"); Detail includes the remedy.
type FieldError struct {
	Path   string
	Detail string
}

func (e *FieldError) Error() string {
	return strings.TrimPrefix(e.Path, "$.") + ": " + e.Detail
}

func newFieldError(path, format string, args ...any) error {
	return &FieldError{Path: "$." + path, Detail: fmt.Sprintf(format, args...)}
}

// valueError is a value that cannot be parsed.
type valueError struct {
	node   ast.Node
	detail string
}

func (e *valueError) Error() string { return e.detail }

// locateDecodeError converts a decoding error to a *FileError with its line and
// a remedy.
func locateDecodeError(file string, err error) error {
	var value *valueError
	if errors.As(err, &value) {
		return &FileError{File: file, Line: value.node.GetToken().Position.Line, Detail: value.detail}
	}
	var syntax yaml.Error
	if !errors.As(err, &syntax) {
		return &FileError{File: file, Detail: err.Error()}
	}
	detail := syntax.GetMessage()
	var unknown *yaml.UnknownFieldError
	var malformed *yaml.SyntaxError
	var wrongType *yaml.TypeError
	switch {
	case errors.As(err, &unknown):
		detail += "; remove it or correct its name, see examples/"
	case errors.As(err, &malformed) && strings.Contains(detail, "already defined"):
		detail += "; keep one of the two"
	case errors.As(err, &malformed):
		detail += "; correct the YAML syntax here or just before"
	case errors.As(err, &wrongType):
		detail += "; write a value of the expected type"
	}
	line := 0
	if t := syntax.GetToken(); t != nil && t.Position != nil {
		line = t.Position.Line
	}
	return &FileError{File: file, Line: line, Detail: detail}
}

// locateFieldErrors converts each FieldError in err to a *FileError. Its line is
// that of the value or, if the file does not have the value, that of its closest
// ancestor.
func locateFieldErrors(file string, yamlText []byte, err error) error {
	joined, ok := err.(interface{ Unwrap() []error })
	if ok {
		var all []error
		for _, e := range joined.Unwrap() {
			all = append(all, locateFieldErrors(file, yamlText, e))
		}
		return errors.Join(all...)
	}
	var f *FieldError
	if !errors.As(err, &f) {
		return &FileError{File: file, Detail: err.Error()}
	}
	return &FileError{File: file, Line: lineOf(yamlText, f.Path), Detail: f.Error()}
}

// lineOf returns the line of the YAML path or of its closest existing ancestor,
// or 0 if there is none.
func lineOf(yamlText []byte, path string) int {
	for path != "$" && path != "" {
		p, err := yaml.PathString(path)
		if err == nil {
			if node, err := p.ReadNode(strings.NewReader(string(yamlText))); err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}
