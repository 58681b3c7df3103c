package observe

import (
	"fmt"
	"io"

	"github.com/rs/zerolog"
)

// LogFormat is the format of log lines.
type LogFormat string

// Log formats.
const (
	LogJSON    LogFormat = "json"
	LogConsole LogFormat = "console"
)

// NewLogger returns a logger that writes lines with a timestamp to w, from the given
// minimum level on. It returns an error if level is not the name of a zerolog level.
func NewLogger(w io.Writer, format LogFormat, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("log level %q: %w", level, err)
	}
	if format == LogConsole {
		w = zerolog.ConsoleWriter{Out: w, NoColor: true}
	}
	return zerolog.New(w).Level(parsed).With().Timestamp().Logger(), nil
}
