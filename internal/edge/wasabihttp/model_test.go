package wasabihttp_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wasabistand/wasabistand/internal/edge/wasabihttp"
	_ "github.com/wasabistand/wasabistand/internal/wasabiseed"
)

// message is a request of a caller and the handler's response to it.
type message struct {
	id       string
	method   string
	body     string
	chunked  bool
	response string
	pieces   int // number of writes, 0 for a response written at once, -1 for one of unknown length
	yields   int // how often the handler yields the processor before it responds
}

func drawMessage(t *rapid.T, id int) message {
	m := message{
		id: fmt.Sprint(id), method: rapid.SampledFrom([]string{"GET", "GET", "GET", "POST"}).Draw(t, "method"),
		response: strings.Repeat(fmt.Sprint(id%10), rapid.IntRange(0, 9000).Draw(t, "answer")),
		pieces:   rapid.IntRange(-1, 3).Draw(t, "pieces"), yields: rapid.IntRange(0, 50).Draw(t, "yields"),
	}
	if m.method == http.MethodPost {
		m.body = strings.Repeat("b", rapid.IntRange(0, 6000).Draw(t, "body"))
		m.chunked = rapid.Bool().Draw(t, "chunked")
	}
	return m
}

func (m message) text() string {
	switch {
	case m.chunked && m.body != "":
		half := len(m.body) / 2
		s := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", m.method, m.id)
		for _, p := range []string{m.body[:half], m.body[half:]} {
			if p != "" {
				s += fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
			}
		}
		return s + "0\r\n\r\n"
	case m.method == http.MethodPost:
		return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", m.method, m.id, len(m.body), m.body)
	}
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: h\r\n\r\n", m.method, m.id)
}

// write writes the response of the message.
func (m message) write(x *wasabihttp.Exchange, got string) {
	h := http.Header{"Got": {fmt.Sprint(len(got))}, "Id": {m.id}}
	if m.pieces == 0 {
		_ = x.Respond(http.StatusOK, h, []byte(m.response))
		return
	}
	length := int64(len(m.response))
	if m.pieces < 0 {
		length = -1
	}
	if x.Begin(http.StatusOK, h, length) != nil {
		return
	}
	size := len(m.response)/max(m.pieces, 2) + 1
	for rest := m.response; rest != ""; {
		n := min(size, len(rest))
		if _, err := x.Write([]byte(rest[:n])); err != nil {
			return
		}
		rest = rest[n:]
	}
	_ = x.End()
}

// Guards against responses of one connection that are lost, mixed up, truncated or
// out of order, whatever is pipelined and however the bytes arrive. The model is a
// list of requests, each of which has its own response.
func TestServerConnectionModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var list []message
		byID := map[string]message{}
		var text strings.Builder
		for id := range rapid.IntRange(1, 12).Draw(rt, "requests") {
			m := drawMessage(rt, id)
			list = append(list, m)
			byID["/"+m.id] = m
			text.WriteString(m.text())
		}
		cuts := rapid.SliceOfN(rapid.IntRange(1, 4000), 1, 8).Draw(rt, "cuts")
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(rt, err)
		s := wasabihttp.NewServer(func(_ context.Context, x *wasabihttp.Exchange) {
			m := byID[x.Request.RequestURI]
			for range m.yields {
				runtime.Gosched()
			}
			var body []byte
			if r := x.Body(); r != nil {
				body, _ = io.ReadAll(r)
			}
			m.write(x, string(body))
		}, limits, 4)
		s.SetPipelined(func(r *http.Request) bool { return r.Method == http.MethodGet })
		done := make(chan struct{})
		go func() { defer close(done); _ = s.Serve(ln) }()
		defer func() { _ = ln.Close(); assert.NilError(rt, s.Close()); <-done }()
		c, err := net.Dial("tcp", ln.Addr().String())
		assert.NilError(rt, err)
		defer c.Close()
		assert.NilError(rt, c.SetDeadline(time.Now().Add(20*time.Second)))
		go func() {
			for rest, k := text.String(), 0; rest != ""; k++ {
				n := min(cuts[k%len(cuts)], len(rest))
				if _, err := io.WriteString(c, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
				runtime.Gosched()
			}
		}()
		r := bufio.NewReader(c)
		for _, m := range list {
			a, err := http.ReadResponse(r, nil)
			assert.NilError(rt, err, "request %s", m.id)
			b, err := io.ReadAll(a.Body)
			assert.NilError(rt, err)
			assert.NilError(rt, a.Body.Close())
			assert.Equal(rt, a.Header.Get("Id"), m.id)
			assert.Equal(rt, a.Header.Get("Got"), fmt.Sprint(len(m.body)))
			assert.Assert(rt, string(b) == m.response, "request %s: %d bytes of %d", m.id, len(b), len(m.response))
		}
	})
}

// The forms of an upstream's response. Those from formTruncated on are no complete
// response.
const (
	formLength = iota
	formChunked
	formUntilClose
	formExtra         // more bytes follow the complete response
	formStray         // a response to an earlier request comes first
	formClose         // complete, and the connection is closed
	formTruncated     // the body ends early
	formTruncatedHead // the head ends early
	formGarbage       // not HTTP
	formTruncatedChunk
	forms
)

func upstreamResponse(form int, id, body string) string {
	head := "HTTP/1.1 200 OK\r\nId: " + id + "\r\n"
	plain := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	switch form {
	case formChunked:
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	case formUntilClose:
		return head + "\r\n" + body
	case formExtra:
		return plain + "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nextra"
	case formStray:
		return "HTTP/1.1 200 OK\r\nId: before\r\nContent-Length: 5\r\n\r\nstray" + plain
	case formClose:
		return fmt.Sprintf("%sConnection: close\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	case formTruncated:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body)+1, body)
	case formTruncatedHead:
		return head
	case formGarbage:
		return "\x00\x01 nothing of HTTP\r\n\r\n"
	case formTruncatedChunk:
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(body), body)
	}
	return plain
}

// closesConnection reports whether the upstream closes the connection after a
// response.
func closesConnection(form int) bool {
	return form == formUntilClose || form == formClose || form >= formTruncated
}

// Guards against bytes of one response that reach another request, and against a
// truncated response that looks complete. The model gives each call its own body,
// or an error where the upstream's bytes are no complete response.
func TestUpstreamConnectionModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		forms := rapid.SliceOfN(rapid.IntRange(0, forms-1), 1, 12).Draw(rt, "forms")
		sizes := rapid.SliceOfN(rapid.IntRange(1, 9000), len(forms), len(forms)).Draw(rt, "sizes")
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(rt, err)
		defer ln.Close()
		body := func(k int) string { return strings.Repeat(string(rune('a'+k)), sizes[k]) }
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					r := bufio.NewReader(c)
					for {
						q, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						var k int
						if _, err := fmt.Sscan(q.Header.Get("Id"), &k); err != nil {
							return
						}
						if _, err := io.WriteString(c, upstreamResponse(forms[k], q.Header.Get("Id"), body(k))); err != nil || closesConnection(forms[k]) {
							return
						}
					}
				}()
			}
		}()
		u := wasabihttp.NewUpstream(wasabihttp.UpstreamOptions{
			Address: ln.Addr().String(), MaxConnections: 4, IdleTimeout: time.Minute, DialTimeout: 5 * time.Second, EchoHeader: "Id", MaxHeaderBytes: 4096,
		})
		defer u.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		for k, form := range forms {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://h/x", nil)
			assert.NilError(rt, err)
			r.Header.Set("Id", fmt.Sprint(k))
			got, err := readCall(ctx, u, r)
			if form >= formTruncated {
				assert.Assert(rt, err != nil, "form %d: accepted as a complete response", form)
				continue
			}
			if errors.Is(err, wasabihttp.ErrBadResponse) && k > 0 && forms[k-1] == formExtra {
				// Bytes of the previous response may still arrive when the connection
				// is reused: the call fails, but gets no bytes of another response.
				continue
			}
			assert.NilError(rt, err, "form %d", form)
			assert.Assert(rt, got == body(k), "form %d: %d bytes of %d", form, len(got), sizes[k])
		}
	})
}

func readCall(ctx context.Context, u *wasabihttp.Upstream, r *http.Request) (string, error) {
	call, err := u.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer call.Close()
	b, err := io.ReadAll(call)
	return string(b), err
}
