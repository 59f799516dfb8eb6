package wasabiprocess_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/wasabiprocess"
)

// Guards against a request that blocks because nobody reads the log.
func TestLogNeverBlocks(t *testing.T) {
	r, w := io.Pipe()
	a := wasabiprocess.NewAsync(w, nil)
	log := wasabiprocess.NewLogger(a, "node", "a")
	for i := range 10_000 {
		log.Info().Int("Number", i).Msg("line")
	}
	done := make(chan string)
	go func() {
		b, _ := io.ReadAll(r)
		done <- string(b)
	}()
	assert.NilError(t, a.Close())
	assert.NilError(t, w.Close())
	text := <-done
	assert.Assert(t, strings.Contains(text, "Number=9999"), "the latest line must be kept")
}

// Guards against lines that are lost when a process ends.
func TestAsyncCloseFlushesBuffer(t *testing.T) {
	var b bytes.Buffer
	a := wasabiprocess.NewAsync(&b, nil)
	for i := range 100 {
		_, err := fmt.Fprintf(a, "%d\n", i)
		assert.NilError(t, err)
	}
	assert.NilError(t, a.Close())
	assert.Equal(t, strings.Count(b.String(), "\n"), 100)
}
