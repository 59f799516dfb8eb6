package wasabibench

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabicontrol"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabisession"
)

// Settings of the sessions benchmark: 14 instances per service and 6 services
// called by each node, as in a deployment of the target size.
const (
	sessionInstances     = 14
	sessionSubscriptions = 6
	sessionDuration      = 5 * time.Second
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// fleet holds the sessions to measure and counts the bytes of their connections.
type fleet struct {
	bytes    atomic.Int64
	sessions []*wasabisession.Session
	pools    []*wasabilink.Pool
}

// add starts one session without waiting for it to connect.
func (f *fleet) add(address string, i, services int) {
	id := fmt.Sprintf("node-%d", i)
	var d net.Dialer
	o := wasabilink.NewOptions("bench", id, 1).WithDial(func(ctx context.Context, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return countingConn{c, &f.bytes}, nil
	})
	pool := wasabilink.NewPool(o, nil)
	self := memberInstance(i)
	self.ID, self.Service = id, fmt.Sprintf("service-%d", i%services)
	s := wasabisession.New(wasabisession.NewOptions(address), pool, self, nil)
	for k := range min(sessionSubscriptions, services) {
		s.Subscribe(fmt.Sprintf("service-%d", (i+k)%services))
	}
	f.sessions, f.pools = append(f.sessions, s), append(f.pools, pool)
}

// await waits until each session has the complete instance lists of its services.
func (f *fleet) await(ctx context.Context, services int) error {
	for _, s := range f.sessions {
		for {
			changed := s.Changed()
			if v := s.View(); v != nil && isComplete(v, services, len(f.sessions)) {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	return nil
}

func isComplete(v *wasabistand.View, services, sessions int) bool {
	if len(v.Instances) < min(sessionSubscriptions, services) {
		return false
	}
	for _, list := range v.Instances {
		if len(list) < sessions/services {
			return false
		}
	}
	return true
}

func (f *fleet) close() error {
	var err error
	for i, s := range f.sessions {
		err = errors.Join(err, s.Close(), f.pools[i].Close())
	}
	return err
}

// processorTime returns the processor time that the process has used.
func processorTime() (time.Duration, error) {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

func benchSessions(ctx context.Context, o Options) (Table, error) {
	t := Table{
		Settings: fmt.Sprintf("one control instance, %d instances a service, each node calls %d services, %s without changes; both ends of a session are in one process", sessionInstances, sessionSubscriptions, sessionDuration),
		Columns:  []string{"Sessions", "Memory, both ends (bytes)", "Traffic (bytes/s)", "Processor time, both ends (ms/s)"},
	}
	var x, memory, traffic, times []float64
	for _, size := range []int{56, 140, 280, 420} {
		o.progressf("sessions: %d", size)
		memoryBytes, bytesPerSecond, milliseconds, err := measureSessions(ctx, size)
		if err != nil {
			return t, err
		}
		t.add(size, memoryBytes, bytesPerSecond, milliseconds)
		x, memory, traffic, times = append(x, float64(size)), append(memory, memoryBytes), append(traffic, bytesPerSecond), append(times, milliseconds)
	}
	t.note("memory (bytes): %s", FitLine(x, memory))
	t.note("traffic (bytes/s): %s", FitLine(x, traffic))
	t.note("processor time (ms/s): %s", FitLine(x, times))
	return t, nil
}

func measureSessions(ctx context.Context, size int) (memory, traffic, milliseconds float64, err error) {
	folder, err := os.MkdirTemp("", "wasabibench")
	if err != nil {
		return 0, 0, 0, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	link, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, 0, err
	}
	api, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, 0, errors.Join(err, link.Close())
	}
	log := zerolog.Nop()
	address := link.Addr().String()
	control, err := wasabicontrol.New(wasabicontrol.NewSettings("bench", "control-1", folder).WithAddresses(address, api.Addr().String()),
		wasabicontrol.Parts{Log: &log, LinkListener: link, APIListener: api})
	if err != nil {
		return 0, 0, 0, errors.Join(err, link.Close(), api.Close())
	}
	defer func() { err = errors.Join(err, control.Close()) }()
	if err := control.Start(); err != nil {
		return 0, 0, 0, err
	}
	f := &fleet{}
	defer func() { err = errors.Join(err, f.close()) }()
	before, services := heapBytes(), max(size/sessionInstances, 1)
	for i := range size {
		f.add(address, i, services)
	}
	if err := f.await(ctx, services); err != nil {
		return 0, 0, 0, err
	}
	memory = heapBytes() - before
	bytes := f.bytes.Load()
	begin, err := processorTime()
	if err != nil {
		return 0, 0, 0, err
	}
	start := time.Now()
	select {
	case <-time.After(sessionDuration):
	case <-ctx.Done():
		return 0, 0, 0, ctx.Err()
	}
	end, err := processorTime()
	if err != nil {
		return 0, 0, 0, err
	}
	seconds := time.Since(start).Seconds()
	runtime.KeepAlive(f)
	return memory, float64(f.bytes.Load()-bytes) / seconds, 1000 * (end - begin).Seconds() / seconds, nil
}
