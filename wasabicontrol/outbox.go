package wasabicontrol

import (
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wasabistand/wasabistand/wasabilink"
)

// outbox is the send queue of one stream, bounded in bytes. It sends frames in
// order on its own goroutine, so that a peer that does not read fills only its
// own outbox.
type outbox struct {
	stream   *wasabilink.Stream
	sent     *sentBytes
	maxBytes int

	mu         sync.Mutex
	queue      []queuedFrame
	bytes      int
	closed     bool
	wake       chan struct{}
	finishing  chan struct{}
	finishOnce sync.Once
	sendStart  atomic.Int64 // start of the pending send, Unix ns, 0 for none
	wait       sync.WaitGroup
}

type queuedFrame struct {
	frame proto.Message
	size  int
}

func newOutbox(s *wasabilink.Stream, sent *sentBytes, maxBytes int) *outbox {
	o := &outbox{stream: s, sent: sent, maxBytes: maxBytes, wake: make(chan struct{}, 1), finishing: make(chan struct{})}
	o.wait.Go(o.run)
	return o
}

// put queues a frame, which must not be modified afterwards. It reports whether
// the outbox was open and had room. An empty queue accepts a frame of any size.
func (o *outbox) put(m proto.Message) bool {
	size := proto.Size(m)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || (o.bytes+size > o.maxBytes && len(o.queue) > 0) {
		return false
	}
	o.queue = append(o.queue, queuedFrame{frame: m, size: size})
	o.bytes += size
	signal(o.wake)
	return true
}

// isEmpty reports whether all frames were handed to the stream.
func (o *outbox) isEmpty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.bytes == 0
}

// sendPendingFor returns how long the current send has been waiting for the
// peer, 0 for none.
func (o *outbox) sendPendingFor(now time.Time) time.Duration {
	if at := o.sendStart.Load(); at != 0 {
		return now.Sub(time.Unix(0, at))
	}
	return 0
}

func (o *outbox) run() {
	draining := false
	for {
		o.mu.Lock()
		list := o.queue
		o.queue = nil
		o.mu.Unlock()
		for _, q := range list {
			if !o.send(q) {
				return
			}
		}
		switch {
		case len(list) > 0:
		case draining:
			return
		default:
			select {
			case <-o.wake:
			case <-o.finishing:
				draining = true
			}
		}
	}
}

func (o *outbox) send(q queuedFrame) bool {
	o.sendStart.Store(time.Now().UnixNano())
	err := o.stream.Send(q.frame)
	o.sendStart.Store(0)
	o.sent.add(kindOf(q.frame), q.size)
	o.mu.Lock()
	o.bytes -= q.size
	o.closed = o.closed || err != nil
	o.mu.Unlock()
	if err != nil {
		o.abort()
	}
	return err == nil
}

// finish queues a last frame if m is not nil, waits until all frames are sent or
// the timeout has passed, and closes the stream.
func (o *outbox) finish(m proto.Message, timeout time.Duration) {
	if m != nil {
		o.put(m)
	}
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.finishOnce.Do(func() { close(o.finishing) })
	t := time.AfterFunc(timeout, o.abort)
	o.wait.Wait()
	t.Stop()
	o.abort()
}

// abort closes the stream immediately. The deadline is set first, since yamux
// ends pending reads immediately on a deadline but only seconds after a close.
func (o *outbox) abort() {
	_ = o.stream.SetDeadline(time.Now())
	_ = o.stream.Close()
}

// signal wakes the receiver of c, which has capacity 1, without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
