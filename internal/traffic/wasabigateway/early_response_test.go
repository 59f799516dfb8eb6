package wasabigateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newEarlyUpstream returns an upstream that responds to a request with the result of
// respond before it has read the body, and then reads on. stop makes it unreachable.
func newEarlyUpstream(t *testing.T, name string, respond func(q *http.Request) string) (u *upstream, stop func()) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	u = &upstream{name: name, address: ln.Addr().String(), gone: make(chan string, 16), health: "HTTP/1.1 200 OK\r\nName: " + name + "\r\nContent-Length: 0\r\n\r\n"}
	serve := func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			text := u.health
			if q.URL.Path != "/health" {
				text = respond(q)
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return
			}
		}
	}
	go acceptAll(ln, serve)
	return u, func() { _ = ln.Close() }
}

// upload sends an upload of the given size in pieces until it is sent or the
// connection ends, and returns the status of the response.
func upload(n *node, id string, size int) (int, error) {
	c, err := net.Dial("tcp", n.address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if _, err := fmt.Fprintf(c, "POST /book/x HTTP/1.1\r\nHost: h\r\nId: %s\r\nContent-Length: %d\r\n\r\n", id, size); err != nil {
		return 0, err
	}
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() {
		piece := []byte(strings.Repeat("x", 16<<10))
		for sent := 0; sent < size; sent += len(piece) {
			if _, err := c.Write(piece); err != nil {
				return
			}
		}
	})
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// Guards against two goroutines that read the same body, which ended the process, when
// an upstream responds before a long upload is in.
func TestEarlyResponseToLongUpload(t *testing.T) {
	for _, place := range []string{"other node", "own node"} {
		t.Run(place, func(t *testing.T) {
			k := newControl(configuration(time.Minute))
			u, _ := newEarlyUpstream(t, "i", func(q *http.Request) string {
				return "HTTP/1.1 413 X\r\nId: " + q.Header.Get("Id") + "\r\nMark: m\r\nContent-Length: 0\r\n\r\n"
			})
			entry := newNode(t, k, "target", "s", u.address)
			entry.sendHeartbeat(t, k, u, "s", 100)
			if place == "other node" {
				entry = newNode(t, k, "entry", "t", "127.0.0.1:1")
			}
			for round := range 4 {
				var wait sync.WaitGroup
				for n := range 50 {
					wait.Go(func() {
						status, err := upload(entry, fmt.Sprint(round, "-", n), 4<<20)
						assert.Check(t, err)
						assert.Check(t, status == 413, status)
					})
				}
				wait.Wait()
			}
		})
	}
}
