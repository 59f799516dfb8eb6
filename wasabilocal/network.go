// Package wasabilocal runs a call graph in one process on loopback, for the
// demonstration and the benchmarks: upstreams with their nodes, or upstreams
// that call each other directly. It simulates the network latency between
// locations and counts the bytes that cross regions. It implements no part of
// the product's overload control.
package wasabilocal

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabistand/wasabistand"
)

// Latencies holds the one-way latencies between failure domains of a region,
// between regions, and between clients and the system.
type Latencies struct {
	Domains, Regions, Clients time.Duration
}

// DefaultLatencies returns the latencies of both deployments, with the client
// latency of Granaatpers.
func DefaultLatencies() Latencies {
	return Latencies{Domains: 1500 * time.Microsecond, Regions: 20 * time.Millisecond, Clients: 8 * time.Millisecond}
}

// Network adds latency to connections between locations and counts the bytes
// that cross regions. It is safe for concurrent use.
type Network struct {
	latencies        Latencies
	locations        sync.Map // address to wasabistand.Location
	crossRegionBytes atomic.Int64
}

// NewNetwork returns a network without any known address.
func NewNetwork(l Latencies) *Network { return &Network{latencies: l} }

// SetLocation sets the location of an address. Connections to addresses without
// a location have no latency.
func (n *Network) SetLocation(address string, at wasabistand.Location) {
	n.locations.Store(address, at)
}

// CrossRegionBytes returns the number of bytes sent between regions, in both
// directions.
func (n *Network) CrossRegionBytes() int64 { return n.crossRegionBytes.Load() }

// DialFrom returns a dial function for a process at the given location.
func (n *Network) DialFrom(from wasabistand.Location) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		at, ok := n.locations.Load(address)
		if !ok {
			return dialWithLatency(ctx, network, address, 0, nil)
		}
		switch to := at.(wasabistand.Location); {
		case to.Region != from.Region:
			return dialWithLatency(ctx, network, address, n.latencies.Regions, &n.crossRegionBytes)
		case to.FailureDomain != from.FailureDomain:
			return dialWithLatency(ctx, network, address, n.latencies.Domains, nil)
		}
		return dialWithLatency(ctx, network, address, 0, nil)
	}
}

// DialClient dials with the latency of clients.
func (n *Network) DialClient(ctx context.Context, network, address string) (net.Conn, error) {
	return dialWithLatency(ctx, network, address, n.latencies.Clients, nil)
}

func dialWithLatency(ctx context.Context, network, address string, latency time.Duration, byteCount *atomic.Int64) (net.Conn, error) {
	var d net.Dialer
	inner, err := d.DialContext(ctx, network, address)
	if err != nil || latency == 0 {
		return inner, err
	}
	// The TCP handshake takes a round trip.
	t := time.NewTimer(2 * latency)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		_ = inner.Close()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	go relay(far, inner, latency, byteCount)
	go relay(inner, far, latency, byteCount)
	return &delayedConn{Conn: near, inner: inner}, nil
}

// delayedConn is the dialing end of a connection with latency. The embedded pipe
// implements the deadlines of net.Conn.
type delayedConn struct {
	net.Conn
	inner net.Conn
}

// LocalAddr returns the local address of the underlying connection.
func (d *delayedConn) LocalAddr() net.Addr { return d.inner.LocalAddr() }

// RemoteAddr returns the remote address of the underlying connection.
func (d *delayedConn) RemoteAddr() net.Addr { return d.inner.RemoteAddr() }

type chunk struct {
	deliverAt time.Time
	data      []byte
}

// maxChunksInFlight bounds the data in flight in one direction. At 32 KiB per
// chunk it exceeds the bandwidth-delay product of the simulated traffic.
const maxChunksInFlight = 64

// relay copies bytes in one direction and delivers each chunk after the latency.
// When from closes, to is closed after the latency as well.
func relay(from, to net.Conn, latency time.Duration, byteCount *atomic.Int64) {
	inFlight := make(chan chunk, maxChunksInFlight)
	go func() {
		defer to.Close()
		for c := range inFlight {
			time.Sleep(time.Until(c.deliverAt))
			if _, err := to.Write(c.data); err != nil {
				_ = from.Close()
				for range inFlight { // Unblocks the reader so that it exits.
					continue
				}
				return
			}
		}
	}()
	defer close(inFlight)
	buffer := make([]byte, 32<<10)
	for {
		k, err := from.Read(buffer)
		if k > 0 {
			if byteCount != nil {
				byteCount.Add(int64(k))
			}
			inFlight <- chunk{time.Now().Add(latency), append([]byte(nil), buffer[:k]...)}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = from.Close()
			}
			return
		}
	}
}
