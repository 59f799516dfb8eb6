package wasabilink

import (
	"context"
	"net"
	"time"
)

// dialRetryInterval is how long a connection may take to open before another one is
// tried beside it, longer than a few round trips between regions. The kernel sends a
// lost opening packet again only after a second, so a dial that began while the peer
// had no power would end long after the peer is back.
const dialRetryInterval = 250 * time.Millisecond

// dialResult is the result of one attempt to open a connection.
type dialResult struct {
	conn net.Conn
	err  error
}

// openConn opens a connection with dial. It starts another attempt after
// dialRetryInterval and after twice the pause each time, and returns the first result
// of any. The connections of the other attempts are closed.
func openConn(ctx context.Context, address string, dial DialFunc) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan dialResult)
	attempts := 0
	start := func() {
		attempts++
		go func() {
			c, err := dial(ctx, address)
			results <- dialResult{c, err}
		}()
	}
	start()
	pause := dialRetryInterval
	t := time.NewTimer(pause)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			start()
			pause *= 2
			t.Reset(pause)
		case r := <-results:
			cancel()
			go discardResults(results, attempts-1)
			return r.conn, r.err
		}
	}
}

// discardResults closes the connections of attempts whose result is not needed.
func discardResults(results <-chan dialResult, attempts int) {
	for range attempts {
		if r := <-results; r.err == nil {
			_ = r.conn.Close()
		}
	}
}
