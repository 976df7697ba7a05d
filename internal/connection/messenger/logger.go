package messenger

import (
	"fmt"

	"github.com/charmbracelet/log"
)

// engineLogger passes the log messages of gnet to the node's logger.
type engineLogger struct {
	log *log.Logger
}

// Debugf logs at debug level.
func (l engineLogger) Debugf(format string, args ...any) {
	l.log.Debug("engine", "message", fmt.Sprintf(format, args...))
}

// Infof logs at debug level, because gnet's informational messages are of no use
// to operators.
func (l engineLogger) Infof(format string, args ...any) { l.Debugf(format, args...) }

// Warnf logs a warning.
func (l engineLogger) Warnf(format string, args ...any) {
	l.log.Warn("engine", "message", fmt.Sprintf(format, args...))
}

// Errorf logs an error.
func (l engineLogger) Errorf(format string, args ...any) {
	l.log.Error("engine", "message", fmt.Sprintf(format, args...))
}

// Fatalf logs an error; it does not end the process.
func (l engineLogger) Fatalf(format string, args ...any) { l.Errorf(format, args...) }
