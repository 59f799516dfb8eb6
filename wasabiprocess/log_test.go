package wasabiprocess_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/wasabiprocess"
)

func ExampleNewLogger() {
	log := wasabiprocess.NewLogger(timeStripper{}, "node", "reports-1")
	log.Info().Int("Slots", 55).Str("Reason", "two words").Msg("started")
	// Output: Level=info Event=started Instance=reports-1 Reason="two words" Role=node Slots=55
}

type timeStripper struct{}

func (timeStripper) Write(p []byte) (int, error) {
	_, rest, _ := strings.Cut(string(p), " ")
	_, err := os.Stdout.WriteString(rest)
	return len(p), err
}

// Guards against a value that contains a line break and so hides or forges an
// event.
func TestLoggerKeepsOneLine(t *testing.T) {
	var b strings.Builder
	log := wasabiprocess.NewLogger(&b, "node", "a")
	log.Error().Err(errors.New("x\nLevel=info")).Str("Request", "a\nb").Msg("failed\nagain")
	assert.Equal(t, strings.Count(b.String(), "\n"), 1, b.String())
}
