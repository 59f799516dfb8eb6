package wasabicontrol

import (
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wasabistand/wasabistand/wasabilink"
)

// outbox sends frames on one stream in order, off its owner's goroutine, and
// is bounded in bytes. A peer that does not read fills its own outbox only.
type outbox struct {
	stream   *wasabilink.Stream
	maxBytes int

	mu     sync.Mutex
	queue  []queued
	bytes  int
	closed bool
	wake   chan struct{}
	quit   chan struct{}
	once   sync.Once
	since  atomic.Int64 // start of the pending send, 0 for none
	wait   sync.WaitGroup
}

type queued struct {
	frame proto.Message
	size  int
}

func newOutbox(s *wasabilink.Stream, maxBytes int) *outbox {
	o := &outbox{stream: s, maxBytes: maxBytes, wake: make(chan struct{}, 1), quit: make(chan struct{})}
	o.wait.Go(o.run)
	return o
}

// put queues a frame, which must not change any more. It reports whether the
// bound allowed it.
func (o *outbox) put(m proto.Message) bool {
	size := proto.Size(m)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || (o.bytes+size > o.maxBytes && len(o.queue) > 0) {
		return false
	}
	o.queue = append(o.queue, queued{frame: m, size: size})
	o.bytes += size
	signal(o.wake)
	return true
}

// stalled returns for how long the pending send has waited for the peer.
func (o *outbox) stalled(now time.Time) time.Duration {
	if at := o.since.Load(); at != 0 {
		return now.Sub(time.Unix(0, at))
	}
	return 0
}

func (o *outbox) run() {
	last := false
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
		case last:
			return
		default:
			select {
			case <-o.wake:
			case <-o.quit:
				last = true
			}
		}
	}
}

func (o *outbox) send(q queued) bool {
	o.since.Store(time.Now().UnixNano())
	err := o.stream.Send(q.frame)
	o.since.Store(0)
	o.mu.Lock()
	o.bytes -= q.size
	o.closed = o.closed || err != nil
	o.mu.Unlock()
	if err != nil {
		o.abort()
	}
	return err == nil
}

// finish queues a last frame, and closes the stream once all is sent or the
// time has run out.
func (o *outbox) finish(m proto.Message, within time.Duration) {
	if m != nil {
		o.put(m)
	}
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.once.Do(func() { close(o.quit) })
	t := time.AfterFunc(within, o.abort)
	o.wait.Wait()
	t.Stop()
	o.abort()
}

// abort closes the stream. yamux ends pending reads at once by a deadline, and
// only after seconds by a close.
func (o *outbox) abort() {
	_ = o.stream.SetDeadline(time.Now())
	_ = o.stream.Close()
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
