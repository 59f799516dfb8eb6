package wasabiprocess

import (
	"io"

	"github.com/rs/zerolog/diode"
)

// asyncLines bounds the lines that wait for a reader of the output: some
// seconds of the bounded volume.
const asyncLines = 2048

// NewAsync returns a writer that never blocks: it hands lines to another
// goroutine, and drops the oldest ones while out takes none. lost is called
// with the number of dropped lines, nil for nobody. Close writes what waits.
func NewAsync(out io.Writer, lost func(lines int)) io.WriteCloser {
	if lost == nil {
		lost = func(int) {}
	}
	return diode.NewWriter(out, asyncLines, 0, lost)
}
