package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// FileError is a settings error with its place. Line is 0 if the file as a
// whole is meant.
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

// FieldError is a value that Check rejects. Path is the YAML path of the value
// ("$.audit.retention"); Detail names the remedy.
type FieldError struct {
	Path   string
	Detail string
}

func (e *FieldError) Error() string {
	return strings.TrimPrefix(e.Path, "$.") + ": " + e.Detail
}

func field(path, format string, args ...any) error {
	return &FieldError{Path: "$." + path, Detail: fmt.Sprintf(format, args...)}
}

// valueError is a value that cannot be read.
type valueError struct {
	node   ast.Node
	detail string
}

func (e *valueError) Error() string { return e.detail }

// locateDecode gives a decoding error its line.
func locateDecode(file string, err error) error {
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

// locateField gives each FieldError within err its line, or that of the nearest
// part of its path that the file has.
func locateField(file string, text []byte, err error) error {
	joined, ok := err.(interface{ Unwrap() []error })
	if ok {
		var all []error
		for _, e := range joined.Unwrap() {
			all = append(all, locateField(file, text, e))
		}
		return errors.Join(all...)
	}
	var f *FieldError
	if !errors.As(err, &f) {
		return &FileError{File: file, Detail: err.Error()}
	}
	return &FileError{File: file, Line: lineOf(text, f.Path), Detail: f.Error()}
}

func lineOf(text []byte, path string) int {
	for path != "$" && path != "" {
		p, err := yaml.PathString(path)
		if err == nil {
			if node, err := p.ReadNode(strings.NewReader(string(text))); err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}
