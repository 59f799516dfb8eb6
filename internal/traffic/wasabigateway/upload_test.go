package wasabigateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// longBody returns a body above the buffer limit that differs from those of other IDs.
func longBody(id int) string { return strings.Repeat(fmt.Sprintf("%07d\n", id), 256<<10) }

// sendChunks sends an upload in chunks and returns the response.
func (n *node) sendChunks(t *testing.T, id int, body string) reply {
	t.Helper()
	// The type hides the length.
	r, err := http.NewRequest(http.MethodPost, "http://"+n.address+"/book/x", io.MultiReader(strings.NewReader(body)))
	assert.NilError(t, err)
	r.Host = "h"
	r.Header.Set("Id", fmt.Sprint(id))
	a, err := client.Do(r)
	assert.NilError(t, err)
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	return reply{a.StatusCode, a.Header, string(b)}
}

// Guards against an upload in chunks that the other node takes for truncated, because
// the two ends count different bytes of its body.
func TestLongUploadToOtherNode(t *testing.T) {
	k := newControl(configuration(5 * time.Second))
	u := newUpstream(t, "i", echoResponse)
	newNode(t, k, "target", "s", u.address).sendHeartbeat(t, k, u, "s", 20)
	entry := newNode(t, k, "entry", "t", "127.0.0.1:1")
	var wait sync.WaitGroup
	for id := range 8 {
		wait.Go(func() {
			a := entry.sendChunks(t, id, longBody(id))
			assert.Check(t, a.status == 200, a.status)
			assert.Check(t, a.body == longBody(id), "%d bytes", len(a.body))
		})
	}
	wait.Wait()
}
