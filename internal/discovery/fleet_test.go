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
	"testing/synctest"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/counters"
)

const (
	followers = 300
	grace     = 2 * time.Second
	onTheWay  = 100 * time.Millisecond // for a call that discovery answers at once
)

// agency stands in for discovery: one list, watches that are held, and a bounded rate of lines. A watch that begins anew
// costs the whole list's lines, one that goes on within 200 ms nothing.
type agency struct {
	mu       sync.Mutex
	revision int64
	members  []Member
	changed  chan struct{}        // closed at each change
	rate     float64              // lines a second; 0: not bounded
	free     time.Time            // when all that is queued has been written
	closed   bool                 // every call is turned away ...
	after    string               // ... with this waiting time
	silent   bool                 // nothing is answered, on connections that are up either
	seen     map[string]bool      // connections that have called
	lost     map[string]bool      // connections on which nothing is answered any more, though others are
	half     bool                 // half of each answer is written, and no more
	refusing bool                 // no connection comes up
	hanging  bool                 // likewise, and nothing says so
	breaking bool                 // each connection is broken instead of an answer
	last     map[string]time.Time // of each connection's answers
	conns    map[net.Conn]struct{}
	calls    int
	stop     chan struct{}
}

func newAgency(servers int) *agency {
	a := &agency{revision: 1, changed: make(chan struct{}), last: map[string]time.Time{}, seen: map[string]bool{}, conns: map[net.Conn]struct{}{}, stop: make(chan struct{})}
	for i := range servers {
		a.members = append(a.members, Member{ID: fmt.Sprintf("s-%d", i), HostPort: fmt.Sprintf("127.0.0.1:%d", 1000+i), Phase: "SERVING", Size: 1})
	}
	return a
}

func (a *agency) known() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return List{Revision: a.revision, Complete: true, Members: append([]Member(nil), a.members...)}
}

// drain changes one server and lets the watches go.
func (a *agency) drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revision++
	a.members[0].Phase = "DRAINING"
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *agency) set(change func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change()
}

// lose has every connection that is up now go silent for good, while others are served.
func (a *agency) lose() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lost = map[string]bool{}
	for addr := range a.seen {
		a.lost[addr] = true
	}
}

func (a *agency) refuses() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refusing
}

func (a *agency) hangs() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hanging
}

func (a *agency) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = -1
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	until := time.Now().Add(time.Duration(hold) * time.Millisecond)
	a.mu.Lock()
	a.calls++
	a.seen[r.RemoteAddr] = true
	fresh := from < 0 || time.Since(a.last[r.RemoteAddr]) > 200*time.Millisecond
	closed, silent, wait, after := a.closed, a.silent || a.lost[r.RemoteAddr], time.Duration(0), a.after
	if fresh && a.rate > 0 {
		now := time.Now()
		if a.free.Before(now) {
			a.free = now
		}
		a.free = a.free.Add(time.Duration(float64(len(a.members)) / a.rate * float64(time.Second)))
		wait = a.free.Sub(now)
	}
	a.mu.Unlock()
	const patience = 2 * time.Second
	switch {
	case silent:
		<-a.stop
		return
	case closed || wait > patience:
		if wait > 0 {
			time.Sleep(patience)
		}
		if after != "" {
			w.Header().Set("Retry-After", after)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(wait)
	a.mu.Lock()
	for from >= 0 && from == a.revision && time.Now().Before(until) {
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-a.stop:
			return
		}
		a.mu.Lock()
	}
	if a.silent || a.lost[r.RemoteAddr] { // gone silent while the watch was held
		a.mu.Unlock()
		<-a.stop
		return
	}
	if a.breaking {
		a.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	out := List{Revision: a.revision, Complete: from < 0, Members: []Member{}}
	switch {
	case from < 0:
		out.Members = append(out.Members, a.members...)
	case from < a.revision:
		out.Members = append(out.Members, a.members[0])
	}
	a.last[r.RemoteAddr] = time.Now()
	half := a.half
	a.mu.Unlock()
	if half {
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, `{"revision":`)
		_ = http.NewResponseController(w).Flush()
		<-a.stop
		return
	}
	_ = json.NewEncoder(w).Encode(out)
}

// line is a listener whose connections never leave memory.
type line struct {
	accept chan net.Conn
	done   chan struct{}
}

type memoryAddr string

func (a memoryAddr) Network() string { return "memory" }
func (a memoryAddr) String() string  { return string(a) }

// named gives each connection an address of its own.
type named struct {
	net.Conn
	addr memoryAddr
}

func (n named) RemoteAddr() net.Addr { return n.addr }

func (l *line) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *line) Close() error   { return nil }
func (l *line) Addr() net.Addr { return memoryAddr("agency") }

// crowd is many followers of agencies, each at an address.
type crowd struct {
	t        *testing.T
	agencies map[string]*line
	stands   map[string]*agency
	dialed   int
	mu       sync.Mutex
	cancel   context.CancelFunc
	ctx      context.Context
	all      []*Client
	ending   []func()
}

func newCrowd(t *testing.T) *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	return &crowd{t: t, agencies: map[string]*line{}, stands: map[string]*agency{}, ctx: ctx, cancel: cancel}
}

func (c *crowd) agency(address string, a *agency) {
	l := &line{accept: make(chan net.Conn), done: make(chan struct{})}
	c.agencies[address], c.stands[address] = l, a
	stand := &http.Server{Handler: a}
	go func() { _ = stand.Serve(l) }()
	c.ending = append(c.ending, func() { close(l.done); close(a.stop); _ = stand.Close() })
}

func (c *crowd) dial(address string, timeout time.Duration) (net.Conn, error) {
	here, there := net.Pipe()
	c.mu.Lock()
	c.dialed++
	addr := memoryAddr(fmt.Sprintf("caller-%d", c.dialed))
	c.mu.Unlock()
	a := c.stands[address]
	if a != nil && a.refuses() {
		return nil, syscall.ECONNREFUSED
	}
	if a != nil && a.hangs() {
		time.Sleep(timeout)
		return nil, os.ErrDeadlineExceeded
	}
	select {
	case c.agencies[address].accept <- named{there, addr}:
		return here, nil
	case <-time.After(timeout):
		return nil, context.DeadlineExceeded
	}
}

type deaf struct{}

func (deaf) UpdateEndpoints(balancer.EndpointUpdate) {}

// join starts followers that hold a list.
func (c *crowd) join(n int, address string, known List) {
	for range n {
		f := New(Options{Address: address, Nodes: n, MaxPollInterval: 10 * time.Second, DrainGrace: grace, Dial: c.dial,
			Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Count: &counters.Counters{}}, known)
		c.all = append(c.all, f)
		go f.Run(c.ctx, known, deaf{})
	}
}

// informed waits until every follower has the revision, and gives the time that the last one took.
func (c *crowd) informed(revision int64) time.Duration {
	c.t.Helper()
	began := time.Now()
	for late := 0; time.Since(began) < time.Minute; time.Sleep(10 * time.Millisecond) {
		late = 0
		for _, f := range c.all {
			if f.List().Revision != revision {
				late++
			}
		}
		if late == 0 {
			return time.Since(began)
		}
	}
	c.t.Fatalf("not all followers have revision %d after a minute", revision)
	return 0
}

func (c *crowd) end() {
	c.cancel()
	for _, f := range c.all {
		f.current().cutOff()
	}
	for _, f := range c.ending {
		f()
	}
	time.Sleep(2 * time.Minute) // of the bubble's clock: the client looks for idle connections once a minute
}

// TestNewsReachesHundredsInTime holds what docs/discovery.md works out: in every state of discovery the longest time from
// a change to each of hundreds of nodes' knowing it. It guards against first calls spread by the number of nodes, which
// took 30 s with 300: servers that had been told to drain went on getting requests (herd+mass, 221 to 561 times).
func TestNewsReachesHundredsInTime(t *testing.T) {
	const answer = answerMany + onTheWay
	longestPause := paceFor(Options{Nodes: followers, DrainGrace: grace}).away
	for _, tc := range []struct {
		name  string
		bound time.Duration // from the change, or from when discovery answers again
		play  func(c *crowd, a *agency)
	}{
		{"a change right at the start", grace, func(c *crowd, a *agency) {
			c.join(followers, "one", a.known())
			a.drain()
		}},
		{"a change under held watches", onTheWay, func(c *crowd, a *agency) {
			c.join(followers, "one", a.known())
			time.Sleep(12 * time.Second)
			a.drain()
		}},
		{"restarted together with an old list", grace, func(c *crowd, a *agency) {
			old := a.known()
			a.drain()
			c.join(followers, "one", old)
		}},
		{"turned away without a time", longestPause + onTheWay, func(c *crowd, a *agency) {
			c.join(followers, "one", a.known())
			a.set(func() { a.closed = true })
			time.Sleep(20 * time.Second)
			a.drain()
			a.set(func() { a.closed = false })
		}},
		{"turned away for a second", time.Second + longestPause + onTheWay, func(c *crowd, a *agency) {
			c.join(followers, "one", a.known())
			a.set(func() { a.closed, a.after = true, "1" })
			time.Sleep(20 * time.Second)
			a.drain()
			a.set(func() { a.closed = false })
		}},
		{"silent, a watch is out", answer + longestPause + answer, func(c *crowd, a *agency) {
			c.join(followers, "one", a.known())
			time.Sleep(7 * time.Second)
			a.set(func() { a.silent = true })
			a.drain()
			time.Sleep(10 * time.Second)
			a.set(func() { a.silent = false })
		}},
		{"cut off, connections hang, then back", grace, func(c *crowd, a *agency) {
			c.join(followers, "one", a.known())
			time.Sleep(7 * time.Second)
			a.set(func() { a.hanging, a.breaking = true, true })
			a.drain() // wakes the watches, which break
			time.Sleep(10 * time.Second)
			a.set(func() { a.hanging, a.breaking = false, false })
		}},
		{"moved while it was silent", onTheWay, func(c *crowd, a *agency) {
			c.join(followers, "one", a.known())
			time.Sleep(7 * time.Second)
			a.set(func() { a.silent = true })
			a.drain()
			two := newAgency(0)
			two.revision, two.members = a.revision, a.members
			c.agency("two", two)
			for _, f := range c.all {
				f.SetAddress("two")
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, a := newCrowd(t), newAgency(40)
				defer c.end()
				c.agency("one", a)
				tc.play(c, a)
				if took := c.informed(2); took > tc.bound {
					t.Errorf("the last follower knew after %v, bound %v", took, tc.bound)
				}
			})
		})
	}
}

// TestABoundedDiscoveryIsNotRushed has discovery write as few lines as the herds' did. It guards against calls that come
// so fast that nearly all wait until they are turned away, for good.
func TestABoundedDiscoveryIsNotRushed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, servers, rate = 36, 24, 180.0
		c, a := newCrowd(t), newAgency(servers)
		defer c.end()
		a.rate = rate
		c.agency("one", a)
		old := a.known()
		a.drain()
		c.join(nodes, "one", old)
		least := time.Duration(nodes * servers / rate * float64(time.Second)) // were none turned away
		if took := c.informed(2); took > 4*least {
			t.Errorf("the last of %d followers knew after %v, all lists take %v", nodes, took, least)
		}
	})
}

// deployment is what the time of the news hangs on; graces are some that no figure may be made for.
type deployment struct {
	nodes int
	grace time.Duration
}

var graces = []deployment{{3, 300 * time.Millisecond}, {300, 300 * time.Millisecond}, {300, 900 * time.Millisecond}}

// listenAsDiscovery gives a listener that the test itself accepts from.
func listenAsDiscovery(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// TestNewsInTimeForAnyGrace guards against figures that fit one deployment: pauses of up to 3 s and answers that are waited
// for for longer than the list may be late broke the drains of a customer whose grace is 0.3 s (tbilisi-builds, herd+mass,
// 1,256 times). The stand-in speaks over real connections.
func TestNewsInTimeForAnyGrace(t *testing.T) {
	for _, tc := range graces {
		t.Run(fmt.Sprintf("%d nodes, %v", tc.nodes, tc.grace), func(t *testing.T) {
			t.Parallel()
			l := listenAsDiscovery(t)
			c := New(Options{Address: l.Addr().String(), Nodes: tc.nodes, DrainGrace: tc.grace,
				Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Count: &counters.Counters{}}, List{})
			const toldAfterHold = 2 * time.Second // the protocol's: a silent watch's news counts then, even if the change is older
			if late := toldAfterHold + tc.grace; c.pace.watch+quietLeast >= late {
				t.Errorf("an answer is waited for for %v beyond the hold, what it misses counts after %v", c.pace.watch, late)
			}
			go c.Run(t.Context(), List{}, deaf{})
			var failed time.Time
			for call := range 8 { // discovery is down: each call breaks off, and the pauses have grown to their longest
				nc, err := l.Accept()
				if err != nil {
					t.Fatal(err)
				}
				if gap := time.Since(failed); call > 3 && gap > tc.grace {
					t.Errorf("call %d came %v after the one that failed: what discovery has by then counts for longer than the grace", call, gap)
				}
				_ = nc.Close()
				failed = time.Now()
			}
		})
	}
}

// TestNoCallIsWaitedForBeyondTheGrace has discovery come back right after a call that it never answers: waiting for the
// end of that one kept 288 nodes for 0.6 s with a list of servers that had been told to drain (tbilisi-builds, herd+mass).
func TestNoCallIsWaitedForBeyondTheGrace(t *testing.T) {
	for _, tc := range graces {
		t.Run(fmt.Sprintf("%d nodes, %v", tc.nodes, tc.grace), func(t *testing.T) {
			t.Parallel()
			l := listenAsDiscovery(t)
			c := New(Options{Address: l.Addr().String(), Nodes: tc.nodes, DrainGrace: tc.grace, MaxPollInterval: 200 * time.Millisecond,
				Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Count: &counters.Counters{}}, List{})
			defer func() { c.current().cutOff() }()
			go c.Run(t.Context(), List{}, deaf{})
			for call := 0; call < 2; { // the first two calls, whichever connection they come on, get no answer
				nc, err := l.Accept()
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = nc.Close() }()
				if _, err := nc.Read(make([]byte, 1)); err != nil {
					t.Fatal(err)
				}
				call++
			}
			back := time.Now()
			nc, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = nc.Close() }()
			if took := time.Since(back); took > tc.grace {
				t.Errorf("asked again %v after discovery was back", took)
			}
			if _, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(good))+"\r\n\r\n"+good); err != nil {
				t.Fatal(err)
			}
			for end := time.Now().Add(10 * time.Second); c.Size() == 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the list never came")
				}
			}
		})
	}
}

// forms counts what a follower tells the module.
type forms struct {
	mu   sync.Mutex
	told []balancer.UpdateKind
}

func (f *forms) UpdateEndpoints(l balancer.EndpointUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told = append(f.told, l.Kind)
}

// TestLateNewsAreTold guards against a module that goes on sending by a list of which nothing has been heard for long, and
// against one that never learns that discovery is back where it has nothing new to tell.
func TestLateNewsAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, a := newCrowd(t), newAgency(3)
		defer c.end()
		c.agency("one", a)
		a.set(func() { a.closed = true })
		var got forms
		count := &counters.Counters{}
		f := New(Options{Address: "one", Nodes: followers, MaxPollInterval: 10 * time.Second, DrainGrace: grace, Dial: c.dial,
			Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Count: count}, a.known())
		c.all = append(c.all, f)
		go f.Run(c.ctx, a.known(), &got)
		time.Sleep(toldLatest)
		if count.ServerList.Late.Get() != 0 {
			t.Error("news is called late before it counts as told")
		}
		time.Sleep(2 * toldLatest)
		if n := count.ServerList.Late.Get(); n != 1 {
			t.Errorf("late %d times in one outage, want once", n)
		}
		a.set(func() { a.closed = false })
		time.Sleep(toldLatest + 5*time.Second) // the watch that is taken up again has nothing to tell for as long as it is held
		got.mu.Lock()
		defer got.mu.Unlock()
		if last := got.told[len(got.told)-1]; last != balancer.DeltaUpdate {
			t.Errorf("the last that the module heard is %v, want a delta", last)
		}
		if count.ServerList.Informed.Get() == 0 {
			t.Error("the time of the last answer is not counted")
		}
	})
}

// TestLateNewsAreToldInTime: the module hears that news is missing when it counts as told, whatever the calls meet and however long each
// is waited for. It used to hear with the next call that failed, seconds later.
func TestLateNewsAreToldInTime(t *testing.T) {
	for name, begin := range map[string]func(*agency){
		"turned away": func(a *agency) { a.set(func() { a.closed, a.after = true, "3600" }) },
		"silent":      func(a *agency) { a.set(func() { a.silent = true }) },
		"half":        func(a *agency) { a.set(func() { a.half = true }) },
	} {
		for _, subscribe := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, asked for %v", name, subscribe), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c, a := newCrowd(t), newAgency(3)
					defer c.end()
					c.agency("one", a)
					for range followers {
						f := New(Options{Address: "one", Nodes: followers, Subscribe: subscribe, DrainGrace: grace, Dial: c.dial,
							Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Count: &counters.Counters{}}, a.known())
						c.all = append(c.all, f)
						go f.Run(c.ctx, a.known(), &asker{f})
					}
					time.Sleep(11 * time.Second)
					begin(a)
					a.drain()
					time.Sleep(toldLatest + 100*time.Millisecond)
					for _, f := range c.all {
						if f.count.ServerList.Late.Get() != 1 && f.List().Revision != 2 {
							t.Fatalf("news is missing, and the module has not heard of it")
						}
					}
				})
			})
		}
	}
}
