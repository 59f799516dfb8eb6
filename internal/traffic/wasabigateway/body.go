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
// is sent, so it can be sent once.
type callerBody struct {
	body io.Reader
	// interrupt makes a pending read of body return.
	interrupt func()
	mu        sync.Mutex // held while body is read
	ended     bool       // guarded by mu
	closed    atomic.Bool
}

// Read implements io.Reader.
func (c *callerBody) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ended:
		return 0, io.EOF
	case c.closed.Load():
		return 0, io.ErrClosedPipe
	}
	n, err := c.body.Read(p)
	c.ended = err == io.EOF
	return n, err
}

// Close ends a pending read and waits for it. Reads after Close fail.
func (c *callerBody) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	if !c.mu.TryLock() {
		c.interrupt()
		c.mu.Lock()
	}
	c.mu.Unlock()
	return nil
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
// the number of body bytes in the first frame. It calls withdraw when the sender no
// longer wants the attempt to start. It is the only receiver of the stream.
func receiveRest(stream *wasabilink.Stream, received uint64, body *io.PipeWriter, withdraw func()) {
	for {
		var frame wasabistandv1.CallFrame
		if err := stream.Receive(&frame); err != nil {
			if body != nil {
				_ = body.CloseWithError(errors.Join(io.ErrUnexpectedEOF, err))
			}
			return
		}
		if frame.GetWithdrawal() != nil {
			withdraw()
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
