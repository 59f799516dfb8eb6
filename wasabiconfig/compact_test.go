package wasabiconfig_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wasabistand/wasabistand"
	_ "github.com/wasabistand/wasabistand/internal/wasabiseed"
	"github.com/wasabistand/wasabistand/wasabiconfig"
)

// TestCompactKeepsConfiguration guards against nodes that apply another configuration
// than the one that was committed, whatever its annotation looks like.
func TestCompactKeepsConfiguration(t *testing.T) {
	const rest = "[Clients]\nMaxHeaderBytes = 8192\n\n[[Callers]]\nName = \"office\"\nPatience = \"2s\"\n"
	rapid.Check(t, func(t *rapid.T) {
		document := rest
		switch rapid.IntRange(0, 4).Draw(t, "form") {
		case 0:
			document = fmt.Sprintf("Annotation = %q\n", rapid.StringMatching(`[ -~]{0,200}`).Draw(t, "text")) + rest
		case 1:
			document = "Annotation = \"\"\"\nName = \"x\"\n\"\"\"\n" + rest
		case 2:
			document = "Annotation = 'a \"b'\n" + rest
		case 3:
			document = "Annotation = \"a\" # \"comment\"\n" + rest
		}
		want, err := wasabiconfig.Parse([]byte(document))
		assert.NilError(t, err)
		compact, err := wasabiconfig.Compact(document)
		assert.NilError(t, err)
		text, err := wasabiconfig.Expand(compact)
		assert.NilError(t, err)
		got, err := wasabiconfig.Parse(text)
		assert.NilError(t, err)
		if got.Annotation == "" {
			want.Annotation = ""
		}
		assert.DeepEqual(t, got, want)
		assert.Equal(t, strings.Count(string(text), "\n"), strings.Count(document, "\n"))
	})
}

// TestExpandRejects guards against a document that is not compressed or damaged, or
// that takes more memory than any valid one.
func TestExpandRejects(t *testing.T) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	for range 64 {
		_, err := z.Write(make([]byte, 1<<20))
		assert.NilError(t, err)
	}
	assert.NilError(t, z.Close())
	whole, err := wasabiconfig.Compact("Callers = []\n")
	assert.NilError(t, err)
	for _, compact := range [][]byte{nil, []byte("Callers = []\n"), whole[:len(whole)-3], b.Bytes()} {
		_, err := wasabiconfig.Expand(compact)
		assert.Assert(t, wasabistand.ErrInvalid.Has(err), "%v", err)
	}
}
