// Package config reads the settings files of the programs. A file is YAML; an
// unknown key, a wrong type or unit and a contradiction are rejected with file,
// line and remedy before anything starts.
package config
