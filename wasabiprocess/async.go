package wasabiprocess

import (
	"io"

	"github.com/rs/zerolog/diode"
)

// maxBufferedLines bounds the lines that are not yet written to the output: a
// few seconds of logs at their rate limit.
const maxBufferedLines = 2048

// NewAsync returns a writer that never blocks: another goroutine writes the lines
// to out, and the oldest ones are dropped while out blocks. onDropped is called
// with the number of dropped lines, and may be nil. Close flushes the buffer.
func NewAsync(out io.Writer, onDropped func(lines int)) io.WriteCloser {
	if onDropped == nil {
		onDropped = func(int) {}
	}
	return diode.NewWriter(out, maxBufferedLines, 0, onDropped)
}
