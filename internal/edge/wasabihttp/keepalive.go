package wasabihttp

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// isIdle reports whether a connection is open and has nothing to read. An idle one
// with something to read was closed by its peer, or holds bytes that belong to no
// request.
func isIdle(c net.Conn) bool {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	if err := raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN || err == syscall.EINTR
	}); err != nil {
		return false
	}
	return open
}

// keepAliveMargin is subtracted from the keep-alive timeout of an upstream, so that
// a request does not cross its close of the connection.
const keepAliveMargin = time.Second

// keepAliveTimeout returns how long the peer keeps an idle connection open.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for _, v := range h["Keep-Alive"] {
		for _, f := range strings.Split(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(f), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n >= 0 && n < 1<<20 {
				return max(time.Duration(n)*time.Second-keepAliveMargin, 0), true
			}
		}
	}
	return 0, false
}
