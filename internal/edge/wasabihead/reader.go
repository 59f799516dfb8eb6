package wasabihead

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// ErrTooLarge means that a head is longer than allowed.
var ErrTooLarge = Error.New("the head is larger than allowed")

// Reader reads messages from a connection. It looks at a whole head before the head is
// parsed. It is not safe for concurrent use.
type Reader struct {
	// Reader is replaced by a larger one for a head that doesn't fit.
	*bufio.Reader
	source io.Reader
}

// NewReader returns a Reader with a buffer of the given size, which grows with the heads.
func NewReader(source io.Reader, size int) *Reader {
	return &Reader{Reader: bufio.NewReaderSize(source, size), source: source}
}

// PeekHead returns the head of the next message without consuming it. It is valid until
// the next read. The error is ErrTooLarge for a head of more than limit bytes,
// io.ErrUnexpectedEOF if the stream ends in it, and io.EOF if the stream ends before it.
func (r *Reader) PeekHead(limit int) ([]byte, error) {
	for searched := 0; ; {
		n := r.Buffered()
		b, err := r.Peek(n)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if end := findEnd(b, searched); end >= 0 && end <= limit {
			return b[:end], nil
		} else if end >= 0 || n >= limit {
			return nil, ErrTooLarge
		}
		searched = n
		if n == r.Size() {
			r.grow()
		}
		if _, err := r.Peek(n + 1); errors.Is(err, io.EOF) && n > 0 {
			return nil, io.ErrUnexpectedEOF
		} else if err != nil {
			return nil, err
		}
	}
}

// grow doubles the buffer, which is full.
func (r *Reader) grow() {
	b, _ := r.Peek(r.Buffered())
	kept := bytes.NewReader(bytes.Clone(b))
	r.Reader = bufio.NewReaderSize(io.MultiReader(kept, r.source), 2*r.Size())
}
