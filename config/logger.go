package config

import (
	"io"

	"github.com/phuslu/log"
)

// LoggerFactory creates loggers that write log lines as JSON. It is safe for
// concurrent use.
type LoggerFactory struct {
	logger *log.Logger
}

// NewLoggerFactory returns a factory whose loggers write messages of the given
// level ("debug", "info", "warn" or "error") and above to w.
func NewLoggerFactory(level Text, w io.Writer) *LoggerFactory {
	return &LoggerFactory{logger: &log.Logger{
		Level:  log.ParseLevel(string(level)),
		Writer: log.IOWriter{Writer: w},
	}}
}

// Logger returns the logger of a component. It prefixes each message with the
// component's name and a colon.
func (f *LoggerFactory) Logger(component string) *Logger {
	return &Logger{logger: f.logger, prefix: component + ": "}
}

// Logger is the logger of a component. Its methods take fields as alternating
// keys and values. It is safe for concurrent use.
type Logger struct {
	logger *log.Logger
	prefix string
}

// Debug logs details for troubleshooting.
func (l *Logger) Debug(msg string, fields ...any) { l.write(l.logger.Debug(), msg, fields) }

// Info logs a normal event.
func (l *Logger) Info(msg string, fields ...any) { l.write(l.logger.Info(), msg, fields) }

// Warn logs an event that the process handles but operators should know about.
func (l *Logger) Warn(msg string, fields ...any) { l.write(l.logger.Warn(), msg, fields) }

// Error logs an event that requires action by an operator.
func (l *Logger) Error(msg string, fields ...any) { l.write(l.logger.Error(), msg, fields) }

func (l *Logger) write(e *log.Entry, msg string, fields []any) {
	// e is nil if the level is disabled; its methods accept a nil receiver.
	e.KeysAndValues(fields...).Msg(l.prefix + msg)
}
