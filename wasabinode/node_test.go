package wasabinode_test

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func noCall(http.ResponseWriter, *http.Request) {}

// do sends a request and reads its whole answer.
func (m *mesh) do(r *http.Request) (*http.Response, string) {
	m.t.Helper()
	answer, err := m.client.Do(r)
	assert.NilError(m.t, err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	assert.NilError(m.t, err)
	return answer, string(body)
}

// Guards against answers that lose or gain anything on the way through two
// nodes and a link.
func TestAnswersWholeThroughTwoNodes(t *testing.T) {
	m := newMesh(t)
	seen := make(chan http.Header, 1)
	m.add("b1", "b", func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Clone()
		w.Header().Set("X-Kept", "yes")
		w.Header().Set("Wasabi-Outcome", "not-run")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "answer to "+r.URL.RequestURI())
	})
	a := m.add("a1", "a", noCall)
	m.ready()
	answer, body := m.do(request(t, a, "GET", "b", "/read/x%2Fy?q=1", "Wasabi-Request", "r1", "Wasabi-Timeout", "5000"))
	assert.Equal(t, body, "answer to /read/x%2Fy?q=1")
	assert.Equal(t, answer.StatusCode, http.StatusCreated)
	assert.Equal(t, answer.Header.Get("X-Kept"), "yes")
	assert.Equal(t, answer.Header.Get("X-Hop"), "")
	assert.DeepEqual(t, answer.Header["Wasabi-Outcome"], []string{"answered"})
	h := <-seen
	assert.Equal(t, h.Get("Wasabi-Request"), "r1")
	assert.Equal(t, h.Get("Wasabi-Importance"), "Normal")
	assert.Equal(t, h.Get("Wasabi-Caller"), "client")
	assert.Assert(t, len(h.Get("Wasabi-Call")) >= 26)
}
