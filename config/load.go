package config

import (
	"bytes"
	"errors"
	"io"
	"os"

	"github.com/goccy/go-yaml"
)

// Settings is the settings type of a program.
type Settings interface {
	*Entry | *Control | *Deployed
	// Check reports values that are missing, invalid or contradictory, each with
	// a remedy.
	Check() error
}

// Read reads a settings file into s, which holds the defaults, and checks the
// result. The error is a *FileError or several of them joined.
func Read[S Settings](path string, s S) error {
	yamlText, err := os.ReadFile(path)
	if err != nil {
		return &FileError{File: path, Detail: err.Error() + "; give the path of a settings file"}
	}
	return parse(path, yamlText, s)
}

func parse[S Settings](file string, yamlText []byte, s S) error {
	d := yaml.NewDecoder(bytes.NewReader(yamlText), yaml.Strict())
	switch err := d.Decode(s); {
	case errors.Is(err, io.EOF):
		return &FileError{File: file, Detail: "the file is empty; begin with a copy from examples/"}
	case err != nil:
		return locateDecodeError(file, err)
	}
	var extra any
	if err := d.Decode(&extra); !errors.Is(err, io.EOF) {
		return &FileError{File: file, Detail: "the file has a second YAML document; remove it"}
	}
	if err := s.Check(); err != nil {
		return locateFieldErrors(file, yamlText, err)
	}
	return nil
}
