package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Size and pace of an upload.
const (
	uploadChunk  = 64 << 10
	uploadChunks = 32
	uploadPause  = 15 * time.Millisecond
	uploadLimit  = 10 * time.Second
)

// call sends one request on a new connection. It returns the status, 0 for none.
func call(address, method, path, id string, timeout time.Duration, body string) (int, string) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(timeout + time.Second))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", method, path, manifestHost, id, timeout.Milliseconds(), len(body), body)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(b))
}

// upload sends one upload with a body in chunks and returns the digest of what was
// sent, and the status of the response, 0 for none.
func upload(address, prefix, id string) (digest string, status int, body string, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", 0, "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(uploadLimit + 2*time.Second))
	w := bufio.NewWriterSize(c, uploadChunk+64)
	fmt.Fprintf(w, "POST %s%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: %d\r\nTransfer-Encoding: chunked\r\n\r\n", prefix, id, manifestHost, id, uploadLimit.Milliseconds())
	h := sha256.New()
	chunk := make([]byte, uploadChunk)
	for range uploadChunks {
		for k := range chunk {
			chunk[k] = byte(rand.Uint32())
		}
		_, _ = h.Write(chunk)
		fmt.Fprintf(w, "%x\r\n", len(chunk))
		_, _ = w.Write(chunk)
		_, _ = w.WriteString("\r\n")
		if err := w.Flush(); err != nil {
			break // The response says why, if there is one.
		}
		time.Sleep(uploadPause)
	}
	_, _ = w.WriteString("0\r\n\r\n")
	_ = w.Flush()
	digest = hex.EncodeToString(h.Sum(nil)[:8])
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return digest, 0, "", err
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	return digest, response.StatusCode, string(b), err
}
