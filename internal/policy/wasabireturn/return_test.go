package wasabireturn_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/internal/policy/wasabireturn"
)

func ExampleNotReady() {
	fmt.Println(wasabireturn.NotReady(200*time.Millisecond, 0), wasabireturn.NotReady(5*time.Second, 0))
	// Output: 1.3s 300ms
}

// Guards against callers that use up their one return while control elects a
// leader. The load: 300 requests a second meet nodes that have just come back
// from a loss of power and get their configuration after 1.3 s; each caller
// returns once, when it is told.
func TestCallersReturnAfterTheElection(t *testing.T) {
	const (
		ready  = 1300 * time.Millisecond
		window = 50 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 2))
	served, refused := 0, 0
	back := map[time.Duration]int{}
	for at := time.Duration(0); at < ready; at += time.Second / 300 {
		refused++
		returned := at + wasabireturn.NotReady(at, random.Float64())
		if returned >= ready {
			served++
		}
		back[returned.Truncate(window)]++
	}
	assert.Equal(t, served, refused)
	for at, n := range back {
		assert.Assert(t, n <= refused/4, "%d of %d return at %v", n, refused, at)
	}
}
