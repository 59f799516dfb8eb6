package wasabidaemon_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/gen/wasabistand/v1/wasabistandv1connect"
	"github.com/wasabistand/wasabistand/wasabidaemon"
	"github.com/wasabistand/wasabistand/wasabioperator"
	"github.com/wasabistand/wasabistand/wasabisettings"
	"github.com/wasabistand/wasabistand/wasabiupstream"
)

// Guards against a command that starts without a readable settings file.
func TestCommandRequiresSettings(t *testing.T) {
	for _, c := range wasabidaemon.New(io.Discard) {
		assert.Assert(t, wasabistand.ErrInvalid.Has(c.ParseAndRun(t.Context(), nil)), c.Name)
		assert.Assert(t, c.ParseAndRun(t.Context(), []string{"-settings", t.TempDir() + "/absent"}) != nil, c.Name)
	}
}

const token = "a-token-of-more-than-16-bytes"

const document = `
[[Services]]
Name = "slot-keeper"

[[Services.Calls]]
Name = "book"
Method = "POST"
Path = "/slots/{id}"
Importance = "Critical"
Idempotent = false
`

// addresses returns free loopback addresses. All listeners are open at the same
// time, so that no two addresses are equal.
func addresses(t *testing.T, n int) []string {
	var list []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer ln.Close()
		list = append(list, ln.Addr().String())
	}
	return list
}

// Guards against a setting that is not passed to its component: a node and a
// control instance built from settings files serve a non-idempotent call, replay
// its response, list its events and stop gracefully. Also guards against the only
// control instance of a group waiting for another one to become leader.
func TestNodeWithControl(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	a := addresses(t, 5)
	c, err := wasabisettings.ParseControl("control.toml", []byte(fmt.Sprintf(`
Cluster = "test"
Instance = "control-1"
Region = "flanders"
FailureDomain = "a"
DataFolder = %q
[Listen]
Link = %q
API = %q
[[Groups]]
Name = "root"
[[Groups.Members]]
Instance = "control-1"
Address = %q
[[Tokens]]
Operator = "committee"
Right = "Change"
Token = %q
`, t.TempDir(), a[0], a[1], a[0], token)))
	assert.NilError(t, err)
	control := wasabidaemon.NewControl(c, zerolog.Nop())
	assert.NilError(t, control.Start(ctx))
	defer func() { assert.NilError(t, control.Close()) }()

	upstream := wasabiupstream.New(wasabiupstream.NewSettings("slot-keeper"))
	assert.NilError(t, upstream.Start())
	defer upstream.Close()
	n, err := wasabisettings.ParseNode("node.toml", []byte(fmt.Sprintf(`
Cluster = "test"
Instance = "slot-keeper-1"
Region = "flanders"
FailureDomain = "a"
[Upstream]
Service = "slot-keeper"
URL = %q
Slots = 10
Connections = 20
[Listen]
Traffic = %q
Link = %q
Admin = %q
[Control]
Addresses = [%q]
[Limits]
DrainTime = "5s"
`, upstream.URL(), a[2], a[3], a[4], a[0])))
	assert.NilError(t, err)
	node := wasabidaemon.NewNode(n, zerolog.Nop())
	assert.NilError(t, node.Start(ctx))
	defer func() { assert.NilError(t, node.Close()) }()

	client, err := wasabioperator.New(wasabioperator.NewOptions(a[1]).WithToken(token).WithTimeout(10 * time.Second))
	assert.NilError(t, err)
	apply := &wasabistandv1.ApplyRequest{Command: &wasabistandv1.CommandIdentity{Id: "0123456789abcdef", IssuedUnixMs: time.Now().UnixMilli()}, Toml: document}
	_, err = wasabioperator.Call(ctx, client, apply, func(k wasabistandv1connect.OperatorServiceClient) func(context.Context, *connect.Request[wasabistandv1.ApplyRequest]) (*connect.Response[wasabistandv1.ApplyResponse], error) {
		return k.Apply
	})
	assert.NilError(t, err)

	first := book(ctx, t, a[2], "request-1")
	assert.Equal(t, first, "")
	again := book(ctx, t, a[2], "request-2")
	assert.Equal(t, again, "true")

	events, err := wasabistandv1connect.NewEventServiceClient(http.DefaultClient, "http://"+a[4]).ListEvents(ctx, connect.NewRequest(&wasabistandv1.ListEventsRequest{RequestId: "request-1"}))
	assert.NilError(t, err)
	assert.Assert(t, len(events.Msg.GetEvents()) > 0)
	assert.NilError(t, node.Shutdown(ctx))
	assert.NilError(t, node.Close())
	assert.NilError(t, control.Shutdown(ctx))
}

// book retries a booking until the node is ready and the outcome for the
// idempotency key is known. It returns the header field Wasabi-Replayed of the
// response.
func book(ctx context.Context, t *testing.T, address, request string) string {
	// Keep-alive may leave a connection that was never used, and such a
	// connection delays a server's shutdown by five seconds.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/slots/7", nil)
		assert.NilError(t, err)
		for k, v := range map[string]string{"Wasabi-Service": "slot-keeper", "Wasabi-Caller": "grower", "Wasabi-Request": request, "Idempotency-Key": "key-1"} {
			r.Header.Set(k, v)
		}
		resp, err := client.Do(r)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		if resp.StatusCode == http.StatusOK {
			// The response is that of the first request, whether replayed or not.
			assert.Assert(t, strings.HasPrefix(string(body), wasabiupstream.ResponsePrefix("slot-keeper", "request-1")), "%.80q", body)
			return resp.Header.Get("Wasabi-Replayed")
		}
		outcome := resp.Header.Get("Wasabi-Outcome")
		assert.Assert(t, outcome == "not-run" || outcome == "already-running", "status %d, outcome %q: %s", resp.StatusCode, outcome, body)
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			t.Fatalf("no booking: %s", body)
		}
	}
}
