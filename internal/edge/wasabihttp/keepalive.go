package wasabihttp

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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

// hasDeparted reports whether the peer has ended its stream or reset the connection, also
// behind bytes that are not read yet.
func hasDeparted(c net.Conn) bool {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	departed := false
	if err := raw.Control(func(fd uintptr) {
		list := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(list, 0)
		departed = err == nil && n > 0 && list[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	}); err != nil {
		return false
	}
	return departed
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
