package wasabiconfig

import (
	"bytes"
	"compress/gzip"
	"io"
	"strings"

	"github.com/wasabistand/wasabistand"
)

// Compact returns a document as it is sent to nodes: compressed, and without its
// annotation if that is a string on the first line. Nodes don't use the annotation,
// and most of it does not compress.
func Compact(document string) ([]byte, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := io.WriteString(z, withoutAnnotation(document)); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Expand returns the document that Compact compressed. The error is of the class
// wasabistand.ErrInvalid.
func Expand(compact []byte) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(compact))
	if err != nil {
		return nil, wasabistand.ErrInvalid.Wrap(err)
	}
	text, err := io.ReadAll(io.LimitReader(z, MaxDocumentBytes+1))
	if err != nil {
		return nil, wasabistand.ErrInvalid.Wrap(err)
	}
	if len(text) > MaxDocumentBytes {
		return nil, wasabistand.ErrInvalid.New("document: more than %d bytes", MaxDocumentBytes)
	}
	return text, nil
}

// withoutAnnotation empties the first line if it sets the annotation to a basic
// string, so that the numbers of the other lines stay.
func withoutAnnotation(document string) string {
	line, rest, _ := strings.Cut(document, "\n")
	value, ok := strings.CutPrefix(line, "Annotation = \"")
	if !ok || strings.HasPrefix(value, `""`) {
		return document
	}
	for i := 0; i < len(value); i++ {
		switch value[i] {
		case '\\':
			i++
		case '"':
			if strings.TrimSpace(value[i+1:]) == "" {
				return "\n" + rest
			}
			return document
		}
	}
	return document
}
