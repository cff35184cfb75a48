package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// discoveryServer is a small discovery: it sends the whole list, then each change that a test announces.
type discoveryServer struct {
	addr string

	mu       sync.Mutex
	revision int
	list     []member
	delta    []member
	raw      string // answered instead, where set
	changed  chan struct{}
	watches  int
	ends     int // watches that the node has ended
	answered atomic.Int64
}

func startDiscoveryServer(t *testing.T, list []member) *discoveryServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &discoveryServer{addr: l.Addr().String(), revision: 1, list: list, changed: make(chan struct{})}
	srv := &http.Server{Handler: d}
	t.Cleanup(func() { _ = srv.Close() })
	go func() { _ = srv.Serve(l) }()
	return d
}

// startDiscoveryServerAt serves at an address that another one had before.
func startDiscoveryServerAt(t *testing.T, addr string, list []member) *discoveryServer {
	t.Helper()
	var l net.Listener
	eventually(t, "the address", func() (ok bool) {
		var err error
		l, err = net.Listen("tcp", addr)
		return err == nil
	})
	d := &discoveryServer{addr: addr, revision: 1, list: list, changed: make(chan struct{})}
	srv := &http.Server{Handler: d}
	t.Cleanup(func() { _ = srv.Close() })
	go func() { _ = srv.Serve(l) }()
	return d
}

// announce changes entries; the node's watch is answered with them.
func (d *discoveryServer) announce(delta ...member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.delta = delta
	close(d.changed)
	d.changed = make(chan struct{})
}

// respondWith has every poll answered with a text from now on; "" ends that.
func (d *discoveryServer) respondWith(raw string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.raw = raw
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer d.answered.Add(1)
	from, hold := r.URL.Query().Get("from"), r.URL.Query().Get("hold_ms")
	d.mu.Lock()
	if n, _ := strconv.Atoi(from); from != "" && n == d.revision && d.raw == "" {
		changed, ms := d.changed, 0
		ms, _ = strconv.Atoi(hold)
		d.watches++
		d.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-r.Context().Done():
			d.mu.Lock()
			defer d.mu.Unlock()
			d.ends++
			return
		}
		d.mu.Lock()
	}
	defer d.mu.Unlock()
	if d.raw != "" {
		_, _ = io.WriteString(w, d.raw)
		return
	}
	out := map[string]any{"revision": d.revision, "complete": from == "", "members": d.list}
	if from != "" {
		out["members"] = d.delta
		if d.delta == nil {
			out["members"] = []member{}
		}
	}
	_ = json.NewEncoder(w).Encode(out)
}

func (d *discoveryServer) watchCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watches
}

// endedWatches is the number of watches that the node has ended.
func (d *discoveryServer) endedWatches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ends
}
