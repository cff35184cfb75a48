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

// discoveryServer is a small discovery server for tests. It responds to a poll without a revision with the full list,
// and to a watch with the next change that a test announces, or with the full list after announceList.
type discoveryServer struct {
	addr string

	mu                  sync.Mutex
	revision            int
	list                []member
	delta               []member
	complete            bool            // watches are answered with the full list
	noMembers           json.RawMessage // the value of "members" in a full list without members; nil: []; empty: left out
	raw                 string          // if not empty, the body of every response
	silent              bool            // no call is answered
	changed             chan struct{}   // closed on a change, then replaced
	watches             int
	cancelledWatchCount int          // watches that the node cancelled
	responseCount       atomic.Int64 // responses and cancelled watches
}

// startDiscoveryServer starts a discovery server on a free port.
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

// startDiscoveryServerAt starts a discovery server at an address that another one used before.
func startDiscoveryServerAt(t *testing.T, addr string, list []member) *discoveryServer {
	t.Helper()
	var l net.Listener
	eventually(t, "the listener on the discovery address", func() (listening bool) {
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

// announce increments the revision and responds to the node's watch with the changed entries.
func (d *discoveryServer) announce(delta ...member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.delta = delta
	d.complete = false
	close(d.changed)
	d.changed = make(chan struct{})
}

// announceList increments the revision, replaces the list and responds to the node's watch with all of it.
func (d *discoveryServer) announceList(list []member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.list = list
	d.complete = true
	close(d.changed)
	d.changed = make(chan struct{})
}

// respondWith ends the open watches and sets the body of every further response. If raw is empty, the server responds with
// the list again.
func (d *discoveryServer) respondWith(raw string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.raw = raw
	close(d.changed)
	d.changed = make(chan struct{})
}

// silence ends the open watches and leaves every further call without a response.
func (d *discoveryServer) silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = true
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer d.responseCount.Add(1)
	from, holdMs := r.URL.Query().Get("from"), r.URL.Query().Get("hold_ms")
	d.mu.Lock()
	if fromRevision, _ := strconv.Atoi(from); from != "" && fromRevision == d.revision && d.raw == "" {
		changed, waitMs := d.changed, 0
		waitMs, _ = strconv.Atoi(holdMs)
		d.watches++
		d.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(waitMs) * time.Millisecond):
		case <-r.Context().Done():
			d.mu.Lock()
			defer d.mu.Unlock()
			d.cancelledWatchCount++
			return
		}
		d.mu.Lock()
	}
	if d.silent {
		d.mu.Unlock()
		<-r.Context().Done()
		return
	}
	defer d.mu.Unlock()
	if d.raw != "" {
		_, _ = io.WriteString(w, d.raw)
		return
	}
	_ = json.NewEncoder(w).Encode(d.answer(from == "" || d.complete))
}

// answer returns the response to a call: the full list, or the last change. The caller holds d.mu.
func (d *discoveryServer) answer(complete bool) map[string]any {
	out := map[string]any{"revision": d.revision, "complete": complete}
	members := d.delta
	if complete {
		members = d.list
	}
	switch {
	case len(members) > 0:
		out["members"] = members
	case !complete || d.noMembers == nil:
		out["members"] = []member{}
	case len(d.noMembers) > 0:
		out["members"] = d.noMembers
	}
	return out
}

// watchCount returns the number of watches that the node has started.
func (d *discoveryServer) watchCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watches
}

// cancelledWatches returns the number of watches that the node cancelled.
func (d *discoveryServer) cancelledWatches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cancelledWatchCount
}
