// Package logger creates the structured logger of a process. Only changes of state are logged;
// frequent events are counted as metrics by package meter.
package logger

import (
	"fmt"
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Config configures a logger.
type Config struct {
	// Writer receives the lines.
	Writer io.Writer
	// Format is "logfmt" or "json".
	Format string
	// Level is "debug", "info", "warn" or "error".
	Level string
}

// New returns a logger that adds a time and the given fields to each line.
func New(cfg Config, fields ...any) (log.Logger, error) {
	var l log.Logger
	w := log.NewSyncWriter(cfg.Writer)
	switch cfg.Format {
	case "", "logfmt":
		l = log.NewLogfmtLogger(w)
	case "json":
		l = log.NewJSONLogger(w)
	default:
		return nil, fmt.Errorf("log format %q is not one of logfmt, json", cfg.Format)
	}
	if cfg.Level == "" {
		cfg.Level = "info"
	}
	v, err := level.Parse(cfg.Level)
	if err != nil {
		return nil, fmt.Errorf("log level %q is not one of debug, info, warn, error", cfg.Level)
	}
	l = level.NewFilter(l, level.Allow(v))
	l = log.With(l, "time", log.DefaultTimestampUTC)
	return log.With(l, fields...), nil
}

// Info logs a line at level info. It ignores write errors, since there is nowhere to report them.
func Info(l log.Logger, fields ...any) { _ = level.Info(l).Log(fields...) }

// Warn logs a line at level warn. It ignores write errors, as Info does.
func Warn(l log.Logger, fields ...any) { _ = level.Warn(l).Log(fields...) }
