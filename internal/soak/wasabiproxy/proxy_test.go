package wasabiproxy_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/internal/soak/wasabiproxy"
)

// play starts a target that answers each line with the same line, a proxy in front of
// it, and a connection.
func play(t *testing.T, s wasabiproxy.Settings) (*wasabiproxy.Proxy, net.Conn, *bufio.Reader) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	s.Listen, s.Target = "127.0.0.1:0", ln.Addr().String()
	p, err := wasabiproxy.New(s)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, p.Close()) })
	c, err := net.Dial("tcp", p.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return p, c, bufio.NewReader(c)
}

func exchange(t *testing.T, c net.Conn, r *bufio.Reader, text string) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err := fmt.Fprintln(c, text)
	assert.NilError(t, err)
	got, err := r.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, got, text+"\n")
}

func TestDelayBothWays(t *testing.T) {
	_, c, r := play(t, wasabiproxy.Settings{Delay: 30 * time.Millisecond, DelayShare: 1})
	started := time.Now()
	exchange(t, c, r, "one")
	assert.Assert(t, time.Since(started) >= 60*time.Millisecond)
}

// What is sent during a silence must arrive after it, in order: a peer that lost bytes
// of a stream would fail for a reason that no network has.
func TestSilenceEnds(t *testing.T) {
	for _, rule := range []wasabiproxy.Rule{{In: true, Share: 1}, {Out: true, Share: 1}, {In: true, Out: true, Share: 1}} {
		p, c, r := play(t, wasabiproxy.Settings{})
		exchange(t, c, r, "before")
		p.SetRule(rule)
		_, err := fmt.Fprintln(c, "during")
		assert.NilError(t, err)
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		_, err = r.ReadByte()
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		p.SetRule(wasabiproxy.Rule{})
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
		got, err := r.ReadString('\n')
		assert.NilError(t, err)
		assert.Equal(t, got, "during\n")
		exchange(t, c, r, "after")
	}
}

// A rule for no connection must leave all alone.
func TestSilenceOfNone(t *testing.T) {
	p, c, r := play(t, wasabiproxy.Settings{})
	p.SetRule(wasabiproxy.Rule{In: true, Out: true})
	exchange(t, c, r, "one")
}

func TestResetEndsConnections(t *testing.T) {
	p, c, r := play(t, wasabiproxy.Settings{})
	exchange(t, c, r, "one")
	p.Reset(1)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err := r.ReadByte()
	assert.Assert(t, err != nil)
	assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}

// The end of one direction must not end the other one.
func TestHalfClose(t *testing.T) {
	_, c, r := play(t, wasabiproxy.Settings{})
	_, err := fmt.Fprintln(c, "last")
	assert.NilError(t, err)
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
	b, err := io.ReadAll(r)
	assert.NilError(t, err)
	assert.Equal(t, string(b), "last\n")
}

// Close must return while connections are silent.
func TestCloseDuringSilence(t *testing.T) {
	p, c, r := play(t, wasabiproxy.Settings{})
	exchange(t, c, r, "one")
	p.SetRule(wasabiproxy.Rule{In: true, Out: true, Share: 1})
	_, err := fmt.Fprintln(c, "two")
	assert.NilError(t, err)
}
