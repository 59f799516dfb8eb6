package wasabigateway

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"sync/atomic"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabilink"
)

// callerBody is the part of a caller's body that is not buffered. It is read while it
// is sent, so only one attempt can send it. A nil callerBody is an empty one.
type callerBody struct {
	body io.Reader
	// interrupt makes a pending read of body return.
	interrupt func()
	closed    atomic.Bool

	mu sync.Mutex // held while body is read; guards the fields below
	// holder is the attempt that may read, nil for none.
	holder  *attemptBody
	started bool
	ended   bool
}

// attemptBody is a callerBody as one attempt reads it.
type attemptBody struct{ *callerBody }

// lend returns the body for an attempt.
func (c *callerBody) lend() io.ReadCloser {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder = &attemptBody{c}
	return c.holder
}

// reclaim reports whether another attempt can send the body, of which nothing was read.
// Then the attempt that it was lent to reads nothing any more.
func (c *callerBody) reclaim() bool {
	if c == nil {
		return true
	}
	if !c.mu.TryLock() {
		return false
	}
	defer c.mu.Unlock()
	if c.started {
		return false
	}
	c.holder = nil
	return true
}

// Close ends a pending read and waits for it. Reads after Close fail.
func (c *callerBody) Close() error {
	if c == nil || c.closed.Swap(true) {
		return nil
	}
	if !c.mu.TryLock() {
		c.interrupt()
		c.mu.Lock()
	}
	c.mu.Unlock()
	return nil
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	c := a.callerBody
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.holder != a || c.closed.Load():
		return 0, io.ErrClosedPipe
	case c.ended:
		return 0, io.EOF
	}
	c.started = true
	n, err := c.body.Read(p)
	c.ended = err == io.EOF
	return n, err
}

// Close implements io.Closer. The caller's body stays open until the request ends.
func (a *attemptBody) Close() error { return nil }

// continueReader is a body that another node sends after it was asked to continue, which
// the first read does.
type continueReader struct {
	*io.PipeReader
	once sync.Once
	ask  func()
}

// Read implements io.Reader.
func (c *continueReader) Read(p []byte) (int, error) {
	c.once.Do(c.ask)
	return c.PipeReader.Read(p)
}

// requestBody is the body of a request to an upstream: the buffered part and the rest.
type requestBody struct {
	io.Reader
	io.Closer
}

func newRequestBody(buffered []byte, rest io.ReadCloser) io.ReadCloser {
	return requestBody{io.MultiReader(bytes.NewReader(buffered), rest), rest}
}

// receiveRest receives what follows the first frame of an attempt until the stream
// ends, and passes the body on to body, which is nil if no body follows. received is
// the number of body bytes in the first frame. It closes withdrawn when the sender no
// longer wants the attempt to start. It is the only receiver of the stream.
func receiveRest(stream *wasabilink.Stream, received uint64, body *io.PipeWriter, withdrawn chan<- struct{}) {
	for {
		var frame wasabistandv1.CallFrame
		if err := stream.Receive(&frame); err != nil {
			if body != nil {
				_ = body.CloseWithError(errors.Join(io.ErrUnexpectedEOF, err))
			}
			return
		}
		if frame.GetWithdrawal() != nil {
			if withdrawn != nil {
				close(withdrawn)
				withdrawn = nil
			}
			continue
		}
		if body == nil {
			// No other frame may follow a body that is whole.
			return
		}
		switch k := frame.Kind.(type) {
		case *wasabistandv1.CallFrame_Body:
			received += uint64(len(k.Body))
			// The rest is discarded once the reader has closed the pipe.
			_, _ = body.Write(k.Body)
		case *wasabistandv1.CallFrame_End:
			if k.End.GetBodyBytes() != received {
				_ = body.CloseWithError(io.ErrUnexpectedEOF)
			}
			_ = body.Close()
		default:
			_ = body.CloseWithError(io.ErrUnexpectedEOF)
		}
	}
}
