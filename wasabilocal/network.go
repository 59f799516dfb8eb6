// Package wasabilocal puts a call graph into one process on loopback, for the
// demonstration and the measurements: upstreams with their nodes, or upstreams
// that call each other directly, with the latency and the byte counts of the
// network between their places. It decides nothing for the product.
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

// Latencies are one-way times between places.
type Latencies struct {
	Domains, Regions, Clients time.Duration
}

// DefaultLatencies returns those of both deployments, with the clients of
// Granaatpers.
func DefaultLatencies() Latencies {
	return Latencies{Domains: 1500 * time.Microsecond, Regions: 20 * time.Millisecond, Clients: 8 * time.Millisecond}
}

// Network adds latency to connections between places and counts the bytes that
// cross regions. It is safe for concurrent use.
type Network struct {
	latencies Latencies
	places    sync.Map // address to wasabistand.Location
	crossing  atomic.Int64
}

// NewNetwork returns a network without any address.
func NewNetwork(l Latencies) *Network { return &Network{latencies: l} }

// Place tells where an address is. Connections to other addresses have no
// latency.
func (n *Network) Place(address string, at wasabistand.Location) { n.places.Store(address, at) }

// CrossRegionBytes returns how many bytes have crossed regions, both ways.
func (n *Network) CrossRegionBytes() int64 { return n.crossing.Load() }

// DialFrom returns a dial function for a process at a place.
func (n *Network) DialFrom(from wasabistand.Location) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		at, ok := n.places.Load(address)
		if !ok {
			return dial(ctx, network, address, 0, nil)
		}
		switch to := at.(wasabistand.Location); {
		case to.Region != from.Region:
			return dial(ctx, network, address, n.latencies.Regions, &n.crossing)
		case to.FailureDomain != from.FailureDomain:
			return dial(ctx, network, address, n.latencies.Domains, nil)
		}
		return dial(ctx, network, address, 0, nil)
	}
}

// DialClient is the dial function of clients.
func (n *Network) DialClient(ctx context.Context, network, address string) (net.Conn, error) {
	return dial(ctx, network, address, n.latencies.Clients, nil)
}

func dial(ctx context.Context, network, address string, latency time.Duration, count *atomic.Int64) (net.Conn, error) {
	var d net.Dialer
	inner, err := d.DialContext(ctx, network, address)
	if err != nil || latency == 0 {
		return inner, err
	}
	// The handshake takes a round trip.
	t := time.NewTimer(2 * latency)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		_ = inner.Close()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	go relay(far, inner, latency, count)
	go relay(inner, far, latency, count)
	return &delayed{Conn: near, inner: inner}, nil
}

// delayed is the near end of a connection with latency. Its pipe gives it the
// deadlines of a net.Conn.
type delayed struct {
	net.Conn
	inner net.Conn
}

// LocalAddr returns the address of the connection below.
func (d *delayed) LocalAddr() net.Addr { return d.inner.LocalAddr() }

// RemoteAddr returns the address of the connection below.
func (d *delayed) RemoteAddr() net.Addr { return d.inner.RemoteAddr() }

type chunk struct {
	due  time.Time
	data []byte
}

// chunksInFlight bounds the data on the way; at 32 KiB each it is above the
// product of bandwidth and latency of the traffic here.
const chunksInFlight = 64

// relay carries bytes one way and delivers each after the latency. The end of
// one side ends the other after the latency too.
func relay(from, to net.Conn, latency time.Duration, count *atomic.Int64) {
	flight := make(chan chunk, chunksInFlight)
	go func() {
		defer to.Close()
		for c := range flight {
			time.Sleep(time.Until(c.due))
			if _, err := to.Write(c.data); err != nil {
				_ = from.Close()
				for range flight { // Lets the reader end.
					continue
				}
				return
			}
		}
	}()
	defer close(flight)
	buffer := make([]byte, 32<<10)
	for {
		k, err := from.Read(buffer)
		if k > 0 {
			if count != nil {
				count.Add(int64(k))
			}
			flight <- chunk{time.Now().Add(latency), append([]byte(nil), buffer[:k]...)}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = from.Close()
			}
			return
		}
	}
}
