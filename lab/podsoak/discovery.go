package podsoak

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"tackhub.example/tackhub/lab/catalog"
)

// discoveryServer answers by a catalog.
type discoveryServer struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	catalog *catalog.Catalog
	changed chan struct{} // closed and replaced at each change
}

// startDiscovery starts a discovery with the given members.
func startDiscovery(members []catalog.Member, seed uint64) (*discoveryServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discoveryServer{address: l.Addr().String(), catalog: catalog.New(1, members, seed), changed: make(chan struct{})}
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(l) }() // ends with close
	return d, nil
}

func (d *discoveryServer) close() { _ = d.server.Close() }

// apply changes members.
func (d *discoveryServer) apply(members []catalog.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.catalog.Apply(members...)
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP answers a call for the whole list, or waits for changes.
func (d *discoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		d.mu.Lock()
		answer := d.catalog.Poll()
		d.mu.Unlock()
		_ = answer.Write(w)
		return
	}
	holdMillis, _ := strconv.Atoi(r.URL.Query().Get("hold_ms")) // 0 if it is missing
	d.awaitChange(r, since, time.Duration(holdMillis)*time.Millisecond)
	d.mu.Lock()
	answer := d.catalog.Watch(since)
	d.mu.Unlock()
	_ = answer.Write(w)
}

// awaitChange waits until the revision is no longer the given one, for a time at most.
func (d *discoveryServer) awaitChange(r *http.Request, since int64, hold time.Duration) {
	d.mu.Lock()
	changed := d.changed
	isCurrent := since == d.catalog.Revision()
	d.mu.Unlock()
	if !isCurrent {
		return
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
	}
}
