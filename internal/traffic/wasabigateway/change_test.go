package wasabigateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/internal/policy/wasabiinstance"
	"github.com/wasabistand/wasabistand/internal/traffic/wasabigateway"
)

// report returns the first heartbeat of an upstream.
func (u *upstream) report(service string, slots int) wasabiinstance.Report {
	return wasabiinstance.Report{ID: u.name, Born: 1, Sequence: 1, Service: service, Address: u.address, Slots: slots}
}

// withHealthPath returns a configuration with another health path of the service s.
func withHealthPath(path string) *wasabistand.Configuration {
	c := configuration(time.Minute)
	c.Upstreams["s"] = wasabistand.UpstreamPolicy{Service: "s", HealthPath: path, MaxConnections: 100}
	return c
}

// rejectUnknown is the response of an upstream to requests without an ID.
func rejectUnknown(q *http.Request, body string) string {
	if q.Header.Get("Id") == "" {
		return "HTTP/1.1 400 Bad Request\r\nUntouched: 1\r\nContent-Length: 0\r\n\r\n"
	}
	return echoResponse(q, body)
}

// Guards against an instance that gets no work for the rest of its lifetime, because it
// reported before its node had the configuration that names its health path.
func TestHealthPathOfLaterConfiguration(t *testing.T) {
	k := newControl(nil)
	u := newUpstream(t, "i", rejectUnknown)
	u.healthPath = "/status"
	n := newNode(t, k, "node", "s", u.address)
	assert.NilError(t, n.Heartbeat(u.report("s", 5)))
	assert.Assert(t, !n.Ready())
	k.publish(withHealthPath("/status"))
	k.awaitReady(t, n, "s", 5)
	a := n.call(t, http.MethodPost, "/book/x", "one", "body")
	assert.Equal(t, fmt.Sprint(a.status, a.body), "200body")
}

// Guards against work for an instance that leaves, because it answered at a path that is
// not its health path: the node asked there before it had the configuration.
func TestResponseAtOtherPathBringsNoWork(t *testing.T) {
	k := newControl(nil)
	u := newUpstream(t, "i", rejectUnknown)
	n := newNode(t, k, "node", "s", u.address)
	assert.NilError(t, n.Heartbeat(u.report("s", 5)))
	u.awaitHealthChecks(t, 2)
	u.mu.Lock()
	u.healthPath, u.health = "/status", failingHealth
	u.mu.Unlock()
	k.publish(withHealthPath("/status"))
	u.awaitHealthChecks(t, 2)
	a := n.call(t, http.MethodPost, "/book/x", "one", "body")
	assert.Equal(t, a.status, http.StatusServiceUnavailable, a.body)
	for _, i := range k.announced() {
		assert.Assert(t, !i.AcceptsCalls(), "%+v", i)
	}
}

// Guards against an instance that gets no work for a round trip to it and to control after
// the configuration has come, although it confirmed before that it accepts calls.
func TestEarlyHealthCheckCounts(t *testing.T) {
	k := newControl(nil)
	u := newUpstream(t, "i", rejectUnknown)
	now := time.Now()
	n := startNodeAt(t, k, wasabigateway.NewSettings("node", "s", u.address), "node", func() time.Time { return now })
	assert.NilError(t, n.Heartbeat(u.report("s", 5)))
	u.awaitHealthChecks(t, 2)
	u.setHealth(failingHealth)
	k.publish(configuration(time.Minute))
	k.awaitReady(t, n, "s", 5)
}

// Guards against a health path that stays as it was when the instance first reported.
func TestHealthPathChangesWhileInstanceIsAsked(t *testing.T) {
	k := newControl(withHealthPath("/old"))
	u := newUpstream(t, "i", rejectUnknown)
	u.healthPath = "/new"
	n := newNode(t, k, "node", "s", u.address)
	assert.NilError(t, n.Heartbeat(u.report("s", 5)))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(u.seen()) == 0 {
			return poll.Continue("not asked yet")
		}
		return poll.Success()
	})
	k.publish(withHealthPath("/new"))
	k.awaitReady(t, n, "s", 5)
}

// exchange sends one request on a connection and returns the status, 0 if the connection
// ends without a response.
func exchange(t *testing.T, c net.Conn, request string) int {
	t.Helper()
	assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	if _, err := io.WriteString(c, request); err != nil {
		return 0
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, err = io.Copy(io.Discard, a.Body)
	assert.NilError(t, err)
	assert.NilError(t, a.Body.Close())
	return a.StatusCode
}

// Guards against a value of the configuration that a running node keeps from an earlier
// revision. Each field that a gateway uses is replaced, and its effect is seen without a
// restart of the node or its instance; open connections of callers follow.
func TestEachFieldOfConfigurationTakesEffect(t *testing.T) {
	k := newControl(configuration(time.Minute))
	u := newUpstream(t, "i", echoResponse)
	n := newNode(t, k, "node", "s", u.address)
	n.sendHeartbeat(t, k, u, "s", 5)
	const get = "GET /read/x HTTP/1.1\r\nHost: h\r\nId: get\r\nContent-Length: 0\r\n"
	// await repeats a check until the change has taken effect.
	await := func(t *testing.T, check func() bool) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if !check() {
				return poll.Continue("not in effect")
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
	}
	status := func(path string) int { return n.call(t, http.MethodGet, path, "x", "").status }
	connections := func() int {
		list := k.announced()
		return list[len(list)-1].Connections
	}
	sequence := uint64(1)
	tests := map[string]struct {
		change func(*wasabistand.Configuration)
		check  func(t *testing.T, open net.Conn)
	}{
		"Host.Name":   {func(c *wasabistand.Configuration) { c.Hosts[0].Name = "other" }, func(t *testing.T, _ net.Conn) { await(t, func() bool { return status("/read/x") == 404 }) }},
		"Host.Routes": {func(c *wasabistand.Configuration) { c.Hosts[0].Routes = c.Hosts[0].Routes[1:] }, func(t *testing.T, _ net.Conn) { await(t, func() bool { return status("/read/x") == 404 }) }},
		"UpstreamPolicy.Service": {func(c *wasabistand.Configuration) {
			c.Upstreams = map[string]wasabistand.UpstreamPolicy{"t": {Service: "t", MaxConnections: 100}}
		}, func(t *testing.T, _ net.Conn) { await(t, func() bool { return connections() == 256 }) }},
		"UpstreamPolicy.MaxConnections": {func(c *wasabistand.Configuration) {
			c.Upstreams["s"] = wasabistand.UpstreamPolicy{Service: "s", HealthPath: "/health", MaxConnections: 7}
		}, func(t *testing.T, _ net.Conn) { await(t, func() bool { return connections() == 7 }) }},
		"UpstreamPolicy.HealthPath": {func(c *wasabistand.Configuration) {
			c.Upstreams["s"] = wasabistand.UpstreamPolicy{Service: "s", HealthPath: "/status", MaxConnections: 100}
		}, func(t *testing.T, _ net.Conn) {
			u.mu.Lock()
			u.healthPath = "/status"
			u.mu.Unlock()
			sequence++
			r := u.report("s", 5)
			r.ID, r.Born = "j", sequence
			u.setHealth(strings.Replace(u.health, "Name: i", "Name: j", 1))
			assert.NilError(t, n.Heartbeat(r))
			k.awaitReady(t, n, "s", 5)
		}},
		"ClientLimits.MaxHeaderBytes": {func(c *wasabistand.Configuration) { c.Clients.MaxHeaderBytes = 200 }, func(t *testing.T, open net.Conn) {
			assert.Equal(t, exchange(t, open, get+"X: "+strings.Repeat("a", 300)+"\r\n\r\n"), http.StatusRequestHeaderFieldsTooLarge)
		}},
		"ClientLimits.MaxBodyBytes": {func(c *wasabistand.Configuration) { c.Clients.MaxBodyBytes = 2 }, func(t *testing.T, open net.Conn) {
			assert.Equal(t, exchange(t, open, "POST /book/x HTTP/1.1\r\nHost: h\r\nId: p\r\nContent-Length: 3\r\n\r\nabc"), http.StatusRequestEntityTooLarge)
		}},
		"ClientLimits.HeaderTimeout": {func(c *wasabistand.Configuration) { c.Clients.HeaderTimeout = 50 * time.Millisecond }, func(t *testing.T, open net.Conn) {
			assert.Equal(t, exchange(t, open, get), http.StatusRequestTimeout)
		}},
		"ClientLimits.IdleTimeout": {func(c *wasabistand.Configuration) { c.Clients.IdleTimeout = 50 * time.Millisecond }, func(t *testing.T, open net.Conn) {
			assert.NilError(t, open.SetDeadline(time.Now().Add(20*time.Second)))
			_, err := open.Read(make([]byte, 1))
			assert.Equal(t, err, io.EOF, "the connection stays open")
		}},
	}
	for _, of := range []reflect.Type{reflect.TypeFor[wasabistand.Host](), reflect.TypeFor[wasabistand.UpstreamPolicy](), reflect.TypeFor[wasabistand.ClientLimits]()} {
		for field := range of.NumField() {
			name := of.Name() + "." + of.Field(field).Name
			test, ok := tests[name]
			assert.Assert(t, ok, "%s has no test", name)
			t.Run(name, func(t *testing.T) {
				open, err := net.Dial("tcp", n.address)
				assert.NilError(t, err)
				defer open.Close()
				assert.Equal(t, exchange(t, open, get+"\r\n"), http.StatusOK)
				changed := configuration(time.Minute)
				test.change(changed)
				k.publish(changed)
				revision := k.View().Revision
				await(t, func() bool { return n.Revision() >= revision })
				test.check(t, open)
				// The next case begins with the first configuration.
				k.publish(configuration(time.Minute))
				await(t, func() bool { return n.Revision() > revision })
				await(t, func() bool { return connections() == 100 && status("/read/x") == 200 })
			})
		}
	}
}
