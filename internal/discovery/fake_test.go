package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/counters"
)

const (
	largeFleetNodes = 300
	drainGrace      = 2 * time.Second
	promptResponse  = 100 * time.Millisecond // longest duration of a call that discovery answers at once
)

// fakeDiscovery serves one list, holds watches, and can limit the rate of list entries that it sends. Against that limit, a call
// counts as all entries of the list; only a watch that the same connection resumes within 200 ms counts as none.
type fakeDiscovery struct {
	mu       sync.Mutex
	revision int64
	members  []Member
	changed  chan struct{} // closed and replaced at each change
	stop     chan struct{}
	calls    int

	entriesPerSecond float64   // 0: unlimited
	queueEnd         time.Time // when all queued responses will have been sent

	rejecting    bool            // every call is rejected
	retryAfter   string          // Retry-After header of rejected calls; empty: none
	unresponsive bool            // no call is answered, not even on open connections
	stalledConns map[string]bool // connections on which no call is answered, by remote address
	truncating   bool            // only the start of each response is sent
	refusing     bool            // connections are refused
	hanging      bool            // connections are not established before the dial timeout
	resetting    bool            // connections are reset instead of a response

	seenConns     map[string]bool      // connections on which calls have arrived, by remote address
	lastResponses map[string]time.Time // time of the last response, by remote address
}

func newFakeDiscovery(servers int) *fakeDiscovery {
	d := &fakeDiscovery{
		revision:      1,
		changed:       make(chan struct{}),
		stop:          make(chan struct{}),
		seenConns:     map[string]bool{},
		lastResponses: map[string]time.Time{},
	}
	for i := range servers {
		d.members = append(d.members, Member{ID: fmt.Sprintf("s-%d", i), HostPort: fmt.Sprintf("127.0.0.1:%d", 1000+i), Phase: PhaseServing, Size: 1})
	}
	return d
}

func (d *fakeDiscovery) list() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return List{Revision: d.revision, Complete: true, Members: append([]Member(nil), d.members...)}
}

// drainServer sets one server to draining, which ends the watches.
func (d *fakeDiscovery) drainServer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.members[0].Phase = PhaseDraining
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *fakeDiscovery) update(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

func (d *fakeDiscovery) callCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// stallConns stops all responses on the connections that are open now. Other connections still get responses.
func (d *fakeDiscovery) stallConns() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stalledConns = map[string]bool{}
	for addr := range d.seenConns {
		d.stalledConns[addr] = true
	}
}

func (d *fakeDiscovery) refusesConns() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refusing
}

func (d *fakeDiscovery) hangsConns() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hanging
}

// admission is the result of admitting a call.
type admission struct {
	unresponsive bool
	rejected     bool
	retryAfter   string
	wait         time.Duration // time in the queue
}

// admit registers a call and queues it.
func (d *fakeDiscovery) admit(conn string, fromRevision int64) admission {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	d.seenConns[conn] = true
	a := admission{unresponsive: d.unresponsive || d.stalledConns[conn], rejected: d.rejecting, retryAfter: d.retryAfter}
	isNew := fromRevision < 0 || time.Since(d.lastResponses[conn]) > 200*time.Millisecond
	if isNew && d.entriesPerSecond > 0 {
		now := time.Now()
		if d.queueEnd.Before(now) {
			d.queueEnd = now
		}
		d.queueEnd = d.queueEnd.Add(time.Duration(float64(len(d.members)) / d.entriesPerSecond * float64(time.Second)))
		a.wait = d.queueEnd.Sub(now)
	}
	return a
}

func (d *fakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fromRevision, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		fromRevision = -1
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	holdEnd := time.Now().Add(time.Duration(hold) * time.Millisecond)
	admitted := d.admit(r.RemoteAddr, fromRevision)
	const maxQueueing = 2 * time.Second
	switch {
	case admitted.unresponsive:
		<-d.stop
		return
	case admitted.rejected || admitted.wait > maxQueueing:
		if admitted.wait > 0 {
			time.Sleep(maxQueueing)
		}
		if admitted.retryAfter != "" {
			w.Header().Set("Retry-After", admitted.retryAfter)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(admitted.wait)
	if d.holdWatch(fromRevision, holdEnd) {
		d.respond(w, r.RemoteAddr, fromRevision)
	}
}

// holdWatch waits for a change or the end of the hold. It returns false if the fake was stopped first.
func (d *fakeDiscovery) holdWatch(fromRevision int64, holdEnd time.Time) bool {
	d.mu.Lock()
	for fromRevision >= 0 && fromRevision == d.revision && time.Now().Before(holdEnd) {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(holdEnd)):
		case <-d.stop:
			return false
		}
		d.mu.Lock()
	}
	d.mu.Unlock()
	return true
}

// respond sends the list or its changes, or fails in the configured way.
func (d *fakeDiscovery) respond(w http.ResponseWriter, conn string, fromRevision int64) {
	d.mu.Lock()
	if d.unresponsive || d.stalledConns[conn] { // became unresponsive while the watch was held
		d.mu.Unlock()
		<-d.stop
		return
	}
	if d.resetting {
		d.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	list := List{Revision: d.revision, Complete: fromRevision < 0, Members: []Member{}}
	switch {
	case fromRevision < 0:
		list.Members = append(list.Members, d.members...)
	case fromRevision < d.revision:
		list.Members = append(list.Members, d.members[0])
	}
	d.lastResponses[conn] = time.Now()
	truncating := d.truncating
	d.mu.Unlock()
	if truncating {
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, `{"revision":`)
		_ = http.NewResponseController(w).Flush()
		<-d.stop
		return
	}
	_ = json.NewEncoder(w).Encode(list)
}

// memoryListener accepts in-memory connections, for tests in a synctest bubble.
type memoryListener struct {
	accept chan net.Conn
	done   chan struct{}
}

type memoryAddr string

func (a memoryAddr) Network() string { return "memory" }
func (a memoryAddr) String() string  { return string(a) }

// addressedConn is a connection with its own remote address.
type addressedConn struct {
	net.Conn
	addr memoryAddr
}

func (c addressedConn) RemoteAddr() net.Addr { return c.addr }

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accept:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *memoryListener) Close() error   { return nil }
func (l *memoryListener) Addr() net.Addr { return memoryAddr("discovery") }

// fleet is a set of clients and the discovery services that they call, by address.
type fleet struct {
	t         *testing.T
	ctx       context.Context
	cancel    context.CancelFunc
	listeners map[string]*memoryListener
	services  map[string]*fakeDiscovery
	clients   []*Client
	closers   []func()

	mu     sync.Mutex
	dialed int
}

func newFleet(t *testing.T) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	return &fleet{t: t, listeners: map[string]*memoryListener{}, services: map[string]*fakeDiscovery{}, ctx: ctx, cancel: cancel}
}

// serve starts a discovery service at an address.
func (f *fleet) serve(address string, d *fakeDiscovery) {
	l := &memoryListener{accept: make(chan net.Conn), done: make(chan struct{})}
	f.listeners[address] = l
	f.services[address] = d
	server := &http.Server{Handler: d}
	go func() { _ = server.Serve(l) }()
	f.closers = append(f.closers, func() { close(l.done); close(d.stop); _ = server.Close() })
}

func (f *fleet) dial(address string, timeout time.Duration) (net.Conn, error) {
	local, remote := net.Pipe()
	f.mu.Lock()
	f.dialed++
	addr := memoryAddr(fmt.Sprintf("caller-%d", f.dialed))
	f.mu.Unlock()
	d := f.services[address]
	if d != nil && d.refusesConns() {
		return nil, syscall.ECONNREFUSED
	}
	if d != nil && d.hangsConns() {
		time.Sleep(timeout)
		return nil, os.ErrDeadlineExceeded
	}
	select {
	case f.listeners[address].accept <- addressedConn{remote, addr}:
		return local, nil
	case <-time.After(timeout):
		return nil, context.DeadlineExceeded
	}
}

// startClients starts n clients with a cached list.
func (f *fleet) startClients(n int, address string, cached List) {
	for range n {
		client := New(Options{Address: address, Nodes: n, MaxPollInterval: 10 * time.Second, DrainGrace: drainGrace, Dial: f.dial,
			Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Count: &counters.Counters{}}, cached)
		f.clients = append(f.clients, client)
		go client.Run(f.ctx, cached, ignoreUpdates{})
	}
}

// waitForRevision waits until every client has the revision, and returns how long the last client took.
func (f *fleet) waitForRevision(revision int64) time.Duration {
	f.t.Helper()
	start := time.Now()
	for time.Since(start) < time.Minute {
		outdated := 0
		for _, client := range f.clients {
			if client.List().Revision != revision {
				outdated++
			}
		}
		if outdated == 0 {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("some clients do not have revision %d after a minute", revision)
	return 0
}

func (f *fleet) close() {
	f.cancel()
	for _, client := range f.clients {
		client.currentTransport().abort()
	}
	for _, closer := range f.closers {
		closer()
	}
	time.Sleep(2 * time.Minute) // by the clock of the synctest bubble: the HTTP client checks for idle connections once a minute
}

// ignoreUpdates is a handler that ignores every update.
type ignoreUpdates struct{}

func (ignoreUpdates) UpdateEndpoints(balancer.EndpointUpdate) {}

// watchRequester is a handler that requests watches as the balancer does, and waits for the longest backoff of the balancer after
// each failed call.
type watchRequester struct{ client *Client }

func (r *watchRequester) UpdateEndpoints(update balancer.EndpointUpdate) {
	switch update.Kind {
	case balancer.CachedUpdate:
		r.client.WatchEndpoints()
	case balancer.UpdateFailed:
		time.AfterFunc(clock.Duration(balancer.MaxPollBackoff), r.client.WatchEndpoints)
	}
}
