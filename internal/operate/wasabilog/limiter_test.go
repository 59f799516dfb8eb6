package wasabilog_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/internal/operate/wasabilog"
)

// Guards against lines without a bound, and against omitted ones that are not reported.
func TestLinesAreBounded(t *testing.T) {
	now := time.Unix(100, 0)
	omitted := map[string]int{}
	l := wasabilog.NewLimiter(func() time.Time { return now }, func(kind string, n int) { omitted[kind] += n })
	written := 0
	for range 10 {
		if l.Allow("a", 3) {
			written++
		}
		assert.Assert(t, l.Allow("b", 10))
	}
	assert.Equal(t, written, 3)
	l.Tick()
	assert.Equal(t, len(omitted), 0)
	now = now.Add(time.Second)
	l.Tick()
	assert.DeepEqual(t, omitted, map[string]int{"a": 7})
	assert.Assert(t, l.Allow("a", 3))
}
