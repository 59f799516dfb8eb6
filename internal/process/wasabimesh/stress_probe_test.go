package wasabimesh_test

import (
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	// maxStarvation is how late the sampler may be before the process counts as starved,
	// which is a fault of the machine that runs the test.
	maxStarvation = 500 * time.Millisecond
	// maxProbeTime is the longest time of a probe before the process counts as starved. A
	// round of confirmation, which may take 600 ms, waits for several of them.
	maxProbeTime = 200 * time.Millisecond
	probeEvery   = 50 * time.Millisecond
	// probeTrips is how many messages follow each other until a change is in force: those
	// of a forwarded change, of its replication and of its push.
	probeTrips = 6
)

// starve notes that the process was starved.
func (s *stress) starve(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starved++
	s.faultAt = now
}

// isProbeLate reports whether the probe in progress takes too long. A sync may block for
// seconds.
func (s *stress) isProbeLate(now time.Time) bool {
	start := s.probeStart.Load()
	return start != nil && now.Sub(*start) > maxProbeTime
}

// probe measures how long a synced write and round trips over loopback take, until stop is
// closed.
func (s *stress) probe(stop <-chan struct{}) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Error(err)
		return
	}
	defer ln.Close()
	go func() {
		if c, err := ln.Accept(); err == nil {
			_, _ = io.Copy(c, c)
			_ = c.Close()
		}
	}()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		s.t.Error(err)
		return
	}
	defer c.Close()
	f, err := os.Create(filepath.Join(s.dir, "probe"))
	if err != nil {
		s.t.Error(err)
		return
	}
	defer f.Close()
	buffer := make([]byte, 1)
	for {
		start := time.Now()
		s.probeStart.Store(&start)
		_, err := f.WriteAt(buffer, 0)
		err = errors.Join(err, f.Sync())
		for range probeTrips {
			_, writing := c.Write(buffer)
			_, reading := c.Read(buffer)
			err = errors.Join(err, writing, reading)
		}
		if err != nil {
			s.t.Error(err)
			return
		}
		s.probeStart.Store(nil)
		if now := time.Now(); now.Sub(start) > maxProbeTime {
			s.starve(now)
		}
		select {
		case <-stop:
			return
		case <-time.After(probeEvery):
		}
	}
}
