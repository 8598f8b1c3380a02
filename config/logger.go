package config

import (
	"io"

	"github.com/phuslu/log"
)

// LoggerFactory writes log lines as JSON. It is safe for concurrent use.
type LoggerFactory struct {
	logger *log.Logger
}

// NewLoggerFactory returns a Logs that writes messages of the given level ("debug",
// "info", "warn" or "error") and above to w.
func NewLoggerFactory(level Text, w io.Writer) *LoggerFactory {
	return &LoggerFactory{logger: &log.Logger{
		Level:  log.ParseLevel(string(level)),
		Writer: log.IOWriter{Writer: w},
	}}
}

// Logger returns the logger of a component. It prefixes each message with the
// component's name and a colon.
func (l *LoggerFactory) Logger(component string) *Logger {
	return &Logger{logger: l.logger, prefix: component + ": "}
}

// Logger is the logger of a component. Its methods take fields as alternating
// keys and values. It is safe for concurrent use.
type Logger struct {
	logger *log.Logger
	prefix string
}

// Debug logs details for troubleshooting.
func (c *Logger) Debug(msg string, fields ...any) { c.write(c.logger.Debug(), msg, fields) }

// Info logs a normal event.
func (c *Logger) Info(msg string, fields ...any) { c.write(c.logger.Info(), msg, fields) }

// Warn logs an event that the process handles but operators should know about.
func (c *Logger) Warn(msg string, fields ...any) { c.write(c.logger.Warn(), msg, fields) }

// Error logs an event that requires action by an operator.
func (c *Logger) Error(msg string, fields ...any) { c.write(c.logger.Error(), msg, fields) }

func (c *Logger) write(e *log.Entry, msg string, fields []any) {
	// e is nil if the level is disabled; its methods accept a nil receiver.
	e.KeysAndValues(fields...).Msg(c.prefix + msg)
}
