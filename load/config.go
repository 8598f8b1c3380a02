package load

import (
	"errors"
	"fmt"
	"os"

	"github.com/goccy/go-yaml"
)

// LoadOptions reads the options of a run from a file. An unknown key is an
// error that names the file, the line and the key. The options are not checked
// yet, so that flags can change them.
func LoadOptions(path string) (Options, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Options{}, fmt.Errorf("load settings: %w", err)
	}
	var o Options
	if err := yaml.UnmarshalWithOptions(data, &o, yaml.Strict()); err != nil {
		return Options{}, fmt.Errorf("%s: %w", path, errors.New(yaml.FormatError(err, false, true)))
	}
	return o, nil
}
