// Package wasabiprocess runs one daemon: logs, signals and a graceful
// shutdown. It decides when a stop is graceful and when it is immediate; what
// is stopped in which order is up to the daemon.
package wasabiprocess

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

func init() {
	// Events of the same second must keep their order when logs are merged.
	zerolog.TimeFieldFormat = time.RFC3339Nano
}

// NewLogger returns a logger that writes one line of key=value pairs for each
// event.
func NewLogger(out io.Writer, role, instance string) zerolog.Logger {
	w := zerolog.ConsoleWriter{
		Out:        out,
		NoColor:    true,
		TimeFormat: time.RFC3339Nano,
		FormatTimestamp: func(v any) string {
			return "Time=" + fmt.Sprint(v)
		},
		FormatLevel:      func(v any) string { return "Level=" + fmt.Sprint(v) },
		FormatMessage:    func(v any) string { return "Event=" + quote(fmt.Sprint(v)) },
		FormatFieldName:  func(v any) string { return fmt.Sprint(v) + "=" },
		FormatFieldValue: func(v any) string { return quote(text(v)) },
		FormatErrFieldValue: func(v any) string {
			return quote(text(v))
		},
	}
	return zerolog.New(w).With().Timestamp().Str("Role", role).Str("Instance", instance).Logger()
}

func text(v any) string {
	if b, ok := v.([]byte); ok {
		return string(b)
	}
	return fmt.Sprint(v)
}

// quote quotes a value that would otherwise span lines or be read as several
// values. A value that is already quoted is unchanged.
func quote(s string) string {
	if strings.HasPrefix(s, `"`) && strings.HasSuffix(s, `"`) && len(s) > 1 {
		return s
	}
	if s == "" || strings.ContainsAny(s, " \t\r\n\"=") {
		return strconv.Quote(s)
	}
	return s
}
