// Package config reads the YAML settings files of the programs. Unknown keys,
// wrong types or units, and contradictory values are reported with file, line
// and remedy.
package config
