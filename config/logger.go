package config

import (
	"io"

	"github.com/phuslu/log"
)

// Logs writes JSON lines. It is safe for concurrent use.
type Logs struct {
	logger *log.Logger
}

// NewLogs makes logs of one level ("debug", "info", "warn", "error") that go to
// w, which is standard error in the programs.
func NewLogs(level Text, w io.Writer) *Logs {
	return &Logs{logger: &log.Logger{
		Level:  log.ParseLevel(string(level)),
		Writer: log.IOWriter{Writer: w},
	}}
}

// For gives the log of one component. Each message begins with the component's
// name and a colon.
func (l *Logs) For(component string) *Component {
	return &Component{logger: l.logger, prefix: component + ": "}
}

// Component writes the log lines of one component. Fields are pairs of a key
// and a value. It is safe for concurrent use.
type Component struct {
	logger *log.Logger
	prefix string
}

// Debug logs detail for the search of a fault.
func (c *Component) Debug(msg string, fields ...any) { c.write(c.logger.Debug(), msg, fields) }

// Info logs a normal event.
func (c *Component) Info(msg string, fields ...any) { c.write(c.logger.Info(), msg, fields) }

// Warn logs an event that the process copes with and an operator should know.
func (c *Component) Warn(msg string, fields ...any) { c.write(c.logger.Warn(), msg, fields) }

// Error logs an event that needs an operator.
func (c *Component) Error(msg string, fields ...any) { c.write(c.logger.Error(), msg, fields) }

func (c *Component) write(e *log.Entry, msg string, fields []any) {
	// The entry is nil for a level that is off.
	e.KeysAndValues(fields...).Msg(c.prefix + msg)
}
