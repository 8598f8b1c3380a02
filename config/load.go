package config

import (
	"bytes"
	"errors"
	"io"
	"os"

	"github.com/goccy/go-yaml"
)

// Settings are the settings of one program.
type Settings interface {
	*Entry | *Control | *Deployed
	// Check rejects values that cannot work, with a remedy.
	Check() error
}

// Read fills s, which holds the defaults, from a file and checks it. Every
// error is a *FileError or a join of them.
func Read[S Settings](path string, s S) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return &FileError{File: path, Detail: err.Error() + "; give the path of a settings file"}
	}
	return parse(path, text, s)
}

func parse[S Settings](file string, text []byte, s S) error {
	d := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	switch err := d.Decode(s); {
	case errors.Is(err, io.EOF):
		return &FileError{File: file, Detail: "the file is empty; begin with a copy from examples/"}
	case err != nil:
		return locateDecode(file, err)
	}
	var rest any
	if err := d.Decode(&rest); !errors.Is(err, io.EOF) {
		return &FileError{File: file, Detail: "the file has a second YAML document; remove it"}
	}
	if err := s.Check(); err != nil {
		return locateField(file, text, err)
	}
	return nil
}
