package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatInterval is the time between two check-ins of a worker.
const heartbeatInterval = 1500 * time.Millisecond

// worker is a server of a service. It runs as many requests at a time as it has slots and
// lets a few more wait.
type worker struct {
	machine *machine
	id      string
	born    int64
	work    time.Duration
	slots   chan struct{}
	queue   int
	// answerBytes is the length of an answer's body, and broken the share of answers of
	// which only the first half is sent.
	answerBytes int
	broken      float64

	mu      sync.Mutex
	waiting int
	arrived map[string]time.Time
	ran     map[string]bool
}

// startWorker starts a worker beside a node. It ends with the program.
func startWorker(m *machine, slots, queue, answerBytes int, work time.Duration) (*worker, error) {
	ln, err := net.Listen("tcp", m.at(portApp))
	if err != nil {
		return nil, err
	}
	w := &worker{
		machine: m, id: "i-" + strconv.FormatInt(time.Now().UnixNano(), 36), born: time.Now().UnixMilli(), work: work,
		slots: make(chan struct{}, slots), queue: queue, answerBytes: answerBytes, arrived: map[string]time.Time{}, ran: map[string]bool{},
	}
	go func() { _ = (&http.Server{Handler: w, IdleTimeout: 10 * time.Second}).Serve(ln) }()
	go w.checkIn()
	return w, nil
}

// ServeHTTP runs a request, or rejects it if it is for another worker or too many wait.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		out.Header().Set("Instance-Id", w.id)
		return
	}
	id := r.Header.Get("Request-Id")
	out.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !w.admit(id) {
		out.Header().Set("Not-Executed", "full")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.slots }()
	// A request that is not whole is not run.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.mu.Lock()
	w.ran[id] = true
	w.mu.Unlock()
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	out.Header().Set("Response-Signature", w.id+"."+id)
	body := bytes.Repeat([]byte("x"), w.answerBytes)
	out.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.mu.Lock()
	isBroken := rand.Float64() < w.broken
	w.mu.Unlock()
	if isBroken {
		_, _ = out.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = out.Write(body)
}

// breakOff sets the share of answers that are broken off.
func (w *worker) breakOff(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = share
}

// admit records the arrival of a request and waits for a slot. It returns false if too
// many requests wait.
func (w *worker) admit(id string) bool {
	w.mu.Lock()
	w.arrived[id] = time.Now()
	full := w.waiting >= w.queue
	if !full {
		w.waiting++
	}
	w.mu.Unlock()
	if full {
		return false
	}
	w.slots <- struct{}{}
	w.mu.Lock()
	w.waiting--
	w.mu.Unlock()
	return true
}

// checkIn sends heartbeats to the node on the machine.
func (w *worker) checkIn() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for sequence := 1; ; sequence++ {
		body, err := json.Marshal(map[string]any{
			"service": w.machine.service, "address": w.machine.at(portApp), "zone": zones[w.machine.place].zone, "version": "v1",
			"slots": cap(w.slots), "state": "ready", "cold_remaining_s": 0, "sequence": sequence, "born": w.born,
		})
		if err != nil {
			return
		}
		// A heartbeat that fails is followed by the next one.
		if response, err := client.Post("http://"+w.machine.address()+"/Instances.Heartbeat/"+w.id, "application/json", bytes.NewReader(body)); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		time.Sleep(heartbeatInterval)
	}
}
