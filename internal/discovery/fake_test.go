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
	manyNodes    = 300
	grace        = 2 * time.Second
	promptAnswer = 100 * time.Millisecond // for a call that discovery answers at once
)

// fakeDiscovery serves one list, holds watches, and may answer a limited rate of list entries. A watch that begins anew costs
// the whole list's entries, one that is resumed within 200 ms none.
type fakeDiscovery struct {
	mu       sync.Mutex
	revision int64
	members  []Member
	changed  chan struct{} // closed at each change
	stop     chan struct{}
	calls    int

	entriesPerSecond float64   // 0: not limited
	queueEnd         time.Time // when all queued answers have been written

	rejecting  bool            // every call is rejected ...
	retryAfter string          // ... with this Retry-After
	silent     bool            // nothing is answered, on open connections either
	lostConns  map[string]bool // connections on which nothing is answered any more, though others are
	truncating bool            // half of each answer is written, and no more
	refusing   bool            // no connection comes up
	hanging    bool            // likewise, without an error before the timeout
	resetting  bool            // each connection is reset instead of an answer

	seenConns   map[string]bool      // connections that have called
	lastAnswers map[string]time.Time // by connection
}

func newFakeDiscovery(servers int) *fakeDiscovery {
	d := &fakeDiscovery{
		revision:    1,
		changed:     make(chan struct{}),
		stop:        make(chan struct{}),
		seenConns:   map[string]bool{},
		lastAnswers: map[string]time.Time{},
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

// drainServer changes one server and ends the watches.
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

// loseConns has every connection that is open now go silent for good, while others are answered.
func (d *fakeDiscovery) loseConns() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lostConns = map[string]bool{}
	for addr := range d.seenConns {
		d.lostConns[addr] = true
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

// admission is what becomes of a call that has come in.
type admission struct {
	silent     bool
	rejected   bool
	retryAfter string
	wait       time.Duration // in the queue
}

// admit registers a call and queues it.
func (d *fakeDiscovery) admit(conn string, from int64) admission {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	d.seenConns[conn] = true
	a := admission{silent: d.silent || d.lostConns[conn], rejected: d.rejecting, retryAfter: d.retryAfter}
	fresh := from < 0 || time.Since(d.lastAnswers[conn]) > 200*time.Millisecond
	if fresh && d.entriesPerSecond > 0 {
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
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = -1
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	until := time.Now().Add(time.Duration(hold) * time.Millisecond)
	a := d.admit(r.RemoteAddr, from)
	const maxQueueing = 2 * time.Second
	switch {
	case a.silent:
		<-d.stop
		return
	case a.rejected || a.wait > maxQueueing:
		if a.wait > 0 {
			time.Sleep(maxQueueing)
		}
		if a.retryAfter != "" {
			w.Header().Set("Retry-After", a.retryAfter)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(a.wait)
	if d.holdWatch(from, until) {
		d.answer(w, r.RemoteAddr, from)
	}
}

// holdWatch waits for a change; false if the fake was stopped first.
func (d *fakeDiscovery) holdWatch(from int64, until time.Time) bool {
	d.mu.Lock()
	for from >= 0 && from == d.revision && time.Now().Before(until) {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-d.stop:
			return false
		}
		d.mu.Lock()
	}
	d.mu.Unlock()
	return true
}

// answer writes the list or its changes, or fails as it is set to.
func (d *fakeDiscovery) answer(w http.ResponseWriter, conn string, from int64) {
	d.mu.Lock()
	if d.silent || d.lostConns[conn] { // gone silent while the watch was held
		d.mu.Unlock()
		<-d.stop
		return
	}
	if d.resetting {
		d.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	list := List{Revision: d.revision, Complete: from < 0, Members: []Member{}}
	switch {
	case from < 0:
		list.Members = append(list.Members, d.members...)
	case from < d.revision:
		list.Members = append(list.Members, d.members[0])
	}
	d.lastAnswers[conn] = time.Now()
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

// memoryListener is a listener whose connections stay in memory, for tests in a synctest bubble.
type memoryListener struct {
	accept chan net.Conn
	done   chan struct{}
}

type memoryAddr string

func (a memoryAddr) Network() string { return "memory" }
func (a memoryAddr) String() string  { return string(a) }

// addressedConn gives each connection an address of its own.
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

// fleet is many clients of discovery services, each at an address.
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

// join starts clients that hold a list.
func (f *fleet) join(n int, address string, known List) {
	for range n {
		client := New(Options{Address: address, Nodes: n, MaxPollInterval: 10 * time.Second, DrainGrace: grace, Dial: f.dial,
			Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Count: &counters.Counters{}}, known)
		f.clients = append(f.clients, client)
		go client.Run(f.ctx, known, ignoreList{})
	}
}

// waitInformed waits until every client has the revision, and returns the time that the last one took.
func (f *fleet) waitInformed(revision int64) time.Duration {
	f.t.Helper()
	began := time.Now()
	for time.Since(began) < time.Minute {
		late := 0
		for _, client := range f.clients {
			if client.List().Revision != revision {
				late++
			}
		}
		if late == 0 {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("not all clients have revision %d after a minute", revision)
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
	time.Sleep(2 * time.Minute) // of the bubble's clock: the HTTP client looks for idle connections once a minute
}

// ignoreList is a handler that does nothing.
type ignoreList struct{}

func (ignoreList) UpdateEndpoints(balancer.EndpointUpdate) {}

// onDemandBalancer stands in for a balancer that must request the list: it takes its longest backoff after each call that
// failed.
type onDemandBalancer struct{ client *Client }

func (b *onDemandBalancer) UpdateEndpoints(update balancer.EndpointUpdate) {
	switch update.Kind {
	case balancer.CachedUpdate:
		b.client.WatchEndpoints()
	case balancer.UpdateFailed:
		time.AfterFunc(clock.Span(balancer.MaxPollBackoff), b.client.WatchEndpoints)
	}
}
